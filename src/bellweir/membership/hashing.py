"""Rendezvous hashing: each key goes to the candidate with the highest weight for it.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998). When a
candidate goes, only its keys move, evenly to the others.
"""

from collections.abc import Iterable

import xxhash


def weight(key: str, candidate: str) -> int:
    """Return the 64-bit weight of a candidate for a key."""
    return xxhash.xxh64_intdigest(key.encode(), xxhash.xxh32_intdigest(candidate.encode()))


def highest(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest weight; None without candidates."""
    return max(candidates, key=lambda candidate: (weight(key, candidate), candidate), default=None)


def ranked(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by falling weight."""
    return sorted(
        candidates, key=lambda candidate: (weight(key, candidate), candidate), reverse=True
    )
