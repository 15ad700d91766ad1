"""The processes and stand-ins of one soak, with links between each host and each worker, between each host and the
store, and between each two hosts."""

import asyncio
import base64
import random
import re
import socket
import time

from soak.host import Host
from soak.host_link import ENVIRONMENT, HostLinks
from soak.judge import Judge
from soak.link import Link, Passage
from soak.store import Store
from soak.worker import Worker

ZONES = ("yard", "shed", "loft")
REGIONS = {"yard": "east", "shed": "east", "loft": "west"}
WORKERS_PER_RACK = 4
MAX_HOSTS = 40
FOLLOW_S = 0.05
CLOCK_RATES = (1.0, 0.98, 0.99)
SERVICE = {"name": "desk", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
           "enforces_capacity": False, "standby": False}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class _Ports:
    """Ports below the ephemeral range that are free on all addresses of a soak."""

    def __init__(self, addresses):
        self.addresses = addresses
        self.taken = set()

    def take(self):
        for _ in range(2000):
            port = random.SystemRandom().randrange(12000, 31000)
            if port not in self.taken and self._is_free(port):
                self.taken.add(port)
                return port
        raise RuntimeError("no free port")

    def _is_free(self, port):
        held = []
        try:
            for address in self.addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = socket.socket(socket.AF_INET, kind)
                    held.append(probe)
                    probe.bind((address, port))
            return True
        except OSError:
            return False
        finally:
            for probe in held:
                probe.close()


class Fleet:
    """`behaviour(task)` says how long a task works and how it ends; `write_line` takes the lines of the record."""

    def __init__(self, seed, hosts, workers, program, folder, behaviour, write_line, late_lapse=False,
                 cell_workers=None):
        self.begun = time.monotonic()
        self.folder, self.behaviour, self.write_line = folder, behaviour, write_line
        self.late_lapse = late_lapse
        self.judge = Judge(self.now, self._settle)
        self.store = Store(seed)
        self.cell_workers = cell_workers
        # Set by each job that is accepted; faults that wait for one clear it.
        self.job_accepted = asyncio.Event()
        # Hosts and workers that are lost for good and that others haven't replaced yet.
        self.awaited = 0
        self.links = {}
        self.store_links = {}
        self.workers = []
        # Each soak has loopback addresses of its own: one for each host, one for the links of each host to
        # store and workers, and a network for its links to the other hosts.
        block = random.SystemRandom().randrange(1, 255)
        self.host_ips = [f"127.1.{block}.{10 + index}" for index in range(MAX_HOSTS)]
        self.link_ips = [f"127.2.{block}.{10 + index}" for index in range(MAX_HOSTS)]
        self.ports = _Ports(self.host_ips[:1] + self.link_ips[:1])
        self.program = program
        self.host_ports = {name: self.ports.take() for name in ("front", "readiness", "control", "beats")}
        self.store_port = self.ports.take()
        self.host_links = HostLinks(lambda index: f"127.{100 + index}.{block}.0", self.host_ips,
                                    self.host_ports["control"], self.host_ports["beats"])
        self.followers = []
        self.hosts = []
        for _ in range(hosts):
            self._new_host()
        for index in range(workers):
            self.new_worker(ZONES[index % len(ZONES)], index // len(ZONES) // WORKERS_PER_RACK)

    def now(self):
        return time.monotonic() - self.begun

    def _settle(self):
        for worker in self.workers:
            worker.settle()

    def note(self, *words):
        self.write_line(f"{self.now():8.3f} " + " ".join(str(word) for word in words))

    def _new_host(self):
        index = len(self.hosts)
        zone = ZONES[index % len(ZONES)]
        seeds = [f"{ip}:{self.host_ports['control']}" for ip in self.host_ips[:3]]
        host = Host(f"edge-{zone}-{index + 1}", zone, REGIONS[zone], self.host_ips[index], self.host_ports, seeds,
                    f"{self.link_ips[index]}:{self.store_port}", self.program, self.folder, self.note,
                    {ENVIRONMENT: self.host_links.environment(index)},
                    self.cell_workers)
        self.hosts.append(host)
        return host

    def new_worker(self, zone, rack, port=None):
        port = port or self.ports.take()
        rack = f"r{ZONES.index(zone)}-{rack}"
        worker = Worker(f"i-{len(self.workers):04x}", f"127.0.0.1:{port}", zone, rack, self.store,
                        self.judge, self.behaviour, self.note, clock_rate=CLOCK_RATES[len(self.workers) % 3],
                        fences_waiting=len(self.workers) % 2 == 1, late_lapse=self.late_lapse)
        worker.is_cut = lambda: self.is_cut(worker)
        self.workers.append(worker)
        return worker

    async def start(self):
        self.note("begun", time.strftime("%H:%M:%S", time.gmtime(time.time() - self.now())) + " UTC")
        for index in range(len(self.hosts)):
            await self._start_store_link(index)
            self._start_host_links(index)
        for worker in self.workers:
            await self.start_worker(worker)
        self.configure(3)
        for host in self.hosts:
            host.start()

    async def _start_store_link(self, index):
        link = Link(self.hosts[index].name, self.link_ips[index], self.store_port, self._serve_store(index))
        self.store_links[self.hosts[index].name] = link
        await link.start()

    def _start_host_links(self, index):
        self.host_links.add_host()
        self.followers.append(asyncio.ensure_future(self._follow(index)))

    async def _follow(self, index):
        """Connections to a host whose process doesn't listen are refused, also through a link."""
        host, process = self.hosts[index], None
        while True:
            await asyncio.sleep(FOLLOW_S)
            if not host.up:
                self.host_links.set_listening(index, False)
                continue
            # A frozen process goes on listening.
            if process is not host.process or index not in self.host_links.listening:
                process = host.process
                self.host_links.set_listening(index, await host.listens())

    def index_of(self, host):
        return self.hosts.index(host)

    def host_pairs(self, some, others):
        """For the links between each host of `some` and each other host of `others`."""
        return [(self.index_of(one), self.index_of(other)) for one in some for other in others if one is not other]

    async def add_host(self):
        """Starts a host at a new address. Returns None if there are as many as the soak has addresses for."""
        if len(self.hosts) == MAX_HOSTS:
            return None
        index = len(self.hosts)
        host = self._new_host()
        await self._start_store_link(index)
        self._start_host_links(index)
        for worker in list(self.workers):
            if worker.up:
                await self._start_link(index, worker)
        host.start()
        return host

    async def start_worker(self, worker):
        worker.start()
        for index in range(len(self.hosts)):
            await self._start_link(index, worker)

    async def _start_link(self, index, worker):
        name = self.hosts[index].name
        link = self.links.setdefault((name, worker.id), Link(
            name, self.link_ips[index], worker.port,
            lambda host, request: worker.serve(host, request, request.sent_at - self.begun)))
        await link.start()

    def crash_worker(self, worker):
        worker.crash()
        for link in self.links_of(worker=worker):
            link.stop()

    def is_cut(self, worker):
        """Whether no host's calls reach the worker."""
        return all(link.to_server.passage is not Passage.OPEN for link in self.links_of(worker=worker))

    def links_of(self, host=None, worker=None):
        return [link for (name, ident), link in self.links.items()
                if (host is None or name == host.name) and (worker is None or ident == worker.id)]

    def configure(self, version):
        routes = [{"name": "desk", "host": "desk.example", "prefix": "/desk/", "kind": "non_idempotent",
                   "timeout_ms": 3000, "target_duration_ms": 1000, "priority": 0, "service": "desk",
                   "max_attempts": 4, "stretch": 2.0}]
        self.store.put("op/config", {"version": version, "routes": routes, "services": [SERVICE], "limits": LIMITS})

    def _serve_store(self, index):
        """Each host sees the workers at its own links' addresses; records hold the workers' own ones."""
        outwards = f"{self.link_ips[index]}:"

        def translate(value, old, new):
            return base64.b64encode(base64.b64decode(value).replace(old.encode(), new.encode())).decode()

        async def serve(host, request):
            if request.method == "POST" and b"lavendercart/workers/" in request.body:
                request.body = re.sub(
                    rb'("value":")([A-Za-z0-9+/=]*)(")',
                    lambda match: match[1] + translate(match[2], outwards, "127.0.0.1:").encode() + match[3],
                    request.body)
            answer = await self.store.serve(host, request)
            if answer is None or not isinstance(answer[1], dict):
                return answer
            body = dict(answer[1])
            for field in ("items", "events"):
                if field in body:
                    body[field] = [self._outward(item, translate, outwards) for item in body[field]]
            return answer[0], self._outward(body, translate, outwards)
        return serve

    @staticmethod
    def _outward(item, translate, outwards):
        if "value" not in item or not item["key"].startswith(("servers/", "lavendercart/workers/")):
            return item
        return dict(item, value=translate(item["value"], "127.0.0.1:", outwards))

    def close(self):
        """Ends the soak's own processes, by id."""
        for follower in self.followers:
            follower.cancel()
        self.host_links.stop()
        for host in self.hosts:
            if host.up and host.frozen:
                host.thaw()
            host.end()
        # Their timers would write to a record that is closed.
        for worker in self.workers:
            worker.close()
