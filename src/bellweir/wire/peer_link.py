"""The connection this node opens to one peer for its own requests and one-way messages."""

import itertools
import socket
import threading
from collections.abc import Callable

from returns.result import Failure, Success

from bellweir.events.log import emit
from bellweir.kernel.clock import elapsed_s
from bellweir.wire.connection_parts import ConnectionParts
from bellweir.wire.frames import (
    MAXIMUM_FRAME_BYTES,
    Answer,
    ConnectionClosedError,
    FrameError,
    Refusal,
    decode_struct,
    read_frame,
)
from bellweir.wire.handshake import HandshakeError, connect_handshake
from bellweir.wire.interface import FIRST_LEVEL, WireError, WireErrorKind
from bellweir.wire.log_events import (
    PEER_CONNECTION_LOST,
    PEER_FRAME_REFUSED,
    PEER_OF_OLDER_BUILD,
    PEER_REFUSED_US,
)
from bellweir.wire.send_queue import PendingRequest, QueuedFrame, SendQueue
from bellweir.wire.sockets import CONNECT_TIMEOUT_S, prepare, shut, split_address

IDLE_TIMEOUT_S = 12.0
"""A link without traffic is closed by the node that opened it. It holds four threads at its ends;
whatever is repeated is repeated within 10 s."""
POLL_S = 5.0
"""The writer wakes at least this often to see that the link is idle or the node stops."""


class PeerLink:
    """One task connects and writes, a second one reads the answers.

    A link lives until its connection ends; the transport then opens a new one on demand.
    """

    def __init__(
        self, address: str, parts: ConnectionParts, on_end: Callable[["PeerLink"], None]
    ) -> None:
        self.address = address
        self._parts = parts
        self._on_end = on_end
        self._queue = SendQueue()
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._pending: dict[int, PendingRequest] = {}
        self._connection: socket.socket | None = None
        self._last_used_s = elapsed_s()
        self.level: int | None = None
        """Level of the messages that the peer knows; None until its build has told."""
        self._has_told_level = False

    def new_request(self) -> PendingRequest:
        """Reserve a number for a request."""
        pending = PendingRequest(next(self._numbers))
        with self._lock:
            self._pending[pending.number] = pending
        return pending

    def forget(self, pending: PendingRequest) -> None:
        """Drop a request that nobody waits for any more."""
        with self._lock:
            self._pending.pop(pending.number, None)

    def offer(self, frame: QueuedFrame) -> bool:
        """Queue a frame; False when the link has ended or its queue is full."""
        return self._queue.put(frame)

    @property
    def ended(self) -> bool:
        """Whether the link takes no more frames."""
        return self._queue.closed

    def run(self, stopping: threading.Event) -> None:
        """Connect, write until idle or broken, then fail what is left."""
        reason = "the connection ended"
        try:
            connection = self._connect()
            self._parts.executors.run_task(
                f"peer-read {self.address}", lambda _: self._read(connection)
            )
            self._write(connection, stopping)
        except HandshakeError as failure:
            reason = str(failure)
            emit(PEER_REFUSED_US, peer=self.address, reason=reason)
        except (OSError, ValueError) as failure:
            reason = str(failure) or type(failure).__name__
        finally:
            self._end(reason)

    def close(self) -> None:
        """End the link; whatever waits on it fails."""
        self._end("the transport stops")

    def _connect(self) -> socket.socket:
        rule = self._parts.faults.towards(self.address)
        if rule is not None and rule.cut:
            self._parts.closing.wait(CONNECT_TIMEOUT_S)
            raise ConnectionError("cut off by a rehearsal fault")
        connection = socket.create_connection(split_address(self.address), CONNECT_TIMEOUT_S)
        try:
            peer = connect_handshake(connection, self._parts.local, self._parts.keys)
            prepare(connection)
        except BaseException:
            shut(connection)
            raise
        with self._lock:
            self._connection = connection
        self.level = peer.level
        if self._queue.closed:
            shut(connection)
            raise ConnectionError("the link was closed while it connected")
        return connection

    def _write(self, connection: socket.socket, stopping: threading.Event) -> None:
        while not stopping.is_set() and not self._queue.closed:
            frame = self._queue.get(POLL_S)
            if frame is None:
                if self._idle() and self._queue.close_if_empty():
                    return
                continue
            if frame.level > (self.level or FIRST_LEVEL):
                self._leave_out(frame)
                continue
            if not self._parts.hold_for_faults(self.address, frame):
                raise ConnectionError("cut off by a rehearsal fault")
            if frame.pending is not None and not frame.pending.mark_sent():
                continue
            self._last_used_s = elapsed_s()
            connection.sendall(frame.data)
            self._parts.traffic.count_sent(len(frame.data))

    def _leave_out(self, frame: QueuedFrame) -> None:
        """Send nothing of a message that the peer's build does not know."""
        detail = f"messages of level {frame.level} are not known at level {self.level}"
        if not self._has_told_level:
            self._has_told_level = True
            emit(PEER_OF_OLDER_BUILD, peer=self.address, level=self.level, needed=frame.level)
        if frame.pending is not None:
            self.forget(frame.pending)
            frame.pending.resolve(Failure(WireError(WireErrorKind.REFUSED, detail)))

    def _idle(self) -> bool:
        with self._lock:
            waiting = bool(self._pending)
        return not waiting and elapsed_s() - self._last_used_s > IDLE_TIMEOUT_S

    def _read(self, connection: socket.socket) -> None:
        reason = "closed by the peer"
        try:
            while True:
                payload = read_frame(connection, MAXIMUM_FRAME_BYTES)
                self._parts.traffic.count_received(len(payload))
                self._take(decode_struct(payload, Answer | Refusal))  # type: ignore[arg-type]
        except ConnectionClosedError:
            pass
        except FrameError as failure:
            reason = str(failure)
            emit(PEER_FRAME_REFUSED, peer=self.address, reason=reason)
        except OSError as failure:
            reason = str(failure)
            if not self._queue.closed:
                emit(PEER_CONNECTION_LOST, peer=self.address, reason=reason)
        finally:
            self._end(reason)

    def _take(self, frame: Answer | Refusal) -> None:
        with self._lock:
            pending = self._pending.pop(frame.number, None)
        if pending is None:
            return  # Its caller's time ran out before.
        if isinstance(frame, Refusal):
            kind = WireErrorKind.NO_ANSWER if frame.handled else WireErrorKind.REFUSED
            pending.resolve(Failure(WireError(kind, frame.detail)))
            return
        try:
            answer = self._parts.codec.from_plain(frame.body)
        except FrameError as failure:
            pending.fail(f"undecodable answer: {failure}")
            raise
        pending.resolve(Success(answer))

    def _end(self, reason: str) -> None:
        self._queue.close()
        with self._lock:
            connection = self._connection
            pending = list(self._pending.values())
            self._pending.clear()
        if connection is not None:
            shut(connection)
        for request in pending:
            request.fail(reason)
        self._on_end(self)
