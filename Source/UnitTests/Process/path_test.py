"""Requests, jobs and refusals from end to end through separate processes."""

import unittest

from fixtures import CONFIG, fleets, job, judge, wait_until_jobs_end


class PathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = fleets.Fleet(daemons_per_domain=1, workers_per_domain=1)
        cls.fleet.__enter__()
        try:
            cls.fleet.apply_config(CONFIG)
            cls.fleet.wait_until_all_owned()
        except BaseException:
            cls.fleet.print_logs()
            cls.fleet.close()
            raise

    @classmethod
    def tearDownClass(cls):
        cls.fleet.close()

    def daemon(self):
        return next(iter(self.fleet.daemons.values()))

    def test_request_is_answered_with_its_own_answer(self):
        for daemon in self.fleet.daemons.values():
            reply = daemon.request("previews", {"runMs": 5, "echo": f"to {daemon.name}"}, f"own-{daemon.name}")
            self.assertEqual((reply.status, reply.outcome), (200, "answer"))
            self.assertIn(f"to {daemon.name}".encode(), reply.body)
            self.assertEqual(reply.headers["x-request-id"], f"own-{daemon.name}")

    def test_answer_of_several_megabytes_is_complete(self):
        reply = self.daemon().request("previews", {"runMs": 5, "answerBytes": 5_000_000})
        self.assertEqual(reply.outcome, "answer")
        self.assertGreaterEqual(len(reply.body), 5_000_000)

    def test_refusals_have_a_status_and_an_error_code(self):
        daemon = self.daemon()
        unknown = daemon.request("no-such-service")
        self.assertEqual((unknown.status, unknown.outcome, unknown.code), (404, "not-run", "unknown-service"))
        expired = daemon.request("previews", deadline_ms=0)
        self.assertEqual((expired.status, expired.outcome, expired.code), (504, "not-run", "deadline-passed"))
        malformed = daemon.post("/v1/services/previews/requests", "{}", headers={"X-Deadline-Ms": "soon"})
        self.assertEqual((malformed.status, malformed.code), (400, "malformed-request"))
        oversized = daemon.post("/v1/services/previews/requests", b"x" * (17 << 20))
        self.assertEqual((oversized.status, oversized.code), (413, "request-too-large"))
        self.assertEqual(daemon.get("/v1/nothing").code, "unknown-route")

    def test_non_idempotent_request_runs_once_when_repeated(self):
        replies = [d.request("orders", {"runMs": 5, "echo": "order-1"}, "order-1") for d in self.fleet.daemons.values()]
        self.assertEqual({r.outcome for r in replies} - {"answer", "unknown"}, set())
        self.assertIn("answer", {r.outcome for r in replies})
        self.assertEqual(judge.count_request_starts(self.fleet)["order-1"], 1)

    def test_job_runs_to_completion(self):
        reply = self.daemon().submit(job("plan-1"))
        self.assertEqual(reply.status, 201, reply.body)
        job_id = reply.json()["job"]["id"]
        again = list(self.fleet.daemons.values())[-1].submit(job("plan-1"))
        self.assertEqual((again.status, again.json()["job"]["id"]), (200, job_id))
        self.assertEqual(wait_until_jobs_end(self.fleet, [job_id]), {job_id: "finished"})
        self.assertEqual(judge.count_finishes(self.fleet)[job_id], 1)

    def test_job_is_cancelled_and_its_task_stopped(self):
        job_id = self.daemon().submit(job("long-1", run_ms=600_000)).json()["job"]["id"]
        fleets.wait_for(lambda: self.daemon().job(job_id)["state"] == "running", 30, "the job is running")
        cancelled = fleets.http_call(self.daemon().address, "DELETE", f"/v1/jobs/{job_id}")
        self.assertEqual(cancelled.status, 200, cancelled.body)
        self.assertEqual(wait_until_jobs_end(self.fleet, [job_id]), {job_id: "cancelled"})
        fleets.wait_for(lambda: all(end for task, _, _, _, end in judge.task_runs(self.fleet)
                                    if judge.job_of(task) == job_id), 30, "the worker has stopped the task")

    def test_job_refusals_have_an_error_code(self):
        daemon = self.daemon()
        self.assertEqual(daemon.post("/v1/jobs", "{nonsense").code, "malformed-request")
        self.assertEqual(daemon.submit({**job("p"), "profile": "no-such"}).code, "unknown-profile")
        self.assertEqual(daemon.get("/v1/jobs/j-00-missing").code, "unknown-job")
        huge = job("huge-1")
        huge["resources"]["memoryMb"] = 10_000_000
        self.assertEqual(daemon.submit(huge).code, "job-fits-no-worker")

    def test_nothing_was_duplicated_or_overloaded(self):
        self.assertEqual(judge.find_violations(self.fleet), [])

    def test_metrics_health_and_readiness_are_served(self):
        text = self.daemon().get("/metrics").body.decode()
        self.assertIn("lavendercart_request_outcomes_total", text)
        self.assertEqual(self.daemon().get("/healthz").status, 200)
        self.assertEqual(self.daemon().get("/readyz").status, 200)


if __name__ == "__main__":
    unittest.main()
