"""The state machine that keeps steps in the ledger.

Exactly once rests on three rules that are applied here, in the ledger's one order:
the first commit fills a slot; a slot is given a delivery position once and keeps it with the
sample it then held; a sample outside the staleness bound is dropped before that, never after.
"""

import threading

import msgspec

from bellweir.ledger.interface import Command, Query, Reply, StateMachine
from bellweir.routing.interface import Segment
from bellweir.samples.interface import StepState, StepStatus
from bellweir.samples.messages import (
    AcknowledgeSamples,
    AttachScore,
    CancelStep,
    CommitSample,
    DeclareStep,
    DeliveredSample,
    ForgetStep,
    GrantLeases,
    HandOver,
    Observation,
    ObserveStep,
    Outcome,
    ReadSamples,
    ReadStatus,
    ReadTerms,
    SamplesReply,
    StepReply,
    TermsReply,
)
from bellweir.samples.records import ShardState, SlotLease, SlotRecord, SlotSample, StepRecord
from bellweir.samples.staleness import is_fresh, merge_publications, oldest_version

MAXIMUM_LEASES_PER_SLOT = 4
"""Attempts of one slot that the ledger remembers; older ones are forgotten first."""


class StepMachine(StateMachine):
    """Steps of one shard. Reads from other threads take the same lock as `apply`."""

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._state = ShardState()
        self._changes: dict[str, int] = {}
        """Commands applied to each step on this replica; not part of the replicated state."""

    def command_types(self) -> tuple[type[Command], ...]:
        """Commands on steps."""
        return (
            DeclareStep,
            GrantLeases,
            CommitSample,
            AttachScore,
            HandOver,
            AcknowledgeSamples,
            CancelStep,
            ObserveStep,
            ForgetStep,
        )

    def query_types(self) -> tuple[type[Query], ...]:
        """Queries on steps."""
        return (ReadSamples, ReadStatus, ReadTerms)

    def reply_types(self) -> tuple[type[Reply], ...]:
        """Replies on steps."""
        return (StepReply, SamplesReply, TermsReply)

    def save(self) -> bytes:
        """All steps, as MessagePack."""
        with self._lock:
            return msgspec.msgpack.encode(self._state)

    def load(self, state: bytes) -> None:
        """Replace all steps by saved ones."""
        with self._lock:
            self._state = msgspec.msgpack.decode(state, type=ShardState)
            for step_id in self._state.steps:
                self._changes[step_id] = self._changes.get(step_id, 0) + 1

    def running_steps(self) -> dict[str, int]:
        """Ids of the steps whose slots may still be filled, each with its number of changes."""
        with self._lock:
            return {
                step_id: self._changes.get(step_id, 0)
                for step_id, step in self._state.steps.items()
                if step.is_running
            }

    def copy_step(self, step_id: str) -> StepRecord | None:
        """A copy of one step, for the coordinator."""
        with self._lock:
            step = self._state.steps.get(step_id)
            return _copy(step) if step is not None else None

    def ended_steps(self, ended_before_s: float) -> tuple[str, ...]:
        """Ids of the steps that ended before a time; for clean-up."""
        with self._lock:
            return tuple(
                step_id
                for step_id, step in self._state.steps.items()
                if step.ended_at_s is not None and step.ended_at_s < ended_before_s
            )

    def apply(self, command: Command) -> Reply:
        """Apply one command."""
        with self._lock:
            if isinstance(command, DeclareStep):
                return self._declare(command)
            return self._apply_to_step(command)

    def _declare(self, command: DeclareStep) -> StepReply:
        terms = command.terms
        known = self._state.steps.get(terms.step_id)
        if known is not None:
            same = known.terms.fingerprint == terms.fingerprint
            return _reply(Outcome.DONE if same else Outcome.CONFLICT, known)
        step = StepRecord(
            terms=terms,
            declared_at_s=command.observation.now_s,
            state=StepState.RUNNING,
            slots=[SlotRecord() for _ in range(terms.slots)],
        )
        self._state.steps[terms.step_id] = step
        _observe(step, command.observation)
        return _reply(Outcome.DONE, step)

    def _apply_to_step(self, command: Command) -> StepReply:
        step = self._state.steps.get(getattr(command, "step_id", ""))
        if step is None:
            return StepReply(Outcome.NOT_FOUND)
        self._changes[step.terms.step_id] = self._changes.get(step.terms.step_id, 0) + 1
        match command:
            case GrantLeases():
                outcome = _grant(step, command)
            case CommitSample():
                outcome = _commit(step, command)
            case AttachScore():
                outcome = _attach_score(step, command)
            case HandOver():
                outcome = _hand_over(step, command)
            case AcknowledgeSamples():
                outcome = _acknowledge(step, command)
            case CancelStep():
                outcome = _cancel(step)
            case ObserveStep():
                outcome = _observe(step, command.observation)
            case ForgetStep():
                return self._forget(step, command)
            case _:
                outcome = Outcome.MALFORMED
        return _reply(outcome, step)

    def _forget(self, step: StepRecord, command: ForgetStep) -> StepReply:
        if step.ended_at_s is None or step.ended_at_s >= command.ended_before_s:
            return _reply(Outcome.CONFLICT, step)
        del self._state.steps[command.step_id]
        self._changes.pop(command.step_id, None)
        return StepReply(Outcome.DONE)

    def answer(self, query: Query) -> Reply:
        """Answer one query."""
        with self._lock:
            step = self._state.steps.get(getattr(query, "step_id", ""))
            if isinstance(query, ReadSamples):
                return _read_samples(step, query)
            if isinstance(query, ReadTerms):
                return (
                    TermsReply(Outcome.DONE, step.terms) if step else TermsReply(Outcome.NOT_FOUND)
                )
            return _reply(Outcome.DONE, step) if step else StepReply(Outcome.NOT_FOUND)


def _copy(step: StepRecord) -> StepRecord:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(step), type=StepRecord)


def _observe(step: StepRecord, observation: Observation) -> Outcome:
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
    for slot in step.slots:
        if slot.sample is None or slot.delivered:
            continue
        if not _is_fresh(step, slot.sample.segments):
            slot.sample = None
            slot.generation += 1
            step.regenerated += 1


def _is_fresh(step: StepRecord, segments: tuple[Segment, ...]) -> bool:
    return is_fresh(oldest_version(segments), step.bound, step.publications, step.now_s)


def _grant(step: StepRecord, command: GrantLeases) -> Outcome:
    _observe(step, command.observation)
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


def _commit(step: StepRecord, command: CommitSample) -> Outcome:
    _observe(step, command.observation)
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


def _attach_score(step: StepRecord, command: AttachScore) -> Outcome:
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


def _hand_over(step: StepRecord, command: HandOver) -> Outcome:
    _observe(step, command.observation)
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


def _acknowledge(step: StepRecord, command: AcknowledgeSamples) -> Outcome:
    if not 0 <= command.cursor <= len(step.delivery):
        return Outcome.MALFORMED
    step.acknowledged = max(step.acknowledged, command.cursor)
    if step.is_running and step.acknowledged == len(step.slots):
        _end(step, StepState.COMPLETE)
    return Outcome.DONE


def _cancel(step: StepRecord) -> Outcome:
    if step.is_running:
        _end(step, StepState.CANCELLED)
    return Outcome.DONE if step.state is StepState.CANCELLED else Outcome.ENDED


def _read_samples(step: StepRecord | None, query: ReadSamples) -> SamplesReply:
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


def _reply(outcome: Outcome, step: StepRecord) -> StepReply:
    return StepReply(outcome, status_of(step))


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
