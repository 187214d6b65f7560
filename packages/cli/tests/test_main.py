"""Tests of the commands that need no server."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from godwitflow.cli import main

GOOD = """\
services:
  seats:
    index: index/seats
    priorities: {steward: {rank: 0, target_ms: 1, deadline_ms: 600}}
"""
MISTAKES = {
    "00.yaml": "addresses: {max_age_ms: soon}\njournal: {partitons: 16}\n",
    "10.yaml": GOOD.replace("600", "-1"),
    "20.yaml": "services:\n  seats:\n    slots: 0\n    slots: 2\n",
}


class CommandsTest(unittest.TestCase):
    def run_command(self, command, files, **options):
        out, err = io.StringIO(), io.StringIO()
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            for file, text in files.items():
                (folder / file).write_text(text)
            with contextlib.redirect_stdout(out):
                with contextlib.redirect_stderr(err):
                    code = command(folder, **options)
        return code, out.getvalue(), err.getvalue()

    def test_check_prints_all_problems_of_all_files(self):
        code, out, _ = self.run_command(main.check, MISTAKES)
        self.assertEqual(main.EXIT_FAILED, code)
        for start in (
            "00.yaml:1: addresses.max_age_ms: found 'soon', allowed:",
            "00.yaml:2: journal.partitons: found an unknown key, allowed:",
            "10.yaml:4: services.seats.priorities.steward.deadline_ms:",
            "20.yaml:3: services.seats.slots: found 0, allowed:",
            "20.yaml:4: services.seats.slots: found a duplicate key",
            "5 problems",
        ):
            self.assertEqual(1, out.count(start), (start, out))

    def test_check_prints_json(self):
        code, out, _ = self.run_command(main.check, MISTAKES, json=True)
        self.assertEqual(main.EXIT_FAILED, code)
        self.assertEqual(5, len(json.loads(out)))

    def test_check_of_a_valid_folder(self):
        code, out, _ = self.run_command(main.check, {"a.yaml": GOOD})
        self.assertEqual((main.EXIT_OK, "good: 1 services\n"), (code, out))

    def test_show_prints_the_file_that_set_a_value(self):
        files = {"a.yaml": GOOD, "b.yaml": "services: {seats: {slots: 9}}\n"}
        _, out, _ = self.run_command(main.show, files, origin=True)
        self.assertIn("services.seats.slots: 9  # b.yaml:1\n", out)

    def test_errors_go_to_standard_error_with_an_exit_code(self):
        code, out, err = self.run_command(main.show, MISTAKES)
        self.assertEqual((main.EXIT_FAILED, ""), (code, out))
        self.assertIn("journal.partitons", err)
