"""Watches running streams for engines that have fallen silent."""

import threading
from typing import Protocol

WATCH_PERIOD_S = 0.1


class WatchedStream(Protocol):
    """A stream that can tell whether its engine has been silent for too long."""

    def check_silence(self) -> None:
        """Give the running attempt up when it has."""

    def cancel(self) -> None:
        """End the stream."""


class StreamWatch:
    """All running streams of a node; one task looks at them all."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._streams: set[WatchedStream] = set()

    def add(self, stream: WatchedStream) -> None:
        """Begin to watch."""
        with self._lock:
            self._streams.add(stream)

    def remove(self, stream: WatchedStream) -> None:
        """End watching; removing twice is no error."""
        with self._lock:
            self._streams.discard(stream)

    def run(self, stopping: threading.Event) -> None:
        """Look at all streams until the node stops."""
        while not stopping.wait(WATCH_PERIOD_S):
            self.look()

    def cancel_all(self) -> None:
        """Cancel all streams, as at the end of a stop."""
        with self._lock:
            streams = list(self._streams)
        for stream in streams:
            stream.cancel()

    def look(self) -> None:
        """Look at all streams once."""
        with self._lock:
            streams = list(self._streams)
        for stream in streams:
            stream.check_silence()
