"""Bounded queue of frames waiting to be written to one connection."""

import threading
from collections import deque
from concurrent.futures import Future
from dataclasses import dataclass, field

from returns.result import Failure, Result

from bellweir.kernel.clock import elapsed_s
from bellweir.wire.interface import FIRST_LEVEL, Message, WireError, WireErrorKind

MAXIMUM_QUEUED_FRAMES = 4096
MAXIMUM_QUEUED_BYTES = 64 * 1024 * 1024


class PendingRequest:
    """A request waiting for its answer; knows whether a byte of it may have been written."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.outcome: Future[Result[Message, WireError]] = Future()
        self._lock = threading.Lock()
        self._sent = False
        self._given_up = False

    @property
    def is_sent(self) -> bool:
        """Whether a byte of it may have been written."""
        return self._sent

    def mark_sent(self) -> bool:
        """Called just before writing; False when the caller has given up and it must not go."""
        with self._lock:
            self._sent = not self._given_up
            return self._sent

    def give_up(self) -> WireErrorKind:
        """Called when the time ran out; the request is not written from here on."""
        with self._lock:
            self._given_up = True
            return WireErrorKind.NO_ANSWER if self._sent else WireErrorKind.NOT_SENT

    def resolve(self, outcome: Result[Message, WireError]) -> None:
        """Hand over the outcome; only the first one counts."""
        with self._lock:
            if not self.outcome.done():
                self.outcome.set_result(outcome)

    def fail(self, detail: str) -> None:
        """Resolve as failed: not sent when no byte was written."""
        kind = self.give_up()
        self.resolve(Failure(WireError(kind, detail)))


@dataclass(frozen=True)
class QueuedFrame:
    """An encoded frame with its length prefix."""

    data: bytes
    pending: PendingRequest | None = None
    level: int = FIRST_LEVEL
    """Level of the message that it carries."""
    queued_s: float = field(default_factory=elapsed_s)


class SendQueue:
    """Frames of one connection in order; refuses instead of growing without bound."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._frames: deque[QueuedFrame] = deque()
        self._bytes = 0
        self._closed = False

    def put(self, frame: QueuedFrame) -> bool:
        """Queue a frame; False when the queue is closed or full."""
        with self._condition:
            full = len(self._frames) >= MAXIMUM_QUEUED_FRAMES
            full = full or self._bytes + len(frame.data) > MAXIMUM_QUEUED_BYTES
            if self._closed or full:
                return False
            self._frames.append(frame)
            self._bytes += len(frame.data)
            self._condition.notify()
            return True

    def get(self, timeout_s: float) -> QueuedFrame | None:
        """Take the next frame; None when the time ran out or the queue is closed."""
        with self._condition:
            if not self._frames and not self._closed:
                self._condition.wait(timeout_s)
            if not self._frames:
                return None
            frame = self._frames.popleft()
            self._bytes -= len(frame.data)
            return frame

    @property
    def closed(self) -> bool:
        """Whether the queue takes no more frames."""
        return self._closed

    def close_if_empty(self) -> bool:
        """Close the queue unless a frame waits; return whether it is closed."""
        with self._condition:
            self._closed = self._closed or not self._frames
            return self._closed

    def close(self) -> list[QueuedFrame]:
        """Close the queue and return what was never taken."""
        with self._condition:
            self._closed = True
            remaining = list(self._frames)
            self._frames.clear()
            self._bytes = 0
            self._condition.notify_all()
            return remaining
