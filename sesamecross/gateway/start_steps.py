"""When this process could first do what, counted from its beginning.

After an incident many instances start at once. Whether one lacked processor
time, the store, its peers or a plan shows only if each start says when each of
these was there.
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import time

from sesamecross.runtime import logs
from sesamecross.runtime import process_start


class Step(enum.Enum):
    """A step of a start; the values are names in logs and metrics."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    # Both of these: callers can be served.
    READY = "ready"
    JOINED = "joined"
    # The lease holder's first plan for the engines.
    PLAN = "plan"


class StartSteps:
    """The steps of one start, each recorded and logged once."""

    __slots__ = ("_clock", "_cpu_clock", "_log", "_reached_s")

    def __init__(
        self,
        clock: Callable[[], float] = process_start.elapsed_s,
        cpu_clock: Callable[[], float] = time.process_time,
    ):
        """Initializes an object without steps.

        Args:
          clock: Returns the seconds since the process began.
          cpu_clock: Returns the processor time of the process, in seconds.
        """
        self._clock = clock
        self._cpu_clock = cpu_clock
        self._reached_s: dict[Step, float] = {}
        self._log = logs.get_logger("start")

    @property
    def reached_s(self) -> dict[Step, float]:
        """When each step that has been reached was reached first."""
        return dict(self._reached_s)

    def record(self, step: Step) -> None:
        """Records a step unless it was recorded before.

        The steps before readiness share its log line, and each later one has a
        line of its own.
        """
        if step in self._reached_s:
            return
        self._reached_s[step] = self._clock()
        if step is Step.READY:
            self._log.info("can serve", **self._log_fields(self._reached_s))
        elif Step.READY in self._reached_s:
            self._log.info("step", **self._log_fields([step]))

    def _log_fields(self, steps: Iterable[Step]) -> dict[str, int]:
        fields = {
            f"{step.value}_ms": round(self._reached_s[step] * 1000)
            for step in steps
        }
        fields["cpu_ms"] = round(self._cpu_clock() * 1000)
        return fields
