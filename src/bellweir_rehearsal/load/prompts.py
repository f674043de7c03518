"""Prompts that share prefixes, as system prompts and templates do."""

import random

WORDS = (
    "oak",
    "pine",
    "window",
    "door",
    "frame",
    "glass",
    "hinge",
    "lintel",
    "table",
    "paper",
    "garden",
    "tyre",
    "engine",
    "hours",
    "reserve",
    "photo",
    "paint",
    "price",
    "width",
    "height",
)
PREFIX_WORDS = 120
TAIL_WORDS = 12


class PromptSource:
    """Makes prompts; a few prefixes are shared by many of them. Not for several threads."""

    def __init__(self, seed: int, shared_prefixes: int = 8) -> None:
        self._random = random.Random(seed)
        self._prefixes = [self._words(PREFIX_WORDS) for _ in range(shared_prefixes)]

    def prompt(self, unique: str) -> str:
        """One prompt: a shared prefix, then words of its own and the unique text."""
        # Zipf-like popularity: prefix k is drawn with a weight of 1 / (k + 1).
        weights = [1 / (rank + 1) for rank in range(len(self._prefixes))]
        prefix = self._random.choices(self._prefixes, weights)[0]
        return f"{prefix} {self._words(TAIL_WORDS)} [{unique}]"

    def _words(self, count: int) -> str:
        return " ".join(self._random.choice(WORDS) for _ in range(count))


def step_prompts(step_id: str, count: int) -> tuple[str, ...]:
    """Make the prompts of a training step; no two steps share a prompt, but prefixes they do."""
    source = PromptSource(seed=hash_of(step_id), shared_prefixes=2)
    return tuple(source.prompt(f"{step_id}/{index}") for index in range(count))


def hash_of(text: str) -> int:
    """Hash a text to a seed, the same in every process."""
    return random.Random(text).getrandbits(32)
