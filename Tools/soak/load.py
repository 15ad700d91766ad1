"""Clients of a soak: they submit jobs, ask for their states and cancel some."""

import asyncio
import collections

TRIES = 4
LASTING_SHARE_OF_ROOM = 0.5
LASTING_SHARE_OF_JOBS = 0.15
# Shapes of the jobs that don't last, with their weights.
SHAPES = {"short": 0.52, "checkpoints": 0.22, "speculative": 0.1, "apart": 0.12, "wide": 0.04}
WIDE_CPU = 4000
DEFAULT_CELL_WORKERS = 20


class Load:
    """Submits at `pace` jobs a second; `lasting` is the share of jobs that last. These are cancelled before they would
    hold more than half the room. Wide steps need more than the room of a cell of `cell_workers`."""

    def __init__(self, fleet, random, pace, lasting=LASTING_SHARE_OF_JOBS, cell_workers=DEFAULT_CELL_WORKERS):
        self.fleet, self.random, self.pace = fleet, random, pace
        self.lasting_share, self.cell_workers = lasting, cell_workers
        self.jobs = {}
        self.accepted = set()
        self.accepted_at = {}
        self.cancelled = set()
        self.lasting = []
        self.stopped = False

    def behaviour(self, task):
        """How long the task's run works, in seconds, and how it ends. None: it lasts."""
        job, _, step, _ = task.split(".")
        phase = self.jobs[job][int(step)]
        if phase.get("long_running"):
            return (self.random.uniform(5, 60), "failed") if self.random.random() < 0.2 else (None, "done")
        how = "failed" if self.random.random() < 0.05 else "done"
        length = phase["estimate_ms"] / 1000 * self.random.uniform(0.5, 1.5)
        # Copies are started beside runs that lag behind.
        lags = phase.get("speculative") and self.random.random() < 0.2
        return length * (6 if lags else 1), how

    def _phases(self):
        if self.random.random() < self.lasting_share:
            return [{"count": 6, "cpu": 1500, "mem_mb": 512, "estimate_ms": 400, "long_running": True,
                     "image": "watch", "target_ms": 200}]
        shape = self.random.choices(list(SHAPES), list(SHAPES.values()))[0]
        return getattr(self, "_" + shape)()

    def _short(self):
        return self._maybe_twice({"count": 6, "cpu": 1600, "mem_mb": 256, "estimate_ms": 800})

    def _checkpoints(self):
        first = {"count": 8, "cpu": 1800, "mem_mb": 512, "estimate_ms": 2700, "checkpoints": True}
        return [first, dict(first, after=[0])]

    def _speculative(self):
        return self._maybe_twice({"count": 6, "cpu": 1500, "mem_mb": 256, "estimate_ms": 900, "speculative": True})

    def _apart(self):
        return self._maybe_twice({"count": 6, "cpu": 1200, "mem_mb": 256, "estimate_ms": 1500, "max_per_server": 1})

    def _wide(self):
        """Its parts move to other cells, as no cell has room for all of it."""
        zones = collections.Counter(worker.zone for worker in self.fleet.workers if worker.up)
        workers = min([self.cell_workers, *zones.values()])
        room = workers * max(worker.cpu for worker in self.fleet.workers)
        count = int(room * self.random.uniform(1.25, 2.5) / WIDE_CPU)
        return [{"count": count, "cpu": WIDE_CPU, "mem_mb": 256, "estimate_ms": 1800}]

    def _maybe_twice(self, phase):
        return [phase, dict(phase, after=[0])] if self.random.random() < 0.6 else [phase]

    async def run(self):
        running = set()
        while not self.stopped:
            running.add(asyncio.ensure_future(self._submit()))
            if self.random.random() < 0.3 and self.accepted:
                running.add(asyncio.ensure_future(self._ask(self.random.choice(sorted(self.accepted)))))
            running = {task for task in running if not task.done()}
            await asyncio.sleep(self.random.expovariate(self.pace))
        await asyncio.gather(*running, return_exceptions=True)

    def _host(self):
        up = [host for host in self.fleet.hosts if host.up]
        return self.random.choice(up) if up else None

    async def _submit(self):
        job = f"{self.random.getrandbits(64):016x}"
        phases = self._phases()
        self.jobs[job] = phases
        self.fleet.judge.speculative |= {(job, str(step)) for step, phase in enumerate(phases)
                                         if phase.get("speculative")}
        for _ in range(TRIES):
            host = self._host()
            if host:
                status, _ = await host.call("POST", f"/desk/{job}", {"spec": "work", "phases": phases})
                if status == 200:
                    self.accepted.add(job)
                    self.accepted_at[job] = self.fleet.judge.now()
                    self.fleet.job_accepted.set()
                    lasting = bool(phases[0].get("long_running"))
                    self.fleet.note("accepted", job, f"host={host.name}", f"lasting={lasting}")
                    if lasting:
                        await self._limit_lasting(job)
                    return
                if status in (404, 410):
                    return
            await asyncio.sleep(self.random.uniform(0.2, 1.0))

    async def _limit_lasting(self, job):
        self.lasting.append(job)
        room = sum(worker.cpu for worker in self.fleet.workers if worker.up) * LASTING_SHARE_OF_ROOM
        while self.lasting and len(self.lasting) * 6 * 1500 > room:
            await self._cancel(self.lasting.pop(0))

    async def _cancel(self, job):
        self.cancelled.add(job)
        for _ in range(TRIES):
            host = self._host()
            if host and (await host.call("DELETE", f"/desk/{job}"))[0] in (200, 410):
                return
            await asyncio.sleep(0.3)

    async def _ask(self, job):
        host = self._host()
        if not host:
            return
        status, answer = await host.call("GET", f"/desk/{job}")
        if status == 200 and isinstance(answer, dict) and answer.get("state") == "completed":
            self.fleet.judge.shown_completed(job)

    async def unfinished(self, within):
        """Accepted jobs that should end, and haven't after `within` seconds without faults."""
        waiting = {job for job in self.accepted - self.cancelled if not self.jobs[job][0].get("long_running")}
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        while waiting and loop.time() < end:
            for job in sorted(waiting):
                host = self._host()
                status, answer = await host.call("GET", f"/desk/{job}") if host else (None, None)
                if status == 200 and answer.get("state") in ("completed", "failed"):
                    waiting.discard(job)
            await asyncio.sleep(0.5)
        return sorted(waiting)
