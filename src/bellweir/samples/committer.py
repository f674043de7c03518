"""Offers finished samples to the ledger until it has answered."""

from returns.result import Failure, Result, Success

from bellweir.kernel.clock import Clock
from bellweir.kernel.executors import Executors
from bellweir.ledger.interface import Ledger, LedgerError
from bellweir.samples.attempts import RunningAttempt
from bellweir.samples.bulk import BulkStore
from bellweir.samples.messages import CommitSample, Outcome, StepReply
from bellweir.samples.publications import PublicationClock
from bellweir.samples.tokens import SampleBuilder

LEDGER_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.2
COMMIT_PATIENCE_S = 300.0
"""A finished sample is offered for this long: it may have cost as much to make."""


class SampleCommitter:
    """Commits samples; repeats are safe, since a commit is known by its attempt's id."""

    def __init__(
        self,
        executors: Executors,
        clock: Clock,
        ledger: Ledger,
        bulk: BulkStore,
        publications: PublicationClock,
    ) -> None:
        self._executors = executors
        self._clock = clock
        self._ledger = ledger
        self._bulk = bulk
        self._publications = publications

    def commit(self, attempt: RunningAttempt, builder: SampleBuilder) -> Outcome | None:
        """Return what the ledger said; None when it gave no answer in all the time."""
        give_up_s = self._clock.monotonic_s() + COMMIT_PATIENCE_S
        while self._clock.monotonic_s() < give_up_s and not attempt.is_cancelled:
            answer = self._offer(attempt, builder)
            if isinstance(answer, Success):
                outcome: Outcome = answer.unwrap()
                return outcome
            if self._clock.wait(self._executors.stopping, RETRY_PAUSE_S):
                return None
        return None

    def _offer(
        self, attempt: RunningAttempt, builder: SampleBuilder
    ) -> Result[Outcome, LedgerError]:
        assignment = attempt.assignment
        stored = self._bulk.put(assignment.step_id, builder.content(), LEDGER_TIMEOUT_S)
        if isinstance(stored, Failure):
            return stored
        command = CommitSample(
            step_id=assignment.step_id,
            slot=assignment.slot,
            attempt_id=assignment.attempt_id,
            content=stored.unwrap(),
            segments=builder.segments(),
            score=None,
            observation=self._publications.observation(assignment.policy),
            replaces_attempt=assignment.replaces_attempt,
        )
        answer = self._ledger.submit(assignment.step_id, command, LEDGER_TIMEOUT_S)
        return answer.map(_outcome_of)


def _outcome_of(reply: object) -> Outcome:
    return reply.outcome if isinstance(reply, StepReply) else Outcome.MALFORMED
