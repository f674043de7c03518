"""Selects the log lines of an id and the events of its nodes in the same period."""

from collections.abc import Sequence
from dataclasses import dataclass

from bellweir.explanation.lines import LogLine
from bellweir.explanation.summary import WORKER_EVENTS, summarize

CONTEXT_WINDOW_S = 2.0
"""Period before and after the id's own lines in which events of its nodes are included."""
NODE_EVENTS = frozenset(
    {
        "process_started",
        "process_draining",
        "process_stopped",
        "store_lost",
        "store_regained",
        "configuration_in_force",
        "leader_elected",
        "leader_resigned",
        "coordination_taken",
        "coordination_left",
        "lease_taken",
        "lease_lost",
        "order_sent",
        "replicas_changed",
        "lines_left_out",
        "evacuation_began",
        "evacuation_ended",
        "retry_refused",
        "sight_alone",
        "sight_shared",
        "worker_cold",
        "worker_returned",
        "worker_set_aside",
    }
)


@dataclass(frozen=True)
class Explanation:
    """What the logs contain about an id."""

    own_lines: tuple[LogLine, ...]
    node_events: tuple[LogLine, ...]
    """Events of its nodes around the time of its own lines."""
    summary: str


def explain(identifier: str, lines: Sequence[LogLine]) -> Explanation:
    """Explain a request, item, job or worker from `lines`, which are sorted by time."""
    own_lines = [line for line in lines if _is_about(line, identifier)]
    if not own_lines:
        return Explanation((), (), summarize(identifier, []) + _killed_processes(lines))
    # A job may be ended or read long after its items are done.
    runs = [line for line in own_lines if line.event.startswith("item_")] or own_lines
    first_s, last_s = runs[0].seconds() - CONTEXT_WINDOW_S, runs[-1].seconds() + CONTEXT_WINDOW_S
    nodes = {line.node for line in own_lines}
    node_events = _evacuations_in_force([line for line in lines if line.node in nodes], first_s)
    node_events += [
        line
        for line in lines
        if line.event in NODE_EVENTS and line.node in nodes and first_s <= line.seconds() <= last_s
    ]
    known = sorted(
        [*own_lines, *(line for line in node_events if line.event == "coordination_taken")],
        key=lambda line: line.time,
    )
    is_job = any(line.fields.get("job") == identifier for line in own_lines)
    summary = summarize(identifier, known if is_job else own_lines)
    return Explanation(tuple(own_lines), tuple(node_events), summary)


def _evacuations_in_force(lines: Sequence[LogLine], at_s: float) -> list[LogLine]:
    """Return the beginnings of evacuations that had not ended at a node at a time."""
    began: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        key = line.node, line.text("zone")
        if line.seconds() >= at_s:
            break
        if line.event == "evacuation_began":
            began[key] = line
        elif line.event == "evacuation_ended":
            began.pop(key, None)
    return list(began.values())


def _killed_processes(lines: Sequence[LogLine]) -> str:
    """Name processes that restarted without a shutdown line; they lost lines of their requests."""
    stopped: set[str] = set()
    started: set[str] = set()
    killed: list[str] = []
    for line in lines:
        if line.event == "process_stopped":
            stopped.add(line.node)
        elif line.event == "process_started":
            if line.node in started and line.node not in stopped:
                killed.append(f"{line.node} (started again at {line.time})")
            started.add(line.node)
            stopped.discard(line.node)
    if not killed:
        return ""
    return f" Processes that ended without a shutdown line may have held it: {', '.join(killed)}."


def _is_about(line: LogLine, identifier: str) -> bool:
    if line.event in WORKER_EVENTS:
        return line.fields.get("instance") == identifier
    return identifier in (line.fields.get("request_id"), line.fields.get("job"))
