"""Short seeded soak runs of the real programs.

Guarantees with a time limit are not checked, as the machine may be busy.
"""

import json
import subprocess
import sys
import tempfile
import unittest

SEEDS = (3, 8)


class SoakTest(unittest.TestCase):
    def test_short_runs_find_no_problems(self):
        for seed in SEEDS:
            with tempfile.TemporaryDirectory() as folder:
                done = subprocess.run(
                    [
                        sys.executable,
                        "-m",
                        "godwitflow.soak.main",
                        str(seed),
                        "--nodes=3",
                        "--seconds=5",
                        "--no-bounds",
                        f"--folder={folder}",
                    ],
                    capture_output=True,
                    text=True,
                    check=False,
                )
            report = json.loads(done.stdout)
            self.assertEqual([], report["problems"])
            self.assertEqual(0, done.returncode)
            self.assertGreater(report["served"], 0)
            self.assertGreater(report["notices"], 0)
