"""Runs the open batch jobs on the node that leads their shard.

The replicated state machine holds jobs, results and ends; the state kept here is rebuilt from it
by the next leader. An item may run more than once; its first committed result counts.
"""

import threading
from collections.abc import Iterator

from bellweir.events.log import emit
from bellweir.hosted.batches.attempts import ItemRunner
from bellweir.hosted.batches.committer import Committer
from bellweir.hosted.batches.failed_requests import FailedRequests, ItemFailure
from bellweir.hosted.batches.held_items import HeldItems
from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.batches.retry_limit import RetryLimit
from bellweir.hosted.batches.run_mover import Run, RunMover
from bellweir.hosted.batches.state import JOBS_KEY, BatchJobs, Job, JobItem, JobState
from bellweir.hosted.batches.step_scheduler import OpenStep, StepScheduler
from bellweir.hosted.batches.text_cache import TextCache
from bellweir.hosted.batches.worker_selection import WorkerSelector, score_route
from bellweir.hosted.crashes.interface import RunEnd
from bellweir.hosted.log_events import (
    COORDINATION_LEFT,
    COORDINATION_TAKEN,
    ITEM_TAKEN_OVER,
    JOB_ROUTE_ENDED,
)
from bellweir.hosted.records import Route
from bellweir.hosted.serving.attempt import Cancellation
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.settings import BatchSettings
from bellweir.hosted.views.configuration import ConfigurationView, RouteTable
from bellweir.hosted.views.workers import Worker, WorkersView
from bellweir.kernel.clock import elapsed_s
from bellweir.kernel.executors import Executors, ExecutorSaturatedError, WorkKind
from bellweir.ledger.interface import Ledger

POLL_INTERVAL_S = 0.025
DEFAULT_POLICY = BatchSettings()

ItemKey = tuple[str, str]
"""Job id and item id."""


class Coordinator:
    """One scheduling task, and one executor call for each attempt."""

    def __init__(
        self,
        ledger: Ledger,
        configuration: ConfigurationView,
        workers: WorkersView,
        loads: WorkerLoads,
        attempts: ItemRunner,
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
        attempts.save_checkpoint = self.committer.put_checkpoint
        attempts.checkpoint_interval_s = policy.keep_texts_s
        self._lock = threading.Lock()
        self._progress: dict[ItemKey, ItemProgress] = {}
        self._running: dict[ItemKey, Run] = {}
        self._text_cache = TextCache()
        self._worker_selector = WorkerSelector(workers, loads, attempts, policy)
        self._retry_limit = RetryLimit(attempts.quarantine, self._worker_selector.workers_of)
        self._failed_requests = FailedRequests()
        self._mover = RunMover(attempts)
        self._step_scheduler = StepScheduler(
            attempts.predicted_events_or_none, self._worker_selector.event_times_of
        )
        self._held_items = HeldItems()
        self._leading = False
        self._wake = threading.Event()

    def run(self, stopping: threading.Event) -> None:
        """Schedule items whenever this node leads, until `stopping`."""
        while not stopping.is_set():
            self._wake.wait(POLL_INTERVAL_S)
            self._wake.clear()
            machine = self._ledger.local_machine(JOBS_KEY, BatchJobs)
            leads = self._ledger.leads(JOBS_KEY)
            if leads and isinstance(machine, BatchJobs):
                self._failed_requests = machine.failed_requests
                self._run_pass(list(machine.jobs.values()))
            elif self._leading:
                self._step_down()
        self._step_down()

    def running_count(self) -> int:
        """Return the number of running attempts."""
        return len(self._running)

    def _is_leading(self) -> bool:
        return self._ledger.leads(JOBS_KEY)

    def _run_pass(self, jobs: list[JobState]) -> None:
        if not self._leading:
            self._leading = True
            emit(COORDINATION_TAKEN, jobs=sum(state.is_open for state in jobs))
        table = self._configuration.table()
        self._remove_finished(jobs)
        if table is not None:
            with self._lock:
                running = list(self._running.values())
            self._worker_selector.begin_round(running, table)
            if self._policy.move_runs:
                movable = [run for run in running if _route_of(run.progress.job, table)]
                self._mover.move_runs(movable, self._worker_selector.move_targets)
            self._start_waiting(jobs, table)

    def _start_waiting(self, jobs: list[JobState], table: RouteTable) -> None:
        """Start waiting items; once one finds no free slot, skip others of its job and stage.

        An item with constraints of its own may lack a worker where others of the job don't.
        """
        full: set[tuple[str, Stage]] = set()
        for progress in self._waiting(jobs, table):
            kind = (progress.job.id, progress.stage)
            if kind not in full and not self._start(progress, table):
                if not self._worker_selector.has_own_constraints(progress):
                    full.add(kind)
                self._worker_selector.restart_if_version_gone(progress)

    def _step_down(self) -> None:
        with self._lock:
            running = list(self._running.values())
            self._progress.clear()
            self._held_items.clear()
            self._text_cache.clear()
        for run in running:
            run.cancellation.cancel()
        if self._leading:
            self._leading = False
            emit(COORDINATION_LEFT, running=len(running))

    def _remove_finished(self, jobs: list[JobState]) -> None:
        """Cancel attempts of ended jobs, and drop items with a recorded result."""
        open_items = {
            (state.job.id, item_id)
            for state in jobs
            if state.is_open
            for item_id in state.items
            if item_id not in state.recorded_ids
        }
        with self._lock:
            finished = [key for key in self._progress if key not in open_items]
            for key in finished:
                progress = self._progress.pop(key)
                self._held_items.forget(progress)
                # A running item is added by its attempt, when this has ended.
                if key not in self._running:
                    self._text_cache.add(progress)
            cancelled = [run for key, run in self._running.items() if key not in open_items]
        for run in cancelled:
            run.cancellation.cancel()

    def _waiting(self, jobs: list[JobState], table: RouteTable) -> list[ItemProgress]:
        """Return the items that need an attempt now, in order of priority.

        The oldest job goes first, and in it the longest texts; where steps of several trainers
        compete, the scheduler orders their groups.
        """
        steps = []
        waiting: list[ItemProgress] = []
        for state in jobs:
            if not state.is_open:
                continue
            route = _route_of(state.job, table)
            if route is None:
                waiting += self._without_route(state, jobs, table)
            else:
                steps.append(OpenStep(state, route))
                found = list(self._waiting_in(state, route, jobs, table))
                waiting += (
                    sorted(found, key=self._order_in_job) if self._policy.long_first else found
                )
        if self._policy.order_by_need:
            with self._lock:
                known, running = dict(self._progress), list(self._running)
            self._step_scheduler.update(steps, known, running, table)
            waiting.sort(key=self._rank)
        return waiting

    def _without_route(
        self, state: JobState, jobs: list[JobState], table: RouteTable
    ) -> list[ItemProgress]:
        """Give up the waiting texts of a job whose route has ended; return items to be scored.

        Nothing is given up while the route may only be unknown here, or unreadable.
        """
        job = state.job
        if not table.has_ended(job.host, job.path_prefix, job.configuration_version):
            return []
        ended = Route(job.host, job.path_prefix)
        waiting = list(self._waiting_in(state, ended, jobs, table))
        texts = [progress for progress in waiting if progress.stage is Stage.GENERATION]
        for progress in texts:
            progress.give_up()
            self._commit(progress)
        if texts:
            emit(
                JOB_ROUTE_ENDED,
                job=job.id,
                route=job.path_prefix,
                configuration=table.version,
                items=len(texts),
            )
        return [progress for progress in waiting if progress.stage is Stage.SCORING]

    def _rank(self, progress: ItemProgress) -> int:
        """Sort key among the items of all jobs: items already started go first."""
        is_started = progress.stage is not Stage.GENERATION or progress.moved_to is not None
        return -1 if is_started else self._step_scheduler.rank(progress)

    def _order_in_job(self, progress: ItemProgress) -> tuple[bool, bool, float]:
        """Sort key in a job: scoring first, then moved generations, then the longest remainder."""
        expected = self._attempts.predicted_events(progress) - progress.events
        return progress.stage is Stage.GENERATION, not progress.moved_to, -expected

    def _waiting_in(
        self, state: JobState, route: Route, jobs: list[JobState], table: RouteTable
    ) -> Iterator[ItemProgress]:
        """Yield the items of a job that need an attempt now; queue results to be committed."""
        now_s = elapsed_s()
        for item in state.job.items:
            key = (state.job.id, item.id)
            if item.id in state.recorded_ids or key in self._running:
                continue
            progress = self._progress_of(key, state, route, item, jobs)
            progress.route = route
            if progress.unrecorded_failures or self._has_result(progress, table):
                self._commit(progress)
            elif progress.not_before_s <= now_s and not self._hold(progress, now_s):
                yield progress

    def _has_result(self, progress: ItemProgress, table: RouteTable) -> bool:
        """Whether an item has a result; gives it up if it has failed too often."""
        if progress.stage is Stage.RESULT:
            return True
        progress.count_recorded(self._recorded_failures(progress))
        if not progress.failures:
            return False
        is_reached = self._retry_limit.is_reached(progress, score_route(progress, table))
        if is_reached:
            progress.give_up()
        return is_reached

    def _recorded_failures(self, progress: ItemProgress) -> list[ItemFailure]:
        """Return the failures of an item's requests, in all jobs."""
        if not self._failed_requests:
            return []
        return [
            failure
            for request in progress.requests
            for failure in self._failed_requests.failures_of(request)
        ]

    def _commit(self, progress: ItemProgress) -> None:
        """Queue an item's result, or the failures after which it may run again."""
        if not progress.is_committing:
            self.committer.put(progress)

    def _hold(self, progress: ItemProgress, now_s: float) -> bool:
        """Whether an item must not run now, since workers ended under it a moment ago."""
        left_s = self._attempts.crashes.quarantine_left_s(progress.request)
        self._held_items.note(progress, left_s, now_s)
        return left_s > 0

    def _progress_of(
        self, key: ItemKey, state: JobState, route: Route, item: JobItem, jobs: list[JobState]
    ) -> ItemProgress:
        """Return an item's progress; a new one resumes from checkpoints or a cached text."""
        with self._lock:
            known = self._progress.get(key)
        if known is not None:
            return known
        progress = ItemProgress(state.job, route, item)
        progress.guessed_tokens = self._attempts.guessed_tokens(item)
        failures = self._recorded_failures(progress)
        is_known = progress.resume_from(state.checkpoints.get(item.id, ()))
        if is_known or failures:
            emit(
                ITEM_TAKEN_OVER,
                request_id=item.id,
                job=state.job.id,
                events=progress.events,
                failures=len(failures),
                earlier=sum(failure.job_id != state.job.id for failure in failures),
            )
        with self._lock:
            if not is_known and self._policy.carry_texts:
                self._text_cache.restore(progress, jobs)
            self._progress[key] = progress
        return progress

    def _start(self, progress: ItemProgress, table: RouteTable) -> bool:
        """Start an item's next attempt unless it has to wait; False if no slot is free."""
        if self._runs_in_another_job(progress):
            return True
        worker = self._worker_selector.acquire_worker(progress, table)
        progress.moved_to = None
        if worker is None:
            return self._worker_selector.is_held
        if not self._attempts.crashes.begin_run(progress.request, worker):
            self._release(progress, worker)
            return True
        progress.urgency = (
            self._step_scheduler.urgency(progress) if self._policy.tell_urgency else None
        )
        key = (progress.job.id, progress.item.id)
        run = Run(progress, worker, Cancellation(), elapsed_s())
        with self._lock:
            self._running[key] = run
        try:
            self._executors.submit(WorkKind.GENERATION, self._run, key, run)
        except (ExecutorSaturatedError, RuntimeError):
            self._release(progress, worker)
            self._attempts.crashes.record_end(progress.request, worker, RunEnd.NOT_RUN)
            with self._lock:
                self._running.pop(key, None)
            return False
        return True

    def _runs_in_another_job(self, progress: ItemProgress) -> bool:
        """Whether another open job runs the same item: its failure would be counted too late."""
        with self._lock:
            running = [
                run.progress for (_, item), run in self._running.items() if item == progress.item.id
            ]
        return any(each.job.tenant == progress.job.tenant for each in running)

    def _release(self, progress: ItemProgress, worker: Worker) -> None:
        """Give the slot back that an attempt has not used."""
        self._loads.release(worker.incarnation)
        self._attempts.refusal_backoff.record_end(worker.incarnation, progress.job.model)
        self._attempts.quarantine.record_end(worker.incarnation, progress.item.id)

    def _run(self, key: ItemKey, run: Run) -> None:
        progress, worker = run.progress, run.worker
        # The stage, and with it the request, changes with the end of the run.
        request = progress.request
        try:
            if progress.stage is Stage.GENERATION:
                self._attempts.run_generation(progress, worker, run.cancellation)
            else:
                self._attempts.run_scoring(progress, worker, run.cancellation)
        except Exception:
            # The executor reports it; the slot of the worker must not leak.
            self._loads.release(worker.incarnation)
            self._attempts.crashes.record_end(request, worker, RunEnd.OTHER)
            raise
        finally:
            self._attempts.quarantine.record_end(worker.incarnation, progress.item.id)
            with self._lock:
                self._running.pop(key, None)
                is_wanted = self._progress.get(key) is progress
                if not is_wanted and self._leading:
                    self._text_cache.add(progress)
            has_result = is_wanted and progress.stage is Stage.RESULT
            if has_result or progress.unrecorded_failures:
                self._commit(progress)
            self._wake.set()


def _route_of(job: Job, table: RouteTable) -> Route | None:
    """Return the route that accepted a job, as it is now; None if it accepts no jobs any more."""
    return table.job_route(job.host, job.path_prefix)
