"""Chooses the worker for an item's next attempt, among those that may run it and have room."""

from collections.abc import Callable, Collection, Sequence

from bellweir.hosted.batches.attempts import ItemAttempts
from bellweir.hosted.batches.engine_forecast import EngineOutlook
from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.batches.run_mover import Run
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import Route
from bellweir.hosted.serving.selection import WeightedRoundRobin, WorkerLoads
from bellweir.hosted.settings import BatchSettings
from bellweir.hosted.views.configuration import RouteTable
from bellweir.hosted.views.workers import Worker, WorkersView


class WorkerSelector:
    """Called by the coordinator's task; attempts ask it for the fellows of a worker."""

    def __init__(
        self,
        workers: WorkersView,
        loads: WorkerLoads,
        attempts: ItemAttempts,
        policy: BatchSettings,
    ) -> None:
        self._workers = workers
        self._loads = loads
        self._attempts = attempts
        self._policy = policy
        self._parts = WeightedRoundRobin()
        self._outlook = EngineOutlook(attempts, policy)
        if policy.set_failing_aside:
            attempts.fellows_of = lambda worker: self._fellows(worker.entry.service)

    def begin_round(self, running: Sequence[Run], table: RouteTable) -> None:
        """Begin a look at what waits; `running` is what is in hand now."""
        self._outlook.begin(running, table)

    def event_times_of(self, service: str) -> list[tuple[float, int]]:
        """Seconds an event and places of each engine of a service."""
        return [
            (self._attempts.paces.of(worker.incarnation), worker.entry.slots)
            for worker in self._workers.ready(service)
        ]

    @property
    def is_held(self) -> bool:
        """Whether the item that got no worker waits for a better one, though others have room."""
        return self._outlook.is_held

    def acquire_worker(self, progress: ItemProgress, table: RouteTable) -> Worker | None:
        """Take a place at a worker with room; None when there is none now, or none good enough."""
        self._outlook.is_held = False
        if progress.stage is Stage.SCORE:
            route = score_route(progress, table)
            return self._choose(route, progress, table) if route is not None else None
        return self._choose(progress.route, progress, table)

    def move_targets(self, progress: ItemProgress, service: str) -> list[tuple[Worker, int]]:
        """Workers of a service that an item's run could be moved to, with their free places."""
        failing = self._attempts.failing.failing_workers(self._fellows(service))
        return [
            (worker, worker.entry.slots - self._loads.in_flight(worker.incarnation))
            for worker in self._fitting(service, progress)
            if worker.incarnation not in failing and self._has_room(worker, progress)
        ]

    def has_own_constraints(self, progress: ItemProgress) -> bool:
        """Whether an item may lack a worker that other items of its job would get."""
        is_pinned = progress.route.single_version and bool(progress.versions)
        return bool(progress.failed_at_now) or is_pinned or self._policy.count_memory

    def restart_if_version_gone(self, progress: ItemProgress) -> None:
        """Begin a text anew that must be of one version, if no worker has that any more."""
        route, model = progress.route, progress.job.model
        if progress.stage is not Stage.TEXT or not route.single_version or not progress.versions:
            return
        versions = [
            version
            for part in route.parts
            for worker in self._workers.ready(part.service)
            if (version := worker.version_of(model)) is not None
        ]
        is_gone = progress.versions[-1] not in versions
        if is_gone and any(version >= progress.job.minimum_version for version in versions):
            progress.restart()

    def _choose(self, route: Route, progress: ItemProgress, table: RouteTable) -> Worker | None:
        """Take a place at a worker of the route's services, each of which gets its share.

        The service whose turn it is keeps it while its workers are only busy; one without a
        worker that could take the request loses it to the next.
        """
        moved = self._moved_target(route, progress)
        if moved is not None:
            return moved
        parts = tuple((part.service, part.weight) for part in route.parts)
        key = (table.version, route.host, route.path_prefix)
        by_pace = progress.stage is Stage.TEXT and self._policy.choose_by_pace
        pace_of = self._attempts.paces.of if by_pace else None
        for service in self._parts.peek(parts, key):
            fitting = self._fitting(service, progress)
            with_room = [worker for worker in fitting if self._has_room(worker, progress)]
            chosen = self._best(with_room, fitting, progress, pace_of)
            if chosen is not None:
                self._note_begun(chosen, progress)
                self._parts.charge(parts, key, service)
                return chosen
            if fitting:
                return None
        return None

    def _best(
        self,
        with_room: list[Worker],
        fitting: list[Worker],
        progress: ItemProgress,
        pace_of: Callable[[Incarnation], float] | None,
    ) -> Worker | None:
        """Take a place at the best worker; None also where the item had better wait for one."""
        outlook = self._outlook
        if progress.stage is Stage.SCORE or not with_room or not outlook.is_uneven(fitting):
            return self._loads.choose(with_room, (), pace_of)
        full = [one for one in fitting if self._loads.in_flight(one.incarnation) >= one.entry.slots]
        chosen = outlook.choose(with_room, full, progress)
        if chosen is not None:
            self._loads.acquire(chosen)
        return chosen

    def _moved_target(self, route: Route, progress: ItemProgress) -> Worker | None:
        """Take the place that a moved run was promised; its service has been charged for it."""
        if progress.stage is not Stage.TEXT or not progress.moved_to:
            return None
        for part in route.parts:
            for worker in self._fitting(part.service, progress):
                is_target = worker.incarnation == progress.moved_to
                if is_target and self._has_room(worker, progress):
                    self._loads.acquire(worker)
                    self._note_begun(worker, progress)
                    return worker
        return None

    def _note_begun(self, worker: Worker, progress: ItemProgress) -> None:
        if progress.stage is Stage.TEXT:
            self._attempts.refusals.started(worker.incarnation, progress.job.model)
            self._outlook.begun(worker, progress)
        self._attempts.failing.started(worker.incarnation, progress.item.id)

    def _fitting(self, service: str, progress: ItemProgress) -> list[Worker]:
        """Workers of a service that may run an item now, whether they have room or not.

        An item that failed goes to a worker that has not failed it, as long as there is one.
        """
        found = [
            worker
            for worker in self._workers.ready(service)
            if _fits(worker, progress) and not self._is_passed_over(worker)
        ]
        if self._policy.set_failing_aside:
            found = self._without_failing(found, service, progress)
        return found

    def _without_failing(
        self, workers: list[Worker], service: str, progress: ItemProgress
    ) -> list[Worker]:
        failed_at = progress.failed_at_now
        fellows = self._fellows(service)
        # An item that was failed often is none to try a failing worker by.
        is_trial = len(failed_at) < progress.route.max_attempts
        failing = self._attempts.failing
        alone = failing.left_alone(fellows)
        kept = [
            worker
            for worker in workers
            if worker.incarnation not in alone or (is_trial and failing.may_try(worker.incarnation))
        ]
        # With no other worker the item itself must find out when one is well again.
        kept = kept or [one for one in workers if failing.may_try(one.incarnation)]
        return [worker for worker in kept if worker.incarnation not in failed_at] or kept

    def _fellows(self, service: str) -> Collection[Incarnation]:
        return [worker.incarnation for worker in self._workers.ready(service)]

    def _is_passed_over(self, worker: Worker) -> bool:
        return self._policy.pass_over_failed and self._loads.is_penalized(worker.incarnation)

    def _has_room(self, worker: Worker, progress: ItemProgress) -> bool:
        if progress.stage is Stage.TEXT:
            model = progress.job.model
            refusals = self._attempts.refusals
            is_guarded = self._policy.guard_refusals
            if is_guarded and not refusals.may_start(worker.incarnation, model):
                return False
            if not self._outlook.has_memory(worker, progress):
                return False
        return self._loads.in_flight(worker.incarnation) < worker.entry.slots


def score_route(progress: ItemProgress, table: RouteTable) -> Route | None:
    """Return the route of the request that scores an item."""
    scorer = progress.item.scorer
    return table.find(scorer.host, scorer.path) if scorer is not None else None


def _fits(worker: Worker, progress: ItemProgress) -> bool:
    if progress.stage is not Stage.TEXT or not progress.job.model:
        return True
    version = worker.version_of(progress.job.model)
    if version is None:
        return True
    if progress.route.single_version and progress.versions:
        return version == progress.versions[-1]
    return version >= progress.job.minimum_version
