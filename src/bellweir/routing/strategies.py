"""Load-balancing strategies: each chooses one of the usable back ends of a pool."""

import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from bellweir.routing.backend import Backend
from bellweir.routing.pool_workers import OTHER_REGION, SAME_REGION, SAME_ZONE
from bellweir.routing.prefix_index import PrefixIndex, prompt_blocks
from bellweir.routing.rendezvous import score

SAMPLE_SIZE = 3
"""Back ends compared for one request in large subsets. With stale reports, comparing all of them
would send every node to the same one (Mitzenmacher 2000, "How Useful Is Old Information?")."""
MAX_UNSAMPLED_BACKENDS = 8
"""Subsets up to this size are compared in full."""
DISTANCE_COST = {SAME_ZONE: 0.0, SAME_REGION: 0.5, OTHER_REGION: 4.0}
"""In outstanding requests."""
MAX_EXCESS_LOAD = 8.0
"""Outstanding requests above the least loaded engine up to which a cached prefix is preferred: a
saved prefill is worth a short wait, not an overloaded engine."""


class Strategy(ABC):
    """Chooses a back end. Each pool has its own instance; thread-safe."""

    @abstractmethod
    def choose(self, usable: Sequence[Backend], prompt: str | None) -> Backend:
        """Choose one of `usable`, which is not empty; `prompt` is None for applications."""


class RoundRobin(Strategy):
    """Chooses the back ends in turn."""

    def __init__(self) -> None:
        self._sequence = itertools.count()

    def choose(self, usable: Sequence[Backend], prompt: str | None) -> Backend:
        """Choose the next back end."""
        return usable[next(self._sequence) % len(usable)]


class LeastOutstanding(Strategy):
    """Chooses the back end with the lowest cost of load and distance in a random sample."""

    def choose(self, usable: Sequence[Backend], prompt: str | None) -> Backend:
        """Choose the back end with the lowest cost; ties are broken at random."""
        return min(sample(usable), key=lambda backend: (cost(backend), random.random()))


class PrefixAware(Strategy):
    """Prefers the engine with the longest cached prefix of the prompt, unless it is much busier.

    Engines within `MAX_EXCESS_LOAD` requests of the least loaded one compete by matched blocks.
    Ties, such as a prefix that no engine holds, are broken by rendezvous hash of the first block,
    so that all nodes send one prefix to the same engine without coordination.
    """

    def __init__(self, index: PrefixIndex) -> None:
        self._index = index

    def choose(self, usable: Sequence[Backend], prompt: str | None) -> Backend:
        """Choose by cached leading blocks, or by cost if the prompt has no full block."""
        blocks = prompt_blocks(prompt) if prompt else ()
        if not blocks:
            return min(sample(usable), key=lambda backend: (cost(backend), random.random()))
        costs = [cost(backend) for backend in usable]
        max_cost = min(costs) + MAX_EXCESS_LOAD
        eligible = [
            backend for backend, load in zip(usable, costs, strict=True) if load <= max_cost
        ]
        matched = self._index.count_matched_blocks([backend.key for backend in eligible], blocks)
        first = str(blocks[0])
        chosen = max(
            zip(matched, eligible, strict=True),
            key=lambda pair: (pair[0], score(first, pair[1].name)),
        )[1]
        self._index.add(chosen.key, blocks)
        return chosen


def sample(usable: Sequence[Backend]) -> Sequence[Backend]:
    """Return the back ends to compare: all of a small subset, otherwise a random sample."""
    if len(usable) <= MAX_UNSAMPLED_BACKENDS:
        return usable
    return random.sample(usable, SAMPLE_SIZE)


def cost(backend: Backend) -> float:
    """Return the cost of load and distance, in outstanding requests."""
    return backend.load() + DISTANCE_COST[backend.distance]


PREFIX_AWARE = "prefix_aware"

STRATEGIES: dict[str, Callable[[PrefixIndex], Strategy]] = {
    "round_robin": lambda _: RoundRobin(),
    "least_outstanding": lambda _: LeastOutstanding(),
    PREFIX_AWARE: PrefixAware,
}


def make_strategy(name: str, index: PrefixIndex) -> Strategy:
    """Create a strategy by name; `least_outstanding` if the name is unknown."""
    make = STRATEGIES.get(name)
    return make(index) if make is not None else LeastOutstanding()
