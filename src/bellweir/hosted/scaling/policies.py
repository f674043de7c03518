"""Scaling policies."""

from collections.abc import Mapping

from bellweir.hosted.scaling.interface import (
    ScalingDecision,
    ScalingLimits,
    ScalingPolicy,
    ZoneState,
)

REPLACEMENT_DELAY_S = 7.0
"""Time a worker is missing before it is replaced; longer than a crashed one takes to restart, which
is 3 to 5 s. A new one would come no sooner."""


class HoldPolicy(ScalingPolicy):
    """Orders nothing; lost workers are not replaced."""

    def decide(
        self, zones: Mapping[str, ZoneState], limits: ScalingLimits, now_s: float
    ) -> list[ScalingDecision]:
        """Return no decisions."""
        return []


class ReplacePolicy(ScalingPolicy):
    """Replaces lost workers in their own zone, or in the cheapest other zone if it has no capacity.

    >>> zone = ZoneState()
    >>> zone.ready, zone.desired, zone.missing_since_s = 4, 6, 0.0
    >>> limits = ScalingLimits(1, 12, 4.0, {"a": 1.0})
    >>> ReplacePolicy().decide({"a": zone}, limits, now_s=1.0)
    []
    >>> ReplacePolicy().decide({"a": zone}, limits, now_s=8.0)
    [ScalingDecision('a', 6, '2 missing')]
    """

    def decide(
        self, zones: Mapping[str, ZoneState], limits: ScalingLimits, now_s: float
    ) -> list[ScalingDecision]:
        """Return decisions for zones with missing workers, and for a substitute zone."""
        decisions: list[ScalingDecision] = []
        exhausted: list[str] = []
        for name, zone in zones.items():
            since_s = zone.missing_since_s
            if since_s is None or now_s - since_s < REPLACEMENT_DELAY_S:
                continue
            if now_s < zone.exhausted_until_s:
                exhausted.append(name)
            else:
                decisions.append(
                    ScalingDecision(name, limits.clip(zone.desired), f"{zone.missing} missing")
                )
        return decisions + _replacements_elsewhere(zones, limits, now_s, tuple(exhausted))


def _replacements_elsewhere(
    zones: Mapping[str, ZoneState], limits: ScalingLimits, now_s: float, exhausted: tuple[str, ...]
) -> list[ScalingDecision]:
    """Replace the missing workers of exhausted zones in the cheapest zone that has none missing."""
    candidates = [
        name
        for name, zone in zones.items()
        if now_s >= zone.exhausted_until_s and not zone.missing and zone.desired < limits.maximum
    ]
    missing = sum(zones[name].missing for name in exhausted)
    if not candidates or not missing:
        return []
    cheapest = min(candidates, key=lambda name: (limits.prices.get(name, 1.0), name))
    count = limits.clip(zones[cheapest].desired + missing)
    return [
        ScalingDecision(
            cheapest, count, f"{missing} unavailable in {', '.join(exhausted)}", exhausted
        )
    ]
