"""Tests of the memory that requests which are not whole yet may hold."""

import random

import pytest

from sesamecross.ops.fleet import unfinished_requests

MEMORY = 10_000_000
LIMIT = int(MEMORY * unfinished_requests.MEMORY_SHARE)


class _Connection:
    def __init__(self) -> None:
        self.is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True


def test_the_one_that_is_unfinished_for_longest_goes():
    """Guards against a client that keeps its place by single bytes."""
    books = unfinished_requests.UnfinishedRequests(MEMORY)
    oldest, other = _Connection(), _Connection()
    books.record(oldest, LIMIT // 2)
    books.record(other, LIMIT // 2)
    books.record(oldest, LIMIT // 2 + 1)
    assert oldest.is_aborted
    assert not other.is_aborted


def test_one_that_holds_too_much_alone_goes():
    """Guards against a connection larger than the part for all."""
    books = unfinished_requests.UnfinishedRequests(MEMORY)
    one = _Connection()
    books.record(one, LIMIT + 1)
    assert one.is_aborted
    assert books.held_bytes == 0


@pytest.mark.parametrize("seed", range(10))
def test_what_is_held_is_bounded_and_given_back(seed):
    """Guards against books that grow or shrink by themselves."""
    rng = random.Random(seed)
    books = unfinished_requests.UnfinishedRequests(MEMORY)
    held = {}
    for _ in range(500):
        one = rng.choice([*held, _Connection()])
        held[one] = rng.choice([0, rng.randrange(LIMIT // 3)])
        books.record(one, held[one])
        held = {one: n for one, n in held.items() if n and not one.is_aborted}
        assert books.held_bytes == sum(held.values()) <= LIMIT
    for one in held:
        books.record(one, 0)
    assert books.held_bytes == 0
