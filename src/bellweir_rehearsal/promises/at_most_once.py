"""Promise: a request that must not be repeated runs at most once."""

from collections import defaultdict

from bellweir_rehearsal.promises.evidence import Evidence
from bellweir_rehearsal.promises.verdict import Promise, Verdict
from bellweir_rehearsal.records.model import CallOutcome, CallSent


def check_at_most_once(evidence: Evidence) -> Verdict:
    """Count the runs of each idempotency key, and compare the answers that its calls got."""
    verdict = Verdict(Promise.AT_MOST_ONCE, required=("keys",))
    calls: dict[str, list[CallSent]] = defaultdict(list)
    for sent in evidence.calls_sent.values():
        if sent.idempotency_key is not None:
            calls[sent.idempotency_key].append(sent)
    # Also keys that no caller has sent: whatever bears a key must not run twice.
    for key in calls.keys() | evidence.runs_by_key.keys():
        entries = calls.get(key, [])
        verdict.count("keys", bool(entries))
        verdict.count("keys sent more than once", len(entries) > 1)
        verdict.count("keys sent to several nodes", len({entry.node for entry in entries}) > 1)
        runs = evidence.runs_by_key.get(key, [])
        verdict.count("runs", len(runs))
        if len(runs) > 1:
            places = ", ".join(f"{run.worker} at {run.time_s:.3f}" for run in runs)
            verdict.breach(key, f"ran {len(runs)} times: {places}")
        _compare_answers(key, entries, evidence, verdict)
    return verdict


def _compare_answers(key: str, calls: list[CallSent], evidence: Evidence, verdict: Verdict) -> None:
    answers: set[str | None] = set()
    for sent in calls:
        ended = evidence.calls_ended.get(sent.call_id)
        if ended is not None and ended.outcome is CallOutcome.ANSWERED:
            answers.add(ended.answer_run_id)
    if len(answers) > 1:
        verdict.breach(
            key, f"calls got the outcomes of different runs: {sorted(map(str, answers))}"
        )
