"""Calls on a step in the ledger, repeated while their outcome is unknown: all are idempotent."""

from collections.abc import Callable
from typing import TypeVar

from returns.result import Failure, Result, Success

from bellweir.kernel.node import Kernel
from bellweir.ledger.interface import Command, Ledger, LedgerError, LedgerErrorKind, Query, Reply
from bellweir.samples.interface import StepError, StepErrorKind, StepStatus
from bellweir.samples.messages import Outcome, StepReply

CALL_TIMEOUT_S = 5.0
"""Time for one call of the trainers' interface besides its long poll."""
RETRY_PAUSE_S = 0.05
RETRY_AFTER_S = 1.0

Answer = TypeVar("Answer")


class StepCalls:
    """Submits commands and asks queries on steps."""

    def __init__(self, kernel: Kernel, ledger: Ledger) -> None:
        self._clock = kernel.clock
        self._stopping = kernel.executors.stopping
        self._ledger = ledger

    def submit(self, step_id: str, command: Command) -> Result[StepStatus, StepError]:
        """Submit a command; the step's progress after it."""
        answer = self.retry(lambda left_s: self._ledger.submit(step_id, command, left_s))
        if isinstance(answer, Failure):
            return answer
        return status_result(step_id, answer.unwrap())

    def ask(self, step_id: str, query: Query) -> Result[Reply, StepError]:
        """Ask a query."""
        return self.retry(lambda left_s: self._ledger.ask(step_id, query, left_s))

    def retry(
        self, call: Callable[[float], Result[Answer, LedgerError]]
    ) -> Result[Answer, StepError]:
        """Repeat an idempotent call, given the seconds left, until it succeeds or time is up."""
        deadline_s = self._clock.monotonic_s() + CALL_TIMEOUT_S
        while True:
            answer = call(max(RETRY_PAUSE_S, deadline_s - self._clock.monotonic_s()))
            if isinstance(answer, Success):
                return Success(answer.unwrap())
            is_late = self._clock.monotonic_s() + RETRY_PAUSE_S >= deadline_s
            if is_late or self._clock.wait(self._stopping, RETRY_PAUSE_S):
                return Failure(unavailable(answer.failure()))


def status_result(step_id: str, reply: Reply) -> Result[StepStatus, StepError]:
    """Map the ledger's outcome to the trainers' interface."""
    if not isinstance(reply, StepReply) or reply.status is None:
        return Failure(not_found(step_id))
    if reply.outcome is Outcome.CONFLICT:
        detail = "the step was declared before with other contents"
        return Failure(StepError(StepErrorKind.CONFLICT, detail))
    if reply.outcome is Outcome.MALFORMED:
        return Failure(StepError(StepErrorKind.INVALID, "a number is out of range"))
    if reply.outcome is Outcome.ENDED:
        detail = f"the step is {reply.status.state.value}"
        return Failure(StepError(StepErrorKind.CONFLICT, detail))
    return Success(reply.status)


def not_found(step_id: str) -> StepError:
    """No such step, or it ended so long ago that it was forgotten."""
    return StepError(StepErrorKind.NOT_FOUND, f"no step {step_id!r}")


def unavailable(error: LedgerError) -> StepError:
    """The ledger gave no answer in time."""
    kind = "may have been recorded" if error.kind is LedgerErrorKind.UNKNOWN else "not recorded"
    return StepError(StepErrorKind.UNAVAILABLE, f"{kind}: {error.detail}", RETRY_AFTER_S)
