"""Upstreams that send bytes without end, in every form.

Each test guards against a process that keeps them all and runs out of
memory. The bound is that of the VM that the node's settings name.
"""

import json
import subprocess
import sys
import unittest

from godwitflow.soak import endless


class EndlessTest(unittest.TestCase):
    def assert_borne(self, *forms):
        for form in forms:
            done = subprocess.run(
                [
                    sys.executable,
                    *("-W", "ignore", "-m", "godwitflow.soak.endless"),
                    form.value,
                ],
                capture_output=True,
                text=True,
                check=False,
            )
            report = json.loads(done.stdout)
            self.assertEqual([], report["exit_codes"], form)
            self.assertEqual(200, report["status"], form)
            self.assertLessEqual(report["peak_mb"], endless.MEMORY_MB, form)
            self.assertNotIn(200, report["statuses"], form)

    def test_heads_without_end(self):
        forms = endless.Form
        self.assert_borne(
            forms.STATUS_LINE,
            forms.HEADERS,
            forms.HEADER_VALUE,
            forms.INTERIM,
            forms.LINE_ENDS,
            forms.NOISE,
        )

    def test_bodies_without_end(self):
        forms = endless.Form
        self.assert_borne(
            forms.NO_LENGTH,
            forms.LENGTH,
            forms.LARGE_CHUNKS,
            forms.SMALL_CHUNKS,
            forms.CHUNK_EXTENSION,
            forms.TRAILERS,
        )

    def test_bodies_that_go_on_a_byte_at_a_time(self):
        self.assert_borne(endless.Form.PARKED_BODY)

    def test_heads_that_go_on_a_byte_at_a_time(self):
        self.assert_borne(endless.Form.PARKED_HEAD)
