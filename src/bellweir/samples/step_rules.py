"""The rules of a step, applied in the ledger's one order; see `StepMachine`."""

from bellweir.routing.interface import Segment
from bellweir.samples.interface import StepState, StepStatus
from bellweir.samples.messages import (
    AcknowledgeSamples,
    AttachScore,
    CommitSample,
    DeliveredSample,
    GrantLeases,
    HandOver,
    Observation,
    Outcome,
    ReadSamples,
    SamplesReply,
)
from bellweir.samples.records import SlotLease, SlotRecord, SlotSample, StepRecord
from bellweir.samples.staleness import (
    is_fresh,
    merge_publications,
    oldest_admissible,
    oldest_version,
)

MAXIMUM_LEASES_PER_SLOT = 4
"""Attempts of one slot that the ledger remembers; older ones are forgotten first."""


def observe(step: StepRecord, observation: Observation) -> Outcome:
    """Take up time and publications: aged samples are dropped, a late step expires."""
    step.now_s = max(step.now_s, observation.now_s)
    step.publications = merge_publications(step.publications, observation.publications)
    _expire(step)
    _drop_aged(step)
    return Outcome.DONE


def _expire(step: StepRecord) -> None:
    if step.is_running and step.ends_at_s is not None and step.now_s >= step.ends_at_s:
        _end(step, StepState.EXPIRED)


def _end(step: StepRecord, state: StepState) -> None:
    step.state = state
    step.ended_at_s = step.now_s
    for slot in step.slots:
        slot.leases.clear()


def _drop_aged(step: StepRecord) -> None:
    floor = oldest_admissible(step.bound, step.publications, step.now_s)
    if floor == step.swept_below:
        return
    step.swept_below = floor
    for slot in step.slots:
        if slot.sample is None or slot.delivered:
            continue
        if not _is_fresh(step, slot.sample.segments):
            slot.sample = None
            slot.generation += 1
            step.regenerated += 1


def _is_fresh(step: StepRecord, segments: tuple[Segment, ...]) -> bool:
    return is_fresh(oldest_version(segments), step.bound, step.publications, step.now_s)


def grant(step: StepRecord, command: GrantLeases) -> Outcome:
    """Record leases."""
    observe(step, command.observation)
    if not step.is_running:
        return Outcome.ENDED
    if any(not 0 <= grant.slot < len(step.slots) for grant in command.grants):
        return Outcome.MALFORMED
    for grant in command.grants:
        leases = step.slots[grant.slot].leases
        leases[:] = [lease for lease in leases if lease.attempt_id != grant.attempt_id]
        leases.append(SlotLease(command.holder, grant.attempt_id, command.expires_at_s))
        del leases[:-MAXIMUM_LEASES_PER_SLOT]
    return Outcome.DONE


def commit(step: StepRecord, command: CommitSample) -> Outcome:
    """Fill a slot, unless it is filled, or the sample too old."""
    observe(step, command.observation)
    if not 0 <= command.slot < len(step.slots) or not _are_contiguous(command.segments):
        return Outcome.MALFORMED
    slot = step.slots[command.slot]
    if slot.sample is not None and slot.sample.attempt_id == command.attempt_id:
        return Outcome.DONE
    if not step.is_running:
        return Outcome.ENDED
    if slot.sample is not None and not _may_replace(slot, command):
        return Outcome.DUPLICATE
    minimum = step.terms.minimum_version
    if minimum is not None and oldest_version(command.segments) < minimum:
        return Outcome.TOO_OLD
    if not _is_fresh(step, command.segments):
        return Outcome.STALE
    _fill(step, slot, command)
    return Outcome.DONE


def _are_contiguous(segments: tuple[Segment, ...]) -> bool:
    position = 0
    for segment in segments:
        if segment.first_token != position or segment.token_count < 0:
            return False
        position += segment.token_count
    return bool(segments)


def _may_replace(slot: SlotRecord, command: CommitSample) -> bool:
    if slot.delivered or slot.sample is None:
        return False
    is_named = slot.sample.attempt_id == command.replaces_attempt
    return is_named and oldest_version(command.segments) > oldest_version(slot.sample.segments)


def _fill(step: StepRecord, slot: SlotRecord, command: CommitSample) -> None:
    if slot.sample is not None:
        slot.generation += 1
        step.regenerated += 1
    slot.sample = SlotSample(
        attempt_id=command.attempt_id,
        generation=slot.generation,
        content=command.content,
        segments=command.segments,
        score=command.score,
        commit_order=step.commits,
    )
    slot.leases.clear()
    step.commits += 1


def attach_score(step: StepRecord, command: AttachScore) -> Outcome:
    """Record a score; the first one stays."""
    if not 0 <= command.slot < len(step.slots):
        return Outcome.MALFORMED
    if not step.is_running:
        return Outcome.ENDED
    sample = step.slots[command.slot].sample
    if sample is None or sample.attempt_id != command.attempt_id:
        return Outcome.DUPLICATE
    if sample.score is None:
        sample.score = command.score
    return Outcome.DONE


def _is_deliverable(step: StepRecord, slot: SlotRecord) -> bool:
    if slot.sample is None or slot.delivered:
        return False
    return step.terms.scorer is None or slot.sample.score is not None


def _deliverable(step: StepRecord) -> list[int]:
    """Slots that can be handed over, in the order of their commits."""
    ready = [
        (slot.sample.commit_order, number)
        for number, slot in enumerate(step.slots)
        if slot.sample is not None and _is_deliverable(step, slot)
    ]
    return [number for _, number in sorted(ready)]


def hand_over(step: StepRecord, command: HandOver) -> Outcome:
    """Fix the next samples in delivery order."""
    observe(step, command.observation)
    if step.state is StepState.CANCELLED:
        return Outcome.ENDED
    if command.cursor != len(step.delivery) or command.limit < 1:
        return Outcome.DUPLICATE
    chosen = _deliverable(step)[: command.limit]
    if not chosen:
        return Outcome.DONE
    for number in chosen:
        step.slots[number].delivered = True
    step.delivery.extend(chosen)
    step.batch_ends.append(len(step.delivery))
    return Outcome.DONE


def acknowledge(step: StepRecord, command: AcknowledgeSamples) -> Outcome:
    """Move the acknowledged cursor; the last one completes the step."""
    if not 0 <= command.cursor <= len(step.delivery):
        return Outcome.MALFORMED
    step.acknowledged = max(step.acknowledged, command.cursor)
    if step.is_running and step.acknowledged == len(step.slots):
        _end(step, StepState.COMPLETE)
    return Outcome.DONE


def cancel(step: StepRecord) -> Outcome:
    """End the step."""
    if step.is_running:
        _end(step, StepState.CANCELLED)
    return Outcome.DONE if step.state is StepState.CANCELLED else Outcome.ENDED


def read_samples(step: StepRecord | None, query: ReadSamples) -> SamplesReply:
    """Samples fixed behind a cursor, to the end of the batch in which they were fixed."""
    if step is None:
        return SamplesReply(Outcome.NOT_FOUND)
    if not 0 <= query.cursor <= len(step.delivery):
        return SamplesReply(Outcome.MALFORMED)
    end = next((end for end in step.batch_ends if end > query.cursor), query.cursor)
    end = min(end, query.cursor + max(0, query.limit))
    samples = tuple(_delivered(step, number) for number in step.delivery[query.cursor : end])
    available = 0 if step.state is StepState.CANCELLED else len(_deliverable(step))
    return SamplesReply(Outcome.DONE, samples, end, _is_complete(step, end, available), available)


def _delivered(step: StepRecord, number: int) -> DeliveredSample:
    sample = step.slots[number].sample
    if sample is None:
        raise ValueError("a delivered slot has lost its sample")
    return DeliveredSample(
        slot=number,
        generation=sample.generation,
        content=sample.content,
        segments=sample.segments,
        score=sample.score,
    )


def _is_complete(step: StepRecord, cursor: int, available: int) -> bool:
    if cursor < len(step.delivery):
        return False
    if cursor == len(step.slots):
        return True
    if step.is_running:
        return False
    return available == 0


def status_of(step: StepRecord) -> StepStatus:
    """A step's progress as far as the ledger knows it, without an expected end."""
    filled = sum(slot.sample is not None for slot in step.slots)
    running = sum(
        slot.sample is None and any(lease.expires_at_s > step.now_s for lease in slot.leases)
        for slot in step.slots
    )
    return StepStatus(
        step_id=step.terms.step_id,
        state=step.state,
        slots=len(step.slots),
        filled=filled,
        running=running,
        waiting=len(step.slots) - filled - running if step.is_running else 0,
        regenerated=step.regenerated,
        delivered=len(step.delivery),
        acknowledged=step.acknowledged,
        expected_end_s=None,
    )
