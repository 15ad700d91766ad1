"""Fixtures and helpers shared by the process tests, the demo and the recovery benchmark."""

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
    """Starts a fleet for each test: two daemons and two workers per domain, configured, with every worker owned."""

    def setUp(self):
        self.fleet = fleets.Fleet(daemons_per_domain=2, workers_per_domain=2)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.close)
        self.fleet.apply_config(CONFIG)
        self.fleet.wait_until_all_owned()

    def assert_no_violations(self):
        self.assertEqual(judge.find_violations(self.fleet), [])

    def owner_with_workers(self):
        return next(d for d in self.fleet.daemons.values() if d.alive and d.owned_workers())


class Load:
    """Sends requests from caller threads and keeps each reply or error by request id. Leaving the context stops it."""

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
        self.threads = [threading.Thread(target=self.run_caller, args=(i,)) for i in range(callers)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run_caller(self, index):
        count = 0
        while not self.stopping.is_set():
            count += 1
            request_id = f"{self.service}-{index}-{count}"
            candidates = self.daemons or [d for d in self.fleet.daemons.values() if d.alive]
            daemon = candidates[(index + count) % len(candidates)]
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


def wait_until_jobs_end(fleet, ids, seconds=90):
    """Waits until all jobs have ended and returns their states by job id."""
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
        fleets.wait_for(ended, seconds, "all jobs have ended")
    except fleets.FleetError as error:
        open_jobs = {j: s for j, s in states.items() if s not in ("finished", "failed", "cancelled", "unknown")}
        missing = [j for j in ids if j not in states]
        raise fleets.FleetError(f"{error}; open: {open_jobs}; not found: {missing}") from error
    return states


def submit_until_accepted(fleet, body, seconds=30):
    """Submits the job under the same key until a daemon accepts it, and returns the job's id."""
    def accepted():
        reply = fleet.any_daemon().submit(body)
        return reply.json()["job"]["id"] if reply.status in (200, 201) else None

    return fleets.wait_for(accepted, seconds, f"{body.get('id')} is accepted")
