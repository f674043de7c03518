"""How far behind the newest version trainers let their samples be, learnt from their jobs."""

from collections.abc import Callable, Iterable

from bellweir.events.log import emit
from bellweir.hosted.log_events import ALLOWANCE_LEARNT
from bellweir.hosted.weights.job_messages import NewestJob

LONGEST_LAG = 1
"""A longer allowance is not used: samples should be as fresh as loads allow."""


class VersionLags:
    """Compares each model's newest job with the version that was named when it came."""

    def __init__(self, jobs: Callable[[], Iterable[NewestJob]]) -> None:
        self._jobs = jobs
        self._newest: dict[str, str] = {}
        self._lags: dict[str, int] = {}

    def lag_of(self, model: str, named: int) -> int:
        """Versions behind `named` that the model's newest job allowed; 0 before the first job."""
        of_model = [job for job in self._jobs() if job.model == model]
        if not of_model:
            return self._lags.get(model, 0)
        newest = max(of_model, key=lambda job: (job.minimum_version, job.accepted_at_s))
        if self._newest.get(model) != newest.id:
            self._newest[model] = newest.id
            self._note(newest, named, min(LONGEST_LAG, max(0, named - newest.minimum_version)))
        return self._lags[model]

    def _note(self, job: NewestJob, named: int, lag: int) -> None:
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
