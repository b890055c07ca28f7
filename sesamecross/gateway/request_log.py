"""The line that is logged when a request has ended."""

from sesamecross.gateway import request_context
from sesamecross.gateway import request_progress
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
        config=context.state.version,
        workspace=progress.workspace_name,
        **_refusal_fields(progress, outcome),
        **_stream_fields(progress),
        **_engine_fields(progress),
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
