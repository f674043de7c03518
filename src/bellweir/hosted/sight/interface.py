"""What is known of workers from the requests of all gateways, as typed values and abstract class.

A gateway of many sends each worker little, so that its own requests tell next to nothing of the
worker's load or health. What gateways tell each other carries its age; what is old counts less.
"""

from abc import ABC, abstractmethod
from enum import Enum

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.sight.worker_load import WorkerLoad


class ObservedOutcome(Enum):
    """How a request at a worker ended, as far as it tells of the worker."""

    SERVED = "served"
    """A whole answer that is no failure of the worker's."""
    FAILED = "failed"
    """The worker's own failure, an answer that was cut, or none in time."""
    LATE = "late"
    """Given up since no answer came in the time that fellows take; also a failure."""
    REFUSED = "refused"
    """The worker said that it did not run the request."""
    UNKNOWN = "unknown"
    """Ended by this side, before the worker could show anything."""


class WorkerStats:
    """What is known of one incarnation of a worker now."""

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
        """`in_flight`: requests of all gateways that were heard of, this one's included.

        `median_s` and `p95_s` are the median and the 95th percentile of its answers' times in
        seconds; 0 while unknown. `age_s` is the age of the newest word of another gateway. A
        worker that `is_ejected` did worse than its fellows and gets no more than trials.
        `load` is what the worker last said of itself to any gateway, `load_age_s` ago.
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
    """What this node knows of workers, from its own requests and from those of others."""

    @abstractmethod
    def record_start(self, service: str, incarnation: Incarnation) -> None:
        """Note that a request goes to a worker of a service; `ended` follows."""

    @abstractmethod
    def record_end(
        self, incarnation: Incarnation, outcome: ObservedOutcome, seconds: float
    ) -> None:
        """Note that a request ended after `seconds` at the worker."""

    @abstractmethod
    def record_load(self, incarnation: Incarnation, load: WorkerLoad) -> None:
        """Note what a worker says of itself now."""

    @abstractmethod
    def stats(self, incarnation: Incarnation) -> WorkerStats:
        """What is known of a worker now; an empty one for a worker that nobody spoke of."""

    @abstractmethod
    def may_probe(self, incarnation: Incarnation) -> bool:
        """Whether a worker that is set aside may get a trial request now; takes the trial."""

    @abstractmethod
    def record_retry(self, service: str, incarnation: Incarnation) -> None:
        """The same as `record_start` for a further try of a request."""

    @abstractmethod
    def record_retry_refused(self, service: str) -> None:
        """Note that a request gets no further try since the budget is spent."""

    @abstractmethod
    def may_retry(self, service: str) -> bool:
        """Whether a further try is within the budget of the service."""

    @abstractmethod
    def service_p95_s(self, service: str) -> float:
        """The 95th percentile in seconds that the sound workers of a service have; 0: unknown."""

    @abstractmethod
    def service_median_s(self, service: str) -> float:
        """The median in seconds that the sound workers of a service have; 0: unknown."""

    @property
    @abstractmethod
    def is_isolated(self) -> bool:
        """Whether no other gateway was heard lately, so that only own requests count."""
