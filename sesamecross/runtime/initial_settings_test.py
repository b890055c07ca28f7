"""Tests of a process that starts while its settings file is written."""

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

WHOLE = """
instance = "e1"
zone = "z1"
region = "r1"
listen = "127.0.0.1:1000"
steward = "127.0.0.1:1001"
shared_key = "0123456789abcdef"
"""


class _Started(Exception):
    """The process has its settings and would begin its work."""


def _start(taken):
    raise _Started(taken)


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
            # As the signal's handler does.
            self.pending_signals._on_signal(signal.SIGTERM, None)
        self.write()


def launched(tmp_path, monkeypatch, texts, *flags):
    """Returns what becomes of a start, and what was written and slept."""
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


WRITTEN = [
    pytest.param([WHOLE[:40], WHOLE], id="cut in a line"),
    pytest.param(["", WHOLE], id="empty"),
    pytest.param([None, WHOLE], id="not there yet"),
    pytest.param(["zone = 'Sl\udcc3", WHOLE], id="half a character"),
    pytest.param([WHOLE[:50], WHOLE[:90], None, WHOLE], id="slowly"),
]


@pytest.mark.parametrize("texts", WRITTEN)
def test_a_start_waits_until_its_file_is_written(tmp_path, monkeypatch, texts):
    """Processes ended in the second in which their settings changed.

    One that started while its file was being written read half of it, took
    that for an operator's mistake, and ended with code 1. Half a file and a
    mistake look alike; only some time tells them apart.
    """
    _, start = launched(tmp_path, monkeypatch, texts)
    with pytest.raises(_Started) as started:
        start()
    assert started.value.args[0].instance == "e1"


def test_a_file_that_stays_wrong_ends_the_start_with_its_error(
    tmp_path, monkeypatch, capsys
):
    writer, start = launched(tmp_path, monkeypatch, ['zone = "z1"'])
    assert start() == 1
    assert "shared_key: is missing" in capsys.readouterr().err
    assert writer.slept_s < 5


def test_a_wrong_flag_is_told_at_once(tmp_path, monkeypatch, capsys):
    # No file will mend it.
    writer, start = launched(
        tmp_path, monkeypatch, [WHOLE], "--threads", "many"
    )
    assert start() == 1
    assert "flag --threads" in capsys.readouterr().err
    assert writer.slept_s == 0


def test_a_stop_is_heard_while_a_start_waits_for_its_file(
    tmp_path, monkeypatch
):
    """A process that was told to stop went on waiting for three seconds.

    Its settings file was half written, and it looked at the file only. Then
    it ended with code 1, as if it had failed.
    """
    writer, start = launched(tmp_path, monkeypatch, [WHOLE[:40]])
    writer.is_stopped = True
    assert start() == application.EXIT_OK
    assert writer.slept_s == initial_settings.RETRY_INTERVAL_S
