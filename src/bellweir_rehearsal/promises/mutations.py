"""Deliberately broken variants of a run's evidence: proof that the checker can fail.

Each mutation alters the logs of a run in the way in which a broken service would have left them.
They are behind the kit's own switch (`--mutate`) and never touch the service.
"""

import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import TypeVar

import msgspec

from bellweir_rehearsal.promises.evidence import (
    ApplicationRun,
    EngineAttempt,
    Evidence,
    TokenRun,
)
from bellweir_rehearsal.promises.leaving import GRACE_S
from bellweir_rehearsal.promises.staleness import PUBLICATION_GRACE_S
from bellweir_rehearsal.promises.true_refusals import NOT_RUN
from bellweir_rehearsal.promises.verdict import Promise
from bellweir_rehearsal.records.model import (
    AnyRecord,
    CallEnded,
    CallKind,
    CallOutcome,
    CallSent,
    ConfigurationSeen,
    NodeExited,
    NodeStopping,
    SampleReceived,
    StepEnded,
    WorkerLeaving,
    WriteAccepted,
    WriteFailed,
)
from bellweir_rehearsal.standins.token_model import text_of

Found = TypeVar("Found")
RecordKind = TypeVar("RecordKind", bound=AnyRecord)


class NothingToMutateError(LookupError):
    """The run has no case that the mutation could break."""

    def __init__(self) -> None:
        super().__init__("the run has no case that this mutation could break")


@dataclass(frozen=True)
class Mutation:
    """One broken variant."""

    name: str
    promise: Promise
    """The promise that it breaks."""
    apply: Callable[[Evidence], Evidence]
    """Returns altered evidence; raises `NothingToMutateError`."""


def _first(candidates: Iterable[Found]) -> Found:
    for candidate in candidates:
        return candidate
    raise NothingToMutateError


def _records(evidence: Evidence, kind: type[RecordKind]) -> list[RecordKind]:
    return [record for record in evidence.records if isinstance(record, kind)]


def _with(evidence: Evidence, old: AnyRecord, *new: AnyRecord) -> Evidence:
    """Put records in the place of one."""
    index = next(position for position, record in enumerate(evidence.records) if record is old)
    records = [*evidence.records[:index], *new, *evidence.records[index + 1 :]]
    return replace(evidence, records=records)


def _answered(evidence: Evidence, kind: CallKind) -> list[tuple[CallSent, CallEnded]]:
    return [
        (sent, evidence.calls_ended[call_id])
        for call_id, sent in evidence.calls_sent.items()
        if sent.kind is kind
        and call_id in evidence.calls_ended
        and evidence.calls_ended[call_id].outcome is CallOutcome.ANSWERED
    ]


def _wrong_version(evidence: Evidence) -> Evidence:
    sample = _first(entry for entry in evidence.samples if entry.versions)
    first = sample.versions[0]
    wrong = msgspec.structs.replace(first, weight_version=first.weight_version + 1_000)
    altered = msgspec.structs.replace(sample, versions=(wrong, *sample.versions[1:]))
    others = [
        altered
        if isinstance(record, SampleReceived) and record.sample_id == sample.sample_id
        else record
        for record in evidence.records
    ]
    return replace(evidence, records=others)


def _unnamed_tokens(evidence: Evidence) -> Evidence:
    sample = _first(entry for entry in evidence.samples if entry.versions)
    records = [
        msgspec.structs.replace(record, versions=record.versions[:-1])
        if isinstance(record, SampleReceived) and record.sample_id == sample.sample_id
        else record
        for record in evidence.records
    ]
    return replace(evidence, records=records)


def _stale_sample(evidence: Evidence) -> Evidence:
    """A version far newer was published long before a sample was pulled."""
    sample = _first(
        entry
        for entry in reversed(evidence.samples)
        if entry.step_id in evidence.steps_declared and entry.versions
    )
    step = evidence.steps_declared[sample.step_id]
    write = WriteAccepted(
        time_s=sample.pulled_s - PUBLICATION_GRACE_S - 1.0,
        operator="mutation",
        node="mutation",
        kind="WeightVersion",
        name="mutation",
        revision=0,
        sent_s=sample.pulled_s - PUBLICATION_GRACE_S - 1.0,
        published_policy=step.policy,
        published_version=1_000_000,
    )
    return replace(evidence, records=[*evidence.records, write])


def _sample_twice(evidence: Evidence) -> Evidence:
    sample = _first(evidence.samples)
    last = max(entry.position for entry in evidence.samples if entry.step_id == sample.step_id)
    again = msgspec.structs.replace(sample, position=last + 1)
    return _with(evidence, sample, sample, again)


def _sample_changed(evidence: Evidence) -> Evidence:
    """A repeated pull gives another sample at the same position."""
    sample = _first(evidence.samples)
    again = msgspec.structs.replace(sample, sample_id=f"{sample.sample_id}-other")
    return _with(evidence, sample, sample, again)


def _sample_lost(evidence: Evidence) -> Evidence:
    ended = _first(_records(evidence, StepEnded))
    return _with(evidence, ended, msgspec.structs.replace(ended, received=ended.expected - 1))


def _answer_cut_short(evidence: Evidence) -> Evidence:
    _, ended = _first(
        (sent, ended)
        for sent, ended in _answered(evidence, CallKind.COMPLETION)
        if len((ended.text or "").split()) > 1
    )
    short = (ended.text or "").rpartition(" ")[0]
    return _with(
        evidence, ended, msgspec.structs.replace(ended, text=short, token_count=None, versions=())
    )


def _sample_cut_short(evidence: Evidence) -> Evidence:
    """A sample lacks its last token, and says nothing of it."""
    sample = _first(entry for entry in evidence.samples if len(entry.tokens) > 1)
    last = sample.versions[-1]
    kept = sample.versions[:-1]
    if last.token_count > 1:
        kept += (msgspec.structs.replace(last, token_count=last.token_count - 1),)
    tokens = sample.tokens[:-1]
    records = [
        msgspec.structs.replace(record, tokens=tokens, text=text_of(tokens), versions=kept)
        if isinstance(record, SampleReceived) and record.sample_id == sample.sample_id
        else record
        for record in evidence.records
    ]
    return replace(evidence, records=records)


def _answers_swapped(evidence: Evidence) -> Evidence:
    entries = [ended for _, ended in _answered(evidence, CallKind.APPLICATION)]
    if len(entries) < 2:
        raise NothingToMutateError
    one, other = entries[0], entries[-1]
    altered = msgspec.structs.replace(
        one,
        answer_target=other.answer_target,
        answer_body_sha256=other.answer_body_sha256,
        answer_run_id=other.answer_run_id,
    )
    return _with(evidence, one, altered)


def _answer_vanished(evidence: Evidence) -> Evidence:
    _, ended = _first(_answered(evidence, CallKind.COMPLETION))
    cut = CallEnded(ended.time_s, ended.call_id, CallOutcome.CUT, detail="mutation")
    return _with(evidence, ended, cut)


def _false_refusal_of_completion(evidence: Evidence) -> Evidence:
    _, ended = _first(_answered(evidence, CallKind.COMPLETION))
    return _with(evidence, ended, _refused(ended))


def _false_refusal_of_request(evidence: Evidence) -> Evidence:
    _, ended = _first(_answered(evidence, CallKind.APPLICATION))
    return _with(evidence, ended, _refused(ended))


def _refused(ended: CallEnded) -> CallEnded:
    return CallEnded(
        ended.time_s,
        ended.call_id,
        CallOutcome.REFUSED,
        status=503,
        run_state=NOT_RUN,
        reason="mutation",
    )


def _false_refusal_of_write(evidence: Evidence) -> Evidence:
    """A write that the store has taken is refused as a conflict."""
    stored = _first(evidence.store_writes)
    mark = "mutation"
    failed = WriteFailed(
        stored.time_s + 0.1,
        "mutation",
        "mutation",
        stored.kind,
        stored.name,
        409,
        "mutation",
        unknown=False,
        mark=mark,
    )
    writes = [
        replace(write, mark=mark) if write is stored else write for write in evidence.store_writes
    ]
    return replace(evidence, store_writes=writes, records=[*evidence.records, failed])


def _second_run(evidence: Evidence) -> Evidence:
    run = _first(run for run in evidence.application_runs if run.idempotency_key is not None)
    again = replace(run, attempt_id=f"{run.attempt_id}-again", time_s=run.time_s + 0.5)
    return replace(evidence, application_runs=[*evidence.application_runs, again])


def _work_after_leaving(evidence: Evidence) -> Evidence:
    leaving = _first(_records(evidence, WorkerLeaving))
    at_s = leaving.time_s + GRACE_S + 0.5
    if any(
        entry.worker == leaving.worker and leaving.time_s < entry.time_s <= at_s
        for entry in evidence.returns
    ):
        raise NothingToMutateError
    if leaving.worker in {attempt.engine for attempt in evidence.engine_attempts}:
        attempt = EngineAttempt(
            leaving.worker,
            "mutation",
            "mutation",
            "",
            None,
            at_s,
            0,
            "length",
            (TokenRun(0, 1, 1),),
        )
        return replace(evidence, engine_attempts=[*evidence.engine_attempts, attempt])
    run = ApplicationRun(leaving.worker, at_s, "mutation", None, None, "GET", "/mutation?", "")
    return replace(evidence, application_runs=[*evidence.application_runs, run])


def _stop_cuts(evidence: Evidence) -> Evidence:
    stop, ended = _first(
        (stop, ended)
        for stop in evidence.node_stops
        for call_id, sent in evidence.calls_sent.items()
        if sent.node == stop.node and sent.time_s <= stop.time_s
        for ended in [evidence.calls_ended.get(call_id)]
        if ended is not None and ended.time_s >= stop.time_s
    )
    cut = CallEnded(
        max(ended.time_s, stop.time_s), ended.call_id, CallOutcome.CUT, detail="mutation"
    )
    return _with(evidence, ended, cut)


def _stop_fails(evidence: Evidence) -> Evidence:
    stop = _first(_records(evidence, NodeStopping))
    exited = _first(
        entry
        for entry in _records(evidence, NodeExited)
        if entry.node == stop.node and entry.planned and entry.time_s >= stop.time_s
    )
    return _with(evidence, exited, msgspec.structs.replace(exited, exit_code=1))


def _configuration_goes_back(evidence: Evidence) -> Evidence:
    seen = _first(
        later
        for entries in evidence.configurations.values()
        for earlier, later in itertools.pairwise(entries)
        if earlier.revision > 1
    )
    return _with(evidence, seen, msgspec.structs.replace(seen, revision=1))


def _configuration_stuck(evidence: Evidence) -> Evidence:
    """One node, the one that was there most, never takes anything after its first observation."""
    by_presence = sorted(evidence.configurations.values(), key=len, reverse=True)
    entries = _first(entries for entries in by_presence if entries)
    first = entries[0]
    if not any(write.revision > first.revision for write in evidence.writes):
        raise NothingToMutateError
    records: list[AnyRecord] = [
        msgspec.structs.replace(record, revision=first.revision, objects=first.objects)
        if isinstance(record, ConfigurationSeen) and record.node == first.node
        else record
        for record in evidence.records
    ]
    return replace(evidence, records=records)


def _write_lost(evidence: Evidence) -> Evidence:
    write = _first(_records(evidence, WriteAccepted))
    kept = [entry for entry in evidence.store_writes if entry.revision != write.revision]
    if not kept:
        raise NothingToMutateError
    return replace(evidence, store_writes=kept)


MUTATIONS: dict[str, Mutation] = {
    mutation.name: mutation
    for mutation in (
        Mutation("wrong-version", Promise.VERSIONS_NAMED, _wrong_version),
        Mutation("unnamed-tokens", Promise.VERSIONS_NAMED, _unnamed_tokens),
        Mutation("stale-sample", Promise.STALENESS_BOUND, _stale_sample),
        Mutation("sample-twice", Promise.EXACTLY_ONCE, _sample_twice),
        Mutation("sample-changed", Promise.EXACTLY_ONCE, _sample_changed),
        Mutation("sample-lost", Promise.EXACTLY_ONCE, _sample_lost),
        Mutation("answer-cut-short", Promise.WHOLE_ANSWERS, _answer_cut_short),
        Mutation("sample-cut-short", Promise.WHOLE_ANSWERS, _sample_cut_short),
        Mutation("answers-swapped", Promise.WHOLE_ANSWERS, _answers_swapped),
        Mutation("answer-vanished", Promise.WHOLE_ANSWERS, _answer_vanished),
        Mutation("false-refusal", Promise.TRUE_REFUSALS, _false_refusal_of_completion),
        Mutation("false-app-refusal", Promise.TRUE_REFUSALS, _false_refusal_of_request),
        Mutation("false-write-refusal", Promise.TRUE_REFUSALS, _false_refusal_of_write),
        Mutation("second-run", Promise.AT_MOST_ONCE, _second_run),
        Mutation("work-after-leaving", Promise.LEAVING_BACKENDS, _work_after_leaving),
        Mutation("stop-cuts", Promise.PLANNED_STOPS, _stop_cuts),
        Mutation("stop-fails", Promise.PLANNED_STOPS, _stop_fails),
        Mutation("configuration-goes-back", Promise.CONFIGURATION, _configuration_goes_back),
        Mutation("configuration-stuck", Promise.CONFIGURATION, _configuration_stuck),
        Mutation("write-lost", Promise.CONFIGURATION, _write_lost),
    )
}
"""All mutations, by name."""
