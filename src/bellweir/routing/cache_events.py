"""Incremental reading of an engine's cache events, with a resync after gaps and restarts."""

from dataclasses import dataclass

from returns.result import Success

from bellweir.clients.interface import CacheEventBatch, Engine
from bellweir.routing.prefix_index import HASH_MASK

MIN_RESYNC_INTERVAL_S = 10.0
"""Interval between resyncs of an engine whose events have gaps; in between, incomplete batches
are applied as they are."""


@dataclass(frozen=True)
class PrefixChange:
    """Cache changes of one read."""

    reset: bool
    """Whether the blocks recorded before are to be dropped."""
    added: tuple[int, ...]
    removed: tuple[int, ...]


class CacheEventReader:
    """Reads the events of one engine; not thread-safe."""

    def __init__(self) -> None:
        self._after = 0
        self._resynced_s: float | None = None

    def read(self, engine: Engine, now_s: float) -> PrefixChange | None:
        """Read new events; None if the engine does not answer or nothing has changed."""
        batch = engine.read_cache_events(self._after).value_or(None)
        if batch is None:
            return None
        if batch.complete or not self._may_resync(now_s):
            return self._change(batch, reset=False)
        self._resynced_s = now_s
        match engine.read_cache_events(0):
            case Success(full_batch):
                return self._change(full_batch, reset=True)
        return None

    def _may_resync(self, now_s: float) -> bool:
        return self._resynced_s is None or now_s - self._resynced_s >= MIN_RESYNC_INTERVAL_S

    def _change(self, batch: CacheEventBatch, *, reset: bool) -> PrefixChange | None:
        self._after = batch.next_sequence - 1
        stored: dict[int, bool] = {}
        for event in batch.events:
            block = event.block_hash & HASH_MASK
            stored.pop(block, None)
            stored[block] = event.stored
        added = tuple(block for block, held in stored.items() if held)
        removed = tuple(block for block, held in stored.items() if not held)
        if not (reset or added or removed):
            return None
        return PrefixChange(reset, added, removed)
