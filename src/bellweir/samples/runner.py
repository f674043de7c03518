"""Runs attempts at slots: generation through the dispatcher, commit to the ledger, scoring.

Generation holds one of the node's places; committing and scoring don't.
"""

import threading
from collections.abc import Callable
from concurrent.futures import Future

from returns.result import Failure, Result, Success

from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.kernel.executors import Executors, ExecutorSaturatedError, WorkKind
from bellweir.resources.models import RequestClass
from bellweir.routing.interface import (
    Dispatcher,
    Generation,
    GenerationRequest,
    Refusal,
    RefusalReason,
    RunState,
)
from bellweir.samples.attempts import (
    Assignment,
    AttemptEnd,
    AttemptReport,
    Partial,
    RunningAttempt,
)
from bellweir.samples.backoffs import CANCELLED as CANCELLED_ATTEMPT
from bellweir.samples.bulk import BulkStore, SampleContent
from bellweir.samples.committer import SampleCommitter
from bellweir.samples.log_events import ATTEMPT_FAILED, COMMIT_REFUSED
from bellweir.samples.messages import Outcome
from bellweir.samples.scoring import ScoreJob, ScoringQueue
from bellweir.samples.start_window import StartWindow
from bellweir.samples.tokens import SampleBuilder

HAND_OVER_S = 5.0
"""Time for handing attempts over and for commits in hand at a planned stop."""
DRAIN_POLL_S = 0.05
BULK_TIMEOUT_S = 2.0
MOVE_ATTEMPTS = 5
MOVE_PAUSE_S = 0.2

ENDED_EARLY = Refusal(RefusalReason.BACKEND_FAILED, RunState.UNKNOWN, "ended without a finish")
CANCELLED = Refusal(RefusalReason.DRAINING, RunState.UNKNOWN, "the attempt was cancelled")

EndListener = Callable[[AttemptEnd], None]


class AttemptRunner:
    """The attempts of one node."""

    def __init__(
        self,
        *,
        executors: Executors,
        clock: Clock,
        dispatcher: Dispatcher,
        bulk: BulkStore,
        committer: SampleCommitter,
        scoring: ScoringQueue,
        concurrency: int,
        drain_patience_s: float,
        on_end: EndListener,
    ) -> None:
        self._executors = executors
        self._clock = clock
        self._dispatcher = dispatcher
        self._bulk = bulk
        self._committer = committer
        self._scoring = scoring
        self._window = StartWindow(concurrency)
        self._drain_patience_s = drain_patience_s
        self._on_end = on_end
        self._lock = threading.Lock()
        self._generating: dict[str, RunningAttempt] = {}
        self._finishing: dict[str, RunningAttempt] = {}
        self._is_draining = False

    def free_places(self) -> int:
        """Generations that could be started now."""
        with self._lock:
            return self._free_places()

    def _free_places(self) -> int:
        if self._is_draining:
            return 0
        now_s = self._clock.monotonic_s()
        waits_s = [
            now_s - attempt.started_s
            for attempt in self._generating.values()
            if not attempt.has_tokens
        ]
        return self._window.places(now_s, len(self._generating), waits_s)

    def reports(self) -> tuple[AttemptReport, ...]:
        """Progress of all attempts, those being committed or scored included."""
        now_s = self._clock.monotonic_s()
        return tuple(attempt.report(now_s) for attempt in self._all())

    def _all(self) -> list[RunningAttempt]:
        with self._lock:
            return [*self._generating.values(), *self._finishing.values()]

    def _find(self, attempt_id: str) -> RunningAttempt | None:
        with self._lock:
            return self._generating.get(attempt_id) or self._finishing.get(attempt_id)

    def start(self, assignment: Assignment) -> bool:
        """Start an attempt; False when this node has no place for it."""
        attempt = RunningAttempt(assignment, self._clock.monotonic_s())
        with self._lock:
            if assignment.attempt_id in self._generating | self._finishing:
                return True
            if self._free_places() == 0:
                return False
            self._generating[assignment.attempt_id] = attempt
        try:
            future = self._executors.submit(WorkKind.GENERATION, self._run, attempt)
        except (ExecutorSaturatedError, RuntimeError):
            self._forget(attempt)
            return False
        future.add_done_callback(lambda done: self._forget_if_raised(attempt, done))
        return True

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt; unknown ones are no error."""
        attempt = self._find(attempt_id)
        if attempt is not None:
            attempt.cancel()

    def move(self, attempt_id: str) -> None:
        """Move an attempt to another engine; unknown ones are no error."""
        attempt = self._find(attempt_id)
        if attempt is not None:
            attempt.move()

    def drain(self, deadline_s: float) -> None:
        """Take no new attempts; let those end that soon do, and hand the others over.

        Bounded whatever other nodes do: nobody waits for a draft at a planned stop.
        """
        with self._lock:
            self._is_draining = True
        began_s = self._clock.monotonic_s()
        self._wait_until_idle(began_s + min(deadline_s, self._drain_patience_s))
        with self._lock:
            generating = list(self._generating.values())
        for attempt in generating:
            attempt.hand_over()
        longest_s = self._drain_patience_s + HAND_OVER_S
        self._wait_until_idle(began_s + min(deadline_s, longest_s))

    def _wait_until_idle(self, end_s: float) -> None:
        while self._all() and self._clock.monotonic_s() < end_s:
            if self._clock.wait(self._executors.stopping, DRAIN_POLL_S):
                return

    def cancel_all(self) -> None:
        """Cancel every attempt."""
        for attempt in self._all():
            attempt.cancel()

    def _forget(self, attempt: RunningAttempt) -> None:
        with self._lock:
            self._generating.pop(attempt.assignment.attempt_id, None)
            self._finishing.pop(attempt.assignment.attempt_id, None)

    def _forget_if_raised(self, attempt: RunningAttempt, future: "Future[None]") -> None:
        if future.cancelled() or future.exception() is not None:
            self._end(attempt, "raised")

    def _end(
        self,
        attempt: RunningAttempt,
        failure: str | None,
        retry_after_s: float | None = None,
        partial: Partial | None = None,
    ) -> None:
        assignment = attempt.assignment
        self._forget(attempt)
        self._on_end(
            AttemptEnd(
                step_id=assignment.step_id,
                slot=assignment.slot,
                attempt_id=assignment.attempt_id,
                failure=failure,
                tokens=attempt.tokens,
                tokens_per_s=attempt.tokens_per_s,
                retry_after_s=retry_after_s,
                partial=partial,
            )
        )

    def _run(self, attempt: RunningAttempt) -> None:
        builder = self._begin(attempt.assignment)
        ended = self._generate(attempt, builder)
        if isinstance(ended, Failure):
            self._report_failure(attempt, builder, ended.failure())
            return
        attempt.note_committing()
        with self._lock:
            self._generating.pop(attempt.assignment.attempt_id, None)
            self._finishing[attempt.assignment.attempt_id] = attempt
        self._commit(attempt, builder)

    def _begin(self, assignment: Assignment) -> SampleBuilder:
        """Take up what another node had; begin anew when it can't be read."""
        builder = SampleBuilder()
        partial = assignment.partial
        if partial is not None:
            read = self._bulk.get(
                assignment.step_id, partial.content, SampleContent, BULK_TIMEOUT_S
            )
            if isinstance(read, Success):
                builder.resume(read.unwrap(), partial.segments)
        return builder

    def _store_partial(self, attempt: RunningAttempt, builder: SampleBuilder) -> Partial | None:
        if not attempt.is_handed_over or builder.token_count == 0:
            return None
        stored = self._bulk.put(attempt.assignment.step_id, builder.content(), BULK_TIMEOUT_S)
        if isinstance(stored, Failure):
            return None
        return Partial(stored.unwrap(), builder.segments())

    def _report_failure(
        self, attempt: RunningAttempt, builder: SampleBuilder, refusal: Refusal
    ) -> None:
        assignment = attempt.assignment
        if attempt.is_cancelled:
            self._end(attempt, CANCELLED_ATTEMPT, partial=self._store_partial(attempt, builder))
            return
        error = f"{refusal.reason.value}: {refusal.detail}"
        emit(
            ATTEMPT_FAILED,
            step=assignment.step_id,
            slot=assignment.slot,
            attempt=assignment.attempt_id,
            error=error,
        )
        self._end(attempt, error, refusal.retry_after_s)

    def _generate(self, attempt: RunningAttempt, builder: SampleBuilder) -> Result[None, Refusal]:
        """Read one generation to its end, on as many engines as it is moved to."""
        avoided = attempt.assignment.avoid_workers
        refusals = 0
        while not attempt.is_cancelled:
            started = self._dispatcher.generate(self._request(attempt, builder, avoided))
            if isinstance(started, Failure):
                refusals += 1
                if builder.token_count == 0 or refusals > MOVE_ATTEMPTS:
                    return started
                # Refused after a move: the tokens had are worth another try, anywhere.
                avoided = ()
                self._clock.wait(self._executors.stopping, MOVE_PAUSE_S)
                continue
            generation: Generation = started.unwrap()
            attempt.attach(generation)
            ended = self._read(attempt, builder, generation)
            left_worker = attempt.take_move()
            if isinstance(ended, Success) or left_worker is None:
                return ended
            avoided = (*avoided, left_worker)
        return Failure(CANCELLED)

    def _read(
        self, attempt: RunningAttempt, builder: SampleBuilder, generation: Generation
    ) -> Result[None, Refusal]:
        is_whole = False
        # Read to its very end, also behind the last chunk: the dispatcher books the end there.
        for result in generation:
            if isinstance(result, Failure):
                return Success(None) if is_whole else result
            chunk = result.unwrap()
            builder.add(chunk)
            attempt.note(builder, chunk.worker, self._clock.monotonic_s())
            is_whole = chunk.finish_reason is not None
        return Success(None) if is_whole else Failure(ENDED_EARLY)

    def _request(
        self, attempt: RunningAttempt, builder: SampleBuilder, avoided: tuple[str, ...]
    ) -> GenerationRequest:
        assignment = attempt.assignment
        return GenerationRequest(
            request_id=assignment.attempt_id,
            policy=assignment.policy,
            prompt=assignment.prompt,
            max_tokens=assignment.max_tokens,
            request_class=RequestClass.DRAFT,
            deadline_monotonic_s=self._deadline_s(assignment),
            caller=assignment.step_id,
            minimum_version=assignment.minimum_version,
            prefix_tokens=builder.tokens(),
            avoid_workers=avoided,
            seed=assignment.seed,
        )

    def _deadline_s(self, assignment: Assignment) -> float | None:
        if assignment.ends_at_s is None:
            return None
        return self._clock.monotonic_s() + assignment.ends_at_s - self._clock.wall_s()

    def _commit(self, attempt: RunningAttempt, builder: SampleBuilder) -> None:
        assignment = attempt.assignment
        outcome = self._committer.commit(attempt, builder)
        if outcome is not Outcome.DONE:
            emit(
                COMMIT_REFUSED,
                step=assignment.step_id,
                slot=assignment.slot,
                attempt=assignment.attempt_id,
                outcome=outcome.value if outcome is not None else "no answer",
            )
        if outcome is not Outcome.DONE or assignment.scorer is None:
            self._end(attempt, None)
            return
        self._scoring.submit(
            ScoreJob(
                step_id=assignment.step_id,
                slot=assignment.slot,
                attempt_id=assignment.attempt_id,
                scorer=assignment.scorer,
                prompt=assignment.prompt,
                text=builder.content().text,
                on_done=lambda _is_scored: self._end(attempt, None),
            )
        )
