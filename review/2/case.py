"""A worker drains some seconds after all open connections to the store have gone silent."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
from fleet import BOUNDS, TROUBLE, job_id, play  # noqa: E402

DRAIN_S = BOUNDS["drain_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
STEP = {"count": 6, "cpu": 2000, "mem_mb": 512, "estimate_ms": 500, "max_per_server": 1}


async def scenario(fleet):
    for zone in fleet.zones:
        for number in range(6):
            fleet.add_worker(zone, f"r1-{number // 3}").default_duration = 0.5
    fleet.configure(3, {"sketch": {}})
    await fleet.start()
    await fleet.ready("sketch")
    await asyncio.sleep(3)
    stop = asyncio.Event()

    async def clients():
        number = 0
        while not stop.is_set():
            number += 1
            asyncio.ensure_future(fleet.submit(job_id(number), "sketch", [STEP]))
            await asyncio.sleep(0.25)
    traffic = asyncio.ensure_future(clients())
    await asyncio.sleep(4)
    if TROUBLE:
        count = sum(link.silence() for link in fleet.links)
        fleet.note("trouble", f"{count} open connections between hosts and store go silent")
    await asyncio.sleep(CONTACT_S + 0.3)
    leaving = fleet.workers[0]
    leaving.state = "draining"
    leaving.register()
    acknowledged = fleet.now()
    fleet.note("worker", f"{leaving.id} reports draining, and the store accepts it")
    await asyncio.sleep(DRAIN_S + 5)
    stop.set()
    await traffic
    breaks = []
    for line in fleet.lines:
        at, kind, text = float(line[:8]), line[9:19].strip(), line[20:]
        if kind == "worker" and text.startswith(f"start {leaving.id} ") and at > acknowledged + DRAIN_S + 0.05:
            breaks.append(f"{text} {at - acknowledged:.2f} s after the draining was acknowledged")
    return breaks


play(pathlib.Path(__file__).resolve().parent, scenario, links=True)
