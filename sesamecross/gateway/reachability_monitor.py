"""Logs which upstreams this instance can't reach, and what its peers see.

A refused or late request says what happened to it, not whether its upstream was
down or only unreachable from here. The lines of all instances together tell a
crash from a partition.
"""

from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import state as state_lib
from sesamecross.gateway import upstream_connector
from sesamecross.ops.fleet import directory
from sesamecross.ops.fleet import reachability
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs
from sesamecross.runtime import ticker as ticker_lib

CHECK_INTERVAL_S = 0.5
_UNREACHABLE = (reachability.State.SILENT, reachability.State.REFUSED)


def _may_be_suspected(known: directory.KnownUpstream, now_s: float) -> bool:
    """Whether an upstream may be down although the path there works.

    A quick look at what is necessary for that: some instance can't reach it,
    or streams that it sends here are silent.
    """
    others = known.others_reachability
    return (
        others.silent > 0
        or others.refused > 0
        or (
            known.reachability.streaming > 0
            and known.reachability.state(now_s) is reachability.State.SILENT
        )
    )


class ReachabilityMonitor:
    """Component that logs each change, at most one per upstream and check.

    It also has upstreams verified that only other instances can't reach.
    """

    is_vital = False
    name = "reachability"

    __slots__ = (
        "_state",
        "_mesh",
        "_connector",
        "_ticker",
        "_log",
        "_unreachable_since_s",
        "_had_suspects",
    )

    def __init__(
        self,
        state: state_lib.State,
        mesh: mesh_lib.Mesh,
        connector: upstream_connector.UpstreamConnector,
        ticker: ticker_lib.Ticker | None = None,
    ):
        self._state = state
        self._mesh = mesh
        self._connector = connector
        self._ticker = ticker or ticker_lib.Ticker()
        self._log = logs.get_logger("reachability")
        # By the upstream's instance id.
        self._unreachable_since_s: dict[str, float] = {}
        self._had_suspects = False

    async def run(self) -> None:
        """Checks all upstreams until cancelled."""
        loop = event_loop.running()
        while True:
            await self._ticker.wait(CHECK_INTERVAL_S)
            self.check(loop.time())
            self._verify(loop.time())

    async def stop(self) -> None:
        """Nothing to finish."""

    def _verify(self, now_s: float) -> None:
        roster = self._mesh.roster
        if roster is None or self._state.directory.unreachable_count(now_s):
            return
        had_suspects = self._had_suspects
        self._had_suspects = any(
            _may_be_suspected(known, now_s) for known in self._state.directory
        )
        # Once more after the last one, so that its checks are forgotten.
        if not (self._had_suspects or had_suspects):
            return
        names = [
            member.name
            for member in roster.alive(now_s)
            if not member.unreachable
        ]
        me = roster.me.name
        self._connector.verify_suspected([*names, me], me)

    def check(self, now_s: float) -> None:
        """Logs the upstreams whose state has changed since the last check."""
        known_ids = set()
        for known in self._state.directory:
            known_ids.add(known.entry.instance_id)
            self._check_upstream(known, now_s)
        for instance_id in self._unreachable_since_s.keys() - known_ids:
            del self._unreachable_since_s[instance_id]

    def _check_upstream(
        self, known: directory.KnownUpstream, now_s: float
    ) -> None:
        instance_id = known.entry.instance_id
        state = known.reachability.state(now_s)
        since_s = self._unreachable_since_s.get(instance_id)
        if state in _UNREACHABLE and since_s is None:
            self._unreachable_since_s[instance_id] = now_s
            peers = known.others_reachability
            self._log.warning(
                "upstream unreachable",
                upstream=instance_id,
                state=state.name.lower(),
                peers_hear=peers.hears,
                peers_silent=peers.silent,
                peers_refused=peers.refused,
            )
        elif state not in _UNREACHABLE and since_s is not None:
            del self._unreachable_since_s[instance_id]
            self._log.info(
                "upstream reachable",
                upstream=instance_id,
                after_s=round(now_s - since_s, 1),
            )
