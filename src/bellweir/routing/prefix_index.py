"""Approximate index of the prompt prefixes in each engine's cache.

Updated by the requests this node sends and by cache events, which are late and may have gaps.
A wrong entry, or a collision of the 32-bit block hashes, only costs the engine a prefill.
"""

import threading
from collections import OrderedDict
from collections.abc import Iterable, Sequence

import xxhash

from bellweir.clients.interface import PREFIX_BLOCK_CHARACTERS

MAX_BLOCKS_PER_ENGINE = 8192
"""The least recently used blocks are evicted."""
MAX_PROMPT_BLOCKS = 128
HASH_MASK = (1 << 32) - 1


def prompt_blocks(prompt: str) -> tuple[int, ...]:
    """Return the hashes of the prompt's leading full blocks as in cache events, cut to 32 bits."""
    digest = xxhash.xxh64()
    hashes = []
    last = min(len(prompt), MAX_PROMPT_BLOCKS * PREFIX_BLOCK_CHARACTERS) - PREFIX_BLOCK_CHARACTERS
    for start in range(0, last + 1, PREFIX_BLOCK_CHARACTERS):
        digest.update(prompt[start : start + PREFIX_BLOCK_CHARACTERS].encode())
        hashes.append(digest.intdigest() & HASH_MASK)
    return tuple(hashes)


class PrefixIndex:
    """Cached blocks by engine key (`pool/worker`); thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._held: dict[str, OrderedDict[int, None]] = {}

    def count_matched_blocks(self, workers: Sequence[str], blocks: Sequence[int]) -> list[int]:
        """Return, for each engine, the number of leading blocks of the prompt in its cache."""
        with self._lock:
            return [self._count_matched(worker, blocks) for worker in workers]

    def add(self, worker: str, blocks: Iterable[int]) -> None:
        """Record cached blocks, given in the order of the prompt."""
        with self._lock:
            held = self._held.setdefault(worker, OrderedDict())
            # The start of the prompt becomes the most recently used and is evicted last.
            for block in reversed(tuple(blocks)):
                held[block] = None
                held.move_to_end(block)
            while len(held) > MAX_BLOCKS_PER_ENGINE:
                held.popitem(last=False)

    def remove(self, worker: str, blocks: Iterable[int]) -> None:
        """Record evicted blocks."""
        with self._lock:
            held = self._held.get(worker)
            if held is not None:
                for block in blocks:
                    held.pop(block, None)

    def reset(self, worker: str) -> None:
        """Remove all blocks of an engine."""
        with self._lock:
            self._held.pop(worker, None)

    def retain(self, workers: set[str]) -> None:
        """Drop all engines outside `workers`."""
        with self._lock:
            self._held = {name: held for name, held in self._held.items() if name in workers}

    def _count_matched(self, worker: str, blocks: Sequence[int]) -> int:
        held = self._held.get(worker)
        if held is None:
            return 0
        for count, block in enumerate(blocks):
            if block not in held:
                return count
        return len(blocks)
