"""Periodic check of running streams for idle engines."""

import threading
from typing import Protocol

CHECK_INTERVAL_S = 0.1


class IdleCheckedStream(Protocol):
    """Stream with an idle timeout."""

    def check_idle_timeout(self) -> None:
        """Abort the running attempt if it has been idle for too long."""

    def cancel(self) -> None:
        """Cancel the stream."""


class StreamWatchdog:
    """Checks all running streams of a node from one task."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._streams: set[IdleCheckedStream] = set()

    def add(self, stream: IdleCheckedStream) -> None:
        """Start checking a stream."""
        with self._lock:
            self._streams.add(stream)

    def remove(self, stream: IdleCheckedStream) -> None:
        """Stop checking a stream. Idempotent."""
        with self._lock:
            self._streams.discard(stream)

    def run(self, stopping: threading.Event) -> None:
        """Check all streams periodically until `stopping` is set."""
        while not stopping.wait(CHECK_INTERVAL_S):
            self.check_streams()

    def cancel_all(self) -> None:
        """Cancel all streams at shutdown."""
        with self._lock:
            streams = list(self._streams)
        for stream in streams:
            stream.cancel()

    def check_streams(self) -> None:
        """Check all streams once."""
        with self._lock:
            streams = list(self._streams)
        for stream in streams:
            stream.check_idle_timeout()
