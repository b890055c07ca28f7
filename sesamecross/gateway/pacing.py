"""Asks the instance that paces an engine, and answers for those paced here."""

import asyncio
import dataclasses

from sesamecross.core import fleet_messages as fm
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import directory as directory_lib
from sesamecross.ops.fleet import pacer as pacer_lib
from sesamecross.utils import rendezvous

# An ask without any answer is repeated after the way there and back and this
# much, and given up after the second: then the request goes without.
ANSWER_S = 0.04
TRIES = 2
SWEEP_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The engine has more to read than it can while the caller waits."""

    after_s: float


@dataclasses.dataclass(slots=True)
class Permit:
    """One request's leave to have its prompt read."""

    upstream: str
    number: int
    pacer: str
    is_open: bool = True


class Pacing:
    """Component: both sides of pacing."""

    is_vital = False
    name = "pacing"

    def __init__(self, state: state_lib.State, mesh: mesh_lib.Mesh):
        self._state = state
        self._mesh = mesh
        self._pacers: dict[str, pacer_lib.Pacer] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._asked: dict[int, asyncio.Future[fm.AdmissionReply]] = {}
        # Asks that their pacer has heard and not granted yet.
        self._heard: set[int] = set()
        # Instances that said that they stop, or this one, by name: which life.
        # They count as alive for a second more, and would be asked in vain.
        self._left: dict[str, int] = {}
        mesh.add_listener(self._on_message)

    async def run(self) -> None:
        """Grants what lost reports hold back, and forgets idle engines."""
        while True:
            await asyncio.sleep(SWEEP_S)
            for upstream in list(self._pacers):
                self._grant(upstream)
                if self._pacers[upstream].is_idle:
                    del self._pacers[upstream]

    async def stop(self) -> None:
        """Tells all that wait here to ask whoever decides next.

        They were told that they were heard, and would wait for nothing until
        they are refused. They don't go without a turn: that many prompts at
        once would make one long pause for every stream in the batch. They are
        told in the order of their turns, and each bears its own time to spare,
        so that the next one grants them in this order too.
        """
        if self._mesh.roster is None:
            return
        now_s = asyncio.get_running_loop().time()
        self._note_left(self._mesh.me)
        pacers, self._pacers = self._pacers, {}
        for timer in self._timers.values():
            timer.cancel()
        self._timers.clear()
        for pacer in pacers.values():
            for name, number in pacer.waiting(now_s):
                self._tell_leave(name, number)

    # -- asking --------------------------------------------------------

    async def ask(
        self,
        known: directory_lib.KnownUpstream,
        tokens: int,
        due_s: float,
        until_s: float,
    ) -> Permit | Refused:
        """Waits for leave to send.

        Args:
          known: The engine.
          tokens: What it has to read.
          due_s: Until when the request has to be sent to be on time.
          until_s: Until when waiting makes sense.
        """
        while True:
            pacer = self._pacer_of(known)
            if pacer is None:
                upstream = known.entry.instance_id
                return Permit(upstream, 0, "", is_open=False)
            answer = await self._ask_one(pacer, known, tokens, due_s, until_s)
            if answer is not None:
                return answer

    async def _ask_one(
        self,
        pacer: str,
        known: directory_lib.KnownUpstream,
        tokens: int,
        due_s: float,
        until_s: float,
    ) -> Permit | Refused | None:
        """Asks one instance; None where it stops, and another is to be asked.

        It is asked no more then, so that a search ends after all of them.
        """
        upstream = known.entry.instance_id
        loop = asyncio.get_running_loop()
        number = self._mesh.next_number()
        permit = Permit(upstream, number, pacer)
        granted: asyncio.Future[fm.AdmissionReply] = loop.create_future()
        self._asked[number] = granted
        round_trip_s = self._state.location.round_trip_s(known.entry.zone)
        try:
            for _ in range(TRIES):
                self._send_ask(permit, tokens, due_s, until_s)
                wait_s = min(round_trip_s + ANSWER_S, until_s - loop.time())
                await asyncio.wait([granted], timeout=max(0.0, wait_s))
                if granted.done() or number in self._heard:
                    break
            if not granted.done() and number not in self._heard:
                # Nobody paces this engine just now.
                permit.is_open = False
                return permit
            left_s = until_s - loop.time()
            await asyncio.wait([granted], timeout=max(0.0, left_s))
        except asyncio.CancelledError:
            self.read(permit)
            raise
        finally:
            self._asked.pop(number, None)
            self._heard.discard(number)
        if not granted.done():
            self.read(permit)
            return Refused(pacer_lib.OVERLOAD_RETRY_AFTER_S)
        match granted.result():
            case fm.AdmissionReply(
                verdict=fm.AdmissionDecision.REFUSE, after_s=after_s
            ):
                permit.is_open = False
                return Refused(after_s)
            case fm.AdmissionReply(verdict=fm.AdmissionDecision.LEAVING):
                return None
        return permit

    def _pacer_of(self, known: directory_lib.KnownUpstream) -> str | None:
        """Returns who paces an engine: the same for all instances."""
        roster = self._mesh.roster
        if roster is None or self._mesh.transport is None:
            return None
        now_s = asyncio.get_running_loop().time()
        members = [
            member
            for member in (*roster.alive(now_s), roster.me)
            if not self._has_left(member)
        ]
        if not members:
            return None
        zone = known.entry.zone
        regions = self._state.location.regions
        near = [member for member in members if member.zone == zone]
        if not near:
            region = regions.get(zone)
            near = [m for m in members if regions.get(m.zone) == region]
        names = [member.name for member in near or members]
        return rendezvous.top(f"pacer/{known.entry.instance_id}", names, 1)[0]

    def _note_left(self, member: fm.Member) -> None:
        self._left[member.name] = member.incarnation

    def _has_left(self, member: fm.Member) -> bool:
        return self._left.get(member.name) == member.incarnation

    def _send_ask(
        self, permit: Permit, tokens: int, due_s: float, until_s: float
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        ask = fm.AdmissionRequest(
            self._mesh.me,
            permit.number,
            permit.upstream,
            tokens,
            round(due_s - now_s, 3),
            round(until_s - now_s, 3),
        )
        self._send(ask, permit.pacer)

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

    def read(self, permit: Permit) -> None:
        """The prompt was read, or will not be sent."""
        if not permit.is_open:
            return
        permit.is_open = False
        message = fm.AdmissionRelease(
            self._mesh.me, permit.number, permit.upstream
        )
        self._send(message, permit.pacer)

    # -- pacing --------------------------------------------------------

    def _on_message(self, message: fm.Message) -> None:
        match message:
            case fm.AdmissionRequest():
                self._on_ask(message)
            case fm.AdmissionRelease(me=me, number=number, upstream=upstream):
                pacer = self._pacers.get(upstream)
                if pacer is not None:
                    pacer.prompt_read((me.name, number))
                    self._grant(upstream)
            case fm.AdmissionReply(me=me, number=number, verdict=verdict):
                if verdict is fm.AdmissionDecision.LEAVING:
                    self._note_left(me)
                asked = self._asked.get(number)
                if asked is None or asked.done():
                    return
                if verdict is fm.AdmissionDecision.WAIT:
                    self._heard.add(number)
                else:
                    asked.set_result(message)

    def _on_ask(self, message: fm.AdmissionRequest) -> None:
        if self._has_left(self._mesh.me):
            # The others' asks arrive until the port is closed.
            self._tell_leave(message.me.name, message.number)
            return
        now_s = asyncio.get_running_loop().time()
        upstream = message.upstream
        pacer = self._pacers.setdefault(upstream, pacer_lib.Pacer())
        key = (message.me.name, message.number)
        decisions = pacer.ask(
            key,
            message.tokens,
            now_s + message.spare_s,
            now_s + message.patience_s,
            self._batch(upstream),
            now_s,
        )
        if key not in decisions.granted and key not in decisions.refused:
            heard = fm.AdmissionReply(
                self._mesh.me, message.number, fm.AdmissionDecision.WAIT
            )
            self._send(heard, message.me.name)
        self._tell(upstream, decisions)

    def _grant(self, upstream: str) -> None:
        now_s = asyncio.get_running_loop().time()
        decisions = self._pacers[upstream].grant(self._batch(upstream), now_s)
        self._tell(upstream, decisions)

    def _batch(self, upstream: str) -> pacer_lib.Batch:
        known = self._state.directory.get(upstream)
        if known is None:
            return pacer_lib.Batch(0.0, 1)
        return pacer_lib.Batch(known.running, known.entry.slots)

    def _tell(self, upstream: str, decisions: pacer_lib.Decisions) -> None:
        me = self._mesh.me
        for name, number in decisions.granted:
            self._send(
                fm.AdmissionReply(me, number, fm.AdmissionDecision.SEND), name
            )
        for name, number in decisions.refused:
            back_s = pacer_lib.OVERLOAD_RETRY_AFTER_S
            self._send(
                fm.AdmissionReply(
                    me, number, fm.AdmissionDecision.REFUSE, back_s
                ),
                name,
            )
        self._look_again(upstream)

    def _tell_leave(self, name: str, number: int) -> None:
        self._send(
            fm.AdmissionReply(
                self._mesh.me, number, fm.AdmissionDecision.LEAVING
            ),
            name,
        )

    def _look_again(self, upstream: str) -> None:
        """Looks at an engine's asks when the next one may go."""
        loop = asyncio.get_running_loop()
        pacer = self._pacers.get(upstream)
        if pacer is None or upstream in self._timers:
            return
        at_s = pacer.next_check_s(loop.time())
        if at_s is not None:
            self._timers[upstream] = loop.call_at(at_s, self._on_time, upstream)

    def _on_time(self, upstream: str) -> None:
        del self._timers[upstream]
        if upstream in self._pacers:
            self._grant(upstream)
