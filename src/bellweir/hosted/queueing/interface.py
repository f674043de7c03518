"""Requests that wait for room, as typed values and abstract classes."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

from bellweir.hosted.room.interface import Judgement, WorkerRoom


class Waiting:
    """One request that waits. Times are of the monotonic clock, in seconds.

    >>> Waiting("r-1", "dealers", 2, arrived_s=10.0, latest_s=10.025, deadline_s=11.0)
    Waiting('r-1', tenant='dealers', priority=2)
    """

    __slots__ = (
        "arrived_s",
        "cost_s",
        "deadline_s",
        "latest_s",
        "priority",
        "request_id",
        "target_s",
        "tenant",
    )

    def __init__(
        self,
        request_id: str,
        tenant: str,
        priority: int,
        arrived_s: float,
        latest_s: float,
        deadline_s: float,
        cost_s: float = 1.0,
        target_s: float = 1.0,
    ) -> None:
        """`priority` 0 goes first.

        `latest_s`: when it is let go, room or not. `deadline_s`: when its client must have an
        answer, `target_s` after its arrival when it should. `cost_s`: time of a worker's place that
        it is expected to take.
        """
        self.request_id = request_id
        self.tenant = tenant
        self.priority = priority
        self.arrived_s = arrived_s
        self.latest_s = latest_s
        self.deadline_s = deadline_s
        self.cost_s = cost_s
        self.target_s = target_s

    def __repr__(self) -> str:
        return f"Waiting({self.request_id!r}, tenant={self.tenant!r}, priority={self.priority!r})"


class Order(ABC):
    """Order among waiting requests: by priority, then by fair shares among tenants, then by age.

    Not safe for threads: its owner's lock guards it. Requests are told apart by identity.
    """

    @abstractmethod
    def __len__(self) -> int:
        """How many wait."""

    @abstractmethod
    def push(self, waiting: Waiting) -> None:
        """Add one."""

    @abstractmethod
    def peek(self) -> Waiting | None:
        """The one whose turn it is; None when nobody waits."""

    @abstractmethod
    def remove(self, waiting: Waiting, *, served: bool) -> bool:
        """Take one out; False when it does not wait. `served` charges its tenant."""

    @abstractmethod
    def charge(self, waiting: Waiting) -> None:
        """Charge a tenant for a request that started without a wait."""

    @abstractmethod
    def all(self) -> Sequence[Waiting]:
        """All that wait, in no order."""


class Release(Enum):
    """Why a request no longer waits."""

    ROOM = "room"
    """Its turn came and there was room."""
    OVERDUE = "overdue"
    """There was no room in time; it is offered to the workers all the same."""
    HOPELESS = "hopeless"
    """It is expected too late, as by a refusal at once, after a wait."""
    DISPLACED = "displaced"
    """The queue was full, and another one had more right to a place in it."""


class Released:
    """A request that no longer waits, and the judgement it rests on."""

    __slots__ = ("judgement", "release", "waiting")

    def __init__(self, waiting: Waiting, release: Release, judgement: Judgement) -> None:
        self.waiting = waiting
        self.release = release
        self.judgement = judgement


class Outlook:
    """What is known of the room of a service when a request is refused.

    `places` are those from which an answer comes in time; `rate_per_s` places get free.
    """

    __slots__ = ("own_share", "places", "rate_per_s", "taken")

    def __init__(self, taken: float, places: float, rate_per_s: float, own_share: float) -> None:
        """`taken`: requests in hand and waiting.

        `own_share`: of these, those of this gateway, as a share from 0 to 1. `rate_per_s` is 0
        while unknown.
        """
        self.taken = taken
        self.places = places
        self.rate_per_s = rate_per_s
        self.own_share = own_share

    @classmethod
    def of(
        cls, workers: Sequence[WorkerRoom], target_s: float, waiting: int, own: float
    ) -> "Outlook":
        """Reckon it for requests with a target, `own` of them in hand of this gateway.

        >>> outlook = Outlook.of([WorkerRoom(6, 30, 0.05)], 0.1, waiting=0, own=3)
        >>> outlook.taken, outlook.places, round(outlook.rate_per_s), outlook.own_share
        (30, 12.0, 120, 0.1)
        """
        known = [worker for worker in workers if worker.usual_s > 0]
        taken = sum(worker.in_hand for worker in workers) + waiting
        places = sum(worker.slots * max(1.0, target_s / worker.usual_s) for worker in known)
        rate = sum(min(worker.slots, worker.in_hand) / worker.usual_s for worker in known)
        share = min(1.0, (own + waiting) / taken) if taken > 0 else 1.0
        return cls(taken, places, rate, share)


class ReturnTimes(ABC):
    """Says when a refused client is to come back."""

    @abstractmethod
    def after_s(
        self, service: str, outlook: Outlook, left_s: float, left_share: float, now_s: float
    ) -> float:
        """Seconds after which to come back; at most a third of `left_s`, the client's time.

        `left_share`: which part of the time that its client gave it is left, 0 to 1; those that
        have least left come back first.
        """
