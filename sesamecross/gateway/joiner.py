"""Registers this start of the instance and joins the mesh, once."""

import asyncio

from sesamecross.core import serving
from sesamecross.gateway import crash_guard as crash_guard_lib
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import registrar as registrar_lib
from sesamecross.gateway import request_guard as request_guard_lib
from sesamecross.gateway import start_steps
from sesamecross.gateway import state as state_lib
from sesamecross.gateway import upstream_history
from sesamecross.ops.fleet import version_records
from sesamecross.ops.fleet import withheld_records
from sesamecross.ports import store
from sesamecross.runtime import event_loop
from sesamecross.runtime import logs

# How long a planned stop waits for the store.
LEAVE_TIMEOUT_S = 0.5
# How long a start waits for the list of upstreams before it registers.
UPSTREAMS_WAIT_S = 0.25


class Joiner:
    """Component that ends once the instance has joined the mesh.

    Attributes:
      leave_timeout_s: How long `stop` waits for the store; lowered when the
        process's grace period is about to end.
    """

    is_vital = False
    name = "joiner"

    __slots__ = (
        "leave_timeout_s",
        "_registrar",
        "_mesh",
        "_instance",
        "_state",
        "_guard",
        "_request_guard",
        "_history",
        "_listed",
        "_log",
    )

    def __init__(
        self,
        registrar: registrar_lib.Registrar,
        mesh: mesh_lib.Mesh,
        instance: serving.Instance,
        state: state_lib.State,
        guard: crash_guard_lib.CrashGuard,
        request_guard: request_guard_lib.RequestGuard,
        history: upstream_history.UpstreamHistory,
    ):
        self.leave_timeout_s = LEAVE_TIMEOUT_S
        self._registrar = registrar
        self._mesh = mesh
        self._instance = instance
        self._state = state
        self._guard = guard
        self._request_guard = request_guard
        self._history = history
        # The records that were listed last, and when that was asked for.
        self._listed: tuple[version_records.RecordedVersions, float] | None = (
            None
        )
        self._log = logs.get_logger("versions")

    async def run(self) -> None:
        """Registers, binds the datagram port and joins the mesh."""
        # The list that the registration reads anyway comes after that of
        # upstreams, if the store is quick, and so is good for the versions too.
        await self._wait_for_upstreams()
        joined = await self._registrar.join(self._on_listed)
        await self._mesh.open(self._instance.ip, self._instance.ports[0])
        self._mesh.join(joined.me, joined.secret, joined.others)
        self._state.start_steps.record(start_steps.Step.JOINED)
        if joined.is_new_deployment:
            self._state.versions.mark_complete()
        while not await self._restore_versions():
            await self._list_versions()

    async def _wait_for_upstreams(self) -> None:
        loop = event_loop.running()
        until_s = loop.time() + UPSTREAMS_WAIT_S
        while not self._state.has_upstream_list and loop.time() < until_s:
            await self._state.wait_for_change(until_s - loop.time())

    async def _restore_versions(self) -> bool:
        """Takes over the records that were listed; returns whether it could.

        The log of upstreams tells of versions that came and left since they
        were written. Where it has been compacted, the records are not complete.
        """
        if self._listed is None:
            return False
        (recorded, begun_s), self._listed = self._listed, None
        if recorded.life_s > 0:
            since = await self._history.read(
                recorded.upstreams, self._state.upstreams_offset
            )
            if since is None:
                await asyncio.sleep(registrar_lib.RETRY_INTERVAL_S)
                return False
            recorded = recorded.plus(since.origins, since.is_complete)
        if not self._state.restore_versions(recorded, begun_s):
            return False
        self._log.info(
            "read", versions=len(recorded.offsets), life_s=recorded.life_s
        )
        return True

    async def _list_versions(self) -> None:
        """Lists the records once more, after the upstreams."""
        await self._wait_for_upstreams()
        if not self._state.has_upstream_list:
            return
        begun_s = event_loop.now_s()
        listed = await self._registrar.list_records()
        if listed is None:
            await asyncio.sleep(registrar_lib.RETRY_INTERVAL_S)
            return
        self._on_listed(listed.records, begun_s)

    def _on_listed(
        self, records: dict[str, store.KeyedRecord], begun_s: float
    ) -> None:
        wall_ms = registrar_lib.wall_clock_ms()
        for one in withheld_records.read_records(records, wall_ms):
            self._guard.restore(one.part, one.left_s, one.hold_s)
        for one in withheld_records.read_records(
            records, wall_ms, withheld_records.REQUEST_KEY_PREFIX
        ):
            self._request_guard.restore(one.part, one.left_s)
        recorded = version_records.read_records(
            records, registrar_lib.wall_clock_ms()
        )
        self._listed = (recorded, begun_s)

    async def stop(self) -> None:
        """Removes the registration, if there is one."""
        if self._mesh.roster is not None:
            async with asyncio.timeout(self.leave_timeout_s):
                await self._registrar.leave()
