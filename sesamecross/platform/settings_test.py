"""Tests of the settings file: half written, wrong, or with odd values."""

import pytest
from returns.result import Failure

from sesamecross.core import errors
from sesamecross.platform import settings

WHOLE = """
nodeName = "front-1"
ip = "10.0.0.1"
zone = "z1"
region = "r1"
internalPorts = [7380, 7395]
heartbeatMs = 1200
[zones]
z1 = "r1"
z2 = "r2"
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
[bounds]
drainMs = 4000
[platform]
address = "10.9.0.1:90"
"""

# Each of these is no text, or no table that a parser can hold.
UNREADABLE = [
    pytest.param(b"\xff\xfe\x00", id="no text"),
    pytest.param('zone = "Slí'.encode()[:-1], id="half a character"),
    pytest.param(b"a = " + b"[" * 100_000, id="nested deeply"),
    pytest.param(b"a = " + b"9" * 5_000, id="a number of 5000 digits"),
]


def load(tmp_path, content: bytes):
    path = tmp_path / "node.toml"
    path.write_bytes(content)
    return settings.load(str(path))


def test_whole_settings_are_taken_and_unknown_fields_ignored(tmp_path):
    text = WHOLE.replace("[zones]", 'contracts = ["base"]\n[zones]')
    instance = load(tmp_path, text.encode()).unwrap()
    assert instance.ports == tuple(range(7380, 7396))
    assert instance.bounds.drain_s == 4.0
    assert instance.regions == {"z1": "r1", "z2": "r2"}


@pytest.mark.parametrize("content", UNREADABLE)
def test_what_is_no_text_is_a_problem_and_no_crash(tmp_path, content):
    """Processes ended while their settings file was being written.

    A process read the file in the middle of a character and failed with a
    traceback; one that runs did so at each look, until it was given up with
    all streams of its callers. Only errors of the syntax were expected.
    """
    loaded = load(tmp_path, content)
    assert isinstance(loaded, Failure)
    assert loaded.failure().kind is errors.Kind.SYNTAX
    assert settings.BOOT_VARIABLE in loaded.failure().remedy
