"""Per-arm counts exchanged between nodes, and their totals."""

from collections.abc import Iterable

import msgspec

from bellweir.routing.arm_counters import ArmKey
from bellweir.routing.interface import ArmStatistics
from bellweir.wire.interface import Message


class ArmCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one arm: an increment or a total."""

    comparison: str
    arm: str
    started: int = 0
    completed: int = 0
    failed: int = 0
    tokens: int = 0
    first_tokens: int = 0
    first_token_s: float = 0.0
    """Sum of times to first token, in seconds, over `first_tokens` generations."""
    whole_s: float = 0.0
    """Sum of durations of completed generations, in seconds."""

    @property
    def key(self) -> ArmKey:
        """The comparison and arm of these counts."""
        return ArmKey(self.comparison, self.arm)

    @property
    def is_zero(self) -> bool:
        """Whether no generation was counted."""
        return not (self.started or self.completed or self.failed or self.first_tokens)

    def plus(self, other: "ArmCounts", sign: int = 1) -> "ArmCounts":
        """Return the sum, or the difference if `sign` is -1."""
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
    """Request carrying the counts accumulated since the sender's previous report."""

    node: str
    incarnation: int
    """Random number chosen at each start of the sender."""
    sequence: int
    """Incremented with each report; a retransmission keeps its number."""
    counts: tuple[ArmCounts, ...]


class ArmReportAnswer(Message, frozen=True):
    """Acknowledges or rejects a report."""

    taken: bool
    """False if the receiver is stopping; the sender then keeps the counts."""


class ArmTotals:
    """Totals by arm; not thread-safe."""

    def __init__(self) -> None:
        self._by_arm: dict[ArmKey, ArmCounts] = {}

    def add(self, counts: Iterable[ArmCounts]) -> None:
        """Add counts to the totals of their arms."""
        for each in counts:
            self._by_arm[each.key] = self._total_of(each.key).plus(each)

    def subtract(self, counts: Iterable[ArmCounts]) -> None:
        """Subtract counts that were added before."""
        for each in counts:
            rest = self._total_of(each.key).plus(each, -1)
            self._by_arm[each.key] = rest
            if rest.is_zero:
                del self._by_arm[each.key]

    def pop_all(self) -> tuple[ArmCounts, ...]:
        """Remove and return all totals."""
        taken = tuple(self._by_arm.values())
        self._by_arm = {}
        return taken

    def comparisons(self) -> set[str]:
        """Names of the comparisons that have totals."""
        return {key.comparison for key in self._by_arm}

    def for_comparison(self, comparison: str) -> tuple[ArmCounts, ...]:
        """Totals of one comparison's arms."""
        return tuple(sums for sums in self._by_arm.values() if sums.comparison == comparison)

    def _total_of(self, key: ArmKey) -> ArmCounts:
        return self._by_arm.get(key, ArmCounts(key.comparison, key.arm))


def to_counts(statistics: ArmStatistics) -> ArmCounts:
    """Convert a node's statistics of an arm to counts."""
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
