"""A host is told to stop; clients cancel jobs on connections that they opened before."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))
import fleet as deployment  # noqa: E402

CLIENTS = 26
FIRST_S = 2.4
GAP_S = 0.1
GRACE_S = 6.0
LOSS_SLACK_S = 0.2


async def play(fleet):
    for worker in fleet.workers:
        # The worker stops a run within half of this, so within the pages' stop_grace_ms.
        worker.stop_grace = 0.78
    jobs = [deployment.new_id() for _ in range(CLIENTS)]
    phase = {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 60000}
    for job in jobs:
        if not await fleet.submit(job, [phase]):
            return None
    if not await fleet.until(lambda: all(len(fleet.journal.of_job(job)) == 2 for job in jobs), 20):
        return None
    host = fleet.hosts[0]
    ip, port = host.front.rsplit(":", 1)
    connections = [await asyncio.open_connection(ip, int(port)) for _ in jobs]
    await asyncio.sleep(5)
    stopped_at = fleet.now()
    if deployment.is_troubled():
        host.signal(15)
    breaks = []
    await asyncio.gather(*(cancel(fleet, stopped_at, index, jobs[index], connections[index], breaks)
                           for index in range(CLIENTS)))
    return breaks


async def cancel(fleet, stopped_at, index, job, connection, breaks):
    reader, writer = connection
    await asyncio.sleep(max(0.0, stopped_at + FIRST_S + GAP_S * index - fleet.now()))
    try:
        writer.write((f"DELETE /desk/{job} HTTP/1.1\r\nHost: desk.example\r\nX-Deadline-Ms: 3000\r\n"
                      "Content-Length: 0\r\n\r\n").encode())
        sent_at = fleet.now()
        data = await asyncio.wait_for(reader.read(4096), 3)
    except (OSError, asyncio.TimeoutError) as error:
        data = repr(error).encode()
    took = fleet.now() - sent_at
    status = data.split(b" ")[1].decode() if data.startswith(b"HTTP/1.1 ") else "none"
    fleet.note("cancel", job, f"after-signal={sent_at - stopped_at:.3f}", f"status={status}", f"took={took:.3f}")
    if status == "none" and LOSS_SLACK_S < took and sent_at + took < stopped_at + GRACE_S + 1:
        breaks.append(f"DELETE {job}, sent {sent_at - stopped_at:.3f} s after SIGTERM, got no answer; its connection "
                      f"ended {took:.3f} s after its last byte")
    writer.close()


sys.exit(deployment.main(play, HERE, behaviour=lambda task: (90.0, "done")))
