"""Tests of pacing: the order of turns, the rate, and early refusals."""

import collections

import pytest

from sesamecross.ops.fleet import pacer as pacer_lib

BURST = int(pacer_lib.BURST_TOKENS)


EMPTY_BATCH = pacer_lib.Batch(0, 64)


def key(number: int) -> pacer_lib.Key:
    return ("instance", number)


def simulate(pacer, requests, until_s, step_s=0.002, read_s=0.05, runs_s=0.0):
    """Simulates requests; returns when each was granted and when refused.

    Args:
      pacer: The pacer.
      requests: Arrival, tokens, time to spare and waiting limit of each.
      until_s: Duration of the simulation.
      step_s: Interval between two checks.
      read_s: Time until a granted prompt is prefilled.
      runs_s: How long a stream then takes a slot in a batch of 64.
    """
    granted, refused, prefilling = {}, {}, []
    queue = list(enumerate(requests))
    now_s = 0.0

    def batch():
        ends = [at_s + read_s + runs_s for at_s in granted.values()]
        running = sum(1 for at_s in ends if at_s > now_s) if runs_s else 0
        return pacer_lib.Batch(running, 64)

    while now_s < until_s:
        decisions = [pacer.grant(batch(), now_s)]
        while queue and queue[0][1][0] <= now_s:
            number, (at_s, tokens, spare_s, wait_limit_s) = queue.pop(0)
            decisions.append(
                pacer.request(
                    key(number),
                    tokens,
                    at_s + spare_s,
                    at_s + wait_limit_s,
                    batch(),
                    now_s,
                )
            )
        for decision in decisions:
            for granted_key in decision.granted:
                granted[granted_key[1]] = now_s
                prefilling.append((now_s + read_s, granted_key))
            for granted_key in decision.refused:
                refused[granted_key[1]] = now_s
        for at_s, granted_key in [r for r in prefilling if r[0] <= now_s]:
            pacer.release(granted_key)
            prefilling.remove((at_s, granted_key))
        now_s += step_s
    return granted, refused


def test_a_burst_is_spread_at_the_rate():
    granted, refused = simulate(
        pacer_lib.Pacer(), [(0.0, BURST, 1.0, 2.0)] * 10, until_s=2.0
    )
    assert not refused
    assert len(granted) == 10
    took_s = max(granted.values())
    assert took_s == pytest.approx(
        9 * BURST / pacer_lib.PREFILL_TOKENS_PER_S, rel=0.25
    )


def test_earliest_due_goes_first_and_late_ones_go_last():
    pacer = pacer_lib.Pacer()
    pacer.request(key(0), BURST, 1.0, 2.0, EMPTY_BATCH, 0.0)
    pacer.request(key(1), BURST, 0.9, 2.0, EMPTY_BATCH, 0.0)
    pacer.request(key(2), BURST, 0.3, 2.0, EMPTY_BATCH, 0.0)
    pacer.request(key(3), BURST, -0.1, 2.0, EMPTY_BATCH, 0.0)
    order = []
    for step in range(100):
        order += pacer.grant(EMPTY_BATCH, step * 0.01).granted
        pacer.release(order[-1]) if order else None
    assert [number for _, number in order] == [2, 1, 3]


def test_a_request_whose_grant_was_lost_is_granted_again():
    pacer = pacer_lib.Pacer()
    assert pacer.request(key(0), 100, 1.0, 2.0, EMPTY_BATCH, 0.0).granted == (
        key(0),
    )
    assert pacer.request(key(0), 100, 1.0, 2.0, EMPTY_BATCH, 0.1).granted == (
        key(0),
    )


def test_under_overload_requests_that_cannot_be_on_time_are_refused_early():
    """Guards against holding callers for 1.7 s before a refusal.

    An engine got twice as many prompts as it can prefill. A late request queued
    behind all that were not late, of which there were always more, and was
    refused only when its caller was about to leave.
    """
    interval_s = BURST / pacer_lib.PREFILL_TOKENS_PER_S / 2
    requests = [(n * interval_s, BURST, 0.4, 1.7) for n in range(400)]
    granted, refused = simulate(
        pacer_lib.Pacer(), requests, until_s=400 * interval_s
    )
    waited_s = [refused[n] - requests[n][0] for n in refused]
    assert len(refused) > 120
    assert max(waited_s) < 0.6
    # No refusal is unnecessary: the engine prefills at its full rate.
    capacity = 400 * interval_s * pacer_lib.PREFILL_TOKENS_PER_S / BURST
    assert len(granted) > 0.9 * capacity
    on_time = [n for n in granted if granted[n] - requests[n][0] <= 0.4]
    assert len(on_time) > 0.8 * len(granted)


def test_a_short_burst_makes_some_late_and_refuses_none():
    """A burst of 1 s of prefill: the last requests are late but served."""
    count = int(pacer_lib.PREFILL_TOKENS_PER_S / BURST)
    requests = [(0.0, BURST, 0.4, 1.7)] * count
    granted, refused = simulate(pacer_lib.Pacer(), requests, until_s=3.0)
    assert not refused
    assert len(granted) == count


def test_a_nearly_full_batch_admits_no_more_until_streams_end():
    """Guards against streams of 1.5 s that take 9 s and miss their deadlines.

    A busy model had one engine. Prompts arrived below its prefill rate, but
    each brought a stream of 2 s; the batch filled up, steps grew longer, and
    all 64 streams in it were late, as were those that joined them.
    """
    requests = [(n * 0.03, 600, 0.4, 1.7) for n in range(400)]
    granted, refused = simulate(
        pacer_lib.Pacer(), requests, until_s=12.0, step_s=0.01, runs_s=2.0
    )
    limit = pacer_lib.MAX_STREAMS
    for at_s in granted.values():
        concurrent = [
            sent_s for sent_s in granted.values() if at_s - 2.0 < sent_s <= at_s
        ]
        assert len(concurrent) <= limit + 1
    # It stays full, and requests without a slot in it are refused early.
    assert len(granted) > 0.85 * limit * 12.0 / 2.05
    late_s = [refused[n] - requests[n][0] for n in refused if n > 200]
    assert late_s
    assert max(late_s) < 0.6


@pytest.mark.parametrize(
    "tokens",
    [
        pytest.param(BURST, id="ordinary prompts"),
        pytest.param(4 * BURST, id="large prompts"),
    ],
)
def test_under_lasting_overload_callers_that_are_always_late_are_served(
    tokens,
):
    """Guards against starvation: a late prompt yielded to all later ones.

    Others ask for twice what the engine reads. Each second one caller asks who
    can't be on time even if the prompt is sent at once.
    """
    interval_s = BURST / pacer_lib.PREFILL_TOKENS_PER_S / 2
    others = [(n * interval_s, BURST, 0.4, 1.7) for n in range(600)]
    late = [(second + 0.5, tokens, -0.1, 1.7) for second in range(16)]
    requests = sorted(others + late)
    granted, refused = simulate(
        pacer_lib.Pacer(), requests, until_s=600 * interval_s + 2.0
    )
    served = [n for n, one in enumerate(requests) if one in late]
    assert set(served) <= set(granted)
    assert len(granted) + len(refused) == len(requests)


def test_an_engine_whose_callers_are_all_late_is_used_at_its_full_rate():
    """Guards against refusals while an engine has nothing else to read."""
    interval_s = BURST / pacer_lib.PREFILL_TOKENS_PER_S / 2
    requests = [(n * interval_s, BURST, -0.1, 1.7) for n in range(400)]
    granted, refused = simulate(
        pacer_lib.Pacer(), requests, until_s=400 * interval_s + 2.0
    )
    waited_s = [granted[n] - requests[n][0] for n in granted]
    assert len(granted) > 0.9 * len(requests) / 2
    assert max(waited_s) <= 1.7
    at_once = [n for n in refused if refused[n] - requests[n][0] < 0.1]
    assert len(at_once) > 0.9 * len(refused)


def test_each_request_that_waits_is_decided_within_its_patience():
    """Guards against requests dropped unanswered, whose callers wait on."""
    pacer = pacer_lib.Pacer()
    full = pacer_lib.Batch(64, 64)
    patience_s = 5.7
    pacer.request(key(0), BURST, patience_s, patience_s, full, 0.0)
    decided = [
        step * 0.01
        for step in range(600)
        for refused in [pacer.grant(full, step * 0.01).refused]
        if refused == (key(0),)
    ]
    assert decided == [pytest.approx(patience_s, abs=0.02)]


def simulate_engine(pacer, read_tokens_per_s, requests, until_s):
    """Simulates an engine that reads one prompt after the other.

    Args:
      pacer: Its pacer.
      read_tokens_per_s: The engine's speed.
      requests: As those of `simulate`.
      until_s: Duration of the simulation.

    Returns:
      When each request was sent, read and refused, by its number.
    """
    sent, read, refused = {}, {}, {}
    ends = collections.deque()
    busy_until_s = 0.0
    queue = collections.deque(enumerate(requests))
    for step in range(int(until_s / 0.005)):
        now_s = step * 0.005
        decisions = [pacer.grant(EMPTY_BATCH, now_s)]
        while queue and queue[0][1][0] <= now_s:
            number, (at_s, tokens, spare_s, wait_limit_s) = queue.popleft()
            decisions.append(
                pacer.request(
                    key(number),
                    tokens,
                    at_s + spare_s,
                    at_s + wait_limit_s,
                    EMPTY_BATCH,
                    now_s,
                )
            )
        for decision in decisions:
            for _, number in decision.granted:
                sent[number] = now_s
                took_s = requests[number][1] / read_tokens_per_s
                busy_until_s = max(busy_until_s, now_s + 0.01) + took_s
                ends.append((busy_until_s, number))
            for _, number in decision.refused:
                refused[number] = now_s
        while ends and ends[0][0] <= now_s:
            read_s, number = ends.popleft()
            read[number] = read_s
            pacer.release(key(number))
    return sent, read, refused


@pytest.mark.parametrize("read_tokens_per_s", [6_000, 10_000, 20_000])
def test_few_prompts_are_sent_to_a_slow_engine_in_vain(read_tokens_per_s):
    """Guards against callers held for a turn that they then leave in.

    The engine is slower than those of the first deployments, and twice as much
    is asked as it reads. A caller leaves 0.3 s after the last time at which its
    prompt may be sent.
    """
    tokens = 1_900
    interval_s = tokens / read_tokens_per_s / 2
    requests = [
        (number * interval_s, tokens, 0.3, 2.1)
        for number in range(int(20 / interval_s))
    ]
    sent, read, refused = simulate_engine(
        pacer_lib.Pacer(), read_tokens_per_s, requests, 20.0
    )
    late = [n for n in sent if read.get(n, 20.0) > requests[n][0] + 2.4]
    assert len(late) < 0.1 * len(sent)
    # Who is refused learns that early.
    held_s = sorted(refused[n] - requests[n][0] for n in refused)
    assert held_s[int(0.9 * len(held_s))] < 0.6
    assert len(read) > 0.85 * 20.0 * read_tokens_per_s / tokens
