"""Cache of prompt prefixes in blocks, with limited memory and least-recently-used eviction."""

import random
import threading
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, replace

import xxhash

from bellweir.clients.interface import PREFIX_BLOCK_CHARACTERS, CacheEvent, CacheEventBatch
from bellweir_rehearsal.standins.token_model import CHARACTERS_PER_TOKEN

TOKENS_PER_BLOCK = PREFIX_BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Return the hash of each whole block: xxh64 of the text up to the block's end."""
    digest = xxhash.xxh64()
    found = []
    for start in range(0, len(prompt) - PREFIX_BLOCK_CHARACTERS + 1, PREFIX_BLOCK_CHARACTERS):
        digest.update(prompt[start : start + PREFIX_BLOCK_CHARACTERS].encode())
        found.append(digest.intdigest())
    return tuple(found)


class CacheEventLog:
    """Events as the engine publishes them: late, and some never."""

    def __init__(self, lag_s: float, gap_probability: float, kept: int, seed: str) -> None:
        self._lag_s = lag_s
        self._gap_probability = gap_probability
        self._random = random.Random(seed)
        self._next_sequence = 1
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=kept)

    def append(self, *, stored: bool, block_hash: int) -> None:
        """Add an event, or lose it."""
        event = CacheEvent(self._next_sequence, stored, block_hash)
        self._next_sequence += 1
        if self._random.random() >= self._gap_probability:
            self._events.append((time.monotonic(), event))

    def after(self, sequence: int) -> CacheEventBatch:
        """Return the published events after a sequence number.

        A number that was never given out comes from a reader of an earlier run of the engine: it
        gets everything from the start, marked as incomplete.
        """
        if sequence >= self._next_sequence:
            return replace(self.after(0), complete=False)
        visible_s = time.monotonic() - self._lag_s
        published = [event for at_s, event in self._events if at_s <= visible_s]
        events = tuple(event for event in published if event.sequence > sequence)
        last = max(events[-1].sequence if events else 0, sequence)
        complete = len(events) == last - sequence
        return CacheEventBatch(events, last + 1, complete)


@dataclass(frozen=True)
class CacheUse:
    """How full the cache is."""

    used_tokens: int
    capacity_tokens: int


class PrefixCache:
    """Blocks in order of last use; safe from several threads."""

    def __init__(self, capacity_tokens: int, events: CacheEventLog) -> None:
        self._capacity_blocks = capacity_tokens // TOKENS_PER_BLOCK
        self._events = events
        self._lock = threading.Lock()
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def match(self, hashes: tuple[int, ...]) -> int:
        """Return how many tokens of a prompt's blocks are cached, and mark them used."""
        with self._lock:
            found = 0
            for block_hash in hashes:
                if block_hash not in self._blocks:
                    break
                found += 1
            self._touch(hashes[:found])
        return found * TOKENS_PER_BLOCK

    def store(self, hashes: tuple[int, ...]) -> None:
        """Store the blocks of a prompt whose prefill has ended, evicting the least used."""
        with self._lock:
            for block_hash in hashes[: self._capacity_blocks]:
                if block_hash not in self._blocks:
                    self._blocks[block_hash] = None
                    self._events.append(stored=True, block_hash=block_hash)
            self._touch(hashes[: self._capacity_blocks])
            while len(self._blocks) > self._capacity_blocks:
                self._evict_one()

    def _touch(self, hashes: tuple[int, ...]) -> None:
        # From the last to the first, so that of one prompt the end is evicted before the start:
        # a block without those before it is of no use.
        for block_hash in reversed(hashes):
            self._blocks.move_to_end(block_hash)

    def _evict_one(self) -> None:
        block_hash, _ = self._blocks.popitem(last=False)
        self._events.append(stored=False, block_hash=block_hash)

    def clear(self) -> None:
        """Evict everything: new weights make old keys and values useless."""
        with self._lock:
            while self._blocks:
                self._evict_one()

    def use(self) -> CacheUse:
        """Return how full the cache is."""
        capacity = self._capacity_blocks * TOKENS_PER_BLOCK
        return CacheUse(len(self._blocks) * TOKENS_PER_BLOCK, capacity)

    def events_after(self, sequence: int) -> CacheEventBatch:
        """Return the published events after a sequence number."""
        with self._lock:
            return self._events.after(sequence)
