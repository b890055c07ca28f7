"""Records what upstreams say of themselves in the heads of their answers.

Every answer counts, whatever it answers: a caller's request, an order or a
question for a report. What an upstream says to an instance that relays another
one's connection concerns the relaying instance, which does not read the bytes;
so it is told.
"""

from sesamecross.core import fleet_messages as fm
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.ops.fleet import directory
from sesamecross.ports import http_codec
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs


class UpstreamWords:
    """Applies upstreams' own words to what is known of them."""

    __slots__ = ("_state", "_mesh", "_log")

    def __init__(self, state: state_lib.State, mesh: mesh_lib.Mesh):
        self._state = state
        self._mesh = mesh
        self._log = logs.get_logger("upstreams")
        mesh.add_listener(self._on_message)

    def record(
        self,
        upstream: directory.KnownUpstream,
        head: http_codec.ResponseHead,
        relayed_by: str = "",
    ) -> None:
        """Records the head of an answer.

        Args:
          upstream: Who answered.
          head: The head.
          relayed_by: The instance that relays the connection, or empty.
        """
        self._record_rejection_limit(upstream, head)
        self._apply(upstream, head.backoff_s, head.is_leaving)
        if relayed_by and (head.backoff_s is not None or head.is_leaving):
            self._tell(relayed_by, upstream, head)

    def record_control(
        self, instance_id: str, head: http_codec.ResponseHead
    ) -> None:
        """Records the head of an answer to an order or a report's request."""
        upstream = self._state.directory.get(instance_id)
        if upstream is not None:
            self._apply(upstream, head.backoff_s, head.is_leaving)

    def _record_rejection_limit(
        self,
        upstream: directory.KnownUpstream,
        head: http_codec.ResponseHead,
    ) -> None:
        service = upstream.entry.service
        now_s = event_loop.now_s()
        if self._state.record_rejection_limit(
            service, head.rejection_limit, now_s
        ):
            self._log.warning(
                "rejection limit",
                service=service,
                upstream=upstream.entry.instance_id,
                limit=head.rejection_limit,
            )

    def _apply(
        self,
        upstream: directory.KnownUpstream,
        backoff_s: float | None,
        is_leaving: bool,
    ) -> None:
        now_s = event_loop.now_s()
        if is_leaving and not upstream.is_leaving:
            upstream.is_leaving = True
            self._log.info(
                "says that it leaves", upstream=upstream.entry.instance_id
            )
            self._state.notify_change()
        if backoff_s is None:
            return
        is_new = not upstream.wants_backoff(now_s)
        self._state.directory.record_backoff(upstream, backoff_s, now_s)
        if is_new:
            self._log.warning(
                "wants no requests",
                upstream=upstream.entry.instance_id,
                asked_s=backoff_s,
                for_s=round(upstream.backoff_until_s - now_s, 2),
            )

    def _tell(
        self,
        peer: str,
        upstream: directory.KnownUpstream,
        head: http_codec.ResponseHead,
    ) -> None:
        roster = self._mesh.roster
        member = roster.get(peer) if roster is not None else None
        if member is None:
            return
        word = fm.UpstreamWord(
            self._mesh.me,
            self._mesh.next_number(),
            upstream.entry.instance_id,
            upstream.entry.born_ms,
            head.backoff_s,
            head.is_leaving,
        )
        self._mesh.send(word, member)

    def _on_message(self, message: fm.Message) -> None:
        match message:
            case fm.UpstreamWord():
                upstream = self._state.directory.get(message.upstream)
                if (
                    upstream is not None
                    and upstream.entry.born_ms == message.born_ms
                ):
                    self._apply(upstream, message.backoff_s, message.is_leaving)
