"""Handling of failed attempts: worker statistics, log line and cause of the failure."""

from bellweir.events.log import emit
from bellweir.hosted.crashes.interface import RunEnd
from bellweir.hosted.log_events import ATTEMPT_FAILED
from bellweir.hosted.serving.attempt import AttemptOutcome, AttemptState
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.views.workers import Worker

CAUSES = {
    AttemptState.ANSWERED: "worker_failed",
    AttemptState.REFUSED: "workers_full",
    AttemptState.UNKNOWN: "no_answer",
    AttemptState.NOT_SENT: "not_reached",
}
"""Cause reported if the last attempt ends in a state; `ANSWERED` means a 5xx of the worker."""
UNANSWERED = frozenset({AttemptState.UNKNOWN, AttemptState.NOT_SENT})
MAX_DETAIL_CHARS = 160
SERVER_ERROR = 500
MS_PER_S = 1000


class FailedAttempt:
    """An attempt without a usable response."""

    __slots__ = (
        "detail",
        "is_cancelled",
        "is_timed_out",
        "milliseconds",
        "number",
        "request_id",
        "state",
        "worker",
    )

    def __init__(
        self,
        request_id: str,
        number: int,
        worker: Worker,
        state: AttemptState,
        detail: str,
        milliseconds: int,
        *,
        is_timed_out: bool = False,
        is_cancelled: bool = False,
    ) -> None:
        """`number` counts the attempts of the request from 1; `milliseconds` is the time taken.

        `is_timed_out`: the attempt timeout expired; `is_cancelled`: the client disconnected.
        """
        self.is_timed_out = is_timed_out
        self.is_cancelled = is_cancelled
        self.request_id = request_id
        self.number = number
        self.worker = worker
        self.state = state
        self.detail = detail
        self.milliseconds = milliseconds

    def record(self, loads: WorkerLoads) -> str:
        """Record the failure at the worker, log it and return its cause.

        A worker that responded gets a short penalty. One that was not reached or did not respond
        gets a longer one, which grows with consecutive failures. A cancelled attempt says nothing
        about the worker.
        """
        self._release(loads)
        if self.state in UNANSWERED and not self.is_cancelled:
            loads.eligibility.note_unanswered(self.worker)
        emit(
            ATTEMPT_FAILED,
            request_id=self.request_id,
            attempt=self.number,
            instance=self.worker.instance,
            address=self.worker.address,
            outcome=self.state.value,
            detail=self.detail[:MAX_DETAIL_CHARS],
            ms=self.milliseconds,
        )
        return CAUSES[self.state]

    def _release(self, loads: WorkerLoads) -> None:
        incarnation = self.worker.incarnation
        if self.state is AttemptState.ANSWERED:
            loads.record_error_response(incarnation)
        elif self.state is AttemptState.REFUSED:
            loads.record_refusal(incarnation)
        elif self.is_cancelled:
            loads.release(incarnation)
        elif self.is_timed_out:
            loads.record_timeout(incarnation, self.milliseconds / MS_PER_S)
        else:
            loads.record_failure(incarnation)


def run_end(outcome: AttemptOutcome, *, is_cancelled: bool) -> RunEnd:
    """Return what the outcome of an attempt says of the request that it ran."""
    if outcome.state is AttemptState.ANSWERED:
        has_failed = outcome.response is not None and outcome.response.status >= SERVER_ERROR
        return RunEnd.OTHER if has_failed else RunEnd.SURVIVED
    if outcome.state in (AttemptState.REFUSED, AttemptState.NOT_SENT):
        return RunEnd.NOT_RUN
    is_broken = outcome.state is AttemptState.UNKNOWN and outcome.ended_by_worker
    return RunEnd.BROKEN if is_broken and not is_cancelled else RunEnd.OTHER
