"""What a service can take now, as typed values and an abstract class."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum


class WorkerCapacity:
    """One worker's places as far as they are known.

    >>> WorkerCapacity(slots=6, in_flight=9, service_time_s=0.04)
    WorkerCapacity(slots=6, in_flight=9, service_time_s=0.04, age_s=0.0)
    """

    __slots__ = ("age_s", "in_flight", "service_time_s", "slots")

    def __init__(
        self, slots: int, in_flight: float, service_time_s: float, age_s: float = 0.0
    ) -> None:
        """`in_flight`: requests that run or wait there.

        `service_time_s`: median of its answers' times in seconds, 0 while unknown. `age_s`: age of the
        newest word that the figures rest on.
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

        A place gets free each `service_time_s / slots` while all are taken.

        >>> WorkerCapacity(2, 0, 0.1).completion_s(), WorkerCapacity(2, 3, 0.1).completion_s()
        (0.1, 0.2)
        """
        return self.service_time_s * max(1.0, (self.in_flight + ahead + 1) / self.slots)


class TimeLimits:
    """What the client of one request needs, in seconds from now."""

    __slots__ = ("max_wait_s", "remaining_s", "target_s")

    def __init__(self, remaining_s: float, target_s: float, max_wait_s: float) -> None:
        """`remaining_s`: until it must have an answer.

        `target_s`: within which the answer has its full worth. `max_wait_s`: for which it may still be
        kept from a worker.
        """
        self.remaining_s = remaining_s
        self.target_s = target_s
        self.max_wait_s = max_wait_s


class AdmissionAction(Enum):
    """What becomes of a request now."""

    START = "start"
    """It goes to a worker."""
    WAIT = "wait"
    """It waits here; there may be room in time."""
    REFUSE = "refuse"
    """It is refused: expected beyond its deadline, or too late for its target."""


class AdmissionDecision:
    """A verdict and what it rests on, for the log."""

    __slots__ = ("action", "age_s", "expected_s", "in_flight", "slots")

    def __init__(
        self, action: AdmissionAction, expected_s: float, in_flight: float, slots: int, age_s: float
    ) -> None:
        """`expected_s`: seconds until the answer; 0 while unknown.

        `in_flight` and `slots` are those of all workers, `age_s` the age of the oldest figure used.
        """
        self.action = action
        self.expected_s = expected_s
        self.in_flight = in_flight
        self.slots = slots
        self.age_s = age_s

    def with_action(self, action: AdmissionAction) -> "AdmissionDecision":
        """Another verdict on the same figures."""
        return AdmissionDecision(action, self.expected_s, self.in_flight, self.slots, self.age_s)


class AdmissionPolicy(ABC):
    """Judges whether a service can take a request. Without state, so safe for threads."""

    @abstractmethod
    def decide(
        self, workers: Sequence[WorkerCapacity], limits: TimeLimits, ahead: int = 0
    ) -> AdmissionDecision:
        """Judge one request behind `ahead` others that have no place yet."""
