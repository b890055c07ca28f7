"""Admission of prompts to engines: client and server side.

Each engine has one pacer, an instance chosen by rendezvous hashing. All
instances request a permit from it before they send a prompt to the engine.

At engines with small batches a permit is a lease on a batch slot and on memory,
which lasts until the stream ends. Its holder confirms it periodically, so that
the next pacer learns of it when an engine's pacer changes.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import msgspec

from sesamecross.core import fleet_messages as fm
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import scarce_models as scarce_models_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import admission_order
from sesamecross.ops.fleet import budget_pacer
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import engine_budget
from sesamecross.ops.fleet import pacer as pacer_lib
from sesamecross.ops.fleet import roster as roster_lib
from sesamecross.ops.fleet import slot_limiter
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import ticker as ticker_lib
from sesamecross.utils import rendezvous

# An admission request without any reply is repeated after the round trip plus
# this margin. After `REQUEST_ATTEMPTS` without a reply the next pacer is asked,
# and after `MAX_SILENT_PACERS` the prompt is sent without a permit.
ACK_MARGIN_S = 0.04
REQUEST_ATTEMPTS = 2
MAX_SILENT_PACERS = 2
# The same where permits are leases: in a small batch, the few requests that
# come before a failure is detected would overfill an engine.
MAX_SILENT_LEASE_PACERS = 4
# An acknowledged request is repeated at this interval: its decision may have
# been lost, and so may its pacer.
RENEWAL_INTERVAL_S = 0.5
# How long an instance that did not reply is not asked: until the failure
# detector has noticed whether it is alive.
AVOID_S = roster_lib.LIVENESS_TIMEOUT_S
SWEEP_INTERVAL_S = 0.25
# The same where permits are leases, as two pacers of one engine grant its slots
# twice. If a tenth of the messages are lost, an attempt fails with 0.19.
LEASE_REQUEST_ATTEMPTS = 3
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


class _Lease(msgspec.Struct):
    """A permit that its holder confirms until the stream ends.

    Attributes:
      former_pacers: Instances that have paced the engine meanwhile, and may
        still count the request.
    """

    permit: Permit
    known: directory_lib.KnownUpstream
    memory_tokens: int
    stage: engine_budget.Stage
    confirmed_s: float
    former_pacers: set[str] = msgspec.field(default_factory=set)


_AnyPacer = (
    pacer_lib.Pacer | slot_limiter.SlotLimiter | budget_pacer.BudgetPacer
)


class Pacing:
    """Component for both sides of pacing: requesting and granting."""

    is_vital = False
    name = "pacing"

    def __init__(
        self,
        state: state_lib.State,
        mesh: mesh_lib.Mesh,
        ticker: ticker_lib.Ticker | None = None,
        metrics: metrics_lib.Metrics | None = None,
    ):
        self._state = state
        self._mesh = mesh
        self._ticker = ticker or ticker_lib.Ticker()
        self._metrics = metrics
        self._log = logs.get_logger("pacing")
        self._scarce_models = scarce_models_lib.ScarceModels()
        self._pacers: dict[str, _AnyPacer] = {}
        # Leases that this instance holds, by the number of their permits.
        self._leases: dict[int, _Lease] = {}
        # Ends of leases that are told a second time, as the first message may
        # be lost, and to whom.
        self._repeated_ends: list[tuple[fm.AdmissionRelease, str]] = []
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
            self._repeat_ends()
            self._confirm_leases()
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
        now_s = event_loop.running().time()
        self._record_departure(self._mesh.me)
        pacers, self._pacers = self._pacers, {}
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        for pacer in pacers.values():
            for name, number in pacer.waiting(now_s):
                self._send_leave(name, number)
        self._leave_lease_holders(pacers.values())

    def _leave_lease_holders(self, pacers: Iterable[_AnyPacer]) -> None:
        """Makes the holders of leases confirm them to the next pacers."""
        number_by_name = {
            name: number
            for pacer in pacers
            if isinstance(pacer, budget_pacer.BudgetPacer)
            for name, number in pacer.holders()
        }
        for name, number in number_by_name.items():
            self._send_leave(name, number)

    # -- requesting ----------------------------------------------------

    async def acquire(
        self,
        known: directory_lib.KnownUpstream,
        ask: admission_order.Ask,
        requires_grant: bool = False,
    ) -> Permit | PermitRefused:
        """Waits for a permit to send a prompt.

        Args:
          known: The engine, or an upstream of a plain service.
          ask: What the request needs; its times are loop times.
          requires_grant: Whether the request must not be sent without a pacer's
            permit.
        """
        silent_pacers = 0
        max_silent_pacers = MAX_SILENT_PACERS
        if ask.tokens and self._uses_leases(known):
            max_silent_pacers = MAX_SILENT_LEASE_PACERS
        while True:
            pacer = self._pacer_of(known)
            if pacer is None or silent_pacers >= max_silent_pacers:
                if requires_grant:
                    return PermitRefused(NO_PACER_RETRY_AFTER_S)
                upstream = known.entry.instance_id
                return Permit(upstream, 0, "", is_open=False)
            result = await self._request_permit(pacer, known, ask)
            if result is not None:
                return result
            silent_pacers += pacer in self._avoided_until_s

    async def _request_permit(
        self,
        pacer: str,
        known: directory_lib.KnownUpstream,
        ask: admission_order.Ask,
    ) -> Permit | PermitRefused | None:
        """Requests a permit from one pacer.

        Returns:
          None if the pacer stops or does not reply: it is not chosen again, so
          that another one has to be asked.
        """
        upstream = known.entry.instance_id
        loop = event_loop.running()
        number = self._mesh.next_number()
        permit = Permit(upstream, number, pacer)
        reply: asyncio.Future[fm.AdmissionReply] = loop.create_future()
        self._pending_requests[number] = reply
        holds_lease = ask.tokens > 0 and self._uses_leases(known)
        attempts = LEASE_REQUEST_ATTEMPTS if holds_lease else REQUEST_ATTEMPTS
        try:
            while not reply.done() and loop.time() < ask.until_s:
                if not await self._deliver_request(
                    permit, reply, ask, attempts
                ):
                    self._avoid(pacer)
                    self.release(permit)
                    return None
                wait_s = min(RENEWAL_INTERVAL_S, ask.until_s - loop.time())
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
        if holds_lease:
            self._leases[number] = _Lease(
                permit,
                known,
                ask.memory_tokens,
                engine_budget.Stage.SENT,
                loop.time(),
            )
        return permit

    async def _deliver_request(
        self,
        permit: Permit,
        reply: asyncio.Future[fm.AdmissionReply],
        ask: admission_order.Ask,
        attempts: int,
    ) -> bool:
        """Sends an admission request; returns whether its pacer has replied.

        It is sent again if there is no reply, unless its time is over.
        """
        loop = event_loop.running()
        member = self._mesh.roster.get(permit.pacer) or self._mesh.me
        round_trip_s = self._state.location.round_trip_s(member.zone)
        self._acknowledged.discard(permit.number)
        for _ in range(attempts):
            self._send_request(permit, ask)
            wait_s = min(round_trip_s + ACK_MARGIN_S, ask.until_s - loop.time())
            await asyncio.wait([reply], timeout=max(0.0, wait_s))
            if reply.done() or permit.number in self._acknowledged:
                return True
        return loop.time() >= ask.until_s

    def _avoid(self, pacer: str) -> None:
        """Makes the next pacer serve, as this one does not reply."""
        now_s = event_loop.running().time()
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
        now_s = event_loop.running().time()
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

    def _send_request(self, permit: Permit, ask: admission_order.Ask) -> None:
        now_s = event_loop.running().time()
        request = fm.AdmissionRequest(
            self._mesh.me,
            permit.number,
            permit.upstream,
            ask.tokens,
            round(ask.due_s - now_s, 3),
            round(ask.until_s - now_s, 3),
            ask.output_tokens,
            ask.urgency,
            ask.workspace,
            ask.cached_tokens,
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

    def begin(self, permit: Permit) -> None:
        """Records that the engine has read the prompt of a permit.

        Where a permit is a lease, it lasts until `release`; elsewhere it ends.
        """
        lease = self._leases.get(permit.number)
        if lease is None or lease.permit is not permit:
            self.release(permit)
            return
        lease.stage = engine_budget.Stage.READ
        self._confirm(lease)

    def release(self, permit: Permit) -> None:
        """Releases a permit: the request has ended, or will not be sent."""
        if not permit.is_open:
            return
        permit.is_open = False
        message = fm.AdmissionRelease(
            self._mesh.me, permit.number, permit.upstream
        )
        self._send(message, permit.pacer)
        lease = self._leases.get(permit.number)
        if lease is None or lease.permit is not permit:
            return
        del self._leases[permit.number]
        for pacer in lease.former_pacers:
            self._send(message, pacer)
        if permit.pacer != self._mesh.me.name:
            self._repeated_ends.append((message, permit.pacer))

    def _repeat_ends(self) -> None:
        """Tells again which leases have ended since the last time."""
        ends, self._repeated_ends = self._repeated_ends, []
        for message, pacer in ends:
            self._send(message, pacer)

    def _confirm_leases(self) -> None:
        """Confirms the leases that are due, and those whose pacer changed."""
        now_s = event_loop.running().time()
        for lease in self._leases.values():
            pacer = self._pacer_of(lease.known)
            if pacer is None:
                continue
            is_due = now_s - lease.confirmed_s >= engine_budget.RENEWAL_S
            if pacer != lease.permit.pacer:
                lease.former_pacers.add(lease.permit.pacer)
                lease.former_pacers.discard(pacer)
                lease.permit.pacer = pacer
                is_due = True
            if is_due:
                self._confirm(lease)

    def _confirm(self, lease: _Lease) -> None:
        lease.confirmed_s = event_loop.running().time()
        permit = lease.permit
        message = fm.AdmissionRelease(
            self._mesh.me,
            permit.number,
            permit.upstream,
            int(lease.stage),
            lease.memory_tokens,
        )
        self._send(message, permit.pacer)

    def _uses_leases(self, known: directory_lib.KnownUpstream) -> bool:
        """Whether permits to send prompts to an engine are leases.

        If all models fit, each has the engines that it needs, and reports are
        exact enough.
        """
        return (
            0 < known.entry.slots < engine_budget.SMALL_BATCH_SLOTS
            and self._scarce_models.is_possible(
                self._state, known.entry.service, event_loop.now_s()
            )
        )

    # -- granting ------------------------------------------------------

    def _on_message(self, message: fm.Message) -> None:
        match message:
            case fm.AdmissionRequest():
                self._on_request(message)
            case fm.AdmissionRelease():
                self._on_release(message)
            case fm.AdmissionReply():
                self._on_reply(message)

    def _on_reply(self, message: fm.AdmissionReply) -> None:
        number, verdict = message.number, message.verdict
        if verdict is fm.AdmissionDecision.LEAVING:
            self._record_departure(message.me)
        pending = self._pending_requests.get(number)
        if pending is None:
            if (
                verdict is fm.AdmissionDecision.SEND
                and message.upstream
                and number not in self._leases
            ):
                # Nobody waits for this lease any more.
                self._send(
                    fm.AdmissionRelease(
                        self._mesh.me, number, message.upstream
                    ),
                    message.me.name,
                )
            return
        if pending.done():
            return
        if verdict is fm.AdmissionDecision.WAIT:
            self._acknowledged.add(number)
        else:
            pending.set_result(message)

    def _on_release(self, message: fm.AdmissionRelease) -> None:
        stage = _stage(message.stage)
        is_ended = stage is engine_budget.Stage.ENDED
        if not is_ended and self._has_departed(self._mesh.me):
            self._send_leave(message.me.name, message.number)
            return
        upstream = message.upstream
        pacer = self._pacers.get(upstream)
        if pacer is None and not is_ended:
            # Another pacer has granted this lease.
            pacer = self._new_pacer(upstream, has_prompt=True)
        key = (message.me.name, message.number)
        match pacer:
            case None:
                return
            case budget_pacer.BudgetPacer():
                now_s = event_loop.running().time()
                memory_tokens = max(0, message.memory_tokens)
                pacer.record_stage(key, stage, memory_tokens, now_s)
            case _:
                if stage is not engine_budget.Stage.SENT:
                    pacer.release(key)
        if stage is not engine_budget.Stage.SENT:
            self._grant(upstream)

    def _on_request(self, message: fm.AdmissionRequest) -> None:
        if self._has_departed(self._mesh.me):
            # Requests from other instances arrive until the port is closed.
            self._send_leave(message.me.name, message.number)
            return
        now_s = event_loop.running().time()
        upstream = message.upstream
        pacer = self._pacers.get(upstream)
        if pacer is None:
            pacer = self._new_pacer(upstream, has_prompt=message.tokens > 0)
        key = (message.me.name, message.number)
        due_s = now_s + message.spare_s
        until_s = now_s + message.patience_s
        batch = self._batch(upstream)
        if isinstance(pacer, budget_pacer.BudgetPacer):
            ask = admission_order.Ask(
                message.tokens,
                message.output_tokens,
                message.urgency,
                message.workspace,
                due_s,
                until_s,
                message.cached_tokens,
            )
            decisions = pacer.request(key, ask, batch, now_s)
        else:
            decisions = pacer.request(
                key, message.tokens, due_s, until_s, batch, now_s
            )
        if key not in decisions.granted and key not in decisions.refused:
            acknowledgement = fm.AdmissionReply(
                self._mesh.me, message.number, fm.AdmissionDecision.WAIT
            )
            self._send(acknowledgement, message.me.name)
        self._send_decisions(upstream, decisions)

    def _new_pacer(self, upstream: str, has_prompt: bool) -> _AnyPacer:
        """Adds the pacer of an upstream.

        Args:
          upstream: Its instance id.
          has_prompt: Whether its requests have prompts: it is an engine then.
        """
        known = self._state.directory.get(upstream)
        pacer: _AnyPacer
        if not has_prompt:
            pacer = slot_limiter.SlotLimiter()
        elif known is not None and self._uses_leases(known):
            now_s = event_loop.running().time()
            pacer = budget_pacer.BudgetPacer(now_s)
        else:
            pacer = pacer_lib.Pacer()
        self._pacers[upstream] = pacer
        return pacer

    def _grant(self, upstream: str) -> None:
        now_s = event_loop.running().time()
        decisions = self._pacers[upstream].grant(self._batch(upstream), now_s)
        self._send_decisions(upstream, decisions)

    def _batch(self, upstream: str) -> pacer_lib.Batch:
        known = self._state.directory.get(upstream)
        if known is None:
            return pacer_lib.Batch(0.0, 1)
        return pacer_lib.Batch(
            known.running, known.entry.slots, self._memory_tokens(known)
        )

    def _memory_tokens(self, known: directory_lib.KnownUpstream) -> int | None:
        """Returns the memory of an engine as configured; None if unknown."""
        configuration = self._state.configuration
        if configuration is None:
            return None
        service = configuration.services.get(known.entry.service)
        if service is None or service.engine is None:
            return None
        capacity = service.engine.kv_tokens
        return capacity if capacity > 0 else None

    def _send_decisions(
        self,
        upstream: str,
        decisions: pacer_lib.Decisions | budget_pacer.BudgetDecisions,
    ) -> None:
        me = self._mesh.me
        leased_upstream = ""
        retry_after_s: Mapping[pacer_lib.Key, float] = {}
        if isinstance(decisions, budget_pacer.BudgetDecisions):
            leased_upstream = upstream
            retry_after_s = decisions.retry_after_s
            for record in decisions.records:
                self._record_decision(upstream, record)
        for name, number in decisions.granted:
            self._send(
                fm.AdmissionReply(
                    me,
                    number,
                    fm.AdmissionDecision.SEND,
                    upstream=leased_upstream,
                ),
                name,
            )
        for name, number in decisions.refused:
            after_s = retry_after_s.get(
                (name, number), pacer_lib.OVERLOAD_RETRY_AFTER_S
            )
            self._send(
                fm.AdmissionReply(
                    me, number, fm.AdmissionDecision.REFUSE, round(after_s, 3)
                ),
                name,
            )
        self._schedule_grant(upstream)

    def _record_decision(
        self, upstream: str, record: budget_pacer.DecisionRecord
    ) -> None:
        """Logs and counts a decision with its inputs."""
        name, number = record.key
        self._log.info(
            "admission",
            engine=upstream,
            sender=name,
            number=number,
            verdict=record.verdict.value,
            reason=record.reason.value,
            urgency=record.urgency,
            workspace=record.workspace,
            place=record.place,
            waited_s=round(record.waited_s, 3),
            leases=record.leases,
            unleased=record.unleased,
            memory_tokens=record.memory_tokens,
            confirmed_age_s=round(record.confirmed_age_s, 3),
            report_max_age_s=engine_budget.REPORT_AGE_S,
            after_s=round(record.after_s, 3),
        )
        if self._metrics is None:
            return
        self._metrics.count(
            "sesamecross_admissions_total",
            "Decisions on requests to engines with small batches.",
            {
                "verdict": record.verdict.value,
                "reason": record.reason.value,
                "urgency": str(record.urgency),
            },
        )

    def _send_leave(self, name: str, number: int) -> None:
        self._send(
            fm.AdmissionReply(
                self._mesh.me, number, fm.AdmissionDecision.LEAVING
            ),
            name,
        )

    def _schedule_grant(self, upstream: str) -> None:
        """Schedules the next grant of an engine's waiting requests."""
        loop = event_loop.running()
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


def _stage(number: int) -> engine_budget.Stage:
    """Returns the stage; an unknown one is of a request that still runs."""
    try:
        return engine_budget.Stage(number)
    except ValueError:
        return engine_budget.Stage.READ
