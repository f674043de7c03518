"""Lengths, publications and crashes of a run; the same for every scheduler."""

import math
import random
from dataclasses import dataclass

from bellweir_rehearsal.standins.token_model import LONGEST_TO_MEDIAN, NORMAL_QUANTILE_LONGEST

SIGMA = math.log(LONGEST_TO_MEDIAN) / NORMAL_QUANTILE_LONGEST
"""The stand-in's lognormal: one sample in a thousand is 20 times the median."""


@dataclass(frozen=True)
class Workload:
    """What a run is made of; times are model seconds."""

    seed: int = 1
    duration_s: float = 1_200.0
    engines: int = 4
    maximum_batch: int = 16
    trainers: int = 2
    prompts: int = 32
    samples_per_prompt: int = 8
    prompt_tokens: int = 200
    median_tokens: int = 500
    prompt_share: float = 0.5
    """Share of the variance of log lengths that lies between prompts; an assumption."""
    train_s: float = 75.0
    publish_every_s: float = 120.0
    swap_s: float = 0.4
    """Time in which an engine that loads a version generates nothing, as in the stand-in."""
    crash_every_s: float = 180.0
    down_s: float = 15.0

    @property
    def slots(self) -> int:
        """Samples of a step."""
        return self.prompts * self.samples_per_prompt

    @property
    def longest_tokens(self) -> int:
        """No sample is longer."""
        return LONGEST_TO_MEDIAN * self.median_tokens

    def lengths(self, step_id: str) -> list[int]:
        """Length of each slot of a step, in tokens."""
        chance = random.Random(f"{self.seed}/{step_id}")
        between = SIGMA * math.sqrt(self.prompt_share)
        within = SIGMA * math.sqrt(1 - self.prompt_share)
        lengths: list[int] = []
        for _ in range(self.prompts):
            centre = chance.gauss(0, between)
            for _ in range(self.samples_per_prompt):
                length = self.median_tokens * math.exp(centre + chance.gauss(0, within))
                lengths.append(max(1, min(round(length), self.longest_tokens)))
        return lengths

    def crashes(self) -> list[tuple[float, int]]:
        """Times of crashes and the engines' numbers: exponential gaps."""
        chance = random.Random(f"{self.seed}/crashes")
        found: list[tuple[float, int]] = []
        now_s = chance.expovariate(1 / self.crash_every_s)
        while now_s < self.duration_s:
            found.append((now_s, chance.randrange(self.engines)))
            now_s += chance.expovariate(1 / self.crash_every_s)
        return found

    def swaps(self) -> list[tuple[float, int, int]]:
        """Times at which an engine begins to load a version: time, engine, version.

        A version is fetched in about 2 s; then half of the engines load it, then the others.
        """
        found: list[tuple[float, int, int]] = []
        for number in range(1, math.ceil(self.duration_s / self.publish_every_s)):
            for engine in range(self.engines):
                wave = 2.0 if engine < self.engines / 2 else 2.0 + 2 * self.swap_s
                found.append((number * self.publish_every_s + wave, engine, number + 1))
        return found
