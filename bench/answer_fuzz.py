"""Heads of answers that are cut, joined and changed, read until one is misread.

`PYTHONPATH=src:. python -m bench.answer_fuzz [--cases N] [--seed N]` from the repository's root;
one process, the same cases for the same seed. Ends with 1 at the first misread answer and prints
it.
"""

import argparse
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "features"))

from support.answer_fuzz import KINDS, check, long_ones

SHOWN_EVERY = 100_000


def main() -> int:
    """Read drawn bytes; returns 0 where all were read as the oracle says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cases", type=int, default=2_000_000, help="streams of bytes")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    rng, begun_s = random.Random(arguments.seed), time.monotonic()
    counts: Counter[str] = Counter()
    kinds = [kind for kind, draw in KINDS.items() for _ in range(1 if draw is long_ones else 5)]
    done = 0
    while done < arguments.cases:
        kind = rng.choice(kinds)
        for stream in KINDS[kind](rng):
            method = "HEAD" if stream.answers is None and rng.random() < 0.05 else "GET"
            try:
                check(stream, rng, method)
            except Exception as failure:
                print(f"case {done} of seed {arguments.seed}, {kind}: {failure!r}")
                return 1
            counts[kind] += 1
            done += 1
            if done % SHOWN_EVERY == 0:
                print(f"{done} cases, {time.monotonic() - begun_s:.0f} s", flush=True)
    for kind, count in counts.items():
        print(f"{count:9} {kind}")
    print(
        f"{done} cases of seed {arguments.seed} in {time.monotonic() - begun_s:.0f} s, none misread"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
