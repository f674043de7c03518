"""Parses log lines: one JSON object per line, with any prefix before it."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import Any


@dataclass(frozen=True)
class LogLine:
    """A parsed log line."""

    time: str
    """ISO 8601, UTC."""
    node: str
    event: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """A field as text; empty when it is absent."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def number(self, name: str) -> float:
        """A field as a number; 0 when it is absent or not a number."""
        value = self.fields.get(name)
        return float(value) if isinstance(value, int | float) else 0.0

    def seconds(self) -> float:
        """Unix time in seconds by the node's clock."""
        return datetime.fromisoformat(self.time.replace("Z", "+00:00")).timestamp()


def read_lines(sources: Iterable[Iterable[str]]) -> list[LogLine]:
    """Parse the log lines of several sources, sorted by time. Other lines are skipped."""
    found = [line for source in sources for line in _parse_all(source)]
    return sorted(found, key=lambda line: line.time)


def _parse_all(source: Iterable[str]) -> Iterator[LogLine]:
    for raw in source:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(raw[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields and "timestamp" in fields:
            yield LogLine(
                str(fields["timestamp"]), str(fields.get("node", "")), str(fields["event"]), fields
            )
