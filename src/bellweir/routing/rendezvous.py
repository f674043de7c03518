"""Rendezvous hashing, plain and weighted; the same on every node.

Each member gets a score for a key and the highest score wins, so that adding or removing a
member moves only the keys it gains or loses (Thaler and Ravishankar 1998). The weighted score
`-weight / ln(hash)` is the logarithmic method of Schindelhauer and Schomaker (2005): a changed
weight moves keys only from or to the member whose weight changed.
"""

import math

import xxhash

HASH_RANGE = float(1 << 64)
SEPARATOR = "\x1f"


def score(key: str, member: str, weight: float = 1.0) -> float:
    """Score of a member for a key; `weight` must be above 0."""
    digest = xxhash.xxh64_intdigest(f"{key}{SEPARATOR}{member}".encode())
    fraction = (digest + 0.5) / HASH_RANGE
    return -weight / math.log(min(fraction, 1.0 - 1e-16))
