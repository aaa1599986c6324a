"""The list of tests that are known to be red, and what becomes of a run with it."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from conftest import PATH, RedListError, read

HOOK = (Path(__file__).parent / "conftest.py").read_text()
TESTS = """
import unittest

def test_red(): assert False

def test_green(): pass

class Cases(unittest.TestCase):
    def test_too(self):
        self.fail()
"""
IN_PARTS = """
    def test_in_parts(self):
        for each in (1, 2):
            with self.subTest(each):
                self.assertEqual(each, 2)
"""
RED = "tests/test_some.py::test_red | it is so | 7\ntests/test_some.py::Cases::test_too | so too | 7\n"


class Lists(unittest.TestCase):
    def test_list_of_this_tree_is_valid(self) -> None:
        self.assertLessEqual(len(read(PATH.read_text() if PATH.exists() else "")), 3)

    def test_invalid_line_is_named(self) -> None:
        for text, fault in (
            ("tests/a.py::t", "line 1"),
            ("# x\ntests/a.py::t | cause |", "line 2"),
            ("a | cause | 3", "line 1"),
            ("a::t | cause | soon", "line 1"),
            ("a::t | c | 1\na::t | c | 1", "twice"),
            ("\n".join(f"a::t{each} | c | 1" for each in range(4)), "3 at most"),
        ):
            with self.subTest(text), self.assertRaisesRegex(RedListError, fault):
                read(text)

    def run_with(self, lines: str, tests: str = TESTS) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as folder:
            there = Path(folder, "tests")
            there.mkdir()
            (there / "conftest.py").write_text(HOOK)
            (there / "test_some.py").write_text(tests)
            Path(folder, "KNOWN-RED.txt").write_text(lines)
            done = subprocess.run(
                [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"],
                cwd=folder,
                capture_output=True,
                text=True,
            )
            return done.returncode, done.stdout + done.stderr

    def test_listed_tests_may_fail_and_are_printed(self) -> None:
        code, said = self.run_with(RED)
        self.assertEqual(code, 0, said)
        self.assertIn("KNOWN RED: tests/test_some.py::test_red: it is so (issue 7)", said)

    def test_stale_line_unknown_test_or_invalid_line_fails_the_run(self) -> None:
        for lines, tests in (
            ("", TESTS),
            (RED + "tests/test_some.py::test_green | no more | 7\n", TESTS),
            (RED + "tests/test_some.py::test_none | c | 7\n", TESTS),
            (RED + "tests/test_gone.py::test_red | c | 7\n", TESTS),
            (RED + "tests/test_some.py::test_red\n", TESTS),
            (RED + "tests/test_some.py::Cases::test_in_parts | in part | 7\n", TESTS + IN_PARTS),
        ):
            with self.subTest(lines):
                self.assertNotEqual(self.run_with(lines, tests)[0], 0)


if __name__ == "__main__":
    unittest.main()
