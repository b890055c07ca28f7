"""Applies changed settings while the gateway runs.

Operators edit a settings file, with or without sending SIGHUP. A restart would
cut all streams that the process relays, and so would binding its addresses
again. Settings that can change in place are applied; the others are logged and
take effect at the next start.

The file may be read while it is being written. Text cut at the end of a line
can still be valid for the parser, and defaults would replace the settings that
follow the cut. So text is applied only once two successive reads return the
same.
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

# How often the file is read without a signal. Reading and decoding it takes
# less than a millisecond.
POLL_INTERVAL_S = 2.0
# Two reads this far apart that return the same text show that the file is
# complete. Writing a few kilobytes takes milliseconds; the longest bound on
# applying changes is several seconds.
SETTLE_DELAY_S = 0.25

_ReadResult = Result[bytes, errors.Problem]


class SettingsSource(Protocol):
    """Reads and decodes settings."""

    def read(self) -> Result[bytes, errors.Problem]:
        """Returns the file's current content."""

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
        self._log = logs.get_logger("settings")
        # The last error that was logged, so that it is logged once.
        self._last_error = ""
        # The content whose settings were last applied.
        self._last_read: _ReadResult | None = None

    def reload(self) -> None:
        """Triggers an immediate check of the settings."""
        self._wake.set()

    async def run(self) -> None:
        """Checks the settings at once, then periodically."""
        # The file may have changed after it was read at the start and before
        # the signal handler was installed.
        is_requested = False
        while True:
            await self._check(is_requested)
            is_requested = True
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                is_requested = False
            self._wake.clear()

    async def stop(self) -> None:
        """Does nothing: there is no state to flush or close."""

    async def _check(self, is_requested: bool) -> None:
        content = self._source.read()
        if content == self._last_read:
            self._last_error = ""
            if is_requested:
                self._log.info("reloaded, nothing changed")
            return
        content = await self._read_until_stable(content)
        loaded = content.bind(self._source.decode)
        if isinstance(loaded, Failure):
            reason = str(loaded.failure())
            if is_requested or reason != self._last_error:
                self._log.error("not taken, the old ones stay", why=reason)
            self._last_error = reason
            return
        self._last_error = ""
        self._last_read = content
        changed = self._state.apply_settings(loaded.unwrap())
        if is_requested or changed.in_force or changed.from_next_start:
            self._log.info(
                "reloaded",
                in_force=sorted(changed.in_force),
                from_next_start=sorted(changed.from_next_start),
            )

    async def _read_until_stable(self, content: _ReadResult) -> _ReadResult:
        """Returns the content once two successive reads agree."""
        while True:
            await self._sleep(SETTLE_DELAY_S)
            reread = self._source.read()
            if reread == content:
                return reread
            content = reread
