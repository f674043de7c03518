"""Whether each item of a batch job that may run gets a worker."""

import math
import time
from collections.abc import Callable, Iterable, Sequence

from bellweir_rehearsal.hosted.checks import Check
from bellweir_rehearsal.hosted.deployment import HostedDeployment
from bellweir_rehearsal.hosted.worker import WorkerStandIn

LONGEST_APART_S = 5.0
"""Undisturbed time for which an item may be at no worker while there is room."""
SLOTS = 8
"""Slots of a worker, as its entry tells them."""
ROOM_SHARE = 0.5
"""Share of slots in use below which workers have room."""


class ItemWatch:
    """Looks at the items that are open; `look` is called every now and then by one thread.

    Time counts while nothing strikes, and nothing has within `CONTACT_S`, and while both services
    have room.
    """

    __slots__ = ("_crowded_s", "_deployment", "_first_s", "_items", "_longest_s")

    def __init__(self, deployment: HostedDeployment, items: Callable[[], Iterable[str]]) -> None:
        """`items` returns the ids of the items of open jobs that crash nothing."""
        self._deployment = deployment
        self._items = items
        self._first_s: dict[str, float] = {}
        self._longest_s: dict[str, float] = {}
        """Longest undisturbed time at no worker, of items that were open in such time."""
        self._crowded_s = -math.inf

    def look(self) -> None:
        """Note how long each open item has been at no worker."""
        now_s = time.monotonic()
        if not self._have_room():
            self._crowded_s = now_s
        calm_s = max(self._deployment.touched.undisturbed_since_s(now_s), self._crowded_s)
        for item in self._items():
            first_s = self._first_s.setdefault(item, now_s)
            if calm_s >= now_s or self._is_finished(item):
                continue
            since_s = max(calm_s, first_s, self._last_held_s(item, now_s))
            self._longest_s[item] = max(self._longest_s.get(item, 0.0), now_s - since_s)

    def judge(self, check: Check) -> None:
        """Count each item that was open in undisturbed time."""
        for item, longest_s in self._longest_s.items():
            told = f"{item}: at no worker for {longest_s:.1f} s"
            check.expect(longest_s <= LONGEST_APART_S, told)

    def _have_room(self) -> bool:
        return all(
            _runs(workers) < ROOM_SHARE * SLOTS * len(workers)
            for workers in (self._deployment.models, self._deployment.scorers)
        )

    def _is_finished(self, item: str) -> bool:
        scorers = self._deployment.scorers
        return any(worker.record.ended[f"score-{item}"] for worker in scorers)

    def _last_held_s(self, item: str, now_s: float) -> float:
        """Time at which a worker last ran the item or its score."""
        names = (item, f"score-{item}")
        workers = self._deployment.workers
        if any(worker.in_hand.get(name) for worker in workers for name in names):
            return now_s
        return max(
            worker.record.held_s.get(name, -math.inf) for worker in workers for name in names
        )


def _runs(workers: Sequence[WorkerStandIn]) -> int:
    return sum(sum(worker.in_hand.copy().values()) for worker in workers)
