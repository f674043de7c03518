"""Documents and changes in force, for the resource API."""

from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from bellweir.configuration.messages import Change, TableName
from bellweir.configuration.state import ConfigurationState
from bellweir.configuration.views import decode_document


@dataclass(frozen=True)
class DocumentInForce:
    """A resource document as it is in force."""

    kind: str
    name: str
    version: int
    document: Mapping[str, Any]


@dataclass(frozen=True)
class DocumentChange:
    """A change that came into force on this node."""

    revision: int
    kind: str
    name: str
    document: DocumentInForce | None
    """None when the resource was deleted."""


class HistoryCompactedError(LookupError):
    """Changes after the revision asked for are no longer kept."""


class ConfigurationHistory(ABC):
    """What the resource API reads of the configuration in force."""

    @abstractmethod
    def revision(self) -> int:
        """The revision in force."""

    @abstractmethod
    def document(self, kind: str, name: str) -> DocumentInForce | None:
        """One document in force."""

    @abstractmethod
    def documents(self, kind: str) -> tuple[int, tuple[DocumentInForce, ...]]:
        """The revision in force and the documents of a kind as of it, sorted by name."""

    @abstractmethod
    def changes_after(self, revision: int) -> tuple[int, tuple[DocumentChange, ...]]:
        """The revision in force and the changes that led there from `revision`.

        Raises `HistoryCompactedError`.
        """

    @abstractmethod
    def wait_for(self, revision: int, timeout_s: float) -> bool:
        """Wait until a revision at least as new is in force."""


class StateHistory(ConfigurationHistory):
    """The history of one node's state."""

    def __init__(self, state: ConfigurationState) -> None:
        self._state = state

    def revision(self) -> int:
        """The revision in force."""
        return max(0, self._state.position(TableName.RESOURCES).revision)

    def document(self, kind: str, name: str) -> DocumentInForce | None:
        """One document in force."""
        entry = self._state.entry(kind, name)
        return None if entry is None else _in_force(entry)

    def documents(self, kind: str) -> tuple[int, tuple[DocumentInForce, ...]]:
        """The documents of a kind, sorted by name."""
        position, entries = self._state.entries(TableName.RESOURCES)
        chosen = sorted((entry for entry in entries if entry.kind == kind), key=_name)
        return max(0, position.revision), tuple(_in_force(entry) for entry in chosen)

    def changes_after(self, revision: int) -> tuple[int, tuple[DocumentChange, ...]]:
        """Changes after a revision, in the order of the store."""
        update = self._state.update_after(TableName.RESOURCES, revision)
        if update is None:
            raise HistoryCompactedError(f"changes after revision {revision} are no longer kept")
        return max(0, update.position.revision), tuple(_document_changes(update.changes))

    def wait_for(self, revision: int, timeout_s: float) -> bool:
        """Wait until a revision at least as new is in force."""
        return self._state.wait_for(revision, timeout_s)


def _name(entry: Change) -> str:
    return entry.name


def _in_force(entry: Change) -> DocumentInForce:
    document = decode_document(entry.document or b"")
    return DocumentInForce(entry.kind, entry.name, entry.version, document)


def _document_changes(changes: tuple[Change, ...]) -> Iterator[DocumentChange]:
    for change in changes:
        document = None if change.document is None else _in_force(change)
        yield DocumentChange(change.version, change.kind, change.name, document)
