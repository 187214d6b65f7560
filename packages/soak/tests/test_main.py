"""A short seeded run of the real programs; only its safety is checked.

What must hold within a time is left out, as the machine may be busy.
"""

import json
import subprocess
import sys
import tempfile
import unittest

SEEDS = (3, 8)


class SoakTest(unittest.TestCase):
    def test_short_runs_break_no_promise(self):
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
