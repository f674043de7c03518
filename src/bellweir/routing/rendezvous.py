"""Weighted rendezvous hashing.

The member with the highest score for a key wins (Thaler and Ravishankar 1998). The score
`-weight / ln(hash)` is the logarithmic method of Schindelhauer and Schomaker (2005).
"""

import math

import xxhash

HASH_RANGE = float(1 << 64)
SEPARATOR = "\x1f"


def score(key: str, member: str, weight: float = 1.0) -> float:
    """Return the score of a member for a key; `weight` must be positive.

    The scores are equal on all nodes. Adding or removing a member, or changing its weight, moves
    only keys from or to that member.
    """
    digest = xxhash.xxh64_intdigest(f"{key}{SEPARATOR}{member}".encode())
    fraction = (digest + 0.5) / HASH_RANGE
    return -weight / math.log(min(fraction, 1.0 - 1e-16))
