"""A transport for hollow nodes: the real handshake and frames, on shared threads.

A real node has two threads for each connection. Hollow nodes share theirs: a connection that
waits for its next frame is watched by the process's loop and costs no thread. An exchange holds
its connection for itself, so two at once to one peer need two. Connections are kept and closed
when idle as in the real transport.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from bellweir.wire.codec import MessageCodec
from bellweir.wire.faults import NetworkFaults
from bellweir.wire.frames import (
    MAXIMUM_FRAME_BYTES,
    Answer,
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
    Sender,
    Transport,
    WireError,
    WireErrorKind,
)
from bellweir.wire.keys import ClusterKeys
from bellweir.wire.peer_link import IDLE_TIMEOUT_S
from bellweir.wire.sockets import CONNECT_TIMEOUT_S, shut, split_address
from bellweir.wire.traffic import TrafficCounter

HANDSHAKE_BYTES = 214
"""Both ends' four handshake frames with a cluster key; checked by a test of the scale run."""
MAXIMUM_WAITING_SENDS = 20_000


@dataclass
class _KeptConnection:
    socket: socket.socket
    used_s: float


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
        self._lock = threading.Lock()
        self._kept: dict[str, _KeptConnection] = {}

    def register(self, message_type: type[AnyMessage], handler: Handler) -> None:
        """Handle messages of one type."""
        self._handlers[message_type] = handler

    def request(
        self, address: str, message: Message, timeout_s: float
    ) -> Result[Message, WireError]:
        """Send a request over a connection that no other exchange uses meanwhile."""
        body = self._codec.to_plain(message)
        frame = with_length(encode_struct(Request(1, 0, timeout_s, body)))
        try:
            payload = self._exchange(address, frame, timeout_s)
            return Success(self._codec.from_plain(decode_struct(payload, Answer).body))
        except (OSError, HandshakeError, FrameError, ValueError) as failure:
            return Failure(WireError(WireErrorKind.NO_ANSWER, str(failure)))

    def send(self, address: str, message: Message) -> bool:
        """Send a one-way message from a shared thread."""
        return self._threads.submit_send(lambda: self._send_one_way(address, message))

    def accept(self, connection: socket.socket) -> Sender | None:
        """Shake hands on an accepted connection; None when it was refused."""
        try:
            return accept_handshake(connection, self._local, self._keys)
        except (OSError, HandshakeError):
            shut(connection)
            return None

    def serve(self, connection: socket.socket, sender: Sender) -> bool:
        """Handle the frame that waits on a connection; False when the connection has ended."""
        try:
            payload = read_frame(connection, MAXIMUM_FRAME_BYTES)
            self.traffic.count_received(len(payload))
            frame = decode_struct(payload, Request | OneWay)  # type: ignore[arg-type]
            message = self._codec.from_plain(frame.body)
            answer = self._handlers[type(message)](sender, message)
            if isinstance(frame, Request) and answer is not None:
                plain = self._codec.to_plain(answer)
                data = with_length(encode_struct(Answer(frame.number, plain)))
                self._send_frame(connection, data)
        except (OSError, FrameError):
            shut(connection)
            return False
        return not self.closed

    def close(self) -> None:
        """Close the connections this node opened."""
        self.closed = True
        with self._lock:
            kept, self._kept = self._kept, {}
        for connection in kept.values():
            shut(connection.socket)

    def close_idle(self, now_s: float) -> None:
        """Close connections that have not been used for long, as a real node does."""
        with self._lock:
            idle = [a for a, kept in self._kept.items() if now_s - kept.used_s > IDLE_TIMEOUT_S]
            closed = [self._kept.pop(address) for address in idle]
        for connection in closed:
            shut(connection.socket)

    def _exchange(self, address: str, frame: bytes, timeout_s: float) -> bytes:
        kept = self._take_kept(address)
        if kept is not None:
            # A kept connection may have ended meanwhile; the exchange is then made on a new one.
            with contextlib.suppress(OSError, FrameError):
                return self._exchange_on(kept, address, frame, timeout_s)
        return self._exchange_on(self._connect(address), address, frame, timeout_s)

    def _exchange_on(
        self, connection: socket.socket, address: str, frame: bytes, timeout_s: float
    ) -> bytes:
        try:
            connection.settimeout(timeout_s)
            self._send_frame(connection, frame)
            payload = read_frame(connection, MAXIMUM_FRAME_BYTES)
        except BaseException:
            shut(connection)
            raise
        self.traffic.count_received(len(payload))
        self._keep(address, connection)
        return payload

    def _send_one_way(self, address: str, message: Message) -> None:
        frame = with_length(encode_struct(OneWay(0, self._codec.to_plain(message))))
        with contextlib.suppress(OSError, HandshakeError, ValueError):
            connection = self._take_kept(address) or self._connect(address)
            try:
                self._send_frame(connection, frame)
            except BaseException:
                shut(connection)
                raise
            self._keep(address, connection)

    def _take_kept(self, address: str) -> socket.socket | None:
        self._check_open(address)
        with self._lock:
            kept = self._kept.pop(address, None)
        return kept.socket if kept is not None else None

    def _keep(self, address: str, connection: socket.socket) -> None:
        with self._lock:
            if not self.closed and address not in self._kept:
                self._kept[address] = _KeptConnection(connection, time.monotonic())
                return
        shut(connection)

    def _connect(self, address: str) -> socket.socket:
        self._check_open(address)
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            connection.settimeout(CONNECT_TIMEOUT_S)
            connection.connect(split_address(address))
            connect_handshake(connection, self._local, self._keys)
        except BaseException:
            connection.close()
            raise
        self.connections += 1
        return connection

    def _check_open(self, address: str) -> None:
        rule = self._faults.towards(address)
        if self.closed or (rule is not None and rule.cut):
            raise ConnectionError("closed, or cut off by a rehearsal fault")

    def _send_frame(self, connection: socket.socket, frame: bytes) -> None:
        connection.sendall(frame)
        self.traffic.count_sent(len(frame))
