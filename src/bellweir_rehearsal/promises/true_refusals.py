"""Promise: a refusal that says "not run" is true."""

from bellweir_rehearsal.promises.evidence import ApplicationRun, Evidence
from bellweir_rehearsal.promises.verdict import Promise, Verdict
from bellweir_rehearsal.records.model import CallEnded, CallKind, CallOutcome, CallSent

NOT_RUN = "not_run"


def check_true_refusals(evidence: Evidence) -> Verdict:
    """Look in the back ends' logs for a trace of each request refused as not run."""
    verdict = Verdict(Promise.TRUE_REFUSALS, required=("refusals as not run",))
    for call_id, ended in evidence.calls_ended.items():
        sent = evidence.calls_sent.get(call_id)
        if sent is None or ended.outcome is not CallOutcome.REFUSED:
            continue
        verdict.count("refusals")
        if ended.run_state is None:
            verdict.breach(call_id, f"refusal {ended.status} does not say whether it has run")
        if ended.run_state != NOT_RUN:
            continue
        verdict.count("refusals as not run")
        fault = _trace(sent, ended, evidence)
        if fault is not None:
            verdict.breach(call_id, fault)
    _check_writes(evidence, verdict)
    return verdict


def _check_writes(evidence: Evidence, verdict: Verdict) -> None:
    """A write that was refused for sure must not stand in the store's log."""
    stored = {write.mark: write for write in evidence.store_writes if write.mark is not None}
    for write in evidence.failed_writes:
        if write.unknown or write.mark is None:
            continue
        verdict.count("refused writes")
        found = stored.get(write.mark)
        if found is not None:
            verdict.breach(
                write.mark,
                f"write of {write.kind}/{write.name} through {write.node} was refused "
                f"({write.status}) and took effect as revision {found.revision}",
            )


def _trace(sent: CallSent, ended: CallEnded, evidence: Evidence) -> str | None:
    if sent.kind is CallKind.COMPLETION:
        for attempt in evidence.attempts_by_request.get(sent.call_id, []):
            if attempt.has_generated:
                return f"engine {attempt.engine} generated tokens for it ({ended.reason})"
        return None
    if sent.idempotency_key is None:
        # Each HTTP request has an id of its own: one that was refused may well have been sent
        # again under another id, with the same contents.
        for run in evidence.runs_by_request.get(sent.call_id, []):
            return f"worker {run.worker} ran it at {run.time_s:.3f} ({ended.reason})"
        return None
    for run in evidence.runs_by_key.get(sent.idempotency_key, []):
        # A run that another call led to while this one was open has no order against its
        # refusal: the refusal may have been decided before. A run from before this call was sent
        # has, and so has a run that only this call or others refused as not run can have led to.
        had_run = run.request_id == sent.call_id or run.time_s <= sent.time_s
        if had_run or not _explained(run, sent.idempotency_key, evidence):
            return (
                f"worker {run.worker} ran key {sent.idempotency_key} at {run.time_s:.3f}, "
                f"the refusal came at {ended.time_s:.3f} ({ended.reason})"
            )
    return None


def _explained(run: ApplicationRun, key: str, evidence: Evidence) -> bool:
    """Whether another call with this key, not refused as not run, can have led to the run."""
    for call_id, sent in evidence.calls_sent.items():
        if sent.idempotency_key != key or sent.time_s > run.time_s:
            continue
        ended = evidence.calls_ended.get(call_id)
        if ended is None or ended.run_state != NOT_RUN:
            return True
    return False
