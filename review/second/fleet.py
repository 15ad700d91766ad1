"""A small deployment for the cases of the second review: the project's processes, started with the deploy file's
command, and stand-ins of the platform's store and of workers in this process. Everything is on loopback addresses."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(REPOSITORY / "Tools"))
from soak.fleet import LIMITS, REGIONS, SERVICE, ZONES, _Ports  # noqa: E402
from soak.host import Host, role  # noqa: E402
from soak.http import call, read_request, write_answer  # noqa: E402
from soak.store import Store  # noqa: E402
from soak.worker import HEARTBEAT_S, Worker  # noqa: E402

HELD = 0
BROKEN = 1
NOT_RUN = 2
# Until then the hosts have found each other and taken over all cells.
START_S = 6.0


class Run:
    """One run of a task, as its worker sees it."""

    def __init__(self, task, attempt, worker, started_at):
        self.task, self.attempt, self.worker, self.started_at = task, attempt, worker, started_at
        self.ended_at = self.how = self.noted_at = None
        self.overdue = False


class Journal:
    """What workers report: the interface that the workers of Tools/soak expect of a judge."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.runs = []

    def now(self):
        return self.fleet.now()

    def started(self, task, attempt, worker, host, sent_at):
        run = Run(task, attempt, worker, self.now())
        self.runs.append(run)
        self.fleet.note("start", task, f"attempt={attempt}", f"worker={worker}")
        self.fleet.on_start(run)
        return run

    def ended(self, run, how):
        run.ended_at, run.how = self.now(), how
        self.fleet.note("end", run.task, f"attempt={run.attempt}", f"worker={run.worker}", how)

    def acknowledged(self, run, lapsed, lapse_ended_runs=True):
        run.noted_at = self.now()

    def carried_out_by_next_life(self, what, cut):
        self.fleet.note("next-life", what)

    def of_job(self, job):
        return [run for run in self.runs if run.task.startswith(job + ".")]


class PlainWorker(Worker):
    """A worker whose lists of runs hold what the pages name, and nothing else."""

    # The label that names its kind; its next life may be of another one.
    kind = "a"
    # Its machine has lost power.
    dark = False

    def labels(self):
        return [self.kind, self.rack]

    def entry(self):
        return dict(super().entry(), labels=self.labels())

    async def _hold(self, call_body, token, sent_at):
        answer = await super()._hold(call_body, token, sent_at)
        if answer and answer[1] and "running" in answer[1]:
            answer = answer[0], {name: answer[1][name] for name in ("clock_ms", "born", "running", "ended")}
        return answer


class Fleet:
    """`behaviour(task)` returns the seconds that a run of the task works (None: it lasts) and how it ends."""

    def __init__(self, folder, behaviour, hosts=3, workers=12, cpu=16000, hosts_of_zones=None, max_attempts=4):
        self.begun = time.monotonic()
        self.folder = pathlib.Path(folder)
        self.record = open(self.folder / "record.txt", "w", encoding="utf-8")
        self.logs = tempfile.TemporaryDirectory(prefix="lavendercart-review-")
        self.journal = Journal(self)
        self.on_start = lambda run: None
        self.max_attempts = max_attempts
        self.store = Store(1)
        self.program = REPOSITORY / role(REPOSITORY)["run"].split()[0]
        block = random.SystemRandom().randrange(1, 255)
        zones = hosts_of_zones or [ZONES[index % len(ZONES)] for index in range(hosts)]
        ips = [f"127.1.{block}.{10 + index}" for index in range(len(zones))]
        self.worker_ip = f"127.2.{block}.1"
        self.store_ip = f"127.2.{block}.2"
        self.ports = _Ports(ips + [self.worker_ip, self.store_ip])
        host_ports = {name: self.ports.take() for name in ("front", "readiness", "control", "beats")}
        self.store_port = self.ports.take()
        self.hosts = [
            Host(f"edge-{zone}-{index + 1}", zone, REGIONS[zone], ips[index], host_ports,
                 [f"{ip}:{host_ports['control']}" for ip in ips[:3]], f"{self.store_ip}:{self.store_port}",
                 self.program, pathlib.Path(self.logs.name), self.note)
            for index, zone in enumerate(zones)]
        self.workers = []
        self.servers = {}
        self.writers = {}
        # Sockets of workers without power.
        self.kept = []
        for index in range(workers):
            zone = ZONES[index % len(ZONES)]
            worker = PlainWorker(f"i-{index:04x}", f"{self.worker_ip}:{self.ports.take()}", zone,
                                    f"r{ZONES.index(zone)}-{index // len(ZONES) // 4}", self.store, self.journal,
                                    behaviour, None, cpu=cpu)
            self.workers.append(worker)

    def now(self):
        return time.monotonic() - self.begun

    def note(self, *words):
        self.record.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.record.flush()

    async def start(self, version=3):
        self.note("begun", time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime()), "UTC")
        self.store_server = await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, None), self.store_ip, self.store_port)
        for worker in self.workers:
            await self.start_worker(worker)
            # Their heartbeats are spread over the interval.
            await asyncio.sleep(HEARTBEAT_S / len(self.workers))
        self.configure(version)
        for host in self.hosts:
            host.start()
        await asyncio.sleep(START_S)
        for host in self.hosts:
            if not host.up:
                raise RuntimeError(f"{host.name} doesn't run")

    async def start_worker(self, worker):
        worker.start()
        self.writers[worker.id] = set()
        self.servers[worker.id] = await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, worker), *worker.address.split(":"))
        self.note("worker-started", worker.id, f"labels={','.join(worker.labels())}")

    def crash_worker(self, worker):
        """The worker's process ends: its port is closed and its connections are reset."""
        self.note("worker-crashed", worker.id)
        self.servers.pop(worker.id).close()
        worker.crash()
        for writer in list(self.writers[worker.id]):
            writer.transport.abort()

    def darken_worker(self, worker):
        """The worker's machine loses power for good: nothing runs there, open connections stay silent and new ones get
        no answer."""
        self.note("worker-dark", worker.id)
        worker.dark = True
        worker.crash()
        server = self.servers.pop(worker.id)
        for listener in server.sockets:
            # A listener whose queue is full drops what asks for a connection.
            asyncio.get_running_loop().remove_reader(listener.fileno())
            plain = socket.socket(fileno=os.dup(listener.fileno()))
            plain.listen(0)
            self.kept += [plain, server]
            for _ in range(2):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                filler.setblocking(False)
                filler.connect_ex(plain.getsockname())
                self.kept.append(filler)

    async def _serve(self, reader, writer, worker):
        if worker:
            self.writers[worker.id].add(writer)
        try:
            while True:
                request = await read_request(reader)
                served = (self.store.serve("", request) if worker is None
                          else worker.serve("", request, self.now()))
                answer = await served
                if worker and worker.dark:
                    await asyncio.Event().wait()
                if answer is None or writer.transport.is_closing():
                    writer.transport.abort()
                    return
                write_answer(writer, *answer)
        except (asyncio.CancelledError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError):
            pass
        finally:
            if worker:
                self.writers[worker.id].discard(writer)
            writer.close()

    def worker(self, ident):
        return next(worker for worker in self.workers if worker.id == ident)

    def configure(self, version):
        routes = [{"name": "desk", "host": "desk.example", "prefix": "/desk/", "kind": "non_idempotent",
                   "timeout_ms": 3000, "target_duration_ms": 1000, "priority": 0, "service": "desk",
                   "max_attempts": self.max_attempts, "stretch": 2.0}]
        self.store.put("op/config", {"version": version, "routes": routes, "services": [SERVICE], "limits": LIMITS})

    async def call(self, host, method, target, body=None, timeout=3.0, quiet=False):
        status, answer = await call(host.front, method, target, body, timeout=timeout)
        if not quiet:
            self.note("call", method, target, f"host={host.name}", f"status={status}",
                      json.dumps(answer) if answer is not None else "")
        return status, answer

    async def submit(self, job, phases, host=None, spec="work", **fields):
        """Hands the job in, again after no answer, a 429 or a 503. Returns whether it was accepted."""
        for attempt in range(8):
            asked = host or self.hosts[attempt % len(self.hosts)]
            status, _ = await self.call(asked, "POST", f"/desk/{job}", dict(fields, spec=spec, phases=phases))
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    def starter_of(self, job):
        """The host whose log says that it has ordered a run of the job; None if none does yet."""
        for host in self.hosts:
            log = pathlib.Path(self.logs.name) / f"{host.name}.{host.starts}.log"
            if f"event=run-ordered run={job}." in log.read_text(encoding="utf-8", errors="replace"):
                return host
        return None

    async def state(self, job, host=None, quiet=False):
        status, answer = await self.call(host or next(host for host in self.hosts if host.up), "GET", f"/desk/{job}",
                                         quiet=quiet)
        return answer["state"] if status == 200 else status

    async def until(self, condition, seconds):
        """Whether the condition has come true within the time."""
        end = self.now() + seconds
        while self.now() < end:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return False

    def close(self):
        for host in self.hosts:
            if host.up and host.frozen:
                host.thaw()
            host.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in pathlib.Path(self.logs.name).glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        for worker in self.workers:
            worker.close()
        self.note("closed")
        self.record.close()
        self.logs.cleanup()


def new_id():
    return f"{random.SystemRandom().getrandbits(64):016x}"


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


def main(play, folder, limit_s=115, **settings):
    """Plays a case: `play(fleet)` returns the breaks of the rule as texts, or None if the case couldn't run."""
    async def run():
        fleet = Fleet(folder, **settings)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        breaks = None
        try:
            await asyncio.wait_for(fleet.start(), 30)
            breaks = await asyncio.wait_for(play(fleet), limit_s - fleet.now())
        except (Exception, asyncio.CancelledError) as error:
            fleet.note("not-run", repr(error))
            print("the case couldn't run:", repr(error))
            return NOT_RUN
        finally:
            for text in breaks or []:
                fleet.note("BROKEN", text)
            fleet.close()
        if breaks is None:
            print("the case couldn't run, see record.txt")
            return NOT_RUN
        for text in breaks:
            print("broken:", text)
        if not breaks:
            print("the rule held")
        return BROKEN if breaks else HELD
    return asyncio.run(run())
