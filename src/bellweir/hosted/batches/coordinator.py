"""Runs the open batch jobs on the node that leads their shard.

The state machine of the shard says what is accepted, listed and ended; everything here is
rebuilt from it by the next leader. An item may run more than once; its first committed result
counts.
"""

import threading
import time
from collections.abc import Iterator

from bellweir.events.log import emit
from bellweir.hosted.batches.attempts import ItemAttempts
from bellweir.hosted.batches.carried import CarriedTexts
from bellweir.hosted.batches.committer import Committer
from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.batches.run_mover import Run, RunMover
from bellweir.hosted.batches.state import JOBS_KEY, BatchJobs, JobItem, JobState
from bellweir.hosted.batches.step_scheduler import OpenStep, StepScheduler
from bellweir.hosted.batches.worker_selection import WorkerSelector, score_route
from bellweir.hosted.log_events import COORDINATION_LEFT, COORDINATION_TAKEN, ITEM_TAKEN_OVER
from bellweir.hosted.records import Route
from bellweir.hosted.serving.attempt import Cancellation
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.settings import BatchSettings
from bellweir.hosted.views.configuration import ConfigurationView, RouteTable
from bellweir.hosted.views.workers import WorkersView
from bellweir.kernel.executors import Executors, ExecutorSaturatedError, WorkKind
from bellweir.ledger.interface import Ledger

STEP_S = 0.025
"""Time between two looks at what is to be run."""
DEFAULT_POLICY = BatchSettings()

ItemKey = tuple[str, str]
"""Ids of job and item."""


class Coordinator:
    """One task that looks at the jobs, and one call on an executor for each attempt."""

    def __init__(
        self,
        ledger: Ledger,
        configuration: ConfigurationView,
        workers: WorkersView,
        loads: WorkerLoads,
        attempts: ItemAttempts,
        executors: Executors,
        policy: BatchSettings = DEFAULT_POLICY,
    ) -> None:
        self._ledger = ledger
        self._configuration = configuration
        self._loads = loads
        self._attempts = attempts
        self._executors = executors
        self._policy = policy
        self.committer = Committer(ledger, self._is_leading)
        attempts.keep_part = self.committer.keep
        attempts.keep_period_s = policy.keep_texts_s
        self._lock = threading.Lock()
        self._progress: dict[ItemKey, ItemProgress] = {}
        self._running: dict[ItemKey, Run] = {}
        self._carried = CarriedTexts()
        self._choice = WorkerSelector(workers, loads, attempts, policy)
        self._mover = RunMover(attempts)
        self._queue = StepScheduler(attempts.known_events, self._choice.event_times_of)
        self._leading = False
        self._wake = threading.Event()

    def run(self, stopping: threading.Event) -> None:
        """Coordinate whenever this node leads, until `stopping`."""
        while not stopping.is_set():
            self._wake.wait(STEP_S)
            self._wake.clear()
            machine = self._ledger.local_machine(JOBS_KEY, BatchJobs)
            leads = self._ledger.leads(JOBS_KEY)
            if leads and isinstance(machine, BatchJobs):
                self._coordinate(list(machine.jobs.values()))
            elif self._leading:
                self._leave()
        self._leave()

    def running_count(self) -> int:
        """Attempts in hand."""
        return len(self._running)

    def _is_leading(self) -> bool:
        return self._ledger.leads(JOBS_KEY)

    def _coordinate(self, jobs: list[JobState]) -> None:
        if not self._leading:
            self._leading = True
            emit(COORDINATION_TAKEN, jobs=sum(state.is_open for state in jobs))
        table = self._configuration.table()
        self._drop_ended(jobs)
        if table is not None:
            with self._lock:
                running = list(self._running.values())
            self._choice.begin_round(running, table)
            if self._policy.move_runs:
                self._mover.move_runs(running, self._choice.move_targets)
            self._start_waiting(jobs, table)

    def _start_waiting(self, jobs: list[JobState], table: RouteTable) -> None:
        """Start items until there is no place left for those of a job.

        One that lacks a worker for a reason of its own says nothing of the job's other items.
        """
        full: set[tuple[str, Stage]] = set()
        for progress in self._waiting(jobs, table):
            kind = (progress.job.id, progress.stage)
            if kind not in full and not self._start(progress, table):
                if not self._choice.has_own_constraints(progress):
                    full.add(kind)
                self._choice.restart_if_version_gone(progress)

    def _leave(self) -> None:
        with self._lock:
            running = list(self._running.values())
            self._progress.clear()
            self._carried.forget()
        for run in running:
            run.cancellation.cancel()
        if self._leading:
            self._leading = False
            emit(COORDINATION_LEFT, running=len(running))

    def _drop_ended(self, jobs: list[JobState]) -> None:
        """Cancel what runs for jobs that are ended, and forget items that are listed."""
        open_items = {
            (state.job.id, item_id)
            for state in jobs
            if state.is_open
            for item_id in state.items
            if item_id not in state.listed
        }
        with self._lock:
            gone = [key for key in self._progress if key not in open_items]
            for key in gone:
                progress = self._progress.pop(key)
                # One that still runs is kept once its attempt has ended.
                if key not in self._running:
                    self._carried.keep(progress)
            cancelled = [run for key, run in self._running.items() if key not in open_items]
        for run in cancelled:
            run.cancellation.cancel()

    def _waiting(self, jobs: list[JobState], table: RouteTable) -> list[ItemProgress]:
        """Items that need an attempt now.

        The oldest job goes first, and in it the longest texts; where steps of several trainers
        compete, their groups go as the queue has them.
        """
        steps = []
        waiting: list[ItemProgress] = []
        for state in jobs:
            route = table.find(state.job.host, state.job.path_prefix) if state.is_open else None
            if route is not None:
                steps.append(OpenStep(state, route))
                found = list(self._waiting_of(state, route, jobs))
                waiting += sorted(found, key=self._urgency) if self._policy.long_first else found
        if self._policy.order_by_need:
            with self._lock:
                known, running = dict(self._progress), list(self._running)
            self._queue.update(steps, known, running, table)
            waiting.sort(key=self._rank)
        return waiting

    def _rank(self, progress: ItemProgress) -> int:
        """Place of an item beside those of other jobs; what was begun goes on first."""
        is_begun = progress.stage is not Stage.TEXT or progress.moved_to is not None
        return -1 if is_begun else self._queue.rank(progress)

    def _urgency(self, progress: ItemProgress) -> tuple[bool, bool, float]:
        """Order of work in a job: whole texts to be scored, moved texts, then long ones."""
        expected = self._attempts.expected_events(progress) - progress.events
        return progress.stage is Stage.TEXT, not progress.moved_to, -expected

    def _waiting_of(
        self, state: JobState, route: Route, jobs: list[JobState]
    ) -> Iterator[ItemProgress]:
        """Items of one job that need an attempt now; whole results go to the committer."""
        now_s = time.monotonic()
        for item in state.job.items:
            key = (state.job.id, item.id)
            if item.id in state.listed or key in self._running:
                continue
            progress = self._progress_of(key, state, route, item, jobs)
            progress.route = route
            if progress.stage is Stage.RESULT:
                if not progress.is_committing:
                    self.committer.put(progress)
            elif progress.not_before_s <= now_s:
                yield progress

    def _progress_of(
        self, key: ItemKey, state: JobState, route: Route, item: JobItem, jobs: list[JobState]
    ) -> ItemProgress:
        """The item's progress; a new item begins with what an earlier job made of it."""
        with self._lock:
            known = self._progress.get(key)
        if known is not None:
            return known
        progress = ItemProgress(state.job, route, item)
        progress.guessed_tokens = self._attempts.guessed_tokens(item)
        is_known = progress.go_on_from(state.parts.get(item.id, ()))
        if is_known:
            emit(ITEM_TAKEN_OVER, request_id=item.id, job=state.job.id, events=progress.events)
        with self._lock:
            if not is_known and self._policy.carry_texts:
                self._carried.hand_on(progress, jobs)
            self._progress[key] = progress
        return progress

    def _start(self, progress: ItemProgress, table: RouteTable) -> bool:
        """Start an item's next attempt, if it need not wait; False when no worker has room."""
        worker = self._choice.acquire_worker(progress, table)
        progress.moved_to = None
        if worker is None:
            return self._choice.is_held
        progress.urgency = self._queue.urgency(progress) if self._policy.tell_urgency else None
        key = (progress.job.id, progress.item.id)
        run = Run(progress, worker, Cancellation(), time.monotonic())
        with self._lock:
            self._running[key] = run
        maximum = score_route(progress, table)
        try:
            self._executors.submit(
                WorkKind.GENERATION,
                self._run,
                key,
                run,
                maximum.max_attempts if maximum else 1,
            )
        except (ExecutorSaturatedError, RuntimeError):
            self._loads.release(worker.incarnation)
            self._attempts.refusals.record_end(worker.incarnation, progress.job.model)
            self._attempts.failing.record_end(worker.incarnation, progress.item.id)
            with self._lock:
                self._running.pop(key, None)
            return False
        return True

    def _run(self, key: ItemKey, run: Run, maximum_failures: int) -> None:
        progress, worker = run.progress, run.worker
        try:
            if progress.stage is Stage.TEXT:
                self._attempts.run_text(progress, worker, run.cancellation)
            else:
                self._attempts.run_score(progress, worker, maximum_failures, run.cancellation)
        except Exception:
            # Reported by the executor; the worker's place must not stay taken for good.
            self._loads.release(worker.incarnation)
            raise
        finally:
            self._attempts.failing.record_end(worker.incarnation, progress.item.id)
            with self._lock:
                self._running.pop(key, None)
                is_wanted = self._progress.get(key) is progress
                if not is_wanted and self._leading:
                    self._carried.keep(progress)
            if is_wanted and progress.stage is Stage.RESULT and not progress.is_committing:
                self.committer.put(progress)
            self._wake.set()
