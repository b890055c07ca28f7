"""The line that is logged when a request has ended."""

from sesamecross.gateway import attempt as attempt_lib
from sesamecross.gateway import client_connection
from sesamecross.gateway import request_context
from sesamecross.gateway import request_progress
from sesamecross.ops.fleet import retry_policy
from sesamecross.runtime import event_loop

# Longest id of a caller, or of a part of a prompt, that is logged.
MAX_ID = 64
# Most parts of a prompt that are logged.
MAX_PARTS = 16


def log_outcome(
    context: request_context.RequestContext,
    progress: request_progress.RequestProgress,
    outcome: str,
) -> None:
    """Logs and counts how a request ended."""
    took_s = event_loop.running().time() - progress.arrived_s
    context.metrics.count(
        "sesamecross_requests_total",
        "Requests of callers, by outcome.",
        {"outcome": outcome},
    )
    context.metrics.observe(
        "sesamecross_request_seconds",
        "From a request's arrival to the end of its answer.",
        {},
        took_s,
    )
    upstream = progress.upstream
    context.log.info(
        outcome,
        id=progress.request.request_id,
        route=progress.route.name if progress.route else "",
        upstream=upstream.entry.instance_id if upstream else "",
        sends=progress.history.sends,
        ms=round(took_s * 1000),
        note=progress.note,
        via=progress.relayed_by,
        **_route_fields(context, progress),
        workspace=progress.workspace_name,
        **_refusal_fields(progress, outcome),
        **_stream_fields(progress),
        **_engine_fields(progress),
    )


def _route_fields(
    context: request_context.RequestContext,
    progress: request_progress.RequestProgress,
) -> dict[str, object]:
    """Returns what may be repeated, and by which configurations."""
    return {
        "kind": progress.route.kind.value if progress.route else "",
        "routed_by": progress.route_version,
        "config": context.state.version,
    }


def log_prevented_send(
    context: request_context.RequestContext,
    progress: request_progress.RequestProgress,
) -> None:
    """Logs and counts a send that did not begin, as the request may have run.

    Either operators have changed the route since the decision to send it, or
    that decision was wrong.
    """
    context.metrics.count(
        "sesamecross_sends_prevented_total",
        "Sends that did not begin, as the request may have run.",
        {},
    )
    context.log.error(
        "send prevented: it may have run",
        id=progress.request.request_id[:MAX_ID],
        **_route_fields(context, progress),
        sends=progress.history.sends,
        possibly_ran_at=sorted(progress.history.possibly_ran_at),
        note=progress.note,
    )


def log_failed_send(
    context: request_context.RequestContext,
    progress: request_progress.RequestProgress,
    connection: client_connection.ClientConnection,
    attempt: attempt_lib.Attempt,
    outcome: attempt_lib.Outcome | None,
) -> None:
    """Logs a send after which the request may be sent again, or fails.

    Args:
      context: What the requests share.
      progress: The request.
      connection: On which it was sent.
      attempt: What was received on it.
      outcome: What was made of that; None if its deadline passed.
    """
    match outcome:
        case retry_policy.NotRun():
            text = "not run"
        case retry_policy.Lost():
            text = "may have run"
        case None:
            text = "timed out"
        case _:
            return
    entry = progress.upstream.entry
    answer: dict[str, object] = {}
    if attempt.answer_head is not None:
        answer = {
            "status": attempt.status,
            "not_executed": attempt.answer_head.was_not_executed,
            "answers": attempt.answer_head.request_id[:MAX_ID],
            "answered_by": attempt.answer_head.instance_id[:MAX_ID],
        }
    context.log.info(
        f"send {text}",
        id=progress.request.request_id[:MAX_ID],
        **_route_fields(context, progress),
        send=progress.history.sends,
        upstream=entry.instance_id,
        born=entry.born_ms,
        address=entry.address,
        # Requests that the connection carried before this one.
        carried=connection.request_count - 1,
        via=connection.relayed_by,
        sent=connection.is_request_sent,
        possible_runs=progress.history.possible_runs,
        **answer,
    )


def _refusal_fields(
    progress: request_progress.RequestProgress, outcome: str
) -> dict[str, object]:
    """Returns a refusal's retry delay and its grounds."""
    if outcome != "refused":
        return {}
    fields: dict[str, object] = {"back_s": round(progress.retry_after_s, 2)}
    if progress.search is not None:
        fields |= progress.search.refusal_fields()
    return fields


def _stream_fields(
    progress: request_progress.RequestProgress,
) -> dict[str, object]:
    """Returns which software versions sent events, and what is resumed."""
    if progress.relay is None:
        return {}
    fields: dict[str, object] = {"versions": progress.relay.versions}
    if progress.is_resumed:
        fields["resumes"] = progress.request.first_attempt_id[:MAX_ID]
        fields["after"] = progress.request.last_event_id[:MAX_ID]
    if progress.lookup is not None:
        fields["known_from"] = progress.lookup.source
        fields["known_ms"] = round(progress.lookup.age_s * 1000)
    if progress.origin is not None:
        fields["began_at"] = progress.origin.version
    return fields


def _engine_fields(
    progress: request_progress.RequestProgress,
) -> dict[str, object]:
    """Returns the engine selection and event timing of a model request."""
    if progress.search is None:
        return {}
    fields = progress.search.log_fields()
    if progress.relay is not None and progress.relay.first_event_s is not None:
        time_to_first_event_s = (
            progress.relay.first_event_s - progress.arrived_s
        )
        fields["first_ms"] = round(time_to_first_event_s * 1000)
        fields["events"] = progress.relay.event_count
        fields["gap_ms"] = round(progress.relay.max_gap_s * 1000)
        max_gap_offset_s = progress.relay.max_gap_at_s - progress.arrived_s
        fields["gap_at_ms"] = round(max_gap_offset_s * 1000)
    return fields
