"""A worker of a full service crashes, and its next life is smaller; a task that waits is as large as the former life."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))
import fleet as deployment  # noqa: E402

LARGE = 16000
SMALL = 8000
# A restart by a supervisor.
DOWN_S = 0.25
WATCH_S = 8.0


def tasks(count, rack):
    return {"count": count, "cpu": LARGE, "mem_mb": 1024, "estimate_ms": 60000, "affinity": rack}


async def play(fleet):
    racks = sorted({worker.rack for worker in fleet.workers})
    size = len(fleet.workers) // len(racks)
    for rack in racks:
        job = deployment.new_id()
        if not await fleet.submit(job, [tasks(size, rack)]):
            return None
        if not await fleet.until(lambda: len(fleet.journal.of_job(job)) == size, 10):
            return None
    # Waits in the cell whose worker crashes: its rack has the data.
    worker = fleet.workers[0]
    if not await fleet.submit(deployment.new_id(), [tasks(size, worker.rack)]):
        return None
    await asyncio.sleep(3)
    fleet.crash_worker(worker)
    await asyncio.sleep(DOWN_S)
    if deployment.is_troubled():
        worker.cpu = SMALL
    await fleet.start_worker(worker)
    started_at = fleet.now()
    breaks = []

    def check(run):
        if run.worker != worker.id:
            return
        held = LARGE * sum(other.ended_at is None for other in fleet.journal.runs if other.worker == worker.id)
        if held > worker.cpu:
            breaks.append(f"{run.task} was started on {worker.id}, which has {worker.cpu / 1000:g} cores and then runs "
                          f"tasks of {held / 1000:g}, {run.started_at - started_at:.3f} s after this life's start")
    fleet.on_start = check
    await asyncio.sleep(WATCH_S)
    return breaks


sys.exit(deployment.main(play, HERE, behaviour=lambda task: (90.0, "done"), cpu=LARGE))
