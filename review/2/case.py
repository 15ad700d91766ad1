"""All workers of one rack are lost for good while scheduled jobs wait for their time."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
from fleet import TROUBLE, job_id, play  # noqa: E402

JOBS = 24
TIMES = 5
INTERVAL_S = 1.5
STARTS_AFTER_S = 9
FINISH_S = 14
IDLE_S = 3
STEP = {"count": 2, "cpu": 2000, "mem_mb": 512, "estimate_ms": 600}
# The data of every third job lies in the rack that is lost.
NEAR = dict(STEP, affinity="r2-1")


async def scenario(fleet):
    for zone, racks in zip(fleet.zones, (("r1-1", "r1-2"), ("r2-1",), ("r3-1", "r3-2"))):
        for rack in racks:
            for _ in range(7 if len(racks) > 1 else 4):
                fleet.add_worker(zone, rack).default_duration = 0.6
    fleet.configure(3, {"plans": {}})
    await fleet.start()
    await fleet.ready("plans")
    await asyncio.sleep(4)
    start_at = int((time.time() + STARTS_AFTER_S) * 1000)
    due = fleet.now() + STARTS_AFTER_S
    for number in range(1, JOBS + 1):
        if not await fleet.submit(job_id(number), "plans", [STEP if number % 3 else NEAR], times=TIMES, start_at_ms=start_at,
                                  interval_ms=int(INTERVAL_S * 1000)):
            return [f"job {number} wasn't accepted"]
    await asyncio.sleep(2)
    if TROUBLE:
        lost = [worker for worker in fleet.workers if "r2-1" in worker.labels]
        for worker in lost:
            await worker.crash()
        fleet.note("trouble", f"all {len(lost)} of {len(fleet.workers)} workers that are in rack r2-1 are lost for good")
        await asyncio.sleep(4.5)
        for worker in lost:
            fleet.store.delete("servers/" + worker.id)
        fleet.note("platform", "their entries have expired")
    asked = due + TIMES * INTERVAL_S + FINISH_S
    await asyncio.sleep(asked - fleet.now())
    capacity = sum(worker.cpu for worker in fleet.workers if worker.up)
    active, in_use = set(), 0
    until = fleet.now() + IDLE_S
    while fleet.now() < until:
        runs = [task for worker in fleet.workers if worker.up for task in worker.runs]
        active.update(task.split(".")[0] for task in runs)
        in_use = max(in_use, len(runs) * STEP["cpu"])
        await asyncio.sleep(0.02)
    breaks = []
    for number in range(1, JOBS + 1):
        job = job_id(number)
        status, answer = await fleet.client(fleet.hosts[number % 3], "GET", f"/plans/{job}")
        if status == 200 and answer["state"] == "completed":
            continue
        starts = sum(1 for line in fleet.lines if " start i-" in line and f" {job}." in line)
        if job not in active and in_use < capacity / 2 and 2 * STEP["count"] * STEP["cpu"] < capacity - in_use:
            breaks.append(f"job {job} is {answer} and had nothing running for {IDLE_S} s, {fleet.now() - due:.0f} s after "
                          f"its first time: {starts} of {STEP['count'] * TIMES} tasks started; {in_use // 1000} of "
                          f"{capacity // 1000} cores were in use")
    return breaks


play(pathlib.Path(__file__).resolve().parent, scenario)
