"""Registers this start of the instance and joins the mesh, once."""

import asyncio

from sesamecross.core import serving
from sesamecross.gateway import mesh as mesh_lib
from sesamecross.gateway import registrar as registrar_lib

# A planned stop does not wait longer for the store than this.
LEAVE_TIMEOUT_S = 0.5


class Joiner:
    """Component that ends once the instance takes part.

    Attributes:
      leave_s: How long `stop` waits for the store; a process whose grace ends
        sets less.
    """

    is_vital = False
    name = "joiner"

    __slots__ = ("leave_timeout_s", "_registrar", "_mesh", "_instance")

    def __init__(
        self,
        registrar: registrar_lib.Registrar,
        mesh: mesh_lib.Mesh,
        instance: serving.Instance,
    ):
        self.leave_timeout_s = LEAVE_TIMEOUT_S
        self._registrar = registrar
        self._mesh = mesh
        self._instance = instance

    async def run(self) -> None:
        """Registers, and opens the port for datagrams."""
        joined = await self._registrar.join()
        await self._mesh.open(self._instance.ip, self._instance.ports[0])
        self._mesh.join(joined.me, joined.secret, joined.others)

    async def stop(self) -> None:
        """Takes the registration back, if there is one."""
        if self._mesh.roster is not None:
            async with asyncio.timeout(self.leave_timeout_s):
                await self._registrar.leave()
