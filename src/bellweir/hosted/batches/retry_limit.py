"""Decides when an item has failed too often to run again."""

from collections.abc import Callable, Collection

from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.batches.worker_quarantine import WorkerQuarantine
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import Route


class RetryLimit:
    """Compares the failures of an item, in this job and in earlier ones, with its routes."""

    __slots__ = ("_quarantine", "_workers_of")

    def __init__(
        self, quarantine: WorkerQuarantine, workers_of: Callable[[Route], Collection[Incarnation]]
    ) -> None:
        """`workers_of` returns the workers of a route; empty: none counts as failing."""
        self._quarantine = quarantine
        self._workers_of = workers_of

    def is_reached(self, progress: ItemProgress, scored_by: Route | None) -> bool:
        """Return whether an item must not run again; `scored_by` is its reward call's route.

        A reward call that may not be made again ends an item before its text is generated; what
        failed before a text was whole no longer matters.
        """
        if self._is_reached_in(progress, Stage.SCORING, scored_by):
            return True
        is_whole = progress.stage is not Stage.GENERATION
        return not is_whole and self._is_reached_in(progress, Stage.GENERATION, progress.route)

    def _is_reached_in(self, progress: ItemProgress, stage: Stage, route: Route | None) -> bool:
        failures = progress.failures_in(stage)
        if not failures or any(failure.is_final for failure in failures):
            return bool(failures)
        if route is None:
            return False
        return self._quarantine.has_exhausted_retries(
            [failure.worker for failure in failures],
            route.max_attempts,
            self._workers_of(route),
            has_failed_now=any(failure.job_id == progress.job.id for failure in failures),
        )
