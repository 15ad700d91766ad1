"""Recovery of a killed daemon, a paused one, and a store that comes back, with real processes.

Prints for each: time until the workers take work again, against the earliest moment that safety allows (the start window,
counted from the fault); jobs resumed; outcomes "unknown"; store calls a second at the peak. Exits 1 on a missed bound.
"""

import argparse
import pathlib
import statistics
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Source/UnitTests/Process"))

from fixtures import CONFIG, Load, fleets, job, judge, submit_until_accepted, wait_jobs_ended  # noqa: E402

# The start window of the default settings: no new owner may place work earlier after the last sync of the old one.
EARLIEST_SECONDS = 3.0
# Bound on the time until workers take work again: detection of the silent peer, the window, two sync intervals.
BOUND_RATIO = 3.0
# Bound on store calls a second over the whole fleet at the peak of recovery; the platform bears several hundred writes.
STORE_CALLS_BOUND = 150


class StoreRate:
    """Samples the store's count of calls and keeps the highest rate over half a second."""

    def __init__(self, store):
        self.store = store
        self.peak = 0.0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.sample)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        self.thread.join()

    def total(self):
        calls = self.store.stats()["calls"]
        return sum(n for kind, n in calls.items() if kind != "stats")

    def sample(self):
        last, last_at = None, None
        while not self.stopping.is_set():
            try:
                now, count = time.monotonic(), self.total()
                if last is not None:
                    self.peak = max(self.peak, (count - last) / (now - last_at))
                last, last_at = count, now
            except (OSError, fleets.http.client.HTTPException):
                pass
            self.stopping.wait(0.5)


def first_start_after(fleet, workers, wall_ms):
    """Wall time of the first start on each of the workers after the given moment."""
    found = {}
    for name in workers:
        rows = [r["wallMs"] for r in fleet.workers[name].journal() if r.get("event") == "start" and r["wallMs"] > wall_ms]
        if rows:
            found[name] = min(rows)
    return found


def run_fault(fault, seed):
    """One run; yields seconds until the last orphaned worker works again, and the counts."""
    with fleets.Fleet(daemons_per_domain=2, workers_per_domain=3) as fleet:
        fleet.apply_config(CONFIG)
        fleet.wait_all_owned()
        ids = [submit_until_accepted(fleet, job(f"plan-{seed}-{i}", run_ms=4000)) for i in range(30)]
        victim = next(d for d in fleet.daemons.values() if d.owned_workers())
        orphaned = victim.owned_workers()
        others = [d for d in fleet.daemons.values() if d is not victim]
        same_domain = [d for d in others if d.domain == victim.domain]
        with Load(fleet, "previews", callers=24, run_ms=100, daemons=same_domain) as previews, \
                Load(fleet, "orders", callers=4, daemons=others) as orders, StoreRate(fleet.store) as rate:
            fleets.wait_for(lambda: previews.count("answer") > 100, 30, "the load runs")
            wall = time.time() * 1000
            if fault == "killed":
                victim.kill()
            elif fault == "paused":
                victim.pause()
            fleets.wait_for(lambda: len(first_start_after(fleet, orphaned, wall + 1000)) == len(orphaned), 60,
                            "every orphaned worker works again")
            back = max(first_start_after(fleet, orphaned, wall + 1000).values())
            if fault == "paused":
                victim.resume()
            states = wait_jobs_ended(fleet, ids)
        faults = judge.faults(fleet)
        # A shard may be changing hands back to the daemon that woke up: ask until its owner answers.
        rows = [fleets.wait_for(lambda i=i: fleet.any_daemon().job(i), 30, f"{i} is told") for i in ids]
        attempts = [len(row["attempts"]) for row in rows]
        return {"seconds": (back - wall) / 1000, "resumed": sum(1 for n in attempts if n > 1),
                "unknown": previews.count("unknown") + orders.count("unknown"),
                "finished": sum(1 for s in states.values() if s == "finished"), "jobs": len(ids),
                "peak": rate.peak, "faults": len(faults)}


def run_store_return(seed):
    """The store is away for some seconds under load; seconds until a job is accepted again."""
    with fleets.Fleet(daemons_per_domain=2, workers_per_domain=3) as fleet:
        fleet.apply_config(CONFIG)
        fleet.wait_all_owned()
        ids = [submit_until_accepted(fleet, job(f"plan-{seed}-{i}", run_ms=2000)) for i in range(30)]
        with Load(fleet, "previews", callers=8, run_ms=50) as previews, Load(fleet, "orders", callers=4) as orders:
            fleets.wait_for(lambda: previews.count("answer") > 50, 30, "the load runs")
            fleet.store.faults(down=True)
            time.sleep(15)
            refused = orders.count("not-run")
            with StoreRate(fleet.store) as rate:
                fleet.store.faults(down=False)
                back_at = time.monotonic()
                ids.append(submit_until_accepted(fleet, job(f"plan-{seed}-late", run_ms=500)))
                seconds = time.monotonic() - back_at
                states = wait_jobs_ended(fleet, ids)
        return {"seconds": seconds, "resumed": 0, "unknown": previews.count("unknown") + orders.count("unknown"),
                "finished": sum(1 for s in states.values() if s == "finished"), "jobs": len(ids), "refused": refused,
                "peak": rate.peak, "faults": len(judge.faults(fleet))}


def report(name, rows, earliest):
    seconds = sorted(row["seconds"] for row in rows)
    median = statistics.median(seconds)
    line = (f"{name}: works again after median {median:.2f} s (spread {seconds[0]:.2f}-{seconds[-1]:.2f}, n={len(rows)})"
            f", jobs resumed {sum(r['resumed'] for r in rows)}, unknown {sum(r['unknown'] for r in rows)}"
            f", finished {sum(r['finished'] for r in rows)} of {sum(r['jobs'] for r in rows)}"
            f", store calls/s at peak {max(r['peak'] for r in rows):.0f} (bound {STORE_CALLS_BOUND})"
            f", broken promises {sum(r['faults'] for r in rows)} (bound 0)")
    good = all(r["peak"] <= STORE_CALLS_BOUND and r["faults"] == 0 and r["finished"] == r["jobs"] for r in rows)
    if earliest:
        ratio = median / earliest
        line += f", ratio to the earliest safe moment {ratio:.2f} (bound {BOUND_RATIO})"
        good = good and ratio <= BOUND_RATIO
    print(line + ("" if good else "  MISSED"), flush=True)
    return good


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    arguments = parser.parse_args()
    good = True
    for fault in ("killed", "paused"):
        good &= report(fault, [run_fault(fault, seed) for seed in range(arguments.runs)], EARLIEST_SECONDS)
    good &= report("store returned", [run_store_return(seed) for seed in range(arguments.runs)], None)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
