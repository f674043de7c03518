"""Schedules of faults: from an experiment file, or random by seed, singly and in pairs."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from pydantic import Field

from bellweir_rehearsal.faults.kinds import (
    TARGETS_APPLICATION,
    TARGETS_ENGINE,
    TARGETS_NODE,
    TARGETS_WORKER,
    TARGETS_ZONE,
    FaultKind,
)
from bellweir_rehearsal.topology.deployment import Deployment, Part

SHORTEST_GAP_S = 3.0
LONGEST_GAP_S = 6.0
SHORTEST_FAULT_S = 1.0
LONGEST_FAULT_S = 5.0
PAIR_SHARE = 0.35
"""Share of the faults that have a second one beside them."""
DURATIONS_S = {
    # Longer than leases and leaderships last.
    FaultKind.LEASE_LAPSE: (6.0, 8.0),
    # Long enough that work is still watched for after the grace time.
    FaultKind.WORKER_LEAVES: (6.0, 9.0),
    FaultKind.WORKER_LEAVES_ITSELF: (6.0, 9.0),
    FaultKind.WORKER_LEAVES_BY_LIST: (9.0, 12.0),
    FaultKind.REGION_SPLIT: (3.0, 9.0),
    FaultKind.STORE_DOWN: (4.0, 15.0),
    FaultKind.WEIGHT_STORE_DOWN: (4.0, 10.0),
}
"""Shortest and longest duration of kinds that need others than the usual ones."""
QUIET_AT_START_S = 5.0
QUIET_AT_END_S = 15.0
"""No fault begins in the last seconds, so that what is in hand can come to its end."""
REPLACEMENT_GAP_S = 40.0
"""Time between two machines lost with their disks: two at once would lose a majority for good."""


class PlannedFault(Part):
    """One fault of a schedule."""

    at_s: float = Field(ge=0)
    """Seconds from the start of the load."""
    kind: FaultKind
    duration_s: float = Field(default=3.0, gt=0)
    target: str = ""
    """Node, worker or zone, as the kind wants; a random one by seed when empty."""


@dataclass(frozen=True)
class Targets:
    """What faults can hit."""

    nodes: tuple[str, ...]
    engines: tuple[str, ...]
    applications: tuple[str, ...]
    zones: tuple[str, ...]

    def of(self, kind: FaultKind) -> tuple[str, ...]:
        """Targets that a kind can have; none when it has no target."""
        if kind in TARGETS_ENGINE:
            return self.engines
        if kind in TARGETS_APPLICATION:
            return self.applications
        if kind in TARGETS_WORKER:
            return self.engines + self.applications
        if kind in TARGETS_NODE:
            return self.nodes
        return self.zones if kind in TARGETS_ZONE else ()


def targets_of(deployment: Deployment) -> Targets:
    """The targets of a deployment, by the names that the topology gives."""
    return Targets(
        nodes=tuple(
            f"node-{zone.name}-{number}"
            for zone in deployment.zones
            for number in range(1, zone.nodes + 1)
        ),
        engines=tuple(
            f"{pool.name}-{number}"
            for pool in deployment.engine_pools
            for number in range(1, len(pool.workers) + 1)
        ),
        applications=tuple(
            f"{pool.name}-{number}"
            for pool in deployment.application_pools
            for number in range(1, len(pool.workers) + 1)
        ),
        zones=tuple(zone.name for zone in deployment.zones),
    )


def random_schedule(
    targets: Targets,
    duration_s: float,
    seed: int,
    kinds: Sequence[FaultKind] = tuple(FaultKind),
    intensity: float = 1.0,
) -> tuple[PlannedFault, ...]:
    """Draw a schedule; the same for the same arguments. All kinds come up in turn.

    `intensity` divides the time between faults: at 3, several are in force at most times.
    """
    source = random.Random(seed)
    planned: list[PlannedFault] = []
    deck: list[FaultKind] = []
    at_s = QUIET_AT_START_S
    last_replacement_s = -REPLACEMENT_GAP_S
    while at_s < duration_s - QUIET_AT_END_S:
        for _ in range(2 if source.random() < PAIR_SHARE else 1):
            deck = deck or source.sample(list(kinds), len(kinds))
            kind = deck.pop()
            if kind is FaultKind.NODE_REPLACED:
                if at_s - last_replacement_s < REPLACEMENT_GAP_S:
                    continue
                last_replacement_s = at_s
            planned.append(_draw(kind, at_s, targets, source))
        at_s += source.uniform(SHORTEST_GAP_S, LONGEST_GAP_S) / intensity
    return tuple(planned)


def with_targets(
    schedule: Sequence[PlannedFault], targets: Targets, seed: int
) -> tuple[PlannedFault, ...]:
    """Fill in the targets that a schedule leaves open."""
    source = random.Random(seed)
    return tuple(
        entry
        if entry.target or not targets.of(entry.kind)
        else entry.model_copy(update={"target": source.choice(targets.of(entry.kind))})
        for entry in schedule
    )


def _draw(kind: FaultKind, at_s: float, targets: Targets, source: random.Random) -> PlannedFault:
    possible = targets.of(kind)
    duration_s = source.uniform(*DURATIONS_S.get(kind, (SHORTEST_FAULT_S, LONGEST_FAULT_S)))
    return PlannedFault(
        # A second of a pair begins within the first.
        at_s=round(at_s + source.uniform(0, SHORTEST_FAULT_S), 3),
        kind=kind,
        duration_s=round(duration_s, 3),
        target=source.choice(possible) if possible else "",
    )
