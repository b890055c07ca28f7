"""Tests of the lines about signals: bounded, and none hides another."""

import signal

import structlog

from sesamecross.runtime import signal_log


def _told(log: signal_log.SignalLog, number: signal.Signals) -> None:
    log.tell("told", number, 1, signal_log.Phase.RUNNING, "nothing")


def test_a_flood_of_one_signal_hides_no_other():
    """The line of a stop was left out behind a flood of other signals.

    Room for lines was shared by all signals, and a tool that signals in a
    loop had used it up.
    """
    now_s = [100.0]
    flood = 50
    with structlog.testing.capture_logs() as lines:
        log = signal_log.SignalLog(structlog.get_logger(), lambda: now_s[0])
        for _ in range(flood):
            _told(log, signal.SIGHUP)
        _told(log, signal.SIGTERM)
        now_s[0] += 2.0
        for _ in range(flood):
            _told(log, signal.SIGHUP)
    names = [line["signal"] for line in lines]
    at_once = int(signal_log.BURST_LINES)
    assert names == ["SIGHUP"] * at_once + ["SIGTERM"] + ["SIGHUP"] * 2
    assert log.received == {"SIGHUP": 2 * flood, "SIGTERM": 1}
