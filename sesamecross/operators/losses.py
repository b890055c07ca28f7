"""Reports from gateway logs why requests were refused, failed or delayed.

After an incident an operator has the logs of all instances and wants to know
which few causes account for most of the losses, on which routes and when,
before looking at single requests. A cause is derived only from what the
instance logged when it made the decision.
"""

from collections import Counter
from collections.abc import Iterable
import dataclasses
import datetime
import enum
import json
import pathlib
from typing import Any

from sesamecross.core import errors
from sesamecross.operators import outcomes
from sesamecross.ops.fleet import wait_policy

WINDOW_S = 10
# A request that waited longer than this is reported as having waited.
MIN_DELAY_MS = 50
# Lines of older versions don't say what limited a wait. In these a request
# without a plan that waited longer than this waited for an adapter: the wait
# for news of a model is shorter.
ADAPTER_WAIT_MS = 400
_REQUEST = "request: "


class Cause(enum.Enum):
    """Why a request was not served at once."""

    FULL = "refused: no turn at the engines that hold the model"
    FULL_AFTER_WAIT = "refused: no turn, after a wait for the model"
    TOO_LATE = "refused at once: the model is planned and comes too late"
    WAITED_TOO_LATE = "refused after a wait: the planned model came too late"
    NO_PLAN = "refused: no plan for the model in time"
    ADAPTER = "refused: no place for the adapter in time"
    ADAPTER_NOT_LOADED = "refused: a place, but no load of the adapter in time"
    ENGINE_BUSY = "refused: the engine loads a model before the adapter"
    NO_VERSION = "refused: no upstream of the stream's version"
    WITHHELD = "refused: prompts with one of its parts crash engines"
    REQUEST_WITHHELD = "refused: upstreams ended under the same request"
    BACKOFF = "refused: the upstreams asked for a pause"
    NO_CONFIGURATION = "refused: no configuration yet"
    STOPPING = "refused: the instance stops"
    NO_UPSTREAM = "refused: no upstream"
    GONE = "the caller left"
    CUT = "broken off midway"
    FAILED = "failed"
    WAITED_MODEL = "served after a wait for the model or adapter"
    WAITED_TURN = "served after a wait for a turn"


# By what limited a wait: the causes of refusals at once and after a wait.
_CAUSES_BY_LIMIT = {
    wait_policy.Limit.NO_TURN.value: (Cause.FULL, Cause.FULL_AFTER_WAIT),
    wait_policy.Limit.PLANNED_LATE.value: (
        Cause.TOO_LATE,
        Cause.WAITED_TOO_LATE,
    ),
    wait_policy.Limit.NO_PLAN.value: (Cause.NO_PLAN,) * 2,
    wait_policy.Limit.NO_ADAPTER_PLACE.value: (Cause.ADAPTER,) * 2,
    wait_policy.Limit.ADAPTER_NOT_LOADED.value: (Cause.ADAPTER_NOT_LOADED,) * 2,
    wait_policy.Limit.ENGINE_BUSY.value: (Cause.ENGINE_BUSY,) * 2,
    wait_policy.Limit.NO_VERSION.value: (Cause.NO_VERSION,) * 2,
    wait_policy.Limit.WITHHELD.value: (Cause.WITHHELD,) * 2,
    wait_policy.Limit.BACKOFF.value: (Cause.BACKOFF,) * 2,
}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnd:
    """The end of a request, as logged by its instance.

    Attributes:
      at_s: Wall-clock time in seconds since the epoch.
      route: The route's name.
      cause: None if it was served at once.
      held_ms: How long it waited at the instance: for its model and its turn if
        it was served, otherwise until it ended.
    """

    at_s: float
    route: str
    cause: Cause | None
    held_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CauseSummary:
    """Summary of the requests with one cause."""

    cause: Cause
    count: int
    held_ms: float
    by_route: tuple[tuple[str, int], ...]
    by_window: tuple[tuple[int, int], ...]


def parse_line(line: str) -> dict[str, Any] | None:
    """Returns the fields of a log line, or None if it is not a JSON line.

    Log collectors prepend the time and the instance's name to the line.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        row = json.loads(line[start:])
    except ValueError:
        return None
    return row if isinstance(row, dict) else None


def parse_request(row: dict[str, Any]) -> RequestEnd | None:
    """Returns the end of a request, or None for any other line."""
    event = row.get("event")
    if not isinstance(event, str) or not event.startswith(_REQUEST):
        return None
    if "route" not in row:
        return None
    try:
        at = datetime.datetime.fromisoformat(row["timestamp"])
        at_s = at.timestamp()
        held_ms = float(row["ms"])
        waited_ms = float(row.get("waited_ms", 0))
        paced_ms = float(row.get("paced_ms", 0))
    except (KeyError, OverflowError, TypeError, ValueError):
        return None
    outcome = event.removeprefix(_REQUEST)
    if outcome == "refused":
        cause = _refusal_cause(row, waited_ms)
    else:
        cause = _outcome_cause(outcome, waited_ms, paced_ms)
    if cause in (Cause.WAITED_MODEL, Cause.WAITED_TURN):
        held_ms = waited_ms + paced_ms
    return RequestEnd(at_s, str(row["route"]), cause, held_ms)


def _outcome_cause(
    outcome: str, waited_ms: float, paced_ms: float
) -> Cause | None:
    if outcome == "caller gone":
        return Cause.GONE
    if outcome.startswith("cut"):
        return Cause.CUT
    if outcome.startswith("status 5") or outcome == "failed":
        return Cause.FAILED
    if waited_ms > MIN_DELAY_MS:
        return Cause.WAITED_MODEL
    if paced_ms > MIN_DELAY_MS:
        return Cause.WAITED_TURN
    return None


def _refusal_cause(row: dict[str, Any], waited_ms: float) -> Cause:
    waited = waited_ms > MIN_DELAY_MS
    note = str(row.get("note", ""))
    if "configuration" in note:
        return Cause.NO_CONFIGURATION
    if "stop" in note:
        return Cause.STOPPING
    if "request withheld" in note:
        return Cause.REQUEST_WITHHELD
    if "upstreams want no requests" in note:
        return Cause.BACKOFF
    if "target" not in row:
        return Cause.NO_UPSTREAM
    causes = _CAUSES_BY_LIMIT.get(str(row.get("limit")))
    if causes is not None:
        at_once, after_wait = causes
        return after_wait if waited else at_once
    return _unlimited_refusal_cause(row, waited_ms)


def _unlimited_refusal_cause(row: dict[str, Any], waited_ms: float) -> Cause:
    """Returns the likely cause by a line that does not name the limit."""
    waited = waited_ms > MIN_DELAY_MS
    if row.get("full"):
        return Cause.FULL_AFTER_WAIT if waited else Cause.FULL
    if "expected_in_s" in row:
        return Cause.WAITED_TOO_LATE if waited else Cause.TOO_LATE
    if "/" in str(row["target"]) and waited_ms > ADAPTER_WAIT_MS:
        return Cause.ADAPTER
    return Cause.NO_PLAN


def summarize(requests: Iterable[RequestEnd]) -> tuple[CauseSummary, ...]:
    """Returns a summary for each cause, the most frequent one first."""
    by_cause: dict[Cause, list[RequestEnd]] = {}
    for request in requests:
        if request.cause is not None:
            by_cause.setdefault(request.cause, []).append(request)
    summaries = [
        CauseSummary(
            cause,
            len(members),
            sum(request.held_ms for request in members) / len(members),
            tuple(Counter(request.route for request in members).most_common()),
            tuple(
                sorted(Counter(_window(request) for request in members).items())
            ),
        )
        for cause, members in by_cause.items()
    ]
    return tuple(
        sorted(summaries, key=lambda each: (-each.count, each.cause.name))
    )


def _window(request: RequestEnd) -> int:
    return int(request.at_s // WINDOW_S) * WINDOW_S


def explain(paths: Iterable[pathlib.Path]) -> outcomes.Outcome:
    """Reads logs and reports why requests in them were lost or delayed."""
    requests: list[RequestEnd] = []
    problems = []
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as lines:
                rows = (parse_line(line) for line in lines)
                parsed = (parse_request(row) for row in rows if row is not None)
                requests.extend(
                    request for request in parsed if request is not None
                )
        except OSError as error:
            problems.append(_unreadable(path, error))
    if problems:
        return outcomes.failed(outcomes.ExitCode.PROBLEMS, problems)
    return _outcome(requests, summarize(requests))


def _unreadable(path: pathlib.Path, error: OSError) -> errors.Problem:
    return errors.Problem(
        str(path),
        "",
        f"can't be read: {error.strerror}",
        "name files that hold the lines of gateways' standard output",
        errors.Kind.UNREACHABLE,
    )


def _outcome(
    requests: list[RequestEnd], summaries: tuple[CauseSummary, ...]
) -> outcomes.Outcome:
    lines = [f"{len(requests)} requests"]
    for summary in summaries:
        share = summary.count / len(requests)
        lines.append(
            f"{summary.count:7} {share:6.1%}  {summary.cause.value};"
            f" held {summary.held_ms:.0f} ms on average"
        )
        routes = ", ".join(f"{name} {n}" for name, n in summary.by_route[:5])
        lines.append(f"{'':15} routes: {routes}")
        windows = ", ".join(
            f"{_time_of_day(at_s)} {n}" for at_s, n in summary.by_window
        )
        lines.append(f"{'':15} from: {windows}")
    document = {
        "requests": len(requests),
        "window_s": WINDOW_S,
        "causes": [
            {
                "cause": summary.cause.name.lower(),
                "text": summary.cause.value,
                "count": summary.count,
                "held_ms": round(summary.held_ms, 1),
                "by_route": dict(summary.by_route),
                "by_window": dict(summary.by_window),
            }
            for summary in summaries
        ],
    }
    return outcomes.Outcome(outcomes.ExitCode.OK, document, tuple(lines))


def _time_of_day(at_s: int) -> str:
    at = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return at.strftime("%H:%M:%S")
