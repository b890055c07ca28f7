"""Tests of which connection makes room at the limit of descriptors."""

import random

import pytest

from sesamecross.core import connection_limiter

Use = connection_limiter.Use
LIMIT = 4


class _Connection:
    def __init__(self) -> None:
        self.is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True


def filled(uses):
    limiter = connection_limiter.ConnectionLimiter(LIMIT)
    connections = [_Connection() for _ in uses]
    for one, use in zip(connections, uses, strict=True):
        assert limiter.admit(one)
        limiter.set_use(one, use)
    return limiter, connections


EVICTIONS = [
    ([Use.UNFINISHED] * 4, 0),
    ([Use.BUSY, Use.UNFINISHED, Use.IDLE, Use.UNFINISHED], 1),
    ([Use.IDLE, Use.UNFINISHED, Use.LINGERING, Use.BUSY], 2),
    ([Use.BUSY, Use.IDLE, Use.BUSY, Use.IDLE], 1),
]


@pytest.mark.parametrize(("uses", "expected"), EVICTIONS)
def test_the_least_useful_goes_and_not_the_newcomer(uses, expected):
    """Guards against silent connections that keep out requests."""
    limiter, connections = filled(uses)
    newcomer = _Connection()
    assert limiter.admit(newcomer)
    assert not newcomer.is_aborted
    aborted = [n for n, one in enumerate(connections) if one.is_aborted]
    assert aborted == [expected]


def test_requests_under_way_are_never_cut():
    """Guards against making room at the cost of a request."""
    limiter, connections = filled([Use.BUSY] * LIMIT)
    assert not limiter.admit(_Connection())
    assert not any(one.is_aborted for one in connections)


@pytest.mark.parametrize("seed", range(20))
def test_the_number_of_connections_is_bounded(seed):
    """Guards against books that differ from what is open."""
    rng = random.Random(seed)
    limiter = connection_limiter.ConnectionLimiter(LIMIT)
    opened = []
    for _ in range(500):
        alive = [one for one in opened if not one.is_aborted]
        assert len(alive) == limiter.count <= LIMIT
        match rng.randrange(3):
            case 0:
                one = _Connection()
                if limiter.admit(one):
                    opened.append(one)
            case 1 if alive:
                limiter.set_use(rng.choice(alive), rng.choice(list(Use)))
            case 2 if alive:
                one = rng.choice(alive)
                one.is_aborted = True
                limiter.remove(one)


@pytest.mark.parametrize("sockets", [1335, 3900, 7992])
def test_the_ports_leave_sockets_for_upstreams_and_the_store(sockets):
    """Guards against a process that can't reach out at its limit."""
    limits = connection_limiter.DescriptorLimits.from_sockets(sockets)
    ports = [limits.callers, limits.peers, limits.status, limits.status]
    taken = sum(one.connections + one.backlog for one in ports)
    assert taken < 0.9 * sockets
