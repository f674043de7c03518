"""Handshake of a connection: both ends prove a cluster key over both ends' nonces.

Connecting end: `ClientHello`; accepting end: `ServerHello` with its proof; connecting end:
`ClientProof`; accepting end: `Welcome`. Nothing else is decoded before the proofs are checked,
and the connecting end counts no byte of a message as sent before the welcome.
"""

import os
import socket
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from bellweir.kernel.clock import elapsed_s
from bellweir.wire.frames import (
    MAXIMUM_HANDSHAKE_FRAME_BYTES,
    FrameError,
    decode_struct,
    encode_struct,
    read_frame,
    with_length,
)
from bellweir.wire.interface import FIRST_LEVEL, LEVEL, Sender
from bellweir.wire.keys import ClusterKeys

PROTOCOL = "bellweir/1"
"""Name and version of the protocol between nodes; both ends must agree."""
NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 5.0
"""Time for all of one end's part of the handshake."""
MAXIMUM_NAME_CHARACTERS = 253
HandshakeFrame = TypeVar("HandshakeFrame", bound=msgspec.Struct)
_SERVER_ROLE = b"accepting"
_CLIENT_ROLE = b"connecting"


class HandshakeError(Exception):
    """The other end is no node of this cluster, or speaks another protocol."""


class ClientHello(msgspec.Struct, frozen=True, array_like=True, tag="client_hello"):
    """First frame of the connecting end."""

    protocol: str
    node: str
    address: str
    """`host:port` where the connecting node accepts peers."""
    nonce: bytes
    level: int = FIRST_LEVEL
    """Level of its build's messages; builds before the second one pass over it."""


class ServerHello(msgspec.Struct, frozen=True, array_like=True, tag="server_hello"):
    """The accepting end's answer with its proof."""

    node: str
    nonce: bytes
    proof: bytes
    level: int = FIRST_LEVEL
    """As the connecting end's."""


class ClientProof(msgspec.Struct, frozen=True, array_like=True, tag="client_proof"):
    """The connecting end's proof."""

    proof: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """The accepting end accepts; messages may follow."""


@dataclass(frozen=True)
class LocalNode:
    """What this node says of itself at a handshake."""

    name: str
    address: str
    level: int = LEVEL


@dataclass(frozen=True)
class AcceptingNode:
    """What the accepting node says of itself."""

    node: str
    level: int
    """Level of its build's messages."""


def connect_handshake(
    connection: socket.socket,
    local: LocalNode,
    keys: ClusterKeys,
    timeout_s: float = HANDSHAKE_TIMEOUT_S,
) -> AcceptingNode:
    """Run the connecting end's part; return what the other node says of itself.

    Raises `HandshakeError`, or `OSError` as the socket does.
    """
    connection.settimeout(timeout_s)
    deadline_s = elapsed_s() + timeout_s
    hello = ClientHello(PROTOCOL, local.name, local.address, os.urandom(NONCE_BYTES), local.level)
    try:
        _write(connection, hello)
        answer = _read(connection, ServerHello, deadline_s)
        _check_nonce(answer.nonce)
        parts = _parts(hello, answer.node, answer.nonce)
        if not keys.verify(answer.proof, _SERVER_ROLE, *parts):
            raise HandshakeError("the accepting node proved no cluster key known here")
        _write(connection, ClientProof(keys.sign(_CLIENT_ROLE, *parts)))
        _read(connection, Welcome, deadline_s)
    except FrameError as failure:
        raise HandshakeError(str(failure)) from failure
    return AcceptingNode(answer.node, answer.level)


def accept_handshake(connection: socket.socket, local: LocalNode, keys: ClusterKeys) -> Sender:
    """Run the accepting end's part; return the authenticated node at the other end.

    Raises `HandshakeError`, or `OSError` as the socket does.
    """
    connection.settimeout(HANDSHAKE_TIMEOUT_S)
    deadline_s = elapsed_s() + HANDSHAKE_TIMEOUT_S
    try:
        hello = _read(connection, ClientHello, deadline_s)
        _check_hello(hello)
        nonce = os.urandom(NONCE_BYTES)
        parts = _parts(hello, local.name, nonce)
        proof = keys.sign(_SERVER_ROLE, *parts)
        _write(connection, ServerHello(local.name, nonce, proof, local.level))
        answer = _read(connection, ClientProof, deadline_s)
        if not keys.verify(answer.proof, _CLIENT_ROLE, *parts):
            raise HandshakeError("the connecting node proved no cluster key known here")
        _write(connection, Welcome())
    except FrameError as failure:
        raise HandshakeError(str(failure)) from failure
    return Sender(hello.node, hello.address, hello.level)


def _parts(hello: ClientHello, server: str, server_nonce: bytes) -> tuple[bytes, ...]:
    names = (hello.protocol, hello.node, hello.address, server)
    return (hello.nonce, server_nonce, *(name.encode() for name in names))


def _check_hello(hello: ClientHello) -> None:
    if hello.protocol != PROTOCOL:
        raise HandshakeError(f"protocol {hello.protocol[:32]!r} is not {PROTOCOL!r}")
    if not 0 < len(hello.node) <= MAXIMUM_NAME_CHARACTERS:
        raise HandshakeError("a node name out of bounds")
    if not 0 < len(hello.address) <= MAXIMUM_NAME_CHARACTERS:
        raise HandshakeError("an address out of bounds")
    _check_nonce(hello.nonce)


def _check_nonce(nonce: bytes) -> None:
    if len(nonce) != NONCE_BYTES:
        raise HandshakeError("a nonce of the wrong length")


def _write(connection: socket.socket, value: msgspec.Struct) -> None:
    connection.sendall(with_length(encode_struct(value)))


def _read(
    connection: socket.socket, into: type[HandshakeFrame], deadline_s: float
) -> HandshakeFrame:
    return decode_struct(read_frame(connection, MAXIMUM_HANDSHAKE_FRAME_BYTES, deadline_s), into)
