"""A worker crashes and its next life is of another kind; a task that requires the former kind waits for room."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))
import fleet as deployment  # noqa: E402

CPU = 16000
# A restart by a supervisor.
DOWN_S = 0.25
WATCH_S = 8.0


async def play(fleet):
    special = fleet.workers[0]
    running, waiting = deployment.new_id(), deployment.new_id()
    phase = {"count": 1, "cpu": CPU, "mem_mb": 1024, "estimate_ms": 60000, "requires": "b"}
    if not await fleet.submit(running, [phase]) or not await fleet.until(lambda: fleet.journal.of_job(running), 15):
        return None
    # Waits for the only worker of this kind.
    if not await fleet.submit(waiting, [phase]):
        return None
    await asyncio.sleep(3)
    fleet.crash_worker(special)
    await asyncio.sleep(DOWN_S)
    if deployment.is_troubled():
        special.kind = "a"
    await fleet.start_worker(special)
    started_at = fleet.now()
    await asyncio.sleep(WATCH_S)
    return [f"{run.task} requires label b and was started on {run.worker}, whose labels are {special.labels()}, "
            f"{run.started_at - started_at:.3f} s after the start of this life"
            for run in fleet.journal.runs
            if run.started_at >= started_at and "b" not in fleet.worker(run.worker).labels()]


async def start(fleet):
    fleet.workers[0].kind = "b"
    await begin(fleet)


begin = deployment.Fleet.start
deployment.Fleet.start = start
sys.exit(deployment.main(play, HERE, behaviour=lambda task: (60.0, "done"), cpu=CPU))
