"""Tests of what CI passes over: the listed tests, and just these."""

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


def run(
    work: pathlib.Path, entries: str, *flags: str
) -> subprocess.CompletedProcess:
    """Runs the suite above in a process of its own."""
    (work / "a_test.py").write_text(SUITE, encoding="utf-8")
    (work / "RED.txt").write_text(entries, encoding="utf-8")
    plugin = ("-p", "sesamecross.devtools.known_red", "-p", "no:cacheprovider")
    command = (sys.executable, "-m", "pytest", "-q", *plugin, *flags)
    return subprocess.run(
        (*command, "--rootdir", str(work), str(work)),
        cwd=work,
        capture_output=True,
        text=True,
        check=False,
        env={"PYTHONPATH": str(pathlib.Path.cwd())},
    )


def test_just_the_listed_tests_are_passed_over(tmp_path):
    entries = ENTRY.format(test="a_test.py::test_red")
    entries += ENTRY.format(test="a_test.py::test_table[2]")
    ended = run(tmp_path, entries, "--known-red", str(tmp_path / "RED.txt"))
    assert "1 failed, 2 passed, 2 deselected" in ended.stdout
    assert "FAILED a_test.py::test_red_as_well" in ended.stdout
    assert "KNOWN RED, passed over: a_test.py::test_red (issue 16)" in (
        ended.stdout
    )
    assert ended.returncode == pytest.ExitCode.TESTS_FAILED


def test_nothing_is_passed_over_unless_asked(tmp_path):
    ended = run(tmp_path, ENTRY.format(test="a_test.py::test_red"))
    assert "3 failed, 2 passed" in ended.stdout


def test_an_entry_of_an_unknown_test_is_an_error(tmp_path):
    entries = ENTRY.format(test="a_test.py::test_rename")
    ended = run(tmp_path, entries, "--known-red", str(tmp_path / "RED.txt"))
    assert "entries of unknown tests" in ended.stderr
    assert ended.returncode == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("test: a\ncommand: b\nseen: c\n", "add the fields ['issue']"),
        ("test: a\ntest: b\n", "once"),
        ("test:\n", "with text"),
        ("why: a\n", "write each of"),
    ],
)
def test_a_list_that_cannot_be_read_is_an_error(text, said):
    with pytest.raises(known_red.InvalidListError, match=None) as raised:
        known_red.parse(text)
    assert said in str(raised.value)


def test_entries_are_read_whole():
    assert known_red.parse(ENTRY.format(test="x")) == (
        known_red.KnownFailure("x", "python -m pytest x", "it fails.", "16"),
    )
