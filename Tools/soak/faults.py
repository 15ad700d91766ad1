"""Faults from outside, in series and overlapping: signals and restarts of hosts, cuts of links, workers and the
store."""

import asyncio
import contextlib
import signal

from soak.link import Passage

KINDS = ("freeze-host", "throttle-host", "kill-host", "stop-host", "reload-host", "add-host", "replace-host",
         "restart-all", "restart-domain",
         "cut-some", "cut-host", "cut-frozen-host", "split-owner", "cut-hosts", "cut-domain", "cut-owner",
         "cut-worker", "cut-store", "cut-reborn", "reset-conns", "refuse-conns",
         "freeze-worker", "crash-worker", "reuse-port", "drain-worker", "add-workers", "unhealthy-worker",
         "late-orders", "late-calls", "lose-answers", "lose-share", "foreign-entry",
         "store-down", "store-slow", "store-loses", "store-refuses")
# Drawn only if they are named, so that a seed's faults of all kinds stay as they were.
NAMED_KINDS = ("cut-owner-workers", "reborn-cut", "reborn-dark", "reborn-stale", "owner-and-workers")
# These begin with the faults and strike several times. Drawn while they are on, they do nothing.
SERIES_KINDS = ("owner-and-workers",)
# These cut links between hosts, which the program must have.
LINKED_KINDS = ("cut-hosts", "cut-domain", "cut-owner")
# Without calm between them, hosts would own nothing that a loss of power could harm.
RESTART_EVERY_S = 9.0
STRIKES_IN_SERIES = 3


class Faults:
    """Draws faults of `kinds` at random, one each `gap` seconds on average."""

    def __init__(self, fleet, random, kinds=KINDS, gap=1.5, keep_ids=False):
        self.fleet, self.random, self.kinds, self.gap, self.keep_ids = fleet, random, kinds, gap, keep_ids
        self.hosts_at_start, self.workers_at_start = len(fleet.hosts), len(fleet.workers)
        self.restarted_at = -RESTART_EVERY_S
        self.pending = set()
        self.cut_owners = set()
        self.in_series = False
        # Errors of the soak's own: such a run proves nothing.
        self.errors = []
        self.stopped = False

    async def run(self):
        for kind in SERIES_KINDS:
            if kind in self.kinds:
                self._begin(kind)
        while not self.stopped:
            self._begin(self.random.choice(self.kinds))
            await asyncio.sleep(self.random.expovariate(1 / self.gap))

    def _begin(self, kind):
        task = asyncio.ensure_future(getattr(self, "_" + kind.replace("-", "_"))())
        self.pending.add(task)
        task.add_done_callback(self._forget)

    def _forget(self, task):
        self.pending.discard(task)
        if not task.cancelled() and task.exception():
            self.errors.append(task.exception())
            self._note("fault-failed", repr(task.exception()))

    async def end(self):
        """Draws no more faults and waits for the end of those that are there."""
        self.stopped = True
        while self.pending:
            await asyncio.gather(*list(self.pending), return_exceptions=True)
        for host in self.fleet.hosts:
            if not host.up and not host.gone:
                host.start()
        for link in [*self.fleet.links.values(), *self.fleet.store_links.values()]:
            link.heal()

    def _note(self, *words):
        self.fleet.note("fault", *words)

    def _span(self, least, most):
        return self.random.uniform(least, most)

    def _up_host(self):
        up = [host for host in self.fleet.hosts if host.up and not host.frozen]
        return self.random.choice(up) if len(up) > 1 else None

    def _up_owner(self):
        """In half of the draws a host that gave a worker its last order, as an owner has more to lose; else any."""
        names = {worker.owner for worker in self.fleet.workers if worker.up}
        owners = [host for host in self.fleet.hosts if host.up and not host.frozen and host.name in names]
        return self.random.choice(owners) if len(owners) > 1 and self.random.random() < 0.5 else self._up_host()

    def _up_worker(self):
        up = [worker for worker in self.fleet.workers if worker.up and worker.state == "ready"]
        return self.random.choice(up) if up else None

    def _passages(self):
        """Both directions cut, or one."""
        way = self.random.choice((Passage.HELD, Passage.LOST))
        return self.random.choice(((way, way), (way, Passage.OPEN), (Passage.OPEN, way)))

    # Hosts.

    async def _freeze_host(self):
        host = self._up_host()
        if not host:
            return
        for _ in range(self.random.choice((1, 1, 3))):
            if not host.up:
                return
            span = self._span(0.3, 10)
            self._note("freeze-host", host.name, f"for={span:.2f}")
            process = host.process
            host.freeze()
            await asyncio.sleep(span)
            if host.process is process:
                host.thaw()
            await asyncio.sleep(self._span(0.05, 2))

    async def _throttle_host(self):
        """The host gets a share of a core, in turns with pauses."""
        host = self._up_host()
        if not host:
            return
        span, share = self._span(3, 15), self._span(0.03, 0.3)
        period = self.random.choice((0.1, 0.5, 1.2))
        self._note("throttle-host", host.name, f"share={share:.2f}", f"period={period}", f"for={span:.2f}")
        process, loop = host.process, asyncio.get_running_loop()
        end = loop.time() + span
        host.throttled += 1
        while loop.time() < end and host.process is process and host.up:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(period * (1 - share))
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
            await asyncio.sleep(period * share)
        host.throttled -= 1

    async def _restart(self, host, number, span):
        self._note("end-host", host.name, signal.Signals(number).name, f"pause={span:.2f}")
        process = host.process
        host.signal(number)
        waited = 0.0
        while process.poll() is None and waited < 6:
            await asyncio.sleep(0.1)
            waited += 0.1
        if process.poll() is None:
            process.kill()
        await asyncio.sleep(span)
        if host.process is process and not host.gone:
            host.start()

    async def _kill_host(self):
        host = self._up_owner()
        if host:
            await self._restart(host, signal.SIGKILL, self._span(0.2, 4))

    async def _stop_host(self):
        host = self._up_host()
        if host:
            await self._restart(host, signal.SIGTERM, self._span(0.2, 3))

    async def _reload_host(self):
        host = self._up_host()
        if host:
            host.signal(signal.SIGHUP)

    async def _add_host(self):
        """At most a third more than at the start."""
        if sum(not host.gone for host in self.fleet.hosts) < self.hosts_at_start * 4 // 3:
            host = await self.fleet.add_host()
            if host:
                self._note("add-host", host.name)

    async def _replace_host(self):
        """A host is gone for good, and one with another name comes at another address."""
        # The hosts that the settings name as first contacts stay.
        up = [host for host in self.fleet.hosts[3:] if host.up and not host.frozen]
        if not up:
            return
        host = self.random.choice(up)
        host.gone = True
        self._note("replace-host", host.name)
        host.signal(self.random.choice((signal.SIGKILL, signal.SIGTERM)))
        await asyncio.sleep(self._span(0.2, 8))
        # SIGTERM gives a host its grace; what is still there is ended.
        host.end()
        await self.fleet.add_host()

    async def _owner_and_workers(self):
        """Again and again a share of a cell's workers is gone for good, and right after that the host that owns it;
        others come instead."""
        if self.in_series:
            return
        self.in_series = True
        try:
            for strike in range(STRIKES_IN_SERIES):
                await asyncio.sleep(self._span(8, 10) if strike else 0)
                await self._lose_owner_and_workers()
        finally:
            self.in_series = False

    def _replaceable_owners(self):
        """Hosts that own a worker. One host that the settings name as first contact stays, so that new ones find the
        others."""
        names = {worker.owner for worker in self.fleet.workers if worker.up and worker.state == "ready"}
        contacts = [host for host in self.fleet.hosts[:3] if not host.gone]
        return [host for host in self.fleet.hosts
                if host.name in names and not host.gone and host.up and contacts != [host]]

    async def _lose_owner_and_workers(self):
        for _ in range(100):
            owners = self._replaceable_owners()
            if owners:
                break
            await asyncio.sleep(0.1)
        else:
            self._note("owner-and-workers", "none")
            return
        owner = self.random.choice(owners)
        owned = [worker for worker in self.fleet.workers
                 if worker.up and worker.state == "ready" and worker.owner == owner.name]
        zone = self.random.choice([worker.zone for worker in owned])
        cell = [worker for worker in owned if worker.zone == zone]
        lost = self.random.sample(cell, max(1, round(len(cell) * self._span(0.1, 0.5))))
        # Before the new ones come, those that are gone are no longer listed.
        until_host, until_workers = self._span(3, 4), 4.5
        self._note("owner-and-workers", owner.name, "with", ",".join(worker.id for worker in lost),
                   f"of={len(cell)}", f"until-host={until_host:.2f}")
        self.fleet.awaited += len(lost) + 1
        for worker in lost:
            self.fleet.crash_worker(worker)
        await asyncio.sleep(0.2)
        owner.gone = True
        owner.signal(signal.SIGKILL)
        await asyncio.sleep(until_host)
        owner.end()
        await self.fleet.add_host()
        self.fleet.awaited -= 1
        await asyncio.sleep(until_workers - until_host)
        for worker in lost:
            await self.fleet.start_worker(self.fleet.new_worker(worker.zone, int(worker.rack.rsplit("-", 1)[1])))
            self.fleet.awaited -= 1

    async def _lose_power(self, what, hosts):
        """The hosts end at the same moment, at times right after a job was accepted, and start again."""
        if self.fleet.now() - self.restarted_at < RESTART_EVERY_S:
            return
        self.restarted_at = self.fleet.now()
        after_accepted = self.random.random() < 0.5
        pauses = {host.name: self._span(0.5, 1.6) for host in hosts}
        if after_accepted:
            self.fleet.job_accepted.clear()
            try:
                await asyncio.wait_for(self.fleet.job_accepted.wait(), 3)
            except asyncio.TimeoutError:
                after_accepted = False
        hosts = [host for host in hosts if host.up]
        self._note(what, ",".join(host.name for host in hosts), f"after-accepted={after_accepted}")
        ended = {host: host.process for host in hosts}
        for host in hosts:
            host.signal(signal.SIGKILL)
        await asyncio.gather(*(self._start_again(host, process, pauses[host.name])
                               for host, process in ended.items()))

    async def _start_again(self, host, process, pause):
        await asyncio.sleep(pause)
        while process.poll() is None:
            await asyncio.sleep(0.05)
        if host.process is process and not host.gone:
            host.start()

    async def _restart_all(self):
        await self._lose_power("restart-all", [host for host in self.fleet.hosts if not host.gone])

    async def _restart_domain(self):
        zone = self.random.choice(sorted({host.zone for host in self.fleet.hosts if not host.gone}))
        await self._lose_power("restart-domain",
                               [host for host in self.fleet.hosts if not host.gone and host.zone == zone])

    # Links.

    async def _cut(self, links, what):
        to_server, to_host = self._passages()
        span = self._span(0.5, 14)
        refuses = self.random.random() < 0.3
        self._note("cut", what, f"links={len(links)}", f"to-server={to_server.value}", f"to-host={to_host.value}",
                   f"refuses={refuses}", f"for={span:.2f}")
        for link in links:
            link.cut(to_server, to_host)
            link.refuses = refuses
            if refuses:
                link.reset()
        await asyncio.sleep(span)
        for link in links:
            link.heal()

    async def _cut_some(self):
        """One host is cut from some workers; the others reach them."""
        host = self._up_owner()
        if not host:
            return
        zones = [worker.zone for worker in self.fleet.workers if worker.owner == host.name]
        zone = self.random.choice(zones or [worker.zone for worker in self.fleet.workers])
        workers = [worker for worker in self.fleet.workers if worker.up and worker.zone == zone]
        chosen = self.random.sample(workers, self.random.randint(1, max(1, len(workers) - 1))) if workers else []
        links = [link for worker in chosen for link in self.fleet.links_of(host, worker)]
        await self._cut(links, f"{host.name} from {','.join(worker.id for worker in chosen)}")

    async def _cut_frozen_host(self):
        """One host is cut from some workers in one direction while it is frozen now and then."""
        host = self._up_host()
        workers = [worker for worker in self.fleet.workers if worker.up]
        if not host or not workers:
            return
        chosen = self.random.sample(workers, self.random.randint(1, len(workers)))
        links = [link for worker in chosen for link in self.fleet.links_of(host, worker)]
        way = self.random.choice((Passage.HELD, Passage.LOST))
        to_server, to_host = self.random.choice(((way, Passage.OPEN), (Passage.OPEN, way)))
        self._note("cut-frozen-host", host.name, f"to-server={to_server.value}", f"to-host={to_host.value}",
                   "from", ",".join(worker.id for worker in chosen))
        for link in links:
            link.cut(to_server, to_host)
        process = host.process
        for _ in range(self.random.randint(1, 4)):
            await asyncio.sleep(self._span(0.1, 3))
            if host.process is not process or not host.up:
                break
            host.freeze()
            await asyncio.sleep(self._span(0.1, 3))
            if host.process is process:
                host.thaw()
        for link in links:
            link.heal()

    async def _split_owner(self):
        """The owner of a cell stands still until another host takes over. It is cut from the store and from half of
        the cell's workers, and the other hosts from the rest; they stand still when it goes on."""
        worker = self._up_worker()
        owner = next((host for host in self.fleet.hosts if worker and host.name == worker.owner), None)
        if not owner or not owner.up or owner.frozen:
            return
        workers = [other for other in self.fleet.workers if other.up and other.owner == owner.name]
        theirs = set(self.random.sample(workers, len(workers) // 2))
        links = [self.fleet.store_links[owner.name]]
        for other in workers:
            links += [link for link in self.fleet.links_of(worker=other)
                      if (link.host == owner.name) == (other in theirs)]
        span, pause = self._span(9, 12), self._span(3.2, 4)
        self._note("split-owner", owner.name, "from", ",".join(sorted(other.id for other in theirs)),
                   f"frozen={pause:.2f}", f"for={span:.2f}")
        for link in links:
            link.cut(Passage.LOST, Passage.LOST)
        process = owner.process
        owner.freeze()
        await asyncio.sleep(pause)
        # No link lies between two hosts: what the others would tell the owner waits as long as they stand still.
        others = [host for host in self.fleet.hosts if host.up and not host.frozen]
        for host in others:
            host.freeze()
        if owner.process is process:
            owner.thaw()
        await asyncio.sleep(span - pause)
        for link in links:
            link.heal()
        for host in others:
            host.thaw()

    async def _cut_owner_workers(self):
        """One owner loses half of its workers for longer than a lease. It keeps the store, and the other hosts reach
        these workers."""
        worker = self._up_worker()
        owner = next((host for host in self.fleet.hosts if worker and host.name == worker.owner), None)
        if not owner or not owner.up or owner.frozen:
            return
        workers = [other for other in self.fleet.workers if other.up and other.owner == owner.name]
        chosen = self.random.sample(workers, (len(workers) + 1) // 2)
        span = self._span(7, 12)
        self._note("cut-owner-workers", owner.name, "from", ",".join(other.id for other in chosen), f"for={span:.2f}")
        links = [link for other in chosen for link in self.fleet.links_of(owner, other)]
        for link in links:
            link.cut(Passage.LOST, Passage.LOST)
        await asyncio.sleep(span)
        for link in links:
            link.heal()

    async def _cut_pairs(self, pairs, what, links=(), inbound=()):
        """Cuts the links between pairs of hosts, and `links`, towards the server and back; the servers of `inbound` are
        on the side of the first hosts."""
        outwards, back = self._passages()
        refuses = self.random.random() < 0.2
        resets = self.random.random() < 0.3
        span = self._span(0.5, 14)
        self._note("cut", what, f"outwards={outwards.value}", f"back={back.value}", f"refuses={refuses}",
                   f"resets={resets}", f"for={span:.2f}")
        await self._sever(pairs, links, outwards, back, span, inbound, refuses, resets)

    async def _sever(self, pairs, links, outwards, back, span, inbound=(), refuses=False, resets=False):
        """Other faults don't end these cuts."""
        cut = self.fleet.host_links.cut(pairs, outwards, back, refuses, resets)
        holds = [(link, link.hold(outwards, back)) for link in links]
        holds += [(link, link.hold(back, outwards)) for link in inbound]
        await asyncio.sleep(span)
        self.fleet.host_links.heal(cut)
        for link, hold in holds:
            link.release(hold)

    async def _cut_hosts(self):
        """One host is cut from some other hosts or all."""
        host = self._up_host()
        others = [other for other in self.fleet.hosts if other.up and other is not host]
        if not host or not others:
            return
        number = self.random.choice((len(others), self.random.randint(1, len(others))))
        chosen = self.random.sample(others, number)
        await self._cut_pairs(self.fleet.host_pairs([host], chosen),
                              f"{host.name} from {','.join(other.name for other in chosen)}")

    async def _cut_domain(self):
        """The hosts and workers of a domain are cut from those of other domains, and its hosts now and then from the
        store."""
        zone = self.random.choice([host.zone for host in self.fleet.hosts])
        inner = [host for host in self.fleet.hosts if host.zone == zone and not host.gone]
        others = [host for host in self.fleet.hosts if host.zone != zone and not host.gone]
        links = [link for worker in self.fleet.workers if worker.zone != zone
                 for host in inner for link in self.fleet.links_of(host, worker)]
        inbound = [link for worker in self.fleet.workers if worker.zone == zone
                   for host in others for link in self.fleet.links_of(host, worker)]
        with_store = self.random.random() < 0.5
        if with_store:
            links += [self.fleet.store_links[host.name] for host in inner]
        await self._cut_pairs(self.fleet.host_pairs(inner, others), f"domain {zone} with-store={with_store}", links,
                              inbound)

    async def _cut_owner(self):
        """The owner of a cell is cut from the store, from the other hosts and from half of the cell's workers, and the
        other hosts from the rest: while its authority lasts, another host takes over."""
        worker = self._up_worker()
        owner = next((host for host in self.fleet.hosts if worker and host.name == worker.owner), None)
        if not owner or not owner.up or owner.frozen or owner in self.cut_owners:
            return
        # With more owners cut at once, no cell has a host left that takes it over.
        if len(self.cut_owners) >= max(1, len(self.fleet.hosts) // 4):
            return
        workers = [other for other in self.fleet.workers if other.up and other.owner == owner.name]
        theirs = set(self.random.sample(workers, len(workers) // 2))
        links = [self.fleet.store_links[owner.name]]
        for other in workers:
            links += [link for link in self.fleet.links_of(worker=other)
                      if (link.host == owner.name) == (other in theirs)]
        pairs = self.fleet.host_pairs([owner], [host for host in self.fleet.hosts if not host.gone])
        passage, span = self.random.choice((Passage.HELD, Passage.LOST)), self._span(9, 14)
        self._note("cut-owner", owner.name, "from", ",".join(sorted(other.id for other in theirs)),
                   f"passage={passage.value}", f"for={span:.2f}")
        self.cut_owners.add(owner)
        await self._sever(pairs, links, passage, passage, span)
        self.cut_owners.discard(owner)

    async def _cut_host(self):
        """One host is cut from all workers and from the store."""
        host = self._up_host()
        if host:
            links = self.fleet.links_of(host) + [self.fleet.store_links[host.name]]
            await self._cut(links, f"{host.name} from workers and store")

    async def _cut_store(self):
        host = self._up_host()
        if host:
            await self._cut([self.fleet.store_links[host.name]], f"{host.name} from store")

    async def _cut_worker(self):
        worker = self._up_worker()
        if worker:
            await self._cut(self.fleet.links_of(worker=worker), f"{worker.id} from all")

    async def _reset_conns(self):
        """A part of the open connections to workers and store is reset: of one host, or of all."""
        host = self.random.choice((None, self._up_host()))
        links = self.fleet.links_of(host) + [link for name, link in self.fleet.store_links.items()
                                             if host is None or name == host.name]
        share = self._span(0.1, 1)
        writers = [writer for link in links for writer in link.writers]
        chosen = [writer for writer in writers if self.random.random() < share]
        self._note("reset-conns", host.name if host else "all", f"connections={len(chosen)}/{len(writers)}")
        for writer in chosen:
            writer.transport.abort()
        for other in [host] if host else self.fleet.hosts:
            other.disruptions += 1

    async def _refuse_conns(self):
        """New connections to a worker, or of a host to the store, are refused; the open ones stay, or are reset too."""
        worker, host = self._up_worker(), self._up_host()
        to_worker = self.random.random() < 0.7
        if not (worker if to_worker else host):
            return
        links = self.fleet.links_of(worker=worker) if to_worker else [self.fleet.store_links[host.name]]
        span, resets = self._span(0.5, 8), self.random.random() < 0.5
        self._note("refuse-conns", worker.id if to_worker else f"store for {host.name}", f"resets={resets}",
                   f"for={span:.2f}")
        for link in links:
            link.refuses = True
            if resets:
                link.reset()
        await asyncio.sleep(span)
        for link in links:
            link.refuses = False

    async def _cut_reborn(self):
        """A worker crashes behind a cut from all hosts and starts again there under its id."""
        worker = self._up_worker()
        if not worker:
            return
        pause, rest = self._span(0.1, 5), self._span(0.5, 8)
        self._note("cut-reborn", worker.id, f"until-crash={pause:.2f}", f"for={pause + rest:.2f}")
        links = self.fleet.links_of(worker=worker)
        for link in links:
            link.cut(Passage.LOST, Passage.LOST)
        await asyncio.sleep(pause)
        if worker.up:
            self.fleet.crash_worker(worker)
            await asyncio.sleep(0.3)
            # Another fault may have started it already.
            if not worker.up:
                await self.fleet.start_worker(worker)
        await asyncio.sleep(rest)
        for link in links:
            link.heal()

    async def _reborn_cut(self):
        """Workers of one owner leave calls unanswered and carry them out late, crash, start again under their ids, and
        are cut from all hosts soon after. In half of the draws the owner is killed meanwhile."""
        chosen = self._workers_of_one_owner(0.4, 1)
        if not chosen:
            return
        share, late = self._span(0.5, 1), self._span(0.5, 2.5)
        until_cut, span = self._span(1, 3), self._span(6, 14)
        passage = self.random.choice((Passage.HELD, Passage.LOST))
        owner = next((host for host in self.fleet.hosts if host.name == chosen[0].owner), None)
        until_kill = self._span(0, until_cut + 2) if self.random.random() < 0.5 else None
        self._note("reborn-cut", ",".join(worker.id for worker in chosen), f"share={share:.2f}", f"late={late:.2f}",
                   f"until-cut={until_cut:.2f}", f"passage={passage.value}", f"for={span:.2f}",
                   f"kill={'none' if until_kill is None or not owner else owner.name}")
        await self._leave_calls_unanswered(chosen, share, 2, late)
        await self._start_all_under_their_ids(chosen, 0.3, 1)
        links = [link for worker in chosen for link in self.fleet.links_of(worker=worker)]
        await asyncio.gather(self._hold_links(links, passage, until_cut, span), self._kill_after(owner, until_kill))

    async def _reborn_dark(self):
        """Workers of one owner leave calls unanswered and carry them out late. Some seconds later they are cut from all
        hosts and the store, and start again there under their ids."""
        chosen = self._workers_of_one_owner(0.3, 0.7)
        if not chosen:
            return
        share, late = self._span(0.5, 1), self._span(0.5, 2.5)
        until_cut, span = self._span(2, 10), self._span(6, 14)
        self._note("reborn-dark", ",".join(worker.id for worker in chosen), f"share={share:.2f}", f"late={late:.2f}",
                   f"until-cut={until_cut:.2f}", f"for={span:.2f}")
        await self._leave_calls_unanswered(chosen, share, 6, late)
        await asyncio.sleep(until_cut)
        with self._cut_from_hosts(chosen, Passage.LOST), self._cut_from_store(chosen):
            await self._start_all_under_their_ids(chosen, 0.1, 0.6)
            await asyncio.sleep(span)

    async def _reborn_stale(self):
        """Workers of one owner leave calls unanswered and are cut from all hosts while the store still hears of them.
        Later they are cut from the store too and start again there under their ids. The store's list shows the former
        life until its entry lapses, in time or one lapse later."""
        chosen = self._workers_of_one_owner(0.3, 0.7)
        if not chosen:
            return
        share, late = self._span(0.5, 1), self._span(0.5, 2)
        until_crash, span = self._span(5, 10), self._span(6, 14)
        keeps_entries = self.random.random() < 0.5
        self._note("reborn-stale", ",".join(worker.id for worker in chosen), f"share={share:.2f}", f"late={late:.2f}",
                   f"until-crash={until_crash:.2f}", f"keeps-entries={keeps_entries}", f"for={span:.2f}")
        await self._leave_calls_unanswered(chosen, share, 8, late)
        with self._cut_from_hosts(chosen, Passage.LOST):
            await asyncio.sleep(until_crash)
            with self._cut_from_store(chosen):
                for worker in chosen:
                    worker.lapses_skipped = 1 if keeps_entries else 0
                await self._start_all_under_their_ids(chosen, 0.1, 0.6)
                await asyncio.sleep(span)

    def _workers_of_one_owner(self, least, most):
        """A share of these workers, or none."""
        first = self._up_worker()
        if not first:
            return []
        group = [worker for worker in self.fleet.workers
                 if worker.up and worker.state == "ready" and worker.owner == first.owner]
        return self.random.sample(group, max(1, round(len(group) * self._span(least, most))))

    async def _leave_calls_unanswered(self, workers, share, least, span):
        """For a time, the workers carry a share of their calls out `least` to 12 seconds late, without an answer."""
        def delay():
            return self._span(least, 12) if self.random.random() < share else None
        for worker in workers:
            worker.delays_call = delay
        await asyncio.sleep(span)
        for worker in workers:
            if worker.delays_call is delay:
                worker.delays_call = None

    async def _start_all_under_their_ids(self, workers, least, most):
        await asyncio.gather(*(self._start_under_its_id(worker, self._span(least, most)) for worker in workers))

    async def _start_under_its_id(self, worker, dark):
        if worker.up:
            self._note("crash-worker", worker.id, f"dark={dark:.2f}")
            self.fleet.crash_worker(worker)
        await asyncio.sleep(dark)
        # Another fault may have started it already.
        if not worker.up:
            await self.fleet.start_worker(worker)

    async def _hold_links(self, links, passage, pause, span):
        await asyncio.sleep(pause)
        with self._links_held(links, passage):
            await asyncio.sleep(span)

    def _cut_from_hosts(self, workers, passage):
        return self._links_held([link for worker in workers for link in self.fleet.links_of(worker=worker)], passage)

    @staticmethod
    @contextlib.contextmanager
    def _links_held(links, passage):
        holds = [(link, link.hold(passage, passage)) for link in links]
        try:
            yield
        finally:
            for link, hold in holds:
                link.release(hold)

    @staticmethod
    @contextlib.contextmanager
    def _cut_from_store(workers):
        for worker in workers:
            worker.cuts_from_store += 1
        try:
            yield
        finally:
            for worker in workers:
                worker.cuts_from_store -= 1

    async def _kill_after(self, host, pause):
        if not host or pause is None:
            return
        await asyncio.sleep(pause)
        if host.up and not host.frozen:
            await self._restart(host, signal.SIGKILL, self._span(0.2, 8))

    # Workers.

    async def _add_workers(self):
        """Empty workers, of one rack; at most a third more than at the start."""
        room = self.workers_at_start * 4 // 3 - sum(worker.up for worker in self.fleet.workers)
        if room <= 0:
            return
        zone = self.random.choice([worker.zone for worker in self.fleet.workers])
        racks = [int(worker.rack.rsplit("-", 1)[1]) for worker in self.fleet.workers if worker.zone == zone]
        rack = self.random.choice((max(racks), max(racks) + 1))
        added = [self.fleet.new_worker(zone, rack) for _ in range(min(room, self.random.randint(1, 4)))]
        self._note("add-workers", ",".join(worker.id for worker in added), f"rack={zone}-{rack}")
        for worker in added:
            await self.fleet.start_worker(worker)

    async def _foreign_entry(self):
        """Another writer overwrites a worker's entry in the store, until the worker's next heartbeat."""
        worker = self._up_worker()
        if not worker:
            return
        entry, kind = worker.entry(), self.random.choice(("missing", "type", "bytes"))
        field = self.random.choice(("labels", "capacity", "zone", "service", "address", "state", "born"))
        for _ in range(self.random.randint(1, 6)):
            self._note("foreign-entry", worker.id, kind, field)
            if kind == "bytes":
                self.fleet.store.put_bytes("servers/" + worker.id, b"\xff{")
            else:
                changed = {name: value for name, value in entry.items() if name != field}
                self.fleet.store.put("servers/" + worker.id,
                                     changed if kind == "missing" else dict(changed, **{field: [7]}))
            await asyncio.sleep(self._span(0.1, 1.5))
            if not worker.up:
                return

    async def _lose_share(self):
        """The workers carry calls out, and a share of the answers is lost."""
        up = [worker for worker in self.fleet.workers if worker.up]
        chosen = self.random.sample(up, round(len(up) * 0.45))
        share = self._span(0.025, 0.19)
        self._note("lose-share", f"workers={len(chosen)}", f"share={share:.3f}", "for=5.50")

        def loses():
            return self.random.random() < share
        for worker in chosen:
            worker.loses_answer = loses
        await asyncio.sleep(5.5)
        for worker in chosen:
            if worker.loses_answer is loses:
                worker.loses_answer = None

    async def _freeze_worker(self):
        worker = self._up_worker()
        if not worker:
            return
        span = self._span(0.3, 9)
        self._note("freeze-worker", worker.id, f"for={span:.2f}")
        worker.freeze()
        await asyncio.sleep(span)
        worker.thaw()

    async def _reuse_port(self):
        """A worker crashes, and another one, with an id of its own, listens at its address."""
        worker = self._up_worker()
        if not worker:
            return
        self._note("reuse-port", worker.id, worker.address)
        self.fleet.crash_worker(worker)
        await asyncio.sleep(self._span(0, 3))
        rack = int(worker.rack.rsplit("-", 1)[1])
        await self.fleet.start_worker(self.fleet.new_worker(worker.zone, rack, worker.port))

    async def _crash_worker(self):
        worker = self._up_worker()
        if not worker:
            return
        self._note("crash-worker", worker.id)
        self.fleet.crash_worker(worker)
        await asyncio.sleep(self._span(0.3, 3))
        if self.keep_ids:
            await self.fleet.start_worker(worker)
            return
        fresh = self.fleet.new_worker(worker.zone, int(worker.rack.rsplit("-", 1)[1]))
        await self.fleet.start_worker(fresh)

    async def _drain_worker(self):
        worker = self._up_worker()
        if not worker:
            return
        self._note("drain-worker", worker.id)
        worker.state = "draining"
        await asyncio.sleep(8)
        if worker.up:
            worker.leave()
            for link in self.fleet.links_of(worker=worker):
                link.stop()
        await self.fleet.start_worker(self.fleet.new_worker(worker.zone, int(worker.rack.rsplit("-", 1)[1])))

    async def _unhealthy_worker(self):
        worker = self._up_worker()
        if not worker:
            return
        worker.unhealthy = True
        await asyncio.sleep(self._span(0.5, 5))
        worker.unhealthy = False

    async def _late_orders(self):
        worker = self._up_worker()
        if worker:
            worker.late_orders += [self._span(0.5, 12) for _ in range(self.random.randint(1, 3))]
            self._note("late-orders", worker.id, len(worker.late_orders))

    async def _late_calls(self):
        """Stops and holds are carried out after newer ones."""
        worker = self._up_worker()
        if worker:
            worker.late_calls += [self._span(0.5, 12) for _ in range(self.random.randint(1, 3))]
            self._note("late-calls", worker.id, len(worker.late_calls))

    async def _lose_answers(self):
        for _ in range(3):
            worker = self._up_worker()
            if worker:
                worker.lost_answers += self.random.randint(1, 4)
                self._note("lose-answers", worker.id, worker.lost_answers)

    # Store.

    async def _store_down(self):
        span = self._span(0.5, 8)
        self._note("store-down", f"for={span:.2f}")
        # Entries of workers may expire while the store is down.
        self.fleet.store.keeps_entries_while_down = self.random.random() < 0.5
        self.fleet.store.down = True
        await asyncio.sleep(span)
        self.fleet.store.down = False

    async def _store_slow(self):
        span = self._span(0.5, 6)
        self.fleet.store.latency = self.random.choice((0.1, 0.4, 0.9))
        self._note("store-slow", f"latency={self.fleet.store.latency}", f"for={span:.2f}")
        await asyncio.sleep(span)
        self.fleet.store.latency = 0.004

    async def _store_loses(self):
        span = self._span(0.5, 6)
        self._note("store-loses", f"for={span:.2f}")
        self.fleet.store.lost_share, self.fleet.store.late_share = 0.2, 0.2
        await asyncio.sleep(span)
        self.fleet.store.lost_share = self.fleet.store.late_share = 0.0

    async def _store_refuses(self):
        host = self._up_host()
        if not host:
            return
        span = self._span(0.5, 9)
        self._note("store-refuses", host.name, f"for={span:.2f}")
        self.fleet.store.refused_hosts.add(host.name)
        await asyncio.sleep(span)
        self.fleet.store.refused_hosts.discard(host.name)
