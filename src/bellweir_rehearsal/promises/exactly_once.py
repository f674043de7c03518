"""Promise: each sample reaches its trainer exactly once."""

from collections import defaultdict

from bellweir_rehearsal.promises.evidence import Evidence
from bellweir_rehearsal.promises.majority import majority_times
from bellweir_rehearsal.promises.verdict import Promise, Verdict
from bellweir_rehearsal.records.model import SampleReceived, StepDeclared

ENOUGH_MAJORITY_S = 15.0
"""Time with a majority of the ledger's replicas in which a step must come to its end; a step that
ended sooner must have had none for half of its time to be excused."""


def check_exactly_once(evidence: Evidence) -> Verdict:
    """Check each step's delivery order: one sample at each position, one position for each slot.

    A trainer may see a position again before it acknowledges it; it must be the same sample
    then. A step that ended without all of its slots has lost some, unless the kit itself kept the
    ledger without a majority for nearly all of its time.
    """
    verdict = Verdict(Promise.EXACTLY_ONCE, required=("steps", "samples"))
    by_step: dict[str, list[SampleReceived]] = defaultdict(list)
    for sample in evidence.samples:
        by_step[sample.step_id].append(sample)
    times = majority_times(evidence, evidence.first_data_nodes)
    for step_id, step in evidence.steps_declared.items():
        verdict.count("steps")
        _check_step(step, by_step.get(step_id, []), verdict)
        ended = evidence.steps_ended.get(step_id)
        if ended is not None and ended.received == ended.expected:
            continue
        ended_s = ended.time_s if ended is not None else evidence.last_s
        majority_s = times.seconds_between(step.sent_s, ended_s)
        most_of_it = majority_s > (ended_s - step.sent_s) / 2
        if evidence.first_data_nodes and majority_s < ENOUGH_MAJORITY_S and not most_of_it:
            verdict.count("steps without a majority of the ledger")
            continue
        received = ended.received if ended is not None else 0
        verdict.breach(
            step_id,
            f"{received} of {_slots(step)} samples ever reached it, with a majority for "
            f"{majority_s:.0f} s",
        )
    return verdict


def _check_step(step: StepDeclared, received: list[SampleReceived], verdict: Verdict) -> None:
    at_position: dict[int, SampleReceived] = {}
    for sample in received:
        first = at_position.setdefault(sample.position, sample)
        if first is sample:
            verdict.count("samples")
        else:
            verdict.count("samples seen again")
            if _content(first) != _content(sample):
                verdict.breach(
                    sample.sample_id,
                    f"position {sample.position} held {first.sample_id} before, or other contents",
                )
    position_of: dict[int, int] = {}
    for position, sample in sorted(at_position.items()):
        if not 0 <= sample.slot < _slots(step):
            verdict.breach(sample.sample_id, f"slot {sample.slot} of a step of {_slots(step)}")
        earlier = position_of.setdefault(sample.slot, position)
        if earlier != position:
            verdict.breach(
                sample.sample_id,
                f"slot {sample.slot} was delivered at positions {earlier} and {position}",
            )


def _slots(step: StepDeclared) -> int:
    return len(step.prompts) * step.samples_per_prompt


def _content(sample: SampleReceived) -> tuple[object, ...]:
    return sample.sample_id, sample.slot, sample.tokens, sample.versions
