"""What a process has done to its files since their last sync, noted so that it survives a kill.

A disk keeps what a sync has covered; whatever came later may be gone after a loss of power. The
rigged process notes each change of its data folder before it makes it, with all that is needed to
take it back, in an append-only file in a records folder beside the data folder. `power` reads the
notes once the process is dead. Files are known by their inode numbers, so that a note stays with
its file through renames; a file that is removed or replaced is kept by a link in the records
folder until the sync of its folder, since a loss of power may bring its name back. Both folders
must be on one file system.

Whoever empties the data folder empties the records folder too.
"""

import os
import struct
import threading
import zlib
from collections.abc import Iterable
from pathlib import Path

import msgspec

EVENTS_NAME = "events.bin"
KEPT_FOLDER = "kept"
FRAME = struct.Struct("<II")
"""Length of a note in bytes, and its checksum."""
COMPACTED_BYTES = 4 * 1024 * 1024
"""A file of notes that has grown beyond this is written anew with what is still unsynced."""


class Event(msgspec.Struct, frozen=True, tag=True):
    """A change, or a sync; numbers grow by one from event to event."""

    number: int


class Written(Event, frozen=True):
    """`length` bytes written at `offset` of a file; `old` are the bytes that stood there."""

    file: int
    offset: int
    length: int
    old: bytes
    old_size: int


class Resized(Event, frozen=True):
    """A file set to `size` bytes; `old` are the bytes that were cut off."""

    file: int
    size: int
    old: bytes
    old_size: int


class Made(Event, frozen=True):
    """A file or folder made."""

    path: str
    file: int


class Renamed(Event, frozen=True):
    """A file renamed; `replaced` is the file that had the target's name, if any."""

    path: str
    target: str
    file: int
    replaced: int | None


class Removed(Event, frozen=True):
    """A file's name removed."""

    path: str
    file: int


class FileSynced(Event, frozen=True):
    """All changes of a file's content up to the event `through` are durable."""

    file: int
    through: int


class FolderSynced(Event, frozen=True):
    """All changes of names in a folder up to the event `through` are durable."""

    folder: str
    through: int


ContentChange = Written | Resized
NameChange = Made | Renamed | Removed
AnyEvent = ContentChange | NameChange | FileSynced | FolderSynced
_DECODER: msgspec.msgpack.Decoder[AnyEvent] = msgspec.msgpack.Decoder(AnyEvent)


class Pending:
    """The changes that no sync has covered yet, in their order."""

    __slots__ = ("contents", "names", "newest")

    def __init__(self) -> None:
        self.contents: dict[int, list[ContentChange]] = {}
        self.names: list[NameChange] = []
        self.newest = 0

    def add(self, event: AnyEvent) -> None:
        """Take in the next event."""
        self.newest = max(self.newest, event.number)
        match event:
            case Written() | Resized():
                self.contents.setdefault(event.file, []).append(event)
            case Made() | Renamed() | Removed():
                self.names.append(event)
            case FileSynced(_, file, through):
                changes = self.contents.pop(file, [])
                left = [change for change in changes if change.number > through]
                if left:
                    self.contents[file] = left
            case FolderSynced(_, folder, through):
                self.names = [
                    change
                    for change in self.names
                    if change.number > through or os.path.dirname(change.path) != folder
                ]

    def changes(self) -> list[AnyEvent]:
        """All of them, in order."""
        contents = [change for changes in self.contents.values() for change in changes]
        found: list[AnyEvent] = [*contents, *self.names]
        return sorted(found, key=lambda event: event.number)

    def named_files(self) -> set[int]:
        """Files whose names a loss of power may bring back or take away."""
        found = {change.file for change in self.names}
        return found | {
            change.replaced
            for change in self.names
            if isinstance(change, Renamed) and change.replaced is not None
        }


def read_pending(records: Path) -> Pending:
    """What is unsynced by the notes in a records folder; a torn last note never became a change."""
    pending = Pending()
    path = records / EVENTS_NAME
    content = path.read_bytes() if path.exists() else b""
    at = 0
    while at + FRAME.size <= len(content):
        length, checksum = FRAME.unpack_from(content, at)
        payload = content[at + FRAME.size : at + FRAME.size + length]
        if len(payload) < length or zlib.crc32(payload) != checksum:
            break
        pending.add(_DECODER.decode(payload))
        at += FRAME.size + length
    return pending


class UnsyncedLog:
    """Takes the notes of one process; continues those of the process's former lives.

    A change is noted and made under `lock`, so that what `now` tells is finished.
    """

    __slots__ = ("_descriptor", "_pending", "_records", "_size", "lock")

    def __init__(self, records: Path) -> None:
        (records / KEPT_FOLDER).mkdir(parents=True, exist_ok=True)
        self.lock = threading.RLock()
        self._records = records
        self._pending = read_pending(records)
        self._descriptor = -1
        self._size = 0
        self._compact()

    def close(self) -> None:
        """Release the file of notes."""
        os.close(self._descriptor)

    def now(self) -> int:
        """Number of the newest event."""
        with self.lock:
            return self._pending.newest

    def written(self, file: int, offset: int, length: int, old: bytes, old_size: int) -> None:
        """Note a write that is about to be made."""
        self._note(Written(self._next(), file, offset, length, old, old_size))

    def resized(self, file: int, size: int, old: bytes, old_size: int) -> None:
        """Note that a file is about to be cut or extended."""
        self._note(Resized(self._next(), file, size, old, old_size))

    def made(self, path: str, file: int) -> None:
        """Note a file or folder that was made."""
        self._note(Made(self._next(), path, file))

    def renamed(self, path: str, target: str) -> None:
        """Note a rename that is about to be made."""
        replaced = self._keep(target) if os.path.exists(target) else None
        self._note(Renamed(self._next(), path, target, os.stat(path).st_ino, replaced))

    def removed(self, path: str) -> None:
        """Note a removal that is about to be made."""
        self._note(Removed(self._next(), path, self._keep(path)))

    def file_synced(self, file: int, through: int) -> None:
        """Note that a file's sync, begun at `through`, has returned."""
        self._note(FileSynced(self._next(), file, through))

    def folder_synced(self, folder: str, through: int) -> None:
        """Note that a folder's sync, begun at `through`, has returned."""
        with self.lock:
            self._note(FolderSynced(self._next(), folder, through))
            self._drop_kept()

    def _next(self) -> int:
        return self._pending.newest + 1

    def _note(self, event: AnyEvent) -> None:
        with self.lock:
            self._pending.add(event)
            self._append(event)
            if self._size > COMPACTED_BYTES:
                self._compact()

    def _append(self, event: AnyEvent) -> None:
        payload = msgspec.msgpack.encode(event)
        frame = FRAME.pack(len(payload), zlib.crc32(payload)) + payload
        if PLAIN_WRITE(self._descriptor, frame) != len(frame):
            raise OSError("the file of notes took only a part of one")
        self._size += len(frame)

    def _compact(self) -> None:
        """Write the notes anew, without those that syncs have covered."""
        new = self._records / (EVENTS_NAME + ".new")
        former = self._descriptor
        self._descriptor = PLAIN_OPEN(new, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        self._size = 0
        for event in self._pending.changes():
            self._append(event)
        PLAIN_REPLACE(new, self._records / EVENTS_NAME)
        self._size = 0
        if former >= 0:
            PLAIN_CLOSE(former)

    def _keep(self, path: str) -> int:
        file = os.stat(path).st_ino
        kept = self._records / KEPT_FOLDER / str(file)
        if not kept.exists() and not os.path.isdir(path):
            os.link(path, kept)
        return file

    def _drop_kept(self) -> None:
        """Let go of files whose names no loss of power can bring back."""
        needed = self._pending.named_files()
        for kept in (self._records / KEPT_FOLDER).iterdir():
            if int(kept.name) not in needed:
                if kept.stat().st_nlink == 1:
                    # No name leads to it any more, and its inode number will be used again.
                    self._note(FileSynced(self._next(), int(kept.name), self._next()))
                PLAIN_UNLINK(kept)


PLAIN_OPEN = os.open
PLAIN_WRITE = os.write
PLAIN_CLOSE = os.close
PLAIN_REPLACE = os.replace
PLAIN_UNLINK = os.unlink
"""The calls as they are without the rig, which notes its own files nowhere."""


def files_under(folders: Iterable[Path]) -> dict[int, Path]:
    """Files and folders below some folders, by inode number; kept links are not among them."""
    found: dict[int, Path] = {}
    for folder in folders:
        for path in (folder, *folder.rglob("*")):
            if path.exists():
                found[path.stat().st_ino] = path
    return found
