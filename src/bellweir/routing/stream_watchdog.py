"""Watches running streams for engines that have fallen silent."""

import threading
from typing import Protocol

CHECK_INTERVAL_S = 0.1


class IdleCheckedStream(Protocol):
    """A stream that can tell whether its engine has been silent for too long."""

    def check_idle_timeout(self) -> None:
        """Give the running attempt up when it has."""

    def cancel(self) -> None:
        """End the stream."""


class StreamWatchdog:
    """All running streams of a node; one task looks at them all."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._streams: set[IdleCheckedStream] = set()

    def add(self, stream: IdleCheckedStream) -> None:
        """Begin to watch."""
        with self._lock:
            self._streams.add(stream)

    def remove(self, stream: IdleCheckedStream) -> None:
        """End watching; removing twice is no error."""
        with self._lock:
            self._streams.discard(stream)

    def run(self, stopping: threading.Event) -> None:
        """Look at all streams until the node stops."""
        while not stopping.wait(CHECK_INTERVAL_S):
            self.check_streams()

    def cancel_all(self) -> None:
        """Cancel all streams, as at the end of a stop."""
        with self._lock:
            streams = list(self._streams)
        for stream in streams:
            stream.cancel()

    def check_streams(self) -> None:
        """Look at all streams once."""
        with self._lock:
            streams = list(self._streams)
        for stream in streams:
            stream.check_idle_timeout()
