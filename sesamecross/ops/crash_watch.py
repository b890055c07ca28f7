"""Withholds what crashes engines from the engines of one entry.

An entry sees which of its calls an engine left unanswered, and learns from
reports whether the engine has ended since. What follows for the blocks that
prompts share is decided in `sesamecross.ops.fleet.crash_ledger`, and for single
calls in `sesamecross.ops.fleet.request_ledger`.
"""

import dataclasses

from sesamecross.core import data
from sesamecross.ops import lost_calls
from sesamecross.ops import routing
from sesamecross.ops.fleet import crash_evidence
from sesamecross.ops.fleet import crash_ledger


@dataclasses.dataclass(slots=True)
class _Loss:
    """Calls that an engine left unanswered.

    Attributes:
      epoch, sequence: Of the engine's last report before.
      at_s: Monotonic time of the first of them.
    """

    epoch: str
    sequence: int
    at_s: float
    prompts: set[crash_evidence.Prompt]


class CrashWatch:
    """What one entry knows of prompts and calls that crash engines."""

    __slots__ = ("_ledger", "_losses", "_lost_calls")

    def __init__(self) -> None:
        self._lost_calls = lost_calls.LostCalls()
        self._ledger = crash_ledger.CrashLedger()
        # By the engine's name.
        self._losses: dict[str, _Loss] = {}

    def record_loss(
        self,
        call: routing.Call,
        report: data.UpstreamReport | None,
        is_unanswered: bool,
        now_ms: int,
    ) -> None:
        """Records a call that failed at an engine.

        Args:
          call: The call.
          report: The engine's last report.
          is_unanswered: Whether it failed before its first token.
          now_ms: Monotonic time.
        """
        if report is None:
            return
        self._lost_calls.record_loss(
            call.fingerprint, report.upstream, now_ms / 1000
        )
        loss = self._losses.get(report.upstream)
        if loss is None or loss.epoch != report.epoch:
            loss = _Loss(report.epoch, report.sequence, now_ms / 1000, set())
            self._losses[report.upstream] = loss
        prompt = _prompt(call)
        if prompt is None or not is_unanswered:
            return
        if len(loss.prompts) < crash_ledger.MAX_PROMPTS_OF_CRASH:
            loss.prompts.add(prompt)

    def record_report(self, report: data.UpstreamReport) -> None:
        """Learns from a report whether an engine has ended since a loss."""
        loss = self._losses.get(report.upstream)
        if loss is None:
            return
        if report.epoch != loss.epoch or not report.reachable:
            del self._losses[report.upstream]
            self._lost_calls.record_end(report.upstream)
            if loss.prompts:
                engine = f"{report.upstream}/{loss.epoch}"
                self._ledger.add_crash(engine, loss.at_s, loss.prompts)
        elif report.sequence > loss.sequence + 1:
            # The first one may have been made before the loss.
            del self._losses[report.upstream]
            self._lost_calls.record_contact(report.upstream)

    def record_answer(self, call: routing.Call, now_ms: int) -> None:
        """Records that a call was answered to the end."""
        self._lost_calls.record_answer(call.fingerprint, call.arrived_ms / 1000)
        prompt = _prompt(call)
        if prompt is not None:
            self._ledger.add_own_answer(prompt, now_ms / 1000)

    def left_s(self, call: routing.Call, now_ms: int) -> float | None:
        """Returns for how long a call is withheld; None if it may be sent."""
        left_s = self._lost_calls.left_s(call.fingerprint, now_ms / 1000)
        if left_s is not None:
            return left_s
        self._ledger.step(now_ms / 1000, is_holder=True)
        if not self._ledger.withheld:
            return None
        prompt = _prompt(call)
        if prompt is None:
            return None
        return self._ledger.left_s(prompt, now_ms / 1000)

    def may_send_again(self, call: routing.Call) -> bool:
        """Whether a call that an engine did not answer may go to another."""
        prompt = _prompt(call)
        return prompt is None or not self._ledger.is_suspected(prompt)


def _prompt(call: routing.Call) -> crash_evidence.Prompt | None:
    """Returns the blocks of a call's prompt as parts."""
    if not call.blocks:
        return None
    # A block's hash covers all text before it: the first ones are shared.
    blocks = call.blocks[: crash_evidence.MAX_PARTS]
    return crash_evidence.Prompt(
        tuple(f"{block:016x}" for block in blocks), call.call_id
    )
