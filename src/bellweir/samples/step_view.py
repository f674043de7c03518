"""One step as its coordinator sees it in one round: slots, attempts and beliefs put together."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from bellweir.samples.attempt_table import KnownAttempt
from bellweir.samples.attempts import Partial
from bellweir.samples.cadence import VersionCadence, cadence_of
from bellweir.samples.estimates import LengthBelief, LengthEstimator
from bellweir.samples.interface import StepDeclaration
from bellweir.samples.messages import Publication
from bellweir.samples.records import StepRecord
from bellweir.samples.staleness import merge_publications
from bellweir.samples.tail import WaitingSlot, in_starting_order, median_rate
from bellweir.samples.tokens import total_tokens

KEPT_RATES = 32


@dataclass
class StepMemory:
    """What a coordinator remembers of a step between rounds; lost with it, and then learnt anew."""

    declaration: StepDeclaration
    observed_commits: int = 0
    """Commits whose lengths the estimator has taken up."""
    longest_attempt: dict[int, int] = field(default_factory=dict)
    """Tokens that an ended attempt of a slot had, by slot."""
    partials: dict[int, Partial] = field(default_factory=dict)
    """What stopping nodes handed over, by slot, until somebody goes on with it."""
    ended_rates: deque[float] = field(default_factory=lambda: deque(maxlen=KEPT_RATES))
    """Tokens a second of attempts that ended lately: near a step's end the running ones are the
    slow ones, and tell nothing of what is usual."""
    duplicates: int = 0
    """Second attempts started."""
    next_renewals_s: float = 0.0
    """On the monotonic clock: when to look for samples to renew again."""
    next_estimate_s: float = 0.0
    """On the monotonic clock: when to estimate the step's end again."""
    expected_end_s: float | None = None
    running: int = 0


@dataclass(frozen=True)
class StepView:
    """A round's view of one step."""

    step: StepRecord
    memory: StepMemory
    attempts: tuple[KnownAttempt, ...]
    estimator: LengthEstimator
    cadence: VersionCadence
    usual_rate: float
    """Median tokens a second of the step's attempts, running and lately ended."""
    by_slot: dict[int, list[KnownAttempt]]
    _beliefs: dict[int, LengthBelief] = field(default_factory=dict)
    """By prompt index; worked out once in a round."""

    def prompt_of(self, slot: int) -> str:
        """Prompt of a slot."""
        return self.memory.declaration.prompts[slot // self.step.terms.samples_per_prompt]

    def belief(self, slot: int) -> LengthBelief:
        """Belief about a slot's length."""
        prompt_index = slot // self.step.terms.samples_per_prompt
        belief = self._beliefs.get(prompt_index)
        if belief is None:
            belief = self.estimator.believe(self.prompt_of(slot), self.step.terms.max_tokens)
            self._beliefs[prompt_index] = belief
        return belief

    def losers(self) -> Iterator[KnownAttempt]:
        """Attempts at slots that hold another attempt's sample and that replace nothing."""
        for known in self.attempts:
            sample = self.step.slots[known.report.slot].sample
            if sample is None or known.report.is_committing:
                continue
            if sample.attempt_id == known.report.attempt_id:
                continue
            is_replacement = sample.attempt_id == known.report.replaces_attempt
            is_delivered = self.step.slots[known.report.slot].delivered
            if is_delivered or not is_replacement:
                yield known

    def waiting(self) -> list[WaitingSlot]:
        """Slots without a sample and without an attempt, in starting order."""
        per_prompt = self.step.terms.samples_per_prompt
        waiting: list[WaitingSlot] = []
        for number, slot in enumerate(self.step.slots):
            if slot.sample is not None or number in self.by_slot:
                continue
            prompt_index, sample_index = divmod(number, per_prompt)
            at_least = self.memory.longest_attempt.get(number, 0)
            belief = self.belief(number)
            waiting.append(WaitingSlot(number, prompt_index, sample_index, belief, at_least))
        return in_starting_order(waiting)


def observe_lengths(step: StepRecord, memory: StepMemory, estimator: LengthEstimator) -> None:
    """Let the estimator take up the samples committed since the last round."""
    if step.commits == memory.observed_commits:
        return
    per_prompt = step.terms.samples_per_prompt
    for number, slot in enumerate(step.slots):
        sample = slot.sample
        if sample is not None and sample.commit_order >= memory.observed_commits:
            prompt = memory.declaration.prompts[number // per_prompt]
            estimator.observe(prompt, total_tokens(sample.segments))
    memory.observed_commits = step.commits


def view_of(
    step: StepRecord,
    memory: StepMemory,
    attempts: list[KnownAttempt],
    estimator: LengthEstimator,
    publications: tuple[Publication, ...],
) -> StepView:
    """Put a round's view together; `publications` are this node's, maybe newer than the step's."""
    merged = merge_publications(step.publications, publications)
    by_slot: dict[int, list[KnownAttempt]] = {}
    for known in attempts:
        by_slot.setdefault(known.report.slot, []).append(known)
    return StepView(
        step=step,
        memory=memory,
        attempts=tuple(attempts),
        estimator=estimator,
        cadence=cadence_of(merged),
        usual_rate=median_rate(
            [*memory.ended_rates, *(known.report.tokens_per_s for known in attempts)]
        ),
        by_slot=by_slot,
    )
