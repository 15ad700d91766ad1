"""Two workers lose power for good, some seconds apart; a task that lasts is ordered to the second one and has to run
elsewhere soon."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))
import fleet as deployment  # noqa: E402

RACK_WORKERS = 4
SECOND_AFTER_S = 4.0
# The rule: from 6 s after the last run, for 3 s, if these and the 4 s before them are calm.
AWAY_S = 6.0
CALM_S = 4.0
LOST_S = 3.0
WATCH_S = 32.0


def behaviour(task):
    return (None, "done") if task.split(".")[0] in lasting else (0.5, "done")


lasting = set()


async def play(fleet):
    rack = fleet.workers[0].rack
    short, job = deployment.new_id(), deployment.new_id()
    lasting.add(job)
    # Short tasks on all workers of the rack, as in any deployment at work.
    if not await fleet.submit(short, [{"count": RACK_WORKERS, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500,
                                       "requires": rack, "max_per_server": 1}]):
        return None
    if not await fleet.until(lambda: sum(run.how == "done" for run in fleet.journal.of_job(short)) == RACK_WORKERS, 15):
        return None
    if not await fleet.submit(job, [{"count": 1, "cpu": 4000, "mem_mb": 512, "estimate_ms": 400, "long_running": True,
                                     "requires": rack}]):
        return None
    if not await fleet.until(lambda: running(fleet, job), 15):
        return None
    await asyncio.sleep(2)
    first = fleet.worker(running(fleet, job).worker)
    others = [worker for worker in fleet.workers if worker.rack == rack and worker is not first]
    if not deployment.is_troubled():
        await asyncio.sleep(WATCH_S / 2)
        return [] if running(fleet, job) else ["the task doesn't run"]
    fleet.darken_worker(first)
    ended_at = fleet.now()
    await asyncio.sleep(SECOND_AFTER_S)
    fleet.darken_worker(others[0])
    calm_at = fleet.now() + CALM_S
    since = max(ended_at + AWAY_S, calm_at)
    await fleet.until(lambda: running(fleet, job), ended_at + WATCH_S - fleet.now())
    back_at = fleet.now()
    run = running(fleet, job)
    fleet.note("back", f"away-s={back_at - ended_at:.3f}", run.worker if run else "not at all")
    if back_at - since <= LOST_S:
        return []
    return [f"{job}.0.0.0 is to last and didn't run for {back_at - ended_at:.1f} s after its last run, of which "
            f"{back_at - calm_at:.1f} s were calm for {CALM_S:.0f} s before, with two free workers of its label"]


def running(fleet, job):
    return next((run for run in fleet.journal.of_job(job) if run.ended_at is None), None)


sys.exit(deployment.main(play, HERE, behaviour=behaviour, workers=15))
