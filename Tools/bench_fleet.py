"""What the benches of real processes share: a fleet of one failure domain, and readings of what a process uses."""

import os
import pathlib
import socket
import statistics
import subprocess

import fleet as fleets

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def free_ports(count):
    """The first of so many loopback ports in a row that nothing listens on."""
    while True:
        first = fleets.free_port()
        probes = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                probes.append(probe)
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("127.0.0.1", port))
            # No later process of this fleet is given one of them.
            for _ in range(count - 1):
                next(fleets.PORTS)
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()


class WorkerGroup(fleets.Process):
    """Many workers in one stand-in process, on ports that follow each other."""

    def __init__(self, fleet, domain, count, slots):
        self.domain = domain
        self.count = count
        self.first_port = free_ports(count)
        super().__init__(fleet, "workers",
                         [fleets.BIN / "lavendercart-worker-standin", f"--listen=127.0.0.1:{self.first_port}",
                          "--id=w", f"--count={count}", f"--slots={slots}", "--millicores=64000",
                          "--memory-mb=250000"])

    def addresses(self):
        return [f"127.0.0.1:{self.first_port + i}" for i in range(self.count)]

    def host_rows(self):
        names = ["w"] if self.count == 1 else [f"w-{i + 1}" for i in range(self.count)]
        return [{"worker": name, "domain": self.domain, "address": address, "state": "live"}
                for name, address in zip(names, self.addresses())]


class OneDomain(fleets.Fleet):
    """Some daemons, a group of workers and the store."""

    def __init__(self, workers, slots, daemons=1, settings=None):
        super().__init__(domains=[("yard", "east")], settings=settings)
        self.shape = (workers, slots, daemons)

    def start(self):
        workers, slots, daemons = self.shape
        self.group = self.add(WorkerGroup(self, "yard", workers, slots))
        self.store = self.add(fleets.Store(self, self.group.host_rows()))
        addresses = [f"127.0.0.1:{fleets.free_port()}" for _ in range(daemons)]
        self.seeds = addresses
        for i, address in enumerate(addresses):
            self.start_daemon(f"yard-{i + 1}", "yard", "east", address)
        for daemon in self.daemons.values():
            fleets.wait_for(lambda d=daemon: d.get("/healthz").status == 200, fleets.START_SECONDS, "the daemon is up")

    def wait_all_owned(self, workers=None, seconds=60):
        names = workers or [row["worker"] for row in self.group.host_rows()]
        super().wait_all_owned(names, seconds)


def cpu_seconds(process):
    """Processor time of a process so far, user and system."""
    stat = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = stat.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_megabytes(process):
    for line in pathlib.Path(f"/proc/{process.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def tcp_bytes(first_port, last_port):
    """Bytes both ways so far of each connection open to these ports, as the kernel counts them: HTTP heads included."""
    text = subprocess.run(["ss", "-Htin", f"( dport >= :{first_port} and dport <= :{last_port} )"], check=True,
                          capture_output=True, text=True).stdout
    found, key = {}, None
    for line in text.splitlines():
        if not line[:1].isspace():
            key = tuple(line.split()[3:5])
            continue
        counts = dict(word.split(":", 1) for word in line.split() if word.startswith("bytes_"))
        found[key] = int(counts.get("bytes_sent", 0)) + int(counts.get("bytes_received", 0))
    return found


def bytes_between(before, after):
    """A connection that closed in between is missing, one that was opened counts from zero."""
    return sum(max(0, count - before.get(key, 0)) for key, count in after.items())


def spread(values):
    """Median and range, as text."""
    return f"{statistics.median(values):.4g} ({min(values):.4g}-{max(values):.4g})"
