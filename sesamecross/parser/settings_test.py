"""Tests of a process's settings and their order of precedence."""

import argparse

import pytest
from returns.result import Failure

from sesamecross.core import errors
from sesamecross.parser import settings

VALID = """
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


SOURCES = [
    ("", [], {}, 128),
    ("threads = 10", [], {}, 10),
    ("threads = 10", [], {"SESAMECROSS_THREADS": "20"}, 20),
    ("threads = 10", ["--threads", "30"], {"SESAMECROSS_THREADS": "20"}, 30),
]


@pytest.mark.parametrize(
    ("line", "arguments", "environment", "threads"), SOURCES
)
def test_order_of_sources(tmp_path, line, arguments, environment, threads):
    loaded = load(tmp_path, VALID + line, arguments, environment)
    assert loaded.unwrap().threads == threads


MISTAKES = [
    (VALID + "thread = 3", [], "thread", errors.Kind.UNKNOWN_KEY, "entry.toml"),
    (VALID.replace("z1", ""), ["--threads", "x"], "threads",
     errors.Kind.BAD_VALUE, "flag --threads"),
    (VALID.replace('zone = "z1"', ""), [], "zone", errors.Kind.MISSING_KEY,
     "entry.toml"),
    (VALID.replace("0123456789abcdef", "short"), [], "shared_key",
     errors.Kind.BAD_VALUE, "entry.toml"),
    (VALID.replace("127.0.0.1:1000", "host:1000"), [], "listen",
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
        pytest.param('zone = "Slí'.encode()[:-1], id="truncated character"),
        pytest.param(b"a = " + b"[" * 100_000, id="deeply nested"),
        pytest.param(b"a = " + b"9" * 5_000, id="a number of 5000 digits"),
    ],
)
def test_a_damaged_file_is_a_problem_and_not_a_crash(tmp_path, content):
    """Guards against a traceback in place of an error message.

    The TOML parser raises other exceptions than syntax errors for some damaged
    files: tables nested too deeply, or a number too long to convert.
    """
    path = tmp_path / "entry.toml"
    path.write_bytes(content)
    flags = argparse.Namespace(settings=str(path))
    loaded = settings.load(settings.EntrySettings, flags, {})
    assert isinstance(loaded, Failure)
    (problem,) = loaded.failure()
    assert problem.kind is errors.Kind.SYNTAX
