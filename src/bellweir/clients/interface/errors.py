"""What goes wrong towards outside systems, as far as it is known."""

from dataclasses import dataclass
from enum import Enum


class ErrorKind(Enum):
    """What went wrong towards an outside system, as far as it is known."""

    NOT_RUN = "not_run"
    """Proved not to have run: no connection, no byte written, or the system's own refusal."""
    UNKNOWN = "unknown"
    """A byte was written and no whole answer came back; it may have run."""
    CONFLICT = "conflict"
    """A compare-and-set found another version."""
    NOT_FOUND = "not_found"
    COMPACTED = "compacted"
    """The watch's start revision is no longer kept; list again."""
    FENCED = "fenced"
    """The system has accepted a newer order."""
    INVALID = "invalid"
    """The system found the call itself wrong; repeating it is useless."""
    OVERLOADED = "overloaded"
    """Refused for load, proved not run; try later or elsewhere."""
    LEAVING = "leaving"
    """Refused because the back end is leaving, proved not run."""


@dataclass(frozen=True)
class PlatformError:
    """A failed call to an outside system."""

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None
    answered: bool = False
    """Whether the system itself has answered, with a refusal: it can be reached."""
    ended_by_peer: bool = False
    """Whether the peer ended the connection, rather than time running out."""

    @property
    def proves_not_run(self) -> bool:
        """Whether the call surely had no effect."""
        return self.kind is not ErrorKind.UNKNOWN
