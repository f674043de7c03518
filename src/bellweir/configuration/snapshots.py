"""Whole tables cut into chunks for peers that are too far behind for an update."""

import threading
from collections import deque
from dataclasses import dataclass

from bellweir.configuration.messages import (
    Change,
    ConfigurationSnapshotChunk,
    TableName,
    TablePosition,
)
from bellweir.configuration.state import ConfigurationState

CHUNK_BYTES = 64 << 10
"""Documents in one chunk, in bytes; one larger document has a chunk of its own."""
KEPT_CUTS = 3
"""Snapshots held for peers that are reading them while the table goes on."""


@dataclass(frozen=True)
class _Cut:
    position: TablePosition
    chunks: tuple[tuple[Change, ...], ...]


class SnapshotChunks:
    """Serves chunks of the last few snapshots that peers began with.

    A peer that asks for a chunk of another revision gets the first chunk of the newest one and
    starts over: it never mixes two revisions. Snapshots share their documents.
    """

    def __init__(self, state: ConfigurationState) -> None:
        self._state = state
        self._lock = threading.Lock()
        self._cuts: dict[TableName, deque[_Cut]] = {
            table: deque(maxlen=KEPT_CUTS) for table in TableName
        }

    def first(self, table: TableName) -> ConfigurationSnapshotChunk:
        """The first chunk of the table as it is now."""
        position, entries = self._state.entries(table)
        with self._lock:
            cuts = self._cuts[table]
            if not cuts or cuts[-1].position != position:
                cuts.append(_Cut(position, _chunks_of(entries)))
            cut = cuts[-1]
        return _message(table, cut, 0)

    def chunk(self, table: TableName, revision: int, index: int) -> ConfigurationSnapshotChunk:
        """A further chunk; the first of the newest when the revision is no longer held."""
        with self._lock:
            held = [cut for cut in self._cuts[table] if cut.position.revision == revision]
        if not held or not 0 <= index < len(held[-1].chunks):
            return self.first(table)
        return _message(table, held[-1], index)


def _message(table: TableName, cut: _Cut, index: int) -> ConfigurationSnapshotChunk:
    return ConfigurationSnapshotChunk(
        table, cut.position, index, len(cut.chunks), cut.chunks[index]
    )


def _chunks_of(entries: tuple[Change, ...]) -> tuple[tuple[Change, ...], ...]:
    chunks: list[tuple[Change, ...]] = []
    chunk: list[Change] = []
    size = 0
    for entry in entries:
        length = len(entry.document or b"")
        if chunk and size + length > CHUNK_BYTES:
            chunks.append(tuple(chunk))
            chunk, size = [], 0
        chunk.append(entry)
        size += length
    chunks.append(tuple(chunk))
    return tuple(chunks)
