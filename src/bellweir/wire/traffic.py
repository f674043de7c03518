"""Counts what a node sends to and receives from its peers."""

import threading
from dataclasses import dataclass


@dataclass(frozen=True)
class TrafficTotals:
    """Totals since the node started."""

    messages_sent: int
    bytes_sent: int
    messages_received: int
    bytes_received: int


class TrafficCounter:
    """Counts messages and payload bytes, both directions; safe from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._messages_sent = 0
        self._bytes_sent = 0
        self._messages_received = 0
        self._bytes_received = 0

    def count_sent(self, size_bytes: int) -> None:
        """Count one sent message."""
        with self._lock:
            self._messages_sent += 1
            self._bytes_sent += size_bytes

    def count_received(self, size_bytes: int) -> None:
        """Count one received message."""
        with self._lock:
            self._messages_received += 1
            self._bytes_received += size_bytes

    def totals(self) -> TrafficTotals:
        """The totals so far."""
        with self._lock:
            return TrafficTotals(
                self._messages_sent,
                self._bytes_sent,
                self._messages_received,
                self._bytes_received,
            )
