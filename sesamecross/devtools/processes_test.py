"""Tests of the ports that deployments of tests bind."""

import socket

from sesamecross.devtools import processes

# Where Linux begins to hand out ports to connections, by default.
EPHEMERAL_FIRST = 32_768


def test_ports_are_none_that_connections_are_given():
    """Guards against a deployment whose port another process has taken."""
    ports = processes.free_ports(50) + processes.free_ports(50)
    assert len(set(ports)) == 100
    assert max(ports) < EPHEMERAL_FIRST


def test_ports_in_use_are_passed_over():
    """Guards against two deployments side by side that share a port."""
    first = processes.free_ports(1)[0]
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", first + 1))
        assert first + 1 not in processes.free_ports(3)
