"""Picks the lines of one id, and what happened to its nodes meanwhile."""

from collections.abc import Sequence
from dataclasses import dataclass

from bellweir.explanation.cause import WORKER_EVENTS, explain
from bellweir.explanation.lines import LogLine

AROUND_S = 2.0
"""Time around the id's own lines in which events of its nodes are shown."""
MEANWHILE = frozenset(
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
        "retry_refused",
        "sight_alone",
        "sight_shared",
        "worker_returned",
        "worker_set_aside",
    }
)


@dataclass(frozen=True)
class Story:
    """What is known of one id."""

    own: tuple[LogLine, ...]
    meanwhile: tuple[LogLine, ...]
    """Changes at its nodes around the time of its own lines."""
    sentence: str


def story_of(identifier: str, lines: Sequence[LogLine]) -> Story:
    """The story of a request, an item, a job or a worker; `lines` in order of time."""
    own = [line for line in lines if _is_about(line, identifier)]
    if not own:
        return Story((), (), explain(identifier, []) + _lost_lives(lines))
    # Ends and readings of a job may be asked for long after its items are done.
    runs = [line for line in own if line.event.startswith("item_")] or own
    first_s, last_s = runs[0].seconds() - AROUND_S, runs[-1].seconds() + AROUND_S
    nodes = {line.node for line in own}
    meanwhile = [
        line
        for line in lines
        if line.event in MEANWHILE and line.node in nodes and first_s <= line.seconds() <= last_s
    ]
    known = sorted(
        [*own, *(line for line in meanwhile if line.event == "coordination_taken")],
        key=lambda line: line.time,
    )
    is_job = any(line.fields.get("job") == identifier for line in own)
    sentence = explain(identifier, known if is_job else own)
    return Story(tuple(own), tuple(meanwhile), sentence)


def _lost_lives(lines: Sequence[LogLine]) -> str:
    """Processes that died without a word: what they held in hand has no line."""
    ended: set[str] = set()
    begun: set[str] = set()
    lost: list[str] = []
    for line in lines:
        if line.event == "process_stopped":
            ended.add(line.node)
        elif line.event == "process_started":
            if line.node in begun and line.node not in ended:
                lost.append(f"{line.node} (started again at {line.time})")
            begun.add(line.node)
            ended.discard(line.node)
    if not lost:
        return ""
    return f" Processes that ended without a word may have held it: {', '.join(lost)}."


def _is_about(line: LogLine, identifier: str) -> bool:
    if line.event in WORKER_EVENTS:
        return line.fields.get("instance") == identifier
    return identifier in (line.fields.get("request_id"), line.fields.get("job"))
