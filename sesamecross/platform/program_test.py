"""Tests of the gateway's start from the platform's settings file."""

import time

import pytest

from sesamecross.gateway import app
from sesamecross.platform import program
from sesamecross.platform import settings
from sesamecross.platform import settings_test
from sesamecross.runtime import bounded_output
from sesamecross.runtime import logs
from sesamecross.runtime import signals

WHOLE = settings_test.WHOLE


class _Started(Exception):
    """Raised where the gateway has its settings and would start."""


def _start(instance, *_):
    raise _Started(instance)


WRITTEN = [
    pytest.param([WHOLE[:40], WHOLE], id="cut in a line"),
    pytest.param([WHOLE.partition("[bounds]")[0], WHOLE], id="cut at a table"),
    pytest.param([None, "", WHOLE], id="not there yet"),
]


@pytest.mark.parametrize("texts", WRITTEN)
def test_a_start_waits_until_its_file_is_written(tmp_path, monkeypatch, texts):
    """Guards against exiting because the settings file is half written.

    An instance that started while its file was being written took the partial
    file for an operator's mistake and exited with code 1.
    """
    path = tmp_path / "node.toml"
    pending = list(texts)

    def write(*_):
        text = pending.pop(0)
        if text is not None:
            path.write_text(text)

    write()
    monkeypatch.setattr(time, "sleep", write)
    monkeypatch.setattr(logs, "configure", lambda *_, **__: None)
    monkeypatch.setattr(
        bounded_output.BoundedOutput, "from_stream", lambda _: None
    )
    monkeypatch.setattr(app.GatewayApp, "from_config", _start)
    monkeypatch.setenv(settings.BOOT_VARIABLE, str(path))
    with pytest.raises(_Started) as started:
        program.run("info", signals.PendingSignals())
    assert started.value.args[0].bounds.drain_s == 4.0


@pytest.mark.parametrize("text", ["", WHOLE.replace("7395", "-1")])
def test_a_file_that_stays_invalid_ends_the_start(
    tmp_path, monkeypatch, capsys, text
):
    path = tmp_path / "node.toml"
    path.write_text(text)
    slept_s = []
    monkeypatch.setattr(time, "sleep", slept_s.append)
    monkeypatch.setenv(settings.BOOT_VARIABLE, str(path))
    assert program.run("info", signals.PendingSignals()) == 1
    assert settings.BOOT_VARIABLE in capsys.readouterr().err
    assert sum(slept_s) < 5


def test_an_unset_path_is_not_waited_for(monkeypatch, capsys):
    """Guards against a 3 s wait before a missing variable is reported."""
    slept_s = []
    monkeypatch.setattr(time, "sleep", slept_s.append)
    monkeypatch.delenv(settings.BOOT_VARIABLE, raising=False)
    assert program.run("info", signals.PendingSignals()) == 1
    assert settings.BOOT_VARIABLE in capsys.readouterr().err
    assert slept_s == []
