"""Sends a view to the entry whenever its contents change.

The entry routes calls by its own copy of the view, so that it keeps serving
while the steward is down. The configuration tree is sent only when its version
has changed; reports are small.
"""

import asyncio
import dataclasses

from sesamecross.core import data
from sesamecross.core import messages
from sesamecross.ops import membership as membership_lib
from sesamecross.steward import engine_poller as engine_poller_lib
from sesamecross.steward import local_replica as local_replica_lib
from sesamecross.steward import log_reader
from sesamecross.steward import peer_links as peer_links_lib
from sesamecross.steward import server as server_lib
from sesamecross.transport import streams

CHECK_INTERVAL_S = 0.1


class ViewSender:
    """Component that keeps the entry's view up to date."""

    __slots__ = (
        "_replica",
        "_engine_poller",
        "_reader",
        "_server",
        "_membership",
        "_peer_links",
        "_view_number",
        "_last_version",
        "_last_view",
        "_last_inputs",
        "is_ready",
    )

    def __init__(
        self,
        replica: local_replica_lib.LocalReplica,
        engine_poller: engine_poller_lib.EnginePoller,
        reader: log_reader.LogReader,
        server: server_lib.Server,
        membership: membership_lib.Membership,
        peer_links: peer_links_lib.PeerLinks,
    ):
        self._membership = membership
        self._peer_links = peer_links
        self._replica = replica
        self._engine_poller = engine_poller
        self._reader = reader
        self._server = server
        self._view_number = 0
        self._last_version = -1
        self._last_view: data.View | None = None
        self._last_inputs: tuple = ()
        self.is_ready = False
        server.on_entry_connected = self._on_entry_connected

    @property
    def name(self) -> str:
        """The component's name in logs."""
        return "views"

    async def run(self) -> None:
        """Sends the view on each change until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._server.entry is not None and self.is_ready:
                await self._send_if_changed(self._server.entry)

    async def stop(self) -> None:
        """Does nothing: no work is open between views."""

    async def _on_entry_connected(
        self, _session: server_lib.EntrySession
    ) -> None:
        # A new entry has no view yet.
        self._last_version = -1
        self._last_view = None

    async def _send_if_changed(self, session: server_lib.EntrySession) -> None:
        config = self._replica.state.config.state
        inputs = (
            self._engine_poller.change_count,
            config.version,
            tuple(sorted(self._replica.state.draining)),
            self._reader.reachable,
            len(self._membership.believed_alive()),
            self._peer_links.entry_peers(),
        )
        if inputs == self._last_inputs and self._last_view is not None:
            # No input of the view has changed.
            return
        self._last_inputs = inputs
        tree = config.tree if config.version != self._last_version else None
        view = data.View(
            0,
            config.version,
            tree,
            tuple(self._engine_poller.reports()),
            *inputs[2:],
        )
        if view == self._last_view:
            return
        self._view_number += 1
        numbered = dataclasses.replace(view, number=self._view_number)
        try:
            await session.stream.send(messages.ViewUpdate(numbered))
        except streams.StreamClosedError:
            self._last_inputs = ()
            return
        self._last_version = config.version
        self._last_view = dataclasses.replace(view, tree=None)
