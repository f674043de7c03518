"""Strategies that choose one of several usable back ends, by name."""

import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from bellweir.routing.backend import Backend
from bellweir.routing.pool_workers import OTHER_REGION, SAME_REGION, SAME_ZONE

CANDIDATES = 3
"""Back ends compared for one request in large subsets. Comparing all of them sends every node
to the same one while reports are late; two or three random ones do not (Mitzenmacher 2000,
"How Useful Is Old Information?")."""
COMPARE_ALL_UP_TO = 8
"""Subsets of this size are compared whole."""
DISTANCE_COST = {SAME_ZONE: 0.0, SAME_REGION: 0.5, OTHER_REGION: 4.0}
"""Cost of distance, in requests outstanding."""


class Strategy(ABC):
    """Chooses a back end; one instance for each pool, thread-safe."""

    @abstractmethod
    def choose(self, usable: Sequence[Backend], prompt: str | None) -> Backend:
        """Choose one of `usable`, which is not empty; `prompt` is None for applications."""


class RoundRobin(Strategy):
    """Each in turn; a baseline."""

    def __init__(self) -> None:
        self._turn = itertools.count()

    def choose(self, usable: Sequence[Backend], prompt: str | None) -> Backend:
        """Choose the next one."""
        return usable[next(self._turn) % len(usable)]


class LeastOutstanding(Strategy):
    """The least loaded of a few candidates, nearer ones first."""

    def choose(self, usable: Sequence[Backend], prompt: str | None) -> Backend:
        """Choose by load and distance; ties are broken at random."""
        return min(sample(usable), key=lambda backend: (cost(backend), random.random()))


def sample(usable: Sequence[Backend]) -> Sequence[Backend]:
    """The candidates to compare."""
    if len(usable) <= COMPARE_ALL_UP_TO:
        return usable
    return random.sample(usable, CANDIDATES)


def cost(backend: Backend) -> float:
    """Load and distance of a back end, in requests outstanding."""
    return backend.load() + DISTANCE_COST[backend.distance]


STRATEGIES: dict[str, type[Strategy]] = {
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "prefix_aware": LeastOutstanding,
}


def make_strategy(name: str) -> Strategy:
    """Make a strategy; an unknown name gives `least_outstanding`."""
    return STRATEGIES.get(name, LeastOutstanding)()
