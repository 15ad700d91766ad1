"""Starts a small fleet of real processes on loopback: daemons, and stand-ins for the store, the workers and links.

Used by the demo, the process tests and the benchmarks. Ends only processes that it started itself, by their id.
"""

import http.client
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build")) / "bin"
# Below the ephemeral port range, from which the system takes ports for outgoing connections.
PORTS = itertools.count(20000 + (os.getpid() * 97) % 11000)
START_SECONDS = 15


class FleetError(Exception):
    """A process of the fleet did not reach an expected state."""


def free_port():
    """Returns a loopback port that no process listens on."""
    while True:
        port = 20000 + next(PORTS) % 12000
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Reply:
    """A complete HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else None

    @property
    def outcome(self):
        return self.headers.get("x-outcome", "")

    @property
    def code(self):
        try:
            return self.json().get("error", {}).get("code", "")
        except (ValueError, AttributeError):
            return ""


def http_call(address, method, target, body=None, headers=None, timeout=10):
    """Makes one HTTP call. Raises OSError or http.client.HTTPException if there is no complete response."""
    if isinstance(body, (dict, list)):
        body = json.dumps(body)
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        data = response.read()
        return Reply(response.status, {k.lower(): v for k, v in response.getheaders()}, data)
    finally:
        connection.close()


def wait_for(condition, seconds, description):
    """Polls until the condition returns a true value, and returns that value; raises FleetError after `seconds`.

    The limit only ends a run that makes no progress; it is not a performance bound. Connection errors are ignored.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            found = condition()
            if found:
                return found
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            pass
        time.sleep(0.05)
    raise FleetError(f"timed out after {seconds} s: {description}")


class Process:
    """A running program. Its standard output and standard error go to a log file in the fleet's folder."""

    def __init__(self, fleet, name, arguments):
        self.name = name
        self.log = fleet.folder / f"{name}.log"
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    @property
    def alive(self):
        return self.popen.poll() is None

    def signal(self, number):
        if self.alive:
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def end(self):
        """Ends the process during clean-up. Uses SIGKILL, because a paused process does not handle other signals."""
        self.kill()


class Store(Process):
    def __init__(self, fleet, hosts):
        self.address = f"127.0.0.1:{free_port()}"
        self.hosts_file = fleet.folder / "hosts.json"
        self.hosts_file.write_text(json.dumps(hosts))
        super().__init__(fleet, "store", [BIN / "lavendercart-store-standin", f"--listen={self.address}",
                                          f"--hosts-file={self.hosts_file}", "--host-list-lag-ms=500"])

    def set_faults(self, **faults):
        http_call(self.address, "POST", "/faults", faults)

    def stats(self):
        return http_call(self.address, "GET", "/stats").json()


class Worker(Process):
    def __init__(self, fleet, worker, domain, rack, slots, milli_cores, memory_mb, extra):
        self.worker = worker
        self.domain = domain
        self.address = f"127.0.0.1:{free_port()}"
        self.journal_file = fleet.folder / f"{worker}.journal"
        self.arguments = [BIN / "lavendercart-worker-standin", f"--listen={self.address}", f"--id={worker}",
                          f"--rack={rack}", f"--slots={slots}", f"--millicores={milli_cores}",
                          f"--memory-mb={memory_mb}", f"--journal={self.journal_file}", *extra]
        super().__init__(fleet, worker, self.arguments)

    def host_row(self):
        return {"worker": self.worker, "domain": self.domain, "address": self.address, "state": "live"}

    def set_faults(self, **faults):
        http_call(self.address, "POST", "/faults", faults)

    def journal(self):
        if not self.journal_file.exists():
            return []
        return [json.loads(line) for line in self.journal_file.read_text().splitlines() if line.strip()]


class Link(Process):
    """A TCP proxy in front of one address, which can delay, cut or silence connections."""

    def __init__(self, fleet, name, target):
        self.address = f"127.0.0.1:{free_port()}"
        self.control = f"127.0.0.1:{free_port()}"
        super().__init__(fleet, f"link-{name}", [BIN / "lavendercart-link-standin", f"--listen={self.address}",
                                                 f"--target={target}", f"--control={self.control}"])

    def set_faults(self, **faults):
        http_call(self.control, "POST", "/faults", faults)


class Daemon(Process):
    def __init__(self, fleet, name, domain, region, store_address, seeds, address=None, settings=None):
        self.host = name
        self.domain = domain
        self.address = address or f"127.0.0.1:{free_port()}"
        values = {"id": name, "listen": self.address, "domain": domain, "region": region,
                  "store": {"address": store_address}, "peers": [s for s in seeds if s != self.address],
                  **(settings or {})}
        self.settings_file = fleet.folder / f"{name}.json"
        self.settings_file.write_text(json.dumps(values, indent=2))
        super().__init__(fleet, name, [BIN / "lavendercartd", f"--settings={self.settings_file}"])

    def get(self, target, **kwargs):
        return http_call(self.address, "GET", target, **kwargs)

    def post(self, target, body=None, **kwargs):
        return http_call(self.address, "POST", target, body, **kwargs)

    def request(self, service, body=None, request_id=None, deadline_ms=None, idempotent=None, timeout=20):
        headers = {"Content-Type": "application/json"}
        if request_id:
            headers["X-Request-Id"] = request_id
        if deadline_ms is not None:
            headers["X-Deadline-Ms"] = str(deadline_ms)
        if idempotent is not None:
            headers["X-Idempotent"] = "true" if idempotent else "false"
        return self.post(f"/v1/services/{service}/requests", body or {}, headers=headers, timeout=timeout)

    def submit(self, body, timeout=20):
        return self.post("/v1/jobs", body, timeout=timeout)

    def job(self, job_id):
        return self.get(f"/v1/jobs/{job_id}").json()["job"]

    def owned_workers(self):
        return [row["worker"] for row in self.get("/v1/workers").json()["workers"] if row["owned"]]


# Two domains in one region and one in another, like the Trinacria platform.
DOMAINS = [("catania-yard", "sic-est"), ("siracusa-shed", "sic-est"), ("trapani-loft", "sic-ovest")]


class Fleet:
    """All processes of one run. A context manager: on exit it ends every process and removes the folder."""

    def __init__(self, domains=None, daemons_per_domain=2, workers_per_domain=2, slots=8, milli_cores=64000,
                 memory_mb=250000, worker_extra=(), settings=None, keep=False):
        self.domains = domains or DOMAINS
        self.daemons_per_domain = daemons_per_domain
        self.workers_per_domain = workers_per_domain
        self.worker_options = (slots, milli_cores, memory_mb, list(worker_extra))
        self.settings = settings or {}
        self.keep = keep
        self.processes = []
        self.workers = {}
        self.daemons = {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="lavendercart-"))

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.print_logs()
            self.close()
            raise
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.print_logs()
        self.close()

    def start(self):
        for domain, _ in self.domains:
            for i in range(self.workers_per_domain):
                name = f"{domain}-w{i + 1}"
                self.workers[name] = self.add(Worker(self, name, domain, f"{domain}-rack{i // 8 + 1}",
                                                     *self.worker_options))
        self.store = self.add(Store(self, [worker.host_row() for worker in self.workers.values()]))
        addresses = {}
        for domain, _ in self.domains:
            for i in range(self.daemons_per_domain):
                addresses[f"{domain}-{i + 1}"] = f"127.0.0.1:{free_port()}"
        self.seeds = list(addresses.values())
        for domain, region in self.domains:
            for i in range(self.daemons_per_domain):
                name = f"{domain}-{i + 1}"
                self.start_daemon(name, domain, region, addresses[name])
        for daemon in self.daemons.values():
            wait_for(lambda d=daemon: d.get("/healthz").status == 200, START_SECONDS, f"{daemon.name} is up")

    def start_daemon(self, name, domain, region, address=None, store=None):
        daemon = self.add(Daemon(self, name, domain, region, store or self.store.address, self.seeds, address,
                                 self.settings))
        self.daemons[name] = daemon
        return daemon

    def add(self, process):
        self.processes.append(process)
        return process

    def any_daemon(self):
        return random.choice([d for d in self.daemons.values() if d.alive])

    def apply_config(self, document, base_revision=0, change_id="c-1"):
        daemon = next(d for d in self.daemons.values() if d.alive)
        text = document if isinstance(document, str) else json.dumps(document)
        body = {"baseRevision": base_revision, "changeId": change_id, "author": "fleet", "document": text}
        reply = wait_for(lambda: (lambda r: r if r.status != 503 else None)(daemon.post("/v1/config", body)),
                         START_SECONDS, "the configuration is accepted")
        if reply.status != 200:
            raise FleetError(f"configuration refused: {reply.body.decode()}")
        revision = reply.json()["revision"]
        for running in self.daemons.values():
            if running.alive:
                wait_for(lambda d=running: d.get("/readyz").status == 200
                         and d.get("/v1/config").json()["revision"] >= revision, START_SECONDS,
                         f"revision {revision} is in force at {running.name}")
        return revision

    def wait_until_all_owned(self, workers=None, seconds=30):
        """Waits until every worker is owned by a running daemon."""
        expected = set(workers or self.workers)

        def all_owned():
            owned = [w for d in self.daemons.values() if d.alive for w in d.owned_workers()]
            return expected <= set(owned)

        wait_for(all_owned, seconds, "every worker is owned")

    def print_logs(self, lines=30):
        for process in self.processes:
            text = process.log.read_text(errors="replace").splitlines()
            if text:
                print(f"--- {process.name}")
                print("\n".join(text[-lines:]))

    def close(self):
        for process in self.processes:
            process.end()
        if not self.keep:
            for path in self.folder.iterdir():
                path.unlink()
            self.folder.rmdir()
