"""Typed values and abstract class for the shared statistics of workers.

Each of many gateways sends too few requests to a worker to learn its load or health alone.
"""

from abc import ABC, abstractmethod
from enum import Enum

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight.worker_load import WorkerLoad


class ObservedOutcome(Enum):
    """How a request at a worker ended, as evidence of the worker's health."""

    SERVED = "served"
    """A complete answer that is not a failure of the worker."""
    FAILED = "failed"
    """A failure of the worker, a truncated answer, or a timeout."""
    LATE = "late"
    """Given up for taking longer than the service's workers usually do; counts as a failure."""
    REFUSED = "refused"
    """The worker answered that it did not run the request."""
    UNKNOWN = "unknown"
    """Ended by the gateway or its client before the worker showed anything."""


class WorkerStats:
    """Statistics of one incarnation of a worker at this moment."""

    __slots__ = (
        "age_s",
        "in_flight",
        "incarnation",
        "is_ejected",
        "load",
        "load_age_s",
        "median_s",
        "p95_s",
    )

    def __init__(
        self,
        incarnation: Incarnation,
        in_flight: float = 0.0,
        median_s: float = 0.0,
        p95_s: float = 0.0,
        age_s: float = float("inf"),
        *,
        is_ejected: bool = False,
        load: WorkerLoad | None = None,
        load_age_s: float = float("inf"),
    ) -> None:
        """`in_flight`: known requests of all gateways, this one included.

        `median_s` and `p95_s` are latency quantiles in seconds, 0 while unknown. `age_s` is the age
        of the newest report of another gateway. A worker that `is_ejected` gets probe requests
        only. `load` is what the worker last reported to any gateway, `load_age_s` ago.
        """
        self.load = load
        self.load_age_s = load_age_s
        self.incarnation = incarnation
        self.in_flight = in_flight
        self.median_s = median_s
        self.p95_s = p95_s
        self.age_s = age_s
        self.is_ejected = is_ejected


class WorkerMonitor(ABC):
    """Statistics of workers from the requests of this node and of the other gateways."""

    @abstractmethod
    def record_start(self, service: str, incarnation: Incarnation) -> None:
        """Record the first attempt of a request at a worker; `record_end` must follow."""

    @abstractmethod
    def record_end(
        self, incarnation: Incarnation, outcome: ObservedOutcome, seconds: float
    ) -> None:
        """Record that an attempt ended after `seconds`."""

    @abstractmethod
    def record_load(self, incarnation: Incarnation, load: WorkerLoad) -> None:
        """Record the load that a worker reports about itself."""

    @abstractmethod
    def stats(self, incarnation: Incarnation) -> WorkerStats:
        """The current statistics of a worker; empty for an unknown worker."""

    @abstractmethod
    def may_probe(self, incarnation: Incarnation) -> bool:
        """Whether a probe request to an ejected worker is due; if so, claims it."""

    @abstractmethod
    def record_retry(self, service: str, incarnation: Incarnation) -> None:
        """Record a retry of a request at a worker; `record_end` must follow."""

    @abstractmethod
    def record_retry_refused(self, service: str) -> None:
        """Record that a request was not retried because the retry budget is spent."""

    @abstractmethod
    def may_retry(self, service: str) -> bool:
        """Whether the service's retry budget allows a retry."""

    @abstractmethod
    def service_p95_s(self, service: str) -> float:
        """95th percentile latency in seconds of workers not ejected; 0 while unknown."""

    @abstractmethod
    def service_median_s(self, service: str) -> float:
        """Median latency in seconds of the workers not ejected; 0 while unknown."""

    @property
    @abstractmethod
    def is_isolated(self) -> bool:
        """Whether no other gateway was heard lately, so that only own requests count."""
