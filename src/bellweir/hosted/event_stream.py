"""Splits a worker's `text/event-stream` into whole events, byte for byte."""

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 8 << 20
EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventTooLongError(ValueError):
    """An event that does not end."""


@dataclass(frozen=True)
class StreamEvent:
    """One whole event."""

    raw: bytes
    """All of its bytes, the empty line at its end included."""
    event_id: int | None
    data: bytes
    """Its data lines, joined by line feeds."""
    weight_version: int | None
    """The version that it says the weights have changed to."""


class EventSplitter:
    """Collects bytes until events are whole."""

    def __init__(self, version_field: str) -> None:
        self._version_field = version_field.lower().encode()
        self._pending = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event waits for its end."""
        return not self._pending.strip()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes; return the events that are whole now. Raises `EventTooLongError`."""
        pending = self._pending + data
        events: list[StreamEvent] = []
        start = 0
        for end in EVENT_END.finditer(pending):
            events.append(self._parse(pending[start : end.end()]))
            start = end.end()
        self._pending = pending[start:]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event of more than {MAX_EVENT_BYTES} bytes")
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
                event_id = _whole_number(value)
            elif name.lower() == self._version_field:
                version = _whole_number(value)
        return StreamEvent(raw, event_id, b"\n".join(data), version)


def _whole_number(value: bytes) -> int | None:
    text = value.strip()
    return int(text) if text.isdigit() else None
