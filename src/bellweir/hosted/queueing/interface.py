"""Requests that wait for room, as typed values and abstract classes."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from bellweir.hosted.room.interface import AdmissionDecision, WorkerCapacity


class QueuedRequest:
    """One request that waits. Times are of the monotonic clock, in seconds.

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
        """`priority` 0 goes first.

        `wait_until_s`: when it is let go, room or not. `deadline_s`: when its client must have an
        answer, `target_s` after its arrival when it should. `cost_s`: time of a worker's place that
        it is expected to take.
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
        return f"QueuedRequest({self.request_id!r}, tenant={self.tenant!r}, priority={self.priority!r})"


class QueueDiscipline(ABC):
    """Order among waiting requests: by priority, then by fair shares among tenants, then by age.

    Not safe for threads: its owner's lock guards it. Requests are told apart by identity.
    """

    @abstractmethod
    def __len__(self) -> int:
        """How many wait."""

    @abstractmethod
    def push(self, request: QueuedRequest) -> None:
        """Add one."""

    @abstractmethod
    def peek(self) -> QueuedRequest | None:
        """The one whose turn it is; None when nobody waits."""

    @abstractmethod
    def remove(self, request: QueuedRequest, *, served: bool) -> bool:
        """Take one out; False when it does not wait. `served` charges its tenant."""

    @abstractmethod
    def charge(self, request: QueuedRequest) -> None:
        """Charge a tenant for a request that started without a wait."""

    @abstractmethod
    def all(self) -> Sequence[QueuedRequest]:
        """All that wait, in no order."""


class ReleaseCause(Enum):
    """Why a request no longer waits."""

    ROOM = "room"
    """Its turn came and there was room."""
    OVERDUE = "overdue"
    """There was no room in time; it is offered to the workers all the same."""
    HOPELESS = "hopeless"
    """It is expected too late, as by a refusal at once, after a wait."""
    DISPLACED = "displaced"
    """The queue was full, and another one had more right to a place in it."""


class ReleasedRequest:
    """A request that no longer waits, and the judgement it rests on."""

    __slots__ = ("cause", "decision", "request")

    def __init__(
        self, request: QueuedRequest, cause: ReleaseCause, decision: AdmissionDecision
    ) -> None:
        self.request = request
        self.cause = cause
        self.decision = decision


class CapacityEstimate:
    """What is known of the room of a service when a request is refused.

    `usable_slots` are those from which an answer comes in time; `service_rate_per_s` places get free.
    """

    __slots__ = ("occupied", "own_share", "service_rate_per_s", "usable_slots")

    def __init__(
        self, occupied: float, usable_slots: float, service_rate_per_s: float, own_share: float
    ) -> None:
        """`occupied`: requests in hand and waiting.

        `own_share`: of these, those of this gateway, as a share from 0 to 1. `service_rate_per_s` is 0
        while unknown.
        """
        self.occupied = occupied
        self.usable_slots = usable_slots
        self.service_rate_per_s = service_rate_per_s
        self.own_share = own_share

    @classmethod
    def from_workers(
        cls, workers: Sequence[WorkerCapacity], target_s: float, queued: int, own: float
    ) -> "CapacityEstimate":
        """Reckon it for requests with a target, `own` of them in hand of this gateway.

        >>> estimate = CapacityEstimate.from_workers([WorkerCapacity(6, 30, 0.05)], 0.1, queued=0, own=3)
        >>> estimate.occupied, estimate.usable_slots, round(estimate.service_rate_per_s), estimate.own_share
        (30, 12.0, 120, 0.1)
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
    """Says when a refused client is to come back."""

    @abstractmethod
    def retry_after_s(
        self,
        service: str,
        estimate: CapacityEstimate,
        remaining_s: float,
        remaining_share: float,
        now_s: float,
    ) -> float:
        """Seconds after which to come back; at most a third of `remaining_s`, the client's time.

        `remaining_share`: which part of the time that its client gave it is left, 0 to 1; those that
        have least left come back first.
        """
