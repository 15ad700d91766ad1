"""The same load sent straight to workers and through one daemon, in turn, in each run. Real processes on loopback.

Callers that wait for their answers on 1, 16 and 128 connections, and arrivals at random times at half of what the slots
bear. Prints for each: throughput, p50 and p99 of both and their ratios, and requests a second per core of the daemon.
Bound: at half of the slots' capacity, p99 through the daemon within 1.5 x direct + 1 ms. Exits 1 on a miss.
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
# Connections for arrivals at random times: enough that none waits for one.
OPEN_LOOP_CONNECTIONS = 256


def send_load(targets, direct, connections, rate, arguments, seed):
    done = subprocess.run(
        [fleets.BIN / "lavendercart-load", f"--targets={','.join(targets)}", "--service=previews",
         f"--connections={connections}", f"--rate={rate}", f"--seconds={arguments.seconds}",
         f"--request_ms={arguments.request_ms}", f"--seed={seed}", f"--direct={'true' if direct else 'false'}"],
        stdout=subprocess.PIPE, stdin=subprocess.DEVNULL, check=True)
    return json.loads(done.stdout)


def measure(fleet, connections, rate, arguments, seed):
    """One load both ways. Which way goes first alternates, so that a drift of the machine falls on both."""
    daemon = next(iter(fleet.daemons.values()))
    row = {}
    for direct in ((True, False) if seed % 2 else (False, True)):
        targets = fleet.group.addresses() if direct else [daemon.address]
        before = bench_fleet.cpu_seconds(daemon)
        result = send_load(targets, direct, connections, rate, arguments, seed)
        if not direct:
            result["cpu"] = bench_fleet.cpu_seconds(daemon) - before
        row["direct" if direct else "daemon"] = result
    return row


def is_complete(rows):
    """Only loads that were answered whole can be compared."""
    return all(r["answers"] == r["sent"] for row in rows for r in (row["direct"], row["daemon"]))


def report(name, rows, bounded):
    def values(side, field):
        return [row[side][field] for row in rows]

    def ratios(field):
        return [row["daemon"][field] / max(row["direct"][field], 1e-9) for row in rows]

    for side in ("direct", "daemon"):
        print(f"{name}, {side}: requests/s {bench_fleet.spread(values(side, 'throughput'))}, p50 ms "
              f"{bench_fleet.spread(values(side, 'p50Ms'))}, p99 ms {bench_fleet.spread(values(side, 'p99Ms'))}")
    per_core = [row["daemon"]["answers"] / max(row["daemon"]["cpu"], 1e-9) for row in rows]
    print(f"{name}, ratios: throughput {bench_fleet.spread(ratios('throughput'))}, p50 "
          f"{bench_fleet.spread(ratios('p50Ms'))}, p99 {bench_fleet.spread(ratios('p99Ms'))}; requests/s per core of "
          f"the daemon {bench_fleet.spread(per_core)}")
    good = True
    if not is_complete(rows):
        lost = sum(r["sent"] - r["answers"] for row in rows for r in (row["direct"], row["daemon"]))
        print(f"{name}: {lost} requests without an answer (bound 0)  MISSED")
        good = False
    if bounded:
        limit = statistics.median(values("direct", "p99Ms")) * P99_RATIO_BOUND + P99_EXTRA_MS
        found = statistics.median(values("daemon", "p99Ms"))
        good = good and found <= limit
        print(f"{name}: p99 through the daemon {found:.1f} ms, bound {limit:.1f} ms (1.5 x direct + 1 ms, medians of "
              f"{len(rows)} runs){'' if found <= limit else '  MISSED'}")
    sys.stdout.flush()
    return good


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--request-ms", type=int, default=20)
    parser.add_argument("--workers", type=int, default=20)
    arguments = parser.parse_args()
    slots = arguments.workers * SLOTS_PER_WORKER
    if slots < max(CALLERS):
        parser.error("too few slots for the callers")
    half_rate = slots * 1000 / arguments.request_ms / 2
    loads = [(f"{n} callers", n, 0, False) for n in CALLERS]
    loads.append((f"{half_rate:.0f} arrivals/s, half of {slots} slots", OPEN_LOOP_CONNECTIONS, half_rate, True))
    good = True
    with bench_fleet.OneDomain(arguments.workers, SLOTS_PER_WORKER) as fleet:
        fleet.apply_config(CONFIG)
        fleet.wait_all_owned()
        print(f"{arguments.workers} workers x {SLOTS_PER_WORKER} slots, requests of {arguments.request_ms} ms, "
              f"{arguments.runs} runs of {arguments.seconds:g} s each way; medians (spread)", flush=True)
        for name, connections, rate, bounded in loads:
            rows = [measure(fleet, connections, rate, arguments, seed) for seed in range(1, arguments.runs + 1)]
            good &= report(name, rows, bounded)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
