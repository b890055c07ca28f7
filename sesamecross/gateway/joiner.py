"""Registers this start of the instance and joins the mesh, once."""

import asyncio

from sesamecross.core import serving
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import registrar as registrar_lib
from sesamecross.gateway import start_steps
from sesamecross.gateway import state as state_lib

# How long a planned stop waits for the store.
LEAVE_TIMEOUT_S = 0.5


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
    )

    def __init__(
        self,
        registrar: registrar_lib.Registrar,
        mesh: mesh_lib.Mesh,
        instance: serving.Instance,
        state: state_lib.State,
    ):
        self.leave_timeout_s = LEAVE_TIMEOUT_S
        self._registrar = registrar
        self._mesh = mesh
        self._instance = instance
        self._state = state

    async def run(self) -> None:
        """Registers, binds the datagram port and joins the mesh."""
        joined = await self._registrar.join()
        await self._mesh.open(self._instance.ip, self._instance.ports[0])
        self._mesh.join(joined.me, joined.secret, joined.others)
        self._state.start_steps.record(start_steps.Step.JOINED)
        if joined.is_new_deployment:
            self._state.versions.mark_complete()

    async def stop(self) -> None:
        """Removes the registration, if there is one."""
        if self._mesh.roster is not None:
            async with asyncio.timeout(self.leave_timeout_s):
                await self._registrar.leave()
