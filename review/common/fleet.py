"""Starts lavendercart-entry processes as the deploy file says, with stand-ins for the platform, on loopback."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

from standins import Link, Store, Worker

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BOUNDS = {"config_apply_ms": 3000, "contact_ms": 4000, "drain_ms": 3000, "grace_s": 6, "max_hold_ms": 10000,
          "slowdown_factor": 3}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case can't be played here."""


TAKEN = set()


def free_port(addresses=("127.0.0.1",)):
    """A port below the ephemeral range that is free on all the addresses and wasn't given out before."""
    for _ in range(500):
        port = random.randrange(20000, 32000)
        if port in TAKEN:
            continue
        held = []
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = socket.socket(socket.AF_INET, kind)
                    held.append(probe)
                    probe.bind((address, port))
            TAKEN.add(port)
            return port
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
    raise CannotRun("no free port")


def entry_role(deploy):
    """The texts of the deploy file's only role."""
    role = deploy[deploy.index("[roles."):]
    return dict(re.findall(r'^(\w+) = "([^"]*)"', role, re.M))


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            value = None
    return value


def plain(value):
    return "" if value is None else str(value) if not isinstance(value, (dict, list)) else json.dumps(value)


def render(text, fields):
    """Fills the deploy file's template: values, JSON values and sections."""
    def section(match):
        value = lookup(fields, match.group(2))
        present = value is not None and value is not False
        if match.group(1) == "^":
            return "" if present else match.group(3)
        return match.group(3).replace("{{.}}", plain(value)) if present else ""
    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda match: json.dumps(lookup(fields, match.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: plain(lookup(fields, match.group(1))), text)


class Host:
    """One entry process."""

    def __init__(self, fleet, index, zone, store_address):
        self.fleet, self.index, self.zone, self.store_address = fleet, index, zone, store_address
        self.name = f"edge-{zone}-{index}"
        self.ip = fleet.ip(index)
        self.front = f"{self.ip}:{fleet.ports['front']}"
        self.process = None
        self.starts = 0

    def settings(self):
        ports = self.fleet.ports
        fields = {
            "node_name": self.name, "zone": self.zone, "region": "sic-est", "ip": self.ip,
            "listen_addrs": {"front": self.front, "readiness": f"{self.ip}:{ports['readiness']}",
                             "control": f"{self.ip}:{ports['control']}"},
            "port_range": [ports["beats"], ports["beats"] + 15], "platform": {"address": self.store_address},
            "seeds": [f"{self.fleet.ip(index)}:{ports['control']}" for index in range(1, 4)],
            "limits": {"cpu_share": 0.1, "cores": 1}, "bounds": BOUNDS,
        }
        return render((ROOT / self.fleet.role["template"]).read_text(), fields)

    def start(self):
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(self.settings())
        words = [str(path) if word.startswith("/etc/") else word for word in self.fleet.role["run"].split()]
        log = open(self.fleet.folder / f"{self.name}.{self.starts}.log", "w", encoding="utf-8")
        self.starts += 1
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                                        env=dict(os.environ, LAVENDERCART_BOOT=str(path)))
        self.fleet.started.append(self.process)
        self.fleet.note("process", f"{self.name} started")

    def signal(self, number):
        self.process.send_signal(number)
        self.fleet.note("process", f"{self.name} gets signal {signal.Signals(number).name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def log(self):
        return "".join(path.read_text(encoding="utf-8", errors="replace")
                       for path in sorted(self.fleet.folder.glob(f"{self.name}.*.log")))

    async def call(self, method, target, body=None, host="desk.example", timeout=3.0):
        """Returns (status, object), or (None, reason) if there was no complete answer in time."""
        try:
            return await asyncio.wait_for(self.exchange(method, target, body, host, timeout), timeout)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as error:
            return None, type(error).__name__

    async def exchange(self, method, target, body, host, timeout):
        ip, port = self.front.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                          f"X-Deadline-Ms: {int(timeout * 1000)}\r\nContent-Length: {len(data)}\r\n"
                          "Connection: close\r\n\r\n").encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = re.search(r"content-length:\s*(\d+)", head, re.I)
            text = await reader.readexactly(int(length.group(1)) if length else 0)
            return int(head.split()[1]), json.loads(text) if text else None
        finally:
            writer.close()


class Connection:
    """A client's connection to a host that stays open between its calls."""

    def __init__(self, host):
        self.host = host

    async def open(self):
        ip, port = self.host.front.split(":")
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))

    async def call(self, method, target, host="desk.example", deadline=3.0):
        """Returns (status, object); raises IncompleteReadError or OSError when the connection ends before that."""
        self.writer.write((f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
                           f"X-Deadline-Ms: {int(deadline * 1000)}\r\nContent-Length: 0\r\n\r\n").encode())
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        length = re.search(r"content-length:\s*(\d+)", head, re.I)
        text = await self.reader.readexactly(int(length.group(1)) if length else 0)
        return int(head.split()[1]), json.loads(text) if text else None


class Fleet:
    """Hosts, workers and the store of one small deployment, and the record of what was seen."""

    def __init__(self, case, zones=("catania-yard", "siracusa-shed", "trapani-loft"), hosts=3, links=False):
        self.case = pathlib.Path(case)
        self.role = entry_role((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        if not (ROOT / self.role["run"].split()[0]).exists():
            raise CannotRun("the program isn't built")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="lavendercart-review-"))
        self.begun = time.monotonic()
        self.lines = []
        self.started = []
        self.zones = zones
        self.block = random.randrange(1, 255)
        ips = [self.ip(index) for index in range(1, hosts + 1)]
        self.ports = {name: free_port(ips) for name in ("front", "readiness", "control", "beats")}
        self.store = Store(free_port())
        self.links = []
        self.hosts = []
        for index in range(1, hosts + 1):
            address = self.store.address
            if links:
                self.links.append(Link(free_port(), self.store.address))
                address = self.links[-1].address
            self.hosts.append(Host(self, index, zones[(index - 1) % len(zones)], address))
        self.workers = []

    def ip(self, index):
        """A loopback address of its own for each host, since all hosts use the same ports."""
        return f"127.0.{self.block}.{10 + index}"

    def now(self):
        return time.monotonic() - self.begun

    def note(self, kind, text):
        self.lines.append(f"{self.now():8.3f} {kind:10} {text}")

    def add_worker(self, zone, rack, ident=None, **options):
        ident = ident or f"i-{len(self.workers) + 1:04x}"
        worker = Worker(self.store, ident, free_port(), "desk", zone, ["a", rack],
                        record=lambda *fields: self.note("worker", " ".join(str(field) for field in fields)), **options)
        self.workers.append(worker)
        return worker

    def configure(self, version, routes):
        """`routes`: name -> options beside those of a usual queue."""
        rows = [dict({"name": name, "host": "desk.example", "prefix": f"/{name}/", "kind": "non_idempotent",
                      "timeout_ms": 3000, "target_duration_ms": 1000, "priority": 0, "service": "desk",
                      "max_attempts": 2, "stretch": 2.0}, **options) for name, options in routes.items()]
        self.store.put("op/config", {
            "version": version, "routes": rows,
            "services": [{"name": "desk", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
                          "enforces_capacity": False, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}})
        self.note("operator", f"configuration {version} acknowledged: routes {' '.join(routes)}")
        return self.now()

    async def start(self, store=True, workers=True):
        if store:
            await self.store.start()
        for link in self.links:
            await link.start()
        if workers:
            for worker in self.workers:
                await worker.start()
        for host in self.hosts:
            host.start()

    async def ready(self, route, seconds=20):
        """Waits until every host answers for the route and a job could be handed in."""
        end = time.monotonic() + seconds
        for host in self.hosts:
            while True:
                status, _ = await host.call("GET", f"/{route}/", timeout=1.0)
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"{host.name} doesn't answer for the route: {status}")
                await asyncio.sleep(0.1)

    async def client(self, host, method, target, body=None, timeout=3.0):
        status, answer = await host.call(method, target, body, timeout=timeout)
        self.note("client", f"{method} {target} to {host.name}: {status} {answer}")
        return status, answer

    async def submit(self, job, route, steps, tries=4, **fields):
        """Hands a job in as the clients do: again with the same id, at another host, after no clear answer."""
        body = dict({"spec": "work", "phases": steps}, **fields)
        for attempt in range(tries):
            host = self.hosts[(int(job, 16) + attempt) % len(self.hosts)]
            if host.process.poll() is not None:
                continue
            status, _ = await self.client(host, "POST", f"/{route}/{job}", body)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    def close(self):
        for process in self.started:
            if process.poll() is None:
                process.kill()
                process.wait()

    def write(self, verdict):
        self.lines.append(f"{self.now():8.3f} verdict    {verdict}")
        (self.case / "record.txt").write_text("\n".join(self.lines) + "\n", encoding="utf-8")


def job_id(number):
    return f"{number:016x}"


def play(case, scenario, **options):
    """Runs `await scenario(fleet)`, which returns the list of breaks, and exits with 0, 1 or 2."""
    fleet = None
    code = 2
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        fleet = Fleet(case, **options)

        loop = asyncio.new_event_loop()
        breaks = loop.run_until_complete(asyncio.wait_for(scenario(fleet), 110))
        code = 1 if breaks else 0
        fleet.write(f"{len(breaks)} breaks" + ("; the first: " + breaks[0] if breaks else ""))
        print(f"{len(breaks)} breaks", *breaks[:5], sep="\n")
    except Exception as error:  # pylint: disable=broad-except
        # Whatever goes wrong in the case itself says nothing about the rule.
        traceback.print_exc()
        print(f"the case could not run: {error!r}")
        if fleet:
            fleet.write(f"could not run: {error!r}")
    finally:
        if fleet:
            fleet.close()
            if os.environ.get("KEEP_LOGS"):
                print(fleet.folder)
            else:
                for path in fleet.folder.iterdir():
                    path.unlink()
                fleet.folder.rmdir()
    sys.stdout.flush()
    # Open connections of the stand-ins end with the process.
    os._exit(code)
