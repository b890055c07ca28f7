"""Detects peers that have lost power or network, on any TCP connection.

No reset arrives from such a peer; only probes and unacknowledged data show it.
On Linux a user timeout also decides when keepalive probes give up, whatever
their number. So it is derived from the probes: with or without it, a silent
peer is detected after the same time.
"""

import socket

# Times in seconds, as the kernel takes them.
IDLE_S = 1
INTERVAL_S = 1
PROBES = 2
# Without traffic, from the last bytes of the peer until the connection fails.
DETECTION_S = IDLE_S + INTERVAL_S * PROBES


def enable(sock: socket.socket) -> None:
    """Enables TCP keepalive and the TCP user timeout."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, DETECTION_S * 1000)
