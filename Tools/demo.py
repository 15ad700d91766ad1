"""Runs requests and jobs on a small fleet of real processes, kills a daemon meanwhile and checks the guarantees.

The fleet has three failure domains, six daemons, six workers with 8 slots each, and the store stand-in.
"""

import collections
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Source/UnitTests/Process"))

from fixtures import Load, fleets, job, judge, submit_until_accepted, wait_until_jobs_end  # noqa: E402

CONFIG_FILE = ROOT / "Data" / "demo-configuration.json"
JOBS = 24


def cli(*arguments, check=True):
    """Prints a lavendercart command, then runs it with its output shown."""
    print(f"\n$ lavendercart {' '.join(arguments)}", flush=True)
    done = subprocess.run([fleets.BIN / "lavendercart", *arguments], stdin=subprocess.DEVNULL, timeout=90)
    if check and done.returncode != 0:
        raise fleets.FleetError(f"lavendercart {arguments[0]} exited with status {done.returncode}")
    return done.returncode


def show_outcomes(name, load):
    counts = collections.Counter(reply.outcome for reply in load.replies.values())
    print(f"{name}: {dict(counts)}, requests without a reply because of the killed daemon: {len(load.errors)}")


def main():
    violations = []
    with fleets.Fleet(daemons_per_domain=2, workers_per_domain=2) as fleet:
        first = next(iter(fleet.daemons.values()))
        os.environ["LAVENDERCART_DAEMON"] = ",".join(d.address for d in fleet.daemons.values())
        print(f"fleet: {len(fleet.daemons)} daemons, {len(fleet.workers)} workers, 3 failure domains, 1 store")
        cli("config", "check", str(CONFIG_FILE))
        cli("config", "apply", str(CONFIG_FILE), "--base", "0")
        fleet.wait_until_all_owned()
        cli("hosts")
        cli("workers")
        cli("request", "previews", "--body", '{"runMs": 20, "echo": "monogram AB"}', "--id", "demo-preview")

        ids = [submit_until_accepted(fleet, job(f"plan-{i}", run_ms=2000)) for i in range(JOBS)]
        with Load(fleet, "previews") as previews, Load(fleet, "orders", callers=2) as orders:
            fleets.wait_for(lambda: previews.count("answer") > 200 and orders.count("answer") > 10, 60,
                            "the load is running")
            victim = next(d for d in fleet.daemons.values() if d is not first and d.owned_workers())
            orphaned = set(victim.owned_workers())
            print(f"\nkilling {victim.name}, owner of {sorted(orphaned)}")
            victim.kill()
            survivors = [d for d in fleet.daemons.values() if d.alive]
            fleets.wait_for(lambda: orphaned <= {w for d in survivors for w in d.owned_workers()}, 30,
                            "the workers have a new owner")
            answered_before = previews.count("answer")
            fleets.wait_for(lambda: previews.count("answer") > answered_before + 200, 60, "requests are still answered")
        states = wait_until_jobs_end(fleet, ids)

        print()
        show_outcomes("previews", previews)
        show_outcomes("orders", orders)
        print(f"jobs: {dict(collections.Counter(states.values()))} of {len(ids)} accepted")
        cli("job", "list")
        retried = next((i for i in ids if len(first.job(i)["attempts"]) > 1), ids[0])
        cli("timeline", "--job", retried, check=False)
        cli("timeline", "--request", "demo-preview", check=False)

        violations += judge.find_violations(fleet)
        starts = judge.count_request_starts(fleet)
        violations += [f"{i} ran {starts[i]} times" for i in [*orders.replies, *orders.errors] if starts[i] > 1]
        violations += [f"{i} was answered \"not-run\" but ran" for load in (orders, previews)
                       for i, reply in load.replies.items() if reply.outcome == "not-run" and starts[i]]
        violations += [f"{i} ended {s}" for i, s in states.items() if s != "finished"]
        violations += [f"{i}: {r.status} {r.body[:120]}" for i, r in previews.replies.items()
                       if r.outcome not in ("answer", "not-run")]
    for violation in violations:
        print(f"VIOLATION: {violation}")
    print("\nall guarantees held" if not violations else f"\n{len(violations)} violations of guarantees")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
