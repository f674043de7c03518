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
from bellweir.wire.handshake import (
    HANDSHAKE_TIMEOUT_S,
    HandshakeError,
    connect_handshake,
)
from bellweir.wire.interface import FIRST_LEVEL, WireError, WireErrorKind
from bellweir.wire.link_silence import LinkSilence, Step
from bellweir.wire.log_events import (
    PEER_CONNECTION_DOUBTFUL,
    PEER_CONNECTION_KEPT,
    PEER_CONNECTION_LOST,
    PEER_CONNECTION_REPLACED,
    PEER_FRAME_REFUSED,
    PEER_OF_OLDER_BUILD,
    PEER_REFUSED_US,
    PEER_SECOND_CONNECTION_FAILED,
)
from bellweir.wire.send_queue import PendingRequest, QueuedFrame, SendQueue
from bellweir.wire.signs_of_life import LEVEL_WITH_SIGNS, SignOfLife, question
from bellweir.wire.sockets import CONNECT_TIMEOUT_S, prepare, shut, split_address

IDLE_TIMEOUT_S = 12.0
"""A link without traffic is closed by the node that opened it. It holds four threads at its ends;
whatever is repeated is repeated within 10 s."""
POLL_S = 5.0
"""The writer wakes at least this often to see that the link is idle or the node stops."""


class PeerLink:
    """One task connects and writes, a second one reads the answers.

    A link lives until its connection ends; the transport then opens a new one on demand. When the
    connection goes silent, a second one is opened beside it and takes its place once the peer has
    accepted it; what was not written yet stays queued.
    """

    def __init__(
        self,
        address: str,
        parts: ConnectionParts,
        on_write: Callable[[], None],
        on_end: Callable[["PeerLink"], None],
    ) -> None:
        self.address = address
        self._parts = parts
        self._on_write = on_write
        self._on_end = on_end
        self._queue = SendQueue()
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._pending: dict[int, PendingRequest] = {}
        self._connection: socket.socket | None = None
        self._last_used_s = elapsed_s()
        self._silence = LinkSilence(parts.silence)
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
            self._start_reading(connection)
            self._write(stopping)
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

    def look(self, gap_s: float) -> bool:
        """Judge the connection's silence; return whether it is to be looked at again soon.

        `gap_s`: seconds since the last look.
        """
        with self._lock:
            is_waiting = bool(self._pending)
            is_open = self._connection is not None
        if not is_open or self._queue.closed or (self.level or FIRST_LEVEL) < LEVEL_WITH_SIGNS:
            return False
        received = self._silence.received
        step = self._silence.look(gap_s, is_waiting)
        if step is Step.ASK:
            self._ask_for_sign()
        elif step is Step.TRY_ANOTHER:
            self._try_another(received)
        return self._silence.is_watched(is_waiting)

    def _ask_for_sign(self) -> None:
        body = self._parts.codec.to_plain(SignOfLife())
        self._queue.put(question(body, self._parts.silence.doubt_after_s))

    def _try_another(self, received: int) -> None:
        emit(PEER_CONNECTION_DOUBTFUL, peer=self.address, quiet_s=round(self._silence.quiet_s, 3))
        try:
            self._parts.executors.run_task(
                f"peer-again {self.address}", lambda _: self._connect_again(received)
            )
        except RuntimeError as failure:
            self._attempt_failed(str(failure))

    def _connect_again(self, received: int) -> None:
        """Open a second connection; it takes the first one's place unless that spoke again."""
        timeout_s = self._parts.silence.attempt_s
        try:
            connection, level = self._open(min(timeout_s, CONNECT_TIMEOUT_S), timeout_s)
        except (OSError, ValueError, HandshakeError) as failure:
            self._attempt_failed(str(failure) or type(failure).__name__)
            return
        # A peer that stood still answers on both at once.
        self._parts.closing.wait(self._parts.silence.grace_s)
        quiet_s = round(self._silence.quiet_s, 3)
        has_spoken = self._silence.received != received
        self._silence.attempt_ended()
        if has_spoken:
            shut(connection)
            emit(PEER_CONNECTION_KEPT, peer=self.address)
            return
        self._replace(connection, level, quiet_s)

    def _attempt_failed(self, reason: str) -> None:
        pause_s = self._silence.attempt_failed()
        emit(
            PEER_SECOND_CONNECTION_FAILED,
            peer=self.address,
            reason=reason,
            pause_s=round(pause_s, 3),
        )

    def _replace(self, connection: socket.socket, level: int, quiet_s: float) -> None:
        with self._lock:
            silent = self._connection
            if self._queue.closed or silent is None:
                shut(connection)
                return
            self._connection = connection
            self.level = level
            lost = [request for request in self._pending.values() if request.is_sent]
            for request in lost:
                del self._pending[request.number]
        # Before the writer wakes, which would write one of them again.
        for request in lost:
            request.fail("the connection went silent")
        shut(silent)
        emit(
            PEER_CONNECTION_REPLACED,
            peer=self.address,
            quiet_s=quiet_s,
            lost_requests=len(lost),
        )
        try:
            self._start_reading(connection)
        except RuntimeError as failure:
            self._end(str(failure))

    def _start_reading(self, connection: socket.socket) -> None:
        self._parts.executors.run_task(
            f"peer-read {self.address}", lambda _: self._read(connection)
        )

    def _connect(self) -> socket.socket:
        connection, level = self._open(CONNECT_TIMEOUT_S, HANDSHAKE_TIMEOUT_S)
        with self._lock:
            self._connection = connection
        self.level = level
        if self._queue.closed:
            shut(connection)
            raise ConnectionError("the link was closed while it connected")
        return connection

    def _open(
        self, connect_timeout_s: float, handshake_timeout_s: float
    ) -> tuple[socket.socket, int]:
        """Open a connection; return it and the level of the peer's messages."""
        rule = self._parts.faults.towards(self.address)
        if rule is not None and rule.cut:
            self._parts.closing.wait(CONNECT_TIMEOUT_S)
            raise ConnectionError("cut off by a rehearsal fault")
        connection = socket.create_connection(split_address(self.address), connect_timeout_s)
        try:
            peer = connect_handshake(
                connection, self._parts.local, self._parts.keys, handshake_timeout_s
            )
            prepare(connection)
        except BaseException:
            shut(connection)
            raise
        return connection, peer.level

    def _write(self, stopping: threading.Event) -> None:
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
            self._send(frame)

    def _send(self, frame: QueuedFrame) -> None:
        """Write a frame; again when its connection was replaced before all was written.

        The peer then has a part of it at most, so it can't come twice.
        """
        while True:
            with self._lock:
                # Together, so that a replacement knows what was sent on the silent connection.
                connection = self._connection
                if frame.pending is not None and not frame.pending.mark_sent():
                    return
            if connection is None:
                raise ConnectionError("no connection")
            self._last_used_s = elapsed_s()
            self._silence.note_written()
            self._on_write()
            try:
                connection.sendall(frame.data)
            except OSError:
                if self._is_current(connection):
                    raise
                continue
            self._parts.traffic.count_sent(len(frame.data))
            return

    def _is_current(self, connection: socket.socket) -> bool:
        with self._lock:
            return self._connection is connection

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
                payload = read_frame(connection, MAXIMUM_FRAME_BYTES, on_chunk=self._note_received)
                self._parts.traffic.count_received(len(payload))
                self._take(decode_struct(payload, Answer | Refusal))  # type: ignore[arg-type]
        except ConnectionClosedError:
            pass
        except FrameError as failure:
            reason = str(failure)
            emit(PEER_FRAME_REFUSED, peer=self.address, reason=reason)
        except OSError as failure:
            reason = str(failure)
            if not self._queue.closed and self._is_current(connection):
                emit(PEER_CONNECTION_LOST, peer=self.address, reason=reason)
        finally:
            if self._is_current(connection):
                self._end(reason)

    def _note_received(self, _received_bytes: int) -> None:
        self._silence.note_received()

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
