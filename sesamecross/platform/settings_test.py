"""Tests of settings files: partly written, invalid, or with unusual values."""

import os
import threading

import pytest
from returns.result import Failure

from sesamecross.core import errors
from sesamecross.core import serving
from sesamecross.platform import settings

# Test timeout; a read takes less than a millisecond.
HANG_TIMEOUT_S = 10.0
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

# Content that is not text or that the parser can't represent.
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


def test_valid_settings_are_loaded_and_unknown_fields_ignored(tmp_path):
    text = WHOLE.replace("[zones]", 'contracts = ["base"]\n[zones]')
    instance = load(tmp_path, text.encode()).unwrap()
    assert instance.ports == tuple(range(7380, 7396))
    assert instance.bounds.drain_s == 4.0
    assert instance.regions == {"z1": "r1", "z2": "r2"}


@pytest.mark.parametrize(
    ("limits", "memory_bytes"),
    [
        ("", serving.DEFAULT_MEMORY_BYTES),
        ("[limits]\nmaxFds = 4100\n", serving.DEFAULT_MEMORY_BYTES),
        ("[limits]\nmemoryMb = 300\n", 300_000_000),
        ("[limits]\nmemoryMb = 1024.5\n", 1_024_500_000),
        ("[limits]\nmemoryMb = 0\n", serving.DEFAULT_MEMORY_BYTES),
    ],
)
def test_the_memory_limit_is_read(tmp_path, limits, memory_bytes):
    """Guards against budgets that don't follow the settings."""
    instance = load(tmp_path, (WHOLE + limits).encode()).unwrap()
    assert instance.memory_bytes == memory_bytes


@pytest.mark.parametrize(
    ("limits", "max_sockets"),
    [
        ("", serving.DEFAULT_MAX_SOCKETS),
        ("[limits]\nmaxFds = 4100\n", 3900),
        ("[limits]\nmaxFds = 1535\n", 1335),
        ("[limits]\nmaxFds = 0\n", serving.DEFAULT_MAX_SOCKETS),
    ],
)
def test_the_limit_of_descriptors_is_read(tmp_path, limits, max_sockets):
    """Guards against a process that does not know how many it may have."""
    instance = load(tmp_path, (WHOLE + limits).encode()).unwrap()
    assert instance.max_sockets == max_sockets


@pytest.mark.parametrize("content", UNREADABLE)
def test_undecodable_content_is_a_problem_and_no_crash(tmp_path, content):
    """Guards against crashes while the settings file is being written.

    A file that ended within a UTF-8 character raised an unexpected exception.
    Starting processes failed with a traceback. Running ones failed at each
    reload until the supervisor gave up, and lost all streams of their callers.
    """
    loaded = load(tmp_path, content)
    assert isinstance(loaded, Failure)
    assert loaded.failure().kind is errors.Kind.SYNTAX
    assert settings.BOOT_VARIABLE in loaded.failure().remedy


# Text in valid settings, its invalid replacement, and the key reported.
INVALID = [
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


@pytest.mark.parametrize(("whole", "invalid", "key"), INVALID)
def test_invalid_values_are_rejected_and_reported(
    tmp_path, whole, invalid, key
):
    """Guards against invalid values that crash processes or take effect.

    A reversed port range gave an empty list, whose first entry is read at the
    start. With NaN as the drain bound all comparisons were false, so upstreams
    that had left were still used.
    """
    assert whole in WHOLE
    loaded = load(tmp_path, WHOLE.replace(whole, invalid).encode())
    assert isinstance(loaded, Failure)
    assert loaded.failure().kind is errors.Kind.BAD_VALUE
    assert key in str(loaded.failure())


# The smallest allowed values are valid, and a bound of zero belongs to a rule
# that is not in force.
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
def test_unusual_valid_values_are_accepted(tmp_path, whole, unusual):
    assert whole in WHOLE
    load(tmp_path, WHOLE.replace(whole, unusual).encode()).unwrap()


def test_the_own_zone_is_added_to_the_map_of_zones(tmp_path):
    """Guards against a new zone's instance that fails on an older zone map."""
    text = WHOLE.replace('z1 = "r1"', "").encode()
    assert load(tmp_path, text).unwrap().regions == {"z1": "r1", "z2": "r2"}


def test_a_pipe_in_place_of_the_file_does_not_block(tmp_path):
    """Guards against an instance that hangs and ignores stop signals.

    The settings file had been replaced by a pipe. Reading it blocks until
    there is a writer, in the thread that serves callers and handles signals.
    """
    path = tmp_path / "node.toml"
    os.mkfifo(path)
    read = []
    thread = threading.Thread(
        target=lambda: read.append(settings.load(str(path))), daemon=True
    )
    thread.start()
    thread.join(HANG_TIMEOUT_S)
    assert isinstance(read and read[0], Failure)


def test_an_oversized_file_is_a_problem(tmp_path):
    """Guards against a large file that stalls callers and exhausts memory.

    A file in place of the settings was read completely and parsed at less than
    2 MB/s, in the thread that serves all callers; they waited for seconds.
    """
    more = b"".join(b"x%d = 1\n" % number for number in range(100_000))
    loaded = load(tmp_path, more + WHOLE.encode())
    assert isinstance(loaded, Failure)
    assert loaded.failure().kind is errors.Kind.UNREADABLE
