"""Withholds prompts with a part that crashes engines.

Such prompts come at any instance, no two alike, and each ends the engine that
begins to answer it, with all requests there. So instances tell each other which
prompts an engine left unanswered as it ended, and which parts are answered
elsewhere. What follows from that is decided in
`sesamecross.ops.fleet.crash_ledger`; this module observes, verifies and sends.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math
import random

from sesamecross.core import fleet_messages as fm
from sesamecross.core import serving
from sesamecross.gateway import end_verifier
from sesamecross.gateway import event_relay
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import crash_evidence
from sesamecross.ops.fleet import crash_ledger
from sesamecross.ops.fleet import directory
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import ticker as ticker_lib

STEP_INTERVAL_S = 0.1
# A datagram may be lost, and a hub may end.
RESEND_AFTER_S = (0.4, 1.2)
# The same for an answer, which must come before others withhold its parts.
RESEND_ANSWER_AFTER_S = (0.15, 0.4)
# Many instances may know an answer. Within this time one speaks for them.
REPLY_SPREAD_S = 0.2
# A part is not asked about again, by any instance, within this time.
ASK_INTERVAL_S = 0.3
# How often the lease holder repeats what is withheld, for new instances.
ANNOUNCE_INTERVAL_S = 2.0
# Bounds one message.
MAX_PROMPTS_OF_ENGINE = 16


class _Observed:
    """What this instance has seen of an engine that has perhaps ended."""

    __slots__ = ("lost_s", "prompts", "has_ended")

    def __init__(self, lost_s: float):
        self.lost_s = lost_s
        self.prompts: set[crash_evidence.Prompt] = set()
        self.has_ended = False


class CrashGuard:
    """Component that exchanges what crashed engines, and withholds it."""

    is_vital = False
    name = "crashes"

    __slots__ = (
        "_state",
        "_mesh",
        "_verifier",
        "_is_holder",
        "_metrics",
        "_ticker",
        "_log",
        "_ledger",
        "_observed",
        "_verifications",
        "_resends",
        "_answer_resends",
        "_announced_s",
        "_asked",
        "_reply",
        "_asked_s",
        "_restored",
        "_rng",
    )

    def __init__(
        self,
        state: state_lib.State,
        mesh: mesh_lib.Mesh,
        verifier: end_verifier.EndVerifier,
        is_holder: Callable[[], bool],
        rng: random.Random,
        metrics: metrics_lib.Metrics,
        ticker: ticker_lib.Ticker | None = None,
    ):
        """Initializes the guard.

        Args:
          state: Is notified of changes.
          mesh: Exchanges messages with the other instances.
          verifier: Finds out whether an engine has ended.
          is_holder: Whether this instance holds the lease.
          rng: Spreads what several instances would send at one moment.
          metrics: Of the process.
          ticker: The process's ticker.
        """
        self._state = state
        self._mesh = mesh
        self._verifier = verifier
        self._is_holder = is_holder
        self._rng = rng
        self._metrics = metrics
        self._ticker = ticker or ticker_lib.Ticker()
        self._log = logs.get_logger("crashes")
        self._ledger = crash_ledger.CrashLedger()
        # By the engine's incarnation.
        self._observed: dict[str, _Observed] = {}
        self._verifications: set[asyncio.Task] = set()
        # When to send a crash or an answer again.
        self._resends: list[tuple[float, str]] = []
        self._answer_resends: list[tuple[float, str]] = []
        self._announced_s = 0.0
        # Suspected parts about which an answer may be reported, and the timer
        # for it.
        self._asked: set[str] = set()
        self._reply: asyncio.TimerHandle | None = None
        # Parts of the store's records, which may be wrong.
        self._restored: set[str] = set()
        # When any instance last asked about a part.
        self._asked_s: dict[str, float] = {}
        mesh.add_listener(self._on_message)

    @property
    def withheld(self) -> tuple[crash_ledger.Withheld, ...]:
        """The parts that are withheld now."""
        return self._ledger.withheld

    async def run(self) -> None:
        """Sends again, announces and forgets."""
        self._ledger.started_s = event_loop.now_s()
        while True:
            await self._ticker.wait(STEP_INTERVAL_S)
            now_s = event_loop.now_s()
            if self._ledger.crash_count or self._ledger.withheld:
                self._step(now_s)
            self._resend(now_s)
            self._announce(now_s)
            self._forget(now_s)

    async def stop(self) -> None:
        """Ends the verifications; others know the rest."""
        self._verifier.stop()
        for task in self._verifications:
            task.cancel()
        if self._reply is not None:
            self._reply.cancel()

    # -- requests ----------------------------------------------------------

    def left_s(self, call: serving.ModelCall) -> float | None:
        """Returns for how long a call is withheld; None if it may be sent."""
        if not self._ledger.withheld:
            return None
        prompt = crash_evidence.prompt_of(call)
        if prompt is None:
            return None
        return self._ledger.left_s(prompt, event_loop.now_s())

    def may_send_again(self, call: serving.ModelCall) -> bool:
        """Whether a call that an engine did not answer may go to another."""
        prompt = crash_evidence.prompt_of(call)
        return prompt is None or not self._ledger.is_suspected(prompt)

    def record_answer(self, call: serving.ModelCall, began_s: float) -> None:
        """Records that an answer is under way, or has come to its end.

        Args:
          call: The request.
          began_s: Loop time of the answer's first event.
        """
        prompt = crash_evidence.prompt_of(call)
        if prompt is None:
            return
        cleared = self._ledger.add_own_answer(prompt, began_s)
        if cleared:
            self._send_answers(dict.fromkeys(cleared, began_s))
            self._state.notify_change()

    def record_loss(
        self,
        call: serving.ModelCall,
        upstream: directory.KnownUpstream,
        first_event_s: float | None,
    ) -> None:
        """Records that an engine's connection broke before the answer's end.

        Args:
          call: The request.
          upstream: The engine.
          first_event_s: Loop time of the answer's first event; None before it.
        """
        now_s = event_loop.now_s()
        prompt = crash_evidence.prompt_of(call)
        if prompt is None:
            return
        written_s = 0.0 if first_event_s is None else now_s - first_event_s
        if written_s >= event_relay.UNDER_WAY_S:
            return
        engine = end_verifier.incarnation(upstream)
        observed = self._observed.get(engine)
        if observed is None:
            observed = self._observed[engine] = _Observed(now_s)
            task = asyncio.create_task(self._verify(engine, upstream, observed))
            self._verifications.add(task)
            task.add_done_callback(self._verifications.discard)
        if len(observed.prompts) < MAX_PROMPTS_OF_ENGINE:
            observed.prompts.add(prompt)
        if observed.has_ended:
            self._report(engine, observed)

    async def _verify(
        self,
        engine: str,
        upstream: directory.KnownUpstream,
        observed: _Observed,
    ) -> None:
        """Reports the engine's prompts once it is known to have ended."""
        verification = self._verifier.verify(upstream, observed.lost_s)
        has_ended = await asyncio.shield(verification)
        if not has_ended:
            self._observed.pop(engine, None)
            return
        self._log.info(
            "engine ended",
            upstream=engine,
            prompts=[
                (*prompt.shared[-4:], prompt.own) for prompt in observed.prompts
            ],
        )
        observed.has_ended = True
        self._report(engine, observed)

    # -- exchange ----------------------------------------------------------

    def _report(self, engine: str, observed: _Observed) -> None:
        now_s = event_loop.now_s()
        self._ledger.add_crash(engine, observed.lost_s, observed.prompts)
        self._resends.extend(
            (now_s + after_s, engine) for after_s in RESEND_AFTER_S
        )
        self._send_crashes([engine], now_s)

    def _send_crashes(self, engines: Iterable[str], now_s: float) -> None:
        for engine in engines:
            observed = self._observed.get(engine)
            if observed is None:
                continue
            prompts = [
                fm.UnansweredPrompt(list(prompt.shared), prompt.own)
                for prompt in observed.prompts
            ]
            age_s = round(now_s - observed.lost_s, 3)
            # One in a message, which has to fit in a datagram.
            self._send(crashes=[fm.CrashedEngine(engine, age_s, prompts)])

    def _send(
        self,
        crashes: Iterable[fm.CrashedEngine] = (),
        answered: Iterable[fm.AnsweredPart] = (),
        withheld: Iterable[fm.WithheldPart] = (),
        suspected: Iterable[str] = (),
    ) -> None:
        if self._mesh.roster is None:
            return
        self._mesh.broadcast(
            fm.CrashNews(
                self._mesh.me,
                self._mesh.next_number(),
                list(crashes),
                list(answered),
                list(withheld),
                list(suspected),
            )
        )

    def _send_answers(self, answered_s: Mapping[str, float]) -> None:
        now_s = event_loop.now_s()
        self._log.info("part answered", parts=list(answered_s))
        self._answer_resends.extend(
            (now_s + after_s, part)
            for part in answered_s
            for after_s in RESEND_ANSWER_AFTER_S
        )
        self._broadcast_answers(answered_s, now_s)

    def _broadcast_answers(
        self, answered_s: Mapping[str, float], now_s: float
    ) -> None:
        self._send(
            answered=[
                fm.AnsweredPart(part, round(now_s - at_s, 3))
                for part, at_s in answered_s.items()
            ]
        )

    def _resend(self, now_s: float) -> None:
        due, self._resends = _split_due(self._resends, now_s)
        if due:
            self._send_crashes(due, now_s)
        due, self._answer_resends = _split_due(self._answer_resends, now_s)
        if due:
            answered_s = {part: self._ledger.own_answer_s(part) for part in due}
            self._broadcast_answers(
                {part: at for part, at in answered_s.items() if at is not None},
                now_s,
            )

    def _announce(self, now_s: float) -> None:
        is_due = now_s - self._announced_s >= ANNOUNCE_INTERVAL_S
        if not is_due or not self._ledger.withheld or not self._is_holder():
            return
        self._announced_s = now_s
        self._send(
            withheld=[
                fm.WithheldPart(
                    one.part, round(one.until_s - now_s, 1), one.hold_s
                )
                for one in self._ledger.withheld
            ]
        )

    def _on_message(self, message: fm.Message) -> None:
        match message:
            case fm.CrashNews():
                self._on_news(message)

    def _on_news(self, news: fm.CrashNews) -> None:
        now_s = event_loop.now_s()
        for crash in news.crashes:
            self._ledger.add_crash(
                crash.engine,
                now_s - max(0.0, crash.age_s),
                [
                    crash_evidence.Prompt(tuple(prompt.shared), prompt.own)
                    for prompt in crash.prompts
                ],
            )
        for answer in news.answered:
            self._ledger.add_reported_answer(
                answer.part, now_s - max(0.0, answer.age_s)
            )
        for one in news.withheld:
            self._on_withheld(one, news.me.name, now_s)
        self._asked_s |= dict.fromkeys(news.suspected, now_s)
        self._reply_soon(news.suspected)

    def _on_withheld(
        self, one: fm.WithheldPart, holder: str, now_s: float
    ) -> None:
        answered_s = self._ledger.own_answer_s(one.part)
        # In this order, a value that is no number counts as the limit.
        left_s = min(crash_ledger.ANNOUNCED_LIFE_S, one.left_s)
        if not self._ledger.add_withheld(one.part, left_s, one.hold_s, now_s):
            return
        self._log.warning("part withheld", by=holder, withheld=one.part)
        if answered_s is not None and self._ledger.clear(one.part, answered_s):
            # The holder does not know of the answer.
            self._send_answers({one.part: answered_s})
        self._state.notify_change()

    def restore(self, part: str, left_s: float, hold_s: float) -> None:
        """Takes over what the store says is withheld."""
        now_s = event_loop.now_s()
        if self._ledger.add_withheld(part, left_s, hold_s, now_s):
            self._log.warning("part withheld", by="store", withheld=part)
            self._restored.add(part)
            self._state.notify_change()

    # -- decisions ---------------------------------------------------------

    def _ask(self, now_s: float) -> None:
        """Asks for answers to parts that will be withheld without any."""
        if self._mesh.roster is None:
            return
        suspected = self._ledger.suspected | self._restored
        self._restored.clear()
        due = [
            part
            for part in sorted(suspected)
            if now_s - self._asked_s.get(part, -math.inf) >= ASK_INTERVAL_S
        ]
        self._asked_s = {
            part: at_s
            for part, at_s in self._asked_s.items()
            if now_s - at_s < ASK_INTERVAL_S
        } | dict.fromkeys(due, now_s)
        if due:
            self._log.info("parts suspected", parts=due)
            self._send(suspected=due)

    def _reply_soon(self, parts: Iterable[str]) -> None:
        """Reports answers in a moment, unless another instance does so."""
        self._asked.update(parts)
        if self._asked and self._reply is None:
            self._reply = event_loop.running().call_later(
                self._rng.uniform(0, REPLY_SPREAD_S), self._send_reply
            )

    def _send_reply(self) -> None:
        self._reply = None
        answered_s = {
            part: at_s
            for part in sorted(self._asked)
            if (at_s := self._ledger.unreported_answer_s(part)) is not None
        }
        self._asked.clear()
        if answered_s:
            self._send_answers(answered_s)

    def _step(self, now_s: float) -> None:
        begun = self._ledger.step(now_s, self._is_holder())
        self._ask(now_s)
        for one in begun:
            self._log.warning(
                "part withheld",
                by="own finding",
                withheld=one.part,
                for_s=round(one.hold_s),
                crashes=self._ledger.crash_count,
            )
            self._announced_s = 0.0
        if begun:
            # Requests that wait with it are refused now.
            self._state.notify_change()
        self._metrics.set(
            "sesamecross_withheld_parts",
            "Parts of prompts that are withheld as they crash engines.",
            {},
            len(self._ledger.withheld),
        )

    def _forget(self, now_s: float) -> None:
        if not self._observed:
            return
        self._observed = {
            engine: observed
            for engine, observed in self._observed.items()
            if now_s - observed.lost_s < crash_ledger.CRASH_LIFE_S
        }


def _split_due(
    resends: list[tuple[float, str]], now_s: float
) -> tuple[list[str], list[tuple[float, str]]]:
    """Returns the names that are due, and the rest."""
    due = sorted({name for at_s, name in resends if at_s <= now_s})
    return due, [one for one in resends if one[0] > now_s]
