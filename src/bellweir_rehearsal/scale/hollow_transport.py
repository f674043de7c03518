"""A transport for hollow nodes: one short connection for each exchange, on shared threads.

A real node keeps a connection to each peer it talks to for as long as it is used. Here every
request and one-way message opens a connection of its own, with the real handshake and the real
frames, so that hundreds of nodes share a few threads. CPU and bytes are thus an upper bound.
"""

import contextlib
import socket
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from returns.result import Failure, Result, Success

from bellweir.wire.codec import MessageCodec
from bellweir.wire.faults import NetworkFaults
from bellweir.wire.frames import (
    MAXIMUM_FRAME_BYTES,
    Answer,
    ConnectionClosedError,
    FrameError,
    OneWay,
    Request,
    decode_struct,
    encode_struct,
    read_frame,
    with_length,
)
from bellweir.wire.handshake import (
    HandshakeError,
    LocalNode,
    accept_handshake,
    connect_handshake,
)
from bellweir.wire.interface import (
    AnyMessage,
    Handler,
    Message,
    Transport,
    WireError,
    WireErrorKind,
)
from bellweir.wire.keys import ClusterKeys
from bellweir.wire.sockets import CONNECT_TIMEOUT_S, shut, split_address
from bellweir.wire.traffic import TrafficCounter

HANDSHAKE_BYTES = 330
"""Both ends' four handshake frames with a cluster key; checked by a test of the scale run."""
MAXIMUM_WAITING_SENDS = 20_000


class SharedThreads:
    """Threads that all hollow nodes of a process share.

    Those that serve never wait for another request, so requests and serving need two pools
    only to be sure that full requests never keep a process from answering.
    """

    def __init__(self, threads: int) -> None:
        self.requests = ThreadPoolExecutor(threads, thread_name_prefix="hollow-request")
        self.serving = ThreadPoolExecutor(threads, thread_name_prefix="hollow-serve")
        self._waiting = threading.BoundedSemaphore(MAXIMUM_WAITING_SENDS)

    def submit_send(self, call: Callable[[], None]) -> bool:
        """Run a one-way send; False when too many wait."""
        if not self._waiting.acquire(blocking=False):
            return False
        future = self.requests.submit(call)
        future.add_done_callback(lambda _: self._waiting.release())
        return True

    def stop(self) -> None:
        """End the threads."""
        self.requests.shutdown(wait=False, cancel_futures=True)
        self.serving.shutdown(wait=False, cancel_futures=True)


class HollowTransport(Transport):
    """The transport of one hollow node."""

    def __init__(
        self, local: LocalNode, keys: ClusterKeys, faults: NetworkFaults, threads: SharedThreads
    ) -> None:
        self._local = local
        self._keys = keys
        self._faults = faults
        self._threads = threads
        self._codec = MessageCodec()
        self._handlers: dict[type[Message], Handler] = {}
        self.traffic = TrafficCounter()
        self.connections = 0
        """Opened by this node."""
        self.closed = False

    def register(self, message_type: type[AnyMessage], handler: Handler) -> None:
        """Handle messages of one type."""
        self._handlers[message_type] = handler

    def request(
        self, address: str, message: Message, timeout_s: float
    ) -> Result[Message, WireError]:
        """Send a request on a connection of its own."""
        body = self._codec.to_plain(message)
        frame = with_length(encode_struct(Request(1, 0, timeout_s, body)))
        try:
            with self._connect(address) as connection:
                connection.settimeout(timeout_s)
                self._send_frame(connection, frame)
                payload = read_frame(connection, MAXIMUM_FRAME_BYTES)
                self.traffic.count_received(len(payload))
                return Success(self._codec.from_plain(decode_struct(payload, Answer).body))
        except (OSError, HandshakeError, FrameError, ValueError) as failure:
            return Failure(WireError(WireErrorKind.NO_ANSWER, str(failure)))

    def send(self, address: str, message: Message) -> bool:
        """Send a one-way message on a connection of its own, from a shared thread."""
        return self._threads.submit_send(lambda: self._send_one_way(address, message))

    def serve(self, connection: socket.socket) -> None:
        """Answer what comes on an accepted connection until it ends."""
        with contextlib.suppress(OSError, HandshakeError, FrameError, ConnectionClosedError):
            sender = accept_handshake(connection, self._local, self._keys)
            while not self.closed:
                payload = read_frame(connection, MAXIMUM_FRAME_BYTES)
                self.traffic.count_received(len(payload))
                frame = decode_struct(payload, Request | OneWay)  # type: ignore[arg-type]
                message = self._codec.from_plain(frame.body)
                answer = self._handlers[type(message)](sender, message)
                if isinstance(frame, Request) and answer is not None:
                    plain = self._codec.to_plain(answer)
                    self._send_frame(
                        connection, with_length(encode_struct(Answer(frame.number, plain)))
                    )
        shut(connection)

    def _send_one_way(self, address: str, message: Message) -> None:
        frame = with_length(encode_struct(OneWay(0, self._codec.to_plain(message))))
        suppressed = contextlib.suppress(OSError, HandshakeError, ValueError)
        with suppressed, self._connect(address) as connection:
            self._send_frame(connection, frame)

    def _connect(self, address: str) -> socket.socket:
        rule = self._faults.towards(address)
        if self.closed or (rule is not None and rule.cut):
            raise ConnectionError("closed, or cut off by a rehearsal fault")
        connection = socket.create_connection(split_address(address), CONNECT_TIMEOUT_S)
        try:
            connect_handshake(connection, self._local, self._keys)
        except BaseException:
            connection.close()
            raise
        self.connections += 1
        return connection

    def _send_frame(self, connection: socket.socket, frame: bytes) -> None:
        connection.sendall(frame)
        self.traffic.count_sent(len(frame))
