"""Typed values and abstract class for admission control."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum


class WorkerCapacity:
    """Known slots and load of one worker.

    >>> WorkerCapacity(slots=6, in_flight=9, service_time_s=0.04)
    WorkerCapacity(slots=6, in_flight=9, service_time_s=0.04, age_s=0.0)
    """

    __slots__ = ("age_s", "in_flight", "service_time_s", "slots")

    def __init__(
        self, slots: int, in_flight: float, service_time_s: float, age_s: float = 0.0
    ) -> None:
        """`in_flight`: requests running or waiting at the worker.

        `service_time_s`: time for which a request occupies a slot, 0 while unknown. `age_s`: age of
        the report that `in_flight` rests on, 0 if it counts own requests only.
        """
        self.slots = max(1, slots)
        self.in_flight = in_flight
        self.service_time_s = service_time_s
        self.age_s = age_s

    def __repr__(self) -> str:
        return (
            f"WorkerCapacity(slots={self.slots!r}, in_flight={self.in_flight!r}, "
            f"service_time_s={self.service_time_s!r}, age_s={self.age_s!r})"
        )

    def completion_s(self, ahead: float = 0.0) -> float:
        """Expected seconds until one more request, behind `ahead` others, is answered.

        While all slots are occupied, one is freed every `service_time_s / slots`.

        >>> WorkerCapacity(2, 0, 0.1).completion_s(), WorkerCapacity(2, 3, 0.1).completion_s()
        (0.1, 0.2)
        """
        return self.service_time_s * max(1.0, (self.in_flight + ahead + 1) / self.slots)


class TimeLimits:
    """Time limits of one request, in seconds from now."""

    __slots__ = ("max_wait_s", "remaining_s", "target_s")

    def __init__(self, remaining_s: float, target_s: float, max_wait_s: float) -> None:
        """`remaining_s`: until the deadline.

        `target_s`: until the latency target. `max_wait_s`: for which the request may still be
        queued.
        """
        self.remaining_s = remaining_s
        self.target_s = target_s
        self.max_wait_s = max_wait_s


class AdmissionAction(Enum):
    """What to do with a request now."""

    START = "start"
    """Send it to a worker."""
    WAIT = "wait"
    """Queue it; there may be capacity in time."""
    REFUSE = "refuse"
    """Refuse it: it would miss its deadline, or its target by more than it may wait."""


class AdmissionDecision:
    """An action and the figures it rests on."""

    __slots__ = ("action", "age_s", "expected_s", "in_flight", "slots")

    def __init__(
        self, action: AdmissionAction, expected_s: float, in_flight: float, slots: int, age_s: float
    ) -> None:
        """`expected_s`: expected latency in seconds; 0 while unknown.

        `in_flight` and `slots` are totals of all workers, `age_s` is the age of the oldest figure
        used.
        """
        self.action = action
        self.expected_s = expected_s
        self.in_flight = in_flight
        self.slots = slots
        self.age_s = age_s

    def with_action(self, action: AdmissionAction) -> "AdmissionDecision":
        """Another action on the same figures."""
        return AdmissionDecision(action, self.expected_s, self.in_flight, self.slots, self.age_s)


class AdmissionPolicy(ABC):
    """Decides whether a service can take a request. Stateless, so safe for threads."""

    @abstractmethod
    def decide(
        self, workers: Sequence[WorkerCapacity], limits: TimeLimits, ahead: int = 0
    ) -> AdmissionDecision:
        """Decide on one request behind `ahead` others that are not at a worker yet."""
