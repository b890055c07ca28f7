"""Tests of signal logging: rate-limited for each signal separately."""

import signal

import structlog

from sesamecross.runtime import signal_log


def _log_one(log: signal_log.SignalLog, number: signal.Signals) -> None:
    log.log_signal("told", number, 1, signal_log.Phase.RUNNING, "nothing")


def test_a_flood_of_one_signal_does_not_hide_others():
    """Guards against a stop that is not logged after a flood of signals.

    All signals shared one rate limit, and a tool that sent signals in a loop
    had used it up.
    """
    now_s = [100.0]
    flood = 50
    with structlog.testing.capture_logs() as lines:
        log = signal_log.SignalLog(structlog.get_logger(), lambda: now_s[0])
        for _ in range(flood):
            _log_one(log, signal.SIGHUP)
        _log_one(log, signal.SIGTERM)
        now_s[0] += 2.0
        for _ in range(flood):
            _log_one(log, signal.SIGHUP)
    names = [line["signal"] for line in lines]
    burst = int(signal_log.BURST_LINES)
    assert names == ["SIGHUP"] * burst + ["SIGTERM"] + ["SIGHUP"] * 2
    assert log.received == {"SIGHUP": 2 * flood, "SIGTERM": 1}
