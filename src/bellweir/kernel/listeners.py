"""Listening sockets of a node, bound before any service starts, so that their ports are known."""

import socket
from dataclasses import dataclass

BIND_ATTEMPTS = 32
LISTEN_BACKLOG = 512


class BindError(OSError):
    """No pair of TCP and UDP sockets could be bound to one port."""


@dataclass(frozen=True)
class Listeners:
    """The sockets of one node; the services that use them close them."""

    peer_stream: socket.socket
    """TCP, for connections from other nodes."""
    peer_datagram: socket.socket
    """UDP on the same port, for membership."""
    gateway: socket.socket | None
    """TCP, for HTTP; None on a node that serves none."""

    @property
    def peer_address(self) -> str:
        """`host:port` for other nodes."""
        return address_of(self.peer_stream)

    @property
    def gateway_address(self) -> str:
        """`host:port` of the HTTP interface; empty without one."""
        return address_of(self.gateway) if self.gateway is not None else ""

    def close(self) -> None:
        """Close all sockets; closing twice is no error."""
        for listener in (self.peer_stream, self.peer_datagram, self.gateway):
            if listener is not None:
                listener.close()


def address_of(bound: socket.socket) -> str:
    """Return the `host:port` a socket is bound to."""
    host, port = bound.getsockname()[:2]
    return f"{host}:{port}"


def bind_listeners(host: str, peer_port: int, gateway_port: int) -> Listeners:
    """Bind the sockets of a node; port 0 lets the system choose.

    Raises `OSError` when a port is taken, `BindError` when no common port was found.
    """
    peer_stream, peer_datagram = bind_peer_pair(host, peer_port)
    try:
        gateway = bind_stream(host, gateway_port)
    except OSError:
        peer_stream.close()
        peer_datagram.close()
        raise
    return Listeners(peer_stream, peer_datagram, gateway)


def bind_address(address: str) -> socket.socket:
    """Listen on a `host:port`. Raises `OSError`."""
    host, _, port = address.rpartition(":")
    return bind_stream(host, int(port))


def bind_stream(host: str, port: int) -> socket.socket:
    """Listen on a TCP port. Raises `OSError`."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def bind_peer_pair(host: str, port: int) -> tuple[socket.socket, socket.socket]:
    """Bind TCP and UDP to one port. Raises `OSError` or `BindError`."""
    attempts = 1 if port else BIND_ATTEMPTS
    last_failure: OSError | None = None
    for _ in range(attempts):
        stream = bind_stream(host, port)
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            datagram.bind((host, stream.getsockname()[1]))
        except OSError as failure:
            last_failure = failure
            stream.close()
            datagram.close()
            continue
        return stream, datagram
    raise BindError(f"no common TCP and UDP port on {host}: {last_failure}")
