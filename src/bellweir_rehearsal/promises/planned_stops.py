"""Promise: a planned stop cuts no request."""

from bellweir_rehearsal.promises.evidence import Evidence
from bellweir_rehearsal.promises.verdict import Promise, Verdict
from bellweir_rehearsal.records.model import CallOutcome, NodeExited, NodeStopping

SAME_END_S = 1.0
"""Two records of one process's end are no further apart than this."""


def check_planned_stops(evidence: Evidence) -> Verdict:
    """Look at the calls that a stopping node had in hand or still took.

    A call that could not connect to it was not cut: nothing of it was sent.
    """
    verdict = Verdict(Promise.PLANNED_STOPS, required=("planned stops", "calls in hand"))
    for stop in evidence.node_stops:
        exited = _exit_after(stop, evidence)
        if exited is not None and _overtaken(stop, exited, evidence):
            verdict.count("stops overtaken by a crash")
            continue
        verdict.count("planned stops")
        ended_s = exited.time_s if exited is not None else float("inf")
        if exited is not None and exited.exit_code != 0:
            verdict.breach(stop.node, f"ended with exit code {exited.exit_code}")
        _check_calls(stop, ended_s, evidence, verdict)
    return verdict


def _check_calls(stop: NodeStopping, ended_s: float, evidence: Evidence, verdict: Verdict) -> None:
    for call_id, sent in evidence.calls_sent.items():
        if sent.node != stop.node or sent.time_s > ended_s:
            continue
        ended = evidence.calls_ended.get(call_id)
        if ended is None or ended.time_s < stop.time_s:
            continue
        if ended.outcome is CallOutcome.NOT_CONNECTED:
            verdict.count("calls that could not connect")
            continue
        in_hand = sent.time_s <= stop.time_s
        verdict.count("calls in hand" if in_hand else "calls that came later")
        if ended.outcome is CallOutcome.CUT:
            when = "in hand" if in_hand else f"sent {sent.time_s - stop.time_s:.3f} s later"
            reused = ", on a kept-alive connection" if ended.connection_reused else ""
            verdict.breach(
                call_id, f"cut by the stop of {stop.node}, {when}{reused}: {ended.detail}"
            )


def _overtaken(stop: NodeStopping, exited: NodeExited, evidence: Evidence) -> bool:
    """Whether another fault killed the node while it was stopping.

    Both who stopped it and who killed it see its process end, and write so in either order.
    """
    return any(
        entry.node == stop.node
        and not entry.planned
        and stop.time_s <= entry.time_s <= exited.time_s + SAME_END_S
        for entry in evidence.node_exits
    )


def _exit_after(stop: NodeStopping, evidence: Evidence) -> NodeExited | None:
    return next(
        (
            entry
            for entry in evidence.node_exits
            if entry.node == stop.node and entry.time_s >= stop.time_s
        ),
        None,
    )
