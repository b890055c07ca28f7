"""Tests of the heads of upstreams' responses."""

import pytest

from sesamecross.platform import headers


@pytest.mark.parametrize(
    ("lines", "limit"),
    [
        ([], None),
        ([(b"server-brittle", b"4")], 4),
        ([(b"server-brittle", b" 12 ")], 12),
        # A limit that can't be read is still one.
        ([(b"server-brittle", b"many")], 0),
        ([(b"server-brittle", b"")], 0),
    ],
)
def test_the_limit_on_rejections_is_read_from_any_response(lines, limit):
    for status in (200, 421, 500, 503):
        head = headers.parse_response_head(status, lines)
        assert head.rejection_limit == limit
