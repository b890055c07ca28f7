"""Answers the entry's requests about claims, wherever they are decided.

Why: a caller may reach any entry, but its claims are decided by the group of
its home zone. This desk finds the group's leader and passes the request on;
where the leader can't be reached the call is refused, never decided here.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import uuid

from sesamecross.core import data
from sesamecross.core import messages
from sesamecross.core import records
from sesamecross.ops import timeline
from sesamecross.runtime import logs
from sesamecross.steward import claim_group_manager as claim_group_manager_lib
from sesamecross.steward import local_replica as local_replica_lib

CLAIM_TIMEOUT_S = 3.5
FORWARD_TIMEOUT_S = 3.0
SETTLE_ATTEMPTS = 20
SETTLE_RETRY_INTERVAL_S = 0.5
# An entry that went away in the middle of a claimed call may come back with
# its outcome; past this the outcome is written down as unknown.
ABANDONED_CLAIM_DELAY_S = 5.0

# Sends a request to a steward and returns its reply, or None.
SendRequest = Callable[
    [data.Incarnation, object, str, float], Awaitable[object]
]


class ClaimRouter:
    """Finds who decides, asks, and passes outcomes on."""

    def __init__(
        self,
        me: data.Incarnation,
        replica: local_replica_lib.LocalReplica,
        claim_group_manager: claim_group_manager_lib.ClaimGroupManager,
        recorder: timeline.Recorder,
    ):
        self._me = me
        self._replica = replica
        self._claim_group_manager = claim_group_manager
        self._recorder = recorder
        self._logger = logs.get_logger("claims")
        self._claim_zones: dict[str, str] = {}
        self._tasks: set[asyncio.Task] = set()
        self.send_request: SendRequest | None = None

    def _home_zone(self, caller: str) -> str:
        return self._replica.state.groups.homes.get(caller, "")

    # -- for the own entry -------------------------------------------------

    async def claim(
        self, record: records.ClaimMade
    ) -> data.ClaimVerdict | None:
        """Returns the verdict, or None where there is none to be had."""
        record = dataclasses.replace(record, holder=self._me)
        zone = self._home_zone(record.caller)
        self._claim_zones[record.claim_id] = zone
        verdict = await self._decide(zone, record, only_look=False)
        state = verdict.state.value if verdict else "not decided"
        self._logger.info(
            "claim", correlation_id=record.claim_id, state=state, home=zone
        )
        self._recorder.add(
            timeline.EventKind.CLAIM,
            f"claim is {state}, home {zone}",
            call_id=record.claim_id,
            model=record.service,
        )
        settled_elsewhere = (
            verdict is not None and verdict.state is not data.ClaimState.WON
        )
        if settled_elsewhere:
            self._claim_zones.pop(record.claim_id, None)
        return verdict

    async def look_up(
        self, record: records.ClaimMade
    ) -> data.ClaimVerdict | None:
        """Returns what is known now of the claim that holds the name."""
        zone = self._home_zone(record.caller)
        return await self._decide(zone, record, only_look=True)

    async def settle(self, settled: records.ClaimSettled) -> bool:
        """Passes an outcome on; tells whether the group keeps it."""
        zone = self._claim_zones.get(settled.claim_id, "")
        for _ in range(SETTLE_ATTEMPTS):
            leader = self._claim_group_manager.leader_of(zone)
            if leader == self._me or (leader is None and not zone):
                self._claim_group_manager.settle(zone, settled)
                break
            if leader is not None and await self._forward_outcome(
                leader, zone, settled
            ):
                break
            await asyncio.sleep(SETTLE_RETRY_INTERVAL_S)
        else:
            # Nobody of the group can be reached; the log is the last place.
            self._claim_group_manager.settle("", settled)
        self._claim_zones.pop(settled.claim_id, None)
        return True

    def settle_abandoned(self, claim_ids: set[str]) -> None:
        """The entry went away without the outcome of these claims."""
        task = asyncio.create_task(self._settle_unknown(claim_ids))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _settle_unknown(self, claim_ids: set[str]) -> None:
        await asyncio.sleep(ABANDONED_CLAIM_DELAY_S)
        for claim_id in claim_ids:
            if claim_id not in self._claim_zones:
                continue
            # It may have run or not: said to be unknown, never run again.
            unknown_outcome = records.ClaimSettled(claim_id, True, None)
            await self.settle(unknown_outcome)

    # -- deciding or forwarding ----------------------------------------------

    async def _decide(
        self, zone: str, record: records.ClaimMade, only_look: bool
    ) -> data.ClaimVerdict | None:
        leader = self._claim_group_manager.leader_of(zone)
        if leader is None:
            return None
        if leader == self._me:
            return await self.decide_locally(zone, record, only_look)
        request_id = uuid.uuid4().hex
        forward = messages.ClaimForward(request_id, zone, record, only_look)
        reply = await self.send_request(
            leader, forward, request_id, CLAIM_TIMEOUT_S
        )
        if isinstance(reply, messages.ClaimReply):
            return reply.verdict
        return None

    async def decide_locally(
        self, zone: str, record: records.ClaimMade, only_look: bool
    ) -> data.ClaimVerdict | None:
        """Decides at this steward, which should be the leader."""
        if only_look:
            return self._claim_group_manager.look_up(zone, record)
        future = self._claim_group_manager.claim(zone, record)
        done, _ = await asyncio.wait([future], timeout=FORWARD_TIMEOUT_S)
        if done:
            return future.result()
        future.add_done_callback(
            lambda completed: self._on_late_verdict(zone, completed.result())
        )
        return None

    def _on_late_verdict(
        self, zone: str, verdict: data.ClaimVerdict | None
    ) -> None:
        if verdict is not None and verdict.state is data.ClaimState.WON:
            self._claim_zones[verdict.claim_id] = zone
            self.cancel_claim(verdict.claim_id)

    async def _forward_outcome(
        self,
        leader: data.Incarnation,
        zone: str,
        settled: records.ClaimSettled,
    ) -> bool:
        request_id = uuid.uuid4().hex
        forward = messages.OutcomeForward(request_id, zone, settled)
        reply = await self.send_request(
            leader, forward, request_id, FORWARD_TIMEOUT_S
        )
        return isinstance(reply, messages.Done) and reply.ok

    # -- for other stewards ----------------------------------------------------

    async def on_forward(self, forward: messages.ClaimForward) -> object:
        """Decides for another steward; returns the reply."""
        verdict = await self.decide_locally(
            forward.zone, forward.claim, forward.only_look
        )
        return messages.ClaimReply(forward.request_id, verdict)

    def on_outcome(self, forward: messages.OutcomeForward) -> object:
        """Keeps another steward's outcome; returns the reply."""
        ok = self._claim_group_manager.settle(forward.zone, forward.settled)
        return messages.Done(forward.request_id, ok)

    def cancel_claim(self, claim_id: str) -> None:
        """A claim was won for somebody who does not wait any more.

        Its call was not dispatched and will not be.
        """
        task = asyncio.create_task(
            self.settle(records.ClaimSettled(claim_id, False, None))
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
