"""Tests of configuration folders and process settings."""

import pathlib
import tempfile
import unittest

from godwitflow.model import errors
from godwitflow.settings import config
from godwitflow.settings import folder
from godwitflow.settings import process_settings

GOOD = b"""\
services:
  seats:
    index: index/seats
    priorities:
      steward: {rank: 0, target_ms: 120, deadline_ms: 600}
      clerk: {rank: 1, target_ms: 900, deadline_ms: 4000, floor_share: 0.1}
"""

THREE_FILES_FIVE_MISTAKES = (
    folder.File(
        "00-system.yaml",
        b"addresses: {max_age_ms: soon}\njournal:\n  partitons: 16\n",
    ),
    folder.File("10-seats.yaml", GOOD.replace(b"600}", b"NaN}")),
    folder.File(
        "20-seats.yaml",
        b"services:\n  seats:\n    slots: 0\n    slots: 2\n"
        b"    canary_from_rank: yes\n",
    ),
)


def parse(*contents):
    files = tuple(
        folder.File(f"{index:02}.yaml", content)
        for index, content in enumerate(contents)
    )
    return config.parse(files)


class ParseTest(unittest.TestCase):
    def test_valid_folder(self):
        seats = parse(GOOD).services["seats"]
        self.assertEqual(["steward", "clerk"], seats.priority_names)
        self.assertEqual((0.0, 0.1), seats.floor_shares)
        self.assertEqual("clerk", seats.priority_names[seats.priority("")[0]])
        self.assertIsNone(seats.priority("duke"))

    def test_all_problems_are_reported_together(self):
        with self.assertRaises(errors.SettingsError) as caught:
            config.parse(THREE_FILES_FIVE_MISTAKES)
        lines = [str(problem) for problem in caught.exception.problems]
        starts = [
            "00-system.yaml:1: addresses.max_age_ms: found 'soon'",
            "00-system.yaml:3: journal.partitons: found an unknown key",
            "10-seats.yaml:5: services.seats.priorities.steward.deadline_ms",
            "20-seats.yaml:4: services.seats.slots: found a duplicate key",
            "20-seats.yaml:5: services.seats.canary_from_rank: found true",
        ]
        for start in starts:
            matching = [line for line in lines if line.startswith(start)]
            self.assertEqual(1, len(matching), (start, lines))
        self.assertIn(
            "20-seats.yaml:3: services.seats.slots: found 0, allowed: a "
            "whole number from 1 to 1000",
            lines,
        )

    def test_later_file_overrides_and_is_the_origin(self):
        later = b"services: {seats: {slots: 7}}\n"
        self.assertEqual(7, parse(GOOD, later).services["seats"].slots)
        files = (folder.File("a.yaml", GOOD), folder.File("b.yaml", later))
        origins = {
            path: origin for path, *origin in config.value_origins(files)
        }
        self.assertEqual(["7", "b.yaml:1"], origins["services.seats.slots"])
        self.assertEqual(
            ["'index/seats'", "a.yaml:3"], origins["services.seats.index"]
        )

    def test_values_are_checked_against_each_other(self):
        cases = {
            b"default_priority: duke": "default_priority",
            b"slots: 13": "slots",
            b"priorities: {clerk: {rank: 0}}": "priorities",
            b"priorities: {clerk: {floor_share: 0.95}}": "priorities",
        }
        for extra, key in cases.items():
            later = b"services:\n  seats:\n    " + extra + b"\n"
            with self.assertRaises(errors.SettingsError) as caught:
                parse(GOOD, later)
            (problem,) = caught.exception.problems
            self.assertEqual(f"services.seats.{key}", problem.key_path)

    def test_unreadable_documents_raise_settings_error(self):
        for content in (
            b"a: [",
            b"\xff\xfe",
            b"- 1",
            b"x: &a 1\ny: *a",
            b"services: !!python/object:os.system {}",
            b"? [1]\n: 2",
            b"services: " + b"[" * 3000,
        ):
            with self.assertRaises(errors.SettingsError):
                parse(content)


class FolderTest(unittest.TestCase):
    def read(self, **files):
        with tempfile.TemporaryDirectory() as name:
            for stem, content in files.items():
                path = pathlib.Path(name) / f"{stem}.yaml"
                path.write_bytes(content)
            return folder.read(pathlib.Path(name))

    def test_files_are_read_in_name_order(self):
        files = self.read(b=b"y: 1\n", a=b"x: 1\n")
        self.assertEqual(["a.yaml", "b.yaml"], [f.name for f in files])
        self.assertEqual(b"x: 1\n", files[0].content)

    def test_file_too_large_is_an_error(self):
        big = b"#" * (folder.MAX_FILE_BYTES + 1)
        with self.assertRaisesRegex(errors.SettingsError, "split the file"):
            self.read(a=big)

    def test_empty_or_missing_folder_is_an_error(self):
        with self.assertRaises(errors.SettingsError):
            self.read()
        with self.assertRaises(errors.SettingsError):
            folder.read(pathlib.Path("/nowhere/at/all"))


class ProcessSettingsTest(unittest.TestCase):
    GOOD = (
        b"vm_id: vm1\nfailure_domain: brest\naddress: 127.0.0.1\n"
        b"platform: http://127.0.0.1:7000\n"
    )

    def test_flags_override_the_file(self):
        settings = process_settings.parse(
            "p.yaml", self.GOOD, {"caller_port": 0}
        )
        self.assertEqual(0, settings.caller_port)
        self.assertEqual("vm1", settings.node)

    def test_problem_has_the_flag_or_line_as_its_place(self):
        with self.assertRaises(errors.SettingsError) as caught:
            process_settings.parse(
                "p.yaml",
                self.GOOD.replace(b"127.0.0.1\n", b"host.example\n", 1),
                {"inner_port": 70_000},
            )
        places = {str(problem.place) for problem in caught.exception.problems}
        self.assertEqual({"p.yaml:3", "flag --inner-port"}, places)
