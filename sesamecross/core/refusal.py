"""Error responses to callers, as RFC 9457 problem documents.

A caller of a non-idempotent call must know whether it can safely retry.
`executed` is "no" only if the call can't have been processed at all, and
"unknown" otherwise.
"""

import dataclasses
import enum
import json

CONTENT_TYPE = "application/problem+json"


class Executed(enum.Enum):
    """Whether the refused call may have been executed."""

    NO = "no"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """One refusal.

    Attributes:
      status: The HTTP status.
      slug: Machine-readable kind, stable across versions.
      remedy: What the caller can do.
      retry_after_s: Seconds until a retry; None if a retry won't help.
    """

    status: int
    slug: str
    title: str
    remedy: str
    executed: Executed = Executed.NO
    retry_after_s: int | None = None

    def body(self, correlation_id: str) -> bytes:
        """Returns the problem document, with OpenAI's `error` member.

        Standard OpenAI clients read `error.message`; the other members are
        those of RFC 9457.
        """
        document = {
            "type": f"urn:sesamecross:problem:{self.slug}",
            "title": self.title,
            "status": self.status,
            "detail": self.remedy,
            "executed": self.executed.value,
            "correlation_id": correlation_id,
            "error": {
                "message": f"{self.title}. {self.remedy}",
                "type": self.slug,
                "code": self.slug,
            },
        }
        return json.dumps(document).encode()

    def headers(self) -> list[tuple[str, str]]:
        """Returns the response headers for the document."""
        headers = [("Content-Type", CONTENT_TYPE)]
        if self.retry_after_s is not None:
            headers.append(("Retry-After", str(self.retry_after_s)))
        return headers


def unauthorized() -> Refusal:
    """Refuses a call without a known key."""
    return Refusal(
        401,
        "unauthorized",
        "The bearer key is not known",
        "Send a key that the operators have declared",
    )


def forbidden(what: str) -> Refusal:
    """Refuses access without revealing whether `what` exists."""
    return Refusal(
        404,
        "not-available",
        f"{what} is not available to this caller",
        "Ask the operators for access, or list /v1/models",
    )


def bad_request(title: str, remedy: str) -> Refusal:
    """Refuses a malformed call."""
    return Refusal(400, "bad-request", title, remedy)


def no_upstream(what: str, retry_after_s: int = 2) -> Refusal:
    """Refuses a call that no reachable upstream can answer now."""
    return Refusal(
        503,
        "no-upstream",
        f"No reachable upstream can answer for {what}",
        "Try again after the time given",
        retry_after_s=retry_after_s,
    )


def withheld(retry_after_s: int, executed: Executed) -> Refusal:
    """Refuses a call that crashes upstreams, by its prompt or anything else."""
    return Refusal(
        503,
        "prompt-withheld",
        "This call, or prompts with a part of it, have ended upstreams",
        "Change the call, or try again after the time given",
        executed,
        retry_after_s,
    )


def overloaded(retry_after_s: int) -> Refusal:
    """Refuses a call that can't be answered within its latency objective."""
    return Refusal(
        429,
        "overloaded",
        "All upstreams for this call are busy",
        "Try again after the time given",
        retry_after_s=retry_after_s,
    )


def stopping() -> Refusal:
    """Refuses a new call at an instance that is stopping."""
    return Refusal(
        503,
        "stopping",
        "This instance is being stopped",
        "Try again; the balancer will pick another instance",
        retry_after_s=1,
    )


def upstream_failed(executed: Executed, remedy: str) -> Refusal:
    """Refuses a call whose upstream failed after all allowed retries."""
    return Refusal(
        502,
        "upstream-failed",
        "The upstream failed before it answered",
        remedy,
        executed=executed,
        retry_after_s=1 if executed is Executed.NO else None,
    )


def deadline_passed(executed: Executed) -> Refusal:
    """Refuses a call whose deadline passed."""
    return Refusal(
        504,
        "deadline-passed",
        "The call's deadline passed before an answer came",
        "Allow more time, or try when load is lower",
        executed=executed,
    )


def claims_unavailable(executed: Executed) -> Refusal:
    """Refuses a call that can't be claimed now.

    This attempt was not run. Only the group that decides the caller's claims
    knows whether an earlier attempt with the same key was: `executed` is "no"
    only if the group says so.
    """
    return Refusal(
        503,
        "claims-unavailable",
        "The call can't be claimed now, so it was not run this time",
        "Send it again with the same Idempotency-Key",
        executed=executed,
        retry_after_s=2,
    )


def in_progress() -> Refusal:
    """Refuses a repeated call whose first attempt is still running."""
    return Refusal(
        409,
        "in-progress",
        "A call with this Idempotency-Key is still running",
        "Send it again with the same key to get the first answer",
        executed=Executed.UNKNOWN,
        retry_after_s=1,
    )


def outcome_unknown() -> Refusal:
    """Refuses a repeated call whose first attempt has an unknown outcome."""
    return Refusal(
        409,
        "outcome-unknown",
        "A call with this Idempotency-Key was started and its outcome"
        " is not known",
        "Look the record up at the service before sending it under a new key",
        executed=Executed.UNKNOWN,
    )


def key_reused() -> Refusal:
    """Refuses an idempotency key that was used for a different call."""
    return Refusal(
        422,
        "key-reused",
        "This Idempotency-Key was used for a different call",
        "Use a new key for a new call",
    )
