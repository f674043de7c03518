"""What a service can take now, as typed values and an abstract class."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum


class WorkerRoom:
    """One worker's places as far as they are known.

    >>> WorkerRoom(slots=6, in_hand=9, usual_s=0.04)
    WorkerRoom(slots=6, in_hand=9, usual_s=0.04, age_s=0.0)
    """

    __slots__ = ("age_s", "in_hand", "slots", "usual_s")

    def __init__(self, slots: int, in_hand: float, usual_s: float, age_s: float = 0.0) -> None:
        """`in_hand`: requests that run or wait there.

        `usual_s`: median of its answers' times in seconds, 0 while unknown. `age_s`: age of the
        newest word that the figures rest on.
        """
        self.slots = max(1, slots)
        self.in_hand = in_hand
        self.usual_s = usual_s
        self.age_s = age_s

    def __repr__(self) -> str:
        return (
            f"WorkerRoom(slots={self.slots!r}, in_hand={self.in_hand!r}, "
            f"usual_s={self.usual_s!r}, age_s={self.age_s!r})"
        )

    def end_s(self, ahead: float = 0.0) -> float:
        """Expected seconds until one more request, behind `ahead` others, is answered.

        A place gets free each `usual_s / slots` while all are taken.

        >>> WorkerRoom(2, 0, 0.1).end_s(), WorkerRoom(2, 3, 0.1).end_s()
        (0.1, 0.2)
        """
        return self.usual_s * max(1.0, (self.in_hand + ahead + 1) / self.slots)


class Need:
    """What the client of one request needs, in seconds from now."""

    __slots__ = ("left_s", "target_s", "wait_s")

    def __init__(self, left_s: float, target_s: float, wait_s: float) -> None:
        """`left_s`: until it must have an answer.

        `target_s`: within which the answer has its full worth. `wait_s`: for which it may still be
        kept from a worker.
        """
        self.left_s = left_s
        self.target_s = target_s
        self.wait_s = wait_s


class Verdict(Enum):
    """What becomes of a request now."""

    START = "start"
    """It goes to a worker."""
    WAIT = "wait"
    """It waits here; there may be room in time."""
    REFUSE = "refuse"
    """It is refused: expected beyond its deadline, or too late for its target."""


class Judgement:
    """A verdict and what it rests on, for the log."""

    __slots__ = ("age_s", "expected_s", "in_hand", "slots", "verdict")

    def __init__(
        self, verdict: Verdict, expected_s: float, in_hand: float, slots: int, age_s: float
    ) -> None:
        """`expected_s`: seconds until the answer; 0 while unknown.

        `in_hand` and `slots` are those of all workers, `age_s` the age of the oldest figure used.
        """
        self.verdict = verdict
        self.expected_s = expected_s
        self.in_hand = in_hand
        self.slots = slots
        self.age_s = age_s

    def changed_to(self, verdict: Verdict) -> "Judgement":
        """Another verdict on the same figures."""
        return Judgement(verdict, self.expected_s, self.in_hand, self.slots, self.age_s)


class RoomJudge(ABC):
    """Judges whether a service can take a request. Without state, so safe for threads."""

    @abstractmethod
    def judge(self, workers: Sequence[WorkerRoom], need: Need, ahead: int = 0) -> Judgement:
        """Judge one request behind `ahead` others that have no place yet."""
