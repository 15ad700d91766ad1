"""The store down, slow and forgetful; domains cut off; workers leaving and silent."""

import unittest

from fixtures import FleetTest, Load, fleets, job, judge, submit_until_accepted, wait_jobs_ended


class OutageTest(FleetTest):
    def test_store_down_and_a_daemon_killed_meanwhile(self):
        ids = [submit_until_accepted(self.fleet, job(f"plan-{i}", run_ms=4000)) for i in range(12)]
        self.fleet.store.faults(down=True)
        victim = next(d for d in self.fleet.daemons.values() if d.owned_workers())
        orphaned = set(victim.owned_workers())
        victim.kill()
        survivors = [d for d in self.fleet.daemons.values() if d.alive]
        fleets.wait_for(lambda: orphaned <= {w for d in survivors for w in d.owned_workers()}, 30,
                        "workers change hands without the store")
        previews = [d.request("previews", {"runMs": 5, "echo": "x"}) for d in survivors]
        self.assertEqual([r.outcome for r in previews], ["answer"] * len(survivors))
        order = survivors[0].request("orders", {"runMs": 5, "echo": "order-down"}, "order-down")
        self.assertEqual(order.outcome, "not-run", order.body)
        self.assertIn("retry-after", order.headers)
        refused = survivors[0].submit(job("plan-down"))
        # A connection that the store drops can't be told from a lost answer: "unknown", to be repeated under its key.
        self.assertIn((refused.status, refused.code), {(503, "store-unavailable"), (503, "not-owner"),
                                                       (502, "outcome-unknown")}, refused.body)
        self.assertIn("retry-after", refused.headers)
        self.fleet.store.faults(down=False)
        late = submit_until_accepted(self.fleet, job("plan-down"))
        states = wait_jobs_ended(self.fleet, [*ids, late])
        self.assertEqual(set(states.values()), {"finished"})
        self.assertEqual([judge.finishes(self.fleet)[i] for i in ids], [1] * len(ids))
        self.assertEqual(judge.request_starts(self.fleet)["order-down"], 0)
        self.assertEqual(judge.faults(self.fleet), [])

    def test_forgetful_store_loses_and_doubles_nothing(self):
        ids = []
        for i in range(8):
            self.fleet.store.faults(forgetAnswers=2)
            ids.append(submit_until_accepted(self.fleet, job(f"plan-{i}", run_ms=300)))
        states = wait_jobs_ended(self.fleet, ids)
        self.assertEqual(set(states.values()), {"finished"})
        self.assertEqual([judge.finishes(self.fleet)[i] for i in ids], [1] * len(ids))
        self.assertEqual(judge.faults(self.fleet), [])

    def test_leaving_worker_gets_nothing_new(self):
        worker = next(iter(self.fleet.workers.values()))
        with Load(self.fleet, "previews") as previews:
            fleets.wait_for(lambda: previews.count("answer") > 50, 30, "the load runs")
            worker.faults(leaving=True)
            owner = next(d for d in self.fleet.daemons.values() if worker.worker in d.owned_workers())
            fleets.wait_for(lambda: any(w["worker"] == worker.worker and w["state"] == "leaving"
                                        for w in owner.get("/v1/workers").json()["workers"]), 20, "it is known as leaving")
            starts = sum(1 for row in worker.journal() if row.get("event") == "start")
            before = previews.count("answer")
            fleets.wait_for(lambda: previews.count("answer") > before + 100, 30, "answers go on")
        self.assertEqual(sum(1 for row in worker.journal() if row.get("event") == "start"), starts)

    def test_silent_worker_does_not_silence_the_service(self):
        worker = next(iter(self.fleet.workers.values()))
        with Load(self.fleet, "previews", deadline_ms=8000) as previews:
            fleets.wait_for(lambda: previews.count("answer") > 50, 30, "the load runs")
            worker.faults(silent=True)
            before = previews.count("answer")
            fleets.wait_for(lambda: previews.count("answer") > before + 200, 40, "answers go on")
        self.assertEqual(previews.errors, {})
        self.assertEqual([r.body for r in previews.replies.values() if r.outcome == "not-run"], [])


if __name__ == "__main__":
    unittest.main()
