"""Splits the traffic of a policy over the arms of its comparison."""

from collections.abc import Iterable

from bellweir.resources.models import Arm, Comparison
from bellweir.routing.rendezvous import score


def find_comparison(policy: str, comparisons: Iterable[Comparison]) -> Comparison | None:
    """The comparison that splits a policy's requests; the first by name if there are several."""
    matching = [found for found in comparisons if found.spec.policy == policy]
    return min(matching, key=lambda found: found.metadata.name, default=None)


def assign_arm(comparison: Comparison, unit: str) -> Arm:
    """The arm of a unit: the same on every node, and stable when other arms' shares change."""
    seed = comparison.spec.seed or comparison.metadata.name
    key = f"{seed}/{unit}"
    return max(comparison.spec.arms, key=lambda arm: score(key, arm.name, arm.share))
