"""A short soak with real processes on workers that start again under their ids and are cut off soon after.

A pass doesn't depend on the machine's speed: rule TWICE is judged, and that accepted jobs end at some time.
"""

import re
import unittest

from soak_test import play


class RebornSoakTest(unittest.TestCase):
    def test_no_task_runs_twice_on_workers_that_start_again_and_are_cut_off(self):
        printed, record = play(self, "--kinds", "reborn-cut", "--gap", "2", "--workers", "12")
        self.assertIn(" fault reborn-cut ", record)
        figures = re.search(r"carried out by a next life: (starts \d+ .*, grants \d+ .*, acks \d+ .*)\n", printed)
        self.assertIsNotNone(figures)
        self.assertIn(f" next-life-count {figures[1]}\n", record)
        for what, number in re.findall(r"(start|grant|ack)s (\d+)", figures[1]):
            self.assertEqual(len(re.findall(rf" next-life i-\w+ {what} ", record)), int(number))


if __name__ == "__main__":
    unittest.main()
