"""Says from gateways' logs why requests were refused, failed or held.

Why: after a bad hour an operator has the logs of all instances, and wants to
know which few causes most of the loss comes from, for whom and when, before
looking at any single request. A cause is what the instance itself wrote down
when it decided; nothing is guessed from elsewhere.
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

WINDOW_S = 10
# A request that was held longer than this says so by its cause.
MIN_DELAY_MS = 50
# A request without a plan that was held longer than this waited for an adapter:
# for news of a model it waits less.
ADAPTER_WAIT_MS = 400
_REQUEST = "request: "


class Cause(enum.Enum):
    """What became of a request, where it was not served at once."""

    FULL = "refused: no turn at the engines that hold the model"
    FULL_AFTER_WAIT = "refused: no turn, after a wait for the model"
    TOO_LATE = "refused at once: the model is planned and comes too late"
    WAITED_TOO_LATE = "refused after a wait: the planned model came too late"
    NO_PLAN = "refused: no plan for the model in time"
    ADAPTER = "refused: no place for the adapter in time"
    NO_CONFIGURATION = "refused: no configuration yet"
    STOPPING = "refused: the instance stops"
    NO_UPSTREAM = "refused: no upstream"
    GONE = "the caller left"
    CUT = "broken off midway"
    FAILED = "failed"
    WAITED_MODEL = "served after a wait for the model or adapter"
    WAITED_TURN = "served after a wait for a turn"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnd:
    """One request, as its instance logged its end.

    Attributes:
      at_s: Seconds of the day's wall clock since the epoch.
      cause: None where it was served at once.
      held_ms: How long it was kept waiting here: for its model and its turn
        where it was served, and else until it was given up.
    """

    at_s: float
    route: str
    cause: Cause | None
    held_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CauseSummary:
    """Requests of one cause."""

    cause: Cause
    count: int
    held_ms: float
    by_route: tuple[tuple[str, int], ...]
    by_window: tuple[tuple[int, int], ...]


def parse_line(line: str) -> dict[str, Any] | None:
    """Returns a log line's fields; None where it is none.

    Collectors put the time and the instance's name before the line.
    """
    begins = line.find("{")
    if begins < 0:
        return None
    try:
        row = json.loads(line[begins:])
    except ValueError:
        return None
    return row if isinstance(row, dict) else None


def parse_request(row: dict[str, Any]) -> RequestEnd | None:
    """Returns a request's end; None where a line tells of something else."""
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
        cause = _refused(row, waited_ms)
    else:
        cause = _cause(outcome, waited_ms, paced_ms)
    if cause in (Cause.WAITED_MODEL, Cause.WAITED_TURN):
        held_ms = waited_ms + paced_ms
    return RequestEnd(at_s, str(row["route"]), cause, held_ms)


def _cause(outcome: str, waited_ms: float, paced_ms: float) -> Cause | None:
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


def _refused(row: dict[str, Any], waited_ms: float) -> Cause:
    waited = waited_ms > MIN_DELAY_MS
    note = str(row.get("note", ""))
    if "configuration" in note:
        return Cause.NO_CONFIGURATION
    if "stop" in note:
        return Cause.STOPPING
    if "target" not in row:
        return Cause.NO_UPSTREAM
    if row.get("full"):
        return Cause.FULL_AFTER_WAIT if waited else Cause.FULL
    if "expected_in_s" in row:
        return Cause.WAITED_TOO_LATE if waited else Cause.TOO_LATE
    if "/" in str(row["target"]) and waited_ms > ADAPTER_WAIT_MS:
        return Cause.ADAPTER
    return Cause.NO_PLAN


def summarize(requests: Iterable[RequestEnd]) -> tuple[CauseSummary, ...]:
    """Returns the requests by cause, the most frequent one first."""
    by_cause: dict[Cause, list[RequestEnd]] = {}
    for one in requests:
        if one.cause is not None:
            by_cause.setdefault(one.cause, []).append(one)
    found = [
        CauseSummary(
            cause,
            len(those),
            sum(one.held_ms for one in those) / len(those),
            tuple(Counter(one.route for one in those).most_common()),
            tuple(sorted(Counter(_window(one) for one in those).items())),
        )
        for cause, those in by_cause.items()
    ]
    return tuple(sorted(found, key=lambda one: (-one.count, one.cause.name)))


def _window(one: RequestEnd) -> int:
    return int(one.at_s // WINDOW_S) * WINDOW_S


def explain(paths: Iterable[pathlib.Path]) -> outcomes.Outcome:
    """Reads logs and says what the requests in them were lost to."""
    requests: list[RequestEnd] = []
    problems = []
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as lines:
                rows = (parse_line(line) for line in lines)
                told = (parse_request(row) for row in rows if row is not None)
                requests.extend(one for one in told if one is not None)
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
    requests: list[RequestEnd], found: tuple[CauseSummary, ...]
) -> outcomes.Outcome:
    lines = [f"{len(requests)} requests"]
    for group in found:
        share = group.count / len(requests)
        lines.append(
            f"{group.count:7} {share:6.1%}  {group.cause.value};"
            f" held {group.held_ms:.0f} ms on average"
        )
        routes = ", ".join(f"{name} {n}" for name, n in group.by_route[:5])
        lines.append(f"{'':15} routes: {routes}")
        windows = ", ".join(
            f"{_clock(at_s)} {n}" for at_s, n in group.by_window
        )
        lines.append(f"{'':15} from: {windows}")
    document = {
        "requests": len(requests),
        "window_s": WINDOW_S,
        "causes": [
            {
                "cause": group.cause.name.lower(),
                "text": group.cause.value,
                "count": group.count,
                "held_ms": round(group.held_ms, 1),
                "by_route": dict(group.by_route),
                "by_window": dict(group.by_window),
            }
            for group in found
        ],
    }
    return outcomes.Outcome(outcomes.ExitCode.OK, document, tuple(lines))


def _clock(at_s: int) -> str:
    at = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return at.strftime("%H:%M:%S")
