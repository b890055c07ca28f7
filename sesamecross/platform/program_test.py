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
    """The gateway has its settings and would begin its work."""


def _start(instance, *_):
    raise _Started(instance)


WRITTEN = [
    pytest.param([WHOLE[:40], WHOLE], id="cut in a line"),
    pytest.param([WHOLE.partition("[bounds]")[0], WHOLE], id="cut at a table"),
    pytest.param([None, "", WHOLE], id="not there yet"),
]


@pytest.mark.parametrize("texts", WRITTEN)
def test_a_start_waits_until_its_file_is_written(tmp_path, monkeypatch, texts):
    """An instance ended in the second in which its settings changed.

    It started while its file was being written, read half of it, took that
    for an operator's mistake, and ended with code 1.
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
        bounded_output.BoundedOutput, "of_stream", lambda _: None
    )
    monkeypatch.setattr(app.GatewayApp, "from_config", _start)
    monkeypatch.setenv(settings.BOOT_VARIABLE, str(path))
    with pytest.raises(_Started) as started:
        program.run("info", signals.Inbox())
    assert started.value.args[0].bounds.drain_s == 4.0


@pytest.mark.parametrize("text", ["", WHOLE.replace("7395", "-1")])
def test_a_file_that_stays_wrong_ends_the_start(
    tmp_path, monkeypatch, capsys, text
):
    path = tmp_path / "node.toml"
    path.write_text(text)
    slept_s = []
    monkeypatch.setattr(time, "sleep", slept_s.append)
    monkeypatch.setenv(settings.BOOT_VARIABLE, str(path))
    assert program.run("info", signals.Inbox()) == 1
    assert settings.BOOT_VARIABLE in capsys.readouterr().err
    assert sum(slept_s) < 5


def test_a_file_that_nobody_named_is_not_waited_for(monkeypatch, capsys):
    """An operator waited three seconds to be told of a missing variable."""
    slept_s = []
    monkeypatch.setattr(time, "sleep", slept_s.append)
    monkeypatch.delenv(settings.BOOT_VARIABLE, raising=False)
    assert program.run("info", signals.Inbox()) == 1
    assert settings.BOOT_VARIABLE in capsys.readouterr().err
    assert slept_s == []
