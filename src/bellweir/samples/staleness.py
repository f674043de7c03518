"""The staleness rule: one place decides whether a sample is still fresh.

A sample is as old as the oldest version among its segments. Its age in versions is the number of
versions by which the newest published one is ahead; its age in seconds runs from the moment at
which the first newer version was published.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from bellweir.routing.interface import Segment
from bellweir.samples.messages import Publication

UNKNOWN_TIME_S = 0.0
"""Publication time of versions that were there before anybody watched: infinitely long ago."""


@dataclass(frozen=True)
class StalenessBound:
    """What a step's declaration allows; None leaves a dimension open."""

    minimum_version: int | None = None
    versions: int | None = None
    seconds: float | None = None


def oldest_version(segments: Iterable[Segment]) -> int:
    """The oldest weight version of a sample."""
    return min(segment.weight_version for segment in segments)


def merge_publications(
    known: tuple[Publication, ...], seen: Iterable[Publication]
) -> tuple[Publication, ...]:
    """Both together in order of version, each at the earliest time it was seen.

    A node that has just started knows no times; what others know of them stands.
    """
    times = {publication.version: publication.seen_at_s for publication in known}
    for publication in seen:
        earlier_s = times.get(publication.version, UNKNOWN_TIME_S)
        times[publication.version] = _earlier(earlier_s, publication.seen_at_s)
    return tuple(Publication(version, times[version]) for version in sorted(times))


def _earlier(one_s: float, other_s: float) -> float:
    if UNKNOWN_TIME_S in (one_s, other_s):
        return max(one_s, other_s)
    return min(one_s, other_s)


def newest_version(publications: tuple[Publication, ...]) -> int | None:
    """The newest published version."""
    return publications[-1].version if publications else None


def age_versions(version: int, publications: tuple[Publication, ...]) -> int:
    """By how many versions the newest published one is ahead; 0 when none is."""
    newest = newest_version(publications)
    return max(0, newest - version) if newest is not None else 0


def superseded_at_s(version: int, publications: tuple[Publication, ...]) -> float | None:
    """When the first newer version was published; None when there is none."""
    times = [entry.seen_at_s for entry in publications if entry.version > version]
    return min(times) if times else None


def age_s(version: int, publications: tuple[Publication, ...], now_s: float) -> float:
    """Seconds since a newer version was published; 0 when there is none."""
    superseded_s = superseded_at_s(version, publications)
    return max(0.0, now_s - superseded_s) if superseded_s is not None else 0.0


def is_fresh(
    version: int, bound: StalenessBound, publications: tuple[Publication, ...], now_s: float
) -> bool:
    """Whether a sample whose oldest version is `version` may be handed over."""
    if bound.minimum_version is not None and version < bound.minimum_version:
        return False
    if bound.versions is not None and age_versions(version, publications) > bound.versions:
        return False
    return bound.seconds is None or age_s(version, publications, now_s) <= bound.seconds


def oldest_admissible(
    bound: StalenessBound, publications: tuple[Publication, ...], now_s: float
) -> int | None:
    """The oldest version that is fresh now; None when any is.

    A sample is fresh just when its oldest version is at least this one. With a bound in seconds
    it is the newest version that was published longer ago than the bound: whatever is older has
    been superseded at least as long. It never goes back as time and publications go on.
    """
    floors = [] if bound.minimum_version is None else [bound.minimum_version]
    newest = newest_version(publications)
    if bound.versions is not None and newest is not None:
        floors.append(newest - bound.versions)
    if bound.seconds is not None:
        expired = [
            entry.version for entry in publications if now_s - entry.seen_at_s > bound.seconds
        ]
        floors.extend(expired[-1:])
    return max(floors, default=None)
