"""Assigns the traffic of a policy to the arms of its comparison."""

from collections.abc import Iterable

from bellweir.resources.models import Arm, Comparison
from bellweir.routing.rendezvous import score


def find_comparison(policy: str, comparisons: Iterable[Comparison]) -> Comparison | None:
    """The comparison of a policy; the first by name if there are several."""
    matching = [found for found in comparisons if found.spec.policy == policy]
    return min(matching, key=lambda found: found.metadata.name, default=None)


def assign_arm(comparison: Comparison, unit: str) -> Arm:
    """Assign a unit to an arm by weighted rendezvous hashing.

    All nodes agree, and a change of one arm's share moves units only to or from that arm.
    """
    seed = comparison.spec.seed or comparison.metadata.name
    key = f"{seed}/{unit}"
    return max(comparison.spec.arms, key=lambda arm: score(key, arm.name, arm.share))
