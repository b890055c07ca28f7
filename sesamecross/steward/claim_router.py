"""Routes the entry's claim requests to the group that decides them.

A caller may reach any entry, but its claims are decided by the group of its
home zone. The router finds the group's leader and forwards the request. If
the leader can't be reached the call is refused, never decided here.
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
# An entry that disconnected during a claimed call may reconnect and report the
# outcome. After this delay the outcome is recorded as unknown.
ABANDONED_CLAIM_DELAY_S = 5.0

# How long the zone of a claim without a verdict is remembered.
UNDECIDED_CLAIM_TTL_S = 60.0

# Sends a request with its id to a steward and waits for the reply, at most the
# given seconds. Returns None without a reply.
SendRequest = Callable[
    [data.Incarnation, object, str, float], Awaitable[object]
]


class ClaimRouter:
    """Finds the deciding leader and forwards claims and outcomes to it."""

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

    # -- requests of the entry ----------------------------------------------

    async def claim(
        self, record: records.ClaimMade
    ) -> data.ClaimVerdict | None:
        """Claims a call; returns the verdict, or None if none was reached."""
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
        if verdict is None:
            # A verdict that comes late needs the zone.
            asyncio.get_running_loop().call_later(
                UNDECIDED_CLAIM_TTL_S,
                self._claim_zones.pop,
                record.claim_id,
                None,
            )
        elif verdict.state is not data.ClaimState.WON:
            self._claim_zones.pop(record.claim_id, None)
        return verdict

    async def look_up(
        self, record: records.ClaimMade
    ) -> data.ClaimVerdict | None:
        """Returns what is known now of the claim under the record's name."""
        zone = self._home_zone(record.caller)
        return await self._decide(zone, record, only_look=True)

    async def settle(self, settled: records.ClaimSettled) -> bool:
        """Forwards an outcome to the leader, with retries.

        If no leader accepts it, the outcome is appended to the log.

        Returns:
          Whether it is kept. If not, the log's queue is full here, and the
          outcome has to be sent again.
        """
        zone = self._claim_zones.get(settled.claim_id, "")
        for _ in range(SETTLE_ATTEMPTS):
            leader = self._claim_group_manager.leader_of(zone)
            if leader == self._me or (leader is None and not zone):
                is_kept = self._claim_group_manager.settle(zone, settled)
            else:
                is_kept = leader is not None and await self._forward_outcome(
                    leader, zone, settled
                )
            if is_kept:
                break
            await asyncio.sleep(SETTLE_RETRY_INTERVAL_S)
        else:
            # No leader could be reached; the log is the last resort.
            if not self._claim_group_manager.settle("", settled):
                return False
        self._claim_zones.pop(settled.claim_id, None)
        return True

    async def _settle_until_kept(self, settled: records.ClaimSettled) -> None:
        while not await self.settle(settled):
            self._logger.error(
                "outcome of a claim is not kept yet",
                correlation_id=settled.claim_id,
            )

    def settle_abandoned(self, claim_ids: set[str]) -> None:
        """Settles claims of a disconnected entry after a delay.

        Claims that are not settled by then get an unknown outcome.
        """
        task = asyncio.create_task(self._settle_unknown(claim_ids))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _settle_unknown(self, claim_ids: set[str]) -> None:
        await asyncio.sleep(ABANDONED_CLAIM_DELAY_S)
        for claim_id in claim_ids:
            if claim_id not in self._claim_zones:
                continue
            # The call may have run: the outcome is unknown, and it never
            # runs again.
            unknown_outcome = records.ClaimSettled(claim_id, True, None)
            await self._settle_until_kept(unknown_outcome)

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
        """Decides at this steward, which is the leader as far as is known."""
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

    # -- requests of other stewards --------------------------------------------

    async def on_forward(self, forward: messages.ClaimForward) -> object:
        """Decides a claim for another steward; returns the reply."""
        verdict = await self.decide_locally(
            forward.zone, forward.claim, forward.only_look
        )
        return messages.ClaimReply(forward.request_id, verdict)

    def on_outcome(self, forward: messages.OutcomeForward) -> object:
        """Records an outcome for another steward; returns the reply."""
        ok = self._claim_group_manager.settle(forward.zone, forward.settled)
        return messages.Done(forward.request_id, ok)

    def cancel_claim(self, claim_id: str) -> None:
        """Settles a claim as not executed.

        It was won after its requester had stopped waiting, so its call has
        not been dispatched and will not be.
        """
        task = asyncio.create_task(
            self._settle_until_kept(records.ClaimSettled(claim_id, False, None))
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
