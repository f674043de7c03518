"""When each node was there and working, as far as the kit knows from the faults it injected."""

from dataclasses import dataclass

from bellweir_rehearsal.promises.evidence import Evidence
from bellweir_rehearsal.records.model import NOT_ENDED

CRASHES = frozenset({"node_kill", "node_replaced", "zone_loss"})
"""Faults that end a node's process without notice."""
PAUSES = frozenset({"node_pause", "lease_lapse"})
"""Faults that freeze a node's process."""
NODE_FAULTS = CRASHES | PAUSES | {"node_stop"}
"""Faults whose targets are nodes that don't work while they last."""


@dataclass(frozen=True)
class Absence:
    """A time in which a node did not work."""

    node: str
    began_s: float
    ended_s: float


def absences(evidence: Evidence, kinds: frozenset[str] = NODE_FAULTS) -> dict[str, list[Absence]]:
    """Times in which nodes did not work, by node; one that never came back has no end."""
    found: dict[str, list[Absence]] = {}
    for fault in evidence.faults_began:
        if fault.kind not in kinds:
            continue
        end = evidence.faults_ended.get(fault.fault_id)
        came_back = end is not None and not end.detail.startswith(NOT_ENDED)
        ended_s = end.time_s if end is not None and came_back else float("inf")
        for node in fault.targets:
            found.setdefault(node, []).append(Absence(node, fault.time_s, ended_s))
    return found


def was_absent(
    known: dict[str, list[Absence]], node: str, from_s: float, to_s: float, grace_s: float = 0.0
) -> bool:
    """Whether the node did not work at some moment of a time, or until `grace_s` before it."""
    return any(
        absence.began_s <= to_s and absence.ended_s + grace_s >= from_s
        for absence in known.get(node, ())
    )
