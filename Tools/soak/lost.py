"""Checks rule LOST, in the words of the users' RULES.md, for tasks that last, as far as a soak sees it:

A task that lasts, of an accepted job that nobody has cancelled, doesn't run for 3 s, from 6 s after its last run, with
capacity for it twice over, and these 3 s and the 4 s before them are calm.

Calm are the store and all hosts, as which host is to start the task isn't seen from outside, and what was lost for good
has been replaced: until then its loss goes on. Capacity at a moment is that of the workers which have been calm for 4 s
then. A second verdict asks for no replacement.
"""

import asyncio

from soak.link import Passage

REST_S = 6.0
AWAY_S = 3.0
IN_TOUCH_S = 4.0
TIMES_OVER = 2
TICK_S = 0.1
# A look that is so late shows that the machine slowed the soak, its workers and its store.
LATE_S = 0.5


class LostWatch:
    """Looks at the fleet again and again. `breaks` has a text for each break of the rule."""

    def __init__(self, fleet, load):
        self.fleet, self.load = fleet, load
        self.breaks = []
        # What the second verdict counts beside them.
        self.before_replacement = []
        # Looks that came too late; nothing counts as calm before them.
        self.late = 0
        # The longest that a task has been away when all else held for the second verdict.
        self.longest = 0.0
        # Of the store, of hosts and of workers: since when they have been calm, and the life that was seen last.
        self._calm_since, self._lives = {}, {}
        # Since when there has been capacity for a task of so much processor and memory.
        self._room_since = {}
        # Tasks with the end of their last run, so that each time away counts once in each list.
        self._told = set()
        self._looked_at = None

    async def run(self):
        while True:
            self.look()
            await asyncio.sleep(TICK_S)

    def look(self):
        now = self.fleet.now()
        if self._looked_at is not None and now - self._looked_at > TICK_S + LATE_S:
            self.late += 1
            self.fleet.note("look-late", f"after={now - self._looked_at:.2f}")
            self._calm_since.clear()
        self._looked_at = now
        hosts = [host for host in self.fleet.hosts if not host.gone]
        calm_since = max([self._since("store", None, self._store_is_sound(), now),
                          *(self._since(host.name, (host.process, host.disruptions), self._host_is_sound(host), now)
                            for host in hosts)])
        replaced_since = self._since("replacement", None, not self.fleet.awaited, now)
        workers = {worker: self._since(worker.id, worker.life, self._worker_is_sound(worker, hosts), now)
                   for worker in self.fleet.workers}
        in_touch = [worker for worker, since in workers.items() if now - since >= IN_TOUCH_S]
        away = self._away(now)
        for size in {size for _, _, size in away} | set(self._room_since):
            if self._copies(in_touch, *size) < TIMES_OVER:
                self._room_since.pop(size, None)
            else:
                self._room_since.setdefault(size, now)
        if now - calm_since < IN_TOUCH_S + AWAY_S:
            return
        for task, since, size in away:
            if now - self._room_since.get(size, now) < AWAY_S:
                continue
            self.longest = max(self.longest, now - since)
            if now - since >= REST_S + AWAY_S:
                self._report(task, since, replaced_since, f"capacity since {self._room_since[size]:.3f}, calm since "
                                                          f"{calm_since:.3f}, replaced since {replaced_since:.3f}")

    def _report(self, task, since, replaced_since, conditions):
        now = self._looked_at
        found = self.breaks if now - replaced_since >= IN_TOUCH_S + AWAY_S else self.before_replacement
        if (task, since, found is self.breaks) in self._told:
            return
        self._told.add((task, since, found is self.breaks))
        found.append(f"{task} is to last and doesn't run at {now:.3f}, nor since {since:.3f}, with {conditions}")

    def _since(self, name, life, sound, now):
        """Since when it has been calm; `now` if it isn't."""
        if not sound or name not in self._calm_since or self._lives[name] != life:
            self._calm_since[name], self._lives[name] = now, life
        return self._calm_since[name]

    # What is disrupted at the moment.

    def _store_is_sound(self):
        store = self.fleet.store
        return not (store.down or store.is_slow() or store.lost_share or store.late_share)

    @staticmethod
    def _is_open(link):
        return link.to_server.passage is Passage.OPEN and link.to_host.passage is Passage.OPEN and not link.refuses

    def _host_is_sound(self, host):
        return (host.up and not host.frozen and not host.throttled
                and host.name not in self.fleet.store.refused_hosts
                and self._is_open(self.fleet.store_links[host.name])
                and self.fleet.host_links.are_open(self.fleet.index_of(host)))

    def _worker_is_sound(self, worker, hosts):
        return (worker.up and worker.state == "ready" and worker.thawed.is_set() and not worker.unhealthy
                and not worker.late_orders and not worker.late_calls and not worker.delays_call
                and not worker.lost_answers and not worker.loses_answer
                and all(self._is_open(link) for host in hosts for link in self.fleet.links_of(host, worker)))

    # Tasks and their capacity.

    def _away(self, now):
        """The tasks that last and don't run: name, since when, and size. What has never run counts from its
        acceptance."""
        found = []
        for job in self.load.accepted - self.load.cancelled:
            phase = self.load.jobs[job][0]
            if not phase.get("long_running"):
                continue
            for index in range(phase["count"]):
                task = f"{job}.0.0.{index}"
                since = self.fleet.judge.away_since(task, self.load.accepted_at[job])
                if since is not None and since < now:
                    found.append((task, since, (phase["cpu"], phase["mem_mb"])))
        return found

    def _copies(self, workers, cpu, mem_mb):
        """How many tasks of this size the workers have room for."""
        copies = 0
        for worker in workers:
            phases = [self.load.jobs[task.split(".")[0]][int(task.split(".")[2])] for task in worker.running]
            copies += max(0, min((worker.cpu - sum(phase["cpu"] for phase in phases)) // cpu,
                                 (worker.mem - sum(phase["mem_mb"] for phase in phases)) // mem_mb))
        return copies
