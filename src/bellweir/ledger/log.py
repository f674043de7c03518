"""The part of a shard's log behind its last snapshot, in memory."""

from collections.abc import Iterable

from bellweir.ledger.entries import Entry, EntryKind, ReplicaSet, decode_replica_set

ENTRY_OVERHEAD_BYTES = 32
"""Added to each payload when the size of a batch is bounded."""


class ReplicatedLog:
    """Entries `base_index + 1` to `last_index`; what comes before is in the snapshot."""

    def __init__(
        self,
        base_index: int = 0,
        base_term: int = 0,
        base_replicas: ReplicaSet | None = None,
        entries: Iterable[Entry] = (),
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []
        self.payload_bytes = 0
        """Bytes of the payloads that are held."""
        self._replica_sets = [(base_index, base_replicas or ReplicaSet())]
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def replicas(self) -> ReplicaSet:
        """The set of replicas in force: the last one in the log, committed or not."""
        return self._replica_sets[-1][1]

    @property
    def replicas_index(self) -> int:
        """Index of the entry that `replicas` came with."""
        return self._replica_sets[-1][0]

    def replicas_at(self, index: int) -> ReplicaSet:
        """The set of replicas in force after `index`."""
        return next(found for at, found in reversed(self._replica_sets) if at <= index)

    def term_at(self, index: int) -> int | None:
        """Term of the entry at `index`; None when it is compacted away or not there."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> Entry:
        """The entry at `index`, which must be there."""
        return self._entries[index - self.base_index - 1]

    def append(self, entry: Entry) -> None:
        """Add the entry that follows the last one."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
        self._entries.append(entry)
        self.payload_bytes += len(entry.payload)
        if entry.kind == EntryKind.REPLICAS:
            self._replica_sets.append((entry.index, decode_replica_set(entry.payload)))

    def truncate_from(self, index: int) -> None:
        """Drop the entry at `index` and all after it."""
        kept = max(0, index - self.base_index - 1)
        self.payload_bytes -= sum(len(entry.payload) for entry in self._entries[kept:])
        del self._entries[kept:]
        while len(self._replica_sets) > 1 and self._replica_sets[-1][0] >= index:
            self._replica_sets.pop()

    def batch(self, first_index: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Entries from `first_index` on, at least one if there is one, up to `limit_bytes`."""
        chosen: list[Entry] = []
        size_bytes = 0
        for position in range(first_index - self.base_index - 1, len(self._entries)):
            entry = self._entries[position]
            size_bytes += len(entry.payload) + ENTRY_OVERHEAD_BYTES
            if chosen and size_bytes > limit_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def compact_to(self, index: int) -> None:
        """Drop the entries up to and with `index`, which a snapshot now holds."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        replicas = self.replicas_at(index)
        later = [kept for kept in self._replica_sets if kept[0] > index]
        dropped = index - self.base_index
        self.payload_bytes -= sum(len(entry.payload) for entry in self._entries[:dropped])
        del self._entries[:dropped]
        self.base_index = index
        self.base_term = term
        self._replica_sets = [(index, replicas), *later]
