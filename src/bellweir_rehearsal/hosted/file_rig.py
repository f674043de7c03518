"""Notes the plain file calls that a process makes on its data folder.

The functions of `os` are replaced in this process alone, for paths and descriptors of the data
folder; all else passes through. `Path.write_bytes` opens files past them, so it is replaced too.
"""

import errno
import fcntl
import os
import stat
from collections.abc import Callable
from pathlib import Path
from typing import Any

from bellweir_rehearsal.hosted.unsynced import UnsyncedLog

READ_BYTES = 1 << 30


class FileRig:
    """The replaced calls; `install` puts them in place and `remove` takes them out again.

    While `is_dead`, nothing is changed on the disk any more and each change fails with an
    `OSError`: a test's way to let the power go without ending its own process. Each change fails
    as well while the file `full_mark` is there, which others may make and remove: a full disk.
    """

    def __init__(self, data_folder: Path, log: UnsyncedLog, full_mark: Path | None = None) -> None:
        self._folder = full_path(data_folder)
        self._log = log
        self._full_mark = full_mark
        self._paths: dict[int, str] = {}
        self._plain: dict[str, Callable[..., Any]] = {}
        self._plain_write_bytes = Path.write_bytes
        self.is_dead = False
        self.steps_left: int | None = None
        """Changes until the power goes; None for never."""

    def install(self) -> None:
        """Replace the calls."""
        replaced: dict[str, Callable[..., Any]] = {
            "open": self._open,
            "close": self._close,
            "write": self._write,
            "pwrite": self._pwrite,
            "ftruncate": self._ftruncate,
            "fsync": self._sync_with("fsync"),
            "fdatasync": self._sync_with("fdatasync"),
            "replace": self._rename_with("replace"),
            "rename": self._rename_with("rename"),
            "unlink": self._remove_with("unlink"),
            "remove": self._remove_with("remove"),
            "rmdir": self._remove_with("rmdir"),
            "mkdir": self._mkdir,
        }
        for name, call in replaced.items():
            self._plain[name] = getattr(os, name)
            setattr(os, name, call)
        rig = self

        def write_bytes(path: Path, data: bytes) -> int:
            return rig._write_bytes(path, data)

        setattr(Path, "write_bytes", write_bytes)  # noqa: B010

    def remove(self) -> None:
        """Put the calls of the standard library back."""
        for name, call in self._plain.items():
            setattr(os, name, call)
        setattr(Path, "write_bytes", self._plain_write_bytes)  # noqa: B010

    def check_power(self) -> None:
        """Count a change; raises `OSError` when the power is off or the disk is full."""
        if self.steps_left is not None:
            self.steps_left -= 1
            self.is_dead = self.is_dead or self.steps_left < 0
        if self.is_dead:
            raise OSError("the power is off")
        if self._full_mark is not None and self._full_mark.exists():
            raise OSError(errno.ENOSPC, "the disk is full")

    def is_inside(self, path: str) -> bool:
        """Whether a path is the data folder or below it."""
        return path == self._folder or path.startswith(self._folder + os.sep)

    def _concerns(self, path: str) -> bool:
        """Whether it is inside, or a folder on the way to the data folder."""
        return self.is_inside(path) or self._folder.startswith(path.rstrip(os.sep) + os.sep)

    # --- the calls ----------------------------------------------------------------------------

    def _open(self, path: Any, flags: int, *others: Any, **named: Any) -> int:
        plain = self._plain["open"]
        if isinstance(path, int) or not self._concerns(full := full_path(path)):
            return int(plain(path, flags, *others, **named))
        with self._log.lock:
            is_new = bool(flags & os.O_CREAT) and not os.path.exists(full)
            if is_new:
                self.check_power()
            cuts = bool(flags & os.O_TRUNC) and not is_new
            descriptor = int(plain(path, flags & ~os.O_TRUNC, *others, **named))
            self._paths[descriptor] = full
            if is_new:
                self._log.made(full, os.fstat(descriptor).st_ino)
            if cuts:
                self._ftruncate(descriptor, 0)
            return descriptor

    def _close(self, descriptor: int) -> None:
        self._paths.pop(descriptor, None)
        self._plain["close"](descriptor)

    def _is_ours(self, descriptor: int) -> bool:
        path = self._paths.get(descriptor)
        return path is not None and self.is_inside(path)

    def _write(self, descriptor: int, data: Any) -> int:
        plain = self._plain["write"]
        if not self._is_ours(descriptor):
            return int(plain(descriptor, data))
        with self._log.lock:
            self.check_power()
            appends = fcntl_flags(descriptor) & os.O_APPEND
            offset = os.lseek(descriptor, 0, os.SEEK_END if appends else os.SEEK_CUR)
            self._note_write(descriptor, offset, len(data))
            return int(plain(descriptor, data))

    def _pwrite(self, descriptor: int, data: Any, offset: int) -> int:
        plain = self._plain["pwrite"]
        if not self._is_ours(descriptor):
            return int(plain(descriptor, data, offset))
        with self._log.lock:
            self.check_power()
            self._note_write(descriptor, offset, len(data))
            return int(plain(descriptor, data, offset))

    def _note_write(self, descriptor: int, offset: int, length: int) -> None:
        status = os.fstat(descriptor)
        old = self._read(descriptor, offset, length)
        self._log.written(status.st_ino, offset, length, old, status.st_size)

    def _read(self, descriptor: int, offset: int, length: int) -> bytes:
        """What stands there, also when the descriptor is for writing only."""
        with open(f"/proc/self/fd/{descriptor}", "rb") as file:
            file.seek(offset)
            return file.read(length)

    def _ftruncate(self, descriptor: int, size: int) -> None:
        plain = self._plain["ftruncate"]
        if not self._is_ours(descriptor):
            plain(descriptor, size)
            return
        with self._log.lock:
            self.check_power()
            status = os.fstat(descriptor)
            old = self._read(descriptor, size, READ_BYTES) if size < status.st_size else b""
            self._log.resized(status.st_ino, size, old, status.st_size)
            plain(descriptor, size)

    def _sync_with(self, name: str) -> Callable[..., None]:
        def sync(descriptor: Any) -> None:
            plain = self._plain[name]
            path = self._paths.get(descriptor) if isinstance(descriptor, int) else None
            if path is None:
                plain(descriptor)
                return
            self.check_power()
            status, through = os.fstat(descriptor), self._log.now()
            plain(descriptor)
            if stat.S_ISDIR(status.st_mode):
                self._log.folder_synced(path, through)
            else:
                self._log.file_synced(status.st_ino, through)

        return sync

    def _rename_with(self, name: str) -> Callable[..., None]:
        def rename(source: Any, target: Any, **named: Any) -> None:
            plain = self._plain[name]
            old, new = (full_path(each) for each in (source, target))
            if not self.is_inside(old):
                plain(source, target, **named)
                return
            with self._log.lock:
                self.check_power()
                self._log.renamed(old, new)
                plain(source, target, **named)

        return rename

    def _remove_with(self, name: str) -> Callable[..., None]:
        def remove(path: Any, **named: Any) -> None:
            plain = self._plain[name]
            full = full_path(path)
            if not self.is_inside(full) or not os.path.exists(full):
                plain(path, **named)
                return
            with self._log.lock:
                self.check_power()
                self._log.removed(full)
                plain(path, **named)

        return remove

    def _mkdir(self, path: Any, *others: Any, **named: Any) -> None:
        plain = self._plain["mkdir"]
        full = full_path(path)
        if not self._concerns(full):
            plain(path, *others, **named)
            return
        with self._log.lock:
            self.check_power()
            plain(path, *others, **named)
            self._log.made(full, os.stat(full).st_ino)

    def _write_bytes(self, path: Path, data: bytes) -> int:
        if not self.is_inside(full_path(path)):
            return self._plain_write_bytes(path, data)
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o666)
        try:
            return os.write(descriptor, data)
        finally:
            os.close(descriptor)


def fcntl_flags(descriptor: int) -> int:
    """Flags that a descriptor was opened with."""
    return fcntl.fcntl(descriptor, fcntl.F_GETFL)


def full_path(path: Any) -> str:
    """A path as sqlite3 names it too: from the root, without links."""
    return os.path.realpath(os.fsdecode(path))
