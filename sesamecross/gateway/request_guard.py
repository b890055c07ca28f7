"""Withholds requests that end the upstreams that run them.

A caller repeats such a request at any instance, some tenths of a second later.
So each instance tells all others at once of a request that was lost, before it
is known whether the upstream has ended, and again once that is known. What
follows is decided in `sesamecross.ops.fleet.request_ledger`.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random

from sesamecross.core import fleet_messages as fm
from sesamecross.gateway import end_verifier
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import crash_ledger
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import request_ledger
from sesamecross.ops.fleet import send_gate
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import metrics as metrics_lib
from sesamecross.runtime import ticker as ticker_lib

STEP_INTERVAL_S = 0.25
# A datagram may be lost, and a hub may end.
RESEND_AFTER_S = (0.5, 1.5)
# The same for a request under which others may have ended, whose next attempt
# comes soon.
RESEND_SUSPECT_AFTER_S = 0.1
# How often an instance asks after its start, and how many others each time:
# these may have just started too.
MAX_QUESTIONS = 4
PEERS_ASKED = 2
# How often the lease holder repeats what it knows, for new instances.
ANNOUNCE_INTERVAL_S = 2.0
# Bounds one message.
MAX_REQUESTS_OF_LOSS = 256
# The same for what a new instance is told; the latest requests count.
MAX_KNOWN = 512


class _Observed:
    """What this instance lost at an upstream that has perhaps ended."""

    __slots__ = ("lost_s", "requests", "has_ended")

    def __init__(self, lost_s: float):
        self.lost_s = lost_s
        self.requests: set[bytes] = set()
        self.has_ended: bool | None = None


class RequestGuard:
    """Component that exchanges lost requests, and withholds some of them."""

    is_vital = False
    name = "lost requests"

    __slots__ = (
        "_state",
        "_mesh",
        "_verifier",
        "_is_holder",
        "_rng",
        "_metrics",
        "_ticker",
        "_log",
        "_ledger",
        "_observed",
        "_unsent",
        "_suspects",
        "_resends",
        "_announced_s",
        "_tasks",
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
          verifier: Finds out whether an upstream has ended.
          is_holder: Whether this instance holds the lease.
          rng: Picks the instances that are asked.
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
        self._log = logs.get_logger("requests")
        self._ledger = request_ledger.RequestLedger()
        # By the upstream's incarnation.
        self._observed: dict[str, _Observed] = {}
        # Incarnations of which the others are told in a moment.
        self._unsent: set[str] = set()
        # Those that lost a request under suspicion, to be sent once more soon.
        self._suspects: set[str] = set()
        self._resends: list[tuple[float, str]] = []
        self._announced_s = 0.0
        self._tasks: set[asyncio.Task] = set()
        mesh.add_listener(self._on_message)

    async def run(self) -> None:
        """Sends again, announces and forgets."""
        questions = 0
        while True:
            if self._mesh.roster is not None and questions < MAX_QUESTIONS:
                questions += 1
                self._ask_peers()
            await self._ticker.wait(STEP_INTERVAL_S)
            now_s = event_loop.now_s()
            due = {name for at_s, name in self._resends if at_s <= now_s}
            self._resends = [one for one in self._resends if one[0] > now_s]
            self._send_losses(due)
            self._announce(now_s)
            self._forget(now_s)

    async def stop(self) -> None:
        """Ends the verifications."""
        self._verifier.stop()
        for task in self._tasks:
            task.cancel()

    # -- requests ----------------------------------------------------------

    @property
    def withheld(self) -> tuple[crash_ledger.Withheld, ...]:
        """The requests that are withheld now, by fingerprint in hex."""
        if self.is_idle:
            return ()
        now_s = event_loop.now_s()
        return tuple(
            crash_ledger.Withheld(
                request.hex(), now_s, until_s, until_s - now_s
            )
            for request, until_s in self._ledger.withheld(now_s).items()
        )

    def restore(self, request: str, left_s: float) -> None:
        """Takes over what the store says is withheld.

        Args:
          request: The fingerprint in hex.
          left_s: For how long it is withheld.
        """
        now_s = event_loop.now_s()
        try:
            fingerprint = bytes.fromhex(request)
        except ValueError:
            self._log.warning("unreadable record", work=request)
            return
        self._ledger.restore(fingerprint, now_s + left_s)
        self._log_if_withheld(fingerprint, "store")

    @property
    def is_idle(self) -> bool:
        """Whether no request was lost, so that all may be sent."""
        return not len(self._ledger)

    def judge(self, request: bytes, arrived_s: float) -> send_gate.Verdict:
        """Decides whether a request may be sent.

        Args:
          request: Its fingerprint.
          arrived_s: Loop time at which this attempt arrived.
        """
        now_s = event_loop.now_s()
        return self._ledger.judge(request, arrived_s, now_s)

    def record_answer(self, request: bytes, sent_s: float) -> None:
        """Records a whole answer.

        Args:
          request: The request's fingerprint.
          sent_s: Loop time at which the request was sent.
        """
        if not self._ledger.add_answer(request, sent_s):
            return
        age_s = event_loop.now_s() - sent_s
        self._send(answered=[fm.AnsweredRequest(request, round(age_s, 3))])
        self._state.notify_change()

    def record_loss(
        self, request: bytes, upstream: directory.KnownUpstream
    ) -> None:
        """Records that an upstream's connection broke before the answer's end.

        Args:
          request: The request's fingerprint.
          upstream: Where it was sent.
        """
        now_s = event_loop.now_s()
        name = end_verifier.incarnation(upstream)
        observed = self._observed.get(name)
        if observed is None:
            observed = self._observed[name] = _Observed(now_s)
            verification = self._verifier.verify(upstream, now_s, request)
            task = asyncio.create_task(
                self._verify(name, observed, verification)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if len(observed.requests) < MAX_REQUESTS_OF_LOSS:
            observed.requests.add(request)
        loss = request_ledger.RequestLoss(name, now_s, observed.has_ended)
        if self._ledger.add_loss(request, loss):
            self._log_if_withheld(request, "own finding")
        loop = event_loop.running()
        if not self._unsent:
            # All requests that break off at one moment go into one message.
            loop.call_soon(self._send_unsent)
        self._unsent.add(name)
        if self._ledger.count(request) >= request_ledger.MIN_SUSPECT:
            if not self._suspects:
                loop.call_later(RESEND_SUSPECT_AFTER_S, self._resend_suspects)
            self._suspects.add(name)

    async def _verify(
        self,
        name: str,
        observed: _Observed,
        verification: asyncio.Task[bool | None],
    ) -> None:
        """Tells all what has become of the upstream."""
        # What can't be told counts as a broken connection.
        observed.has_ended = bool(await asyncio.shield(verification))
        for request in observed.requests:
            loss = request_ledger.RequestLoss(
                name, observed.lost_s, observed.has_ended
            )
            if self._ledger.add_loss(request, loss):
                self._log_if_withheld(request, "own finding")
        self._state.notify_change()
        self._send_losses([name])
        if observed.has_ended:
            now_s = event_loop.now_s()
            self._resends.extend(
                (now_s + after_s, name) for after_s in RESEND_AFTER_S
            )
        else:
            self._observed.pop(name, None)

    # -- exchange ----------------------------------------------------------

    def _send_unsent(self) -> None:
        unsent, self._unsent = self._unsent, set()
        self._send_losses(unsent)

    def _resend_suspects(self) -> None:
        suspects, self._suspects = self._suspects, set()
        self._send_losses(suspects)

    def _send_losses(self, names: Iterable[str]) -> None:
        now_s = event_loop.now_s()
        losses = [
            fm.LostRequests(
                name,
                round(now_s - observed.lost_s, 3),
                observed.has_ended,
                sorted(observed.requests),
            )
            for name in sorted(names)
            if (observed := self._observed.get(name)) is not None
        ]
        if losses:
            self._send(losses=losses)

    def _announce(self, now_s: float) -> None:
        if (
            self._is_holder()
            and len(self._ledger)
            and now_s - self._announced_s >= ANNOUNCE_INTERVAL_S
        ):
            self._announced_s = now_s
            known = self._known(now_s, request_ledger.MIN_SUSPECT)
            if known:
                self._send(losses=known)

    def _ask_peers(self) -> None:
        now_s = event_loop.now_s()
        me = self._mesh.me
        peers = [
            one for one in self._mesh.roster.alive(now_s) if one.name != me.name
        ]
        for peer in self._rng.sample(peers, min(PEERS_ASKED, len(peers))):
            question = fm.RequestQuestion(me, self._mesh.next_number())
            self._mesh.send(question, peer)

    def _answer_question(self, question: fm.RequestQuestion) -> None:
        now_s = event_loop.now_s()
        known = self._known(now_s, min_ended=1)
        if known:
            number = self._mesh.next_number()
            news = fm.RequestNews(self._mesh.me, number, known)
            self._mesh.send(news, question.me)

    def _known(self, now_s: float, min_ended: int) -> list[fm.LostRequests]:
        """Returns the requests under which so many upstreams have ended."""
        losses: dict[str, fm.LostRequests] = {}
        for request, known in self._ledger.ended(min_ended)[-MAX_KNOWN:]:
            for loss in known:
                age_s = round(now_s - loss.at_s, 3)
                losses.setdefault(
                    loss.upstream,
                    fm.LostRequests(loss.upstream, age_s, True, []),
                ).requests.append(request)
        return list(losses.values())

    def _send(
        self,
        losses: Iterable[fm.LostRequests] = (),
        answered: Iterable[fm.AnsweredRequest] = (),
    ) -> None:
        if self._mesh.roster is None:
            return
        self._mesh.broadcast(
            fm.RequestNews(
                self._mesh.me,
                self._mesh.next_number(),
                list(losses),
                list(answered),
            )
        )

    def _on_message(self, message: fm.Message) -> None:
        match message:
            case fm.RequestNews():
                self._on_news(message)
            case fm.RequestQuestion():
                self._answer_question(message)

    def _on_news(self, news: fm.RequestNews) -> None:
        now_s = event_loop.now_s()
        is_changed = False
        for lost in news.losses:
            at_s = now_s - max(0.0, lost.age_s)
            loss = request_ledger.RequestLoss(
                lost.upstream, at_s, lost.has_ended
            )
            for request in lost.requests:
                if self._ledger.add_loss(request, loss):
                    is_changed = True
                    self._log_if_withheld(request, news.me.name)
        for answer in news.answered:
            began_s = now_s - max(0.0, answer.age_s)
            is_changed |= self._ledger.add_answer(answer.request, began_s)
        if is_changed:
            self._state.notify_change()

    def _log_if_withheld(self, request: bytes, by: str) -> None:
        match self.judge(request, 0.0):
            case send_gate.Refuse(after_s=after_s):
                self._log.warning(
                    "request withheld",
                    work=request.hex(),
                    by=by,
                    for_s=round(after_s, 1),
                )

    def _forget(self, now_s: float) -> None:
        if not len(self._ledger) and not self._observed:
            return
        self._ledger.forget(now_s)
        life_s = request_ledger.LOSS_LIFE_S
        self._observed = {
            name: observed
            for name, observed in self._observed.items()
            if now_s - observed.lost_s < life_s
        }
        self._metrics.set(
            "sesamecross_withheld_requests",
            "Requests that are withheld as upstreams ended under them.",
            {},
            len(self._ledger.withheld(now_s)),
        )
