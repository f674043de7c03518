"""Abstract guard against requests that crash workers, as forwarders and the coordinator use it."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from bellweir.hosted.crashes.fingerprint import Fingerprint
from bellweir.hosted.views.workers import Worker


class RunEnd(Enum):
    """How a run ended, as evidence for or against its request."""

    SURVIVED = "survived"
    """The worker answered to the end, without failing."""
    BROKEN = "broken"
    """The worker's end of the connection was closed before its answer was whole."""
    NOT_RUN = "not_run"
    """Refused by the worker or not sent."""
    OTHER = "other"
    """Timed out, cancelled or failed: says nothing."""


class GuardedRequest(Protocol):
    """A request as the guard sees it; its digest is computed only while something is suspected."""

    @property
    def request_id(self) -> str:
        """Id for log lines."""

    @property
    def fingerprint(self) -> Fingerprint:
        """Digest by which the request is recognized when it comes again."""

    @property
    def is_owed(self) -> bool:
        """Whether it was handed in for later: it may have to wait, and is never held for good."""


class CrashGuard(ABC):
    """Keeps requests that crash workers from further workers. Thread-safe."""

    @abstractmethod
    def quarantine_left_s(self, request: GuardedRequest) -> float:
        """Return the seconds for which a request must not be sent; 0 if it may be."""

    @abstractmethod
    def may_send_again(self, request: GuardedRequest) -> bool:
        """Whether another worker may run a request that has been sent to one."""

    @abstractmethod
    def is_restricted(self, request: GuardedRequest) -> bool:
        """Whether a request runs by single trials only, so that it may wait while others run."""

    @abstractmethod
    def permitted(self, request: GuardedRequest, workers: Sequence[Worker]) -> Sequence[Worker]:
        """Return those workers of a service that may run a request.

        A restricted request gets those at which no other one has a trial.
        """

    @abstractmethod
    def begin_run(self, request: GuardedRequest, worker: Worker) -> bool:
        """Note that a request is about to be sent to a worker; False if it must not be.

        Must be called before each run. May ask another node, for up to a quarter of a second.
        """

    @abstractmethod
    def record_end(self, request: GuardedRequest, worker: Worker, end: RunEnd) -> None:
        """Record that a run ended. Blocks shortly after a broken one to look at the worker."""

    @abstractmethod
    def record_refusal(self, request: GuardedRequest) -> None:
        """Log and count a request that is not sent since it is quarantined."""


class NoCrashGuard(CrashGuard):
    """Suspects nothing."""

    def quarantine_left_s(self, request: GuardedRequest) -> float:
        """Return 0."""
        return 0.0

    def may_send_again(self, request: GuardedRequest) -> bool:
        """Return True."""
        return True

    def is_restricted(self, request: GuardedRequest) -> bool:
        """Return False."""
        return False

    def permitted(self, request: GuardedRequest, workers: Sequence[Worker]) -> Sequence[Worker]:
        """Return all."""
        return workers

    def begin_run(self, request: GuardedRequest, worker: Worker) -> bool:
        """Return True."""
        return True

    def record_end(self, request: GuardedRequest, worker: Worker, end: RunEnd) -> None:
        """Ignore it."""

    def record_refusal(self, request: GuardedRequest) -> None:
        """Ignore it."""
