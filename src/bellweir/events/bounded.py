"""A log stream that bounds the volume and never holds up the thread that writes.

Lines wait in a queue for one writer thread. An event may write so many lines a second; beyond
that, and while the queue is full, its lines are dropped and counted, and a line tells the counts
later. Lines of events that tell a final failure are never dropped for either reason; their number
is bounded by the number of requests.
"""

import io
import json
import threading
import time
from collections import Counter, deque
from collections.abc import Iterator
from typing import TextIO

from bellweir.events.event import Event

MAX_LINES_PER_SECOND = 200
"""Lines that one event may write in a second of the steady clock."""
MAX_QUEUED_LINES = 2_000
REPORT_INTERVAL_S = 5.0
"""Time between two lines that tell what was left out."""
WAIT_TIMEOUT_S = 1.0
MAX_BLOCK_CHARACTERS = 3_500
"""Lines written at once. Pipes take a page as a whole, and some collectors cut longer writes."""


class BoundedLog(io.TextIOBase):
    """Stands where `structlog` wants a text stream; `admits` is asked before a line is made."""

    def __init__(self, stream: TextIO, dropped_event: Event) -> None:
        self._stream = stream
        self._dropped_event = dropped_event
        self._lock = threading.Lock()
        self._ready = threading.Condition(self._lock)
        self._lines: deque[str] = deque()
        self._counted_second = 0
        self._written_counts: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        self._report_due_s = time.monotonic() + REPORT_INTERVAL_S
        self._closed = False
        self._thread = threading.Thread(target=self._write_lines, name="log-writer", daemon=True)
        self._thread.start()

    def admits(self, event: Event) -> bool:
        """Whether a line of `event` may be written now; otherwise it is counted as left out."""
        with self._lock:
            if event.is_final:
                return True
            current_second = int(time.monotonic())
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
        """Queue text."""
        with self._lock:
            self._lines.append(text)
            self._ready.notify()
        return len(text)

    def flush(self) -> None:
        """Nothing: the writer flushes."""

    def writable(self) -> bool:
        """Tell that it can be written to."""
        return True

    def close(self, timeout_s: float = WAIT_TIMEOUT_S) -> None:
        """Write what waits, for at most `timeout_s`, and end."""
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
        """A line with the counts when it is due; empty otherwise. Called under the lock."""
        is_due = is_last or time.monotonic() >= self._report_due_s
        if not self._dropped or not is_due:
            return ""
        self._report_due_s = time.monotonic() + REPORT_INTERVAL_S
        event = self._dropped_event
        counts = dict(self._dropped)
        self._dropped.clear()
        line = {"code": event.code, "counts": counts, "event": event.name}
        return json.dumps({**line, "level": event.level.value}) + "\n"


def _join_blocks(lines: list[str]) -> Iterator[str]:
    """The pieces joined to blocks of whole ones; a longer piece is a block of its own."""
    block = ""
    for line in lines:
        if block and len(block) + len(line) > MAX_BLOCK_CHARACTERS:
            yield block
            block = ""
        block += line
    if block:
        yield block
