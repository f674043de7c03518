"""Estimates of how long samples get, from what is known of their prompts.

Lengths are taken as lognormal. The spread of their logarithms has a part between prompts and a
part within one prompt; a prompt's own samples are weighed against all others accordingly (the
usual shrinkage of a random-effects model). A sample that already has `t` tokens is longer than
`t`: what remains is expected under that condition, so a straggler's remaining time grows with it.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

import xxhash

KEPT_PROMPTS = 16_384
FEWEST_LENGTHS = 8
"""Finished samples before their spread is believed."""
PRIOR_SIGMA = 1.0
PRIOR_SHARE_OF_MAXIMUM = 0.05
"""Median length assumed before any sample has finished, as a share of the most tokens allowed."""
SMALLEST_PROBABILITY = 1e-12


@dataclass(frozen=True)
class LengthBelief:
    """A lognormal belief about one sample's length in tokens, cut off at `maximum`."""

    mu: float
    sigma: float
    maximum: int

    def expected_tokens(self, at_least: int = 0) -> float:
        """Expected length of a sample known to be longer than `at_least`."""
        mean = math.exp(self.mu + self.sigma**2 / 2)
        if at_least <= 0:
            return min(mean, float(self.maximum))
        z = (math.log(at_least) - self.mu) / self.sigma
        beyond = _upper_tail(z)
        if beyond < SMALLEST_PROBABILITY:
            return min(at_least * (1 + self.sigma / max(z, 1.0)), float(self.maximum))
        expected = mean * _upper_tail(z - self.sigma) / beyond
        return min(max(expected, float(at_least)), float(self.maximum))

    def cautious_tokens(self, at_least: int = 0) -> float:
        """Length that is exceeded by about one sample in six: its median and one sigma more.

        Starting by this, rather than by the mean, lets a sample of which little is known go
        before one that is known to be about as long.
        """
        if at_least <= 0:
            return min(math.exp(self.mu + self.sigma), float(self.maximum))
        spread = math.exp(self.sigma - self.sigma**2 / 2)
        return min(self.expected_tokens(at_least) * spread, float(self.maximum))

    def probability_within(self, tokens: float, at_least: int = 0) -> float:
        """Probability of ending within `tokens` in all, known to be longer than `at_least`."""
        if tokens >= self.maximum:
            return 1.0
        if tokens <= at_least or tokens <= 0:
            return 0.0
        longer = _upper_tail((math.log(tokens) - self.mu) / self.sigma)
        if at_least <= 0:
            return 1.0 - longer
        known = _upper_tail((math.log(at_least) - self.mu) / self.sigma)
        return 1.0 - longer / known if known > SMALLEST_PROBABILITY else 0.5


def _upper_tail(z: float) -> float:
    """Probability that a standard normal variable exceeds `z`."""
    return 0.5 * math.erfc(z / math.sqrt(2.0))


@dataclass
class _PromptLengths:
    count: int = 0
    mean: float = 0.0


class LengthEstimator:
    """Lengths of one policy's samples; used by one thread."""

    def __init__(self) -> None:
        self._prompts: OrderedDict[int, _PromptLengths] = OrderedDict()
        self._count = 0
        self._mean = 0.0
        self._squares = 0.0
        self._within_squares = 0.0
        self._within_count = 0

    def observe(self, prompt: str, tokens: int) -> None:
        """Take up a finished sample's length."""
        value = math.log(max(1, tokens))
        self._count += 1
        difference = value - self._mean
        self._mean += difference / self._count
        self._squares += difference * (value - self._mean)
        self._observe_prompt(prompt, value)

    def _observe_prompt(self, prompt: str, value: float) -> None:
        lengths = self._prompts.setdefault(_key(prompt), _PromptLengths())
        self._prompts.move_to_end(_key(prompt))
        if lengths.count:
            difference = value - lengths.mean
            self._within_squares += difference**2 * lengths.count / (lengths.count + 1)
            self._within_count += 1
        lengths.count += 1
        lengths.mean += (value - lengths.mean) / lengths.count
        while len(self._prompts) > KEPT_PROMPTS:
            self._prompts.popitem(last=False)

    def believe(self, prompt: str, maximum: int) -> LengthBelief:
        """Belief about the next sample of a prompt."""
        if self._count < FEWEST_LENGTHS:
            median = max(1.0, maximum * PRIOR_SHARE_OF_MAXIMUM)
            mu = self._mean if self._count else math.log(median)
            return LengthBelief(mu, PRIOR_SIGMA, maximum)
        total = max(self._squares / (self._count - 1), 1e-6)
        within = total
        if self._within_count >= FEWEST_LENGTHS:
            within = min(total, max(self._within_squares / self._within_count, 1e-6))
        between = total - within
        lengths = self._prompts.get(_key(prompt), _PromptLengths())
        weight = lengths.count * between / (lengths.count * between + within)
        mu = weight * lengths.mean + (1 - weight) * self._mean
        sigma = math.sqrt(within + between * (1 - weight))
        return LengthBelief(mu, sigma, maximum)


def _key(prompt: str) -> int:
    return xxhash.xxh64_intdigest(prompt.encode())
