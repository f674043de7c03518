"""Application workers."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass
from typing import BinaryIO

from returns.result import Result

from bellweir.clients.interface.errors import PlatformError


@dataclass(frozen=True)
class ApplicationCall:
    """One attempt of an application request."""

    attempt_id: str
    method: str
    path: str
    """Path and query, as sent."""
    headers: tuple[tuple[str, str], ...]
    """End-to-end headers only."""
    body: BinaryIO | bytes
    body_length: int | None
    timeout_s: float


@dataclass(frozen=True)
class ApplicationAnswer:
    """An answer whose headers have arrived; the body streams."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]
    """Raises `IncompleteBodyError` when it ends short of its length or end marker."""
    leaving: bool = False


class IncompleteBodyError(IOError):
    """A body ended before its declared length or end marker."""


class Application(ABC):
    """Client of one application worker."""

    @abstractmethod
    def send(self, call: ApplicationCall) -> Result[ApplicationAnswer, PlatformError]:
        """Send one attempt; an error tells whether it may have run."""

    @abstractmethod
    def read_ready(self, timeout_s: float) -> Result["ApplicationState", PlatformError]:
        """Read the worker's own report; used as its health probe."""


@dataclass(frozen=True)
class ApplicationState:
    """An application worker's own report."""

    worker: str
    ready: bool
    leaving: bool
    running: int
