#!/usr/bin/env python3
"""Tells for each TWICE pair of kept runs (folders SEED of --keep) how it came about, from the record and the hosts' logs:

again      a late copy of an order was carried out whose run had ended, on one worker (F5)
forgotten  the end of a run was acknowledged by a late poll, meant for the worker's former life (F2)
absent     a report that doesn't list the run settled its order, which was carried out late (F1)
lease      the worker's lease passed, as far as its owner knew, and the order was carried out late (F3)
successor  alike, neither of both, and another host ordered the other run (F4)
other      none of these
"""

import collections
import pathlib
import re
import sys

LATE_S = 0.3
RUN = re.compile(r"\[(\S+)#(\d+) on (\S+) from (\S+), ordered at ([\d.]+), started at ([\d.]+), ([^\]]*)\]")
Run = collections.namedtuple("Run", "task attempt worker host ordered started end")


def runs_of(text):
    return [Run(task, int(attempt), worker, host, float(ordered), float(started), end)
            for task, attempt, worker, host, ordered, started, end in RUN.findall(text)]


def is_late(run):
    return run.started - run.ordered > LATE_S


def shape(pair, lines, logs):
    late = [run for run in pair if is_late(run)]
    for run in late:
        name = f"{run.task}#{run.attempt}"
        starts = [line for line in lines if re.search(rf" start {run.worker} {re.escape(name)} ", line)]
        if any(float(line.split()[0]) < run.started - 0.001 for line in starts):
            return "again"
    noted = re.search(r"noted at ([\d.]+)", pair[1].end)
    if noted and any(abs(float(line.split()[0]) - float(noted[1])) < 0.005 for line in lines
                     if f" next-life {pair[1].worker} ack " in line):
        return "forgotten"
    if not late:
        return "other"
    for run in late:
        if any(f"event=run-absent run={run.task}#{run.attempt} worker={run.worker}" in line for line in logs):
            return "absent"
        if any(f"event=worker-lease-passed worker={run.worker} " in line for line in logs):
            return "lease"
    return "successor" if pair[0].host != pair[1].host else "other"


def trace(pair, lines, logs):
    """The lines of the pair's task, and of its workers' lives and leases."""
    task, workers = pair[0].task, "|".join({run.worker for run in pair})
    own = [line for line in lines if task + "#" in line and " TWICE " not in line
           or re.search(rf" (next-life|lease-lapsed|entry-lapsed) ({workers}) ", line + " ")
           or re.search(rf" fault (crash-worker|reborn-\w+|cut-reborn) .*({workers})", line)]
    hosts = [line for line in logs if f"run={task}#" in line
             or re.search(rf"event=worker-(reborn|lease-passed|silent|heard) worker=({workers}) ", line + " ")]
    return own + [re.sub(r"^time=\S+'T'(\S+) level=\w+ category=\w+ process=", r"  \1 ", line) for line in sorted(hosts)]


def main(words):
    traces = "--trace" in words
    total = collections.Counter()
    for folder in (pathlib.Path(word) for word in words if not word.startswith("--")):
        lines = (folder / "record.txt").read_text(encoding="utf-8").splitlines()
        logs = [line for log in folder.glob("*.log") for line in log.read_text(encoding="utf-8").splitlines()]
        for line in lines:
            if " TWICE " not in line:
                continue
            pair = runs_of(line)
            found = shape(pair, lines, logs) if len(pair) == 2 else "other"
            hosts = "one host" if len({run.host for run in pair}) == 1 else "two hosts"
            total[found] += 1
            print(f"{folder}: {found}, {hosts}: {line.split(' TWICE ')[1]}")
            if traces:
                print("\n".join("    " + row for row in trace(pair, lines, logs)))
    print(", ".join(f"{found} {number}" for found, number in total.most_common()) or "no pairs")


if __name__ == "__main__":
    main(sys.argv[1:])
