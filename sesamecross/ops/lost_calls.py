"""Withholds calls that end the upstreams of one entry.

An entry learns in different ways whether an upstream has ended after it lost a
call there: from the reports of engines, and from connections that are refused.
What follows for the call is decided in
`sesamecross.ops.fleet.request_ledger`.
"""

from sesamecross.ops.fleet import request_ledger
from sesamecross.ops.fleet import send_gate


class LostCalls:
    """The calls that one entry has lost. Not thread-safe."""

    __slots__ = ("_ledger", "_pending", "_ends")

    def __init__(self) -> None:
        self._ledger = request_ledger.RequestLedger()
        # By the upstream's name: the fingerprints of the calls that it lost
        # since it was last known to live, and when.
        self._pending: dict[str, dict[bytes, float]] = {}
        # How often each upstream has ended, which tells its incarnations apart.
        self._ends: dict[str, int] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no call was lost, so that all may be sent."""
        return not len(self._ledger)

    def record_loss(
        self, fingerprint: bytes, upstream: str, now_s: float
    ) -> None:
        """Records that an upstream left a call without a whole answer.

        An empty fingerprint is that of no call.
        """
        if not fingerprint:
            return
        pending = self._pending.setdefault(upstream, {})
        if len(pending) < request_ledger.MAX_REQUESTS:
            pending.setdefault(fingerprint, now_s)
        self._add(fingerprint, upstream, now_s, None)

    def record_end(self, upstream: str) -> None:
        """Records that an upstream has ended since it lost calls."""
        self._settle(upstream, True)
        self._ends[upstream] = self._ends.get(upstream, 0) + 1

    def record_contact(self, upstream: str) -> None:
        """Records that an upstream lives on after it lost calls."""
        self._settle(upstream, False)

    def _settle(self, upstream: str, has_ended: bool) -> None:
        for fingerprint, at_s in self._pending.pop(upstream, {}).items():
            self._add(fingerprint, upstream, at_s, has_ended)

    def _add(
        self,
        fingerprint: bytes,
        upstream: str,
        at_s: float,
        has_ended: bool | None,
    ) -> None:
        incarnation = f"{upstream}/{self._ends.get(upstream, 0)}"
        self._ledger.add_loss(
            fingerprint,
            request_ledger.RequestLoss(incarnation, at_s, has_ended),
        )

    def record_answer(self, fingerprint: bytes, sent_s: float) -> None:
        """Records a whole answer to a call that was sent at a time."""
        self._ledger.add_answer(fingerprint, sent_s)

    def left_s(self, fingerprint: bytes, now_s: float) -> float | None:
        """Returns for how long a call is withheld; None if it may be sent.

        It is not withheld while only two upstreams may have ended under it: an
        entry hears no news of others that would be worth waiting for.
        """
        if self.is_idle or not fingerprint:
            return None
        self._ledger.forget(now_s)
        match self._ledger.judge(fingerprint, now_s, now_s):
            case send_gate.Refuse(after_s=after_s):
                return after_s
            case send_gate.WaitUntil(at_s=at_s) if (
                self._ledger.count(fingerprint) >= request_ledger.MAX_ENDED
            ):
                return at_s - now_s
        return None
