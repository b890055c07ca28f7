"""Tests of the settings file: half written, wrong, or with odd values."""

import os
import threading

import pytest
from returns.result import Failure

from sesamecross.core import errors
from sesamecross.platform import settings

# Only a guard against hanging; a read takes under a millisecond.
HANG_S = 10.0
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


# What is replaced in whole settings, by what, and the key that is named.
SENSELESS = [
    ("[7380, 7395]", "[7395, 7380]", "internalPorts"),
    ("[7380, 7395]", "[0, 7395]", "internalPorts"),
    ("[7380, 7395]", "[7380, 70000]", "internalPorts"),
    ("[7380, 7395]", "[-9, 9999999999999]", "internalPorts"),
    ("[7380, 7395]", "[]", "internalPorts"),
    ("heartbeatMs = 1200", "heartbeatMs = nan", "heartbeatMs"),
    ("heartbeatMs = 1200", "heartbeatMs = -1", "heartbeatMs"),
    ('nodeName = "front-1"', 'nodeName = ""', "nodeName"),
    ('nodeName = "front-1"', f'nodeName = "{"é" * 200}"', "nodeName"),
    ('"10.0.0.1:80"', '"10.0.0.1"', "listen.front"),
    ('"10.0.0.1:80"', '"10.0.0.1:99999"', "listen.front"),
    ('"10.0.0.1:81"', '"here:81"', "listen.ready"),
    ('"10.9.0.1:90"', '""', "platform.address"),
    ('ip = "10.0.0.1"', 'ip = "10.0.0"', "ip"),
    ("drainMs = 4000", "drainMs = inf", "drainMs"),
    ("drainMs = 4000", "drainMs = nan", "drainMs"),
    ("drainMs = 4000", "drainMs = -1", "drainMs"),
    ("drainMs = 4000", "drainMs = 1e30", "drainMs"),
    ("drainMs = 4000", "graceS = -0.1", "graceS"),
    ("drainMs = 4000", "leaseMs = nan", "leaseMs"),
    ("drainMs = 4000", "retryBudgetRatio = -0.1", "retryBudgetRatio"),
    ("drainMs = 4000", "budgetExtra = inf", "budgetExtra"),
    ("drainMs = 4000", "ceilingOverage = nan", "ceilingOverage"),
]


@pytest.mark.parametrize(("whole", "senseless", "key"), SENSELESS)
def test_values_without_sense_are_refused_and_named(
    tmp_path, whole, senseless, key
):
    """A slip in a settings file ended processes, or came into force.

    Reversed ports made an empty list whose first entry the start takes; a
    drain bound that is no number made each comparison with it false, so that
    upstreams which had left were used on. Nothing looked at the values.
    """
    assert whole in WHOLE
    loaded = load(tmp_path, WHOLE.replace(whole, senseless).encode())
    assert isinstance(loaded, Failure)
    assert loaded.failure().kind is errors.Kind.BAD_VALUE
    assert key in str(loaded.failure())


# The least that is allowed must not be taken for a slip, and a bound of zero
# belongs to a part of the rules that is not in force.
ALLOWED = [
    ("heartbeatMs = 1200", "heartbeatMs = 0"),
    ("drainMs = 4000", "budgetWindowS = 0"),
    ("drainMs = 4000", "ceilingWindowS = 0"),
    ("drainMs = 4000", "retryBudgetRatio = 1.5"),
    ("[7380, 7395]", "[7380, 7380]"),
    ("drainMs = 4000", "drainMs = 0"),
    ("drainMs = 4000", "leaseMs = 0"),
    ("drainMs = 4000", "retryBudgetRatio = 0"),
    ("drainMs = 4000", "retryBudgetRatio = 1"),
    ("drainMs = 4000", "budgetExtra = 0"),
    ("drainMs = 4000", "reuseAfterS = 0"),
    ("drainMs = 4000", "tomorrowsBound = nan"),
]


@pytest.mark.parametrize(("whole", "unusual"), ALLOWED)
def test_unusual_values_with_sense_are_taken(tmp_path, whole, unusual):
    assert whole in WHOLE
    load(tmp_path, WHOLE.replace(whole, unusual).encode()).unwrap()


def test_the_own_zone_is_known_also_where_the_map_lacks_it(tmp_path):
    """An instance of a new zone did not start: the map of zones was older."""
    text = WHOLE.replace('z1 = "r1"', "").encode()
    assert load(tmp_path, text).unwrap().regions == {"z1": "r1", "z2": "r2"}


def test_a_file_that_is_no_file_of_bytes_holds_nobody_up(tmp_path):
    """An instance answered nobody, and heard no stop, for as long as it ran.

    Where the settings file had been there was a pipe. Reading it waits for
    who writes, in the thread that serves all callers and takes the signals.
    """
    path = tmp_path / "node.toml"
    os.mkfifo(path)
    read = []
    thread = threading.Thread(
        target=lambda: read.append(settings.load(str(path))), daemon=True
    )
    thread.start()
    thread.join(HANG_S)
    assert isinstance(read and read[0], Failure)


def test_a_file_far_beyond_all_settings_is_a_problem(tmp_path):
    """Callers waited for seconds, and a process went over its memory.

    A file that is no settings file had got in their place. It was read whole
    and parsed at under 2 MB a second, in the thread that serves all callers.
    """
    more = b"".join(b"x%d = 1\n" % number for number in range(100_000))
    loaded = load(tmp_path, more + WHOLE.encode())
    assert isinstance(loaded, Failure)
    assert loaded.failure().kind is errors.Kind.UNREADABLE
