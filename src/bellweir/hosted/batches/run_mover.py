"""Moves runs in flight to workers that would finish them sooner."""

from collections.abc import Callable, Iterable, Sequence

from bellweir.events.log import emit
from bellweir.hosted.batches.attempts import ItemRunner
from bellweir.hosted.batches.move_planning import (
    SILENT,
    MoveTarget,
    PlannedMove,
    RunForecast,
    plan_moves,
)
from bellweir.hosted.batches.process_stalls import ProcessStalls
from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.log_events import ITEM_MOVED
from bellweir.hosted.serving.attempt import Cancellation
from bellweir.hosted.views.workers import Worker
from bellweir.kernel.clock import elapsed_s

CHECK_INTERVAL_S = 0.1
MOVE_COOLDOWN_S = 1.0
"""A run is not moved again within this time."""
OVERRUN_SHARE = 0.25
"""Share of its events that a text longer than predicted is expected to still need."""
MIN_REMAINING_EVENTS = 4.0


class Run:
    """An attempt in flight."""

    __slots__ = ("cancellation", "progress", "started_s", "worker")

    def __init__(
        self, progress: ItemProgress, worker: Worker, cancellation: Cancellation, started_s: float
    ) -> None:
        """`started_s`: monotonic time of its submission; its thread may start much later."""
        self.progress = progress
        self.worker = worker
        self.cancellation = cancellation
        self.started_s = started_s

    @property
    def last_event_s(self) -> float:
        """Time of its last event, or of its submission before the first event."""
        return max(self.started_s, self.progress.last_event_s)


TargetsOf = Callable[[ItemProgress, str], Sequence[tuple[Worker, int]]]
"""Returns the workers of a service that an item could run on now, with their free slots."""


class RunMover:
    """Checks runs periodically. Not thread-safe: called by the coordinator's task only."""

    def __init__(self, attempts: ItemRunner, now_s: Callable[[], float] = elapsed_s) -> None:
        self._attempts = attempts
        self._now_s = now_s
        self._next_check_s = 0.0
        self._stalls = ProcessStalls(CHECK_INTERVAL_S)

    def move_runs(self, runs: Iterable[Run], targets_of: TargetsOf) -> None:
        """Move runs, if a check is due."""
        now_s = self._now_s()
        self._stalls.record_tick(now_s)
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        generating = [
            run
            for run in runs
            if run.progress.stage is Stage.GENERATION and not run.cancellation.cancelled.is_set()
        ]
        silent = self._silent_workers(generating, now_s)
        # A run stays within its service, so that split routes keep their weights.
        groups: dict[tuple[str, str], list[Run]] = {}
        for run in generating:
            key = (run.progress.job.id, run.worker.entry.service)
            groups.setdefault(key, []).append(run)
        claimed: dict[Incarnation, int] = {}
        for (_, service), group in groups.items():
            candidates = targets_of(group[0].progress, service)
            self._move_in_group(group, candidates, silent, claimed, now_s)

    def _move_in_group(
        self,
        runs: list[Run],
        candidates: Sequence[tuple[Worker, int]],
        silent: set[Incarnation],
        claimed: dict[Incarnation, int],
        now_s: float,
    ) -> None:
        """Move runs of one job and service; `claimed` counts slots given away in this check."""
        targets = [
            MoveTarget(
                worker.incarnation,
                self._attempts.event_times.of(worker.incarnation),
                free_slots - claimed.get(worker.incarnation, 0),
            )
            for worker, free_slots in candidates
            if worker.incarnation not in silent
        ]
        if not targets:
            return
        forecasts = [
            self._forecast(run, now_s)
            for run in runs
            if now_s - run.progress.moved_s >= MOVE_COOLDOWN_S
        ]
        for move in plan_moves(forecasts, targets):
            claimed[move.target] = claimed.get(move.target, 0) + 1
            self._move(move, now_s)

    def _silent_workers(self, runs: list[Run], now_s: float) -> set[Incarnation]:
        """Workers all of whose runs are silent."""
        has_events: dict[Incarnation, bool] = {}
        for run in runs:
            worker = run.worker.incarnation
            has_events[worker] = (
                has_events.get(worker, False) or not self._forecast(run, now_s).is_silent
            )
        return {worker for worker, has_any in has_events.items() if not has_any}

    def _forecast(self, run: Run, now_s: float) -> RunForecast[Run]:
        progress = run.progress
        generated = progress.events
        expected = self._attempts.predicted_events(progress)
        remaining = max(expected - generated, OVERRUN_SHARE * generated, MIN_REMAINING_EVENTS)
        time_per_event_s = self._attempts.event_times.of(run.worker.incarnation)
        # Events that arrived while this process was stalled are not read yet.
        silent_s = now_s - run.last_event_s - self._stalls.total_since(run.last_event_s)
        return RunForecast(
            run,
            run.worker.incarnation,
            time_per_event_s,
            silent_s,
            remaining,
            progress.patience,
        )

    def _move(self, move: PlannedMove[Run], now_s: float) -> None:
        forecast, run = move.forecast, move.forecast.key
        progress = run.progress
        emit(
            ITEM_MOVED,
            request_id=progress.item.id,
            job=progress.job.id,
            instance=run.worker.instance,
            target=move.target.instance,
            cause=move.cause,
            events=progress.events,
            left_events=round(forecast.remaining_events),
            silent_ms=round(1000 * forecast.silent_s),
            pace_ms=round(1000 * forecast.time_per_event_s),
            target_pace_ms=round(1000 * self._attempts.event_times.of(move.target)),
        )
        if move.cause == SILENT:
            progress.timeouts += 1
            self._attempts.note_silent(run.worker)
        progress.moved_to = move.target
        progress.moved_s = now_s
        run.cancellation.cancel()
