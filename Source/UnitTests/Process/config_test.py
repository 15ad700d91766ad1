"""Configuration changes by operators: concurrent changes, a restarted domain, invalid documents, lost store answers."""

import copy
import threading
import unittest

from fixtures import CONFIG, fleets


def config_with_preview_deadline(deadline):
    document = copy.deepcopy(CONFIG)
    document["profiles"]["preview"]["deadline"] = deadline
    return document


class ConfigTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleets.Fleet(daemons_per_domain=2, workers_per_domain=1)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.close)

    def post_config(self, daemon, document, base_revision, change_id):
        text = document if isinstance(document, str) else fleets.json.dumps(document)
        return daemon.post("/v1/config", {"baseRevision": base_revision, "changeId": change_id, "author": "t",
                                          "document": text}, timeout=30)

    def revisions(self):
        return [d.get("/v1/config").json()["revision"] for d in self.fleet.daemons.values() if d.alive]

    def test_work_is_refused_before_the_first_configuration(self):
        reply = next(iter(self.fleet.daemons.values())).request("previews")
        self.assertEqual((reply.outcome, reply.code), ("not-run", "no-configuration"))
        self.assertIn("retry-after", reply.headers)

    def test_exactly_one_of_several_concurrent_changes_is_accepted(self):
        base_revision = self.fleet.apply_config(CONFIG)
        replies = []
        threads = [threading.Thread(target=lambda d=d, i=i: replies.append(
            self.post_config(d, config_with_preview_deadline(f"{i + 5}s"), base_revision, f"race-{i}")))
            for i, d in enumerate(self.fleet.daemons.values())]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(r.status for r in replies), [200] + [409] * (len(replies) - 1))
        for rejected in (r for r in replies if r.status == 409):
            self.assertEqual(rejected.code, "revision-conflict")
            self.assertEqual([c["path"] for c in rejected.json()["difference"]], ["profiles.preview.deadline"])
        accepted = next(r for r in replies if r.status == 200).json()["revision"]
        fleets.wait_for(lambda: set(self.revisions()) == {accepted}, 12, "the revision is in force on every daemon")

    def test_restarted_domain_learns_the_revision_while_the_store_is_down(self):
        base_revision = self.fleet.apply_config(CONFIG)
        latest = self.post_config(next(iter(self.fleet.daemons.values())), config_with_preview_deadline("9s"),
                                  base_revision, "c-2").json()["revision"]
        fleets.wait_for(lambda: set(self.revisions()) == {latest}, 12, "the revision is in force on every daemon")
        self.fleet.store.set_faults(down=True)
        domain, region = self.fleet.domains[0]
        for daemon in [d for d in self.fleet.daemons.values() if d.domain == domain]:
            daemon.kill()
            self.fleet.start_daemon(daemon.name, domain, region, daemon.address)
        restarted = [d for d in self.fleet.daemons.values() if d.domain == domain]
        for daemon in restarted:
            fleets.wait_for(lambda d=daemon: d.get("/v1/config").json()["revision"] == latest, 30,
                            "the revision is learned from peers in other domains")

    def test_every_fault_of_a_document_is_reported(self):
        document = config_with_preview_deadline("soon")
        document["services"]["previews"]["profile"] = "previw"
        reply = self.post_config(next(iter(self.fleet.daemons.values())), document, 0, "bad")
        self.assertEqual((reply.status, reply.code), (422, "invalid-configuration"))
        faults = {f["path"]: f for f in reply.json()["faults"]}
        self.assertEqual(set(faults), {"profiles.preview.deadline", "services.previews.profile"})
        self.assertEqual(faults["services.previews.profile"]["nearest"], "preview")

    def test_change_is_accepted_when_the_store_answer_is_lost(self):
        self.fleet.apply_config(CONFIG)
        self.fleet.store.set_faults(forgetAnswers=1)
        daemon = next(iter(self.fleet.daemons.values()))
        reply = self.post_config(daemon, config_with_preview_deadline("7s"), 1, "forgotten")
        self.assertEqual(reply.status, 200, reply.body)
        fleets.wait_for(lambda: set(self.revisions()) == {reply.json()["revision"]}, 12,
                        "the revision is in force on every daemon")


if __name__ == "__main__":
    unittest.main()
