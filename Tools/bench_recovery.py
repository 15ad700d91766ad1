"""Measures recovery from a killed daemon, a paused daemon and a store outage, with real processes.

Prints for each fault: the time until the workers start work again, relative to the earliest moment that safety allows
(the start window, counted from the fault); the jobs resumed; outcomes "unknown"; and the peak rate of store calls.
Exits with status 1 if a bound is missed.
"""

import argparse
import pathlib
import statistics
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Source/UnitTests/Process"))

from fixtures import CONFIG, Load, fleets, job, judge, submit_until_accepted, wait_until_jobs_end  # noqa: E402

# The default start window: a new owner may not place work until this long after the last sync of the previous owner.
EARLIEST_SECONDS = 3.0
# Bound on the recovery time, as a multiple of EARLIEST_SECONDS: it covers detection of the silent peer, the start
# window and two sync intervals.
BOUND_RATIO = 3.0
# Bound on the fleet's store calls per second at the peak of recovery; the platform sustains several hundred writes per
# second.
STORE_CALLS_BOUND = 150


class StoreCallRateSampler:
    """Samples the store's call count every half second and keeps the highest rate between two samples."""

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

    def call_count(self):
        calls = self.store.stats()["calls"]
        return sum(n for kind, n in calls.items() if kind != "stats")

    def sample(self):
        last, last_at = None, None
        while not self.stopping.is_set():
            try:
                now, count = time.monotonic(), self.call_count()
                if last is not None:
                    self.peak = max(self.peak, (count - last) / (now - last_at))
                last, last_at = count, now
            except (OSError, fleets.http.client.HTTPException):
                pass
            self.stopping.wait(0.5)


def first_starts_after(fleet, workers, wall_ms):
    """Returns the wall time, in ms, of the first start after `wall_ms` on each of the workers that had one."""
    found = {}
    for name in workers:
        rows = [r["wallMs"] for r in fleet.workers[name].journal()
                if r.get("event") == "start" and r["wallMs"] > wall_ms]
        if rows:
            found[name] = min(rows)
    return found


def run_fault(fault, seed):
    """Runs one fault; returns the seconds until the last orphaned worker starts work again, and the counts."""
    with fleets.Fleet(daemons_per_domain=2, workers_per_domain=3) as fleet:
        fleet.apply_config(CONFIG)
        fleet.wait_until_all_owned()
        ids = [submit_until_accepted(fleet, job(f"plan-{seed}-{i}", run_ms=4000)) for i in range(30)]
        victim = next(d for d in fleet.daemons.values() if d.owned_workers())
        orphaned = victim.owned_workers()
        others = [d for d in fleet.daemons.values() if d is not victim]
        same_domain = [d for d in others if d.domain == victim.domain]
        with Load(fleet, "previews", callers=24, run_ms=100, daemons=same_domain) as previews, \
                Load(fleet, "orders", callers=4, daemons=others) as orders, StoreCallRateSampler(fleet.store) as rate:
            fleets.wait_for(lambda: previews.count("answer") > 100, 30, "the load is running")
            fault_at = time.time() * 1000
            if fault == "killed":
                victim.kill()
            elif fault == "paused":
                victim.pause()
            fleets.wait_for(lambda: len(first_starts_after(fleet, orphaned, fault_at + 1000)) == len(orphaned), 60,
                            "every orphaned worker starts work again")
            recovered_at = max(first_starts_after(fleet, orphaned, fault_at + 1000).values())
            if fault == "paused":
                victim.resume()
            states = wait_until_jobs_end(fleet, ids)
        violations = judge.find_violations(fleet)
        # A shard may be moving back to the resumed daemon, so retry until the shard's owner answers.
        rows = [fleets.wait_for(lambda i=i: fleet.any_daemon().job(i), 30, f"{i} is reported") for i in ids]
        attempts = [len(row["attempts"]) for row in rows]
        return {"seconds": (recovered_at - fault_at) / 1000, "resumed": sum(1 for n in attempts if n > 1),
                "unknown": previews.count("unknown") + orders.count("unknown"),
                "finished": sum(1 for s in states.values() if s == "finished"), "jobs": len(ids),
                "peak": rate.peak, "violations": len(violations)}


def run_store_outage(seed):
    """Stops the store for 15 s under load; returns the seconds until a job is accepted again, and the counts."""
    with fleets.Fleet(daemons_per_domain=2, workers_per_domain=3) as fleet:
        fleet.apply_config(CONFIG)
        fleet.wait_until_all_owned()
        ids = [submit_until_accepted(fleet, job(f"plan-{seed}-{i}", run_ms=2000)) for i in range(30)]
        with Load(fleet, "previews", callers=8, run_ms=50) as previews, Load(fleet, "orders", callers=4) as orders:
            fleets.wait_for(lambda: previews.count("answer") > 50, 30, "the load is running")
            fleet.store.set_faults(down=True)
            time.sleep(15)
            refused = orders.count("not-run")
            with StoreCallRateSampler(fleet.store) as rate:
                fleet.store.set_faults(down=False)
                restored_at = time.monotonic()
                ids.append(submit_until_accepted(fleet, job(f"plan-{seed}-late", run_ms=500)))
                seconds = time.monotonic() - restored_at
                states = wait_until_jobs_end(fleet, ids)
        return {"seconds": seconds, "resumed": 0, "unknown": previews.count("unknown") + orders.count("unknown"),
                "finished": sum(1 for s in states.values() if s == "finished"), "jobs": len(ids), "refused": refused,
                "peak": rate.peak, "violations": len(judge.find_violations(fleet))}


def report(name, rows, earliest):
    seconds = sorted(row["seconds"] for row in rows)
    median = statistics.median(seconds)
    line = (f"{name}: recovered after median {median:.2f} s (range {seconds[0]:.2f}-{seconds[-1]:.2f}, n={len(rows)})"
            f", jobs resumed {sum(r['resumed'] for r in rows)}, unknown {sum(r['unknown'] for r in rows)}"
            f", finished {sum(r['finished'] for r in rows)} of {sum(r['jobs'] for r in rows)}"
            f", store calls/s at peak {max(r['peak'] for r in rows):.0f} (bound {STORE_CALLS_BOUND})"
            f", violations {sum(r['violations'] for r in rows)} (bound 0)")
    passed = all(r["peak"] <= STORE_CALLS_BOUND and r["violations"] == 0 and r["finished"] == r["jobs"] for r in rows)
    if earliest:
        ratio = median / earliest
        line += f", ratio to the earliest safe moment {ratio:.2f} (bound {BOUND_RATIO})"
        passed = passed and ratio <= BOUND_RATIO
    print(line + ("" if passed else "  MISSED"), flush=True)
    return passed


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    arguments = parser.parse_args()
    passed = True
    for fault in ("killed", "paused"):
        passed &= report(fault, [run_fault(fault, seed) for seed in range(arguments.runs)], EARLIEST_SECONDS)
    passed &= report("store outage", [run_store_outage(seed) for seed in range(arguments.runs)], None)
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
