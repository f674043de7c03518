"""A connection that a peer opened to this node: its requests come in, answers go out."""

import socket
import threading
from collections.abc import Callable, Mapping

from bellweir.events.log import emit
from bellweir.kernel.clock import elapsed_s
from bellweir.kernel.executors import ExecutorSaturatedError
from bellweir.wire.codec import UnknownMessageError
from bellweir.wire.connection_parts import ConnectionParts
from bellweir.wire.frames import (
    MAXIMUM_FRAME_BYTES,
    Answer,
    ConnectionClosedError,
    FrameError,
    OneWay,
    Refusal,
    Request,
    decode_struct,
    encode_struct,
    read_frame,
    with_length,
)
from bellweir.wire.handler_pools import HandlerPools
from bellweir.wire.handshake import HandshakeError, accept_handshake
from bellweir.wire.interface import Handler, Message, Sender
from bellweir.wire.log_events import (
    HANDLER_FAILED,
    PEER_CONNECTION_LOST,
    PEER_FRAME_REFUSED,
    STRANGER_REFUSED,
)
from bellweir.wire.send_queue import QueuedFrame, SendQueue
from bellweir.wire.signs_of_life import LEVEL_WITH_SIGNS, SignOfLife, unasked
from bellweir.wire.sockets import prepare, shut

POLL_S = 5.0
"""The writer wakes at least this often to see that the node stops."""
SIGN_BYTES = 4096
"""Signs of life are shown unasked only while at least this much arrives between them."""


class AcceptedConnection:
    """One task reads and hands requests to the pools, a second one writes the answers."""

    def __init__(
        self,
        connection: socket.socket,
        parts: ConnectionParts,
        handlers: Mapping[type[Message], Handler],
        pools: HandlerPools,
        on_end: Callable[["AcceptedConnection"], None],
    ) -> None:
        self._connection = connection
        self._parts = parts
        self._handlers = handlers
        self._pools = pools
        self._on_end = on_end
        self._queue = SendQueue()
        self._remote = "unknown"
        self._received_bytes = 0
        """Bytes that arrived since the last sign of life."""
        self._shown_s = elapsed_s()

    def run(self, _stopping: threading.Event) -> None:
        """Shake hands, then read until the connection ends."""
        try:
            sender = self._shake_hands()
            if sender is None:
                return
            self._parts.executors.run_task(
                f"peer-answer {sender.node}", lambda stop: self._write(sender, stop)
            )
            self._read(sender)
        finally:
            self.close()
            self._on_end(self)

    def close(self) -> None:
        """End the connection and both tasks."""
        self._queue.close()
        shut(self._connection)

    def _shake_hands(self) -> Sender | None:
        try:
            host, port = self._connection.getpeername()[:2]
            self._remote = f"{host}:{port}"
            sender = accept_handshake(self._connection, self._parts.local, self._parts.keys)
            prepare(self._connection)
        except (HandshakeError, OSError) as failure:
            if not self._queue.closed:
                emit(STRANGER_REFUSED, remote=self._remote, reason=str(failure))
            return None
        return sender

    def _read(self, sender: Sender) -> None:
        on_chunk = self._show_life if sender.level >= LEVEL_WITH_SIGNS else None
        try:
            while True:
                payload = read_frame(self._connection, MAXIMUM_FRAME_BYTES, on_chunk=on_chunk)
                self._parts.traffic.count_received(len(payload))
                self._take(sender, decode_struct(payload, Request | OneWay))  # type: ignore[arg-type]
        except ConnectionClosedError:
            return
        except FrameError as failure:
            emit(PEER_FRAME_REFUSED, peer=sender.node, reason=str(failure))
        except OSError as failure:
            if not self._queue.closed:
                emit(PEER_CONNECTION_LOST, peer=sender.node, reason=str(failure))

    def _show_life(self, received_bytes: int) -> None:
        """Show that much is being received, which on a narrow path takes long."""
        self._received_bytes += received_bytes
        if self._received_bytes < SIGN_BYTES:
            return
        now_s = elapsed_s()
        if now_s - self._shown_s < self._parts.silence.sign_period_s:
            return
        self._received_bytes = 0
        self._shown_s = now_s
        self._queue.put(unasked())

    def _take(self, sender: Sender, frame: Request | OneWay) -> None:
        try:
            message = self._parts.codec.from_plain(frame.body)
        except UnknownMessageError as failure:
            # A newer node may know more messages; that is no reason to lose the connection.
            self._refuse(frame, str(failure))
            return
        if isinstance(message, SignOfLife):
            # Not by the pools, whose handlers may all be busy.
            if isinstance(frame, Request):
                self._answer(frame, message, message)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self._refuse(frame, f"no handler for {type(message).__name__}")
            return
        received_s = elapsed_s()
        try:
            self._pools.submit(
                frame.hop, lambda: self._handle(sender, frame, message, handler, received_s)
            )
        except ExecutorSaturatedError as failure:
            self._refuse(frame, str(failure))

    def _handle(
        self,
        sender: Sender,
        frame: Request | OneWay,
        message: Message,
        handler: Handler,
        received_s: float,
    ) -> None:
        expired = isinstance(frame, Request) and elapsed_s() - received_s > frame.timeout_s
        if expired:
            self._refuse(frame, "expired before it was handled")
            return
        try:
            answer = handler(sender, message)
        except Exception as failure:
            # One failing handler must not end the connection that other requests share. What it
            # had done before it failed is not known, so the refusal does not say "no effect".
            emit(
                HANDLER_FAILED,
                peer=sender.node,
                message=type(message).__name__,
                error=repr(failure),
            )
            self._refuse(frame, f"the handler failed: {type(failure).__name__}", handled=True)
            return
        if isinstance(frame, Request):
            self._answer(frame, message, answer)

    def _answer(self, frame: Request, message: Message, answer: Message | None) -> None:
        if answer is None:
            self._refuse(frame, f"{type(message).__name__} has no answer", handled=True)
            return
        try:
            data = with_length(
                encode_struct(Answer(frame.number, self._parts.codec.to_plain(answer)))
            )
        except FrameError as failure:
            self._refuse(frame, str(failure), handled=True)
            return
        self._queue.put(QueuedFrame(data))

    def _refuse(self, frame: Request | OneWay, detail: str, handled: bool = False) -> None:
        if isinstance(frame, Request):
            refusal = Refusal(frame.number, handled, detail)
            self._queue.put(QueuedFrame(with_length(encode_struct(refusal))))

    def _write(self, sender: Sender, stopping: threading.Event) -> None:
        try:
            while not stopping.is_set() and not self._queue.closed:
                frame = self._queue.get(POLL_S)
                if frame is None:
                    continue
                if not self._parts.hold_for_faults(sender.address, frame):
                    raise ConnectionError("cut off by a rehearsal fault")
                self._connection.sendall(frame.data)
                self._parts.traffic.count_sent(len(frame.data))
        except OSError as failure:
            if not self._queue.closed:
                emit(PEER_CONNECTION_LOST, peer=sender.node, reason=str(failure))
        finally:
            self.close()
