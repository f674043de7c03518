"""Abstract class that every sender to workers asks, and the reasons for leaving a worker out."""

from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable
from enum import Enum

from bellweir.hosted.eligibility.homes import AllowedRegions
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.views.workers import Worker


class Exclusion(Enum):
    """Why a worker gets no work from this process."""

    EVACUATED = "zone_evacuated"
    """The operator evacuates its zone."""
    COLD = "worker_cold"
    """It is cold, and other processes send the few requests that it can take."""
    HOME = "outside_allowed_regions"
    """The request may not be served in its region."""


SHORTEST_FIRST = (Exclusion.COLD, Exclusion.EVACUATED, Exclusion.HOME)


class WorkerEligibility(ABC):
    """Hard constraints on where work may be sent. Safe for threads."""

    @abstractmethod
    def exclusion(self, worker: Worker, allowed: AllowedRegions = None) -> Exclusion | None:
        """Return why this process may not send a worker a request; None if it may.

        `allowed`: regions in which the request may be served.
        """

    @abstractmethod
    def is_cold(self, worker: Worker) -> bool:
        """Whether a worker has a limited request rate now."""

    @abstractmethod
    def may_start(self, worker: Worker) -> bool:
        """Whether one more request may be sent to a worker now."""

    @abstractmethod
    def try_start(self, worker: Worker) -> bool:
        """Count one more request to a worker; False, without counting it, if it may not be sent."""

    @abstractmethod
    def note_unanswered(self, worker: Worker) -> None:
        """Note that a worker was not reached or fell silent: it may have started again, cold."""

    @abstractmethod
    def note_closed(self, worker: Worker) -> None:
        """Note that a request found an idle connection closed by a worker."""

    @abstractmethod
    def note_answer(self, worker: Worker, sent_s: float) -> None:
        """Note that a worker answers a request sent at a monotonic time.

        It has not started again since then, as its connections would have ended.
        """

    @abstractmethod
    def warm_in_s(self, workers: Iterable[Worker]) -> float | None:
        """Return the seconds until the first of the cold workers is warm; None if none is cold."""

    @abstractmethod
    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drop the state of workers not listed."""

    def usable(self, workers: Iterable[Worker], allowed: AllowedRegions = None) -> list[Worker]:
        """Return the workers that this process may send a request to."""
        return [worker for worker in workers if self.exclusion(worker, allowed) is None]

    def common_exclusion(
        self, workers: Iterable[Worker], allowed: AllowedRegions = None
    ) -> Exclusion | None:
        """Return why none of the workers may get a request; None if one may or there is none.

        Of several reasons it is the one that ends first.
        """
        reasons = {self.exclusion(worker, allowed) for worker in workers}
        if None in reasons:
            return None
        return next((one for one in SHORTEST_FIRST if one in reasons), None)


class Unrestricted(WorkerEligibility):
    """Allows everything; used where nothing is placed for clients."""

    def exclusion(self, worker: Worker, allowed: AllowedRegions = None) -> Exclusion | None:
        """Return None."""
        return None

    def is_cold(self, worker: Worker) -> bool:
        """Return False."""
        return False

    def may_start(self, worker: Worker) -> bool:
        """Return True."""
        return True

    def try_start(self, worker: Worker) -> bool:
        """Return True."""
        return True

    def note_unanswered(self, worker: Worker) -> None:
        """Do nothing."""

    def note_closed(self, worker: Worker) -> None:
        """Do nothing."""

    def note_answer(self, worker: Worker, sent_s: float) -> None:
        """Do nothing."""

    def warm_in_s(self, workers: Iterable[Worker]) -> float | None:
        """Return None."""
        return None

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Do nothing."""
