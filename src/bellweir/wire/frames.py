"""Frames on a connection between nodes: a 4-byte big-endian length, then one cbor2 item.

Bounds are checked before they are used: the length before a byte of the payload is read, the
depth and the absence of indefinite lengths and cbor tags while decoding. A container cannot
hold more items than its frame has bytes, so the length bounds the counts as well.
"""

import socket
import struct
from collections.abc import Callable
from typing import Any, TypeVar

import cbor2
import msgspec

from bellweir.kernel.clock import elapsed_s

MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024
"""Longest frame of an authenticated peer."""
MAXIMUM_HANDSHAKE_FRAME_BYTES = 1024
"""Longest frame before the handshake is done."""
MAXIMUM_DEPTH = 32
"""Deepest nesting of containers in a frame."""
LENGTH_PREFIX = struct.Struct(">I")
SHORTEST_TIMEOUT_S = 0.001
RECEIVE_CHUNK_BYTES = 64 * 1024


class FrameError(ValueError):
    """Bytes that are no frame of this protocol."""


class ConnectionClosedError(ConnectionError):
    """The other end closed the connection between two frames."""


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Base of the frames that carry messages."""


class Request(Frame, frozen=True, array_like=True, tag="request"):
    """Asks for an answer with the same number."""

    number: int
    hop: int
    """Requests that wait for this one, counted from the first; see `handler_pools`."""
    timeout_s: float
    """Seconds after which the asking node no longer waits."""
    body: Any


class OneWay(Frame, frozen=True, array_like=True, tag="one_way"):
    """A message without an answer."""

    hop: int
    body: Any


class Answer(Frame, frozen=True, array_like=True, tag="answer"):
    """The answer to a request."""

    number: int
    body: Any


class Refusal(Frame, frozen=True, array_like=True, tag="refusal"):
    """The request of that number has no answer."""

    number: int
    handled: bool
    """Whether a handler had begun: its effect is then unknown. Otherwise there was none."""
    detail: str


Decoded = TypeVar("Decoded")


def _refuse_tag(_decoder: Any, tag: Any) -> Any:
    raise FrameError(f"cbor tag {tag.tag}")


_BUILT_IN_TAGS = (0, 1, 2, 3, 4, 5, 28, 29, 30, 35, 36, 37, 43000, 256, 25, 258, 260, 261, 55799)


def _refuse_built_in(_decoder: Any, *_: Any) -> Any:
    raise FrameError("cbor tag")


_SEMANTIC_DECODERS = dict.fromkeys(_BUILT_IN_TAGS, _refuse_built_in)


def encode_plain(plain: Any) -> bytes:
    """Encode builtin values (maps, lists, strings, bytes, numbers) as one cbor2 item."""
    return cbor2.dumps(plain)


def decode_plain(payload: bytes) -> Any:
    """Decode one cbor2 item into builtin values. Raises `FrameError` for anything else."""
    try:
        return cbor2.loads(
            payload,
            tag_hook=_refuse_tag,
            semantic_decoders=_SEMANTIC_DECODERS,
            max_depth=MAXIMUM_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    except FrameError:
        raise
    except Exception as failure:
        # Whatever the codec raises over hostile bytes means the same: this is no frame.
        raise FrameError(f"undecodable: {type(failure).__name__}") from failure


def encode_struct(value: msgspec.Struct) -> bytes:
    """Encode a frame or handshake struct as a cbor2 item."""
    return encode_plain(msgspec.to_builtins(value, builtin_types=(bytes,), str_keys=True))


def decode_struct(payload: bytes, into: type[Decoded]) -> Decoded:
    """Decode a cbor2 item into a struct type or union. Raises `FrameError`."""
    plain = decode_plain(payload)
    try:
        return msgspec.convert(plain, into, builtin_types=(bytes,), str_keys=True)
    except (msgspec.ValidationError, RecursionError) as failure:
        raise FrameError(f"not a {into}: {failure}") from failure


def with_length(payload: bytes) -> bytes:
    """Prefix a payload by its length. Raises `FrameError` when it is too long."""
    if len(payload) > MAXIMUM_FRAME_BYTES:
        raise FrameError(f"{len(payload)} bytes are too long for a frame")
    return LENGTH_PREFIX.pack(len(payload)) + payload


def read_frame(
    connection: socket.socket,
    maximum_bytes: int,
    deadline_s: float | None = None,
    on_chunk: Callable[[int], None] | None = None,
) -> bytes:
    """Read one frame's payload, until `deadline_s` on the monotonic clock when that is given.

    `on_chunk` is called with the number of bytes each time some have arrived.

    The deadline bounds the whole frame: a socket's own time-out would begin anew with each byte
    that a slow stranger sends.

    Raises `ConnectionClosedError` at an end between frames, `FrameError` for a length out of
    bounds or an end within a frame, and `OSError` as the socket does.
    """
    prefix = _read_exactly(connection, LENGTH_PREFIX.size, deadline_s, on_chunk, at_boundary=True)
    (length,) = LENGTH_PREFIX.unpack(prefix)
    if not 0 < length <= maximum_bytes:
        raise FrameError(f"length {length} is not within 1 to {maximum_bytes}")
    return _read_exactly(connection, length, deadline_s, on_chunk, at_boundary=False)


def _read_exactly(
    connection: socket.socket,
    count: int,
    deadline_s: float | None,
    on_chunk: Callable[[int], None] | None,
    *,
    at_boundary: bool,
) -> bytes:
    # Chunks grow with what has really arrived: a length alone reserves no memory.
    received = bytearray()
    while len(received) < count:
        if deadline_s is not None:
            connection.settimeout(max(SHORTEST_TIMEOUT_S, deadline_s - elapsed_s()))
        chunk = connection.recv(min(RECEIVE_CHUNK_BYTES, count - len(received)))
        if not chunk and at_boundary and not received:
            raise ConnectionClosedError("closed by the other end")
        if not chunk:
            raise FrameError("the connection ended within a frame")
        received += chunk
        if on_chunk is not None:
            on_chunk(len(chunk))
    return bytes(received)
