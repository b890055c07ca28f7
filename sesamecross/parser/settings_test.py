"""Tests of a process's own settings and their documented order."""

import argparse

import pytest
from returns.result import Failure

from sesamecross.core import errors
from sesamecross.parser import settings

BASE = """
instance = "e1"
zone = "z1"
region = "r1"
listen = "127.0.0.1:1000"
steward = "127.0.0.1:1001"
shared_key = "0123456789abcdef"
"""


def load(tmp_path, text, arguments=(), environment=None):
    path = tmp_path / "entry.toml"
    path.write_text(text)
    parser = argparse.ArgumentParser()
    settings.add_flags(parser, settings.EntrySettings)
    flags = parser.parse_args(["--settings", str(path), *arguments])
    return settings.load(settings.EntrySettings, flags, environment or {})


ORDER = [
    ("", [], {}, 128),
    ("threads = 10", [], {}, 10),
    ("threads = 10", [], {"SESAMECROSS_THREADS": "20"}, 20),
    ("threads = 10", ["--threads", "30"], {"SESAMECROSS_THREADS": "20"}, 30),
]


@pytest.mark.parametrize(("line", "arguments", "environment", "threads"), ORDER)
def test_order_of_sources(tmp_path, line, arguments, environment, threads):
    loaded = load(tmp_path, BASE + line, arguments, environment)
    assert loaded.unwrap().threads == threads


MISTAKES = [
    (BASE + "thread = 3", [], "thread", errors.Kind.UNKNOWN_KEY, "entry.toml"),
    (BASE.replace("z1", ""), ["--threads", "x"], "threads",
     errors.Kind.BAD_VALUE, "flag --threads"),
    (BASE.replace('zone = "z1"', ""), [], "zone", errors.Kind.MISSING_KEY,
     "entry.toml"),
    (BASE.replace("0123456789abcdef", "short"), [], "shared_key",
     errors.Kind.BAD_VALUE, "entry.toml"),
    (BASE.replace("127.0.0.1:1000", "host:1000"), [], "listen",
     errors.Kind.BAD_VALUE, "entry.toml"),
]  # fmt: skip


@pytest.mark.parametrize(("text", "arguments", "key", "kind", "file"), MISTAKES)
def test_mistakes_name_key_and_source(
    tmp_path, text, arguments, key, kind, file
):
    loaded = load(tmp_path, text, arguments)
    assert isinstance(loaded, Failure)
    (problem,) = loaded.failure()
    assert (problem.key, problem.kind) == (key, kind)
    assert problem.file.endswith(file)


@pytest.mark.parametrize(
    "content",
    [
        pytest.param(b"\xff\xfe\x00", id="no text"),
        pytest.param('zone = "Slí'.encode()[:-1], id="half a character"),
        pytest.param(b"a = " + b"[" * 100_000, id="nested deeply"),
        pytest.param(b"a = " + b"9" * 5_000, id="a number of 5000 digits"),
    ],
)
def test_what_is_no_text_is_a_problem_and_no_crash(tmp_path, content):
    """A process ended with a traceback in place of a message.

    Its file was damaged in a way that the parser of TOML does not call an
    error of the syntax: nested too deeply, or a number too long to convert.
    """
    path = tmp_path / "entry.toml"
    path.write_bytes(content)
    flags = argparse.Namespace(settings=str(path))
    loaded = settings.load(settings.EntrySettings, flags, {})
    assert isinstance(loaded, Failure)
    (problem,) = loaded.failure()
    assert problem.kind is errors.Kind.SYNTAX
