"""Claims calls on the log for the entry, and settles them.

Why: a claim counts only when it is read back from the log as the first of
its name. If nobody waits for the verdict any more, the call was not
dispatched, and the claim is settled as not executed so that the caller may
send it again.
"""

import asyncio
import dataclasses

from sesamecross.core import data
from sesamecross.core import records
from sesamecross.ops import claims
from sesamecross.ops import timeline
from sesamecross.runtime import logs
from sesamecross.steward import hub as hub_lib
from sesamecross.steward import log_reader
from sesamecross.steward import log_writer

CLAIM_WAIT_S = 3.0


class ClaimsDesk:
    """Answers the entry's requests about claims."""

    __slots__ = ("_me", "_hub", "_reader", "_writer", "_recorder", "_logger")

    def __init__(
        self,
        me: data.Incarnation,
        hub: hub_lib.Hub,
        reader: log_reader.LogReader,
        writer: log_writer.LogWriter,
        recorder: timeline.Recorder,
    ):
        self._me = me
        self._hub = hub
        self._reader = reader
        self._writer = writer
        self._recorder = recorder
        self._logger = logs.part("claims")

    async def claim(
        self, record: records.ClaimMade
    ) -> data.ClaimVerdict | None:
        """Returns the verdict, or None where there is none to be had."""
        record = dataclasses.replace(record, holder=self._me)
        known = claims.look_up(self._hub.state.claims, record)
        if known.claim_id != record.claim_id:
            # Already decided on the log: no append is needed to say so.
            return known
        if not (self._writer.reachable and self._reader.reachable):
            return None
        future = self._hub.expect(record)
        try:
            self._writer.submit(record)
            verdict = await asyncio.wait_for(future, CLAIM_WAIT_S)
        except (TimeoutError, log_writer.QueueFull):
            self._give_up(record, future)
            return None
        self._recorder.add(
            timeline.EventKind.CLAIM,
            f"claim is {verdict.state.value}",
            call_id=record.claim_id,
            upstream=record.service,
        )
        return verdict

    def _give_up(
        self, record: records.ClaimMade, future: asyncio.Future
    ) -> None:
        self._hub.forget(record, future)
        if self._writer.withdraw(record):
            return
        # The claim may be on the log already or get there later. The entry
        # will not dispatch, so that must be said, or the key would stay
        # in doubt for ever.
        self._submit(records.ClaimSettled(record.claim_id, False, None))

    async def settle(self, settled: records.ClaimSettled) -> bool:
        """Writes an outcome; tells whether it is on the log by now."""
        future = self._hub.expect(settled)
        if not self._submit(settled):
            return False
        try:
            await asyncio.wait_for(future, CLAIM_WAIT_S)
        except TimeoutError:
            self._hub.forget(settled, future)
            return False
        return True

    def look_up(self, record: records.ClaimMade) -> data.ClaimVerdict:
        """Returns what is known now of the claim that holds the name."""
        return claims.look_up(self._hub.state.claims, record)

    def _submit(self, settled: records.ClaimSettled) -> bool:
        try:
            self._writer.submit(settled)
        except log_writer.QueueFull:
            # The claim stays open and is reported as unknown: it is never
            # run again, which is what must hold.
            self._logger.error(
                "an outcome is lost, the log has been away for long",
                claim_id=settled.claim_id,
            )
            return False
        return True
