"""The platform's load balancer, as callers of a fleet trial meet it.

Which instances get callers while many restart decides what callers see. The
balancer asks each instance once a second whether it is ready.
"""

import asyncio
import dataclasses

import xxhash

ASK_INTERVAL_S = 1.0
MISSES_TO_LEAVE = 2
# Below this share of a zone in rotation, all of it is used.
MIN_SHARE_IN_ROTATION = 0.5
_ASK = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"


@dataclasses.dataclass(slots=True)
class Instance:
    """A gateway, as the balancer knows it."""

    zone: str
    region: str
    front: tuple[str, int]
    ready: tuple[str, int]
    misses: int = 0

    @property
    def is_in_rotation(self) -> bool:
        """Whether it gets new connections."""
        return self.misses < MISSES_TO_LEAVE


class Balancer:
    """Selects an instance for each new connection."""

    def __init__(self, instances: list[Instance]):
        self._instances = instances

    def front(self, zone: str, client: str) -> tuple[str, int]:
        """Returns the address for a connection of a client in a zone."""
        usable = self._usable(zone)
        return usable[
            xxhash.xxh64_intdigest(client.encode()) % len(usable)
        ].front

    def _usable(self, zone: str) -> list[Instance]:
        own = [one for one in self._instances if one.zone == zone]
        inside = [one for one in own if one.is_in_rotation]
        if inside:
            is_enough = len(inside) >= MIN_SHARE_IN_ROTATION * len(own)
            return inside if is_enough else own
        regions = {one.region for one in own}
        near = [one for one in self._instances if one.is_in_rotation]
        return (
            [one for one in near if one.region in regions]
            or near
            or own
            or self._instances
        )

    async def watch(self) -> None:
        """Asks all instances once a second until cancelled."""
        while True:
            pause = asyncio.create_task(asyncio.sleep(ASK_INTERVAL_S))
            await asyncio.gather(*(self._ask(one) for one in self._instances))
            await pause

    async def _ask(self, one: Instance) -> None:
        try:
            async with asyncio.timeout(ASK_INTERVAL_S):
                reader, writer = await asyncio.open_connection(*one.ready)
                writer.write(_ASK)
                status = (await reader.readline()).split()[1:2]
                writer.close()
        except (OSError, TimeoutError):
            # No answer is a miss, as on the platform.
            status = []
        one.misses = 0 if status == [b"200"] else one.misses + 1
