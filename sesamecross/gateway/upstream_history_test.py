"""Tests of reading which versions came and left."""

import asyncio

import msgspec
import pytest

from sesamecross.core import serving
from sesamecross.gateway import upstream_history
from sesamecross.ops.fleet import stream_origins
from sesamecross.ports import store

PAGE = 10


def entry(version: str) -> serving.Upstream:
    return serving.Upstream(
        "i", "s", "10.0.0.1:80", "z", 1, False, 1, version=version
    )


class _Log:
    """A log of entries, of which the store has forgotten the first ones."""

    def __init__(self, values, first: int = 0, answers: bool = True):
        self._values = values
        self._first = first
        self._answers = answers

    async def read(self, topic, offset, wait_s):
        if not self._answers:
            return store.Unknown("no answer")
        if offset < self._first:
            return store.Expired(self._first)
        page = self._values[offset : offset + PAGE]
        records = tuple(
            store.KeyedRecord("i", value, offset + number)
            for number, value in enumerate(page)
        )
        return store.Page(records, offset + len(page))


def decode(_key: str, value: bytes) -> serving.Upstream | None:
    return None if value == b"unreadable" else entry(value.decode())


HEARTBEATS = [b"v1"] * 25 + [b"v2", None, b"unreadable"] + [b"v1"] * 12
TOO_MANY = [b"v1"] * (PAGE * upstream_history.MAX_PAGES + 1)


@pytest.mark.parametrize(
    ("log", "offset", "versions", "is_complete"),
    [
        (_Log(HEARTBEATS), 0, {"v1", "v2"}, True),
        (_Log(HEARTBEATS), 25, {"v1", "v2"}, True),
        (_Log(HEARTBEATS), 26, {"v1"}, True),
        (_Log(HEARTBEATS), len(HEARTBEATS), set(), True),
        (_Log(HEARTBEATS), -1, set(), False),
        (_Log(HEARTBEATS, first=10), 9, set(), False),
        (_Log(TOO_MANY), 0, {"v1"}, False),
    ],
)
def test_versions_that_came_and_left_are_read(
    log, offset, versions, is_complete
):
    """Guards against a version that no list holds any more."""
    reader = upstream_history.UpstreamHistory(log, "t", decode)
    since = asyncio.run(reader.read(offset, len(log._values)))
    origins = {stream_origins.StreamOrigin("s", one) for one in versions}
    assert msgspec.structs.astuple(since) == (origins, is_complete)


def test_a_silent_store_is_no_empty_log():
    """Guards against records that are taken for complete unread."""
    reader = upstream_history.UpstreamHistory(
        _Log(HEARTBEATS, answers=False), "t", decode
    )
    assert asyncio.run(reader.read(0, 10)) is None
