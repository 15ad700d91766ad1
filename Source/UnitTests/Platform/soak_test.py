"""The parts of Tools/soak: the judge of rule TWICE, the links, and the stand-ins of workers and store."""

import asyncio
import base64
import json
import pathlib
import random
import sys
import unittest
import unittest.mock

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[3] / "Tools"))

from soak import http  # noqa: E402
from soak.faults import KINDS, NAMED_KINDS, Faults  # noqa: E402
from soak.judge import Judge, groups, like_the_record, summary  # noqa: E402
from soak.link import Link, Passage  # noqa: E402
from soak.load import Load  # noqa: E402
from soak.store import Store  # noqa: E402
from soak.worker import Worker  # noqa: E402

TASK = "5c0e7a21d94b36f8.0.1.17"
JOB = TASK.split(".", maxsplit=1)[0]


class JudgeTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.judge = Judge(lambda: self.now)

    def start(self, attempt, worker, at, ordered_at=None):
        self.now = at
        return self.judge.started(TASK, attempt, worker, "edge-1", at if ordered_at is None else ordered_at)

    def end(self, run, how, at):
        self.now = at
        self.judge.ended(run, how)

    def acknowledge(self, run, at, lapsed=False, lapse_ended_runs=True):
        self.now = at
        self.judge.acknowledged(run, lapsed, lapse_ended_runs)

    def pair(self, task, later, earlier, at, hosts=("edge-1", "edge-1")):
        """A start of the task on the worker `later` at `at` after an end as done on `earlier`, in an idle lapse."""
        self.now = at - 6
        run = self.judge.started(task, 1, earlier, hosts[0], self.now)
        self.end(run, "done", at - 5)
        self.now = at
        self.judge.started(task, 2, later, hosts[1], self.now)
        self.acknowledge(run, at + 1, lapsed=True, lapse_ended_runs=False)

    def test_two_runs_at_once_break_the_rule(self):
        self.start(1, "i-0", 1)
        self.start(2, "i-1", 2)
        self.assertEqual(len(self.judge.breaks), 1)
        self.assertIn("two runs at once", self.judge.breaks[0])

    def test_each_run_that_is_there_counts(self):
        for attempt in (1, 2, 3):
            self.start(attempt, f"i-{attempt}", attempt)
        self.assertEqual(len(self.judge.breaks), 3)

    def test_runs_of_other_tasks_do_not_count(self):
        self.start(1, "i-0", 1)
        self.judge.started("5c0e7a21d94b36f8.0.1.18", 1, "i-1", "edge-1", 1)
        self.assertEqual(self.judge.breaks, [])

    def test_start_after_an_end_that_is_not_done_is_allowed(self):
        for attempt, how in enumerate(("failed", "stopped", "lapsed"), 1):
            run = self.start(attempt, "i-0", attempt)
            self.end(run, how, attempt + 0.5)
            self.acknowledge(run, attempt + 0.6)
        self.assertEqual(self.judge.breaks, [])

    def test_start_after_a_noted_end_as_done_breaks_the_rule(self):
        run = self.start(1, "i-0", 1)
        self.end(run, "done", 2)
        self.acknowledge(run, 3)
        self.start(2, "i-1", 4)
        self.assertEqual(len(self.judge.breaks), 1)
        self.assertIn("taken note of", self.judge.breaks[0])

    def test_start_after_an_end_as_done_that_is_noted_later_breaks_the_rule(self):
        run = self.start(1, "i-0", 1)
        self.end(run, "done", 2)
        self.start(2, "i-1", 3)
        self.assertEqual(self.judge.breaks, [])
        self.acknowledge(run, 4)
        self.assertEqual(len(self.judge.breaks), 1)

    def test_start_after_an_end_as_done_that_is_never_noted_is_allowed(self):
        self.end(self.start(1, "i-0", 1), "done", 2)
        self.start(2, "i-1", 3)
        self.assertEqual(self.judge.breaks, [])

    def test_earlier_run_does_not_count_against_a_noted_end(self):
        self.end(self.start(1, "i-0", 1), "failed", 2)
        run = self.start(2, "i-1", 3)
        self.end(run, "done", 4)
        self.acknowledge(run, 5)
        self.assertEqual(self.judge.breaks, [])

    def test_end_is_exempt_if_the_lease_lapsed_before_its_acknowledgement(self):
        run = self.start(1, "i-0", 1)
        self.end(run, "done", 2)
        self.start(2, "i-1", 3)
        self.acknowledge(run, 4, lapsed=True)
        self.assertEqual((self.judge.breaks, self.judge.exempt, self.judge.noted), ([], 1, 0))
        self.assertEqual(len(self.judge.excused), 1)

    def test_idle_lapse_excuses_in_the_first_verdict_alone(self):
        run = self.start(1, "i-0", 1)
        self.end(run, "done", 2)
        self.start(2, "i-1", 3)
        self.acknowledge(run, 4, lapsed=True, lapse_ended_runs=False)
        counts = [len(pairs) for pairs in (self.judge.breaks, self.judge.idle_lapse, self.judge.any_lapse)]
        self.assertEqual((counts, len(self.judge.excused)), ([0, 1, 1], 1))

    def test_lapse_that_ended_a_run_counts_in_the_third_verdict_alone(self):
        run = self.start(1, "i-0", 1)
        self.end(run, "done", 2)
        self.start(2, "i-1", 3)
        self.acknowledge(run, 4, lapsed=True, lapse_ended_runs=True)
        counts = [len(pairs) for pairs in (self.judge.breaks, self.judge.idle_lapse, self.judge.any_lapse)]
        self.assertEqual(counts, [0, 0, 1])

    def test_start_after_an_excused_acknowledgement_counts_in_the_other_verdicts(self):
        for ended_runs in (False, True):
            with self.subTest(ended_runs=ended_runs):
                self.setUp()
                run = self.start(1, "i-0", 1)
                self.end(run, "done", 2)
                self.acknowledge(run, 3, lapsed=True, lapse_ended_runs=ended_runs)
                self.start(2, "i-1", 4)
                counts = [len(pairs) for pairs in (self.judge.breaks, self.judge.idle_lapse, self.judge.any_lapse)]
                self.assertEqual(counts, [0, 0 if ended_runs else 1, 1])

    def test_noted_end_counts_in_the_first_verdict_alone(self):
        run = self.start(1, "i-0", 1)
        self.end(run, "done", 2)
        self.acknowledge(run, 3)
        self.start(2, "i-1", 4)
        counts = [len(pairs) for pairs in (self.judge.breaks, self.judge.idle_lapse, self.judge.any_lapse)]
        self.assertEqual(counts, [1, 0, 0])

    def test_end_that_is_not_done_counts_in_no_verdict(self):
        run = self.start(1, "i-0", 1)
        self.end(run, "failed", 2)
        self.acknowledge(run, 3, lapsed=True, lapse_ended_runs=False)
        self.start(2, "i-1", 4)
        self.assertEqual(self.judge.any_lapse, [])

    def test_pairs_tell_whether_one_host_ordered_both(self):
        self.pair(f"{JOB}.0.0.1", "i-1", "i-0", 10)
        self.pair(f"{JOB}.0.0.2", "i-1", "i-0", 20, hosts=("edge-1", "edge-2"))
        self.assertEqual([pair.same_host for pair in self.judge.any_lapse], [True, False])

    def test_starts_near_each_other_by_one_host_are_a_group(self):
        for index, (at, host) in enumerate(((10, "edge-1"), (10.5, "edge-1"), (10.6, "edge-2"), (20, "edge-1"))):
            self.pair(f"{JOB}.0.0.{index}", "i-1", "i-0", at, hosts=(host, host))
        self.assertEqual([len(group) for group in groups(self.judge.any_lapse)], [2, 1, 1])

    def test_group_is_like_the_record_if_one_host_gave_all_to_one_worker(self):
        def group(*pairs):
            self.setUp()
            for index, (later, earlier, hosts) in enumerate(pairs):
                self.pair(f"{JOB}.0.0.{index}", later, earlier, 10 + index * 0.1, hosts)
            found = groups(self.judge.any_lapse)
            self.assertEqual(len(found), 1)
            return like_the_record(found[0])
        same = ("edge-1", "edge-1")
        self.assertTrue(group(("i-9", "i-0", same), ("i-9", "i-1", same)))
        self.assertFalse(group(("i-9", "i-0", same)))
        self.assertFalse(group(("i-9", "i-0", same), ("i-8", "i-1", same)))
        self.assertFalse(group(("i-9", "i-0", same), ("i-9", "i-1", ("edge-2", "edge-1"))))
        self.assertFalse(group(("i-9", "i-0", same), ("i-9", "i-1", same), ("i-9", "i-2", same)))

    def test_summary_counts_pairs_and_groups(self):
        for index, later in enumerate(("i-9", "i-9")):
            self.pair(f"{JOB}.0.0.{index}", later, "i-0", 10 + index * 0.1)
        for index, later in enumerate(("i-9", "i-8"), 2):
            self.pair(f"{JOB}.0.0.{index}", later, "i-0", 20 + index * 0.1)
        self.pair(f"{JOB}.0.0.4", "i-9", "i-0", 30, hosts=("edge-1", "edge-2"))
        self.assertEqual(summary(self.judge.any_lapse),
                         "5 (same host 4, groups 3, of several 2, these on one worker 1, like the record 1)")

    def test_run_of_a_crashed_worker_does_not_count(self):
        self.end(self.start(1, "i-0", 1), "lost", 2)
        self.start(2, "i-1", 3)
        self.assertEqual(self.judge.breaks, [])

    def test_start_over_a_second_after_completed_was_shown_breaks_the_rule(self):
        self.now = 1
        self.judge.shown_completed(JOB)
        self.start(1, "i-0", 2.0)
        self.assertEqual(self.judge.breaks, [])
        self.end(self.start(2, "i-0", 2.1), "failed", 2.2)
        self.assertEqual(sum("completed" in text for text in self.judge.breaks), 1)

    def test_later_showing_does_not_move_the_first(self):
        for self.now in (1, 5):
            self.judge.shown_completed(JOB)
        self.start(1, "i-0", 5.5)
        self.assertEqual(len(self.judge.breaks), 1)

    def test_order_that_is_carried_out_late_has_no_time_bound(self):
        self.now = 1
        self.judge.shown_completed(JOB)
        self.start(1, "i-0", 3, ordered_at=1.5)
        self.assertEqual(self.judge.breaks, [])

    def test_lapses_that_are_due_come_before_a_start(self):
        runs = []
        judge = Judge(lambda: 1.0, lambda: runs and judge.ended(runs.pop(), "lapsed"))
        runs.append(judge.started(TASK, 1, "i-0", "edge-1", 1.0))
        judge.started(TASK, 2, "i-1", "edge-1", 1.0)
        self.assertEqual(judge.breaks, [])


class Call:
    """A request as the stand-ins get it from a link."""

    def __init__(self, target, body=None, method="POST", **headers):
        self.method, self.target = method, target
        self.headers = {name.replace("_", "-"): value for name, value in headers.items()}
        self.body = json.dumps(body).encode() if body is not None else b""


class WorkerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        loop = asyncio.get_running_loop()
        self.judge = Judge(loop.time)
        self.store = Store(1)
        self.length, self.how = None, "done"
        self.worker = self.make()
        self.worker.start()
        self.addCleanup(lambda: self.worker.crash() if self.worker.up else None)

    def make(self, **options):
        return Worker("i-0000", "127.0.0.1:1", "yard", "yard-0", self.store, self.judge,
                      lambda task: (self.length, self.how), lambda *words: None, **options)

    async def call(self, target, body, instance="i-0000"):
        return await self.worker.serve("edge-1", Call(target, body, x_target_instance=instance), 0.0)

    async def start(self, attempt=1, token=1, task=TASK, lease=5000):
        return await self.call("/v1/run-start", {
            "task": task, "attempt": attempt, "spec": "work", "expires_ms": self.worker.clock() + lease,
            "fencing_token": token})

    async def stop(self, attempt=1, token=1):
        return await self.call("/v1/run-stop", {"task": TASK, "attempt": attempt, "fencing_token": token})

    async def hold(self, token=1, **fields):
        return await self.call("/v1/hold", dict(fields, fencing_token=token))

    async def wait_for_end(self):
        while not self.worker.ended:
            await asyncio.sleep(0.005)

    def reason(self, answer):
        self.assertEqual(answer[0], 409)
        self.assertIn("clock_ms", answer[1])
        return answer[1]["reason"]

    async def test_start_is_listed_and_answered_alike_when_it_is_there_already(self):
        for _ in range(2):
            self.assertEqual((await self.start())[0], 200)
        self.assertEqual(self.judge.starts, 1)
        status, lists = await self.hold()
        self.assertEqual((status, lists["running"], lists["ended"]), (200, [[TASK, 1, "", 100, 10]], []))

    async def test_other_incarnation_is_misdirected(self):
        self.assertEqual((await self.call("/v1/hold", {"fencing_token": 1}, instance="i-0001"))[0], 421)

    async def test_lower_token_does_nothing(self):
        await self.start(token=7)
        lease = self.worker.lease_until
        self.assertEqual(self.reason(await self.start(attempt=2, token=6, task=TASK + "0", lease=9000)), "fence")
        self.assertEqual(self.reason(await self.stop(token=6)), "fence")
        self.assertEqual(self.reason(await self.hold(token=6, expires_ms=self.worker.clock() + 9000)), "fence")
        self.assertEqual(self.reason(await self.call("/v1/hold", {})), "fence")
        self.assertEqual((self.worker.lease_until, self.judge.starts, self.worker.closed), (lease, 1, {}))

    async def test_order_past_its_time_is_late(self):
        self.assertEqual(self.reason(await self.start(lease=-1)), "late")
        self.assertEqual(self.judge.starts, 0)

    async def test_run_not_higher_than_one_ended_there_is_old_and_extends_the_lease(self):
        self.length = 0.01
        await self.start(attempt=2)
        await self.wait_for_end()
        for attempt in (1, 2):
            lease = self.worker.lease_until
            self.assertEqual(self.reason(await self.start(attempt=attempt, lease=5000 + 1000 * attempt)), "old")
            self.assertGreater(self.worker.lease_until, lease)
        self.assertEqual((await self.start(attempt=3))[0], 200)

    async def test_stop_before_the_start_rejects_the_run(self):
        self.assertEqual((await self.stop(attempt=2))[0], 200)
        self.assertEqual(self.reason(await self.start(attempt=2)), "old")
        self.assertEqual((await self.start(attempt=3))[0], 200)

    async def test_stop_ends_the_run(self):
        await self.start()
        await self.stop()
        await self.wait_for_end()
        self.assertEqual(self.worker.ended[0][3], "stopped")

    async def test_stop_of_an_earlier_run_leaves_a_later_one(self):
        await self.start(attempt=3)
        await self.stop(attempt=2)
        await asyncio.sleep(self.worker.stop_grace + 0.1)
        self.assertIn(TASK, self.worker.running)

    async def test_lease_is_shortened_to_the_longest_and_never_by_a_call(self):
        await self.start(lease=60000)
        limit = self.worker.clock() + int(self.worker.max_hold * 1000)
        self.assertLessEqual(self.worker.lease_until, limit)
        lease = self.worker.lease_until
        await self.hold(expires_ms=self.worker.clock() + 10)
        self.assertEqual(self.worker.lease_until, lease)

    async def test_lapse_ends_everything_that_runs(self):
        await self.start(lease=50)
        await self.wait_for_end()
        self.assertEqual(self.worker.ended[0][3], "lapsed")
        self.assertGreater(self.worker.clock(), self.worker.lease_until)

    async def test_slow_clock_lengthens_the_lease(self):
        self.worker.crash()
        self.worker = self.make(clock_rate=0.5)
        self.worker.start()
        begun = asyncio.get_running_loop().time()
        await self.start(lease=100)
        await self.wait_for_end()
        self.assertGreaterEqual(asyncio.get_running_loop().time() - begun, 0.19)

    async def test_lapse_between_end_and_acknowledgement_exempts_the_end(self):
        self.length = 0.01
        await self.start(lease=1000)
        await self.wait_for_end()
        self.assertEqual(self.worker.ended[0][3], "done")
        while self.worker.clock() <= self.worker.lease_until:
            await asyncio.sleep(0.05)
        # A lease that is given anew doesn't undo the lapse.
        await self.hold(expires_ms=self.worker.clock() + 5000)
        await self.hold(acked_through=1)
        self.assertEqual((self.judge.exempt, self.judge.noted), (1, 0))

    async def test_lapse_is_idle_if_no_run_ended_by_it(self):
        for lasts in (False, True):
            with self.subTest(lasts=lasts):
                self.worker.crash()
                self.judge = Judge(asyncio.get_running_loop().time)
                self.worker = self.make()
                self.worker.start()
                self.length = 0.01
                await self.start(lease=1000)
                await self.wait_for_end()
                if lasts:
                    self.length = None
                    await self.start(task=TASK + "0", lease=1000)
                while self.worker.clock() <= self.worker.lease_until:
                    await asyncio.sleep(0.05)
                await self.hold(acked_through=1)
                self.judge.started(TASK, 2, "i-0001", "edge-1", 0.0)
                self.assertEqual((len(self.judge.idle_lapse), len(self.judge.any_lapse)), (0 if lasts else 1, 1))

    async def test_lapse_before_the_end_does_not_exempt_it(self):
        await self.start(lease=50)
        await self.wait_for_end()
        self.length = 0.01
        await self.start(attempt=2)
        while len(self.worker.ended) < 2:
            await asyncio.sleep(0.005)
        await self.hold(acked_through=2)
        self.assertEqual((self.judge.exempt, self.judge.noted), (0, 1))

    async def test_ends_are_listed_again_until_they_are_acknowledged(self):
        self.length = 0.01
        await self.start()
        await self.wait_for_end()
        for _ in range(2):
            self.assertEqual((await self.hold())[1]["ended"], [[1, TASK, 1, "done", ""]])
        self.assertEqual((await self.hold(acked_through=1))[1]["ended"], [])
        self.assertEqual(self.judge.noted, 1)

    async def test_five_hundred_ends_are_listed_at_a_time(self):
        self.length = 0.01
        for index in range(501):
            await self.start(task=f"{JOB}.0.0.{index}")
        while len(self.worker.ended) < 501:
            await asyncio.sleep(0.01)
        self.assertEqual([row[0] for row in (await self.hold())[1]["ended"]], list(range(1, 501)))
        self.assertEqual([row[0] for row in (await self.hold(acked_through=500))[1]["ended"]], [501])

    async def test_hold_waits_for_an_end(self):
        self.length = 0.1
        await self.start()
        status, lists = await self.hold(wait_ms=2000)
        self.assertEqual((status, [row[3] for row in lists["ended"]]), (200, ["done"]))
        self.assertTrue(lists["born"] == self.worker.born == self.worker.entry()["born"])
        self.assertIsInstance(lists["born"], int)

    async def test_hold_that_waits_while_a_newer_token_comes(self):
        for fences, status in ((True, 409), (False, 200)):
            self.worker.fences_waiting = fences
            token = self.worker.token + 1
            waiting = asyncio.ensure_future(self.hold(token=token, wait_ms=1000))
            await asyncio.sleep(0.05)
            self.assertEqual((await self.hold(token=token + 1))[0], 200)
            self.assertEqual((await waiting)[0], status)

    async def test_crash_forgets_everything(self):
        await self.start(token=7)
        self.worker.crash()
        self.assertIsNone(await self.hold(token=7))
        self.worker.start()
        self.assertEqual((await self.start(token=1))[0], 200)
        self.assertEqual((self.judge.breaks, self.worker.numbers), ([], 0))

    async def test_unhealthy_worker_starts_nothing(self):
        self.worker.unhealthy = True
        self.assertEqual((await self.start())[0], 503)
        self.assertEqual(self.judge.starts, 0)

    async def test_order_without_an_answer_is_carried_out_later(self):
        self.worker.late_orders.append(0.2)
        order = asyncio.ensure_future(self.start())
        await asyncio.sleep(0)
        self.assertEqual(self.judge.starts, 0)
        while not self.judge.starts:
            await asyncio.sleep(0.02)
        self.assertFalse(order.done())
        order.cancel()

    async def test_hold_without_an_answer_is_carried_out_later(self):
        self.length = 0.01
        await self.start()
        await self.wait_for_end()
        self.worker.late_calls.append(0.2)
        late = asyncio.ensure_future(self.hold(acked_through=1))
        await asyncio.sleep(0)
        self.assertEqual(len((await self.hold())[1]["ended"]), 1)
        while self.worker.ended:
            await asyncio.sleep(0.02)
        self.assertEqual((self.judge.noted, late.done()), (1, False))
        late.cancel()

    async def start_again(self):
        """The worker's next life, under the same id."""
        self.worker.crash()
        await asyncio.sleep(0.02)
        self.worker.start()

    async def late(self, target, body, delay=0.1):
        """A call that the former life leaves without an answer and the next one has carried out."""
        self.worker.delays_call = lambda: delay
        request = Call(target, body, x_target_instance="i-0000")
        call = asyncio.ensure_future(self.worker.serve("edge-1", request, self.judge.now()))
        await asyncio.sleep(0.01)
        self.worker.delays_call = None
        await self.start_again()
        await asyncio.sleep(delay)
        self.assertFalse(call.done())
        call.cancel()

    def late_start(self, token=7, attempt=1):
        # A time on the former life's clock, which is far ahead of the next one's.
        return {"task": TASK, "attempt": attempt, "expires_ms": 3600000, "fencing_token": token}

    def check_longest_lease(self):
        # A life's clock begins at 1,000 ms.
        self.assertTrue(11000 <= self.worker.lease_until <= self.worker.clock() + 10000, self.worker.lease_until)

    async def test_next_life_carries_out_a_start_to_the_former_one_under_the_longest_lease(self):
        self.worker.token = 9
        await self.late("/v1/run-start", self.late_start())
        self.assertEqual((self.judge.starts, list(self.worker.running), self.worker.token), (1, [TASK], 7))
        self.check_longest_lease()
        self.assertEqual(dict(self.judge.next_life), {"start": 1})
        self.assertEqual(self.judge.coincidences(),
                         "starts 1 (while cut 0), grants 0 (while cut 0), acks 0 (while cut 0)")

    async def test_next_life_takes_the_longest_lease_from_a_late_poll_and_counts_it_while_cut(self):
        self.worker.is_cut = lambda: True
        await self.late("/v1/hold", {"fencing_token": 7, "expires_ms": 3600000})
        self.check_longest_lease()
        self.assertEqual(self.judge.coincidences(),
                         "starts 0 (while cut 0), grants 1 (while cut 1), acks 0 (while cut 0)")

    async def test_poll_to_the_former_life_makes_the_next_one_forget_ends_that_nobody_has_read(self):
        self.length = 0.01
        poll, sent_at = Call("/v1/hold", {"fencing_token": 1, "acked_through": 57}), self.judge.now()
        await self.start_again()
        await self.worker.serve("edge-1", Call("/v1/run-start", self.late_start(token=1)), self.judge.now())
        await self.wait_for_end()
        await self.worker.serve("edge-1", poll, sent_at)
        self.assertEqual((self.worker.ended, self.judge.noted, dict(self.judge.next_life)), ([], 1, {"ack": 1}))
        self.judge.started(TASK, 2, "i-0001", "edge-1", self.judge.now())
        self.assertEqual(len(self.judge.breaks), 1)

    async def test_next_life_refuses_late_calls_below_the_token_it_has_seen(self):
        self.worker.delays_call = lambda: 0.15
        calls = [asyncio.ensure_future(self.worker.serve("edge-1", Call(target, body, x_target_instance="i-0000"),
                                                         self.judge.now()))
                 for target, body in (("/v1/run-start", self.late_start()),
                                      ("/v1/hold", {"fencing_token": 7, "expires_ms": 3600000}))]
        await asyncio.sleep(0.01)
        self.worker.delays_call = None
        await self.start_again()
        self.assertEqual((await self.hold(token=8))[0], 200)
        await asyncio.sleep(0.2)
        for call in calls:
            call.cancel()
        self.assertEqual((self.judge.starts, self.worker.running, self.worker.lease_until), (0, {}, 0))
        self.assertEqual(dict(self.judge.next_life), {})

    async def test_late_call_is_lost_if_its_worker_is_not_up_then(self):
        self.worker.delays_call = lambda: 0.05
        call = asyncio.ensure_future(self.call("/v1/run-start", self.late_start()))
        await asyncio.sleep(0.01)
        self.worker.delays_call = None
        self.worker.crash()
        await asyncio.sleep(0.1)
        self.worker.start()
        call.cancel()
        self.assertEqual((self.judge.starts, self.worker.running), (0, {}))

    async def test_late_call_waits_while_its_worker_is_frozen(self):
        self.worker.late_orders.append(0.02)
        call = asyncio.ensure_future(self.start())
        await asyncio.sleep(0)
        self.worker.freeze()
        await asyncio.sleep(0.1)
        self.assertEqual(self.judge.starts, 0)
        self.worker.thaw()
        await asyncio.sleep(0.02)
        self.assertEqual(self.judge.starts, 1)
        call.cancel()

    async def test_calls_of_the_life_that_is_up_are_no_coincidence(self):
        await self.start_again()
        request = Call("/v1/run-start", self.late_start(), x_target_instance="i-0000")
        self.assertEqual((await self.worker.serve("edge-1", request, self.judge.now()))[0], 200)
        self.assertEqual((self.judge.starts, dict(self.judge.next_life)), (1, {}))

    async def test_run_on_a_next_life_beside_another_run_breaks_the_rule(self):
        await self.late("/v1/run-start", self.late_start())
        self.judge.started(TASK, 1, "i-0001", "edge-2", self.judge.now())
        self.assertEqual(len(self.judge.breaks), 1)
        self.assertIn("two runs at once", self.judge.breaks[0])

    async def test_start_after_the_noted_end_of_a_run_on_a_next_life_breaks_the_rule(self):
        self.length = 0.01
        await self.late("/v1/run-start", self.late_start())
        await self.wait_for_end()
        # The end is read and noted after the task has been started elsewhere.
        self.judge.started(TASK, 2, "i-0001", "edge-1", self.judge.now())
        self.assertEqual(self.judge.breaks, [])
        await self.hold(token=7, acked_through=1)
        self.assertEqual(len(self.judge.breaks), 1)
        self.assertIn("taken note of", self.judge.breaks[0])

    async def test_late_start_on_a_next_life_after_a_noted_end_breaks_the_rule(self):
        self.length = 0.01
        await self.start()
        await self.wait_for_end()
        await self.hold(acked_through=1)
        await self.late("/v1/run-start", self.late_start(token=1))
        self.assertEqual((self.judge.starts, len(self.judge.breaks)), (2, 1))
        self.assertIn("taken note of", self.judge.breaks[0])

    async def test_run_that_a_crash_ended_leaves_room_for_one_on_the_next_life(self):
        await self.start()
        await self.late("/v1/run-start", self.late_start(attempt=2))
        self.assertEqual((self.judge.starts, self.judge.breaks), (2, []))

    async def test_lost_answer_follows_an_order_that_was_carried_out(self):
        self.worker.lost_answers = 1
        self.assertIsNone(await self.start())
        self.assertEqual(self.judge.starts, 1)

    async def test_frozen_worker_answers_and_works_on_when_it_is_thawed(self):
        self.length = 0.05
        await self.start()
        self.worker.freeze()
        waiting = asyncio.ensure_future(self.hold())
        await asyncio.sleep(0.2)
        self.assertEqual((self.worker.ended, waiting.done()), ([], False))
        self.worker.thaw()
        await waiting
        await self.wait_for_end()

    async def freeze_past_the_lease(self, late_lapse, length=None):
        """A worker with a run, frozen for longer than its lease."""
        self.worker.crash()
        self.judge = Judge(asyncio.get_running_loop().time, lambda: self.worker.settle())
        self.worker = self.make(late_lapse=late_lapse)
        self.worker.start()
        self.length = length
        await self.start(lease=100)
        self.worker.freeze()
        await asyncio.sleep(0.2)
        self.assertGreater(self.worker.clock(), self.worker.lease_until)

    async def test_worker_that_stood_still_lets_its_lease_lapse_before_it_reads_calls(self):
        await self.freeze_past_the_lease(late_lapse=False)
        waiting = asyncio.ensure_future(self.hold(expires_ms=self.worker.clock() + 5000))
        await asyncio.sleep(0.01)
        self.worker.thaw()
        self.assertEqual(([row[3] for row in (await waiting)[1]["ended"]], self.worker.running), (["lapsed"], {}))

    async def test_worker_with_a_late_lapse_reads_calls_that_waited_first(self):
        await self.freeze_past_the_lease(late_lapse=True, length=0.15)
        waiting = asyncio.ensure_future(self.hold(expires_ms=self.worker.clock() + 5000))
        await asyncio.sleep(0.01)
        self.worker.thaw()
        self.assertEqual([row[1] for row in (await waiting)[1]["running"]], [1])
        await self.wait_for_end()
        self.assertEqual((self.worker.ended[0][3], self.worker.lapsed_at), ("done", -1))

    async def test_worker_with_a_late_lapse_carries_it_out_if_no_call_extends_the_lease(self):
        # A run that lasts, and one whose work would have ended while the worker stood still.
        for length in (None, 0.15):
            with self.subTest(length=length):
                await self.freeze_past_the_lease(late_lapse=True, length=length)
                waiting = asyncio.ensure_future(self.hold())
                await asyncio.sleep(0.01)
                self.assertIn(TASK, self.worker.running)
                self.worker.thaw()
                await waiting
                await asyncio.sleep(0.01)
                self.assertEqual([row[3] for row in self.worker.ended], ["lapsed"])

    async def test_worker_with_a_late_lapse_that_did_not_stand_still_is_in_time(self):
        self.worker.crash()
        self.worker = self.make(late_lapse=True)
        self.worker.start()
        await self.start(lease=50)
        await asyncio.sleep(0.2)
        self.assertEqual([row[3] for row in self.worker.ended], ["lapsed"])

    async def test_breaks_by_a_late_lapse_are_counted_by_themselves(self):
        for late_lapse in (False, True):
            with self.subTest(late_lapse=late_lapse):
                await self.freeze_past_the_lease(late_lapse)
                self.judge.started(TASK, 2, "i-0001", "edge-1", 0.0)
                breaks = 1 if late_lapse else 0
                self.assertEqual((len(self.judge.breaks), len(self.judge.by_late_lapse)), (breaks, breaks))

    async def test_end_that_is_noted_by_a_late_lapse_is_counted_by_itself(self):
        self.length = 0.01
        for late_lapse in (False, True):
            with self.subTest(late_lapse=late_lapse):
                await self.freeze_past_the_lease(late_lapse)
                self.worker.crash()
                self.worker.thaw()
                self.worker.start()
                self.length = 0.01
                await self.start(lease=100)
                await self.wait_for_end()
                self.worker.freeze()
                await asyncio.sleep(0.2)
                self.judge.started(TASK, 2, "i-0001", "edge-1", 0.0)
                waiting = asyncio.ensure_future(self.hold(acked_through=1))
                await asyncio.sleep(0.01)
                self.worker.thaw()
                await waiting
                breaks = 1 if late_lapse else 0
                self.assertEqual((len(self.judge.breaks), len(self.judge.by_late_lapse)), (breaks, breaks))

    async def test_break_of_a_worker_in_time_is_not_by_a_late_lapse(self):
        self.worker.crash()
        self.worker = self.make(late_lapse=True)
        self.worker.start()
        await self.start()
        self.judge.started(TASK, 2, "i-0001", "edge-1", 0.0)
        self.assertEqual((len(self.judge.breaks), self.judge.by_late_lapse), (1, []))

    async def test_lease_of_a_frozen_worker_lapses(self):
        await self.start(lease=50)
        self.worker.freeze()
        await self.wait_for_end()
        self.assertEqual(self.worker.ended[0][3], "lapsed")


class StoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = Store(1)
        self.store.latency = 0

    async def call(self, target, body=None, method="GET"):
        return await self.store.serve("edge-1", Call(target, body, method))

    async def write(self, key, value, revision):
        return await self.call("/v1/kv-txn", {
            "expected": [{"key": key, "revision": revision}],
            "puts": [{"key": key, "value": base64.b64encode(value).decode()}]}, "POST")

    async def test_write_with_a_wrong_revision_does_nothing(self):
        status, answer = await self.write("a", b"1", 0)
        self.assertEqual(status, 200)
        status, current = await self.write("a", b"2", 0)
        self.assertEqual((status, [item["revision"] for item in current["items"]]), (412, [answer["revision"]]))
        self.assertEqual((await self.write("a", b"2", answer["revision"]))[0], 200)
        self.assertEqual(base64.b64decode((await self.call("/v1/kv-key?key=a"))[1]["value"]), b"2")

    async def test_keys_of_the_platform_are_not_written(self):
        self.assertEqual((await self.write("op/config", b"1", 0))[0], 403)
        self.assertEqual((await self.write("servers/i-0", b"1", 0))[0], 403)

    async def test_pages_follow_each_other(self):
        for index in range(501):
            self.store.put(f"op/{index:04}", index)
        first = (await self.call("/v1/kv-range?prefix=op/"))[1]
        self.assertEqual((len(first["items"]), first["has_more"]), (500, True))
        last = (await self.call(f"/v1/kv-range?prefix=op/&after={first['items'][-1]['key']}"))[1]
        self.assertEqual(([item["key"] for item in last["items"]], last["has_more"]), (["op/0500"], False))

    async def test_watch_returns_writes_and_removals(self):
        at = self.store.revision
        waiting = asyncio.ensure_future(self.call(f"/v1/kv-watch?prefix=op/&after={at}&wait_ms=2000"))
        await asyncio.sleep(0.01)
        self.store.put("other", 1)
        self.store.put("op/a", 1)
        self.store.delete("op/a")
        events = (await waiting)[1]["events"]
        self.assertEqual(events[0]["key"], "op/a")
        events = (await self.call(f"/v1/kv-watch?prefix=op/&after={events[0]['revision']}"))[1]["events"]
        self.assertEqual([event["tombstone"] for event in events], [True])

    async def test_store_that_is_down_or_refuses_a_host_does_nothing(self):
        self.store.refused_hosts.add("edge-1")
        self.assertEqual((await self.write("a", b"1", 0))[0], 503)
        self.store.refused_hosts.clear()
        self.store.down = True
        self.assertEqual((await self.write("a", b"1", 0))[0], 503)
        self.assertEqual(self.store.items, {})

    async def test_entry_of_a_silent_worker_is_removed(self):
        worker = Worker("i-0", "127.0.0.1:1", "yard", "yard-0", self.store, None, None, None)
        for down, keeps, left in ((False, False, 0), (True, False, 0), (True, True, 1)):
            self.store.down = False
            self.store.put("servers/i-0", {})
            self.store.down, self.store.keeps_entries_while_down = down, keeps
            worker._remove_entry()
            self.assertEqual(len(self.store.items), left)
        worker._silence.cancel()


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.arrived = []
        self.link = Link("edge-1", "127.0.0.1", 0, self.serve)
        await self.link.start()
        self.address = "127.0.0.1:%d" % self.link.server.sockets[0].getsockname()[1]
        self.addCleanup(self.link.stop)

    async def serve(self, host, request):
        self.arrived.append((host, request.target))
        return None if request.target == "/none" else (200, {"target": request.target})

    def call(self, target, timeout=5.0):
        return asyncio.ensure_future(http.call(self.address, "POST", target, {}, timeout=timeout))

    async def wait_for_arrivals(self, number):
        while len(self.arrived) < number:
            await asyncio.sleep(0.005)

    async def test_open_link_passes_calls_and_answers(self):
        self.assertEqual(await self.call("/a"), (200, {"target": "/a"}))
        self.assertEqual(self.arrived, [("edge-1", "/a")])

    async def test_server_that_gives_no_answer_ends_the_connection(self):
        self.assertIsNone((await self.call("/none"))[0])

    async def test_held_message_is_delivered_later_though_the_host_has_given_up(self):
        self.link.cut(Passage.HELD, Passage.OPEN)
        self.assertIsNone((await self.call("/a", timeout=1.0))[0])
        self.assertEqual(self.arrived, [])
        self.link.heal()
        await self.wait_for_arrivals(1)

    async def test_held_answer_is_delivered_later(self):
        self.link.cut(Passage.OPEN, Passage.HELD)
        call = self.call("/a")
        await self.wait_for_arrivals(1)
        await asyncio.sleep(0.1)
        self.assertFalse(call.done())
        self.link.heal()
        self.assertEqual((await call)[0], 200)

    async def test_cut_towards_the_server_loses_the_call(self):
        self.link.cut(Passage.LOST, Passage.OPEN)
        self.assertIsNone((await self.call("/a", timeout=1.0))[0])
        self.link.heal()
        self.assertEqual((await self.call("/b"))[0], 200)
        self.assertEqual([target for _, target in self.arrived], ["/b"])

    async def test_cut_towards_the_host_loses_the_answer_alone(self):
        self.link.cut(Passage.OPEN, Passage.LOST)
        self.assertIsNone((await self.call("/a", timeout=1.0))[0])
        self.assertEqual([target for _, target in self.arrived], ["/a"])

    async def test_message_that_is_held_can_be_lost(self):
        self.link.cut(Passage.HELD, Passage.OPEN)
        call = self.call("/a", timeout=1.0)
        await asyncio.sleep(0.5)
        self.link.cut(Passage.LOST, Passage.OPEN)
        await asyncio.sleep(0.01)
        self.link.heal()
        self.assertIsNone((await call)[0])
        self.assertEqual(self.arrived, [])

    async def test_refusing_and_stopped_links_end_connections(self):
        self.link.refuses = True
        self.assertIsNone((await self.call("/a"))[0])
        self.link.heal()
        self.assertEqual((await self.call("/a"))[0], 200)
        self.link.stop()
        self.assertIsNone((await self.call("/a"))[0])


class LastingShareTest(unittest.TestCase):
    def test_share_of_jobs_that_last(self):
        workers = [unittest.mock.Mock(zone="yard", cpu=16000, up=True) for _ in range(6)]
        fleet = unittest.mock.Mock(workers=workers)
        for share in (0.0, 0.5, 1.0):
            load = Load(fleet, random.Random(1), 1, share)
            lasting = sum(bool(load._phases()[0].get("long_running")) for _ in range(1000))
            self.assertLessEqual(abs(lasting - 1000 * share), 0 if share in (0, 1) else 100)


class StandInHost:
    def __init__(self, name):
        self.name, self.up, self.frozen = name, True, False


class CutOwnerTest(unittest.IsolatedAsyncioTestCase):
    async def test_owner_loses_half_of_its_workers_and_keeps_the_rest_and_the_store(self):
        owner, other = StandInHost("edge-1"), StandInHost("edge-2")
        workers = [Worker(f"i-{index}", f"127.0.0.1:{index}", "yard", "yard-0", None, None, None, None)
                   for index in range(5)]
        for worker in workers:
            worker.up, worker.owner = True, "edge-1" if worker is not workers[4] else "edge-2"
        fleet = unittest.mock.Mock(hosts=[owner, other], workers=workers)
        links = {(host.name, worker.id): Link(host.name, "127.0.0.1", 0, None) for host in (owner, other)
                 for worker in workers}
        fleet.links_of = lambda host, worker: [links[host.name, worker.id]]
        fleet.store_links = {"edge-1": Link("edge-1", "127.0.0.1", 0, None)}

        def cut():
            return [key for key, link in [*links.items(), *fleet.store_links.items()]
                    if link.to_server.passage is not Passage.OPEN and link.to_host.passage is not Passage.OPEN]
        faults = Faults(fleet, random.Random(1), NAMED_KINDS)
        faults._up_worker = lambda: workers[0]
        during = []
        with unittest.mock.patch("soak.faults.asyncio.sleep", side_effect=lambda span: during.append((span, cut()))):
            await faults._cut_owner_workers()
        [(span, lost)] = during
        self.assertGreater(span, 6)
        self.assertEqual((len(lost), {host for host, _ in lost}), (2, {"edge-1"}))
        self.assertLess({ident for _, ident in lost}, {worker.id for worker in workers[:4]})
        self.assertEqual(cut(), [])

    def test_kinds_that_are_drawn_only_if_named_are_none_of_the_others(self):
        self.assertEqual(set(KINDS) & set(NAMED_KINDS), set())


if __name__ == "__main__":
    unittest.main()
