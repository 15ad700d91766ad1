"""Judges a run by what the workers wrote down, not by what the daemons say.

A worker's journal has one JSON object a line: {"event", "task", "kind", "wallMs", "clock", "boot", ...}.
"""

import collections

ENDS = {"stop", "finish", "fail"}


def job_of(task):
    """The job of a batch task "<job>#<attempt>"."""
    return task.rsplit("#", 1)[0]


def runs(fleet):
    """Every run of a task: (task, kind, worker, start row, end row or None)."""
    found = []
    for worker in fleet.workers.values():
        open_runs = {}
        for row in worker.journal():
            event, task = row.get("event"), row.get("task")
            if event == "start":
                open_runs[task] = row
            elif event in ENDS and task in open_runs:
                found.append((task, open_runs[task].get("kind"), worker.worker, open_runs.pop(task), row))
        found.extend((task, row.get("kind"), worker.worker, row, None) for task, row in open_runs.items())
    return found


def overloads(fleet):
    """Peaks beyond what a worker holds, as sentences."""
    slots, milli_cores, memory_mb, _ = fleet.worker_shape
    capacity = {"slots": slots, "milliCores": milli_cores, "memoryMb": memory_mb}
    faults = []
    for worker in fleet.workers.values():
        held = collections.Counter()
        declared = {}
        for row in worker.journal():
            event, task = row.get("event"), row.get("task")
            if event == "start":
                declared[task] = row.get("declared", {})
                held.update(declared[task])
            elif event in ENDS and task in declared:
                held.subtract(declared.pop(task))
            for name, limit in capacity.items():
                if held[name] > limit:
                    faults.append(f"{worker.worker} holds {held[name]} {name} of {limit} after {row}")
    return faults


def double_runs(fleet):
    """Batch jobs with attempts in two places at once, as sentences."""
    spans = collections.defaultdict(list)
    for task, kind, worker, start, end in runs(fleet):
        if kind == "batch":
            spans[job_of(task)].append((start["wallMs"], end["wallMs"] if end else float("inf"), task, worker))
    faults = []
    for job, list_of_spans in spans.items():
        list_of_spans.sort()
        for before, after in zip(list_of_spans, list_of_spans[1:]):
            if after[0] < before[1]:
                faults.append(f"{job}: {before} overlaps {after}")
    return faults


def finishes(fleet):
    """How often each batch job finished."""
    count = collections.Counter()
    for task, kind, _, _, end in runs(fleet):
        if kind == "batch" and end and end["event"] == "finish":
            count[job_of(task)] += 1
    return count


def request_starts(fleet):
    """How often each request started, by the "echo" of its body."""
    count = collections.Counter()
    for _, kind, _, start, _ in runs(fleet):
        if kind == "request":
            count[start.get("echo", "")] += 1
    return count


def faults(fleet):
    """What no run may ever show: overloads, and work in two places."""
    found = overloads(fleet) + double_runs(fleet)
    found.extend(f"{job} finished {n} times" for job, n in finishes(fleet).items() if n > 1)
    return found
