"""A fault-injecting TCP proxy, configured through a control port.

Links are given as `NAME=LISTEN>TARGET`. The control port takes
`POST /fake/faults` with `{"link": NAME, ...}`; a link `*` means all.
"""

import asyncio
import dataclasses

from sesamecross.fakes import base

_CHUNK_BYTES = 65_536
_STALL_POLL_S = 0.05


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults of a link.

    Attributes:
      delay_ms: Added to each chunk, in both directions.
      cut_to_target: Drops all bytes towards the target, also those of new
        connections. cut_to_client: likewise towards the client.
      refuse: Resets new connections at once.
      stall: Relays nothing until the fault is cleared; no byte is lost.
      truncate_after: Bytes towards the client after which the connection
        is reset; 0 for never.
    """

    delay_ms: int = 0
    cut_to_target: bool = False
    cut_to_client: bool = False
    refuse: bool = False
    stall: bool = False
    truncate_after: int = 0


class Link:
    """One listening port and its target; a component of the supervisor."""

    def __init__(self, name: str, listen: str, target: str):
        self.faults = Faults()
        self.connections = 0
        self.bytes_relayed = 0
        self._name = name
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    @property
    def name(self) -> str:
        """The link's name."""
        return self._name

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(
            self._on_connect, host, int(port)
        )
        async with self._server:
            await self._server.serve_forever()

    async def stop(self) -> None:
        """Resets all connections."""
        self.reset()

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in list(self._open):
            writer.transport.abort()

    async def _on_connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        if self.faults.refuse:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._open |= writers
        try:
            await asyncio.gather(
                self._relay(reader, target_writer, to_target=True),
                self._relay(target_reader, writer, to_target=False),
            )
        except OSError:
            for one in writers:
                one.transport.abort()
        finally:
            self._open -= writers
            for one in writers:
                one.close()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        relayed = 0
        while chunk := await reader.read(_CHUNK_BYTES):
            if self.faults.delay_ms:
                await asyncio.sleep(self.faults.delay_ms / 1000)
            while self.faults.stall:
                await asyncio.sleep(_STALL_POLL_S)
            if self._is_cut(to_target):
                continue
            limit = self.faults.truncate_after
            if limit and not to_target and relayed + len(chunk) > limit:
                writer.write(chunk[: limit - relayed])
                await writer.drain()
                raise ConnectionAbortedError("truncated")
            writer.write(chunk)
            relayed += len(chunk)
            self.bytes_relayed += len(chunk)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    def _is_cut(self, to_target: bool) -> bool:
        if to_target:
            return self.faults.cut_to_target
        return self.faults.cut_to_client


class ProxyServer(base.FakeServer):
    """The control port and its links."""

    def __init__(self, name: str, listen: str, links: list[str]):
        super().__init__(name, listen, threads=8)
        self._links: dict[str, Link] = {}
        for text in links:
            link_name, _, rest = text.partition("=")
            link_listen, _, target = rest.partition(">")
            self._links[link_name] = Link(link_name, link_listen, target)
        self._loop: asyncio.AbstractEventLoop | None = None
        self.route("POST", "/fake/faults", self._set_faults)
        self.route("GET", "/fake/stats", self._get_stats)

    def components(self) -> list:
        """Returns the control port and all links."""
        self._loop = asyncio.get_running_loop()
        return [*super().components(), *self._links.values()]

    def _set_faults(self, request: base.Request) -> base.Response:
        faults = request.json()
        name = faults.pop("link")
        reset = faults.pop("reset", False)
        matching = [
            link
            for link_name, link in self._links.items()
            if name in ("*", link_name)
        ]
        for link in matching:
            link.faults = dataclasses.replace(link.faults, **faults)
            if reset:
                self._loop.call_soon_threadsafe(link.reset)
        return base.Response({"links": len(matching)})

    def _get_stats(self, _request: base.Request) -> base.Response:
        return base.Response(
            {
                name: {
                    "connections": link.connections,
                    "bytes": link.bytes_relayed,
                }
                for name, link in self._links.items()
            }
        )
