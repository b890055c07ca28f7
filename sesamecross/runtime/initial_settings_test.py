"""Tests of a process that starts while its settings file is being written."""

import signal
import sys
import time

import pytest

from sesamecross.parser import settings
from sesamecross.runtime import application
from sesamecross.runtime import initial_settings
from sesamecross.runtime import launch
from sesamecross.runtime import logs
from sesamecross.runtime import signals

COMPLETE_SETTINGS = """
instance = "e1"
zone = "z1"
region = "r1"
listen = "127.0.0.1:1000"
steward = "127.0.0.1:1001"
shared_key = "0123456789abcdef"
"""


class _Started(Exception):
    """The process has its settings and would start."""


def _start(settings_read):
    raise _Started(settings_read)


class _Writer:
    """Writes the next text to a file whenever the process sleeps."""

    def __init__(self, path, texts):
        self.path = path
        self.texts = list(texts)
        self.slept_s = 0.0
        self.pending_signals: signals.PendingSignals | None = None
        self.is_stopped = False
        self.write()

    def write(self):
        if not self.texts:
            return
        text = self.texts.pop(0)
        if text is None:
            self.path.unlink(missing_ok=True)
        else:
            self.path.write_bytes(text.encode("utf-8", "surrogateescape"))

    def sleep(self, seconds):
        self.slept_s += seconds
        if self.is_stopped:
            # Counts the signal as its handler does.
            self.pending_signals._on_signal(signal.SIGTERM, None)
        self.write()


def prepare_launch(tmp_path, monkeypatch, texts, *flags):
    """Returns the file's writer, and a function that runs the launch."""
    path = tmp_path / "entry.toml"
    writer = _Writer(path, texts)
    monkeypatch.setattr(time, "sleep", writer.sleep)
    monkeypatch.setattr(logs, "configure", lambda *_, **__: None)
    monkeypatch.setattr(sys, "argv", ["entry", *flags, "--settings", str(path)])
    pending_signals = signals.PendingSignals()
    writer.pending_signals = pending_signals
    return writer, lambda: launch.launch(
        "", settings.EntrySettings, _start, pending_signals
    )


PARTIAL_WRITES = [
    pytest.param(
        [COMPLETE_SETTINGS[:40], COMPLETE_SETTINGS], id="truncated line"
    ),
    pytest.param(["", COMPLETE_SETTINGS], id="empty"),
    pytest.param([None, COMPLETE_SETTINGS], id="missing"),
    pytest.param(
        ["zone = 'Sl\udcc3", COMPLETE_SETTINGS], id="truncated character"
    ),
    pytest.param(
        [
            COMPLETE_SETTINGS[:50],
            COMPLETE_SETTINGS[:90],
            None,
            COMPLETE_SETTINGS,
        ],
        id="slowly",
    ),
]


@pytest.mark.parametrize("texts", PARTIAL_WRITES)
def test_a_start_waits_until_its_file_is_written(tmp_path, monkeypatch, texts):
    """Guards against an exit when the settings file is half written.

    A process that started while its file was being written treated the partial
    content as an operator's mistake and exited with code 1. Only waiting can
    distinguish the two.
    """
    _, start = prepare_launch(tmp_path, monkeypatch, texts)
    with pytest.raises(_Started) as started:
        start()
    assert started.value.args[0].instance == "e1"


def test_a_file_that_stays_invalid_fails_the_start(
    tmp_path, monkeypatch, capsys
):
    writer, start = prepare_launch(tmp_path, monkeypatch, ['zone = "z1"'])
    assert start() == 1
    assert "shared_key: is missing" in capsys.readouterr().err
    assert writer.slept_s < 5


def test_an_invalid_flag_is_reported_at_once(tmp_path, monkeypatch, capsys):
    # A change of the file can't fix a flag.
    writer, start = prepare_launch(
        tmp_path, monkeypatch, [COMPLETE_SETTINGS], "--threads", "many"
    )
    assert start() == 1
    assert "flag --threads" in capsys.readouterr().err
    assert writer.slept_s == 0


def test_a_stop_request_ends_the_wait_for_the_settings_file(
    tmp_path, monkeypatch
):
    """Guards against a stop request that is ignored while a start waits.

    The process kept retrying its half-written settings file for three seconds
    and then exited with code 1, as if it had failed.
    """
    writer, start = prepare_launch(
        tmp_path, monkeypatch, [COMPLETE_SETTINGS[:40]]
    )
    writer.is_stopped = True
    assert start() == application.EXIT_OK
    assert writer.slept_s == initial_settings.RETRY_INTERVAL_S
