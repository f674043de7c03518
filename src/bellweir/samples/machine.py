"""The state machine that keeps steps in the ledger.

Exactly once rests on three rules that are applied here, in the ledger's one order:
the first commit fills a slot; a slot is given a delivery position once and keeps it with the
sample it then held; a sample outside the staleness bound is dropped before that, never after.
"""

import threading

import msgspec

from bellweir.ledger.interface import Command, Query, Reply, StateMachine
from bellweir.samples.interface import StepState
from bellweir.samples.messages import (
    AcknowledgeSamples,
    AttachScore,
    CancelStep,
    CommitSample,
    DeclareStep,
    ForgetStep,
    GrantLeases,
    HandOver,
    ObserveStep,
    Outcome,
    ReadSamples,
    ReadStatus,
    ReadTerms,
    SamplesReply,
    StepReply,
    TermsReply,
)
from bellweir.samples.records import ShardState, SlotRecord, StepRecord
from bellweir.samples.step_rules import (
    acknowledge,
    attach_score,
    cancel,
    commit,
    grant,
    hand_over,
    observe,
    read_samples,
    status_of,
)


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
        observe(step, command.observation)
        return _reply(Outcome.DONE, step)

    def _apply_to_step(self, command: Command) -> StepReply:
        step = self._state.steps.get(getattr(command, "step_id", ""))
        if step is None:
            return StepReply(Outcome.NOT_FOUND)
        self._changes[step.terms.step_id] = self._changes.get(step.terms.step_id, 0) + 1
        match command:
            case GrantLeases():
                outcome = grant(step, command)
            case CommitSample():
                outcome = commit(step, command)
            case AttachScore():
                outcome = attach_score(step, command)
            case HandOver():
                outcome = hand_over(step, command)
            case AcknowledgeSamples():
                outcome = acknowledge(step, command)
            case CancelStep():
                outcome = cancel(step)
            case ObserveStep():
                outcome = observe(step, command.observation)
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
                return read_samples(step, query)
            if isinstance(query, ReadTerms):
                return (
                    TermsReply(Outcome.DONE, step.terms) if step else TermsReply(Outcome.NOT_FOUND)
                )
            return _reply(Outcome.DONE, step) if step else StepReply(Outcome.NOT_FOUND)


def _copy(step: StepRecord) -> StepRecord:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(step), type=StepRecord)


def _reply(outcome: Outcome, step: StepRecord) -> StepReply:
    return StepReply(outcome, status_of(step))
