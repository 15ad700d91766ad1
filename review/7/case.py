"""Workers that run a task crash and start again, one at a time; no run of the task ends `failed`."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))
import fleet as deployment  # noqa: E402

WORK_S = 30.0
CRASHES = 3
AT_WORK_S = 4.0
DOWN_S = 1.0


async def play(fleet):
    job = deployment.new_id()
    phases = [{"count": 1, "cpu": 4000, "mem_mb": 1024, "estimate_ms": int(WORK_S * 1000)}]
    if not await fleet.submit(job, phases):
        return None
    for _ in range(CRASHES if deployment.is_troubled() else 0):
        if not await fleet.until(lambda: running(fleet, job), 25):
            return [f"{job} doesn't run for 25 s"]
        await asyncio.sleep(AT_WORK_S)
        run = running(fleet, job)
        if not run:
            break
        worker = fleet.worker(run.worker)
        fleet.crash_worker(worker)
        await asyncio.sleep(DOWN_S)
        await fleet.start_worker(worker)
    breaks = []
    end = fleet.now() + WORK_S + 20
    while fleet.now() < end:
        state = await fleet.state(job, quiet=True)
        if state == "failed":
            await fleet.state(job)
            failed = [run for run in fleet.journal.of_job(job) if run.how == "failed"]
            breaks.append(f"{job} is shown as failed after {len(failed)} ends `failed`")
            break
        if state == "completed":
            await fleet.state(job)
            break
        await asyncio.sleep(0.5)
    else:
        await fleet.state(job)
        breaks.append(f"{job} isn't completed {WORK_S + 20:.0f} s after the last crash")
    return breaks


def running(fleet, job):
    return next((run for run in fleet.journal.of_job(job) if run.ended_at is None), None)


sys.exit(deployment.main(play, HERE, behaviour=lambda task: (WORK_S, "done")))
