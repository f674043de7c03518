"""Runs attempts at slots: generation through the dispatcher, commit to the ledger, scoring.

Generation holds one of the node's places; committing and scoring don't, so that a slow scorer
holds no generation up.
"""

import threading
from collections.abc import Callable
from concurrent.futures import Future

from returns.result import Failure, Result, Success

from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.kernel.executors import Executors, ExecutorSaturatedError, WorkKind
from bellweir.ledger.interface import Ledger, LedgerError
from bellweir.platform.interface import PlatformClients, ScoreCall
from bellweir.resources.models import RequestClass
from bellweir.routing.interface import (
    Dispatcher,
    GenerationRequest,
    Refusal,
    RefusalReason,
    RunState,
)
from bellweir.samples.attempts import Assignment, AttemptProgress, RunningAttempt
from bellweir.samples.bulk import BulkStore
from bellweir.samples.log_events import ATTEMPT_FAILED, COMMIT_REFUSED, SCORER_FAILED
from bellweir.samples.messages import AttachScore, CommitSample, Outcome, StepReply
from bellweir.samples.publications import PublicationClock
from bellweir.samples.tokens import SampleBuilder

LEDGER_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.2
COMMIT_PATIENCE_S = 120.0
"""A finished sample is offered to the ledger for this long; it cost more than that to make."""
SCORE_TIMEOUT_S = 30.0
SCORE_ATTEMPTS = 5

ENDED_EARLY = Refusal(RefusalReason.BACKEND_FAILED, RunState.UNKNOWN, "ended without a finish")
CANCELLED = Refusal(RefusalReason.DRAINING, RunState.UNKNOWN, "the attempt was cancelled")

FinishedListener = Callable[[Assignment, Refusal | None], None]


class AttemptRunner:
    """The attempts of one node."""

    def __init__(
        self,
        *,
        executors: Executors,
        clock: Clock,
        dispatcher: Dispatcher,
        ledger: Ledger,
        platform: PlatformClients,
        publications: PublicationClock,
        bulk: BulkStore,
        concurrency: int,
        on_finished: FinishedListener,
    ) -> None:
        self._executors = executors
        self._clock = clock
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._platform = platform
        self._publications = publications
        self._bulk = bulk
        self._concurrency = concurrency
        self._on_finished = on_finished
        self._lock = threading.Lock()
        self._generating: dict[str, RunningAttempt] = {}
        self._finishing: dict[str, RunningAttempt] = {}

    def free_places(self) -> int:
        """Generations that could be started now."""
        with self._lock:
            return max(0, self._concurrency - len(self._generating))

    def attempts(self) -> tuple[AttemptProgress, ...]:
        """Progress of all attempts, those being committed or scored included."""
        with self._lock:
            running = [*self._generating.values(), *self._finishing.values()]
        return tuple(attempt.progress() for attempt in running)

    def start(self, assignment: Assignment) -> bool:
        """Start an attempt; False when this node has no place for it."""
        attempt = RunningAttempt(assignment, self._clock.monotonic_s())
        with self._lock:
            if len(self._generating) >= self._concurrency:
                return False
            if (
                assignment.attempt_id in self._generating
                or assignment.attempt_id in self._finishing
            ):
                return True
            self._generating[assignment.attempt_id] = attempt
        return self._submit(attempt, self._generate)

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt; unknown ones are no error."""
        with self._lock:
            attempt = self._generating.get(attempt_id) or self._finishing.get(attempt_id)
        if attempt is not None:
            attempt.cancel()

    def cancel_all(self) -> None:
        """Cancel every attempt."""
        with self._lock:
            running = [*self._generating.values(), *self._finishing.values()]
        for attempt in running:
            attempt.cancel()

    def _submit(self, attempt: RunningAttempt, work: Callable[[RunningAttempt], None]) -> bool:
        try:
            future: Future[None] = self._executors.submit(WorkKind.GENERATION, work, attempt)
        except (ExecutorSaturatedError, RuntimeError):
            self._forget(attempt)
            return False
        future.add_done_callback(lambda done: self._forget_if_failed(attempt, done))
        return True

    def _forget(self, attempt: RunningAttempt) -> None:
        with self._lock:
            self._generating.pop(attempt.assignment.attempt_id, None)
            self._finishing.pop(attempt.assignment.attempt_id, None)

    def _forget_if_failed(self, attempt: RunningAttempt, future: "Future[None]") -> None:
        if future.cancelled() or future.exception() is not None:
            self._forget(attempt)

    def _finish(self, attempt: RunningAttempt, refusal: Refusal | None) -> None:
        self._forget(attempt)
        self._on_finished(attempt.assignment, refusal)

    def _generate(self, attempt: RunningAttempt) -> None:
        builder = SampleBuilder()
        ended = self._read_generation(attempt, builder)
        if isinstance(ended, Failure):
            self._report_failure(attempt, ended.failure())
            return
        attempt.note_committing()
        with self._lock:
            self._generating.pop(attempt.assignment.attempt_id, None)
            self._finishing[attempt.assignment.attempt_id] = attempt
        self._commit_and_score(attempt, builder)

    def _report_failure(self, attempt: RunningAttempt, refusal: Refusal) -> None:
        assignment = attempt.assignment
        if not attempt.is_cancelled:
            emit(
                ATTEMPT_FAILED,
                step=assignment.step_id,
                slot=assignment.slot,
                attempt=assignment.attempt_id,
                error=f"{refusal.reason.value}: {refusal.detail}",
            )
        self._finish(attempt, refusal)

    def _read_generation(
        self, attempt: RunningAttempt, builder: SampleBuilder
    ) -> Result[None, Refusal]:
        if attempt.is_cancelled:
            return Failure(CANCELLED)
        started = self._dispatcher.generate(self._request(attempt.assignment))
        if isinstance(started, Failure):
            return started
        generation = started.unwrap()
        attempt.attach(generation)
        for step in generation:
            if isinstance(step, Failure):
                return step
            chunk = step.unwrap()
            builder.add(chunk)
            attempt.note(builder.token_count, builder.oldest_version, chunk.worker)
            if attempt.is_cancelled:
                generation.cancel()
                return Failure(CANCELLED)
            if chunk.finish_reason is not None:
                return Success(None)
        return Failure(CANCELLED if attempt.is_cancelled else ENDED_EARLY)

    def _request(self, assignment: Assignment) -> GenerationRequest:
        return GenerationRequest(
            request_id=assignment.attempt_id,
            policy=assignment.policy,
            prompt=assignment.prompt,
            max_tokens=assignment.max_tokens,
            request_class=RequestClass.DRAFT,
            deadline_monotonic_s=self._deadline_s(assignment),
            caller=assignment.step_id,
            minimum_version=assignment.minimum_version,
            avoid_workers=assignment.avoid_workers,
        )

    def _deadline_s(self, assignment: Assignment) -> float | None:
        if assignment.ends_at_s is None:
            return None
        return self._clock.monotonic_s() + assignment.ends_at_s - self._clock.wall_s()

    def _commit_and_score(self, attempt: RunningAttempt, builder: SampleBuilder) -> None:
        assignment = attempt.assignment
        outcome = self._commit(attempt, builder)
        if outcome is not Outcome.DONE:
            emit(
                COMMIT_REFUSED,
                step=assignment.step_id,
                slot=assignment.slot,
                attempt=assignment.attempt_id,
                outcome=outcome.value if outcome is not None else "no answer",
            )
        elif assignment.scorer is not None:
            self.score(assignment, builder.content().text)
        self._finish(attempt, None)

    def _commit(self, attempt: RunningAttempt, builder: SampleBuilder) -> Outcome | None:
        """Offer the sample until the ledger answers; repeats are safe by the attempt's id."""
        assignment = attempt.assignment
        give_up_s = self._clock.monotonic_s() + COMMIT_PATIENCE_S
        while self._clock.monotonic_s() < give_up_s and not attempt.is_cancelled:
            answer = self._offer(assignment, builder)
            if isinstance(answer, Success):
                outcome: Outcome = answer.unwrap()
                return outcome
            if self._clock.wait(self._executors.stopping, RETRY_PAUSE_S):
                return None
        return None

    def _offer(
        self, assignment: Assignment, builder: SampleBuilder
    ) -> Result[Outcome, LedgerError]:
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

    def score(self, assignment: Assignment, text: str) -> bool:
        """Score a committed sample, with retries; False when the scorer gave no answer."""
        if assignment.scorer is None:
            return True
        call = ScoreCall(f"{assignment.step_id}/{assignment.slot}", assignment.prompt, text)
        scorer = self._platform.scorer(assignment.scorer)
        for attempt in range(SCORE_ATTEMPTS):
            scored = scorer.score(call, SCORE_TIMEOUT_S)
            if isinstance(scored, Success):
                return self._attach_score(assignment, scored.unwrap())
            error = scored.failure()
            emit(
                SCORER_FAILED,
                step=assignment.step_id,
                slot=assignment.slot,
                scorer=assignment.scorer,
                error=error.detail,
            )
            pause_s = error.retry_after_s or RETRY_PAUSE_S * 2**attempt
            if self._clock.wait(self._executors.stopping, pause_s):
                return False
        return False

    def _attach_score(self, assignment: Assignment, score: float) -> bool:
        command = AttachScore(assignment.step_id, assignment.slot, assignment.attempt_id, score)
        for _ in range(SCORE_ATTEMPTS):
            answer = self._ledger.submit(assignment.step_id, command, LEDGER_TIMEOUT_S)
            if isinstance(answer, Success):
                return True
            if self._clock.wait(self._executors.stopping, RETRY_PAUSE_S):
                return False
        return False


def _outcome_of(reply: object) -> Outcome:
    return reply.outcome if isinstance(reply, StepReply) else Outcome.MALFORMED
