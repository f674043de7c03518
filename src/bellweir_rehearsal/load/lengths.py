"""Lengths of answers: heavy-tailed, as in rollouts of reasoning models."""

import math
import random
from dataclasses import dataclass

# With this deviation the 99.9th percentile of a lognormal is about 20 times its median:
# exp(0.97 * 3.09) = 20.
DEVIATION_OF_LOGARITHM = 0.97
LONGEST_OVER_MEDIAN = 20


@dataclass(frozen=True)
class LengthModel:
    """A lognormal length, cut at a multiple of its median."""

    median_tokens: int
    deviation: float = DEVIATION_OF_LOGARITHM
    longest_over_median: int = LONGEST_OVER_MEDIAN

    def draw(self, source: random.Random) -> int:
        """Draw a length in tokens, at least 1."""
        drawn = source.lognormvariate(math.log(self.median_tokens), self.deviation)
        return max(1, min(round(drawn), self.median_tokens * self.longest_over_median))
