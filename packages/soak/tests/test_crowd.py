"""Crowds of clients that send large bodies and do not finish them.

Each test guards against a process that runs out of memory or descriptors,
or hangs. The bounds are those of the VM that the node's settings name.
"""

import json
import subprocess
import sys
import unittest

from godwitflow.soak import crowd


class CrowdTest(unittest.TestCase):
    def assert_borne(self, form):
        done = subprocess.run(
            [sys.executable, "-m", "godwitflow.soak.crowd", form.value],
            capture_output=True,
            text=True,
            check=False,
        )
        report = json.loads(done.stdout)
        self.assertEqual([], report["exit_codes"])
        self.assertEqual(200, report["calm_status"])
        self.assertEqual(200, report["status"])
        self.assertLessEqual(report["peak_mb"], crowd.MEMORY_MB)
        self.assertLessEqual(report["descriptors"], crowd.MAX_DESCRIPTORS)

    def test_large_bodies_sent_whole(self):
        self.assert_borne(crowd.Form.WHOLE)

    def test_large_bodies_sent_in_pieces(self):
        self.assert_borne(crowd.Form.PIECES)

    def test_bodies_in_large_chunks(self):
        self.assert_borne(crowd.Form.LARGE_CHUNKS)

    def test_bodies_in_very_small_chunks(self):
        self.assert_borne(crowd.Form.SMALL_CHUNKS)

    def test_whole_requests_whose_answers_are_not_read(self):
        self.assert_borne(crowd.Form.UNREAD)
