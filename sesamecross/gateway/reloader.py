"""Takes changed settings in while the gateway runs.

Why: operators change a settings file and send SIGHUP, or only change it. A
process that ends by either cuts off all streams that it relays, and so does
one that binds its addresses anew. So what can change in place does, and what
can't is logged: it holds from the next start.

A file is read while it is written. Cut at the end of a line it may be whole
for a parser, and defaults would replace what the operators set further down.
So a text is taken in once two looks, a little apart, have found the same.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from returns.result import Failure
from returns.result import Result

from sesamecross.core import errors
from sesamecross.core import serving
from sesamecross.gateway import state as state_lib
from sesamecross.runtime import logs

# How often the file is looked at without a signal. Reading and decoding it
# takes under a millisecond.
EVERY_S = 2.0
# Two looks this far apart that find the same: the file is written. Writing a
# few kilobytes takes milliseconds; the longest bound on taking changes in is
# some seconds.
SETTLE_S = 0.25

_Found = Result[bytes, errors.Problem]


class SettingsSource(Protocol):
    """Where settings come from, and how they are read."""

    def read(self) -> Result[bytes, errors.Problem]:
        """Returns what the file holds now."""

    def decode(self, data: bytes) -> Result[serving.Instance, errors.Problem]:
        """Returns the settings in `data`, or what is wrong with them."""


class Reloader:
    """Component that keeps the settings in force up to date."""

    is_vital = False
    is_helper = True
    name = "reloader"

    def __init__(
        self,
        state: state_lib.State,
        source: SettingsSource,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ):
        self._state = state
        self._source = source
        self._sleep = sleep
        self._wake = asyncio.Event()
        self._log = logs.part("settings")
        # What was complained about last, to say it once.
        self._refused = ""
        # What the file held when its settings were last taken in.
        self._taken: _Found | None = None

    def reload(self) -> None:
        """Looks at the settings now."""
        self._wake.set()

    async def run(self) -> None:
        """Looks at once, and then now and then, for ever."""
        # The file may have changed since the start read it, when nobody took
        # a signal yet.
        is_asked = False
        while True:
            await self._look(is_asked)
            is_asked = True
            try:
                async with asyncio.timeout(EVERY_S):
                    await self._wake.wait()
            except TimeoutError:
                is_asked = False
            self._wake.clear()

    async def stop(self) -> None:
        """Nothing to finish."""

    async def _look(self, is_asked: bool) -> None:
        found = self._source.read()
        if found == self._taken:
            self._refused = ""
            if is_asked:
                self._log.info("reloaded, nothing changed")
            return
        found = await self._settled(found)
        loaded = found.bind(self._source.decode)
        if isinstance(loaded, Failure):
            reason = str(loaded.failure())
            if is_asked or reason != self._refused:
                self._log.error("not taken, the old ones stay", why=reason)
            self._refused = reason
            return
        self._refused = ""
        self._taken = found
        changed = self._state.apply_settings(loaded.unwrap())
        if is_asked or changed.in_force or changed.from_next_start:
            self._log.info(
                "reloaded",
                in_force=sorted(changed.in_force),
                from_next_start=sorted(changed.from_next_start),
            )

    async def _settled(self, found: _Found) -> _Found:
        """Returns what the file holds once it no longer changes."""
        while True:
            await self._sleep(SETTLE_S)
            again = self._source.read()
            if again == found:
                return again
            found = again
