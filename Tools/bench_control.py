"""What control costs a daemon and its workers: 50, 200 and 500 workers with 1, 4 and 12 batch tasks each, no requests.

Real daemon and store stand-in; the workers are stand-ins in one process. Jobs are submitted and run throughout. For each
cell, medians over windows: the daemon's share of a core, its memory, control bytes a second a worker (both ways, counted
by the kernel on the daemon's connections to the workers, HTTP heads included) and store calls a second. Then slopes by
least squares, and the same between daemons of one domain without workers.

How the bounds are read: 4.7 % of a core, 128 MB and 5 KB a second hold for each node. A worker's node spends on control
what its owner's syncs cost: its bytes, and its share of the owner's processor time. The daemon's node is also shown as a
node by itself. Exits 1 on a miss of the worker's share, the worker's bytes or the daemon's memory.
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
# Room beyond the tasks: placement keeps some slots of a full domain for requests.
SLOTS = 16
RUN_MS = 3_600_000
CPU_BOUND_PERCENT = 4.7
MEMORY_BOUND_MB = 128
BYTES_BOUND = 5000
SUBMITTERS = 64
SUBMIT_SECONDS = 120
SETTLE_SECONDS = 4


def submit(daemon, number):
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


def running(daemon):
    return sum(row["tasks"] for row in daemon.get("/v1/workers").json()["workers"])


def fill(daemon, already, wanted):
    with concurrent.futures.ThreadPoolExecutor(SUBMITTERS) as pool:
        list(pool.map(lambda n: submit(daemon, n), range(already, wanted)))
    fleets.wait_for(lambda: running(daemon) >= wanted, SUBMIT_SECONDS, f"{wanted} jobs run")
    time.sleep(SETTLE_SECONDS)


def store_calls(fleet):
    # The reading itself is the one kind that is not the daemon's.
    return {kind: n for kind, n in fleet.store.stats()["calls"].items() if kind != "stats"}


def window(fleet, ports, seconds):
    """One window: shares and rates of the first daemon, and the store's rates over all daemons."""
    daemon = next(iter(fleet.daemons.values()))
    calls, sent, cpu, at = store_calls(fleet), bench_fleet.tcp_bytes(*ports), bench_fleet.cpu_seconds(daemon), \
        time.monotonic()
    time.sleep(seconds)
    took = time.monotonic() - at
    cpu = bench_fleet.cpu_seconds(daemon) - cpu
    moved = bench_fleet.bytes_between(sent, bench_fleet.tcp_bytes(*ports))
    now = store_calls(fleet)
    return {"cpu": 100 * cpu / took, "mb": bench_fleet.resident_megabytes(daemon), "bytes": moved / took,
            "store": (sum(now.values()) - sum(calls.values())) / took,
            "kinds": {kind: (n - calls.get(kind, 0)) / took for kind, n in now.items()}}


def windows(fleet, ports, arguments):
    return [window(fleet, ports, arguments.seconds) for _ in range(arguments.windows)]


def column(rows, field):
    return [row[field] for row in rows]


def verdict(value, bound):
    return "" if value <= bound else "  MISSED"


def measure_workers(workers, arguments):
    """The cells of one number of workers: medians, and whether the bounds were met."""
    cells, good = [], True
    with bench_fleet.OneDomain(workers, SLOTS) as fleet:
        fleet.apply_config(CONFIG)
        fleet.wait_all_owned()
        daemon = next(iter(fleet.daemons.values()))
        ports = (fleet.group.first_port, fleet.group.first_port + workers - 1)
        already = 0
        for tasks in TASKS:
            fill(daemon, already, workers * tasks)
            already = workers * tasks
            rows = windows(fleet, ports, arguments)
            cell = {field: statistics.median(column(rows, field)) for field in ("cpu", "mb", "bytes", "store")}
            cells.append({"workers": workers, "tasks": workers * tasks, **cell})
            share, each = cell["cpu"] / workers, cell["bytes"] / workers
            print(f"{workers} workers x {tasks} tasks: daemon {bench_fleet.spread(column(rows, 'cpu'))} % of a core "
                  f"(a worker's share {share:.3f} %, bound {CPU_BOUND_PERCENT}){verdict(share, CPU_BOUND_PERCENT)}, "
                  f"{bench_fleet.spread(column(rows, 'mb'))} MB (bound {MEMORY_BOUND_MB})"
                  f"{verdict(cell['mb'], MEMORY_BOUND_MB)}, bytes/s a worker "
                  f"{bench_fleet.spread([b / workers for b in column(rows, 'bytes')])} (bound {BYTES_BOUND})"
                  f"{verdict(each, BYTES_BOUND)}, store calls/s {bench_fleet.spread(column(rows, 'store'))}; the daemon "
                  f"as a node by itself: {cell['cpu']:.1f} % of {CPU_BOUND_PERCENT} % "
                  f"{'within' if cell['cpu'] <= CPU_BOUND_PERCENT else 'beyond'}", flush=True)
            good = good and share <= CPU_BOUND_PERCENT and cell["mb"] <= MEMORY_BOUND_MB and each <= BYTES_BOUND
    return cells, good


def measure_daemons(count, arguments):
    """Several daemons that only keep each other and the store informed."""
    with bench_fleet.OneDomain(1, SLOTS, daemons=count) as fleet:
        fleet.apply_config(CONFIG)
        fleet.wait_all_owned()
        time.sleep(SETTLE_SECONDS)
        ports = sorted(int(d.address.rsplit(":", 1)[1]) for d in fleet.daemons.values())
        rows = windows(fleet, (ports[0], ports[-1]), arguments)
    kinds = {kind: statistics.median([row["kinds"].get(kind, 0) for row in rows]) for kind in rows[-1]["kinds"]}
    print(f"{count} daemons, 1 worker: the first {bench_fleet.spread(column(rows, 'cpu'))} % of a core, "
          f"{bench_fleet.spread(column(rows, 'mb'))} MB, bytes/s between all daemons "
          f"{bench_fleet.spread(column(rows, 'bytes'))}, store calls/s {bench_fleet.spread(column(rows, 'store'))} "
          f"({', '.join(f'{k} {v:.1f}' for k, v in sorted(kinds.items()) if v > 0)})", flush=True)
    return {"daemons": count, "ordered pairs": count * (count - 1),
            **{field: statistics.median(column(rows, field)) for field in ("cpu", "mb", "bytes", "store")}}


def solve(matrix, right):
    """Gauss-Jordan for the few unknowns here."""
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


def slopes(cells, names, field):
    """Least squares: a constant and one slope for each name."""
    points = [[1.0] + [cell[name] for name in names] for cell in cells]
    size = len(names) + 1
    normal = [[sum(p[i] * p[j] for p in points) for j in range(size)] for i in range(size)]
    right = [sum(p[i] * cell[field] for p, cell in zip(points, cells)) for i in range(size)]
    return solve(normal, right)


def print_slopes(cells, names, fields):
    for field, unit in fields.items():
        constant, *each = slopes(cells, names, field)
        parts = " + ".join(f"{slope:.4g} x {name}" for slope, name in zip(each, names))
        print(f"slope: {unit} = {constant:.4g} + {parts}", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="+", default=[50, 200, 500])
    parser.add_argument("--daemons", type=int, nargs="*", default=[1, 4, 8])
    parser.add_argument("--windows", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=3)
    arguments = parser.parse_args()
    print(f"medians (spread) of {arguments.windows} windows of {arguments.seconds:g} s")
    cells, good = [], True
    for workers in arguments.workers:
        found, met = measure_workers(workers, arguments)
        cells += found
        good &= met
    units = {"cpu": "% of a core", "mb": "MB", "bytes": "sync bytes/s", "store": "store calls/s"}
    if len(arguments.workers) > 1:
        print_slopes(cells, ["workers", "tasks"], units)
    rows = [measure_daemons(count, arguments) for count in arguments.daemons]
    if len(rows) > 1:
        print_slopes(rows, ["daemons"], {"cpu": "% of a core", "mb": "MB", "store": "store calls/s"})
        print_slopes(rows, ["ordered pairs"], {"bytes": "bytes/s between all daemons"})
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
