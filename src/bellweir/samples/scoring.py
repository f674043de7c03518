"""Scores committed samples, on few threads of its own, so that it holds no generation up."""

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from bellweir.clients.interface import PlatformClients, PlatformError, ScoreCall
from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.kernel.executors import Executors, ExecutorSaturatedError, WorkKind
from bellweir.ledger.interface import Ledger
from bellweir.samples.log_events import SCORER_FAILED
from bellweir.samples.messages import AttachScore

SCORING_CONCURRENCY = 32
"""Samples that one node scores at once."""
LONGEST_QUEUE = 256
"""Samples that wait to be scored, with their texts, on one node."""
SCORE_TIMEOUT_S = 30.0
SCORE_ATTEMPTS = 5
RETRY_PAUSE_S = 0.2
LONGEST_PAUSE_S = 10.0
LEDGER_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class ScoreJob:
    """A committed sample to be scored."""

    step_id: str
    slot: int
    attempt_id: str
    scorer: str
    """`host:port` of the scorer."""
    prompt: str
    text: str
    on_done: Callable[[bool], None]
    """Called once: whether the score is in the ledger."""


class ScoringQueue:
    """Runs score jobs in the order in which they came; a full queue refuses them."""

    def __init__(
        self, executors: Executors, clock: Clock, platform: PlatformClients, ledger: Ledger
    ) -> None:
        self._executors = executors
        self._clock = clock
        self._platform = platform
        self._ledger = ledger
        self._lock = threading.Lock()
        self._waiting: deque[ScoreJob] = deque()
        self._active = 0

    def submit(self, job: ScoreJob) -> None:
        """Score a sample as soon as one of the queue's threads is free.

        A job that finds the queue full is done at once, without a score: the step's coordinator
        scores it later from what is stored.
        """
        with self._lock:
            is_full = len(self._waiting) >= LONGEST_QUEUE
            if not is_full:
                self._waiting.append(job)
                if self._active >= SCORING_CONCURRENCY:
                    return
                self._active += 1
        if is_full:
            job.on_done(False)
            return
        try:
            self._executors.submit(WorkKind.GENERATION, self._work_off)
        except (ExecutorSaturatedError, RuntimeError):
            with self._lock:
                self._active -= 1
                refused = self._waiting.pop() if self._waiting else None
            if refused is not None:
                refused.on_done(False)

    def _work_off(self) -> None:
        while True:
            with self._lock:
                if not self._waiting:
                    self._active -= 1
                    return
                job = self._waiting.popleft()
            self._run(job)

    def _run(self, job: ScoreJob) -> None:
        is_scored = False
        try:
            score = self._ask(job)
            is_scored = score is not None and self._attach(job, score)
        finally:
            job.on_done(is_scored)

    def _ask(self, job: ScoreJob) -> float | None:
        """Ask the scorer, again after a failure; scoring may be repeated."""
        call = ScoreCall(f"{job.step_id}/{job.slot}", job.prompt, job.text)
        for attempt in range(SCORE_ATTEMPTS):
            scored: Result[float, PlatformError] = self._platform.scorer(job.scorer).score(
                call, SCORE_TIMEOUT_S
            )
            if isinstance(scored, Success):
                score: float = scored.unwrap()
                return score
            error: PlatformError = scored.failure()
            emit(
                SCORER_FAILED,
                step=job.step_id,
                slot=job.slot,
                scorer=job.scorer,
                error=error.detail,
            )
            pause_s = min(LONGEST_PAUSE_S, error.retry_after_s or RETRY_PAUSE_S * 2**attempt)
            if self._clock.wait(self._executors.stopping, pause_s):
                return None
        return None

    def _attach(self, job: ScoreJob, score: float) -> bool:
        command = AttachScore(job.step_id, job.slot, job.attempt_id, score)
        for _ in range(SCORE_ATTEMPTS):
            answer = self._ledger.submit(job.step_id, command, LEDGER_TIMEOUT_S)
            if not isinstance(answer, Failure):
                return True
            if self._clock.wait(self._executors.stopping, RETRY_PAUSE_S):
                return False
        return False
