"""Promise: a caller gets the whole answer to its own request."""

from bellweir_rehearsal.promises.availability import (
    CRASHES,
    PAUSES,
    Absence,
    absences,
    was_absent,
)
from bellweir_rehearsal.promises.evidence import EngineAttempt, Evidence
from bellweir_rehearsal.promises.token_coverage import fault_in_origin, fault_in_ranges
from bellweir_rehearsal.promises.verdict import Promise, Verdict
from bellweir_rehearsal.records.model import (
    CallEnded,
    CallKind,
    CallOutcome,
    CallSent,
    SampleReceived,
)
from bellweir_rehearsal.standins.token_model import text_of


def check_whole_answers(evidence: Evidence) -> Verdict:
    """Compare each answer with what the back ends produced for that very request.

    Samples count as answers to their trainers. A call without a whole answer or refusal is a
    breach too, unless its node crashed, or was paused so long that its caller gave up.
    """
    verdict = Verdict(Promise.WHOLE_ANSWERS, required=("completions", "application answers"))
    crashed, paused = absences(evidence, CRASHES), absences(evidence, PAUSES)
    for call_id, ended in evidence.calls_ended.items():
        sent = evidence.calls_sent.get(call_id)
        if sent is None:
            continue
        fault = None
        if ended.outcome is CallOutcome.CUT:
            fault = _fault_in_cut(sent, ended, crashed, paused, verdict)
        elif ended.outcome is CallOutcome.ANSWERED and sent.kind is CallKind.COMPLETION:
            verdict.count("completions")
            verdict.count("completions that name versions", bool(ended.versions))
            fault = _fault_in_completion(sent, ended, evidence)
        elif ended.outcome is CallOutcome.ANSWERED:
            verdict.count("application answers")
            fault = _fault_in_application(sent, ended, evidence)
        if fault is not None:
            verdict.breach(call_id, fault)
    for sample in {entry.sample_id: entry for entry in evidence.samples}.values():
        verdict.count("samples")
        fault = _fault_in_sample(sample, evidence)
        if fault is not None:
            verdict.breach(sample.sample_id, fault)
    return verdict


def _fault_in_sample(sample: SampleReceived, evidence: Evidence) -> str | None:
    if sample.text != text_of(sample.tokens):
        return f"text is not that of its tokens: {sample.text[:80]!r}"
    count = len(sample.tokens)
    attempts = evidence.attempts_for(sample.prompt, sample.tokens)
    if not any(entry.ended_whole and entry.end_token == count for entry in attempts):
        return f"has {count} tokens, where no engine came to the end of its answer"
    return None


def _fault_in_cut(
    sent: CallSent,
    ended: CallEnded,
    crashed: dict[str, list[Absence]],
    paused: dict[str, list[Absence]],
    verdict: Verdict,
) -> str | None:
    verdict.count("calls cut")
    if was_absent(crashed, sent.node, sent.time_s, ended.time_s):
        verdict.count("calls cut by their node's crash")
        return None
    if ended.timed_out and was_absent(paused, sent.node, sent.time_s, ended.time_s):
        verdict.count("calls given up while their node was paused")
        return None
    return f"no whole answer from {sent.node}, which was up: {ended.detail}"


def _fault_in_completion(sent: CallSent, ended: CallEnded, evidence: Evidence) -> str | None:
    attempts = evidence.attempts_by_request.get(sent.call_id, [])
    if not attempts:
        return "answered, but no engine has run it"
    if ended.answer_request_id not in (None, sent.call_id):
        return f"answer to request {ended.answer_request_id}"
    text = ended.text or ""
    count = len(text.split())
    if not any(text == text_of(attempt.tokens(0, count)) for attempt in attempts):
        return f"text is not the one for its prompt: {text[:80]!r}"
    fault = _fault_in_length(sent, ended, count, attempts)
    if fault is None and ended.versions:
        fault = fault_in_ranges(ended.versions, count)
        fault = fault or fault_in_origin(ended.versions, attempts)
    return fault


def _fault_in_length(
    sent: CallSent, ended: CallEnded, count: int, attempts: list[EngineAttempt]
) -> str | None:
    if ended.token_count is not None and ended.token_count != count:
        return f"says {ended.token_count} tokens, has {count}"
    if ended.finish_reason == "length" and count != sent.max_tokens:
        return f"{count} of {sent.max_tokens} tokens with finish reason length"
    if not any(attempt.ended_whole and attempt.end_token == count for attempt in attempts):
        return f"ends at token {count}, where no engine came to the end of its answer"
    return None


def _fault_in_application(sent: CallSent, ended: CallEnded, evidence: Evidence) -> str | None:
    if ended.answer_target is None:
        return f"status {ended.status} without what was run: {ended.detail}"
    wanted = (sent.method, sent.target.partition("/")[2], sent.body_sha256)
    got = (ended.answer_method, ended.answer_target.removeprefix("/"), ended.answer_body_sha256)
    if wanted != got:
        return f"answer to another request: sent {wanted}, got {got}"
    runs = evidence.runs_by_target.get(ended.answer_target, [])
    if not any(run.attempt_id == ended.answer_run_id for run in runs):
        return f"answered as run {ended.answer_run_id}, which no worker has logged"
    return None
