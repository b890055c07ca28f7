"""Tests of what a start says of itself."""

import pytest
import structlog

from sesamecross.gateway import start_steps

CONFIGURATION = start_steps.Step.CONFIGURATION
UPSTREAMS = start_steps.Step.UPSTREAMS
READY = start_steps.Step.READY
JOINED = start_steps.Step.JOINED
PLAN = start_steps.Step.PLAN


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ((CONFIGURATION, UPSTREAMS), []),
        (
            (CONFIGURATION, UPSTREAMS, READY, JOINED, PLAN),
            [
                ("can serve", {"configuration": 1, "upstreams": 2, "ready": 3}),
                ("step", {"joined": 4}),
                ("step", {"plan": 5}),
            ],
        ),
        (
            (JOINED, UPSTREAMS, CONFIGURATION, READY),
            [
                (
                    "can serve",
                    {
                        "joined": 1,
                        "upstreams": 2,
                        "configuration": 3,
                        "ready": 4,
                    },
                )
            ],
        ),
        # Each step is recorded once: later configurations are none of a start.
        (
            (CONFIGURATION, CONFIGURATION, READY, CONFIGURATION, READY),
            [("can serve", {"configuration": 1, "ready": 2})],
        ),
    ],
)
def test_start_logs_when_it_could_first_do_what(steps, expected):
    """Guards against a slow start whose log does not say what it waited for."""
    ticks = iter(range(1, 10))
    recorded = start_steps.StartSteps(lambda: next(ticks), lambda: 0.25)
    with structlog.testing.capture_logs() as lines:
        for step in steps:
            recorded.record(step)
    assert lines == [
        {
            "part": "start",
            "log_level": "info",
            "event": event,
            "cpu_ms": 250,
            **{f"{name}_ms": at_s * 1000 for name, at_s in fields.items()},
        }
        for event, fields in expected
    ]
