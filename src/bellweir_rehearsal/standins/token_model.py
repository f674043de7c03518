"""What the stand-in engines generate: tokens that follow from prompt, seed and position alone.

So a stream that was cut and resumed on another engine can be checked for gaps and repeats, and
any reader of a log can compute what an answer must have been.
"""

import math

import xxhash

_WORDS = """
able above again air also apple around back because bird black blue boat both bread bridge
bring call cloud cold come could day dream earth east even every far field fire first five
flower form garden give glass good green hand high hill house idea just keep know land late
leaf light line long moon much near next night north old one open paper
"""
VOCABULARY = tuple(_WORDS.split())
CHARACTERS_PER_TOKEN = 4
"""Prompt characters that count as one token, the usual rule of thumb for English text."""
SEED_MODULUS = 1 << 64
LONGEST_TO_MEDIAN = 20
"""The longest answers are about this many times the median."""
NORMAL_QUANTILE_LONGEST = 3.09
"""Standard normal quantile at 0.999: one answer in a thousand reaches the longest length."""


def tokens_between(prompt: str, seed: int | None, first: int, end: int) -> tuple[int, ...]:
    """Return the tokens at positions `first` up to but not including `end`."""
    base = stream_seed(prompt, seed)
    size = len(VOCABULARY)
    digest = xxhash.xxh64_intdigest
    return tuple(digest(b"%d" % position, base) % size for position in range(first, end))


def stream_seed(prompt: str, seed: int | None) -> int:
    """Return the 64-bit number that a generation's tokens and length follow from."""
    return xxhash.xxh64_intdigest(prompt.encode(), (seed or 0) % SEED_MODULUS)


def text_of(tokens: tuple[int, ...]) -> str:
    """Return the text of tokens: each one a word with a space before it."""
    return "".join(f" {VOCABULARY[token % len(VOCABULARY)]}" for token in tokens)


def prompt_token_count(prompt: str) -> int:
    """Return the number of tokens that a prompt counts as."""
    return -(-len(prompt) // CHARACTERS_PER_TOKEN)


def natural_length(prompt: str, seed: int | None, median_tokens: int) -> int:
    """Return the length at which a generation stops by itself.

    Lognormal with the given median; one in a thousand reaches `LONGEST_TO_MEDIAN` times the
    median, and none is longer.
    """
    sigma = math.log(LONGEST_TO_MEDIAN) / NORMAL_QUANTILE_LONGEST
    first, second = _uniform_pair(stream_seed(prompt, seed))
    normal = math.sqrt(-2.0 * math.log(first)) * math.cos(2.0 * math.pi * second)
    length = median_tokens * math.exp(sigma * normal)
    return max(1, min(round(length), LONGEST_TO_MEDIAN * median_tokens))


def _uniform_pair(seed: int) -> tuple[float, float]:
    """Return two numbers above 0 and at most 1, for the Box-Muller transform."""
    scale = float(1 << 64)
    first = (xxhash.xxh64_intdigest(b"length-1", seed) + 1) / scale
    second = (xxhash.xxh64_intdigest(b"length-2", seed) + 1) / scale
    return first, second
