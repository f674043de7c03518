"""Derives from batch jobs how many versions behind the newest one trainers accept samples."""

from collections.abc import Callable, Iterable

from bellweir.events.log import emit
from bellweir.hosted.log_events import ALLOWANCE_LEARNT
from bellweir.hosted.weights.job_messages import NewestJob

MAX_LAG = 1


class VersionLags:
    """Allowed version lag by model: newest version minus the newest job's minimum version."""

    def __init__(self, jobs: Callable[[], Iterable[NewestJob]]) -> None:
        self._jobs = jobs
        self._newest_job_ids: dict[str, str] = {}
        self._lags: dict[str, int] = {}

    def lag_of(self, model: str, named: int) -> int:
        """Return the lag that the model's newest job allowed; 0 before the first job.

        `named` is the newest published version. The lag is computed once for each job, when the
        job is first seen.
        """
        of_model = [job for job in self._jobs() if job.model == model]
        if not of_model:
            return self._lags.get(model, 0)
        newest = max(of_model, key=lambda job: (job.minimum_version, job.accepted_at_s))
        if self._newest_job_ids.get(model) != newest.id:
            self._newest_job_ids[model] = newest.id
            self._record_lag(newest, named, min(MAX_LAG, max(0, named - newest.minimum_version)))
        return self._lags[model]

    def _record_lag(self, job: NewestJob, named: int, lag: int) -> None:
        if self._lags.get(job.model) != lag:
            emit(
                ALLOWANCE_LEARNT,
                model=job.model,
                lag=lag,
                job=job.id,
                named=named,
                minimum_version=job.minimum_version,
            )
        self._lags[job.model] = lag
