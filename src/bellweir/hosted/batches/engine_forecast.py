"""Tracks slots and memory of the engines in a scheduling round and chooses engines for texts."""

from collections import defaultdict
from collections.abc import Callable, Sequence

from bellweir.hosted.batches.attempts import ItemRunner
from bellweir.hosted.batches.placement import (
    BATCHING_SLOWDOWN,
    MAX_HELD_TEXTS,
    EarliestEnd,
    EngineState,
    TextDemand,
)
from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.batches.run_mover import Run
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.settings import BatchSettings
from bellweir.hosted.views.configuration import RouteTable
from bellweir.hosted.views.workers import Worker
from bellweir.kernel.clock import elapsed_s

MIN_SPEED_RATIO = 1.5
"""Ratio of the slowest to the fastest time per event from which texts are placed by their predicted
end; below it the error of the prediction exceeds the gain."""
MIN_REMAINING_EVENTS = 4.0


class EngineForecast:
    """State of one scheduling round. Not thread-safe: called by the coordinator's task only."""

    def __init__(
        self,
        attempts: ItemRunner,
        policy: BatchSettings,
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        self._attempts = attempts
        self._policy = policy
        self._now_s = now_s
        self._placement = EarliestEnd()
        self._in_flight: Sequence[Run] = ()
        self._table: RouteTable | None = None
        self._runs_by_worker: dict[Incarnation, list[Run]] | None = None
        self._states: dict[Incarnation, EngineState[Incarnation]] = {}
        self._held_texts = 0
        self._max_text_tokens = 0
        self.is_held = False
        """Whether the last text is held for a busy engine."""

    def begin(self, in_flight: Sequence[Run], table: RouteTable) -> None:
        """Begin a scheduling round."""
        self._in_flight = in_flight
        self._table = table
        self._runs_by_worker = None
        self._states = {}
        self._held_texts = 0
        self._max_text_tokens = max((run.progress.item.tokens for run in in_flight), default=0)

    def has_uneven_speeds(self, workers: Sequence[Worker]) -> bool:
        """Whether speeds differ so much that texts are placed by their predicted end."""
        if not self._policy.place_by_end or not self._attempts.length_predictor.is_calibrated:
            return False
        event_times_s = [self._attempts.event_times.of(worker.incarnation) for worker in workers]
        return max(event_times_s) >= MIN_SPEED_RATIO * min(event_times_s)

    def has_memory(self, worker: Worker, progress: ItemProgress) -> bool:
        """Whether a worker has memory for an item's text."""
        capacity = self._capacity(worker) if self._policy.count_memory else None
        if capacity is None:
            return True
        self._max_text_tokens = max(self._max_text_tokens, progress.item.tokens)
        if self._max_text_tokens * worker.entry.slots <= capacity:
            # There is memory for any texts in its slots.
            return True
        return self._state(worker).has_memory(self._demand(progress))

    def choose(
        self, available: Sequence[Worker], busy: Sequence[Worker], progress: ItemProgress
    ) -> Worker | None:
        """Return the worker for a text; None if it is held for a busy one."""
        by_incarnation = {worker.incarnation: worker for worker in available}
        free_states = [self._state(worker) for worker in available]
        states = list(free_states)
        if self._held_texts < MAX_HELD_TEXTS:
            busy_states = [self._state(worker) for worker in busy]
            states += [state for state in busy_states if not state.has_free_slot]
        demand = self._demand(progress)
        best = self._placement.choose(demand, states, self._now_s())
        if best is None:
            return None
        found = by_incarnation.get(best.key)
        if found is None:
            best.assign(demand, self._now_s(), starts_now=False)
            self._held_texts += 1
            self.is_held = True
            if progress.held_since_s is None:
                progress.held_since_s = self._now_s()
        return found

    def record_start(self, worker: Worker, progress: ItemProgress) -> None:
        """Record that a text takes a slot."""
        progress.held_since_s = None
        # A worker that this round has not looked at yet has no state to update.
        state = self._states.get(worker.incarnation)
        if state is not None:
            state.assign(self._demand(progress), self._now_s(), starts_now=True)

    def _demand(self, progress: ItemProgress) -> TextDemand[str]:
        since_s = progress.held_since_s
        waited_s = 0.0 if since_s is None else self._now_s() - since_s
        return TextDemand(
            progress.item.id, self._remaining_events(progress), progress.item.tokens, waited_s
        )

    def _remaining_events(self, progress: ItemProgress) -> float:
        expected = self._attempts.predicted_events(progress)
        return max(expected - progress.events, MIN_REMAINING_EVENTS)

    def _state(self, worker: Worker) -> EngineState[Incarnation]:
        found = self._states.get(worker.incarnation)
        if found is None:
            found = self._states[worker.incarnation] = self._new_state(worker)
        return found

    def _new_state(self, worker: Worker) -> EngineState[Incarnation]:
        runs = self._texts_on(worker)
        time_per_event_s = self._attempts.event_times.of(worker.incarnation)
        batched_time_per_event_s = time_per_event_s * (
            1 + BATCHING_SLOWDOWN * len(runs) / max(1, worker.entry.slots)
        )
        now_s = self._now_s()
        end_times_s = [
            now_s + self._remaining_events(run.progress) * batched_time_per_event_s for run in runs
        ]
        capacity = self._capacity(worker) if self._policy.count_memory else None
        free_tokens = None
        if capacity is not None:
            free_tokens = capacity - sum(run.progress.item.tokens for run in runs)
        return EngineState(
            worker.incarnation, time_per_event_s, worker.entry.slots, end_times_s, free_tokens
        )

    def _texts_on(self, worker: Worker) -> list[Run]:
        if self._runs_by_worker is None:
            self._runs_by_worker = defaultdict(list)
            for run in self._in_flight:
                if run.progress.stage is Stage.GENERATION:
                    self._runs_by_worker[run.worker.incarnation].append(run)
        return self._runs_by_worker.get(worker.incarnation, [])

    def _capacity(self, worker: Worker) -> int | None:
        """Memory of a worker in tokens; None if not configured."""
        services = self._table.services if self._table is not None else {}
        entry = services.get(worker.entry.service)
        return entry.engine.kv_capacity or None if entry is not None and entry.engine else None
