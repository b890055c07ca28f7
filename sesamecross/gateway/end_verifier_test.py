"""Tests of how it is found out whether an upstream has ended."""

import asyncio
import dataclasses

import pytest

from sesamecross.fakes import virtual_time_loop
from sesamecross.gateway import end_verifier


@dataclasses.dataclass(slots=True)
class Entry:
    """What the verifier reads of an upstream's entry."""

    instance_id: str
    born_ms: int = 0


@dataclasses.dataclass(slots=True)
class Upstream:
    """An upstream that ends at some time after the connection broke."""

    entry: Entry
    ends_s: float

    async def has_ended(self) -> bool:
        return asyncio.get_running_loop().time() >= self.ends_s


class Connector:
    """Asks an upstream, which answers at once."""

    async def has_ended(self, upstream: Upstream, _born_ms: int) -> bool:
        return await upstream.has_ended()


def verify(
    ends_s: float, others_lost_s: list[float], other_request: bytes
) -> bool | None:
    """Returns whether an upstream that lost a request at 1 s has ended."""

    async def scenario() -> bool | None:
        await asyncio.sleep(1.0)
        verifier = end_verifier.EndVerifier(Connector())
        loop = asyncio.get_running_loop()
        first = Upstream(Entry("i-0"), ends_s)
        result = verifier.verify(first, loop.time(), b"first")
        for number, lost_s in enumerate(others_lost_s, 1):
            other = Upstream(Entry(f"i-{number}"), 100.0)
            loop.call_at(lost_s, verifier.verify, other, lost_s, other_request)
        return await result

    loop = virtual_time_loop.VirtualTimeLoop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


@pytest.mark.parametrize(
    "ends_s, others_lost_s, other_request, has_ended",
    [
        # It answers for a moment longer, and ends.
        (1.0, [], b"", True),
        (1.2, [], b"", True),
        (1.7, [], b"", False),
        # Connections of others broke at the same moment: a reset, after which
        # it ended for another reason.
        (1.2, [1.0], b"other", False),
        (1.2, [1.004], b"other", False),
        (1.2, [1.3], b"other", True),
        # The same request was repeated at once, and lost again.
        (1.2, [1.004], b"first", True),
        # Several end at the same moment.
        (1.0, [1.0], b"other", True),
    ],
)
def test_an_end_after_a_reset_is_not_put_down_to_its_requests(
    ends_s, others_lost_s, other_request, has_ended
):
    """Guards against withholding a request whose connection was reset."""
    assert verify(ends_s, others_lost_s, other_request) is has_ended
