"""What the engines have in hand in one look of the coordinator, and where a text had better go."""

import time
from collections import defaultdict
from collections.abc import Callable, Sequence

from bellweir.hosted.batches.attempts import ItemAttempts
from bellweir.hosted.batches.placement import (
    CROWDING,
    MOST_HELD,
    EarliestEnd,
    EngineRoom,
    TextNeed,
)
from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.batches.run_mover import Run
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.settings import BatchSettings
from bellweir.hosted.views.configuration import RouteTable
from bellweir.hosted.views.workers import Worker

UNEVEN = 1.5
"""Factor between the paces of the slowest and the fastest engine from which texts are placed by
their end. Below it a text gains less by a wait than its wait is likely to be mistaken by."""
FEWEST_LEFT_EVENTS = 4.0


class EngineOutlook:
    """Called by the coordinator's task only; begun anew with each look."""

    def __init__(
        self,
        attempts: ItemAttempts,
        policy: BatchSettings,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._attempts = attempts
        self._policy = policy
        self._now_s = now_s
        self._placement = EarliestEnd()
        self._running: Sequence[Run] = ()
        self._table: RouteTable | None = None
        self._runs_at: dict[Incarnation, list[Run]] | None = None
        self._rooms: dict[Incarnation, EngineRoom[Incarnation]] = {}
        self._held = 0
        self._largest_tokens = 0
        self.is_held = False
        """Whether the last text was told to wait."""

    def begin(self, running: Sequence[Run], table: RouteTable) -> None:
        """Begin a look."""
        self._running = running
        self._table = table
        self._runs_at = None
        self._rooms = {}
        self._held = 0
        self._largest_tokens = max((run.progress.item.tokens for run in running), default=0)

    def is_uneven(self, workers: Sequence[Worker]) -> bool:
        """Whether workers differ so much that texts are placed by their ends."""
        if not self._policy.place_by_end or not self._attempts.lengths.is_calibrated:
            return False
        paces_s = [self._attempts.paces.of(worker.incarnation) for worker in workers]
        return max(paces_s) >= UNEVEN * min(paces_s)

    def has_memory(self, worker: Worker, progress: ItemProgress) -> bool:
        """Whether a worker has memory for an item's text."""
        capacity = self._capacity(worker) if self._policy.count_memory else None
        if capacity is None:
            return True
        self._largest_tokens = max(self._largest_tokens, progress.item.tokens)
        if self._largest_tokens * worker.entry.slots <= capacity:
            # Whatever takes its places, there is memory for it.
            return True
        return self._room(worker).has_memory(self._need(progress))

    def choose(
        self, with_room: Sequence[Worker], full: Sequence[Worker], progress: ItemProgress
    ) -> Worker | None:
        """Return the worker for a text; None where it had better wait for a full one."""
        by_incarnation = {worker.incarnation: worker for worker in with_room}
        free = [self._room(worker) for worker in with_room]
        rooms = list(free)
        if self._held < MOST_HELD:
            busy = [self._room(worker) for worker in full]
            rooms += [room for room in busy if not room.has_place]
        need = self._need(progress)
        best = self._placement.choose(need, rooms, self._now_s())
        if best is None:
            return None
        found = by_incarnation.get(best.key)
        if found is None:
            best.take(need, self._now_s(), is_now=False)
            self._held += 1
            self.is_held = True
            if progress.held_since_s is None:
                progress.held_since_s = self._now_s()
        return found

    def begun(self, worker: Worker, progress: ItemProgress) -> None:
        """Note that a text takes a place."""
        progress.held_since_s = None
        # Where nothing was asked of the worker in this look, nothing need be noted.
        room = self._rooms.get(worker.incarnation)
        if room is not None:
            room.take(self._need(progress), self._now_s(), is_now=True)

    def _need(self, progress: ItemProgress) -> TextNeed[str]:
        since_s = progress.held_since_s
        waited_s = 0.0 if since_s is None else self._now_s() - since_s
        return TextNeed(progress.item.id, self._left(progress), progress.item.tokens, waited_s)

    def _left(self, progress: ItemProgress) -> float:
        expected = self._attempts.expected_events(progress)
        return max(expected - progress.events, FEWEST_LEFT_EVENTS)

    def _room(self, worker: Worker) -> EngineRoom[Incarnation]:
        found = self._rooms.get(worker.incarnation)
        if found is None:
            found = self._rooms[worker.incarnation] = self._made_room(worker)
        return found

    def _made_room(self, worker: Worker) -> EngineRoom[Incarnation]:
        runs = self._texts_at(worker)
        pace_s = self._attempts.paces.of(worker.incarnation)
        crowded_s = pace_s * (1 + CROWDING * len(runs) / max(1, worker.entry.slots))
        now_s = self._now_s()
        ends_s = [now_s + self._left(run.progress) * crowded_s for run in runs]
        capacity = self._capacity(worker) if self._policy.count_memory else None
        free = None
        if capacity is not None:
            free = capacity - sum(run.progress.item.tokens for run in runs)
        return EngineRoom(worker.incarnation, pace_s, worker.entry.slots, ends_s, free)

    def _texts_at(self, worker: Worker) -> list[Run]:
        if self._runs_at is None:
            self._runs_at = defaultdict(list)
            for run in self._running:
                if run.progress.stage is Stage.TEXT:
                    self._runs_at[run.worker.incarnation].append(run)
        return self._runs_at.get(worker.incarnation, [])

    def _capacity(self, worker: Worker) -> int | None:
        """Tokens of memory of a worker; None where the configuration tells none."""
        services = self._table.services if self._table is not None else {}
        entry = services.get(worker.entry.service)
        return entry.engine.kv_capacity or None if entry is not None and entry.engine else None
