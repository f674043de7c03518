"""Runs the journal's database over a file layer that notes what is not synced.

`apsw` lets a layer of Python stand between sqlite3 and its files. The journal uses the standard
library's `sqlite3`, so `install` replaces its `connect` in this process by one that opens the same
file with `apsw` and gives back the few calls that the journal makes.
"""

import contextlib
import os
import sqlite3
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import apsw

from bellweir_rehearsal.hosted.file_rig import FileRig, full_path
from bellweir_rehearsal.hosted.unsynced import UnsyncedLog

JOURNAL_FLAGS = apsw.SQLITE_OPEN_WAL | apsw.SQLITE_OPEN_MAIN_JOURNAL
"""Files of these kinds, when new, have their folder synced by sqlite3 with their first sync."""
DAMAGE = (apsw.CorruptError, apsw.NotADBError)


class RiggedFile(apsw.VFSFile):
    """A file of the database."""

    def __init__(
        self, rig: FileRig, log: UnsyncedLog, name: str | apsw.URIFilename, flags: list[int]
    ) -> None:
        self._rig = rig
        self._log = log
        self._path = name if isinstance(name, str) else name.filename()
        with log.lock:
            is_new = not os.path.exists(self._path)
            if is_new and flags[0] & apsw.SQLITE_OPEN_CREATE:
                rig.check_power()
            super().__init__("", name, flags)
            self._file = os.stat(self._path).st_ino
            if is_new:
                log.made(self._path, self._file)
        self._syncs_folder = is_new and bool(flags[0] & JOURNAL_FLAGS)

    def xWrite(self, data: Any, offset: int) -> None:
        """Note what stood there, then write."""
        with self._log.lock:
            self._rig.check_power()
            size = self.xFileSize()
            length = max(0, min(len(data), size - offset))
            old = self.xRead(length, offset) if length else b""
            self._log.written(self._file, offset, len(data), old, size)
            super().xWrite(data, offset)

    def xTruncate(self, size: int) -> None:
        """Note what is cut off, then cut."""
        with self._log.lock:
            self._rig.check_power()
            old_size = self.xFileSize()
            old = self.xRead(old_size - size, size) if size < old_size else b""
            self._log.resized(self._file, size, old, old_size)
            super().xTruncate(size)

    def xSync(self, flags: int) -> None:
        """Sync, then note it."""
        self._rig.check_power()
        through = self._log.now()
        super().xSync(flags)
        self._log.file_synced(self._file, through)
        if self._syncs_folder:
            self._log.folder_synced(os.path.dirname(self._path), through)
            self._syncs_folder = False


class RiggedVfs(apsw.VFS):
    """The system's files with notes of all changes."""

    def __init__(self, name: str, rig: FileRig, log: UnsyncedLog) -> None:
        self.name = name
        self._rig = rig
        self._log = log
        super().__init__(name, "")

    def xOpen(self, name: str | apsw.URIFilename | None, flags: list[int]) -> apsw.VFSFile:
        """Open a file; files without a name are of no lasting use."""
        if name is None:
            return apsw.VFSFile("", name, flags)
        return RiggedFile(self._rig, self._log, name, flags)

    def xDelete(self, filename: str, syncdir: bool) -> None:
        """Note the removal, then remove."""
        with self._log.lock:
            self._rig.check_power()
            if os.path.exists(filename):
                self._log.removed(filename)
            through = self._log.now()
            super().xDelete(filename, syncdir)
            if syncdir:
                self._log.folder_synced(os.path.dirname(filename), through)


class Rows:
    """The rows of a statement that has run."""

    def __init__(self, rows: Iterable[tuple[Any, ...]]) -> None:
        self._rows = iter(rows)

    def __iter__(self) -> Iterator[tuple[Any, ...]]:
        return self._rows

    def fetchone(self) -> tuple[Any, ...] | None:
        """The next row; None when there is none."""
        return next(self._rows, None)

    def fetchall(self) -> list[tuple[Any, ...]]:
        """All rows that are left."""
        return list(self._rows)


@contextlib.contextmanager
def _as_sqlite3() -> Iterator[None]:
    """Raise what `apsw` finds as the standard library would, with sqlite3's code."""
    try:
        yield
    except apsw.Error as failure:
        kind = sqlite3.DatabaseError if isinstance(failure, DAMAGE) else sqlite3.OperationalError
        raised = kind(str(failure))
        raised.sqlite_errorcode = getattr(failure, "extendedresult", apsw.SQLITE_ERROR)
        raise raised from failure


class RiggedConnection:
    """The calls of `sqlite3.Connection` that the journal makes."""

    def __init__(self, path: Path | str, vfs: str) -> None:
        with _as_sqlite3():
            self._inner = apsw.Connection(str(path), vfs=vfs)

    def execute(self, statement: str, values: Sequence[Any] = ()) -> Rows:
        """Run one statement."""
        with _as_sqlite3():
            return Rows(list(self._inner.cursor().execute(statement, tuple(values))))

    def executemany(self, statement: str, rows: Iterable[Sequence[Any]]) -> Rows:
        """Run one statement for each row of values."""
        with _as_sqlite3():
            return Rows(list(self._inner.cursor().executemany(statement, rows)))

    def executescript(self, script: str) -> Rows:
        """Run several statements."""
        return self.execute(script)

    def close(self) -> None:
        """Close the files."""
        self._inner.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        failure: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._inner.in_transaction:
            self.execute("COMMIT" if kind is None else "ROLLBACK")


class SqliteRig:
    """Replaces `sqlite3.connect`; `remove` puts it back."""

    def __init__(self, rig: FileRig, log: UnsyncedLog) -> None:
        self._rig = rig
        self._vfs = RiggedVfs(f"rigged-{id(self):x}", rig, log)
        self._plain = sqlite3.connect

    def install(self) -> None:
        """Let all databases below the data folder be opened over the noting layer."""

        def connect(path: Path | str, **settings: Any) -> Any:
            if not self._rig.is_inside(full_path(path)):
                return self._plain(path, **settings)
            if settings.get("isolation_level", "") is not None:
                raise NotImplementedError("only connections that begin no transactions themselves")
            return RiggedConnection(path, self._vfs.name)

        setattr(sqlite3, "connect", connect)  # noqa: B010

    def remove(self) -> None:
        """Put the standard library's call back."""
        setattr(sqlite3, "connect", self._plain)  # noqa: B010
        self._vfs.unregister()
