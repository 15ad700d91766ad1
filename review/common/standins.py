"""Stand-ins for the platform's store, its workers and a link, as the users' PROTOCOL.md describes them."""

import asyncio
import base64
import json
import time
import urllib.parse

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           413: "Content Too Large", 421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


def now_ms():
    return int(time.time() * 1000)


class HttpServer:
    """A small HTTP/1.1 server. `handle(method, target, headers, body)` returns (status, object or None)."""

    def __init__(self, host, port, handle):
        self.host, self.port, self.handle = host, port, handle
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, backlog=512)

    async def stop(self):
        """Closes the port and resets all connections, as the end of a process does."""
        if not self.server:
            return
        self.server.close()
        self.server = None
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store: items with revisions, transactions, listings and watches."""

    MAX_VALUE = 1048576

    def __init__(self, port, latency=0.004):
        self.http = HttpServer("127.0.0.1", port, self.handle)
        self.address = f"127.0.0.1:{port}"
        self.latency = latency
        self.revision = 1
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()
        self.calls = 0

    async def start(self):
        await self.http.start()

    async def stop(self):
        await self.http.stop()

    # The platform's own and the operator's writes.

    def put(self, key, value):
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                           "created": created, "lease": 0}
        self.note(dict(self.items[key]))

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.note({"key": key, "revision": self.revision, "tombstone": True})

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def text(self, key):
        return base64.b64decode(self.items[key]["value"]).decode() if key in self.items else None

    # Calls.

    async def handle(self, method, target, headers, body):
        self.calls += 1
        await asyncio.sleep(self.latency)
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/v1/kv-key":
            item = self.items.get(fields["key"])
            return (404, {"at": self.revision}) if item is None else (200, dict(item, at=self.revision))
        if path == "/v1/kv-range":
            return 200, self.range(fields.get("prefix", ""), fields.get("after", ""))
        if path == "/v1/kv-watch":
            return await self.watch(fields)
        if path == "/v1/kv-txn":
            return self.transact(json.loads(body))
        return 404, None

    def range(self, prefix, after):
        found, size, more = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(prefix) or key <= after:
                continue
            if len(found) >= 500 or size > 1000000:
                more = True
                break
            found.append(self.items[key])
            size += len(self.items[key]["value"])
        return {"items": found, "has_more": more, "at": self.revision}

    async def watch(self, fields):
        prefix, after = fields.get("prefix", ""), int(fields["after"])
        end = time.monotonic() + int(fields.get("wait_ms", "0")) / 1000
        while True:
            changed = self.changed
            found = [event for event in self.events if event["revision"] > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        puts, deleted, expected = call.get("puts", []), call.get("delete", []), call.get("expected", [])
        if len(puts) + len(deleted) + len(expected) > 32:
            return 400, None
        keys = [put["key"] for put in puts] + deleted
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, None
        if any(len(base64.b64decode(put["value"])) > self.MAX_VALUE or len(put["key"]) > 200 for put in puts):
            return 400, None
        current = {row["key"]: self.items[row["key"]]["revision"] if row["key"] in self.items else 0
                   for row in expected}
        if any(current[row["key"]] != row["revision"] for row in expected):
            return 412, {"items": [self.items[key] for key in current if key in self.items]}
        self.revision += 1
        for put in puts:
            created = self.items[put["key"]]["created"] if put["key"] in self.items else self.revision
            self.items[put["key"]] = {"key": put["key"], "value": put["value"], "revision": self.revision,
                                      "created": created, "lease": put.get("lease", 0)}
            self.note(dict(self.items[put["key"]]))
        for key in deleted:
            if key in self.items:
                del self.items[key]
                self.note({"key": key, "revision": self.revision, "tombstone": True})
        return 200, {"revision": self.revision}


class Worker:
    """One worker: registers itself in the store, runs tasks under a lease and lists what ran and ended."""

    def __init__(self, store, ident, port, service, zone, labels, cpu=64000, mem=256000, record=None,
                 heartbeat=1.5, max_hold=10.0, stop_grace=0.1):
        self.store, self.id, self.service, self.zone, self.labels = store, ident, service, zone, labels
        self.cpu, self.mem = cpu, mem
        self.heartbeat, self.max_hold, self.stop_grace = heartbeat, max_hold, stop_grace
        self.record = record or (lambda *fields: None)
        self.address = f"127.0.0.1:{port}"
        self.http = HttpServer("127.0.0.1", port, self.handle)
        self.durations = {}
        self.default_duration = 1.0
        self.reports = True
        self.state = "ready"
        self.up = False
        self.loops = []
        self.hang = False
        self.late_orders = []

    async def start(self):
        self.born = now_ms()
        self.started = time.monotonic()
        self.seq = self.token = self.numbers = 0
        self.runs, self.ended, self.closed, self.lease = {}, [], {}, 0
        self.news = asyncio.Event()
        self.up = True
        await self.http.start()
        self.loops = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.work())]

    async def crash(self):
        """Ends as a killed process does: everything that runs is gone, and nothing is said."""
        self.up = False
        for loop in self.loops:
            loop.cancel()
        for task, run in self.runs.items():
            self.record("lost-with-worker", self.id, task, run["attempt"])
        await self.http.stop()
        self.runs = {}

    def delay_orders(self, seconds, count):
        """The next `count` start orders get no answer and arrive `seconds` late, whatever runs at the address then."""
        self.late_orders = [seconds] * count

    async def deliver_late(self, seconds, target, headers, body):
        await asyncio.sleep(seconds)
        if self.up:
            self.record("late-order", self.id, json.loads(body)["task"], json.loads(body)["attempt"])
            status, answer = await self.handle("POST", target, headers, body)
            self.record("late-answer", self.id, status, answer)

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    def entry(self):
        self.seq += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                 "state": self.state, "cold_remaining_ms": 0,
                 "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpus": 0}, "labels": self.labels,
                 "clock_ms": self.clock(), "seq": self.seq, "born": self.born}
        if self.state == "draining":
            entry["remaining_ms"] = 8000
        return entry

    def register(self):
        self.store.put("servers/" + self.id, self.entry())

    async def beat(self):
        while True:
            if self.reports:
                self.register()
            await asyncio.sleep(self.heartbeat)

    async def work(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock() > self.lease:
                for task in list(self.runs):
                    self.end(task, "lapsed")
            for task, run in list(self.runs.items()):
                length = self.duration(task)
                if length is not None and time.monotonic() - run["since"] >= length:
                    self.end(task, "done")

    def duration(self, task):
        """Seconds of work; None for a task that lasts."""
        return self.durations.get(task.split(".")[0], self.default_duration)

    def end(self, task, how):
        run = self.runs.pop(task)
        self.numbers += 1
        self.closed[task] = max(self.closed.get(task, 0), run["attempt"])
        self.ended.append([self.numbers, task, run["attempt"], how, ""])
        self.record("ended", self.id, task, run["attempt"], how)
        self.news.set()
        self.news = asyncio.Event()

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + int(self.max_hold * 1000)))

    async def handle(self, method, target, headers, body):
        if self.hang:
            await asyncio.sleep(3600)
        if target == "/health":
            return 200, None
        if target == "/v1/run-start" and self.late_orders:
            asyncio.ensure_future(self.deliver_late(self.late_orders.pop(), target, headers, body))
            await asyncio.sleep(3600)
        if headers.get("x-target-instance", self.id) != self.id:
            return 421, None
        call = json.loads(body)
        token = call.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        if target == "/v1/hold":
            return await self.hold(call)
        if target == "/v1/pace":
            return 200, {"clock_ms": self.clock()}
        task, attempt = call["task"], call["attempt"]
        if target == "/v1/run-stop":
            if task in self.runs and self.runs[task]["attempt"] <= attempt:
                self.end(task, "stopped")
            self.closed[task] = max(self.closed.get(task, 0), attempt)
            self.record("stop", self.id, task, attempt)
            return 200, {"clock_ms": self.clock()}
        if target == "/v1/run-start":
            return self.begin(call, task, attempt)
        return 400, None

    def begin(self, call, task, attempt):
        if task in self.runs and self.runs[task]["attempt"] == attempt:
            return 200, {"clock_ms": self.clock()}
        if call["expires_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.extend(call["expires_ms"])
        if attempt <= self.closed.get(task, 0) or task in self.runs:
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        self.runs[task] = {"attempt": attempt, "since": time.monotonic(),
                           "saved": call.get("last_checkpoint", "")}
        self.record("start", self.id, task, attempt, f"state={self.state}")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, call):
        through = call.get("acked_through", 0)
        for number, task, attempt, how, _ in self.ended:
            if number <= through:
                self.record("acked", self.id, task, attempt, how, f"number={number} acked_through={through}")
        self.ended = [row for row in self.ended if row[0] > through]
        if call.get("expires_ms"):
            self.extend(call["expires_ms"])
        wait = call.get("wait_ms", 0) / 1000
        if wait and not self.ended:
            try:
                await asyncio.wait_for(self.news.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = []
        for task, run in self.runs.items():
            length = self.duration(task)
            share = 1 if length is None else min(0.99, (time.monotonic() - run["since"]) / max(length, 0.001))
            running.append([task, run["attempt"], run["saved"], int(100 * share), 10])
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500],
                     "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpus": 0}, "labels": self.labels}


class Link:
    """A TCP proxy. Its open connections can be made silent: both ends stay open and nothing passes any more."""

    def __init__(self, port, target):
        self.port = port
        self.address = f"127.0.0.1:{port}"
        self.target = target
        self.open = []
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port, backlog=512)

    async def stop(self):
        self.server.close()
        for row in self.open:
            for writer in row["writers"]:
                writer.transport.abort()

    def silence(self):
        count = 0
        for row in self.open:
            count += 0 if row["silent"] or row["closed"] else 1
            row["silent"] = True
        return count

    async def accept(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        row = {"silent": False, "closed": False, "writers": [writer]}
        try:
            reader2, writer2 = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        row["writers"].append(writer2)
        self.open.append(row)
        await asyncio.gather(self.pump(row, reader, writer2), self.pump(row, reader2, writer))
        row["closed"] = True

    async def pump(self, row, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if row["silent"]:
                    if not data:
                        return
                    continue
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        if not row["silent"]:
            writer.close()
