"""`bellweir rehearse soak`: random faults, singly and in pairs, over today's deployments."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from bellweir_rehearsal.faults.kinds import FaultKind
from bellweir_rehearsal.faults.schedule import random_schedule, targets_of
from bellweir_rehearsal.load.standard import MODEST_RATE_FOR_EACH_S, standard_load
from bellweir_rehearsal.plan import RunPlan
from bellweir_rehearsal.promises.verdict import Promise, Ruling
from bellweir_rehearsal.result import RunResult
from bellweir_rehearsal.topology.deployment import load_deployment

BOUT_S = 60.0
"""Length of one bout: a fresh deployment under load and faults."""
DEPLOYMENTS = ("configurator", "hammerfield")


@dataclass(frozen=True)
class SoakTotals:
    """Counts over all bouts."""

    bouts: int
    requests: int
    samples: int
    faults: int
    faults_by_kind: dict[str, int]
    breaches: dict[str, int]
    """By promise."""
    unchecked: tuple[str, ...]
    """Promises that had nothing to check in any bout."""


def soak_plans(
    seed: int,
    minutes: float,
    deployments: Sequence[str] = DEPLOYMENTS,
    kinds: Sequence[FaultKind] = tuple(FaultKind),
    rate_for_each_s: float = MODEST_RATE_FOR_EACH_S,
    intensity: float = 1.0,
) -> list[RunPlan]:
    """Make the plans of a soak, one a bout; the same for the same arguments."""
    bouts = max(1, round(minutes * 60 / BOUT_S))
    duration_s = min(BOUT_S, minutes * 60)
    plans: list[RunPlan] = []
    for number in range(bouts):
        deployment = load_deployment(deployments[number % len(deployments)])
        bout_seed = seed * 1_000 + number
        plans.append(
            RunPlan(
                deployment=deployment,
                load=standard_load(deployment, rate_for_each_s),
                duration_s=duration_s,
                seed=bout_seed,
                faults=random_schedule(
                    targets_of(deployment), duration_s, bout_seed, kinds, intensity
                ),
                settle_s=8.0,
            )
        )
    return plans


def totals(results: Sequence[RunResult]) -> SoakTotals:
    """Add up the results of all bouts."""
    kinds = Counter(mark.kind for result in results for mark in result.faults if not mark.problem)
    breaches = Counter[str]()
    for result in results:
        for promise in result.promises:
            breaches[promise.promise] += len(promise.breaches)
    checked = {
        promise.promise
        for result in results
        for promise in result.promises
        if promise.ruling is not Ruling.NOTHING_CHECKED
    }
    return SoakTotals(
        bouts=len(results),
        requests=sum(entry.requested for result in results for entry in result.classes),
        samples=sum(result.trainers.samples for result in results),
        faults=sum(kinds.values()),
        faults_by_kind=dict(sorted(kinds.items())),
        breaches={promise: count for promise, count in breaches.items() if count},
        unchecked=tuple(entry.name for entry in Promise if entry.name not in checked),
    )
