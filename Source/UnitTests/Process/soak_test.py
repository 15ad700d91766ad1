"""Tests of the soak's parts (Platform/soak_test.py), and short soaks with real processes.

A pass doesn't depend on the machine's speed: rule TWICE is judged, and that accepted jobs end at some time.
"""

import importlib.util
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[3]
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build"))
SEED = 1


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
