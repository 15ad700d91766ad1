"""Tests of the soak's parts (Platform/soak_test.py), of its links between hosts, and short soaks with real processes.

A pass doesn't depend on the machine's speed: rule TWICE is judged, and that accepted jobs end at some time.
"""

import asyncio
import importlib.util
import os
import pathlib
import random
import re
import socket
import subprocess
import sys
import tempfile
import unittest
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[3]
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build"))
SEED = 1
sys.path.insert(0, str(ROOT / "Tools"))

from soak.faults import Faults  # noqa: E402
from soak.fleet import Fleet  # noqa: E402
from soak.host_link import HostLinks, build_library  # noqa: E402
from soak.link import Link, Passage  # noqa: E402

# Carries out the lines that it reads, as a host's process, and writes a line for each.
CALLER = """
import socket, sys
target = (sys.argv[1], int(sys.argv[2]))
datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
call = None
for line in sys.stdin:
    verb, _, text = line.strip().partition(" ")
    try:
        if verb == "datagram":
            datagrams.sendto(text.encode(), (target[0], target[1] + 1))
        elif verb == "connect":
            call = socket.socket()
            call.settimeout(float(text))
            call.connect(target)
        elif verb == "say":
            call.sendall(text.encode())
        elif verb == "hear":
            call.settimeout(float(text))
            print("heard", call.recv(100).decode(), flush=True)
            continue
        print("done", flush=True)
    except OSError as error:
        print(type(error).__name__, flush=True)
"""
# For what must not happen; a slow machine can't make such a test fail.
SHORT = "0.4"
LONG = "60"


class HostLinkTest(unittest.IsolatedAsyncioTestCase):
    """Host 0 is a process that calls host 1, whose part the test plays."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory(prefix="lavendercart-links-")
        cls.addClassCleanup(folder.cleanup)
        cls.library = build_library(pathlib.Path(folder.name))

    async def asyncSetUp(self):
        block, port = random.SystemRandom().randrange(1, 255), random.SystemRandom().randrange(12000, 31000)
        self.ips = [f"127.1.{block}.{10 + index}" for index in range(2)]
        self.links = HostLinks(lambda index: f"127.{100 + index}.{block}.0", self.ips, port, port + 1)
        self.links.add_host()
        self.links.add_host()
        self.addCleanup(self.links.stop)
        self.heard, self.news = [], asyncio.Event()
        loop = asyncio.get_running_loop()
        self.datagrams, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ips[1], port + 1))
        self.addCleanup(self.datagrams.close)
        self.server = await asyncio.start_server(self.echo, self.ips[1], port)
        self.addCleanup(self.server.close)
        self.links.set_listening(1, True)
        self.caller = await asyncio.create_subprocess_exec(
            sys.executable, "-c", CALLER, self.ips[1], str(port), stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            env=dict(os.environ, LD_PRELOAD=str(self.library),
                     LAVENDERCART_SOAK_LINKS=self.links.environment(0)))

    async def asyncTearDown(self):
        self.caller.stdin.close()
        await self.caller.wait()

    def connection_made(self, _):
        pass

    def connection_lost(self, _):
        pass

    def datagram_received(self, data, _):
        self.hear(data)

    def hear(self, data):
        self.heard.append(data.decode())
        self.news.set()

    async def echo(self, reader, writer):
        try:
            while data := await reader.read(100):
                self.hear(data)
                writer.write(b"re:" + data)
        except ConnectionResetError:
            pass
        writer.close()

    async def do(self, *words):
        self.caller.stdin.write((" ".join(words) + "\n").encode())
        return (await self.caller.stdout.readline()).decode().strip()

    async def hears(self, *texts):
        while len(self.heard) < len(texts):
            self.news.clear()
            await self.news.wait()
        self.assertEqual(self.heard, list(texts))

    async def test_open_link_passes_datagrams_and_calls(self):
        await self.do("datagram a")
        await self.hears("a")
        self.assertEqual(await self.do("connect", LONG), "done")
        await self.do("say b")
        self.assertEqual(await self.do("hear", LONG), "heard re:b")
        self.assertEqual(self.heard, ["a", "b"])

    async def test_datagrams_of_a_cut_host_are_lost_until_the_link_heals(self):
        cut = self.links.cut([(0, 1)], Passage.HELD, Passage.OPEN)
        await self.do("datagram a")
        # Lets the link read it.
        await asyncio.sleep(0.1)
        self.links.heal(cut)
        await self.do("datagram b")
        await self.hears("b")

    async def test_cut_of_the_other_way_leaves_datagrams_alone(self):
        self.links.cut([(0, 1)], Passage.OPEN, Passage.LOST)
        await self.do("datagram a")
        await self.hears("a")

    async def test_cut_of_either_way_leaves_connecting_without_an_answer(self):
        for outwards, back in ((Passage.LOST, Passage.OPEN), (Passage.OPEN, Passage.HELD)):
            cut = self.links.cut([(0, 1)], outwards, back)
            self.assertEqual(await self.do("connect", SHORT), "TimeoutError")
            self.links.heal(cut)
            self.assertEqual(await self.do("connect", LONG), "done")

    async def test_connecting_goes_on_when_the_link_heals(self):
        cut = self.links.cut([(0, 1)], Passage.LOST, Passage.LOST)
        connecting = asyncio.ensure_future(self.do("connect", LONG))
        await asyncio.sleep(0.3)
        self.assertFalse(connecting.done())
        self.links.heal(cut)
        self.assertEqual(await connecting, "done")

    async def test_established_connection_stays_silent_after_a_loss(self):
        await self.do("connect", LONG)
        cut = self.links.cut([(0, 1)], Passage.LOST, Passage.OPEN)
        await self.do("say a")
        self.assertEqual(await self.do("hear", SHORT), "TimeoutError")
        self.links.heal(cut)
        await self.do("say b")
        self.assertEqual(await self.do("hear", SHORT), "TimeoutError")
        self.assertEqual(self.heard, [])

    async def test_one_way_cut_loses_the_answer_alone(self):
        await self.do("connect", LONG)
        self.links.cut([(0, 1)], Passage.OPEN, Passage.LOST)
        await self.do("say a")
        await self.hears("a")
        self.assertEqual(await self.do("hear", SHORT), "TimeoutError")

    async def test_held_call_and_answer_arrive_when_the_link_heals(self):
        await self.do("connect", LONG)
        for outwards, back in ((Passage.HELD, Passage.OPEN), (Passage.OPEN, Passage.HELD)):
            cut = self.links.cut([(0, 1)], outwards, back)
            await self.do("say a")
            self.assertEqual(await self.do("hear", SHORT), "TimeoutError")
            self.links.heal(cut)
            self.assertEqual(await self.do("hear", LONG), "heard re:a")

    async def test_end_of_the_server_is_not_told_through_a_cut(self):
        await self.do("connect", LONG)
        await self.do("say a")
        await self.do("hear", LONG)
        cut = self.links.cut([(0, 1)], Passage.HELD, Passage.HELD)
        # As the end of its process: nothing listens, and its side of the connection is closed.
        self.server.close()
        self.links.set_listening(1, False)
        for writer in self.links.links[0, 1].writers:
            if writer.get_extra_info("peername")[0] == self.ips[1]:
                writer.transport.get_extra_info("socket").shutdown(socket.SHUT_RD)
        self.assertEqual(await self.do("hear", SHORT), "TimeoutError")
        self.links.heal(cut)
        self.assertEqual(await self.do("hear", LONG), "heard")

    async def test_refusing_link_resets_and_refuses_connections(self):
        await self.do("connect", LONG)
        await self.do("say a")
        await self.do("hear", LONG)
        cut = self.links.cut([(0, 1)], Passage.OPEN, Passage.OPEN, refuses=True)
        self.assertEqual(await self.do("hear", LONG), "ConnectionResetError")
        self.assertEqual(await self.do("connect", LONG), "ConnectionRefusedError")
        self.links.heal(cut)
        self.assertEqual(await self.do("connect", LONG), "done")

    async def test_host_that_does_not_listen_refuses(self):
        self.links.set_listening(1, False)
        self.assertEqual(await self.do("connect", LONG), "ConnectionRefusedError")

    async def test_cuts_of_one_link_end_each_on_its_own(self):
        first = self.links.cut([(0, 1)], Passage.LOST, Passage.OPEN)
        second = self.links.cut([(1, 0)], Passage.LOST, Passage.HELD)
        self.links.heal(first)
        self.assertEqual([self.links.directions[pair].passage for pair in ((0, 1), (1, 0))],
                         [Passage.HELD, Passage.LOST])
        self.links.heal(second)
        await self.do("datagram a")
        await self.hears("a")


class HoldTest(unittest.IsolatedAsyncioTestCase):
    async def test_hold_of_a_link_outlasts_another_fault(self):
        link = Link("edge-1", "127.0.0.1", 0, None)
        hold = link.hold(Passage.LOST, Passage.OPEN)
        link.cut(Passage.HELD, Passage.HELD)
        self.assertEqual((link.to_server.passage, link.to_host.passage), (Passage.LOST, Passage.HELD))
        link.heal()
        self.assertEqual((link.to_server.passage, link.to_host.passage), (Passage.LOST, Passage.OPEN))
        link.release(hold)
        self.assertEqual(link.to_server.passage, Passage.OPEN)

    async def test_link_that_is_stopped_while_it_starts_frees_its_port(self):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        link = Link("edge-1", "127.0.0.1", port, None)
        start = asyncio.ensure_future(link.start())
        while not link.listens:
            await asyncio.sleep(0)
        link.stop()
        await start
        other = Link("edge-1", "127.0.0.1", port, None)
        await other.start()
        other.stop()


class Process:
    """In place of a host's process."""

    def poll(self):
        return None

    def kill(self):
        pass

    def wait(self):
        pass


class CutFaultsTest(unittest.IsolatedAsyncioTestCase):
    """What the faults cut, on a fleet of which nothing is started."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="lavendercart-links-")
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(SEED, 6, 6, None, pathlib.Path(folder.name), None, lambda line: None)
        self.addCleanup(self.fleet.host_links.stop)
        for host in self.fleet.hosts:
            host.process = Process()
            self.fleet.host_links.add_host()
            self.fleet.store_links[host.name] = Link(host.name, "127.0.0.1", 0, None)
            for worker in self.fleet.workers:
                self.fleet.links[host.name, worker.id] = Link(host.name, "127.0.0.1", 0, None)
        for worker in self.fleet.workers:
            worker.up, worker.owner = True, self.fleet.hosts[0].name
        self.faults = Faults(self.fleet, random.Random(SEED))
        self.faults._span = lambda least, most: 0.2
        self.faults._passages = lambda: (Passage.LOST, Passage.HELD)

    def cut_pairs(self):
        return {pair for pair, direction in self.fleet.host_links.directions.items()
                if direction.passage is not Passage.OPEN}

    def cut_of(self, links):
        return {name for name, link in links.items()
                if (link.to_server.passage, link.to_host.passage) != (Passage.OPEN, Passage.OPEN)}

    def all_cuts(self):
        return self.cut_pairs() | self.cut_of(self.fleet.links) | self.cut_of(self.fleet.store_links)

    async def begin(self, fault):
        task = asyncio.ensure_future(fault())
        await asyncio.sleep(0)
        return task

    async def test_cut_owner_reaches_half_of_its_workers_and_the_others_reach_the_rest(self):
        owner = self.fleet.hosts[0]
        task = await self.begin(self.faults._cut_owner)
        self.assertEqual(self.cut_pairs(), {pair for other in range(1, 6) for pair in ((0, other), (other, 0))})
        self.assertEqual(self.cut_of(self.fleet.store_links), {owner.name})
        cut = self.cut_of(self.fleet.links)
        theirs = {worker.id for worker in self.fleet.workers if (owner.name, worker.id) in cut}
        self.assertEqual(len(theirs), 3)
        for host in self.fleet.hosts[1:]:
            self.assertEqual({worker.id for worker in self.fleet.workers if (host.name, worker.id) not in cut}, theirs)
        await task
        self.assertEqual(self.all_cuts(), set())

    async def test_owner_is_not_cut_twice_at_once(self):
        task = await self.begin(self.faults._cut_owner)
        self.assertTrue((await self.begin(self.faults._cut_owner)).done())
        await task

    async def test_cut_domain_leaves_what_is_inside_and_outside_of_it(self):
        task = await self.begin(self.faults._cut_domain)
        zones = [host.zone for host in self.fleet.hosts]
        cut = self.cut_pairs()
        self.assertTrue(cut)
        inner = {zones[one] for one, _ in cut} & {zones[other] for _, other in cut}
        self.assertEqual(len({pair for pair in cut if zones[pair[0]] == zones[pair[1]]}), 0)
        # Each cut has the domain on one of its two sides.
        domain = [zone for zone in inner if all(zone in (zones[one], zones[other]) for one, other in cut)]
        self.assertEqual(len(domain), 1)
        self.assertEqual(len(cut), 2 * 2 * 4)
        # What the domain sends is lost, and what it is sent is held.
        for host in self.fleet.hosts:
            for worker in self.fleet.workers:
                link, sides = self.fleet.links[host.name, worker.id], [host.zone in domain, worker.zone in domain]
                expected = {(True, False): [Passage.LOST, Passage.HELD], (False, True): [Passage.HELD, Passage.LOST]}
                self.assertEqual([link.to_server.passage, link.to_host.passage],
                                 expected.get(tuple(sides), [Passage.OPEN, Passage.OPEN]))
        await task
        self.assertEqual(self.all_cuts(), set())

    async def test_cut_hosts_cuts_one_host_both_ways_as_drawn(self):
        task = await self.begin(self.faults._cut_hosts)
        cut = self.cut_pairs()
        host = next(iter({one for one, _ in cut} & set.intersection(*({one, other} for one, other in cut))))
        for one, other in cut:
            expected = Passage.LOST if one == host else Passage.HELD
            self.assertIs(self.fleet.host_links.directions[one, other].passage, expected)
        await task
        self.assertEqual(self.all_cuts(), set())


class CutHostTest(unittest.IsolatedAsyncioTestCase):
    """Three real hosts that find each other, of which one is cut off."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="lavendercart-links-")
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(SEED, 3, 0, (BUILD / "bin/lavendercart-entry").resolve(), pathlib.Path(folder.name), None,
                           lambda line: None)
        self.addCleanup(self.fleet.close)
        await self.fleet.start()

    def _live(self, host):
        """How many other hosts it counts as live."""
        try:
            with urllib.request.urlopen(f"http://{host.ip}:{host.ports['control']}/metrics", timeout=10) as answer:
                found = re.search(r'^lavendercart_hosts\{state="live"\} (\d+)', answer.read().decode(), re.M)
        except (OSError, urllib.error.URLError):
            return None
        return int(found[1]) if found else None

    async def counts(self, *numbers):
        loop = asyncio.get_running_loop()
        while [await loop.run_in_executor(None, self._live, host) for host in self.fleet.hosts] != list(numbers):
            await asyncio.sleep(0.1)

    async def test_cut_host_is_not_heard_until_the_cut_ends(self):
        await self.counts(2, 2, 2)
        cut = self.fleet.host_links.cut([(2, 0), (2, 1)], Passage.LOST, Passage.LOST)
        await self.counts(1, 1, 0)
        self.fleet.host_links.heal(cut)
        await self.counts(2, 2, 2)

    async def test_host_that_is_cut_outwards_is_not_heard_but_hears(self):
        await self.counts(2, 2, 2)
        self.fleet.host_links.cut([(2, 0), (2, 1)], Passage.LOST, Passage.OPEN)
        await self.counts(1, 1, 2)


class SoakTest(unittest.TestCase):
    def test_no_task_runs_twice_and_accepted_jobs_end(self):
        with tempfile.TemporaryDirectory(prefix="lavendercart-soak-") as folder:
            play = subprocess.run(
                [sys.executable, ROOT / "Tools/soak.py", "--seed", str(SEED), "--build", BUILD, "--keep", folder,
                 "--seconds", "6", "--gap", "0.5", "--finish", "600"],
                stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)
            print(play.stdout, flush=True)
            if play.returncode:
                print((pathlib.Path(folder) / f"seed-{SEED}" / "record.txt").read_text(encoding="utf-8"), flush=True)
            self.assertEqual(play.returncode, 0, f"seed {SEED}")
            record = (pathlib.Path(folder) / f"seed-{SEED}" / "record.txt").read_text(encoding="utf-8")
            for word in ("idle-lapse-counted", "any-lapse-counted"):
                figures = re.search(word + r" (\d+ \(same host \d+, groups \d+, [^)]*\))", play.stdout)
                self.assertIsNotNone(figures, word)
                self.assertIn(f" {word}-count {figures[1]}\n", record)
                self.assertEqual(len(re.findall(f" {word} ", record)), int(figures[1].split()[0]))


def load_tests(loader, tests, _):
    place = ROOT / "Source/UnitTests/Platform/soak_test.py"
    spec = importlib.util.spec_from_file_location("soak_parts", place)
    parts = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(parts)
    tests.addTests(loader.loadTestsFromModule(parts))
    return tests


if __name__ == "__main__":
    unittest.main()
