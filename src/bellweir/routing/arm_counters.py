"""Counters of generations served by this node, by comparison arm."""

import threading
from dataclasses import dataclass

from bellweir.routing.counters import COMPLETED
from bellweir.routing.interface import ArmStatistics


@dataclass(frozen=True)
class ArmKey:
    """Identifies an arm of a comparison."""

    comparison: str
    arm: str


@dataclass
class _Counts:
    started: int = 0
    completed: int = 0
    failed: int = 0
    tokens: int = 0
    first_token_s: float = 0.0
    first_tokens: int = 0
    whole_s: float = 0.0


class ArmCounters:
    """Counters since the node started; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_arm: dict[ArmKey, _Counts] = {}

    def record_start(self, arm: ArmKey) -> None:
        """Count an admitted generation."""
        with self._lock:
            self._by_arm.setdefault(arm, _Counts()).started += 1

    def record_first_token(self, arm: ArmKey, latency_s: float) -> None:
        """Add a time to first token, in seconds."""
        with self._lock:
            counts = self._by_arm.setdefault(arm, _Counts())
            counts.first_token_s += latency_s
            counts.first_tokens += 1

    def record_end(self, arm: ArmKey, outcome: str, tokens: int, took_s: float) -> None:
        """Count a finished generation and its tokens and duration."""
        with self._lock:
            counts = self._by_arm.setdefault(arm, _Counts())
            counts.tokens += tokens
            if outcome == COMPLETED:
                counts.completed += 1
                counts.whole_s += took_s
            else:
                counts.failed += 1

    def read(self) -> tuple[ArmStatistics, ...]:
        """Return a snapshot of the counters."""
        with self._lock:
            return tuple(
                ArmStatistics(
                    comparison=arm.comparison,
                    arm=arm.arm,
                    started=counts.started,
                    completed=counts.completed,
                    failed=counts.failed,
                    tokens=counts.tokens,
                    first_token_s=counts.first_token_s,
                    first_tokens=counts.first_tokens,
                    whole_s=counts.whole_s,
                )
                for arm, counts in self._by_arm.items()
            )
