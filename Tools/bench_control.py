"""Measures the control overhead of a daemon: 50, 200 and 500 workers with 1, 4 and 12 batch tasks each, no requests.

The daemon and the store stand-in are real processes; the workers are stand-ins in one process. Jobs are submitted
before a measurement and run throughout it. For each combination of workers and tasks, prints medians over several
windows: the daemon's share of a core, its memory, control bytes per second and worker (both ways, counted by the kernel
on the daemon's connections to the workers, including HTTP headers) and store calls per second. Then prints linear fits
by least squares, and the same figures for several daemons of one domain with a single worker.

The bounds of 4.7 % of a core, 128 MB and 5 KB per second hold for each node. A worker's node is charged with the cost
of its syncs: their bytes, and its share of the owner's CPU time. The daemon's own node is also compared with the bound,
for information. Exits with status 1 if the worker's CPU share, the worker's bytes or the daemon's memory exceed their
bound.
"""

import argparse
import concurrent.futures
import statistics
import sys
import time

import bench_fleet
import fleet as fleets

CONFIG = {
    "profiles": {"plan": {"deadline": "30s", "idempotent": True, "priority": "normal"}},
    "teams": {"bench": {}},
    "services": {},
}
TASKS = (1, 4, 12)
# More slots than tasks, because placement reserves some slots of a full domain for requests.
SLOTS = 16
RUN_MS = 3_600_000
CPU_BOUND_PERCENT = 4.7
MEMORY_BOUND_MB = 128
BYTES_BOUND = 5000
SUBMITTERS = 64
SUBMIT_SECONDS = 120
SETTLE_SECONDS = 4


def submit_job(daemon, number):
    body = {"id": f"plan-{number}", "team": "bench", "profile": "plan", "command": {"runMs": RUN_MS},
            "resources": {"slots": 1, "milliCores": 500, "memoryMb": 256, "accelerators": 0}}
    end = time.monotonic() + SUBMIT_SECONDS
    while True:
        reply = daemon.submit(body)
        if reply.status in (200, 201):
            return
        if time.monotonic() > end:
            raise fleets.FleetError(f"job not accepted: {reply.status} {reply.body[:200]}")
        time.sleep(0.1)


def running_task_count(daemon):
    return sum(row["tasks"] for row in daemon.get("/v1/workers").json()["workers"])


def submit_jobs(daemon, submitted, total):
    with concurrent.futures.ThreadPoolExecutor(SUBMITTERS) as pool:
        list(pool.map(lambda n: submit_job(daemon, n), range(submitted, total)))
    fleets.wait_for(lambda: running_task_count(daemon) >= total, SUBMIT_SECONDS, f"{total} jobs are running")
    time.sleep(SETTLE_SECONDS)


def store_call_counts(fleet):
    # Reading the statistics is itself a call; it is the only kind that daemons do not make.
    return {kind: n for kind, n in fleet.store.stats()["calls"].items() if kind != "stats"}


def measure_window(fleet, ports, seconds):
    """Measures CPU share, memory and byte rate of the first daemon, and the store's call rates over all daemons."""
    daemon = next(iter(fleet.daemons.values()))
    calls, sent, cpu, at = store_call_counts(fleet), bench_fleet.tcp_bytes(*ports), bench_fleet.cpu_seconds(daemon), \
        time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - at
    cpu = bench_fleet.cpu_seconds(daemon) - cpu
    transferred = bench_fleet.transferred_bytes(sent, bench_fleet.tcp_bytes(*ports))
    now = store_call_counts(fleet)
    return {"cpu": 100 * cpu / elapsed, "mb": bench_fleet.resident_memory_mb(daemon), "bytes": transferred / elapsed,
            "store": (sum(now.values()) - sum(calls.values())) / elapsed,
            "kinds": {kind: (n - calls.get(kind, 0)) / elapsed for kind, n in now.items()}}


def measure_windows(fleet, ports, arguments):
    return [measure_window(fleet, ports, arguments.seconds) for _ in range(arguments.windows)]


def column(rows, field):
    return [row[field] for row in rows]


def miss_mark(value, bound):
    return "" if value <= bound else "  MISSED"


def measure_workers(workers, arguments):
    """Measures one number of workers; returns the medians for each number of tasks, and whether all bounds were met."""
    points, all_met = [], True
    with bench_fleet.SingleDomainFleet(workers, SLOTS) as fleet:
        fleet.apply_config(CONFIG)
        fleet.wait_until_all_owned()
        daemon = next(iter(fleet.daemons.values()))
        ports = (fleet.group.first_port, fleet.group.first_port + workers - 1)
        submitted = 0
        for tasks in TASKS:
            submit_jobs(daemon, submitted, workers * tasks)
            submitted = workers * tasks
            rows = measure_windows(fleet, ports, arguments)
            point = {field: statistics.median(column(rows, field)) for field in ("cpu", "mb", "bytes", "store")}
            points.append({"workers": workers, "tasks": workers * tasks, **point})
            cpu_share, worker_bytes = point["cpu"] / workers, point["bytes"] / workers
            print(f"{workers} workers x {tasks} tasks: daemon {bench_fleet.summarize(column(rows, 'cpu'))} % of a "
                  f"core (per worker {cpu_share:.3f} %, bound {CPU_BOUND_PERCENT})"
                  f"{miss_mark(cpu_share, CPU_BOUND_PERCENT)}, "
                  f"{bench_fleet.summarize(column(rows, 'mb'))} MB (bound {MEMORY_BOUND_MB})"
                  f"{miss_mark(point['mb'], MEMORY_BOUND_MB)}, bytes/s per worker "
                  f"{bench_fleet.summarize([b / workers for b in column(rows, 'bytes')])} (bound {BYTES_BOUND})"
                  f"{miss_mark(worker_bytes, BYTES_BOUND)}, store calls/s "
                  f"{bench_fleet.summarize(column(rows, 'store'))}; for information, the "
                  f"daemon's own node {point['cpu']:.1f} %, bound {CPU_BOUND_PERCENT}: "
                  f"{'within' if point['cpu'] <= CPU_BOUND_PERCENT else 'beyond'}", flush=True)
            all_met = (all_met and cpu_share <= CPU_BOUND_PERCENT and point["mb"] <= MEMORY_BOUND_MB
                       and worker_bytes <= BYTES_BOUND)
    return points, all_met


def measure_daemons(count, arguments):
    """Measures daemons that share one worker: nearly all their control traffic is with each other and the store."""
    with bench_fleet.SingleDomainFleet(1, SLOTS, daemons=count) as fleet:
        fleet.apply_config(CONFIG)
        fleet.wait_until_all_owned()
        time.sleep(SETTLE_SECONDS)
        ports = sorted(int(d.address.rsplit(":", 1)[1]) for d in fleet.daemons.values())
        rows = measure_windows(fleet, (ports[0], ports[-1]), arguments)
    kinds = {kind: statistics.median([row["kinds"].get(kind, 0) for row in rows]) for kind in rows[-1]["kinds"]}
    print(f"{count} daemons, 1 worker: the first daemon uses {bench_fleet.summarize(column(rows, 'cpu'))} % of a "
          f"core, {bench_fleet.summarize(column(rows, 'mb'))} MB, bytes/s between all daemons "
          f"{bench_fleet.summarize(column(rows, 'bytes'))}, store calls/s "
          f"{bench_fleet.summarize(column(rows, 'store'))} "
          f"({', '.join(f'{k} {v:.1f}' for k, v in sorted(kinds.items()) if v > 0)})", flush=True)
    return {"daemons": count, "ordered pairs": count * (count - 1),
            **{field: statistics.median(column(rows, field)) for field in ("cpu", "mb", "bytes", "store")}}


def solve(matrix, right):
    """Solves a small system of linear equations by Gauss-Jordan elimination."""
    size = len(matrix)
    rows = [list(row) + [value] for row, value in zip(matrix, right)]
    for i in range(size):
        pivot = max(range(i, size), key=lambda r: abs(rows[r][i]))
        rows[i], rows[pivot] = rows[pivot], rows[i]
        rows[i] = [v / rows[i][i] for v in rows[i]]
        for r in range(size):
            if r != i:
                rows[r] = [a - rows[r][i] * b for a, b in zip(rows[r], rows[i])]
    return [row[size] for row in rows]


def fit_linear(points, names, field):
    """Fits `field` by least squares; returns a constant and one slope for each name."""
    rows = [[1.0] + [point[name] for name in names] for point in points]
    size = len(names) + 1
    normal = [[sum(r[i] * r[j] for r in rows) for j in range(size)] for i in range(size)]
    right = [sum(r[i] * point[field] for r, point in zip(rows, points)) for i in range(size)]
    return solve(normal, right)


def print_fits(points, names, fields):
    for field, unit in fields.items():
        constant, *slopes = fit_linear(points, names, field)
        parts = " + ".join(f"{slope:.4g} x {name}" for slope, name in zip(slopes, names))
        print(f"linear fit: {unit} = {constant:.4g} + {parts}", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="+", default=[50, 200, 500])
    parser.add_argument("--daemons", type=int, nargs="*", default=[1, 4, 8])
    parser.add_argument("--windows", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=3)
    arguments = parser.parse_args()
    print(f"medians (range) of {arguments.windows} windows of {arguments.seconds:g} s")
    points, all_met = [], True
    for workers in arguments.workers:
        found, met = measure_workers(workers, arguments)
        points += found
        all_met &= met
    units = {"cpu": "% of a core", "mb": "MB", "bytes": "sync bytes/s", "store": "store calls/s"}
    if len(arguments.workers) > 1:
        print_fits(points, ["workers", "tasks"], units)
    rows = [measure_daemons(count, arguments) for count in arguments.daemons]
    if len(rows) > 1:
        print_fits(rows, ["daemons"], {"cpu": "% of a core", "mb": "MB", "store": "store calls/s"})
        print_fits(rows, ["ordered pairs"], {"bytes": "bytes/s between all daemons"})
    return 0 if all_met else 1


if __name__ == "__main__":
    sys.exit(main())
