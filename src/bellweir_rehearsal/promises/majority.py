"""When the ledger's replicas can have had a majority, as far as the kit took nodes away.

With two of three machines gone at once nothing can be committed, whatever the service does; the
kit must know when it was itself the cause. A machine with an empty disk counts as a replica only
after some time with a majority, since without one it can't be taken in.
"""

from dataclasses import dataclass, field
from itertools import pairwise

from bellweir_rehearsal.promises.availability import Absence, absences
from bellweir_rehearsal.promises.evidence import Evidence

RESOLUTION_S = 0.25
PROMOTION_S = 10.0
"""Time with a majority after which a new machine is counted as a replica."""
NODE_REPLACED = "node_replaced"


@dataclass
class _Replicas:
    """The replicas at one moment of the simulation."""

    present: dict[str, str]
    """Machine in each place, by the name of the first one."""
    counted: set[str]
    """Machines that have the data."""
    progress_s: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class MajorityTimes:
    """Moments, `RESOLUTION_S` apart, in which a majority can have been there."""

    moments: tuple[tuple[float, bool], ...]

    def seconds_between(self, from_s: float, to_s: float) -> float:
        """Time with a majority between two moments, in seconds."""
        return sum(
            later - at_s
            for (at_s, there), (later, _) in pairwise(self.moments)
            if there and from_s <= at_s < to_s
        )


def majority_times(evidence: Evidence, nodes: frozenset[str]) -> MajorityTimes:
    """Simulate the replicas on `nodes`, those with a data folder at the start."""
    absent = absences(evidence)
    replaced = [
        (evidence.faults_ended[fault.fault_id].time_s, fault.targets[0], fault.fault_id)
        for fault in evidence.faults_began
        if fault.kind == NODE_REPLACED and fault.fault_id in evidence.faults_ended
    ]
    replicas = _Replicas({node: node for node in nodes}, set(nodes))
    moments: list[tuple[float, bool]] = []
    at_s = evidence.records[0].time_s if evidence.records else 0.0
    while at_s < evidence.last_s:
        for ended_s, old, fault_id in replaced:
            if at_s - RESOLUTION_S < ended_s <= at_s:
                _replace(replicas, old, f"{old}-{fault_id}")
        there = _step(replicas, absent, at_s)
        moments.append((at_s, there))
        at_s += RESOLUTION_S
    return MajorityTimes(tuple(moments))


def _replace(replicas: _Replicas, old: str, new: str) -> None:
    for place, machine in replicas.present.items():
        if machine == old:
            replicas.present[place] = new
            replicas.progress_s[new] = 0.0


def _step(replicas: _Replicas, absent: dict[str, list[Absence]], at_s: float) -> bool:
    working = [
        machine
        for machine in replicas.present.values()
        if not any(entry.began_s <= at_s <= entry.ended_s for entry in absent.get(machine, ()))
    ]
    there = sum(machine in replicas.counted for machine in working) * 2 > len(replicas.present)
    for machine in working:
        if there and machine not in replicas.counted:
            replicas.progress_s[machine] = replicas.progress_s.get(machine, 0.0) + RESOLUTION_S
            if replicas.progress_s[machine] >= PROMOTION_S:
                replicas.counted.add(machine)
    return there
