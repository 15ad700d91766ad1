"""What the process tests share: paths, configuration and small helpers."""

import pathlib
import sys
import threading
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "Tools"))

import fleet as fleets  # noqa: E402
import judge  # noqa: E402

CONFIG = {
    "profiles": {
        "preview": {"deadline": "4s", "idempotent": True, "priority": "high", "maximumQueueTime": "3s"},
        "order": {"deadline": "4s", "idempotent": False, "priority": "high", "maximumQueueTime": "3s"},
        "cutting-plan": {"deadline": "30s", "idempotent": True, "priority": "normal"},
        "stencil": {"deadline": "30s", "idempotent": False, "priority": "normal"},
    },
    "teams": {"desk": {}, "bench": {}},
    "services": {
        "previews": {"profile": "preview", "team": "desk"},
        "orders": {"profile": "order", "team": "desk"},
    },
}


def job(key=None, run_ms=500, profile="cutting-plan", **command):
    body = {"team": "bench", "profile": profile,
            "resources": {"slots": 1, "milliCores": 500, "memoryMb": 256, "accelerators": 0},
            "command": {"runMs": run_ms, **command}}
    if key:
        body["id"] = key
    return body


class FleetTest(unittest.TestCase):
    """A fleet of its own for each case: two daemons and two workers a domain, configured, all workers owned."""

    def setUp(self):
        self.fleet = fleets.Fleet(daemons_per_domain=2, workers_per_domain=2)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.close)
        self.fleet.apply_config(CONFIG)
        self.fleet.wait_all_owned()

    def assert_promises(self):
        self.assertEqual(judge.faults(self.fleet), [])

    def owner_with_workers(self):
        return next(d for d in self.fleet.daemons.values() if d.alive and d.owned_workers())


class Load:
    """Callers in threads, each with its own ids; keeps every reply. Stops when told, joins all threads."""

    def __init__(self, fleet, service, callers=8, run_ms=20, idempotent=None, daemons=None, deadline_ms=None):
        self.fleet = fleet
        self.service = service
        self.run_ms = run_ms
        self.idempotent = idempotent
        self.deadline_ms = deadline_ms
        self.daemons = daemons
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.replies = {}
        self.errors = {}
        self.threads = [threading.Thread(target=self.caller, args=(i,)) for i in range(callers)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def caller(self, index):
        count = 0
        while not self.stopping.is_set():
            count += 1
            request_id = f"{self.service}-{index}-{count}"
            targets = self.daemons or [d for d in self.fleet.daemons.values() if d.alive]
            daemon = targets[(index + count) % len(targets)]
            try:
                reply = daemon.request(self.service, {"runMs": self.run_ms, "echo": request_id}, request_id,
                                       idempotent=self.idempotent, deadline_ms=self.deadline_ms)
                with self.lock:
                    self.replies[request_id] = reply
            except (OSError, fleets.http.client.HTTPException) as error:
                with self.lock:
                    self.errors[request_id] = error

    def count(self, outcome):
        with self.lock:
            return sum(1 for reply in self.replies.values() if reply.outcome == outcome)


def wait_jobs_ended(fleet, ids, seconds=90):
    """The jobs' states once all have ended."""
    states = {}

    def ended():
        for job_id in ids:
            if states.get(job_id) in ("finished", "failed", "cancelled", "unknown"):
                continue
            reply = fleet.any_daemon().get(f"/v1/jobs/{job_id}")
            if reply.status == 200:
                states[job_id] = reply.json()["job"]["state"]
        return all(states.get(j) in ("finished", "failed", "cancelled", "unknown") for j in ids)

    try:
        fleets.wait_for(ended, seconds, "all jobs ended")
    except fleets.FleetError as error:
        open_jobs = {j: s for j, s in states.items() if s not in ("finished", "failed", "cancelled", "unknown")}
        missing = [j for j in ids if j not in states]
        raise fleets.FleetError(f"{error}; open: {open_jobs}; not found: {missing}") from error
    return states


def submit_until_accepted(fleet, body, seconds=30):
    """Submits under one key until some daemon says that the job is durable; yields the job's id."""
    def accepted():
        reply = fleet.any_daemon().submit(body)
        return reply.json()["job"]["id"] if reply.status in (200, 201) else None

    return fleets.wait_for(accepted, seconds, f"{body.get('id')} is accepted")
