"""Compares the same load sent directly to workers and through one daemon, with real processes on loopback.

Closed-loop callers on 1, 16 and 128 connections, and open-loop arrivals at random times at half of the slots' capacity.
Prints for each load: throughput, p50 and p99 of both paths and their ratios, and requests per second per core of the
daemon. Bound: at half of the slots' capacity, p99 through the daemon is at most 1.5 x direct + 1 ms. Exits with status
1 if the bound is missed or a request has no answer.
"""

import argparse
import json
import statistics
import subprocess
import sys

import bench_fleet
import fleet as fleets

CONFIG = {
    "profiles": {"preview": {"deadline": "1s", "idempotent": True, "priority": "high"}},
    "teams": {"desk": {}},
    "services": {"previews": {"profile": "preview", "team": "desk"}},
}
SLOTS_PER_WORKER = 8
P99_RATIO_BOUND = 1.5
P99_EXTRA_MS = 1.0
CALLERS = (1, 16, 128)
# Connections for open-loop arrivals: enough that no request waits for a connection.
OPEN_LOOP_CONNECTIONS = 256


def send_load(targets, direct, connections, rate, arguments, seed):
    done = subprocess.run(
        [fleets.BIN / "lavendercart-load", f"--targets={','.join(targets)}", "--service=previews",
         f"--connections={connections}", f"--rate={rate}", f"--seconds={arguments.seconds}",
         f"--request_ms={arguments.request_ms}", f"--seed={seed}", f"--direct={'true' if direct else 'false'}"],
        stdout=subprocess.PIPE, stdin=subprocess.DEVNULL, check=True)
    return json.loads(done.stdout)


def measure(fleet, connections, rate, arguments, seed):
    """Sends one load directly and through the daemon, in alternating order, so that machine drift affects both."""
    daemon = next(iter(fleet.daemons.values()))
    row = {}
    for direct in ((True, False) if seed % 2 else (False, True)):
        targets = fleet.group.addresses() if direct else [daemon.address]
        cpu_before = bench_fleet.cpu_seconds(daemon)
        result = send_load(targets, direct, connections, rate, arguments, seed)
        if not direct:
            result["cpu"] = bench_fleet.cpu_seconds(daemon) - cpu_before
        row["direct" if direct else "daemon"] = result
    return row


def is_complete(rows):
    """Returns whether every request of every load was answered; only then can the loads be compared."""
    return all(r["answers"] == r["sent"] for row in rows for r in (row["direct"], row["daemon"]))


def report(name, rows, has_bound):
    def values(path, field):
        return [row[path][field] for row in rows]

    def ratios(field):
        return [row["daemon"][field] / max(row["direct"][field], 1e-9) for row in rows]

    for path in ("direct", "daemon"):
        print(f"{name}, {path}: requests/s {bench_fleet.summarize(values(path, 'throughput'))}, p50 ms "
              f"{bench_fleet.summarize(values(path, 'p50Ms'))}, p99 ms {bench_fleet.summarize(values(path, 'p99Ms'))}")
    per_core = [row["daemon"]["answers"] / max(row["daemon"]["cpu"], 1e-9) for row in rows]
    print(f"{name}, ratios: throughput {bench_fleet.summarize(ratios('throughput'))}, p50 "
          f"{bench_fleet.summarize(ratios('p50Ms'))}, p99 {bench_fleet.summarize(ratios('p99Ms'))}; requests/s per "
          f"core of the daemon {bench_fleet.summarize(per_core)}")
    passed = True
    if not is_complete(rows):
        unanswered = sum(r["sent"] - r["answers"] for row in rows for r in (row["direct"], row["daemon"]))
        print(f"{name}: {unanswered} requests without an answer (bound 0)  MISSED")
        passed = False
    if has_bound:
        limit = statistics.median(values("direct", "p99Ms")) * P99_RATIO_BOUND + P99_EXTRA_MS
        p99 = statistics.median(values("daemon", "p99Ms"))
        passed = passed and p99 <= limit
        print(f"{name}: p99 through the daemon {p99:.1f} ms, bound {limit:.1f} ms (1.5 x direct + 1 ms, medians of "
              f"{len(rows)} runs){'' if p99 <= limit else '  MISSED'}")
    sys.stdout.flush()
    return passed


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--request-ms", type=int, default=20)
    parser.add_argument("--workers", type=int, default=20)
    arguments = parser.parse_args()
    slots = arguments.workers * SLOTS_PER_WORKER
    if slots < max(CALLERS):
        parser.error("fewer slots than callers")
    half_capacity_rate = slots * 1000 / arguments.request_ms / 2
    loads = [(f"{n} callers", n, 0, False) for n in CALLERS]
    loads.append((f"{half_capacity_rate:.0f} arrivals/s, half of {slots} slots", OPEN_LOOP_CONNECTIONS,
                  half_capacity_rate, True))
    passed = True
    with bench_fleet.SingleDomainFleet(arguments.workers, SLOTS_PER_WORKER) as fleet:
        fleet.apply_config(CONFIG)
        fleet.wait_until_all_owned()
        print(f"{arguments.workers} workers x {SLOTS_PER_WORKER} slots, requests of {arguments.request_ms} ms, "
              f"{arguments.runs} runs of {arguments.seconds:g} s on each path; medians (range)", flush=True)
        for name, connections, rate, has_bound in loads:
            rows = [measure(fleet, connections, rate, arguments, seed) for seed in range(1, arguments.runs + 1)]
            passed &= report(name, rows, has_bound)
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
