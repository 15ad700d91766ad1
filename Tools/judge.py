"""Checks the guarantees of a run against the workers' journals, independently of what the daemons report.

A worker's journal has one JSON object per line: {"event", "task", "kind", "wallMs", "clock", "boot", ...}.
"""

import collections

END_EVENTS = {"stop", "finish", "fail"}


def job_of(task):
    """Returns the job id of a batch task "<job>#<attempt>"."""
    return task.rsplit("#", 1)[0]


def task_runs(fleet):
    """Returns every run of a task as (task, kind, worker, start row, end row or None if it has not ended)."""
    found = []
    for worker in fleet.workers.values():
        open_runs = {}
        for row in worker.journal():
            event, task = row.get("event"), row.get("task")
            if event == "start":
                open_runs[task] = row
            elif event in END_EVENTS and task in open_runs:
                found.append((task, open_runs[task].get("kind"), worker.worker, open_runs.pop(task), row))
        found.extend((task, row.get("kind"), worker.worker, row, None) for task, row in open_runs.items())
    return found


def find_overloads(fleet):
    """Returns a message for each journal row after which the running tasks exceed the worker's capacity."""
    slots, milli_cores, memory_mb, _ = fleet.worker_options
    capacity = {"slots": slots, "milliCores": milli_cores, "memoryMb": memory_mb}
    violations = []
    for worker in fleet.workers.values():
        used = collections.Counter()
        declared = {}
        for row in worker.journal():
            event, task = row.get("event"), row.get("task")
            if event == "start":
                declared[task] = row.get("declared", {})
                used.update(declared[task])
            elif event in END_EVENTS and task in declared:
                used.subtract(declared.pop(task))
            for name, limit in capacity.items():
                if used[name] > limit:
                    violations.append(f"{worker.worker}: tasks use {used[name]} {name}, capacity {limit}, after {row}")
    return violations


def find_overlapping_attempts(fleet):
    """Returns a message for each two consecutive runs of a batch job that overlapped in time."""
    spans = collections.defaultdict(list)
    for task, kind, worker, start, end in task_runs(fleet):
        if kind == "batch":
            spans[job_of(task)].append((start["wallMs"], end["wallMs"] if end else float("inf"), task, worker))
    violations = []
    for job, job_spans in spans.items():
        job_spans.sort()
        for before, after in zip(job_spans, job_spans[1:]):
            if after[0] < before[1]:
                violations.append(f"{job}: {before} overlaps {after}")
    return violations


def count_finishes(fleet):
    """Counts how often each batch job finished."""
    counts = collections.Counter()
    for task, kind, _, _, end in task_runs(fleet):
        if kind == "batch" and end and end["event"] == "finish":
            counts[job_of(task)] += 1
    return counts


def count_request_starts(fleet):
    """Counts how often each request started, by the "echo" field of its body."""
    counts = collections.Counter()
    for _, kind, _, start, _ in task_runs(fleet):
        if kind == "request":
            counts[start.get("echo", "")] += 1
    return counts


def find_violations(fleet):
    """Returns all violations: overloaded workers, overlapping runs of a job, and jobs that finished more than once."""
    found = find_overloads(fleet) + find_overlapping_attempts(fleet)
    found.extend(f"{job} finished {n} times" for job, n in count_finishes(fleet).items() if n > 1)
    return found
