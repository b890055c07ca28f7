"""Hands views to the entry whenever something in them changed.

Why: the entry relays calls by a view that it holds itself, so that it goes
on serving while the steward is away. A configuration is sent only when it
changed; reports are small.
"""

import asyncio
import dataclasses

from sesamecross.core import data
from sesamecross.core import messages
from sesamecross.ops import membership as membership_lib
from sesamecross.steward import engine_poller as engine_poller_lib
from sesamecross.steward import local_replica as local_replica_lib
from sesamecross.steward import log_reader
from sesamecross.steward import server as server_lib
from sesamecross.transport import streams

PERIOD_S = 0.1


class ViewSender:
    """Component that keeps the entry's view current."""

    __slots__ = (
        "_replica",
        "_engine_poller",
        "_reader",
        "_server",
        "_membership",
        "_number",
        "_sent_version",
        "_sent",
        "_signs",
        "is_ready",
    )

    def __init__(
        self,
        replica: local_replica_lib.LocalReplica,
        engine_poller: engine_poller_lib.EnginePoller,
        reader: log_reader.LogReader,
        server: server_lib.Server,
        membership: membership_lib.Membership,
    ):
        self._membership = membership
        self._replica = replica
        self._engine_poller = engine_poller
        self._reader = reader
        self._server = server
        self._number = 0
        self._sent_version = -1
        self._sent: data.View | None = None
        self._signs: tuple = ()
        self.is_ready = False
        server.on_entry = self._on_entry

    @property
    def name(self) -> str:
        """The prefix of its logs."""
        return "views"

    async def run(self) -> None:
        """Sends changed views until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            if self._server.entry is not None and self.is_ready:
                await self._send_if_changed(self._server.entry)

    async def stop(self) -> None:
        """Nothing is open between views."""

    async def _on_entry(self, _session: server_lib.EntrySession) -> None:
        # A new entry knows nothing yet.
        self._sent_version = -1
        self._sent = None

    async def _send_if_changed(self, session: server_lib.EntrySession) -> None:
        config = self._replica.state.config.state
        signs = (
            self._engine_poller.change_count,
            config.version,
            tuple(sorted(self._replica.state.draining)),
            self._reader.reachable,
            len(self._membership.believed_alive()),
        )
        if signs == self._signs and self._sent is not None:
            # Nothing that a view is made of has changed.
            return
        self._signs = signs
        tree = config.tree if config.version != self._sent_version else None
        view = data.View(
            0,
            config.version,
            tree,
            tuple(self._engine_poller.reports()),
            *signs[2:],
        )
        if view == self._sent:
            return
        self._number += 1
        numbered = dataclasses.replace(view, number=self._number)
        try:
            await session.stream.send(messages.ViewUpdate(numbered))
        except streams.StreamClosedError:
            self._signs = ()
            return
        self._sent_version = config.version
        self._sent = dataclasses.replace(view, tree=None)
