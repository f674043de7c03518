"""Pulling from one peer what it has more."""

from bellweir.configuration.log_events import TABLE_DIVERGED
from bellweir.configuration.messages import (
    Change,
    ConfigurationPull,
    ConfigurationSnapshotChunk,
    ConfigurationSnapshotPull,
    ConfigurationUpdate,
    TableName,
    TablePosition,
)
from bellweir.configuration.state import ConfigurationState
from bellweir.configuration.table import ApplyOutcome
from bellweir.events.log import emit
from bellweir.wire.interface import Transport

PULL_TIMEOUT_S = 2.0
"""Time for the answer to one pull, in seconds."""
MAXIMUM_CHUNKS = 4096
"""Chunks read for one snapshot, restarts included; then another peer is tried later."""


class CatchUp:
    """Brings a node's tables to where a peer's are; holds no state of its own."""

    def __init__(self, transport: Transport, state: ConfigurationState) -> None:
        self._transport = transport
        self._state = state

    def with_peer(self, address: str, table: TableName, theirs: TablePosition) -> None:
        """Pull a table from a peer that says it is at `theirs`."""
        own = self._state.position(table)
        if theirs.revision < own.revision or theirs == own:
            return
        diverged = theirs.revision == own.revision
        if diverged and own.checksum > theirs.checksum:
            # Both see the difference; the lower one gives way, so that they end up equal.
            return
        self._pull(address, table, own.revision, whole=diverged)

    def _pull(self, address: str, table: TableName, after: int, *, whole: bool) -> None:
        pull = ConfigurationPull(table, after, whole)
        answer = self._transport.request(address, pull, PULL_TIMEOUT_S).value_or(None)
        if isinstance(answer, ConfigurationUpdate) and answer.table is table:
            outcome = self._state.apply(answer)
            if outcome in (ApplyOutcome.GAP, ApplyOutcome.DIVERGED) and not whole:
                self._pull(address, table, after, whole=True)
        elif isinstance(answer, ConfigurationSnapshotChunk) and answer.table is table:
            self._read_snapshot(address, answer)

    def _read_snapshot(self, address: str, first: ConfigurationSnapshotChunk) -> None:
        """Read all chunks of one snapshot and take it over.

        The peer starts over with a newer first chunk when it no longer holds the old ones.
        """
        chunk = first
        entries: list[Change] = []
        for _ in range(MAXIMUM_CHUNKS):
            if chunk.chunk == 0:
                entries.clear()
            entries.extend(chunk.changes)
            if chunk.chunk + 1 >= chunk.chunks:
                self._take_over(address, chunk, entries)
                return
            wanted = ConfigurationSnapshotPull(
                chunk.table, chunk.position.revision, chunk.chunk + 1
            )
            answer = self._transport.request(address, wanted, PULL_TIMEOUT_S).value_or(None)
            if not isinstance(answer, ConfigurationSnapshotChunk) or not _follows(chunk, answer):
                return
            chunk = answer

    def _take_over(
        self, address: str, chunk: ConfigurationSnapshotChunk, entries: list[Change]
    ) -> None:
        position = chunk.position
        if self._state.adopt(chunk.table, position.revision, entries, address):
            return
        own = self._state.position(chunk.table)
        if own.revision == position.revision and own != position:
            emit(
                TABLE_DIVERGED,
                node=self._state.node,
                table=chunk.table.value,
                revision=position.revision,
                peer=address,
            )
            self._state.repair(chunk.table, position.revision, entries)


def _follows(before: ConfigurationSnapshotChunk, answer: ConfigurationSnapshotChunk) -> bool:
    """Whether an answer is the next chunk of the same snapshot, or a new start."""
    if answer.table is not before.table:
        return False
    if answer.chunk == 0:
        return True
    return answer.chunk == before.chunk + 1 and answer.position == before.position
