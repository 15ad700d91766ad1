"""Operators' changes: races, restarts of a whole domain, faults."""

import copy
import threading
import unittest

from fixtures import CONFIG, fleets


def changed(deadline):
    document = copy.deepcopy(CONFIG)
    document["profiles"]["preview"]["deadline"] = deadline
    return document


class ConfigTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleets.Fleet(daemons_per_domain=2, workers_per_domain=1)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.close)

    def post(self, daemon, document, base, change):
        text = document if isinstance(document, str) else fleets.json.dumps(document)
        return daemon.post("/v1/config", {"baseRevision": base, "changeId": change, "author": "t", "document": text},
                           timeout=30)

    def revisions(self):
        return [d.get("/v1/config").json()["revision"] for d in self.fleet.daemons.values() if d.alive]

    def test_work_is_refused_before_the_first_configuration(self):
        reply = next(iter(self.fleet.daemons.values())).request("previews")
        self.assertEqual((reply.outcome, reply.code), ("not-run", "no-configuration"))
        self.assertIn("retry-after", reply.headers)

    def test_one_of_racing_operators_wins(self):
        base = self.fleet.apply_config(CONFIG)
        replies = []
        threads = [threading.Thread(target=lambda d=d, i=i: replies.append(
            self.post(d, changed(f"{i + 5}s"), base, f"race-{i}"))) for i, d in enumerate(self.fleet.daemons.values())]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(r.status for r in replies), [200] + [409] * (len(replies) - 1))
        for loser in (r for r in replies if r.status == 409):
            self.assertEqual(loser.code, "revision-conflict")
            self.assertEqual([c["path"] for c in loser.json()["difference"]], ["profiles.preview.deadline"])
        won = next(r for r in replies if r.status == 200).json()["revision"]
        fleets.wait_for(lambda: set(self.revisions()) == {won}, 12, "in force everywhere")

    def test_revision_survives_the_restart_of_a_cut_off_domain(self):
        base = self.fleet.apply_config(CONFIG)
        latest = self.post(next(iter(self.fleet.daemons.values())), changed("9s"), base, "c-2").json()["revision"]
        fleets.wait_for(lambda: set(self.revisions()) == {latest}, 12, "in force everywhere")
        self.fleet.store.faults(down=True)
        domain, region = self.fleet.domains[0]
        for daemon in [d for d in self.fleet.daemons.values() if d.domain == domain]:
            daemon.kill()
            self.fleet.start_daemon(daemon.name, domain, region, daemon.address)
        fresh = [d for d in self.fleet.daemons.values() if d.domain == domain]
        for daemon in fresh:
            fleets.wait_for(lambda d=daemon: d.get("/v1/config").json()["revision"] == latest, 30,
                            "learned from peers of other domains")

    def test_faults_are_all_named(self):
        document = changed("soon")
        document["services"]["previews"]["profile"] = "previw"
        reply = self.post(next(iter(self.fleet.daemons.values())), document, 0, "bad")
        self.assertEqual((reply.status, reply.code), (422, "invalid-configuration"))
        paths = {f["path"]: f for f in reply.json()["faults"]}
        self.assertEqual(set(paths), {"profiles.preview.deadline", "services.previews.profile"})
        self.assertEqual(paths["services.previews.profile"]["nearest"], "preview")

    def test_lost_answer_of_the_store_is_resolved(self):
        self.fleet.apply_config(CONFIG)
        self.fleet.store.faults(forgetAnswers=1)
        daemon = next(iter(self.fleet.daemons.values()))
        reply = self.post(daemon, changed("7s"), 1, "forgotten")
        self.assertEqual(reply.status, 200, reply.body)
        fleets.wait_for(lambda: set(self.revisions()) == {reply.json()["revision"]}, 12, "in force everywhere")


if __name__ == "__main__":
    unittest.main()
