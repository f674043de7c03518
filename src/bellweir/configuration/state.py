"""The two tables of one node, guarded by a lock, and the snapshot in force."""

import threading
from collections.abc import Callable, Iterable

from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.configuration.log_events import (
    CONFIGURATION_LOADED,
    DOCUMENT_UNREADABLE,
    TABLE_DIVERGED,
)
from bellweir.configuration.messages import (
    Change,
    ConfigurationUpdate,
    TableName,
    TablePosition,
)
from bellweir.configuration.table import ApplyOutcome, ReplicatedTable
from bellweir.configuration.views import SnapshotBuilder
from bellweir.events.log import emit


def _nothing() -> None:
    """Stands for the callback until the core has set it."""


class ConfigurationState:
    """What a node knows. Every change moves a table forwards and swaps the snapshot.

    The lock is never held over I/O or while a listener runs.
    """

    def __init__(self, node: str) -> None:
        self.node = node
        self._changed = threading.Condition()
        self._tables = {table: ReplicatedTable() for table in TableName}
        self._builder = SnapshotBuilder(self._report_unreadable)
        self._snapshot = ConfigurationSnapshot(revision=0)
        self.on_advance: Callable[[], None] = _nothing
        """Called after each change, without the lock."""

    @property
    def loaded(self) -> bool:
        """Whether the resources have arrived, from the store or a peer."""
        return self._tables[TableName.RESOURCES].loaded

    def current(self) -> ConfigurationSnapshot:
        """The snapshot in force."""
        return self._snapshot

    def position(self, table: TableName) -> TablePosition:
        """How far one table has come."""
        with self._changed:
            return self._tables[table].position

    def positions(self) -> tuple[TablePosition, TablePosition]:
        """How far the resources and the machine list have come."""
        with self._changed:
            resources = self._tables[TableName.RESOURCES].position
            return resources, self._tables[TableName.MACHINES].position

    def wait_for(self, revision: int, timeout_s: float) -> bool:
        """Wait until the resources are loaded and at least at `revision`."""
        table = self._tables[TableName.RESOURCES]
        with self._changed:
            return self._changed.wait_for(
                lambda: table.loaded and table.revision >= revision, timeout_s
            )

    def wait_for_other(self, snapshot: ConfigurationSnapshot, timeout_s: float) -> None:
        """Wait until another snapshot than this one is in force."""
        with self._changed:
            self._changed.wait_for(lambda: self._snapshot is not snapshot, timeout_s)

    def apply(self, update: ConfigurationUpdate) -> ApplyOutcome:
        """Apply a peer's update."""
        table = self._tables[update.table]
        with self._changed:
            outcome = table.apply(update.after, update.position, update.changes)
            if outcome is ApplyOutcome.APPLIED:
                self._advance(update.table, update.changes)
        self._report_outcome(update, outcome)
        return outcome

    def append(self, table: TableName, revision: int, changes: Iterable[Change]) -> bool:
        """Apply what the store says follows the revision in force; False when it is old."""
        changes = tuple(changes)
        with self._changed:
            applied = self._tables[table].append(revision, changes)
            if applied:
                self._advance(table, changes)
        if applied:
            self.on_advance()
        return applied

    def adopt(
        self, table: TableName, revision: int, entries: Iterable[Change], source: str
    ) -> bool:
        """Replace a whole table by a newer one; False when it is not newer."""
        with self._changed:
            first = not self._tables[table].loaded
            changes = self._tables[table].adopt(revision, entries)
            if changes is not None:
                self._advance(table, changes)
        if changes is None:
            return False
        if first and table is TableName.RESOURCES:
            emit(CONFIGURATION_LOADED, node=self.node, revision=revision, source=source)
        self.on_advance()
        return True

    def repair(self, table: TableName, revision: int, entries: Iterable[Change]) -> None:
        """Replace the entries after a divergence, if the table is still at `revision`."""
        with self._changed:
            if self._tables[table].revision != revision:
                return
            changes = self._tables[table].repair(entries)
            self._advance(table, changes)
        self.on_advance()

    def update_after(self, table: TableName, revision: int) -> ConfigurationUpdate | None:
        """An update from `revision` to now; None when the changes are no longer kept."""
        with self._changed:
            changes = self._tables[table].changes_after(revision)
            if changes is None:
                return None
            return ConfigurationUpdate(table, revision, self._tables[table].position, changes)

    def entries(self, table: TableName) -> tuple[TablePosition, tuple[Change, ...]]:
        """A whole table with its position."""
        with self._changed:
            chosen = self._tables[table]
            return chosen.position, tuple(chosen.entries.values())

    def entry(self, kind: str, name: str) -> Change | None:
        """One resource's entry."""
        with self._changed:
            return self._tables[TableName.RESOURCES].entries.get((kind, name))

    def _advance(self, table: TableName, changes: tuple[Change, ...]) -> None:
        # Changes of an update that were in force before are taken over once more: harmless.
        if table is TableName.RESOURCES:
            self._builder.apply_resources(changes)
        else:
            self._builder.apply_machines(changes)
        self._snapshot = self._builder.snapshot(
            self._tables[TableName.RESOURCES].revision, self._tables[TableName.MACHINES].revision
        )
        self._changed.notify_all()

    def _report_outcome(self, update: ConfigurationUpdate, outcome: ApplyOutcome) -> None:
        if outcome is ApplyOutcome.APPLIED:
            self.on_advance()
        elif outcome is ApplyOutcome.DIVERGED:
            emit(
                TABLE_DIVERGED,
                node=self.node,
                table=update.table.value,
                revision=update.position.revision,
                peer="push",
            )

    def _report_unreadable(self, change: Change, error: str) -> None:
        emit(
            DOCUMENT_UNREADABLE,
            node=self.node,
            kind=change.kind,
            name=change.name,
            version=change.version,
            error=error,
        )
