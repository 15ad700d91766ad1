"""Shared by the benchmarks with real processes: a fleet of one failure domain, and resource usage of a process."""

import os
import pathlib
import socket
import statistics
import subprocess

import fleet as fleets

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def free_port_range(count):
    """Returns the first of `count` consecutive loopback ports that no process listens on."""
    while True:
        first = fleets.free_port()
        probes = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                probes.append(probe)
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("127.0.0.1", port))
            # Skips these ports, so that free_port() does not return one of them.
            for _ in range(count - 1):
                next(fleets.PORTS)
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()


class WorkerGroup(fleets.Process):
    """Many workers in one stand-in process, on consecutive ports."""

    def __init__(self, fleet, domain, count, slots):
        self.domain = domain
        self.count = count
        self.first_port = free_port_range(count)
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


class SingleDomainFleet(fleets.Fleet):
    """A fleet of one failure domain: daemons, a group of workers in one process, and the store."""

    def __init__(self, workers, slots, daemons=1, settings=None):
        super().__init__(domains=[("yard", "east")], settings=settings)
        self.sizes = (workers, slots, daemons)

    def start(self):
        workers, slots, daemons = self.sizes
        self.group = self.add(WorkerGroup(self, "yard", workers, slots))
        self.store = self.add(fleets.Store(self, self.group.host_rows()))
        addresses = [f"127.0.0.1:{fleets.free_port()}" for _ in range(daemons)]
        self.seeds = addresses
        for i, address in enumerate(addresses):
            self.start_daemon(f"yard-{i + 1}", "yard", "east", address)
        for daemon in self.daemons.values():
            fleets.wait_for(lambda d=daemon: d.get("/healthz").status == 200, fleets.START_SECONDS, "the daemon is up")

    def wait_until_all_owned(self, workers=None, seconds=60):
        names = workers or [row["worker"] for row in self.group.host_rows()]
        super().wait_until_all_owned(names, seconds)


def cpu_seconds(process):
    """Returns the CPU time, user and system, that a process has used so far."""
    stat = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = stat.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_memory_mb(process):
    for line in pathlib.Path(f"/proc/{process.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def tcp_bytes(first_port, last_port):
    """Returns, for each open connection to these ports, the bytes sent and received so far.

    The kernel counts them, so HTTP headers are included.
    """
    text = subprocess.run(["ss", "-Htin", f"( dport >= :{first_port} and dport <= :{last_port} )"], check=True,
                          capture_output=True, text=True).stdout
    totals, key = {}, None
    for line in text.splitlines():
        if not line[:1].isspace():
            key = tuple(line.split()[3:5])
            continue
        counts = dict(word.split(":", 1) for word in line.split() if word.startswith("bytes_"))
        totals[key] = int(counts.get("bytes_sent", 0)) + int(counts.get("bytes_received", 0))
    return totals


def transferred_bytes(before, after):
    """Returns the bytes transferred between two results of tcp_bytes().

    A connection that was closed in between is not counted; one that was opened counts from zero.
    """
    return sum(max(0, count - before.get(key, 0)) for key, count in after.items())


def summarize(values):
    """Formats values as "median (minimum-maximum)"."""
    return f"{statistics.median(values):.4g} ({min(values):.4g}-{max(values):.4g})"
