"""Looks at the runs in hand and moves those that another worker would end sooner."""

import time
from collections.abc import Callable, Iterable, Sequence

from bellweir.events.log import emit
from bellweir.hosted.batches.attempts import ItemAttempts
from bellweir.hosted.batches.move_planning import MoveTarget, PlannedMove, RunOutlook, plan_moves
from bellweir.hosted.batches.process_stalls import OwnPauses
from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.log_events import ITEM_MOVED
from bellweir.hosted.serving.attempt import Cancellation
from bellweir.hosted.views.workers import Worker

LOOK_PERIOD_S = 0.1
PAUSE_AFTER_MOVE_S = 1.0
"""Time for which a run that was moved for the sake of pace stays where it is."""
OVERRUN_SHARE = 0.25
"""Share of what a text has that is still expected when it is longer than was guessed."""
FEWEST_LEFT_EVENTS = 4.0


class Run:
    """One attempt in hand."""

    __slots__ = ("began_s", "cancellation", "progress", "worker")

    def __init__(
        self, progress: ItemProgress, worker: Worker, cancellation: Cancellation, began_s: float
    ) -> None:
        """`began_s`: monotonic time at which it is handed out; its thread may begin much later."""
        self.progress = progress
        self.worker = worker
        self.cancellation = cancellation
        self.began_s = began_s

    @property
    def heard_s(self) -> float:
        """Time of its last event, or of its hand-out before it has one."""
        return max(self.began_s, self.progress.heard_s)


TargetsOf = Callable[[ItemProgress, str], Sequence[tuple[Worker, int]]]
"""Workers of a service that an item could run at now, each with its free places."""


class RunMover:
    """Called by the coordinator's task only."""

    def __init__(self, attempts: ItemAttempts, now_s: Callable[[], float] = time.monotonic) -> None:
        self._attempts = attempts
        self._now_s = now_s
        self._due_s = 0.0
        self._pauses = OwnPauses(LOOK_PERIOD_S)

    def move_runs(self, runs: Iterable[Run], targets_of: TargetsOf) -> None:
        """Move runs, if a look is due."""
        now_s = self._now_s()
        self._pauses.note_look(now_s)
        if now_s < self._due_s:
            return
        self._due_s = now_s + LOOK_PERIOD_S
        texts = [
            run
            for run in runs
            if run.progress.stage is Stage.TEXT and not run.cancellation.cancelled.is_set()
        ]
        silent = self._silent_workers(texts, now_s)
        # A run stays with its service, so that split routes keep their shares.
        groups: dict[tuple[str, str], list[Run]] = {}
        for run in texts:
            key = (run.progress.job.id, run.worker.entry.service)
            groups.setdefault(key, []).append(run)
        taken: dict[Incarnation, int] = {}
        for (_, service), group in groups.items():
            found = targets_of(group[0].progress, service)
            self._look_at_group(group, found, silent, taken, now_s)

    def _look_at_group(
        self,
        runs: list[Run],
        found: Sequence[tuple[Worker, int]],
        silent: set[Incarnation],
        taken: dict[Incarnation, int],
        now_s: float,
    ) -> None:
        """Move runs of one job at one service; `taken` counts places given away in this look."""
        targets = [
            MoveTarget(
                worker.incarnation,
                self._attempts.paces.of(worker.incarnation),
                room - taken.get(worker.incarnation, 0),
            )
            for worker, room in found
            if worker.incarnation not in silent
        ]
        if not targets:
            return
        outlooks = [
            self._outlook(run, now_s)
            for run in runs
            if now_s - run.progress.moved_s >= PAUSE_AFTER_MOVE_S
        ]
        for move in plan_moves(outlooks, targets):
            taken[move.target] = taken.get(move.target, 0) + 1
            self._move(move, now_s)

    def _silent_workers(self, runs: list[Run], now_s: float) -> set[Incarnation]:
        """Workers none of whose runs has made an event lately."""
        heard: dict[Incarnation, bool] = {}
        for run in runs:
            worker = run.worker.incarnation
            heard[worker] = heard.get(worker, False) or not self._outlook(run, now_s).stands_still
        return {worker for worker, is_heard in heard.items() if not is_heard}

    def _outlook(self, run: Run, now_s: float) -> RunOutlook[Run]:
        progress = run.progress
        made = progress.events
        expected = self._attempts.expected_events(progress)
        left = max(expected - made, OVERRUN_SHARE * made, FEWEST_LEFT_EVENTS)
        pace_s = self._attempts.paces.of(run.worker.incarnation)
        # Events that came while this process stood still are not read yet: their worker made them.
        silent_s = now_s - run.heard_s - self._pauses.since(run.heard_s)
        return RunOutlook(run, run.worker.incarnation, pace_s, silent_s, left)

    def _move(self, move: PlannedMove[Run], now_s: float) -> None:
        outlook, run = move.run, move.run.key
        progress = run.progress
        emit(
            ITEM_MOVED,
            request_id=progress.item.id,
            job=progress.job.id,
            instance=run.worker.instance,
            target=move.target.instance,
            cause=move.cause,
            events=progress.events,
            left_events=round(outlook.left_events),
            silent_ms=round(1000 * outlook.silent_s),
            pace_ms=round(1000 * outlook.pace_s),
            target_pace_ms=round(1000 * self._attempts.paces.of(move.target)),
        )
        progress.moved_to = move.target
        progress.moved_s = now_s
        run.cancellation.cancel()
