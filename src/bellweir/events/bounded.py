"""A rate-limited log stream that never blocks the thread that logs.

Lines are queued for a writer thread. Lines beyond the rate limit of their event, or beyond the
capacity of the queue, are dropped, and their counts are logged periodically.
"""

import io
import json
import threading
from collections import Counter, deque
from collections.abc import Iterator
from typing import TextIO

from bellweir.events.event import Event
from bellweir.kernel.clock import elapsed_s

MAX_LINES_PER_SECOND = 200
"""Lines of one event per second of the monotonic clock."""
MAX_QUEUED_LINES = 2_000
REPORT_INTERVAL_S = 5.0
WAIT_TIMEOUT_S = 1.0
MAX_BLOCK_CHARACTERS = 3_500
"""Limit of one write: pipes write up to a page atomically, and some collectors cut longer ones."""


class BoundedLog(io.TextIOBase):
    """A text stream for `structlog`; callers check `admits` before they render a line.

    Final events are always admitted; their number is bounded by the number of requests.
    """

    def __init__(self, stream: TextIO, dropped_event: Event) -> None:
        self._stream = stream
        self._dropped_event = dropped_event
        self._lock = threading.Lock()
        self._ready = threading.Condition(self._lock)
        self._lines: deque[str] = deque()
        self._counted_second = 0
        self._written_counts: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        self._report_due_s = elapsed_s() + REPORT_INTERVAL_S
        self._closed = False
        self._thread = threading.Thread(target=self._write_lines, name="log-writer", daemon=True)
        self._thread.start()

    def admits(self, event: Event) -> bool:
        """Whether a line of `event` may be written now; otherwise count it as dropped."""
        with self._lock:
            if event.is_final:
                return True
            current_second = int(elapsed_s())
            if current_second != self._counted_second:
                self._counted_second = current_second
                self._written_counts.clear()
            self._written_counts[event.name] += 1
            exceeds_rate = self._written_counts[event.name] > MAX_LINES_PER_SECOND
            if exceeds_rate or len(self._lines) >= MAX_QUEUED_LINES:
                self._dropped[event.name] += 1
                return False
            return True

    def write(self, text: str) -> int:
        """Queue text for the writer thread."""
        with self._lock:
            self._lines.append(text)
            self._ready.notify()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the writer thread flushes."""

    def writable(self) -> bool:
        """Return True."""
        return True

    def close(self, timeout_s: float = WAIT_TIMEOUT_S) -> None:
        """Write the queued lines, for at most `timeout_s`, and stop the writer thread."""
        with self._lock:
            self._closed = True
            self._ready.notify()
        self._thread.join(timeout_s)

    def _write_lines(self) -> None:
        while True:
            with self._lock:
                self._ready.wait_for(lambda: self._lines or self._closed, WAIT_TIMEOUT_S)
                lines = list(self._lines)
                self._lines.clear()
                is_last = self._closed
                lines.append(self._report_dropped(is_last))
            try:
                for block in _join_blocks(lines):
                    self._stream.write(block)
                    self._stream.flush()
            except (OSError, ValueError):
                return
            if is_last:
                self._stream.close()
                return

    def _report_dropped(self, is_last: bool) -> str:
        """Render the counts of dropped lines if due, else "". The caller holds the lock."""
        is_due = is_last or elapsed_s() >= self._report_due_s
        if not self._dropped or not is_due:
            return ""
        self._report_due_s = elapsed_s() + REPORT_INTERVAL_S
        event = self._dropped_event
        counts = dict(self._dropped)
        self._dropped.clear()
        line = {"code": event.code, "counts": counts, "event": event.name}
        return json.dumps({**line, "level": event.level.value}) + "\n"


def _join_blocks(lines: list[str]) -> Iterator[str]:
    """Join lines to blocks of at most `MAX_BLOCK_CHARACTERS`; a longer line is its own block."""
    block = ""
    for line in lines:
        if block and len(block) + len(line) > MAX_BLOCK_CHARACTERS:
            yield block
            block = ""
        block += line
    if block:
        yield block
