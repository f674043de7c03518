"""Scores samples that nobody is scoring: those whose node died, or whose scorer kept failing."""

from collections.abc import Sequence

from returns.result import Success

from bellweir.kernel.clock import Clock
from bellweir.samples.attempt_table import KnownAttempt
from bellweir.samples.bulk import BulkStore, SampleContent
from bellweir.samples.interface import StepDeclaration
from bellweir.samples.records import SlotSample, StepRecord
from bellweir.samples.scoring import ScoreJob, ScoringQueue

RETRY_AFTER_S = 5.0
LARGEST_ROUND = 16
"""Samples taken up in one round."""
LEDGER_TIMEOUT_S = 1.0
NEVER_S = float("inf")


class Rescorer:
    """Watches for unscored samples; used by the coordinator's task."""

    def __init__(
        self, clock: Clock, bulk: BulkStore, scoring: ScoringQueue, orphan_after_s: float
    ) -> None:
        """A sample without a known attempt is left to its maker for `orphan_after_s`."""
        self._clock = clock
        self._bulk = bulk
        self._scoring = scoring
        self._orphan_after_s = orphan_after_s
        self._due_s: dict[str, float] = {}
        """By attempt: when to score it here; never while it is being scored."""
        self._step_of: dict[str, str] = {}

    def forget_all_but(self, step_ids: set[str]) -> None:
        """Drop what is kept for other steps."""
        for attempt_id in [key for key, step in self._step_of.items() if step not in step_ids]:
            del self._step_of[attempt_id]
            self._due_s.pop(attempt_id, None)

    def rescore(
        self, step: StepRecord, declaration: StepDeclaration, attempts: Sequence[KnownAttempt]
    ) -> None:
        """Score the step's orphaned samples."""
        if step.terms.scorer is None:
            return
        tended = {known.report.attempt_id for known in attempts}
        now_s = self._clock.monotonic_s()
        started = 0
        for number, slot in enumerate(step.slots):
            sample = slot.sample
            if sample is None:
                continue
            if sample.score is not None or sample.attempt_id in tended:
                self._due_s.pop(sample.attempt_id, None)
                self._step_of.pop(sample.attempt_id, None)
                continue
            self._step_of[sample.attempt_id] = step.terms.step_id
            due_s = self._due_s.setdefault(sample.attempt_id, now_s + self._orphan_after_s)
            if now_s >= due_s and started < LARGEST_ROUND:
                started += self._score(step, declaration, number, sample)

    def _score(
        self, step: StepRecord, declaration: StepDeclaration, slot: int, sample: SlotSample
    ) -> int:
        step_id = step.terms.step_id
        read = self._bulk.get(step_id, sample.content, SampleContent, LEDGER_TIMEOUT_S)
        if not isinstance(read, Success):
            return 0
        attempt_id = sample.attempt_id
        self._due_s[attempt_id] = NEVER_S
        self._scoring.submit(
            ScoreJob(
                step_id=step_id,
                slot=slot,
                attempt_id=attempt_id,
                scorer=step.terms.scorer or "",
                prompt=declaration.prompts[slot // step.terms.samples_per_prompt],
                text=read.unwrap().text,
                on_done=lambda is_scored: self._done(attempt_id, is_scored),
            )
        )
        return 1

    def _done(self, attempt_id: str, is_scored: bool) -> None:
        if is_scored:
            self._due_s.pop(attempt_id, None)
        else:
            self._due_s[attempt_id] = self._clock.monotonic_s() + RETRY_AFTER_S
