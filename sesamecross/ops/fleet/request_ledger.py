"""Keeps which requests were lost as their upstreams ended.

A request may end each upstream that runs it. Its caller repeats it under a new
id and at another instance, so it is known by a fingerprint of what it holds. An
upstream that ends takes all its requests with it; but few requests lose one
upstream after the other, and a wrong verdict harms no other request. So what
counts is how many upstreams ended under a request, not what else ran there.
"""

from collections.abc import Iterable
import hashlib

import msgspec

from sesamecross.core import body_buffer
from sesamecross.core import serving
from sesamecross.ops.fleet import send_gate

# Once so many upstreams have ended under a request, it is withheld.
MAX_ENDED = 3
# From this many losses on, what is known must be complete before the next send.
MIN_SUSPECT = 2
# How long news of a loss may be under way, and how far apart upstreams end that
# have one cause of their own, like a rack that loses power.
SETTLE_S = 0.25
# For how long a loss counts whose cause is still being found out.
PENDING_LIFE_S = 3.0
# How long a request is withheld at first; twice as long after each further
# upstream that ends under it. Callers give up sooner.
FIRST_HOLD_S = 30.0
MAX_HOLD_S = 3600.0
# How long losses count.
LOSS_LIFE_S = 600.0
# Bounds of the table: requests, and upstreams of each.
MAX_REQUESTS = 4096
MAX_LOSSES_OF_REQUEST = 16
FINGERPRINT_BYTES = 12


def fingerprint(request: serving.Request) -> bytes:
    """Returns what stays the same over all attempts for the same request.

    That is all that an upstream runs: method, host, path, body and prompt, for
    one workspace.
    """
    texts = [request.host]
    if request.workspace is not None:
        texts.append(f"for {request.workspace.name}")
    call = request.call
    if call is not None:
        texts += [call.target, f"{call.prompt_tokens},{call.output_tokens}"]
        texts += [f"{part.part_id}:{part.tokens}" for part in call.parts]
    return fingerprint_of(
        request.method,
        request.path,
        request.body,
        *(one.encode("latin-1", "replace") for one in texts),
    )


def fingerprint_of(*fields: bytes | body_buffer.BodyBuffer) -> bytes:
    """Returns the digest of a list of fields."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        # With its length, so that no two lists have one digest.
        digest.update(b"%d:" % len(field))
        for piece in body_buffer.pieces(field):
            digest.update(piece)
    return digest.digest()


class RequestLoss(msgspec.Struct, frozen=True):
    """A request that an upstream left without a whole answer.

    Attributes:
      upstream: Its incarnation.
      at_s: Monotonic time at which the connection broke.
      has_ended: Whether the upstream has ended; None while that is unknown.
    """

    upstream: str
    at_s: float
    has_ended: bool | None = None


class RequestLedger:
    """The lost requests that one instance knows of."""

    __slots__ = ("_losses", "_recorded_until_s")

    def __init__(self) -> None:
        # By fingerprint, then by the upstream's incarnation; oldest first.
        self._losses: dict[bytes, dict[str, RequestLoss]] = {}
        # Until when requests are withheld by records of an earlier time, whose
        # losses nobody knows any more.
        self._recorded_until_s: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._losses) + len(self._recorded_until_s)

    def withheld(self, now_s: float) -> dict[bytes, float]:
        """Returns until when requests are withheld."""
        until_s = dict(self._recorded_until_s)
        for request, losses in self._losses.items():
            ended = _count_ended(losses.values())
            if ended >= MAX_ENDED:
                last_s = max(loss.at_s for loss in losses.values())
                until_s[request] = last_s + _hold_s(ended)
        return {
            request: at_s for request, at_s in until_s.items() if now_s < at_s
        }

    def restore(self, request: bytes, until_s: float) -> None:
        """Takes over that a request is withheld."""
        if len(self._recorded_until_s) < MAX_REQUESTS:
            self._recorded_until_s[request] = until_s

    def ended(
        self, min_ended: int
    ) -> list[tuple[bytes, tuple[RequestLoss, ...]]]:
        """Returns requests with the ends under them, oldest request first.

        Args:
          min_ended: How many upstreams must have ended under a request.
        """
        known = [
            (request, tuple(one for one in losses.values() if one.has_ended))
            for request, losses in self._losses.items()
        ]
        return [one for one in known if len(one[1]) >= min_ended]

    def add_loss(self, request: bytes, loss: RequestLoss) -> bool:
        """Adds a loss, or what is now known of it; returns if that is news.

        An upstream that has not ended speaks for the request: its loss is
        removed.
        """
        losses = self._losses.get(request, {})
        known = losses.get(loss.upstream)
        if loss.has_ended is False:
            if known is None or known.has_ended:
                return False
            del losses[loss.upstream]
            if not losses:
                del self._losses[request]
            return True
        if known is not None and (known.has_ended or loss.has_ended is None):
            return False
        if known is None and len(losses) >= MAX_LOSSES_OF_REQUEST:
            return False
        if known is not None:
            at_s = min(known.at_s, loss.at_s)
            loss = msgspec.structs.replace(loss, at_s=at_s)
        losses[loss.upstream] = loss
        self._losses[request] = losses
        if len(self._losses) > MAX_REQUESTS:
            self._drop_least_suspect()
        return True

    def _drop_least_suspect(self) -> None:
        """Drops the oldest of those with the fewest losses.

        So a flood of requests that are lost once drops no other.
        """
        del self._losses[
            min(self._losses, key=lambda one: len(self._losses[one]))
        ]

    def add_answer(self, request: bytes, began_s: float) -> bool:
        """Adds a whole answer; returns whether it clears the request.

        Args:
          request: The request's fingerprint.
          began_s: When the request was sent; later losses count on.
        """
        losses = self._losses.get(request)
        if losses is None:
            return False
        later = {
            upstream: loss
            for upstream, loss in losses.items()
            if loss.at_s > began_s
        }
        if later:
            self._losses[request] = later
        else:
            del self._losses[request]
        return len(later) < len(losses)

    def count(self, request: bytes) -> int:
        """Returns how many losses of a request are known."""
        return len(self._losses.get(request, ()))

    def judge(
        self, request: bytes, arrived_s: float, now_s: float
    ) -> send_gate.Verdict:
        """Decides whether a request may be sent.

        Args:
          request: The request's fingerprint.
          arrived_s: When this attempt of its caller arrived; news of the
            attempt before may be under way then.
          now_s: Monotonic time.
        """
        left_s = self._recorded_until_s.get(request, now_s) - now_s
        if left_s > 0:
            return send_gate.Refuse(left_s)
        losses = [
            loss
            for loss in self._losses.get(request, {}).values()
            if not _is_outdated(loss, now_s)
        ]
        if len(losses) < MIN_SUSPECT:
            return send_gate.SEND
        last_s = max(loss.at_s for loss in losses)
        pending = [loss for loss in losses if loss.has_ended is None]
        known_s = max(
            (loss.at_s + PENDING_LIFE_S for loss in pending),
            default=max(last_s, arrived_s) + SETTLE_S,
        )
        ended = len(losses) - len(pending)
        if ended >= MAX_ENDED:
            until_s = max(last_s + _hold_s(ended), known_s)
            if now_s < until_s:
                return send_gate.Refuse(until_s - now_s)
        elif now_s < known_s:
            return send_gate.WaitUntil(known_s)
        return send_gate.SEND

    def forget(self, now_s: float) -> None:
        """Drops losses and records that no longer count."""
        self._recorded_until_s = {
            request: until_s
            for request, until_s in self._recorded_until_s.items()
            if now_s < until_s
        }
        for request, losses in list(self._losses.items()):
            kept = {
                upstream: loss
                for upstream, loss in losses.items()
                if not _is_outdated(loss, now_s)
            }
            if kept:
                self._losses[request] = kept
            else:
                del self._losses[request]


def _is_outdated(loss: RequestLoss, now_s: float) -> bool:
    life_s = LOSS_LIFE_S if loss.has_ended else PENDING_LIFE_S
    return now_s - loss.at_s >= life_s


def _count_ended(losses: Iterable[RequestLoss]) -> int:
    return sum(bool(loss.has_ended) for loss in losses)


def _hold_s(ended: int) -> float:
    """Returns for how long a request is withheld after the last loss."""
    return min(MAX_HOLD_S, FIRST_HOLD_S * 2 ** (ended - MAX_ENDED))
