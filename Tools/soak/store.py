"""A stand-in of the platform's store: items with revisions, transactions, listings and watches, and its faults."""

import asyncio
import base64
import json
import random
import urllib.parse

MAX_VALUE = 1048576
MAX_ENTRIES = 32
LATENCY_S = 0.004


class Store:
    """`serve(host, request)` answers one call. Faults are set from outside."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.revision = 1
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()
        # Faults: everything answers 503; calls take longer; answers are lost, also of writes that are done later.
        self.down = False
        self.keeps_entries_while_down = True
        self.latency = LATENCY_S
        self.lost_share = 0.0
        self.late_share = 0.0
        self.refused_hosts = set()

    def is_slow(self):
        return self.latency > LATENCY_S

    # The platform's own and the operator's writes.

    def put(self, key, value):
        self.put_bytes(key, json.dumps(value).encode())

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._tell({"key": key, "revision": self.revision, "tombstone": True})

    def has(self, key):
        return key in self.items

    def put_bytes(self, key, data):
        self.revision += 1
        self._set(key, base64.b64encode(data).decode(), 0)

    def _set(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self._tell(dict(self.items[key]))

    def _tell(self, event):
        self.events.append(event)
        if len(self.events) > 20000:
            del self.events[:10000]
        self.changed.set()
        self.changed = asyncio.Event()

    # Calls.

    async def serve(self, host, request):
        await asyncio.sleep(self.latency)
        if self.down or host in self.refused_hosts:
            return 503, None
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/v1/kv-txn":
            return await self._transact_with_faults(json.loads(request.body))
        if self.random.random() < self.lost_share:
            await asyncio.sleep(60)
            return None
        if path == "/v1/kv-key":
            item = self.items.get(fields["key"])
            return (404, {"at": self.revision}) if item is None else (200, dict(item, at=self.revision))
        if path == "/v1/kv-range":
            return 200, self._range(fields.get("prefix", ""), fields.get("after", ""))
        if path == "/v1/kv-watch":
            return await self._watch(fields)
        return 404, None

    async def _transact_with_faults(self, call):
        if self.random.random() < self.late_share:
            await asyncio.sleep(self.random.uniform(0.5, 5))
            self._transact(call)
            return None
        answer = self._transact(call)
        if self.random.random() < self.lost_share:
            await asyncio.sleep(60)
            return None
        return answer

    def _range(self, prefix, after):
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

    async def _watch(self, fields):
        prefix, after = fields.get("prefix", ""), int(fields["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(fields.get("wait_ms", "0")) / 1000
        while True:
            changed = self.changed
            if self.events and after < self.events[0]["revision"] - 1 and len(self.events) >= 10000:
                return 410, None
            found = [event for event in self._events_after(after) if event["key"].startswith(prefix)]
            left = end - loop.time()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _events_after(self, revision):
        low, high = 0, len(self.events)
        while low < high:
            middle = (low + high) // 2
            if self.events[middle]["revision"] > revision:
                high = middle
            else:
                low = middle + 1
        return self.events[low:]

    def _transact(self, call):
        puts, deleted, expected = call.get("puts", []), call.get("delete", []), call.get("expected", [])
        if len(puts) + len(deleted) + len(expected) > MAX_ENTRIES:
            return 400, None
        if any(key.startswith(("op/", "servers/")) for key in [put["key"] for put in puts] + deleted):
            return 403, None
        if any(len(base64.b64decode(put["value"])) > MAX_VALUE or len(put["key"]) > 200 for put in puts):
            return 400, None
        current = {row["key"]: self.items[row["key"]]["revision"] if row["key"] in self.items else 0
                   for row in expected}
        if any(current[row["key"]] != row["revision"] for row in expected):
            return 412, {"items": [self.items[key] for key in current if key in self.items]}
        self.revision += 1
        for put in puts:
            self._set(put["key"], put["value"], put.get("lease", 0))
        for key in deleted:
            if key in self.items:
                del self.items[key]
                self._tell({"key": key, "revision": self.revision, "tombstone": True})
        return 200, {"revision": self.revision}
