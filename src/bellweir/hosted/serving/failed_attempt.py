"""What follows from an attempt without a usable answer, for every kind of client request."""

from bellweir.events.log import emit
from bellweir.hosted.log_events import ATTEMPT_FAILED
from bellweir.hosted.serving.attempt import AttemptState
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.views.workers import Worker

CAUSES = {
    AttemptState.ANSWERED: "worker_failed",
    AttemptState.REFUSED: "workers_full",
    AttemptState.UNKNOWN: "no_answer",
    AttemptState.NOT_SENT: "not_reached",
}
"""Why a request is given up whose last attempt ended so; `ANSWERED` is a worker's own failure."""
LONGEST_DETAIL = 160
MS_PER_S = 1000


class FailedAttempt:
    """One attempt that gave no usable answer."""

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
        """`number` counts the sends of the request from 1; `milliseconds` is the time taken.

        A try that `is_timed_out` was given up here; one that `is_cancelled` ended with its client.
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
        """Release the worker's place with a verdict on the worker, log it, return the cause.

        A worker that answered at all is only passed over for a moment. One that was not reached
        or gave no answer is passed over longer, and longer still with each failure in a row. The
        end of a try whose client left tells nothing of the worker.
        """
        self._release(loads)
        emit(
            ATTEMPT_FAILED,
            request_id=self.request_id,
            attempt=self.number,
            instance=self.worker.instance,
            address=self.worker.address,
            outcome=self.state.value,
            detail=self.detail[:LONGEST_DETAIL],
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
