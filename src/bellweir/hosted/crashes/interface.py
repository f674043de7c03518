"""Abstract guard against requests that crash workers, as forwarders and the coordinator use it."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from bellweir.hosted.crashes.fingerprint import Fingerprint
from bellweir.hosted.views.workers import Worker


class RunEnd(Enum):
    """How a run ended, as evidence for or against its request."""

    SURVIVED = "survived"
    """The worker answered to the end."""
    BROKEN = "broken"
    """The worker's end of the connection was closed before its answer was whole."""
    OTHER = "other"
    """Refused, timed out, cancelled or not sent: says nothing."""


class CrashGuard(ABC):
    """Keeps requests that crash workers from further workers. Thread-safe."""

    @property
    @abstractmethod
    def is_idle(self) -> bool:
        """Whether no request is suspected, so that fingerprints need not be computed."""

    @abstractmethod
    def quarantine_left_s(self, request: Fingerprint) -> float:
        """Return the seconds for which a request must not be sent; 0 if it may be."""

    @abstractmethod
    def may_retry(self, request: Fingerprint) -> bool:
        """Whether another worker may run a request whose run has just broken off."""

    @abstractmethod
    def permitted(self, request: Fingerprint, workers: Sequence[Worker]) -> Sequence[Worker]:
        """Return those workers of a service that may run a request.

        A request whose next run decides gets one that no other request of the kind gets.
        """

    @abstractmethod
    def record_end(
        self, request: Fingerprint, worker: Worker, end: RunEnd, request_id: str
    ) -> None:
        """Record that a run ended. Blocks shortly after a broken one to look at the worker."""

    @abstractmethod
    def record_refusal(self, request: Fingerprint, request_id: str) -> None:
        """Log and count a request that is not sent since it is quarantined."""


class NoCrashGuard(CrashGuard):
    """Suspects nothing."""

    @property
    def is_idle(self) -> bool:
        """Return True."""
        return True

    def quarantine_left_s(self, request: Fingerprint) -> float:
        """Return 0."""
        return 0.0

    def may_retry(self, request: Fingerprint) -> bool:
        """Return True."""
        return True

    def permitted(self, request: Fingerprint, workers: Sequence[Worker]) -> Sequence[Worker]:
        """Return all."""
        return workers

    def record_end(
        self, request: Fingerprint, worker: Worker, end: RunEnd, request_id: str
    ) -> None:
        """Ignore it."""

    def record_refusal(self, request: Fingerprint, request_id: str) -> None:
        """Ignore it."""
