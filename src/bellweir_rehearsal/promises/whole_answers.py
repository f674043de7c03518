"""Promise: a caller gets the whole answer to its own request."""

from bellweir_rehearsal.promises.availability import Absence, absences, was_absent
from bellweir_rehearsal.promises.evidence import EngineAttempt, Evidence
from bellweir_rehearsal.promises.token_coverage import fault_in_ranges
from bellweir_rehearsal.promises.verdict import Promise, Verdict
from bellweir_rehearsal.records.model import CallEnded, CallKind, CallOutcome, CallSent
from bellweir_rehearsal.standins.token_model import text_of


def check_whole_answers(evidence: Evidence) -> Verdict:
    """Compare each answer with what the back ends produced for that very request.

    A call without a whole answer or refusal is a breach too, unless its node was down or paused
    within the call's life.
    """
    verdict = Verdict(Promise.WHOLE_ANSWERS, required=("completions", "application answers"))
    absent = absences(evidence)
    for call_id, ended in evidence.calls_ended.items():
        sent = evidence.calls_sent.get(call_id)
        if sent is None:
            continue
        fault = None
        if ended.outcome is CallOutcome.CUT:
            fault = _fault_in_cut(sent, ended, absent, verdict)
        elif ended.outcome is CallOutcome.ANSWERED and sent.kind is CallKind.COMPLETION:
            verdict.count("completions")
            fault = _fault_in_completion(sent, ended, evidence)
        elif ended.outcome is CallOutcome.ANSWERED:
            verdict.count("application answers")
            fault = _fault_in_application(sent, ended, evidence)
        if fault is not None:
            verdict.breach(call_id, fault)
    return verdict


def _fault_in_cut(
    sent: CallSent, ended: CallEnded, absent: dict[str, list[Absence]], verdict: Verdict
) -> str | None:
    verdict.count("calls cut")
    if was_absent(absent, sent.node, sent.time_s, ended.time_s):
        verdict.count("calls cut while their node was down or paused")
        return None
    return f"no whole answer from {sent.node}, which was up: {ended.detail}"


def _fault_in_completion(sent: CallSent, ended: CallEnded, evidence: Evidence) -> str | None:
    attempts = evidence.attempts_by_request.get(sent.call_id, [])
    if not attempts:
        return "answered, but no engine has run it"
    text = ended.text or ""
    count = len(text.split())
    if not any(text == text_of(attempt.tokens(0, count)) for attempt in attempts):
        return f"text is not the one for its prompt: {text[:80]!r}"
    fault = _fault_in_length(sent, ended, count, attempts)
    if fault is None and ended.versions:
        fault = fault_in_ranges(ended.versions, count)
    return fault


def _fault_in_length(
    sent: CallSent, ended: CallEnded, count: int, attempts: list[EngineAttempt]
) -> str | None:
    if ended.token_count is not None and ended.token_count != count:
        return f"says {ended.token_count} tokens, has {count}"
    if ended.finish_reason == "length" and count != sent.max_tokens:
        return f"{count} of {sent.max_tokens} tokens with finish reason length"
    if ended.finish_reason == "stop":
        ends = {run.end_token for attempt in attempts for run in attempt.runs}
        if count not in ends:
            return f"stops at token {count}, where no engine stopped"
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
