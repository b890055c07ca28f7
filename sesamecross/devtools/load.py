"""Open-loop load on entries, from a seeded and declared mix.

Why: attainment must be compared at equal load. Calls arrive by a schedule
that is made from the seed before the first one is sent and does not wait for
answers, as callers do not.
"""

from collections.abc import Callable
import concurrent.futures
import dataclasses
import itertools
import json
import random
import time

from hdrh import histogram
import urllib3

_MOST_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallKind:
    """One kind of calls in the mix.

    Attributes:
      share: Its share of arrivals.
      prefixes: Distinct shared prompt beginnings.
      prefix_tokens: Length of those. own_tokens: length of what differs.
    """

    name: str
    models: tuple[str, ...]
    share: float
    prefixes: int
    prefix_tokens: int
    own_tokens: int
    answer_tokens: int
    first_token_ms: float
    between_tokens_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A stretch of time with one rate of arrivals, in calls a second."""

    seconds: float
    rate: float
    measured: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One call of the schedule."""

    at_s: float
    kind: CallKind
    model: str
    prompt: str
    entry: int
    measured: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What became of one call."""

    arrival: Arrival
    status: int
    first_token_ms: float
    between_tokens_ms: float
    tokens: int
    is_complete: bool
    executed: str

    @property
    def meets_promise(self) -> bool:
        """Whether the promise of its kind was kept."""
        kind = self.arrival.kind
        return (
            self.is_complete
            and self.first_token_ms <= kind.first_token_ms
            and self.between_tokens_ms <= kind.between_tokens_ms
        )


def schedule(
    kinds: tuple[CallKind, ...],
    phases: tuple[Phase, ...],
    entries: int,
    seed: int,
) -> list[Arrival]:
    """Returns all arrivals; the same for the same arguments."""
    rng = random.Random(seed)
    turn = itertools.cycle(range(entries))
    arrivals = []
    start = 0.0
    for phase in phases:
        at = start
        while True:
            at += rng.expovariate(phase.rate)
            if at >= start + phase.seconds:
                break
            kind = rng.choices(kinds, [k.share for k in kinds])[0]
            arrivals.append(
                Arrival(
                    at,
                    kind,
                    _skewed(rng, kind.models),
                    _prompt(rng, kind, seed),
                    next(turn),
                    phase.measured,
                )
            )
        start += phase.seconds
    return arrivals


def _skewed(rng: random.Random, names: tuple[str, ...]) -> str:
    weights = [1 / (place + 1) for place in range(len(names))]
    return rng.choices(names, weights)[0]


def _prompt(rng: random.Random, kind: CallKind, seed: int) -> str:
    prefix = rng.randrange(kind.prefixes)
    shared = f"{kind.name} {seed} {prefix} ".ljust(16, ".")
    own = f"{rng.random():.12f} "
    return shared * (kind.prefix_tokens * 4 // 16) + own * (
        kind.own_tokens * 4 // len(own)
    )


class LoadGenerator:
    """Sends a schedule to entries and collects what became of it."""

    def __init__(self, urls: list[str], key: str, threads: int = 400):
        self._urls = urls
        self._headers = {"Authorization": f"Bearer {key}"}
        self._threads = threads
        self._http = urllib3.PoolManager(
            num_pools=64, maxsize=threads, retries=False, timeout=60.0
        )

    def run(
        self,
        arrivals: list[Arrival],
        events: tuple[tuple[float, Callable[[], None]], ...] = (),
    ) -> list[Result]:
        """Sends all arrivals in time; returns their results.

        Args:
          arrivals: The schedule.
          events: What else happens, by seconds since the start.
        """
        plan = [(a.at_s, a) for a in arrivals] + list(events)
        plan.sort(key=lambda item: item[0])
        began = time.monotonic()
        futures = []
        with concurrent.futures.ThreadPoolExecutor(self._threads) as pool:
            for at_s, item in plan:
                wait_s = began + at_s - time.monotonic()
                if wait_s > 0:
                    time.sleep(wait_s)
                if isinstance(item, Arrival):
                    futures.append(pool.submit(self._call, item))
                else:
                    item()
            return [future.result() for future in futures]

    def _call(self, arrival: Arrival) -> Result:
        began = time.monotonic()
        try:
            return self._stream(arrival, began)
        except urllib3.exceptions.HTTPError:
            return Result(arrival, 0, _MOST_MS, 0.0, 0, False, "unknown")

    def _stream(self, arrival: Arrival, began: float) -> Result:
        response = self._http.request(
            "POST",
            self._urls[arrival.entry % len(self._urls)]
            + "/v1/chat/completions",
            json={
                "model": arrival.model,
                "stream": True,
                "max_tokens": arrival.kind.answer_tokens,
                "messages": [{"role": "user", "content": arrival.prompt}],
            },
            headers=self._headers,
            preload_content=False,
        )
        if response.status != 200:
            executed = _executed(response.read())
            response.release_conn()
            return Result(
                arrival, response.status, _MOST_MS, 0.0, 0, False, executed
            )
        first = last = 0.0
        events = 0
        tail = b""
        while chunk := response.read1(65536):
            last = time.monotonic()
            first = first or last
            events += chunk.count(b"data: {")
            tail = (tail + chunk)[-20:]
        response.release_conn()
        tokens = max(1, events - 1)
        return Result(
            arrival,
            200,
            (first - began) * 1000,
            (last - first) * 1000 / max(1, tokens - 1),
            tokens,
            tail.endswith(b"[DONE]\n\n"),
            "yes",
        )


def _executed(body: bytes) -> str:
    try:
        return str(json.loads(body).get("executed", "unknown"))
    except ValueError:
        return "unknown"


def summary(results: list[Result], seconds: float) -> dict:
    """Returns the figures of the measured calls."""
    measured = [r for r in results if r.arrival.measured]
    by_kind = {}
    for name in sorted({r.arrival.kind.name for r in measured}):
        of_kind = [r for r in measured if r.arrival.kind.name == name]
        by_kind[name] = _figures(of_kind, seconds)
    return {"all": _figures(measured, seconds), **by_kind}


def _figures(results: list[Result], seconds: float) -> dict:
    first = histogram.HdrHistogram(1, _MOST_MS, 2)
    answered = [r for r in results if r.is_complete]
    for result in answered:
        first.record_value(max(1, int(result.first_token_ms)))
    meets_promise = sum(result.meets_promise for result in results)
    refused = sum(result.status in (429, 503) for result in results)
    return {
        "calls": len(results),
        "attained": round(meets_promise / max(1, len(results)), 4),
        "kept_per_s": round(meets_promise / seconds, 2),
        "answered": len(answered),
        "refused": refused,
        "failed": len(results) - len(answered) - refused,
        "first_ms_median": first.get_value_at_percentile(50),
        "first_ms_p95": first.get_value_at_percentile(95),
    }
