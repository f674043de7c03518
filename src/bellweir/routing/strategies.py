"""Strategies that choose one of several usable back ends, by name."""

import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from bellweir.routing.backend import Backend
from bellweir.routing.pool_workers import OTHER_REGION, SAME_REGION, SAME_ZONE
from bellweir.routing.prefix_index import PrefixIndex, prompt_blocks
from bellweir.routing.rendezvous import score

SAMPLE_SIZE = 3
"""Back ends compared for one request in large subsets. Comparing all of them sends every node
to the same one while reports are late; two or three random ones do not (Mitzenmacher 2000,
"How Useful Is Old Information?")."""
COMPARE_ALL_UP_TO = 8
"""Subsets of this size are compared whole."""
DISTANCE_COST = {SAME_ZONE: 0.0, SAME_REGION: 0.5, OTHER_REGION: 4.0}
"""Cost of distance, in requests outstanding."""

MAX_EXCESS_LOAD = 8.0
"""Requests that an engine may have more than the least loaded one and still be chosen for what
it holds: a prefill saved is worth a short wait, not a hot spot."""


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


class PrefixAware(Strategy):
    """Prefers the engine with the longest cached prefix of the prompt, unless it is much busier.

    Engines within `MAX_EXCESS_LOAD` requests of the least loaded one compete by matched blocks.
    Ties, such as a prefix that no engine holds, are broken by rendezvous hash of the first block,
    so that all nodes send one prefix to the same engine without coordination.
    """

    def __init__(self, index: PrefixIndex) -> None:
        self._index = index

    def choose(self, usable: Sequence[Backend], prompt: str | None) -> Backend:
        """Choose by matched blocks among those not much busier than the least loaded."""
        blocks = prompt_blocks(prompt) if prompt else ()
        if not blocks:
            return min(sample(usable), key=lambda backend: (cost(backend), random.random()))
        costs = [cost(backend) for backend in usable]
        bound = min(costs) + MAX_EXCESS_LOAD
        eligible = [backend for backend, load in zip(usable, costs, strict=True) if load <= bound]
        matched = self._index.count_matched_blocks([backend.key for backend in eligible], blocks)
        first = str(blocks[0])
        chosen = max(
            zip(matched, eligible, strict=True),
            key=lambda pair: (pair[0], score(first, pair[1].name)),
        )[1]
        self._index.add(chosen.key, blocks)
        return chosen


def sample(usable: Sequence[Backend]) -> Sequence[Backend]:
    """The candidates to compare."""
    if len(usable) <= COMPARE_ALL_UP_TO:
        return usable
    return random.sample(usable, SAMPLE_SIZE)


def cost(backend: Backend) -> float:
    """Load and distance of a back end, in requests outstanding."""
    return backend.load() + DISTANCE_COST[backend.distance]


PREFIX_AWARE = "prefix_aware"

STRATEGIES: dict[str, Callable[[PrefixIndex], Strategy]] = {
    "round_robin": lambda _: RoundRobin(),
    "least_outstanding": lambda _: LeastOutstanding(),
    PREFIX_AWARE: PrefixAware,
}


def make_strategy(name: str, index: PrefixIndex) -> Strategy:
    """Make a strategy; an unknown name gives `least_outstanding`."""
    make = STRATEGIES.get(name)
    return make(index) if make is not None else LeastOutstanding()
