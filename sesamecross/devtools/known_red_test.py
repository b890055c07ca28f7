"""Tests that exactly the tests listed as known to fail are deselected."""

import pathlib
import subprocess
import sys

import pytest

from sesamecross.devtools import known_red

ENTRY = """
# Why it is listed.
test: {test}
command: python -m pytest {test}
seen: it fails.
issue: 16
"""
SUITE = """
import pytest

def test_red(): assert False
def test_red_as_well(): assert False
def test_good(): pass

@pytest.mark.parametrize("n", [1, 2])
def test_table(n): assert n == 1
"""


def run_suite(
    work_dir: pathlib.Path, entries: str, *flags: str
) -> subprocess.CompletedProcess:
    """Runs `SUITE` in a separate process."""
    (work_dir / "a_test.py").write_text(SUITE, encoding="utf-8")
    (work_dir / "RED.txt").write_text(entries, encoding="utf-8")
    plugin = ("-p", "sesamecross.devtools.known_red", "-p", "no:cacheprovider")
    command = (sys.executable, "-m", "pytest", "-q", *plugin, *flags)
    return subprocess.run(
        (*command, "--rootdir", str(work_dir), str(work_dir)),
        cwd=work_dir,
        capture_output=True,
        text=True,
        check=False,
        env={"PYTHONPATH": str(pathlib.Path.cwd())},
    )


def test_just_the_listed_tests_are_passed_over(tmp_path):
    entries = ENTRY.format(test="a_test.py::test_red")
    entries += ENTRY.format(test="a_test.py::test_table[2]")
    result = run_suite(
        tmp_path, entries, "--known-red", str(tmp_path / "RED.txt")
    )
    assert "1 failed, 2 passed, 2 deselected" in result.stdout
    assert "FAILED a_test.py::test_red_as_well" in result.stdout
    assert "KNOWN RED, passed over: a_test.py::test_red (issue 16)" in (
        result.stdout
    )
    assert result.returncode == pytest.ExitCode.TESTS_FAILED


def test_nothing_is_passed_over_unless_asked(tmp_path):
    result = run_suite(tmp_path, ENTRY.format(test="a_test.py::test_red"))
    assert "3 failed, 2 passed" in result.stdout


def test_an_entry_of_an_unknown_test_is_an_error(tmp_path):
    entries = ENTRY.format(test="a_test.py::test_rename")
    result = run_suite(
        tmp_path, entries, "--known-red", str(tmp_path / "RED.txt")
    )
    assert "entries of unknown tests" in result.stderr
    assert result.returncode == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ("test: a\ncommand: b\nseen: c\n", "add the fields ['issue']"),
        ("test: a\ntest: b\n", "once"),
        ("test:\n", "with text"),
        ("why: a\n", "write each of"),
    ],
)
def test_a_list_that_cannot_be_read_is_an_error(text, expected_text):
    with pytest.raises(known_red.InvalidListError) as raised:
        known_red.parse(text)
    assert expected_text in str(raised.value)


def test_entries_are_read_whole():
    assert known_red.parse(ENTRY.format(test="x")) == (
        known_red.KnownFailure("x", "python -m pytest x", "it fails.", "16"),
    )
