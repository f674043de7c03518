"""Typed values and abstract classes for queued requests."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from bellweir.hosted.room.interface import AdmissionDecision, WorkerCapacity


class QueuedRequest:
    """A request subject to admission. Times are monotonic, in seconds.

    >>> QueuedRequest("r-1", "dealers", 2, arrived_s=10.0, wait_until_s=10.025, deadline_s=11.0)
    QueuedRequest('r-1', tenant='dealers', priority=2)
    """

    __slots__ = (
        "arrived_s",
        "cost_s",
        "deadline_s",
        "priority",
        "request_id",
        "target_s",
        "tenant",
        "wait_until_s",
    )

    def __init__(
        self,
        request_id: str,
        tenant: str,
        priority: int,
        arrived_s: float,
        wait_until_s: float,
        deadline_s: float,
        cost_s: float = 1.0,
        target_s: float = 1.0,
    ) -> None:
        """Priority 0 is the most urgent.

        `wait_until_s`: when it is released even without capacity. `deadline_s`: when its client
        must have an answer. `target_s`: latency target after its arrival. `cost_s`: expected time
        it occupies a slot.
        """
        self.request_id = request_id
        self.tenant = tenant
        self.priority = priority
        self.arrived_s = arrived_s
        self.wait_until_s = wait_until_s
        self.deadline_s = deadline_s
        self.cost_s = cost_s
        self.target_s = target_s

    def __repr__(self) -> str:
        return (
            f"QueuedRequest({self.request_id!r}, tenant={self.tenant!r}, "
            f"priority={self.priority!r})"
        )


class QueueDiscipline(ABC):
    """Order of waiting requests: by priority, then fair among tenants, then by age.

    Not safe for threads: the owner's lock guards it. Requests are compared by identity.
    """

    @abstractmethod
    def __len__(self) -> int:
        """Number of waiting requests."""

    @abstractmethod
    def push(self, request: QueuedRequest) -> None:
        """Add a request."""

    @abstractmethod
    def peek(self) -> QueuedRequest | None:
        """The next request to serve; None if none waits."""

    @abstractmethod
    def remove(self, request: QueuedRequest, *, served: bool) -> bool:
        """Remove a request; False if it was not waiting. `served` charges its tenant."""

    @abstractmethod
    def charge(self, request: QueuedRequest) -> None:
        """Charge a tenant for a request that started without waiting."""

    @abstractmethod
    def all(self) -> Sequence[QueuedRequest]:
        """All waiting requests, in any order."""


class ReleaseCause(Enum):
    """Why a request no longer waits."""

    ROOM = "room"
    """It was its turn and there was capacity."""
    OVERDUE = "overdue"
    """No capacity within its wait; it is sent to a worker regardless."""
    HOPELESS = "hopeless"
    """Refused after a wait: it is expected too late."""
    DISPLACED = "displaced"
    """Displaced from a full queue by another request."""


class ReleasedRequest:
    """A request that no longer waits, and the decision behind it."""

    __slots__ = ("cause", "decision", "request")

    def __init__(
        self, request: QueuedRequest, cause: ReleaseCause, decision: AdmissionDecision
    ) -> None:
        self.request = request
        self.cause = cause
        self.decision = decision


class CapacityEstimate:
    """Capacity of a service when a request is refused.

    `usable_slots` are requests that can be in flight and still meet the target;
    `service_rate_per_s` slots are freed per second.
    """

    __slots__ = ("occupied", "own_share", "service_rate_per_s", "usable_slots")

    def __init__(
        self, occupied: float, usable_slots: float, service_rate_per_s: float, own_share: float
    ) -> None:
        """`occupied`: requests in flight or queued.

        `own_share`: this gateway's share of these, 0 to 1. `service_rate_per_s` is 0 while unknown.
        """
        self.occupied = occupied
        self.usable_slots = usable_slots
        self.service_rate_per_s = service_rate_per_s
        self.own_share = own_share

    @classmethod
    def from_workers(
        cls, workers: Sequence[WorkerCapacity], target_s: float, queued: int, own: float
    ) -> "CapacityEstimate":
        """Estimate for a latency target, with `own` requests of this gateway in flight.

        >>> workers = [WorkerCapacity(6, 30, 0.05)]
        >>> estimate = CapacityEstimate.from_workers(workers, 0.1, queued=0, own=3)
        >>> estimate.occupied, estimate.usable_slots, estimate.own_share
        (30, 12.0, 0.1)
        >>> round(estimate.service_rate_per_s)
        120
        """
        known = [worker for worker in workers if worker.service_time_s > 0]
        occupied = sum(worker.in_flight for worker in workers) + queued
        usable_slots = sum(
            worker.slots * max(1.0, target_s / worker.service_time_s) for worker in known
        )
        rate = sum(min(worker.slots, worker.in_flight) / worker.service_time_s for worker in known)
        share = min(1.0, (own + queued) / occupied) if occupied > 0 else 1.0
        return cls(occupied, usable_slots, rate, share)


class RetryAfterPolicy(ABC):
    """Decides when refused clients are asked to retry."""

    @abstractmethod
    def retry_after_s(
        self,
        service: str,
        estimate: CapacityEstimate,
        remaining_s: float,
        remaining_share: float,
        now_s: float,
    ) -> float:
        """Retry-After in seconds, at most a third of `remaining_s`, the client's time left.

        `remaining_share`: part of the client's time that is left, 0 to 1; clients with the least
        left retry first.
        """
