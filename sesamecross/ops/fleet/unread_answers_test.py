"""Tests of the bound on what callers leave unread."""

import pytest

from sesamecross.ops.fleet import unread_answers

MEMORY = 1_000_000
LIMIT = int(MEMORY * unread_answers.MEMORY_SHARE)


class _Connection:
    def __init__(self) -> None:
        self.is_cut = False

    def abort(self) -> None:
        self.is_cut = True


@pytest.mark.parametrize(
    ("sizes", "cut"),
    [
        ([LIMIT], [False]),
        ([LIMIT + 1], [True]),
        ([LIMIT // 2] * 3, [True, False, False]),
        ([10, LIMIT, LIMIT // 2], [True, True, False]),
    ],
)
def test_who_is_behind_for_longest_is_cut(sizes, cut):
    """Guards against unread answers that fill the memory."""
    books = unread_answers.UnreadAnswers(MEMORY)
    connections = [_Connection() for _ in sizes]
    for connection, size in zip(connections, sizes, strict=True):
        books.record(connection, size)
    assert [one.is_cut for one in connections] == cut
    assert books.cut == sum(cut)
    kept = [s for s, is_cut in zip(sizes, cut, strict=True) if not is_cut]
    assert books.held_bytes == sum(kept)


def test_who_has_caught_up_is_not_counted():
    books = unread_answers.UnreadAnswers(MEMORY)
    one = _Connection()
    for _ in range(5):
        books.record(one, LIMIT)
        books.forget(one)
    books.forget(one)
    assert books.held_bytes == books.cut == 0
    books.record(one, 5)
    books.record(one, 7)
    assert books.held_bytes == 7
