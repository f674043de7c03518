"""Numbered log events.

Each package declares its events in its module `log_events`, within its own range of numbers:
kernel 1-99, settings 100s, wire 200s, platform 300s, resources 400s, configuration 500s,
membership 600s, routing 700s, gateway 800s, ledger 900s, samples 1000s, weights 1100s,
telemetry 1200s, command line 1300s, rehearsal kit 2000s.
"""

from dataclasses import dataclass
from enum import Enum


class Level(Enum):
    """Severity of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class Event:
    """A kind of log line: its number, name, level, fields and meaning."""

    number: int
    name: str
    level: Level
    fields: tuple[str, ...]
    meaning: str
    is_final: bool = False
    """Whether it reports a final failure; its lines are never dropped."""

    @property
    def code(self) -> str:
        """The event's code, such as `BW0001`."""
        return f"BW{self.number:04d}"
