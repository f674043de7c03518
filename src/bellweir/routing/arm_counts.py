"""Counts of one arm that travel between nodes, and their sums."""

from collections.abc import Iterable

import msgspec

from bellweir.routing.arm_counters import ArmKey
from bellweir.routing.interface import ArmStatistics
from bellweir.wire.interface import Message


class ArmCounts(msgspec.Struct, frozen=True, array_like=True):
    """What was counted of one arm; a part of a sum, or a sum."""

    comparison: str
    arm: str
    started: int = 0
    completed: int = 0
    failed: int = 0
    tokens: int = 0
    first_tokens: int = 0
    first_token_s: float = 0.0
    """Sum of times to the first token, in seconds, over `first_tokens` generations."""
    whole_s: float = 0.0
    """Sum of times of completed generations, in seconds."""

    @property
    def key(self) -> ArmKey:
        """The arm these counts are of."""
        return ArmKey(self.comparison, self.arm)

    @property
    def is_zero(self) -> bool:
        """Whether nothing was counted."""
        return not (self.started or self.completed or self.failed or self.first_tokens)

    def plus(self, other: "ArmCounts", sign: int = 1) -> "ArmCounts":
        """The sum, or with `sign` -1 the difference."""
        return ArmCounts(
            self.comparison,
            self.arm,
            self.started + sign * other.started,
            self.completed + sign * other.completed,
            self.failed + sign * other.failed,
            self.tokens + sign * other.tokens,
            self.first_tokens + sign * other.first_tokens,
            self.first_token_s + sign * other.first_token_s,
            self.whole_s + sign * other.whole_s,
        )


class ArmReport(Message, frozen=True):
    """Request, towards the reporter: what was counted since the report before."""

    node: str
    incarnation: int
    """Random for each start of the sender's process."""
    sequence: int
    """Rises by one with each report; a repeated one is the same report sent again."""
    counts: tuple[ArmCounts, ...]


class ArmReportAnswer(Message, frozen=True):
    """Answer to a report."""

    taken: bool
    """False from a node that is stopping: the sender keeps its counts."""


class ArmSums:
    """Sums by arm; not thread-safe."""

    def __init__(self) -> None:
        self._by_arm: dict[ArmKey, ArmCounts] = {}

    def add(self, counts: Iterable[ArmCounts]) -> None:
        """Add counts to the sums of their arms."""
        for each in counts:
            self._by_arm[each.key] = self._sum_of(each.key).plus(each)

    def subtract(self, counts: Iterable[ArmCounts]) -> None:
        """Take counts away that have been added before."""
        for each in counts:
            rest = self._sum_of(each.key).plus(each, -1)
            self._by_arm[each.key] = rest
            if rest.is_zero:
                del self._by_arm[each.key]

    def pop_all(self) -> tuple[ArmCounts, ...]:
        """The sums; nothing is left."""
        taken = tuple(self._by_arm.values())
        self._by_arm = {}
        return taken

    def comparisons(self) -> set[str]:
        """Comparisons of which there are sums."""
        return {key.comparison for key in self._by_arm}

    def for_comparison(self, comparison: str) -> tuple[ArmCounts, ...]:
        """Sums of one comparison's arms."""
        return tuple(sums for sums in self._by_arm.values() if sums.comparison == comparison)

    def _sum_of(self, key: ArmKey) -> ArmCounts:
        return self._by_arm.get(key, ArmCounts(key.comparison, key.arm))


def to_counts(statistics: ArmStatistics) -> ArmCounts:
    """A node's statistics of an arm, as counts."""
    return ArmCounts(
        statistics.comparison,
        statistics.arm,
        statistics.started,
        statistics.completed,
        statistics.failed,
        statistics.tokens,
        statistics.first_tokens,
        statistics.first_token_s,
        statistics.whole_s,
    )
