"""A task that lasts ends by itself, as `done`; it has to be started again."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))
import fleet as deployment  # noqa: E402

ENDS_AFTER_S = 4.0
# The rule: from 6 s after its last run, for 3 s; two more seconds for the judge's own delays.
AWAY_S = 6.0
LOST_S = 3.0
SLACK_S = 2.0


def behaviour(task):
    first = task.endswith(".0.0.0") and task not in ended
    if first and deployment.is_troubled():
        ended.add(task)
        return ENDS_AFTER_S, "done"
    return None, "done"


ended = set()


async def play(fleet):
    job = deployment.new_id()
    phases = [{"count": 3, "cpu": 1500, "mem_mb": 512, "estimate_ms": 400, "long_running": True}]
    if not await fleet.submit(job, phases):
        return None
    if not await fleet.until(lambda: len(fleet.journal.of_job(job)) == 3, 15):
        return None
    await asyncio.sleep(ENDS_AFTER_S + 1)
    breaks = []
    end = fleet.now() + AWAY_S + LOST_S + SLACK_S
    while fleet.now() < end:
        await fleet.state(job)
        await asyncio.sleep(1)
    for index in range(3):
        task = f"{job}.0.0.{index}"
        runs = [run for run in fleet.journal.runs if run.task == task]
        if all(run.ended_at is not None for run in runs):
            away = fleet.now() - max(run.ended_at for run in runs)
            breaks.append(f"{task} is to last and hasn't run for {away:.1f} s; its last run ended {runs[-1].how}")
    return breaks


sys.exit(deployment.main(play, HERE, behaviour=behaviour))
