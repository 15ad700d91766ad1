"""Outages of the store, lost store answers, and workers that are leaving or silent."""

import unittest

from fixtures import FleetTest, Load, fleets, job, judge, submit_until_accepted, wait_until_jobs_end


class OutageTest(FleetTest):
    def test_daemon_killed_while_the_store_is_down_loses_no_job(self):
        ids = [submit_until_accepted(self.fleet, job(f"plan-{i}", run_ms=4000)) for i in range(12)]
        self.fleet.store.set_faults(down=True)
        victim = next(d for d in self.fleet.daemons.values() if d.owned_workers())
        orphaned = set(victim.owned_workers())
        victim.kill()
        survivors = [d for d in self.fleet.daemons.values() if d.alive]
        fleets.wait_for(lambda: orphaned <= {w for d in survivors for w in d.owned_workers()}, 30,
                        "the workers have a new owner without the store")
        previews = [d.request("previews", {"runMs": 5, "echo": "x"}) for d in survivors]
        self.assertEqual([r.outcome for r in previews], ["answer"] * len(survivors))
        order = survivors[0].request("orders", {"runMs": 5, "echo": "order-down"}, "order-down")
        self.assertEqual(order.outcome, "not-run", order.body)
        self.assertIn("retry-after", order.headers)
        refused = survivors[0].submit(job("plan-down"))
        # A dropped store connection can't be told apart from a lost answer, so the outcome may be "unknown". The
        # caller then repeats the submission under the same key.
        self.assertIn((refused.status, refused.code), {(503, "store-unavailable"), (503, "not-owner"),
                                                       (502, "outcome-unknown")}, refused.body)
        self.assertIn("retry-after", refused.headers)
        self.fleet.store.set_faults(down=False)
        resubmitted = submit_until_accepted(self.fleet, job("plan-down"))
        states = wait_until_jobs_end(self.fleet, [*ids, resubmitted])
        self.assertEqual(set(states.values()), {"finished"})
        self.assertEqual([judge.count_finishes(self.fleet)[i] for i in ids], [1] * len(ids))
        self.assertEqual(judge.count_request_starts(self.fleet)["order-down"], 0)
        self.assertEqual(judge.find_violations(self.fleet), [])

    def test_lost_store_answers_neither_lose_nor_duplicate_jobs(self):
        ids = []
        for i in range(8):
            self.fleet.store.set_faults(forgetAnswers=2)
            ids.append(submit_until_accepted(self.fleet, job(f"plan-{i}", run_ms=300)))
        states = wait_until_jobs_end(self.fleet, ids)
        self.assertEqual(set(states.values()), {"finished"})
        self.assertEqual([judge.count_finishes(self.fleet)[i] for i in ids], [1] * len(ids))
        self.assertEqual(judge.find_violations(self.fleet), [])

    def test_leaving_worker_gets_no_new_work(self):
        worker = next(iter(self.fleet.workers.values()))
        with Load(self.fleet, "previews") as previews:
            fleets.wait_for(lambda: previews.count("answer") > 50, 30, "the load is running")
            worker.set_faults(leaving=True)
            owner = next(d for d in self.fleet.daemons.values() if worker.worker in d.owned_workers())
            fleets.wait_for(lambda: any(w["worker"] == worker.worker and w["state"] == "leaving"
                                        for w in owner.get("/v1/workers").json()["workers"]), 20,
                            "the owner reports the worker as leaving")
            starts = sum(1 for row in worker.journal() if row.get("event") == "start")
            answered_before = previews.count("answer")
            fleets.wait_for(lambda: previews.count("answer") > answered_before + 100, 30, "requests are still answered")
        self.assertEqual(sum(1 for row in worker.journal() if row.get("event") == "start"), starts)

    def test_service_keeps_answering_when_a_worker_is_silent(self):
        worker = next(iter(self.fleet.workers.values()))
        with Load(self.fleet, "previews", deadline_ms=8000) as previews:
            fleets.wait_for(lambda: previews.count("answer") > 50, 30, "the load is running")
            worker.set_faults(silent=True)
            answered_before = previews.count("answer")
            fleets.wait_for(lambda: previews.count("answer") > answered_before + 200, 40, "requests are still answered")
        self.assertEqual(previews.errors, {})
        self.assertEqual([r.body for r in previews.replies.values() if r.outcome == "not-run"], [])


if __name__ == "__main__":
    unittest.main()
