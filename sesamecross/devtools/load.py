"""Open-loop load generator: sends a seeded mix of calls to entries.

Attainment has to be compared at equal load. So the schedule of arrivals is
made from the seed in advance and, like independent callers, does not wait for
answers.
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

_MAX_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallKind:
    """A class of calls in the mix.

    Attributes:
      share: Fraction of the arrivals.
      prefixes: Number of distinct prompt prefixes, which calls share.
      prefix_tokens: Length of a prefix.
      own_tokens: Length of the part of a prompt that no other call has.
      answer_tokens: Number of tokens to generate.
      first_token_ms: Limit on the time to the first token.
      between_tokens_ms: Limit on the mean time between tokens.
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
    """A period with a constant arrival rate, in calls per second."""

    seconds: float
    rate: float
    measured: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A scheduled call; `entry` is the index of the entry to call."""

    at_s: float
    kind: CallKind
    model: str
    prompt: str
    entry: int
    measured: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The outcome of a call.

    Attributes:
      status: HTTP status, or 0 if the connection failed or timed out.
      is_complete: Whether the stream ended with its end marker.
      executed: Whether the call ran: "yes", "no" or "unknown".
    """

    arrival: Arrival
    status: int
    first_token_ms: float
    between_tokens_ms: float
    tokens: int
    is_complete: bool
    executed: str

    @property
    def meets_promise(self) -> bool:
        """Whether the latency promise of its kind was kept."""
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
    """Returns all arrivals; equal arguments give an equal schedule."""
    rng = random.Random(seed)
    entry_indexes = itertools.cycle(range(entries))
    arrivals = []
    start = 0.0
    for phase in phases:
        arrival_s = start
        while True:
            arrival_s += rng.expovariate(phase.rate)
            if arrival_s >= start + phase.seconds:
                break
            kind = rng.choices(kinds, [k.share for k in kinds])[0]
            arrivals.append(
                Arrival(
                    arrival_s,
                    kind,
                    _choose_skewed(rng, kind.models),
                    _make_prompt(rng, kind, seed),
                    next(entry_indexes),
                    phase.measured,
                )
            )
        start += phase.seconds
    return arrivals


def _choose_skewed(rng: random.Random, names: tuple[str, ...]) -> str:
    weights = [1 / (rank + 1) for rank in range(len(names))]
    return rng.choices(names, weights)[0]


def _make_prompt(rng: random.Random, kind: CallKind, seed: int) -> str:
    prefix = rng.randrange(kind.prefixes)
    shared = f"{kind.name} {seed} {prefix} ".ljust(16, ".")
    own = f"{rng.random():.12f} "
    return shared * (kind.prefix_tokens * 4 // 16) + own * (
        kind.own_tokens * 4 // len(own)
    )


class LoadGenerator:
    """Sends a schedule of calls to entries and collects the outcomes."""

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
        """Sends all arrivals at their times; returns their results.

        Args:
          arrivals: The schedule.
          events: Functions to call, with seconds since the start.
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
                    futures.append(pool.submit(self._send_call, item))
                else:
                    item()
            return [future.result() for future in futures]

    def _send_call(self, arrival: Arrival) -> Result:
        began = time.monotonic()
        try:
            return self._read_stream(arrival, began)
        except urllib3.exceptions.HTTPError:
            return Result(arrival, 0, _MAX_MS, 0.0, 0, False, "unknown")

    def _read_stream(self, arrival: Arrival, began: float) -> Result:
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
            executed = _executed_field(response.read())
            response.release_conn()
            return Result(
                arrival, response.status, _MAX_MS, 0.0, 0, False, executed
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


def _executed_field(body: bytes) -> str:
    try:
        return str(json.loads(body).get("executed", "unknown"))
    except ValueError:
        return "unknown"


def summary(results: list[Result], seconds: float) -> dict:
    """Returns the figures of the measured calls: of all, and by kind."""
    measured = [r for r in results if r.arrival.measured]
    by_kind = {}
    for name in sorted({r.arrival.kind.name for r in measured}):
        of_kind = [r for r in measured if r.arrival.kind.name == name]
        by_kind[name] = _figures(of_kind, seconds)
    return {"all": _figures(measured, seconds), **by_kind}


def _figures(results: list[Result], seconds: float) -> dict:
    first = histogram.HdrHistogram(1, _MAX_MS, 2)
    answered = [r for r in results if r.is_complete]
    for result in answered:
        first.record_value(max(1, int(result.first_token_ms)))
    kept_count = sum(result.meets_promise for result in results)
    refused = sum(result.status in (429, 503) for result in results)
    return {
        "calls": len(results),
        "attained": round(kept_count / max(1, len(results)), 4),
        "kept_per_s": round(kept_count / seconds, 2),
        "answered": len(answered),
        "refused": refused,
        "failed": len(results) - len(answered) - refused,
        "first_ms_median": first.get_value_at_percentile(50),
        "first_ms_p95": first.get_value_at_percentile(95),
    }
