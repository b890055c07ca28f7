"""Property of the gateway: each request gets one answer of its own, or none.

An upstream may send anything. What a strict caller reads of it is at most one
answer to each request, with the whole body that the upstream sent for this
request; or it visibly does not end.
"""

import asyncio
from collections.abc import Sequence
import dataclasses
import http.client

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from sesamecross.fakes import scripted_gateway
from sesamecross.fakes import strict_response

# Ends a test that hangs; no example waits.
TEST_TIMEOUT_S = 20.0
# The placeholders are as long as the ids that they stand for.
PLAIN = (b"{id}", b" 0123456789 ", b"end")
STREAM = tuple(b"id: %d\ndata: {id}\n\n" % number for number in (1, 2, 3))
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
SIGNATURE = b"Response-Signature: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
NOISE = (
    b"Connection: close\r\n",
    b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n",
    b"Keep-Alive: timeout=3\r\n",
    b"Trailer: X-Sum\r\n",
    b"TE: trailers\r\n",
    b"Upgrade: h2c\r\n",
    b"Proxy-Connection: keep-alive\r\n",
)
INTERIM = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nRequest-Id: {id}\r\nLink: x\r\n\r\n",
)
BODYLESS = (204, 304)


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """One request of a caller."""

    method: str
    route: str


def chunks(pieces: Sequence[bytes]) -> bytes:
    encoded = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
    return b"".join(encoded) + b"0\r\n"


@st.composite
def answers(draw, name: bytes = b"{id}") -> tuple[bytes, bool]:
    """Draws what an upstream sends as one answer to the request `name`.

    Returns:
      Its bytes, and whether it ends with the connection.
    """
    status = draw(st.sampled_from((200, 200, 200, 204, 304, 404, 500, 503)))
    is_stream = draw(st.booleans())
    pieces = [
        piece.replace(b"{id}", name)
        for piece in (STREAM if is_stream else PLAIN)
    ]
    body = b"".join(pieces)
    length = b"Content-Length: %d\r\n" % len(body)
    chunked = chunks(draw(st.sampled_from((pieces, [body]))))
    trailer = draw(st.sampled_from((b"", b"X-Sum: 1\r\n")))
    framing, sent = draw(
        st.sampled_from(
            (
                (length, body),
                (CHUNKED, chunked + trailer + b"\r\n"),
                (CHUNKED * 2, chunked + b"\r\n"),
                (length + CHUNKED, chunked + b"\r\n"),
                (length * 2, body),
                (
                    b"Transfer-Encoding: gzip, chunked\r\n",
                    chunks([b"coded"]) + b"\r\n",
                ),
                (b"", body),
            )
        )
    )
    if status in BODYLESS:
        sent = draw(st.sampled_from((b"", sent)))
    lines = [
        framing,
        *draw(st.lists(st.sampled_from(NOISE), max_size=2, unique=True)),
    ]
    if draw(st.integers(0, 9)):
        lines.append(b"Request-Id: " + name + b"\r\n")
    if draw(st.integers(0, 9)):
        lines.append(SIGNATURE)
    if is_stream:
        lines.append(EVENT_STREAM)
    if status == 503 and draw(st.booleans()):
        lines.append(b"Not-Executed: 1\r\n")
    head = b"HTTP/1.1 %d Status\r\n" % status
    head += b"".join(draw(st.permutations(lines))) + b"\r\n"
    return head + sent, not framing and status not in BODYLESS


@st.composite
def scripts(draw) -> scripted_gateway.Script:
    """Draws what an upstream sends after one request, and how it arrives."""
    before = draw(st.lists(st.sampled_from(INTERIM), max_size=2))
    if not draw(st.integers(0, 2)):
        before.insert(0, draw(answers(b"{be}"))[0])
    answer, ends_by_close = draw(answers())
    is_cut = not draw(st.integers(0, 3))
    if is_cut:
        # Mostly in the body.
        left_out = draw(st.integers(1, 30) | st.integers(1, len(answer)))
        answer = answer[:-left_out]
    elif not ends_by_close:
        answer += draw(st.sampled_from((b"", b"", b"????", b"\r\n", answer)))
    # An early end of a body without framing can't be told from its end.
    may_end = not (is_cut and ends_by_close)
    return scripted_gateway.Script(
        b"".join(before) + answer,
        ends=may_end and draw(st.booleans()),
        size=draw(st.sampled_from((1, 3, 50, 10_000))),
    )


@st.composite
def valid_scripts(draw, ask: Ask) -> tuple[scripted_gateway.Script, int]:
    """Draws a valid answer, what may stand around it, and its status."""
    status = draw(st.sampled_from((200, 204, 304, 404)))
    is_stream = draw(st.booleans())
    pieces = STREAM if is_stream else PLAIN
    body = b"".join(pieces)
    framing, sent = draw(
        st.sampled_from(
            (
                (b"Content-Length: %d\r\n" % len(body), body),
                (CHUNKED, chunks(pieces) + b"X-Sum: 1\r\n\r\n"),
            )
        )
    )
    if ask.method == "HEAD" or status in BODYLESS:
        sent = b""
    lines = [framing, SIGNATURE, b"Request-Id: {id}\r\n"]
    lines += draw(st.lists(st.sampled_from(NOISE), max_size=2, unique=True))
    if is_stream:
        lines.append(EVENT_STREAM)
    answer = b"HTTP/1.1 %d Status\r\n" % status
    answer += b"".join(draw(st.permutations(lines))) + b"\r\n" + sent
    interim = b"".join(draw(st.lists(st.sampled_from(INTERIM), max_size=2)))
    after = draw(st.sampled_from((b"", b"????", b"\r\n", answer)))
    return scripted_gateway.Script(
        interim + answer + after,
        ends=draw(st.booleans()),
        size=draw(st.sampled_from((1, 3, 50, 10_000))),
    ), status


def read(received: bytes, method: str) -> strict_response.Answer | None:
    """Returns the answer that a caller reads; None if it has no end."""
    try:
        return strict_response.parse(received, method)
    except http.client.HTTPException:
        return None


def check(answer: strict_response.Answer, ask: Ask, request_id: bytes) -> None:
    """Checks that an answer is the request's own and whole."""
    names = [name for name, _ in answer.headers]
    assert "x-hop" not in names
    assert "upgrade" not in names
    if "response-signature" not in names and not answer.body:
        # The gateway's own.
        return
    has_body = ask.method != "HEAD" and answer.status not in BODYLESS
    whole = [
        b"".join(pieces).replace(b"{id}", request_id) if has_body else b""
        for pieces in (PLAIN, STREAM)
    ]
    assert answer.body in whole


async def play(asks: list[Ask], sent: list[scripted_gateway.Script]) -> None:
    gateway = scripted_gateway.ScriptedGateway(sent)
    caller = gateway.caller()
    for number, ask in enumerate(asks):
        request_id = f"q{number:03}"
        received = await caller.ask(ask.method, ask.route, request_id)
        answer = read(received, ask.method)
        if answer is None:
            break
        check(answer, ask, request_id.encode())
        if caller.is_closed:
            break
    caller.leave()
    await gateway.settle()


ASKS = st.builds(
    Ask,
    st.sampled_from(("POST", "POST", "GET", "HEAD")),
    st.sampled_from(scripted_gateway.ROUTES),
)


@given(
    asks=st.lists(ASKS, min_size=1, max_size=4),
    sent=st.lists(scripts(), min_size=4, max_size=8),
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_each_request_gets_one_whole_answer_of_its_own_or_no_end(asks, sent):
    """Guards against answers that are no HTTP, half ones, and others'."""

    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await play(asks, sent)

    asyncio.run(bounded())


@given(data=st.data(), asks=st.lists(ASKS, min_size=1, max_size=3))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_a_valid_answer_reaches_its_caller(data, asks):
    """Guards against whole answers that are lost to what stands around them."""
    drawn = [data.draw(valid_scripts(ask)) for ask in asks]

    async def scenario() -> None:
        gateway = scripted_gateway.ScriptedGateway([one for one, _ in drawn])
        caller = gateway.caller()
        for number, (ask, (_, status)) in enumerate(
            zip(asks, drawn, strict=True)
        ):
            request_id = f"q{number:03}"
            received = await caller.ask(ask.method, ask.route, request_id)
            answer = strict_response.parse(received, ask.method)
            assert answer.status == status
            check(answer, ask, request_id.encode())
        caller.leave()

    asyncio.run(scenario())
