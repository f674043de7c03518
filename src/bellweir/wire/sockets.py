"""Options of the sockets between nodes."""

import contextlib
import socket

CONNECT_TIMEOUT_S = 2.0
SEND_STALL_TIMEOUT_S = 10.0
"""A connection whose written bytes stay unacknowledged this long is given up."""
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 3
KEEPALIVE_PROBES = 3


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`. Raises `ValueError`."""
    host, separator, port = address.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{address!r} is not host:port")
    return host, int(port)


def prepare(connection: socket.socket) -> None:
    """Send at once, and notice a peer that vanished without a word."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SEND_STALL_TIMEOUT_S * 1000)
    )
    connection.settimeout(None)


def shut(connection: socket.socket) -> None:
    """Close a connection and wake whoever reads from it; closing twice is no error."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
