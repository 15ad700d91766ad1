"""A stand-in worker: runs tasks under a lease, lists runs and ends, and registers itself in the store."""

import asyncio
import json
import time
import types

MAX_LISTED_ENDS = 500
MAX_WAIT_MS = 2000
HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3


def wall_ms():
    return int(time.time() * 1000)


def start_call(task, attempt, lease_until, token=1):
    """A start order, as hosts send it."""
    body = {"task": task, "attempt": attempt, "fencing_token": token, "expires_ms": lease_until}
    return types.SimpleNamespace(target="/v1/run-start", headers={}, body=json.dumps(body).encode())


class _Running:
    def __init__(self, run, attempt, saved, since, length):
        self.run, self.attempt, self.saved, self.since, self.length = run, attempt, saved, since, length
        self.timer = None

    def percent(self, now):
        if self.length is None:
            return 100
        return min(99, int(100 * (now - self.since) / max(self.length, 0.001)))


class Worker:
    """One worker. `behaviour(task)` returns (seconds or None for a task that lasts, end)."""

    def __init__(self, ident, address, zone, rack, store, judge, behaviour, note, cpu=16000, mem=62500, max_hold=10.0,
                 stop_grace=0.4, clock_rate=1.0, fences_waiting=False, late_lapse=False):
        self.id, self.address, self.zone, self.rack = ident, address, zone, rack
        self.store, self.judge, self.behaviour, self.note = store, judge, behaviour, note or (lambda *row: None)
        self.cpu, self.mem, self.max_hold, self.stop_grace = cpu, mem, max_hold, stop_grace
        # The worker's clock may be 2% slow, and leases are measured on it.
        self.clock_rate = clock_rate
        # The protocol doesn't say what a hold that waits answers once a newer token has come: 409, or its lists.
        self.fences_waiting = fences_waiting
        # The protocol doesn't say what a worker does first that stood still past its lease: it carries the lapse out,
        # or (`late_lapse`) the calls that wait, and the lapse only if none of them has extended the lease.
        self.late_lapse = late_lapse
        # It goes on, and the calls that have waited come first.
        self.resuming = False
        self.up = False
        self.state = "ready"
        # Faults that keep its heartbeats from the store.
        self.cuts_from_store = 0
        # How often the platform leaves its entry when it would be removed.
        self.lapses_skipped = 0
        # The host whose call was carried out last.
        self.owner = None
        self.unhealthy = False
        self.lost_answers = 0
        # Says of each answer whether it is lost on a connection that stays silent; None: none is.
        self.loses_answer = None
        # Delays in seconds of the next starts, and of the next stops and holds: their answers are lost.
        self.late_orders = []
        self.late_calls = []
        # Says how many seconds after its arrival a call is carried out, without an answer; None: at once.
        self.delays_call = None
        # Whether no host's calls arrive.
        self.is_cut = lambda: False
        # Requests of a frozen worker wait; its timers fire when it goes on.
        self.thawed = asyncio.Event()
        self.thawed.set()
        self._heartbeats = None
        self._silence = None

    def start(self):
        """Begins a life, without any memory of a former one."""
        self.born = wall_ms()
        self.began = time.monotonic()
        # As `sent_at` of calls: those that were sent earlier are meant for a former life.
        self.began_at = self.judge.now()
        self.seq = self.token = self.numbers = 0
        self.running, self.ended, self.closed = {}, [], {}
        self.lease_until = 0
        self.lapsed_at = -1
        # The last lapse that ended a run.
        self.lapse_ended_runs_at = -1
        self.news = asyncio.Event()
        self.up = True
        self.life = object()
        self._heartbeats = asyncio.ensure_future(self._beat())

    def crash(self):
        """Everything that runs is gone, and nothing is said."""
        self.up = False
        self._heartbeats.cancel()
        for entry in self.running.values():
            entry.timer.cancel()
            self.judge.ended(entry.run, "lost")
        self.running = {}
        self.news.set()

    def leave(self):
        self.crash()
        self.store.delete("servers/" + self.id)

    def close(self):
        """Neither the worker nor its entry does anything more."""
        if self.up:
            self.crash()
        if self._silence:
            self._silence.cancel()

    def freeze(self):
        self.thawed.clear()

    def thaw(self):
        self.resuming = self.late_lapse and not self.thawed.is_set()
        self.thawed.set()
        if self.resuming:
            # The event loop comes to the calls that wait first, in the order of their arrival.
            asyncio.get_running_loop().call_soon(self._resume, self.life)

    def _resume(self, life):
        self.resuming = False
        if life is self.life and self.up:
            self._note_lapse()

    @property
    def port(self):
        return int(self.address.rsplit(":", 1)[1])

    def clock(self):
        return int((time.monotonic() - self.began) * self.clock_rate * 1000) + 1000

    def settle(self):
        """Carries out a lapse that is due and that the event loop hasn't come to yet."""
        if self.up:
            self._note_lapse()

    def entry(self):
        self.seq += 1
        entry = {"service": "desk", "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                 "state": self.state, "cold_remaining_ms": 0, "capacity": self.capacity(), "labels": ["a", self.rack],
                 "clock_ms": self.clock(), "seq": self.seq, "born": self.born}
        if self.state == "draining":
            entry["remaining_ms"] = 8000
        return entry

    def capacity(self):
        return {"cpu": self.cpu, "mem_mb": self.mem, "gpus": 0}

    async def _beat(self):
        while True:
            if not self.cuts_from_store and self.thawed.is_set() and not self.store.down:
                self.store.put("servers/" + self.id, self.entry())
                self._expect_beat()
            await asyncio.sleep(HEARTBEAT_S)

    def _expect_beat(self):
        """The platform removes the entry after three heartbeat intervals of silence."""
        if self._silence:
            self._silence.cancel()
        self._silence = asyncio.get_running_loop().call_later(SILENT_HEARTBEATS * HEARTBEAT_S, self._remove_entry)

    def _remove_entry(self):
        if self.store.down and self.store.keeps_entries_while_down:
            self._expect_beat()
            return
        if self.lapses_skipped > 0:
            self.lapses_skipped -= 1
            self._expect_beat()
            return
        if self.store.has("servers/" + self.id):
            self.note("entry-lapsed", self.id)
            self.store.delete("servers/" + self.id)

    # Lease.

    def _note_lapse(self):
        """Carries out what the lapse of the lease means, if it has lapsed since the last call."""
        if self.lease_until and self.clock() > self.lease_until and self.lapsed_at < self.lease_until:
            if self.late_lapse and (self.resuming or not self.thawed.is_set()):
                self._mark_overdue()
                return
            self.lapsed_at = self.lease_until
            if self.running:
                self.lapse_ended_runs_at = self.lapsed_at
            self.note("lease-lapsed", self.id, f"late-ms={self.clock() - self.lease_until}",
                      f"runs={len(self.running)}")
            for task in list(self.running):
                self._end(task, "lapsed")

    def _mark_overdue(self):
        for run in [entry.run for entry in self.running.values()] + [row[5] for row in self.ended]:
            run.overdue = True

    def _extend(self, until):
        """Returns whether the lease is longer than before."""
        self._note_lapse()
        until = min(until, self.clock() + int(self.max_hold * 1000))
        if until <= self.lease_until:
            return False
        if self.lapsed_at < self.lease_until < self.clock() and self.lease_until:
            self.note("lapse-skipped", self.id, f"late-ms={self.clock() - self.lease_until}",
                      f"runs={len(self.running)}", f"ends={len(self.ended)}")
        self.lease_until = until
        life = self.life
        asyncio.get_running_loop().call_later((until - self.clock()) / 1000 / self.clock_rate + 0.002,
                                              self._on_lease_timer, life)
        return True

    def _on_lease_timer(self, life):
        # A frozen worker does no work, and the lapse is the first thing that it carries out when it goes on.
        if life is self.life and self.up:
            self._note_lapse()

    async def _after_thaw(self, action):
        await self.thawed.wait()
        action()

    # Runs.

    def _end(self, task, how):
        entry = self.running.pop(task)
        entry.timer.cancel()
        self.numbers += 1
        self.closed[task] = max(self.closed.get(task, 0), entry.attempt)
        self.ended.append((self.numbers, task, entry.attempt, how, entry.saved, entry.run, self.clock()))
        self.judge.ended(entry.run, how)
        self.note("ended", self.id, f"{task}#{entry.attempt}", how, f"number={self.numbers}")
        self.news.set()
        self.news = asyncio.Event()

    def _on_run_timer(self, life, task, attempt, how):
        if life is not self.life or task not in self.running or self.running[task].attempt != attempt:
            return
        if self.resuming:
            asyncio.get_running_loop().call_soon(self._on_run_timer, life, task, attempt, how)
            return
        if not self.thawed.is_set():
            asyncio.ensure_future(self._after_thaw(lambda: self._on_run_timer(life, task, attempt, how)))
            return
        self._note_lapse()
        if task in self.running:
            self._end(task, how)

    # Calls.

    async def serve(self, host, request, sent_at):
        """Returns (status, object), or None to end the connection without an answer."""
        await self.thawed.wait()
        if not self.up:
            return None
        if request.target == "/health":
            return (503 if self.unhealthy else 200), None
        delays = self.late_orders if request.target == "/v1/run-start" else self.late_calls
        delay = delays.pop() if delays else self.delays_call() if self.delays_call else None
        if delay is not None:
            asyncio.ensure_future(self._serve_late(delay, host, request, sent_at))
            await asyncio.sleep(60)
            return None
        answer = await self._carry_out(host, request, sent_at)
        if self.lost_answers > 0 and answer is not None:
            self.lost_answers -= 1
            return None
        if self.loses_answer and answer is not None and self.loses_answer():
            await asyncio.sleep(60)
            return None
        return answer

    async def _serve_late(self, delay, host, request, sent_at):
        """The life that is up then carries the call out."""
        await asyncio.sleep(delay)
        await self.thawed.wait()
        if self.up:
            await self._carry_out(host, request, sent_at)

    async def _carry_out(self, host, request, sent_at):
        if request.headers.get("x-target-instance", self.id) != self.id:
            return 421, None
        self._note_lapse()
        call = json.loads(request.body)
        if self.unhealthy and request.target in ("/v1/run-start", "/v1/run-stop"):
            return 503, None
        token = call.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        if token > self.token:
            self.note("token", self.id, f"token={token}", f"host={host}")
        self.token, self.owner = token, host
        if request.target == "/v1/hold":
            return await self._hold(call, token, sent_at)
        if request.target == "/v1/run-start":
            return self._start_run(host, call, sent_at)
        if request.target == "/v1/run-stop":
            return self._stop_run(call)
        return 200, {"clock_ms": self.clock()}

    def _refused(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def _start_run(self, host, call, sent_at):
        task, attempt = call["task"], call["attempt"]
        present = self.running.get(task)
        if present and present.attempt == attempt:
            self._extend(call["expires_ms"])
            return 200, {"clock_ms": self.clock()}
        if call["expires_ms"] <= self.clock():
            return self._refused("late")
        self._extend(call["expires_ms"])
        if present or attempt <= self.closed.get(task, 0):
            return self._refused("old")
        length, how = self.behaviour(task)
        run = self.judge.started(task, attempt, self.id, host, sent_at)
        entry = _Running(run, attempt, call.get("last_checkpoint", ""), time.monotonic(), length)
        loop = asyncio.get_running_loop()
        entry.timer = loop.call_later(length if length is not None else 3600, self._on_run_timer, self.life, task,
                                      attempt, how)
        self.running[task] = entry
        self.note("start", self.id, f"{task}#{attempt}", f"token={self.token}", f"host={host}",
                  f"lease-ms={self.lease_until - self.clock()}")
        self._count_for_former_life("start", sent_at)
        return 200, {"clock_ms": self.clock()}

    def _count_for_former_life(self, what, sent_at):
        if sent_at >= self.began_at:
            return
        cut = self.is_cut()
        self.judge.carried_out_by_next_life(what, cut)
        self.note("next-life", self.id, what, f"sent={sent_at:.3f}", f"born={self.began_at:.3f}", f"cut={cut}",
                  f"lease-ms={self.lease_until - self.clock()}")

    def _stop_run(self, call):
        task, attempt = call["task"], call["attempt"]
        self.closed[task] = max(self.closed.get(task, 0), attempt)
        if task in self.running and self.running[task].attempt <= attempt:
            life, present = self.life, self.running[task].attempt
            asyncio.get_running_loop().call_later(self.stop_grace / 2, self._on_run_timer, life, task, present,
                                                  "stopped")
        return 200, {"clock_ms": self.clock()}

    async def _hold(self, call, token, sent_at):
        through = call.get("acked_through", 0)
        for number, task, attempt, how, _, run, at in self.ended:
            if number <= through:
                self.judge.acknowledged(run, self.lapsed_at >= at, self.lapse_ended_runs_at >= at)
                self.note("acked", self.id, f"{task}#{attempt}", how, f"number={number}")
        if any(row[0] <= through for row in self.ended):
            self._count_for_former_life("ack", sent_at)
        self.ended = [row for row in self.ended if row[0] > through]
        if call.get("expires_ms", 0) > self.clock() and self._extend(call["expires_ms"]):
            self._count_for_former_life("grant", sent_at)
        wait = min(call.get("wait_ms", 0), MAX_WAIT_MS) / 1000
        if wait and not self.ended:
            life = self.life
            try:
                await asyncio.wait_for(self.news.wait(), wait)
            except asyncio.TimeoutError:
                pass
            await self.thawed.wait()
            if not self.up or life is not self.life:
                return None
            self._note_lapse()
            if self.fences_waiting and token < self.token:
                return self._refused("fence")
        now = time.monotonic()
        return 200, {"clock_ms": self.clock(), "born": self.born, "capacity": self.capacity(),
                     "labels": ["a", self.rack],
                     "running": [[task, entry.attempt, entry.saved, entry.percent(now), 10]
                                 for task, entry in self.running.items()],
                     "ended": [list(row[:5]) for row in self.ended[:MAX_LISTED_ENDS]]}
