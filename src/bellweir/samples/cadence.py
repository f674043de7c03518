"""When a sample will become stale, foreseen from the times of earlier publications."""

import itertools
import statistics
from dataclasses import dataclass

from bellweir.samples.messages import Publication
from bellweir.samples.staleness import (
    UNKNOWN_TIME_S,
    StalenessBound,
    age_versions,
    superseded_at_s,
)

INTERVALS_USED = 8
NEVER_S = float("inf")


@dataclass(frozen=True)
class VersionCadence:
    """Publications of a policy, and how often they come."""

    publications: tuple[Publication, ...]
    interval_s: float | None
    """Median time between publications; None before two were watched."""
    last_s: float | None

    def next_publication_s(self, number: int, now_s: float) -> float:
        """Expected wall-clock time of the `number`-th publication from now, from 1 on."""
        if self.interval_s is None or self.last_s is None:
            return NEVER_S
        return max(self.last_s + self.interval_s, now_s) + (number - 1) * self.interval_s

    def stale_at_s(self, version: int, bound: StalenessBound, now_s: float) -> float:
        """Expected wall-clock time at which a sample of that oldest version becomes stale."""
        times = [NEVER_S]
        if bound.versions is not None:
            left = bound.versions - age_versions(version, self.publications)
            times.append(now_s if left < 0 else self.next_publication_s(left + 1, now_s))
        if bound.seconds is not None:
            superseded_s = superseded_at_s(version, self.publications)
            if superseded_s is None:
                superseded_s = self.next_publication_s(1, now_s)
            times.append(superseded_s + bound.seconds)
        return min(times)


def cadence_of(publications: tuple[Publication, ...]) -> VersionCadence:
    """The cadence that recent publications show."""
    times = sorted({entry.seen_at_s for entry in publications if entry.seen_at_s > UNKNOWN_TIME_S})[
        -INTERVALS_USED - 1 :
    ]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    interval_s = statistics.median(gaps) if gaps else None
    return VersionCadence(publications, interval_s, times[-1] if times else None)
