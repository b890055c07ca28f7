"""Admission of prompts to engines: client and server side.

Each engine has one pacer, an instance chosen by rendezvous hashing. All
instances request a permit from it before they send a prompt to the engine.
"""

import asyncio
from collections.abc import Mapping
import dataclasses

from sesamecross.core import fleet_messages as fm
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import pacer as pacer_lib
from sesamecross.ops.fleet import roster as roster_lib
from sesamecross.ops.fleet import slot_limiter
from sesamecross.runtime import ticker as ticker_lib
from sesamecross.utils import rendezvous

# An admission request without any reply is repeated after the round trip plus
# this margin. After `REQUEST_ATTEMPTS` without a reply the next pacer is asked,
# and after `MAX_SILENT_PACERS` the prompt is sent without a permit.
ACK_MARGIN_S = 0.04
REQUEST_ATTEMPTS = 2
MAX_SILENT_PACERS = 2
# An acknowledged request is repeated at this interval: its decision may have
# been lost, and so may its pacer.
RENEWAL_INTERVAL_S = 0.5
# How long an instance that did not reply is not asked: until the failure
# detector has noticed whether it is alive.
AVOID_S = roster_lib.LIVENESS_TIMEOUT_S
SWEEP_INTERVAL_S = 0.25
# Retry delay of a request that needs a permit while no pacer answers: until the
# failure detector has noticed, and another one is asked.
NO_PACER_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRefused:
    """The engine can't read the prompt while the caller waits.

    Attributes:
      after_s: After how long the caller should retry.
    """

    after_s: float


@dataclasses.dataclass(slots=True)
class Permit:
    """Permission for one request to send its prompt to an engine.

    Attributes:
      upstream: The engine.
      number: The number of the admission request.
      pacer: Name of the instance that granted it; empty if there was none.
      is_open: Whether the pacer has yet to be told of its release.
    """

    upstream: str
    number: int
    pacer: str
    is_open: bool = True


class Pacing:
    """Component for both sides of pacing: requesting and granting."""

    is_vital = False
    name = "pacing"

    def __init__(
        self,
        state: state_lib.State,
        mesh: mesh_lib.Mesh,
        ticker: ticker_lib.Ticker | None = None,
    ):
        self._state = state
        self._mesh = mesh
        self._ticker = ticker or ticker_lib.Ticker()
        self._pacers: dict[str, pacer_lib.Pacer | slot_limiter.SlotLimiter] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._pending_requests: dict[
            int, asyncio.Future[fm.AdmissionReply]
        ] = {}
        # Admission requests that their pacer acknowledged and has not decided.
        self._acknowledged: set[int] = set()
        # Incarnations of instances that announced their stop, this one
        # included, by name. The failure detector takes them for alive for
        # another second, in which no request must be sent to them.
        self._departed: dict[str, int] = {}
        # Until when instances that did not reply are not asked, by name.
        self._avoided_until_s: dict[str, float] = {}
        # The pacer by engine and zone, valid for one version of the roster and
        # one assignment of zones to regions.
        self._known_pacers: dict[tuple[str, str], str] = {}
        self._known_pacers_key: tuple[int, Mapping[str, str]] | None = None
        mesh.add_listener(self._on_message)

    async def run(self) -> None:
        """Expires unreleased permits and removes idle engines, periodically.

        A permit stays unreleased if the message that releases it was lost.
        """
        while True:
            await self._ticker.wait(SWEEP_INTERVAL_S)
            for upstream in list(self._pacers):
                self._grant(upstream)
                if self._pacers[upstream].is_idle:
                    del self._pacers[upstream]

    async def stop(self) -> None:
        """Redirects all waiting admission requests to the next pacer.

        They were acknowledged, so they would wait here until they are refused.
        They aren't granted all at once either: that many prompts would cause
        one long pause in every stream of the batch. They are redirected in
        queue order, and each new request carries its slack, so that the next
        pacer grants them in the same order.
        """
        if self._mesh.roster is None:
            return
        now_s = asyncio.get_running_loop().time()
        self._record_departure(self._mesh.me)
        pacers, self._pacers = self._pacers, {}
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        for pacer in pacers.values():
            for name, number in pacer.waiting(now_s):
                self._send_leave(name, number)

    # -- requesting ----------------------------------------------------

    async def acquire(
        self,
        known: directory_lib.KnownUpstream,
        tokens: int,
        due_s: float,
        until_s: float,
        requires_grant: bool = False,
    ) -> Permit | PermitRefused:
        """Waits for a permit to send a prompt.

        Args:
          known: The engine, or an upstream of a plain service.
          tokens: Prompt tokens that it has to read; 0 for a request without a
            prompt, whose permit is held until the request ends.
          due_s: Loop time by which the request has to be sent to be on time.
          until_s: Loop time after which waiting is of no use.
          requires_grant: Whether the request must not be sent without a pacer's
            permit.
        """
        silent_pacers = 0
        while True:
            pacer = self._pacer_of(known)
            if pacer is None or silent_pacers >= MAX_SILENT_PACERS:
                if requires_grant:
                    return PermitRefused(NO_PACER_RETRY_AFTER_S)
                upstream = known.entry.instance_id
                return Permit(upstream, 0, "", is_open=False)
            result = await self._request_permit(
                pacer, known, tokens, due_s, until_s
            )
            if result is not None:
                return result
            silent_pacers += pacer in self._avoided_until_s

    async def _request_permit(
        self,
        pacer: str,
        known: directory_lib.KnownUpstream,
        tokens: int,
        due_s: float,
        until_s: float,
    ) -> Permit | PermitRefused | None:
        """Requests a permit from one pacer.

        Returns:
          None if the pacer stops or does not reply: it is not chosen again, so
          that another one has to be asked.
        """
        upstream = known.entry.instance_id
        loop = asyncio.get_running_loop()
        number = self._mesh.next_number()
        permit = Permit(upstream, number, pacer)
        reply: asyncio.Future[fm.AdmissionReply] = loop.create_future()
        self._pending_requests[number] = reply
        try:
            while not reply.done() and loop.time() < until_s:
                if not await self._deliver_request(
                    permit, reply, tokens, due_s, until_s
                ):
                    self._avoid(pacer)
                    self.release(permit)
                    return None
                wait_s = min(RENEWAL_INTERVAL_S, until_s - loop.time())
                await asyncio.wait([reply], timeout=max(0.0, wait_s))
        except asyncio.CancelledError:
            self.release(permit)
            raise
        finally:
            self._pending_requests.pop(number, None)
            self._acknowledged.discard(number)
        if not reply.done():
            self.release(permit)
            return PermitRefused(pacer_lib.OVERLOAD_RETRY_AFTER_S)
        match reply.result():
            case fm.AdmissionReply(
                verdict=fm.AdmissionDecision.REFUSE, after_s=after_s
            ):
                permit.is_open = False
                return PermitRefused(after_s)
            case fm.AdmissionReply(verdict=fm.AdmissionDecision.LEAVING):
                return None
        return permit

    async def _deliver_request(
        self,
        permit: Permit,
        reply: asyncio.Future[fm.AdmissionReply],
        tokens: int,
        due_s: float,
        until_s: float,
    ) -> bool:
        """Sends an admission request; returns whether its pacer has replied.

        It is sent again if there is no reply, unless its time is over.
        """
        loop = asyncio.get_running_loop()
        member = self._mesh.roster.get(permit.pacer) or self._mesh.me
        round_trip_s = self._state.location.round_trip_s(member.zone)
        self._acknowledged.discard(permit.number)
        for _ in range(REQUEST_ATTEMPTS):
            self._send_request(permit, tokens, due_s, until_s)
            wait_s = min(round_trip_s + ACK_MARGIN_S, until_s - loop.time())
            await asyncio.wait([reply], timeout=max(0.0, wait_s))
            if reply.done() or permit.number in self._acknowledged:
                return True
        return loop.time() >= until_s

    def _avoid(self, pacer: str) -> None:
        """Makes the next pacer serve, as this one does not reply."""
        now_s = asyncio.get_running_loop().time()
        self._avoided_until_s[pacer] = now_s + AVOID_S
        self._known_pacers.clear()

    def _end_avoidance(self, now_s: float) -> None:
        """Lets instances be pacers again that did not reply some time ago."""
        ended = [
            name
            for name, until_s in self._avoided_until_s.items()
            if until_s <= now_s
        ]
        for name in ended:
            del self._avoided_until_s[name]
            self._known_pacers.clear()

    def _pacer_of(self, known: directory_lib.KnownUpstream) -> str | None:
        """Returns the pacer of an engine, by rendezvous hashing.

        Instances in the engine's zone are preferred, then those in its region.
        All instances with the same membership view get the same result.
        """
        roster = self._mesh.roster
        if roster is None or self._mesh.transport is None:
            return None
        now_s = asyncio.get_running_loop().time()
        self._end_avoidance(now_s)
        key = (roster.version(now_s), self._state.location.regions)
        if key != self._known_pacers_key:
            self._known_pacers_key = key
            self._known_pacers.clear()
        engine = (known.entry.instance_id, known.entry.zone)
        pacer = self._known_pacers.get(engine)
        if pacer is None:
            pacer = self._select_pacer(known, roster.alive(now_s))
            self._known_pacers[engine] = pacer
        return pacer or None

    def _select_pacer(
        self, known: directory_lib.KnownUpstream, alive: list[fm.Member]
    ) -> str:
        """Returns the pacer among live instances; empty if there is none."""
        members = [
            member
            for member in (*alive, self._mesh.roster.me)
            if not self._has_departed(member)
            and member.name not in self._avoided_until_s
        ]
        if not members:
            return ""
        zone = known.entry.zone
        regions = self._state.location.regions
        near = [member for member in members if member.zone == zone]
        if not near:
            region = regions.get(zone)
            near = [m for m in members if regions.get(m.zone) == region]
        names = [member.name for member in near or members]
        return rendezvous.top(f"pacer/{known.entry.instance_id}", names, 1)[0]

    def _record_departure(self, member: fm.Member) -> None:
        self._departed[member.name] = member.incarnation
        self._known_pacers.clear()

    def _has_departed(self, member: fm.Member) -> bool:
        return self._departed.get(member.name) == member.incarnation

    def _send_request(
        self, permit: Permit, tokens: int, due_s: float, until_s: float
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        request = fm.AdmissionRequest(
            self._mesh.me,
            permit.number,
            permit.upstream,
            tokens,
            round(due_s - now_s, 3),
            round(until_s - now_s, 3),
        )
        self._send(request, permit.pacer)

    def _send(
        self,
        message: fm.AdmissionRequest | fm.AdmissionRelease | fm.AdmissionReply,
        to: str,
    ) -> None:
        if to == self._mesh.me.name:
            self._on_message(message)
            return
        member = self._mesh.roster.get(to)
        if member is not None:
            self._mesh.send(message, member)

    def release(self, permit: Permit) -> None:
        """Releases a permit: the prompt was read, or will not be sent."""
        if not permit.is_open:
            return
        permit.is_open = False
        message = fm.AdmissionRelease(
            self._mesh.me, permit.number, permit.upstream
        )
        self._send(message, permit.pacer)

    # -- granting ------------------------------------------------------

    def _on_message(self, message: fm.Message) -> None:
        match message:
            case fm.AdmissionRequest():
                self._on_request(message)
            case fm.AdmissionRelease(me=me, number=number, upstream=upstream):
                pacer = self._pacers.get(upstream)
                if pacer is not None:
                    pacer.release((me.name, number))
                    self._grant(upstream)
            case fm.AdmissionReply(me=me, number=number, verdict=verdict):
                if verdict is fm.AdmissionDecision.LEAVING:
                    self._record_departure(me)
                pending = self._pending_requests.get(number)
                if pending is None or pending.done():
                    return
                if verdict is fm.AdmissionDecision.WAIT:
                    self._acknowledged.add(number)
                else:
                    pending.set_result(message)

    def _on_request(self, message: fm.AdmissionRequest) -> None:
        if self._has_departed(self._mesh.me):
            # Requests from other instances arrive until the port is closed.
            self._send_leave(message.me.name, message.number)
            return
        now_s = asyncio.get_running_loop().time()
        upstream = message.upstream
        pacer = self._pacers.get(upstream)
        if pacer is None:
            pacer = (
                pacer_lib.Pacer()
                if message.tokens
                else slot_limiter.SlotLimiter()
            )
            self._pacers[upstream] = pacer
        key = (message.me.name, message.number)
        decisions = pacer.request(
            key,
            message.tokens,
            now_s + message.spare_s,
            now_s + message.patience_s,
            self._batch(upstream),
            now_s,
        )
        if key not in decisions.granted and key not in decisions.refused:
            acknowledgement = fm.AdmissionReply(
                self._mesh.me, message.number, fm.AdmissionDecision.WAIT
            )
            self._send(acknowledgement, message.me.name)
        self._send_decisions(upstream, decisions)

    def _grant(self, upstream: str) -> None:
        now_s = asyncio.get_running_loop().time()
        decisions = self._pacers[upstream].grant(self._batch(upstream), now_s)
        self._send_decisions(upstream, decisions)

    def _batch(self, upstream: str) -> pacer_lib.Batch:
        known = self._state.directory.get(upstream)
        if known is None:
            return pacer_lib.Batch(0.0, 1)
        return pacer_lib.Batch(known.running, known.entry.slots)

    def _send_decisions(
        self, upstream: str, decisions: pacer_lib.Decisions
    ) -> None:
        me = self._mesh.me
        for name, number in decisions.granted:
            self._send(
                fm.AdmissionReply(me, number, fm.AdmissionDecision.SEND), name
            )
        for name, number in decisions.refused:
            retry_after_s = pacer_lib.OVERLOAD_RETRY_AFTER_S
            self._send(
                fm.AdmissionReply(
                    me, number, fm.AdmissionDecision.REFUSE, retry_after_s
                ),
                name,
            )
        self._schedule_grant(upstream)

    def _send_leave(self, name: str, number: int) -> None:
        self._send(
            fm.AdmissionReply(
                self._mesh.me, number, fm.AdmissionDecision.LEAVING
            ),
            name,
        )

    def _schedule_grant(self, upstream: str) -> None:
        """Schedules the next grant of an engine's waiting requests."""
        loop = asyncio.get_running_loop()
        pacer = self._pacers.get(upstream)
        if pacer is None or upstream in self._timers:
            return
        at_s = pacer.next_check_s(loop.time())
        if at_s is not None:
            self._timers[upstream] = loop.call_at(
                at_s, self._on_grant_due, upstream
            )

    def _on_grant_due(self, upstream: str) -> None:
        del self._timers[upstream]
        if upstream in self._pacers:
            self._grant(upstream)
