"""A hint of which prompt prefixes each engine holds in its cache.

Fed by what this node has sent (at once, before any event) and by cache events (late, with gaps).
It is never relied on: a wrong hint costs the engine a prefill, nothing else. Blocks are kept by
32 bits of their hash; a collision is one more wrong hint.
"""

import threading
from collections import OrderedDict
from collections.abc import Iterable, Sequence

import xxhash

from bellweir.clients.interface import PREFIX_BLOCK_CHARACTERS

KEPT_BLOCKS = 8192
"""Blocks kept for each engine, least recently used first out; about 0.8 MB each."""
PROMPT_BLOCKS = 128
"""Blocks of a prompt that are compared; a longer common start decides nothing more."""
HASH_MASK = (1 << 32) - 1


def prompt_blocks(prompt: str) -> tuple[int, ...]:
    """Hashes of the prompt's leading whole blocks, as cache events name them, cut to 32 bits."""
    digest = xxhash.xxh64()
    hashes = []
    last = min(len(prompt), PROMPT_BLOCKS * PREFIX_BLOCK_CHARACTERS) - PREFIX_BLOCK_CHARACTERS
    for start in range(0, last + 1, PREFIX_BLOCK_CHARACTERS):
        digest.update(prompt[start : start + PREFIX_BLOCK_CHARACTERS].encode())
        hashes.append(digest.intdigest() & HASH_MASK)
    return tuple(hashes)


class PrefixIndex:
    """Blocks by engine (`pool/worker`); thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._held: dict[str, OrderedDict[int, None]] = {}

    def count_matched_blocks(self, workers: Sequence[str], blocks: Sequence[int]) -> list[int]:
        """For each engine the number of the prompt's leading blocks it is thought to hold."""
        with self._lock:
            return [self._count_matched(worker, blocks) for worker in workers]

    def add(self, worker: str, blocks: Iterable[int]) -> None:
        """Note blocks as held, those of a prompt first to last."""
        with self._lock:
            held = self._held.setdefault(worker, OrderedDict())
            # The start of a prompt is used last, so that it is forgotten last.
            for block in reversed(tuple(blocks)):
                held[block] = None
                held.move_to_end(block)
            while len(held) > KEPT_BLOCKS:
                held.popitem(last=False)

    def remove(self, worker: str, blocks: Iterable[int]) -> None:
        """Note blocks as evicted."""
        with self._lock:
            held = self._held.get(worker)
            if held is not None:
                for block in blocks:
                    held.pop(block, None)

    def reset(self, worker: str) -> None:
        """Forget everything of an engine."""
        with self._lock:
            self._held.pop(worker, None)

    def retain(self, workers: set[str]) -> None:
        """Forget engines that are no longer routed over."""
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
