"""Promise: a back end that is leaving gets no new work after a few seconds."""

from bellweir_rehearsal.promises.availability import Absence, absences, was_absent
from bellweir_rehearsal.promises.evidence import Evidence
from bellweir_rehearsal.promises.verdict import Promise, Verdict
from bellweir_rehearsal.records.model import WorkerLeaving

GRACE_S = 3.0
"""The few seconds."""


def check_leaving(evidence: Evidence) -> Verdict:
    """Look in a leaving worker's log for work that came later than the grace time."""
    verdict = Verdict(
        Promise.LEAVING_BACKENDS, required=("workers leaving", "requests before they left")
    )
    work = _work(evidence)
    absent = absences(evidence)
    for leaving in evidence.leavings:
        verdict.count("workers leaving")
        until_s = _returned_s(leaving, evidence)
        verdict.count("seconds watched", round(min(until_s, evidence.last_s) - leaving.time_s))
        for at_s, request, how in work.get(leaving.worker, []):
            if at_s < leaving.time_s:
                verdict.count("requests before they left")
            elif at_s < leaving.time_s + GRACE_S:
                verdict.count("requests within the grace time")
            elif at_s < until_s and _sent_by_node_just_back(request, at_s, evidence, absent):
                verdict.count("requests of nodes just back")
            elif at_s < until_s:
                late_s = at_s - leaving.time_s
                verdict.breach(
                    leaving.worker, f"{request} was {how} {late_s:.1f} s after ({leaving.how})"
                )
    return verdict


def _sent_by_node_just_back(
    request_id: str, at_s: float, evidence: Evidence, absent: dict[str, list[Absence]]
) -> bool:
    """Whether the node that sent it was down or paused a moment ago, and could not know."""
    sent = evidence.calls_sent.get(request_id)
    return sent is not None and was_absent(absent, sent.node, at_s, at_s, grace_s=GRACE_S)


def _returned_s(leaving: WorkerLeaving, evidence: Evidence) -> float:
    return min(
        (
            entry.time_s
            for entry in evidence.returns
            if entry.worker == leaving.worker and entry.time_s > leaving.time_s
        ),
        default=float("inf"),
    )


def _work(evidence: Evidence) -> dict[str, list[tuple[float, str, str]]]:
    """Work that reached each worker: when, which, and whether it was taken or refused."""
    found: dict[str, list[tuple[float, str, str]]] = {}
    for attempt in evidence.engine_attempts:
        entry = (attempt.began_s, attempt.request_id, "taken")
        found.setdefault(attempt.engine, []).append(entry)
    for run in evidence.application_runs:
        entry = (run.time_s, run.request_id or run.target, "taken")
        found.setdefault(run.worker, []).append(entry)
    for offer in evidence.work_offered:
        entry = (offer.time_s, offer.request_id, f"offered and refused as {offer.reason}")
        found.setdefault(offer.worker, []).append(entry)
    return found
