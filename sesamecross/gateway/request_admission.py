"""Admits a request by its key and its workspace's quota."""

import msgspec

from sesamecross.gateway import request_context
from sesamecross.gateway import request_progress
from sesamecross.ops.fleet import caller_keys
from sesamecross.runtime import event_loop

# How long a request waits for word of its key: whether a newer configuration
# has it, or that there is none newer.
KEY_WAIT_S = 0.4
KEY_CHECK_INTERVAL_S = 0.05


class Rejected(msgspec.Struct, frozen=True):
    """The request is answered by the gateway.

    Attributes:
      status: The answer's status.
      retry_after_s: When to retry; None if that is of no use.
    """

    status: int
    retry_after_s: float | None = None


class RequestAdmission:
    """Admission of one request, and what it counts of its quota."""

    __slots__ = ("_context", "_progress", "_admitted_s")

    def __init__(
        self,
        context: request_context.RequestContext,
        progress: request_progress.RequestProgress,
    ):
        self._context = context
        self._progress = progress
        # When its quota admitted it; None if that was not asked.
        self._admitted_s: float | None = None

    async def admit(self) -> Rejected | None:
        """Finds the workspace and charges its quota; None if admitted."""
        return await self._check_key() or self._check_quota()

    async def _check_key(self) -> Rejected | None:
        """Finds the workspace by the request's key.

        Returns:
          Why the request is rejected, or None.
        """
        state = self._context.state
        loop = event_loop.running()
        arrived_s = state.freshness.now_s()
        ends_s = loop.time() + KEY_WAIT_S
        while True:
            verdict = caller_keys.judge(
                state.keys,
                self._progress.route,
                self._progress.request.key_digest,
                state.is_fresh,
            )
            match verdict:
                case caller_keys.Admitted(workspace=workspace):
                    if workspace is not None:
                        self._progress.request = msgspec.structs.replace(
                            self._progress.request, workspace=workspace
                        )
                    return None
                case caller_keys.UnknownKey() if (
                    state.freshness.as_of_s >= arrived_s
                ):
                    # No version that was in force on arrival has it.
                    self._progress.note = "unknown key"
                    return Rejected(401)
            left_s = ends_s - loop.time()
            if left_s <= 0 or self._context.stop is not None:
                break
            await state.wait_for_change(min(left_s, KEY_CHECK_INTERVAL_S))
        if (
            isinstance(verdict, caller_keys.UnknownKey)
            and state.freshness.age_s() < state.bounds.config_apply_s
        ):
            self._progress.note = "unknown key"
            return Rejected(401)
        self._progress.note = "configuration may be old"
        self._progress.retry_after_s = request_progress.DEFAULT_RETRY_AFTER_S
        return Rejected(503, self._progress.retry_after_s)

    @property
    def _quota_cost(self) -> float:
        """What the request counts of its workspace's quota."""
        request = self._progress.request
        return request.workspace.quota.cost(request.tokens)

    def _check_quota(self) -> Rejected | None:
        """Takes what the request counts from its workspace's quota.

        Returns:
          Why the request is refused, or None.
        """
        workspace = self._progress.request.workspace
        if workspace is None or workspace.quota is None:
            return None
        now_s = event_loop.running().time()
        refusal = self._context.state.quotas.admit(
            workspace, self._quota_cost, now_s
        )
        if refusal is None:
            self._admitted_s = now_s
            return None
        self._progress.note = "over the workspace's quota"
        self._progress.retry_after_s = refusal.after_s
        return Rejected(429, refusal.after_s)

    def settle(self) -> None:
        """Gives back what a request counts that no upstream has run."""
        if self._admitted_s is None or self._progress.history.may_have_run:
            return
        self._context.state.quotas.give_back(
            self._progress.request.workspace,
            self._quota_cost,
            self._admitted_s,
            event_loop.running().time(),
        )

    def charge_repeat(self) -> None:
        """Counts a further send, which may run like the first."""
        if self._admitted_s is None or self._progress.history.sends <= 1:
            return
        self._context.state.quotas.charge(
            self._progress.request.workspace,
            self._quota_cost,
            event_loop.running().time(),
        )
