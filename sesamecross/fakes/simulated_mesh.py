"""Datagrams between simulated instances: late, and some are lost."""

import asyncio
import random

from sesamecross.core import fleet_messages as fm

DATAGRAM_LOSS = 0.01
MIN_WAY_S, MAX_WAY_S = 0.001, 0.06


class Network:
    """Carries the messages of all instances.

    Attributes:
      meshes: By the instance's number.
      broadcasts: Messages sent to all.
      largest: Size of the largest one, in bytes.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.meshes: list[SimulatedMesh | None] = []
        self.broadcasts = 0
        self.largest = 0


class SimulatedMesh:
    """Delivers an instance's messages to all others."""

    def __init__(self, network: Network, number: int, incarnation: int):
        """Joins the network in place of the instance's earlier incarnation."""
        self.roster = self
        self.me = fm.Member(f"front-{number}", incarnation, "z1", "", -1, -1)
        self._network = network
        self._number = 0
        self._listeners = []
        network.meshes.extend([None] * (number + 1 - len(network.meshes)))
        network.meshes[number] = self

    def alive(self, _now_s: float) -> list[fm.Member]:
        """Returns all instances."""
        return [mesh.me for mesh in self._network.meshes if mesh is not None]

    def send(self, message: fm.Message, to: fm.Member) -> None:
        """Sends a message to one other instance."""
        data = fm.encode(message)
        for mesh in self._network.meshes:
            if mesh is not None and mesh.me.name == to.name:
                self._send_bytes(data, mesh)

    def _send_bytes(self, data: bytes, mesh: "SimulatedMesh") -> None:
        network = self._network
        if network.rng.random() >= DATAGRAM_LOSS:
            way_s = network.rng.uniform(MIN_WAY_S, MAX_WAY_S)
            loop = asyncio.get_running_loop()
            loop.call_later(way_s, mesh.deliver, data)

    def add_listener(self, listener) -> None:
        """Adds a listener for the messages of others."""
        self._listeners.append(listener)

    def next_number(self) -> int:
        """Returns the next message number."""
        self._number += 1
        return self._number

    def broadcast(self, message: fm.CrashNews | fm.RequestNews) -> None:
        """Sends a message to all other instances."""
        network = self._network
        data = fm.encode(message)
        network.broadcasts += 1
        network.largest = max(network.largest, len(data))
        for mesh in network.meshes:
            if mesh is not None and mesh is not self:
                self._send_bytes(data, mesh)

    def deliver(self, data: bytes) -> None:
        """Passes a message on to the listeners."""
        for listener in self._listeners:
            listener(fm.decode(data))
