"""Splits a worker's `text/event-stream` into complete events, preserving their bytes."""

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 8 << 20
EVENT_END = re.compile(rb"\r?\n(?:\r?\n)+")
"""The end of an event, with further empty lines behind it."""
UNFINISHED_END_BYTES = 3
"""Most bytes of an end that has not ended an event yet."""


class EventTooLongError(ValueError):
    """An event that exceeds `MAX_EVENT_BYTES`."""


@dataclass(frozen=True)
class StreamEvent:
    """One complete event."""

    raw: bytes
    """All of its bytes, including the terminating empty lines."""
    event_id: int | None
    data: bytes
    """Its data lines, joined by line feeds."""
    weight_version: int | None
    """The new weight version that the event announces, if any."""

    @property
    def is_progress(self) -> bool:
        """Whether it holds an id, data or a version, unlike a comment or an empty line."""
        has_number = self.event_id is not None or self.weight_version is not None
        return has_number or bool(self.data)


class EventSplitter:
    """Incremental parser of an event stream."""

    def __init__(self, version_field: str) -> None:
        self._version_field = version_field.lower().encode()
        self._pending = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Length of the incomplete event that is buffered."""
        return len(self._pending)

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._pending.strip()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes; return the events completed by them. Raises `EventTooLongError`."""
        pending = self._pending
        # The end of an event may have begun in what came before.
        scanned = max(0, len(pending) - UNFINISHED_END_BYTES)
        pending += data
        events: list[StreamEvent] = []
        start = 0
        for end in EVENT_END.finditer(pending, scanned):
            events.append(self._parse(bytes(pending[start : end.end()])))
            start = end.end()
        del pending[:start]
        if len(pending) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def _parse(self, raw: bytes) -> StreamEvent:
        event_id: int | None = None
        version: int | None = None
        data: list[bytes] = []
        for line in raw.splitlines():
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"data":
                data.append(value)
            elif name == b"id":
                event_id = _parse_int(value)
            elif name.lower() == self._version_field:
                version = _parse_int(value)
        return StreamEvent(raw, event_id, b"\n".join(data), version)


def _parse_int(value: bytes) -> int | None:
    text = value.strip()
    return int(text) if text.isdigit() else None
