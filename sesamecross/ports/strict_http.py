"""Answers over HTTP that are whole, or none.

`http.client` takes the end of a connection for the end of a line, of a head, of
the trailers, and of a body whose length it then does not know. An upstream that
stops halfway would pass for one that answered. All adapters read through this
module, so that each such end is an error.
"""

import http.client
import io

import urllib3

# Informational heads before the answer. An upstream that sends more of them
# would hold the call for ever.
_MAX_INFORMATIONAL_HEADS = 16
_SWITCHED_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200


class _LineReader(io.BufferedReader):
    """Reads a connection; a line without its end is an error."""

    def readline(self, size: int | None = -1) -> bytes:
        """Returns a line, or as much of it as `size` bytes.

        Raises:
          http.client.RemoteDisconnected: The connection ended before its end.
        """
        line = super().readline(size)
        is_limited = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not is_limited:
            raise http.client.RemoteDisconnected("closed within a line")
        return line


class StrictResponse(http.client.HTTPResponse):
    """An answer whose head and framing are complete."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.fp = _LineReader(self.fp.detach())

    def begin(self) -> None:
        """Reads the head of the answer, past all informational ones.

        Raises:
          http.client.HTTPException: It is cut, or nothing but the end of the
            connection would end the body.
        """
        super().begin()
        if len(set(self.headers.get_all("content-length", ()))) > 1:
            raise http.client.HTTPException("answer with several lengths")
        if self.length is None and not self.chunked:
            raise http.client.HTTPException("answer without a length")

    def _read_status(self) -> tuple[str, int, str]:
        for _ in range(_MAX_INFORMATIONAL_HEADS):
            version, status, reason = super()._read_status()
            if status == _SWITCHED_PROTOCOLS:
                raise http.client.HTTPException("upstream switched protocols")
            if status >= _FIRST_FINAL_STATUS:
                return version, status, reason
            http.client.parse_headers(self.fp)
        raise http.client.HTTPException("too many informational heads")


class _Connection(urllib3.connection.HTTPConnection):
    response_class = StrictResponse


class _SecureConnection(urllib3.connection.HTTPSConnection):
    response_class = StrictResponse


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class _SecurePool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _SecureConnection


class StrictPoolManager(urllib3.PoolManager):
    """Connections whose answers are whole, or none."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.pool_classes_by_scheme = {"http": _Pool, "https": _SecurePool}
