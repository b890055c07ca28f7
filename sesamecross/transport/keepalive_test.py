"""Tests of the detection of silent TCP peers."""

import asyncio
import contextlib
import socket

import pytest

from sesamecross.fakes import gateway_site
from sesamecross.fakes import platform_site
from sesamecross.gateway import client_connection
from sesamecross.transport import keepalive


def keepalive_s(sock: socket.socket) -> tuple[float, float]:
    """Returns when probes and the user timeout give up, or infinity."""
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
        return float("inf"), float("inf")
    tcp = socket.IPPROTO_TCP
    probes_s = sock.getsockopt(tcp, socket.TCP_KEEPIDLE) + sock.getsockopt(
        tcp, socket.TCP_KEEPINTVL
    ) * sock.getsockopt(tcp, socket.TCP_KEEPCNT)
    return probes_s, sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT) / 1000


def test_probes_and_user_timeout_agree():
    """Guards against a user timeout that changes when probes give up."""
    with socket.socket() as sock:
        keepalive.enable(sock)
        assert keepalive_s(sock) == (keepalive.DETECTION_S,) * 2


async def _upstream_connection() -> tuple[float, float]:
    async def serve(reader, writer) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connection = await client_connection.connect(f"{host}:{port}", 1.0)
    sock = connection._transport.get_extra_info("socket")
    result = keepalive_s(sock)
    connection.abort()
    server.close()
    return result


def test_connections_to_upstreams_detect_a_silent_peer():
    found = asyncio.run(_upstream_connection())
    assert found == (keepalive.DETECTION_S,) * 2


@pytest.mark.parametrize("end", ["asks", "relays"])
def test_relayed_connections_detect_a_silent_peer(end):
    """Guards against a relay that outlives a peer without power."""

    async def scenario() -> list[tuple[float, float]]:
        async with gateway_site.running_site() as site:
            cut_off, peer = site.gateways
            cut_off.partition("refused")
            site.upstreams[-1].hold_answers()
            call = asyncio.create_task(
                asyncio.to_thread(
                    gateway_site.call, cut_off.front, platform_site.DESK
                )
            )
            while not peer.app.relay_server.open_connections:
                await asyncio.sleep(0.01)
            found = peer.app.relay_server.sockets()
            if end == "asks":
                found = [
                    one._progress.connection._transport.get_extra_info("socket")
                    for one in cut_off.app.forwarder._open_tasks
                ]
            times_s = [keepalive_s(sock) for sock in found]
            site.upstreams[-1].release_answers()
            assert (await call)[1] == 200
            return times_s

    times_s = asyncio.run(scenario())
    assert times_s
    assert set(times_s) == {(keepalive.DETECTION_S,) * 2}
