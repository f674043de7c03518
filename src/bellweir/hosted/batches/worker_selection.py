"""Selects the worker for an item's next attempt, by eligibility, free slots and speed."""

from collections.abc import Callable, Collection, Sequence

from bellweir.hosted.batches.attempts import ItemRunner
from bellweir.hosted.batches.engine_forecast import EngineForecast
from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.batches.run_mover import Run
from bellweir.hosted.eligibility.homes import AllowedRegions
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import Route
from bellweir.hosted.serving.selection import WeightedRoundRobin, WorkerLoads
from bellweir.hosted.settings import BatchSettings
from bellweir.hosted.views.configuration import RouteTable
from bellweir.hosted.views.workers import Worker, WorkersView


class WorkerSelector:
    """Selects workers. Called by the coordinator's task; attempts read the workers of a service."""

    def __init__(
        self,
        workers: WorkersView,
        loads: WorkerLoads,
        attempts: ItemRunner,
        policy: BatchSettings,
    ) -> None:
        self._workers = workers
        self._loads = loads
        self._attempts = attempts
        self._policy = policy
        self._parts = WeightedRoundRobin()
        self._forecast = EngineForecast(attempts, policy)
        self._table: RouteTable | None = None
        if policy.set_failing_aside:
            attempts.service_workers_of = lambda worker: self._service_workers(worker.entry.service)

    def begin_round(self, in_flight: Sequence[Run], table: RouteTable) -> None:
        """Begin a scheduling round; `in_flight` are the runs at its start."""
        self._table = table
        self._forecast.begin(in_flight, table)

    def event_times_of(self, service: str) -> list[tuple[float, int]]:
        """Time per event and slots of each engine of a service."""
        return [
            (self._attempts.event_times.of(worker.incarnation), worker.entry.slots)
            for worker in self._usable(service)
        ]

    @property
    def is_held(self) -> bool:
        """Whether the last item without a worker is held for a better one despite free slots."""
        return self._forecast.is_held

    def acquire_worker(self, progress: ItemProgress, table: RouteTable) -> Worker | None:
        """Take a slot of a worker; None if no slot is free or the item is held for a better one."""
        self._forecast.is_held = False
        if progress.stage is Stage.SCORING:
            route = score_route(progress, table)
            return self._choose(route, progress, table) if route is not None else None
        return self._choose(progress.route, progress, table)

    def move_targets(self, progress: ItemProgress, service: str) -> list[tuple[Worker, int]]:
        """Workers of a service that an item's run could be moved to, with their free slots."""
        if self._attempts.crashes.is_restricted(progress.request):
            return []
        failing = self._attempts.quarantine.failing_workers(self._service_workers(service))
        return [
            (worker, worker.entry.slots - self._loads.in_flight(worker.incarnation))
            for worker in self._eligible(service, progress, progress.route)
            if worker.incarnation not in failing
            and not self._loads.eligibility.is_cold(worker)
            and self._can_accept(worker, progress)
        ]

    def has_own_constraints(self, progress: ItemProgress) -> bool:
        """Whether other items of the job may get a worker although this one gets none."""
        if self._attempts.crashes.is_restricted(progress.request):
            return True
        is_version_pinned = progress.route.single_version and bool(progress.versions)
        return bool(progress.stage_failures) or is_version_pinned or self._policy.count_memory

    def restart_if_version_gone(self, progress: ItemProgress) -> None:
        """Restart a text that must be of a single version if no worker has it any more."""
        route, model = progress.route, progress.job.model
        if (
            progress.stage is not Stage.GENERATION
            or not route.single_version
            or not progress.versions
        ):
            return
        versions = [
            version
            for part in route.effective_backends
            for worker in self._usable(part.service, self._allowed_regions(route, progress))
            if (version := worker.version_of(model)) is not None
        ]
        is_gone = progress.versions[-1] not in versions
        if is_gone and any(version >= progress.job.minimum_version for version in versions):
            progress.restart()

    def _choose(self, route: Route, progress: ItemProgress, table: RouteTable) -> Worker | None:
        """Take a slot in one of the route's services, in proportion to their weights.

        A service keeps its turn while its eligible workers are busy; without an eligible worker
        the turn passes to the next service.
        """
        moved = self._acquire_move_target(route, progress)
        if moved is not None:
            return moved
        parts = tuple((part.service, part.weight) for part in route.effective_backends)
        key = (table.version, route.host, route.path_prefix)
        by_event_time = progress.stage is Stage.GENERATION and self._policy.choose_by_pace
        time_per_event_of = self._attempts.event_times.of if by_event_time else None
        for service in self._parts.peek(parts, key):
            eligible = self._eligible(service, progress, route)
            available = [worker for worker in eligible if self._can_accept(worker, progress)]
            chosen = self._acquire_best(available, eligible, progress, time_per_event_of)
            if chosen is not None:
                self._record_start(chosen, progress)
                self._parts.charge(parts, key, service)
                return chosen
            if eligible:
                return None
        return None

    def _acquire_best(
        self,
        available: list[Worker],
        eligible: list[Worker],
        progress: ItemProgress,
        time_per_event_of: Callable[[Incarnation], float] | None,
    ) -> Worker | None:
        """Take a slot of the best worker; None also if the item is held for a busy one."""
        forecast = self._forecast
        if (
            progress.stage is Stage.SCORING
            or not available
            or not forecast.has_uneven_speeds(eligible)
        ):
            return self._loads.choose(available, (), time_per_event_of)
        busy = [
            one for one in eligible if self._loads.in_flight(one.incarnation) >= one.entry.slots
        ]
        chosen = forecast.choose(available, busy, progress)
        if chosen is None or not self._loads.acquire(chosen):
            return None
        return chosen

    def _acquire_move_target(self, route: Route, progress: ItemProgress) -> Worker | None:
        """Take a slot of the worker that a run was moved to; its service is charged already."""
        if progress.stage is not Stage.GENERATION or not progress.moved_to:
            return None
        for part in route.effective_backends:
            for worker in self._eligible(part.service, progress, route):
                is_target = worker.incarnation == progress.moved_to
                if is_target and self._can_accept(worker, progress) and self._loads.acquire(worker):
                    self._record_start(worker, progress)
                    return worker
        return None

    def _record_start(self, worker: Worker, progress: ItemProgress) -> None:
        if progress.stage is Stage.GENERATION:
            self._attempts.refusal_backoff.record_start(worker.incarnation, progress.job.model)
            self._forecast.record_start(worker, progress)
        self._attempts.quarantine.record_start(worker.incarnation, progress.item.id)

    def _eligible(self, service: str, progress: ItemProgress, route: Route) -> list[Worker]:
        """Workers of a service that may run an item now, with or without a free slot.

        `route` is the item's, or the one of the request that scores it.
        A failed item goes to a worker that has not failed it, as long as there is one.
        """
        found = [
            worker
            for worker in self._usable(service, self._allowed_regions(route, progress))
            if _is_compatible(worker, progress) and not self._is_excluded(worker)
        ]
        if self._policy.set_failing_aside:
            found = self._without_failing(found, service, progress)
        return list(self._attempts.crashes.permitted(progress.request, found))

    def _without_failing(
        self, workers: list[Worker], service: str, progress: ItemProgress
    ) -> list[Worker]:
        failed_at = progress.stage_failures
        service_workers = self._service_workers(service)
        # An item that failed often is no evidence about a worker, so it probes none.
        allows_probe = len(failed_at) < progress.route.max_attempts
        failing = self._attempts.quarantine
        quarantined = failing.quarantined(service_workers)
        kept = [
            worker
            for worker in workers
            if worker.incarnation not in quarantined
            or (allows_probe and failing.may_probe(worker.incarnation))
        ]
        # With only quarantined workers left any item may probe them.
        kept = kept or [one for one in workers if failing.may_probe(one.incarnation)]
        return [worker for worker in kept if worker.incarnation not in failed_at] or kept

    def workers_of(self, route: Route) -> Collection[Incarnation]:
        """Workers of a route's services; empty if workers that fail all runs are not set aside."""
        if not self._policy.set_failing_aside:
            return ()
        return [
            worker
            for part in route.effective_backends
            for worker in self._service_workers(part.service)
        ]

    def _service_workers(self, service: str) -> Collection[Incarnation]:
        return [worker.incarnation for worker in self._usable(service)]

    def _usable(self, service: str, allowed: AllowedRegions = None) -> list[Worker]:
        """Ready workers of a service that may get work, with or without a free slot."""
        return self._loads.eligibility.usable(self._workers.ready(service), allowed)

    def _allowed_regions(self, route: Route, progress: ItemProgress) -> AllowedRegions:
        """Regions in which the newest configuration allows an item to run or to be scored."""
        if self._table is None:
            return None
        return self._table.allowed_regions(route, progress.job.tenant)

    def _is_excluded(self, worker: Worker) -> bool:
        return self._policy.pass_over_failed and self._loads.is_penalized(worker.incarnation)

    def _can_accept(self, worker: Worker, progress: ItemProgress) -> bool:
        if progress.stage is Stage.GENERATION:
            model = progress.job.model
            refusals = self._attempts.refusal_backoff
            is_guarded = self._policy.guard_refusals
            if is_guarded and not refusals.may_start(worker.incarnation, model):
                return False
            if not self._forecast.has_memory(worker, progress):
                return False
        if not self._loads.eligibility.may_start(worker):
            return False
        return self._loads.in_flight(worker.incarnation) < worker.entry.slots


def score_route(progress: ItemProgress, table: RouteTable) -> Route | None:
    """Return the route of the request that scores an item."""
    scorer = progress.item.scorer
    return table.find(scorer.host, scorer.path) if scorer is not None else None


def _is_compatible(worker: Worker, progress: ItemProgress) -> bool:
    if progress.stage is not Stage.GENERATION or not progress.job.model:
        return True
    version = worker.version_of(progress.job.model)
    if version is None:
        return True
    if progress.route.single_version and progress.versions:
        return version == progress.versions[-1]
    return version >= progress.job.minimum_version
