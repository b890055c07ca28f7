"""Fake callers that send bodies of any size, at any pace, many at a time."""

import asyncio
from collections.abc import Iterable
import dataclasses

from sesamecross.fakes import platform_caller

# Only ends callers that hang.
HANG_TIMEOUT_S = 40.0
_WRITE_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Upload:
    """One request with a body.

    Attributes:
      size: Bytes of the body.
      is_chunked: Whether its length is not announced.
      piece_bytes: What is sent at a time, as one chunk if it is chunked.
      pause_s: Pause after each piece.
      stops_at: Bytes after which the caller sends no more; None for all.
      leaves: Whether the caller closes the connection where it stops.
    """

    size: int
    is_chunked: bool = False
    piece_bytes: int = 100_000
    pause_s: float = 0.0
    stops_at: int | None = None
    leaves: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller received.

    Attributes:
      status: 0 without a whole answer.
      retry_after_s: Of a refusal; None if it states none.
      took_s: From the connection's opening.
    """

    upload: Upload
    request_id: str
    status: int
    retry_after_s: float | None
    took_s: float


async def send_all(
    front: tuple[str, int], path: str, uploads: Iterable[Upload]
) -> list[Outcome]:
    """Sends requests at the same time, each on a connection of its own."""
    return await asyncio.gather(*(send(front, path, one) for one in uploads))


async def send(
    front: tuple[str, int],
    path: str,
    upload: Upload,
    deadline_ms: int = platform_caller.DEADLINE_MS,
) -> Outcome:
    """Sends a request, and reads the answer whenever it comes."""
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    request_id = platform_caller.request_id()
    status, headers = 0, {}
    try:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*front)
            writer.write(_head(path, request_id, upload, deadline_ms))
            sending = asyncio.create_task(_send_body(writer, upload))
            try:
                if upload.leaves:
                    await sending
                else:
                    status, headers = await _read_answer(reader)
            finally:
                sending.cancel()
                writer.transport.abort()
    except (OSError, EOFError):
        pass
    retry_after = headers.get("retry-after")
    return Outcome(
        upload,
        request_id,
        status,
        None if retry_after is None else float(retry_after),
        loop.time() - begun_s,
    )


def _head(
    path: str, request_id: str, upload: Upload, deadline_ms: int
) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {platform_caller.HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        "Transfer-Encoding: chunked"
        if upload.is_chunked
        else f"Content-Length: {upload.size}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def _send_body(writer: asyncio.StreamWriter, upload: Upload) -> None:
    left = upload.size if upload.stops_at is None else upload.stops_at
    # Many small pieces are written together.
    pieces = 1 if upload.pause_s else max(1, _WRITE_BYTES // upload.piece_bytes)
    try:
        while left:
            size = min(left, upload.piece_bytes)
            count = min(pieces, left // size)
            left -= count * size
            piece = b"x" * size
            if upload.is_chunked:
                piece = b"%x\r\n%s\r\n" % (size, piece)
            writer.write(piece * count)
            await writer.drain()
            if upload.pause_s:
                await asyncio.sleep(upload.pause_s)
        if upload.is_chunked and upload.stops_at is None:
            writer.write(b"0\r\n\r\n")
    except OSError:
        # The answer may still be read.
        return


async def _read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines if line)
    }
    await reader.readexactly(int(headers.get("content-length", "0")))
    return int(status_line.split(" ")[1]), headers
