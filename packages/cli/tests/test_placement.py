"""Tests of showing where a request would go."""

import contextlib
import io
import pathlib
import tempfile
import unittest

from godwitflow.cli import main
from godwitflow.cli import placement
from godwitflow.model import errors
from godwitflow.tier import where

REPLICA = where.Replica("u1", True, "", 8.5, 3.0, 1, False, 12.0)
PLAN = where.Plan(
    "n1",
    0,
    "would be sent",
    7,
    "r",
    "acme",
    2,
    (where.ServicePlan("one", 1.0, 5.5, 0, (REPLICA,)),),
)


class PlacementTest(unittest.TestCase):
    def test_plan_is_a_table(self):
        lines = placement.lines(PLAN)
        self.assertEqual("n1: route r of version 7 for acme", lines[0])
        self.assertIn("tokens in reserve: 2", lines)
        self.assertIn("preferred, other domain", lines[-1])

    def test_refusal_is_one_line(self):
        plan = where.Plan("n1", 404, "no such route")
        self.assertEqual(
            ["n1: refused, 404: no such route"], placement.lines(plan)
        )

    def test_file_without_a_key_is_an_error(self):
        with tempfile.TemporaryDirectory() as name:
            path = pathlib.Path(name) / "key"
            with self.assertRaises(errors.GodwitflowError):
                placement.read_key(path)
            for text in ("", "two words", "a\nb"):
                path.write_text(text)
                with self.assertRaises(errors.GodwitflowError):
                    placement.read_key(path)
            path.write_text("abc\n")
            self.assertEqual("abc", placement.read_key(path))

    def test_node_that_is_away_is_an_error(self):
        error_text = io.StringIO()
        with tempfile.TemporaryDirectory() as name:
            key = pathlib.Path(name) / "key"
            key.write_text("secret")
            with contextlib.redirect_stderr(error_text):
                code = main.where(
                    "GET", "/", node="127.0.0.1:1", host="a", key=key
                )
        self.assertEqual(main.EXIT_FAILED, code)
        self.assertIn("127.0.0.1:1 does not answer", error_text.getvalue())
        self.assertNotIn("secret", error_text.getvalue())
