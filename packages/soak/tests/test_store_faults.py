"""A short run of faults around the store over restarts and changes."""

import json
import subprocess
import sys
import tempfile
import unittest


class StoreFaultsTest(unittest.TestCase):
    def test_all_nodes_follow_a_restored_store(self):
        # They kept the configuration of before, and drained upstreams.
        with tempfile.TemporaryDirectory() as folder:
            done = subprocess.run(
                [
                    sys.executable,
                    *("-W", "ignore", "-m", "godwitflow.soak.store_faults"),
                    *("4", "--nodes", "5", "--seconds", "6", "--no-bounds"),
                    *("--folder", folder),
                ],
                capture_output=True,
                text=True,
                check=False,
            )
            report = json.loads(done.stdout)
            self.assertEqual([], report["problems"])
            self.assertGreater(report["restores"], 0)
            self.assertGreater(report["requests"], 100)
