"""A loss of power for the files of a process that has been killed.

What a sync covered stays. Of the changes noted since (`unsynced`), each write is there, missing or
torn, and each file made, renamed or removed keeps or loses its name, independently of the rest; at
one loss in four all of them are gone.
"""

import os
import random
import shutil
from pathlib import Path

from bellweir_rehearsal.hosted.unsynced import (
    EVENTS_NAME,
    KEPT_FOLDER,
    ContentChange,
    Made,
    NameChange,
    Pending,
    Removed,
    Renamed,
    Resized,
    Written,
    files_under,
    read_pending,
)

ALL_LOST_SHARE = 0.25
"""Share of the losses of power after which nothing unsynced is left."""
KEPT_SHARES = (0.1, 0.5, 0.9)
"""At other losses, the share of changes that are kept; one of these for each loss."""
TORN_SHARE = 0.3
"""Share of the writes not kept whole that are torn; the rest is missing."""


def lose_power(data_folder: Path, records: Path, chance: random.Random) -> list[str]:
    """Apply a loss of power to `data_folder`, whose process is dead; tell what was lost.

    `records` is the folder in which the process noted its changes; it is empty afterwards. The
    same notes and the same `chance` give the same loss.
    """
    pending = read_pending(records)
    kept_share = 0.0 if chance.random() < ALL_LOST_SHARE else chance.choice(KEPT_SHARES)
    loss = _Loss(data_folder, records, chance, kept_share)
    report = loss.of_contents(pending) + loss.of_names(pending)
    shutil.rmtree(records / KEPT_FOLDER, ignore_errors=True)
    (records / EVENTS_NAME).unlink(missing_ok=True)
    return report


class _Loss:
    """One loss of power."""

    def __init__(
        self, data_folder: Path, records: Path, chance: random.Random, kept_share: float
    ) -> None:
        self._chance = chance
        self._kept_share = kept_share
        self._records = records
        self._places = files_under([records / KEPT_FOLDER, data_folder])

    def _keeps(self) -> bool:
        return self._chance.random() < self._kept_share

    # --- contents -----------------------------------------------------------------------------

    def of_contents(self, pending: Pending) -> list[str]:
        """Take writes and changes of size back, and make some of them again, whole or torn."""
        report: list[str] = []
        for file, changes in sorted(pending.contents.items()):
            path = self._places.get(file)
            if path is not None and path.is_file():
                report += self._of_file(path, changes)
        return report

    def _of_file(self, path: Path, changes: list[ContentChange]) -> list[str]:
        with path.open("r+b") as opened:
            content = bytearray(opened.read())
            written = [_take_back(content, change) for change in reversed(changes)]
            lost = 0
            for change, new in zip(changes, reversed(written), strict=True):
                lost += not self._make_again(content, change, new)
            opened.seek(0)
            opened.write(content)
            opened.truncate(len(content))
        return [f"{path.name}: {lost} of {len(changes)} changes missing or torn"] if lost else []

    def _make_again(self, content: bytearray, change: ContentChange, new: bytes) -> bool:
        """Whether a change was kept whole."""
        if self._keeps():
            _apply(content, change, new)
            return True
        if isinstance(change, Written) and self._kept_share and self._chance.random() < TORN_SHARE:
            _apply(content, change, self._torn(content, change, new))
        return False

    def _torn(self, content: bytearray, change: Written, new: bytes) -> bytes:
        """A write of which one end is there, before or behind zeros or what stood there."""
        old = bytes(content[change.offset : change.offset + len(new)]).ljust(len(new), b"\0")
        other = self._chance.choice((old, bytes(len(new))))
        cut = self._chance.randrange(len(new) + 1)
        first, second = (new, other) if self._chance.random() < 0.5 else (other, new)
        return first[:cut] + second[cut:]

    # --- names --------------------------------------------------------------------------------

    def of_names(self, pending: Pending) -> list[str]:
        """Put names back as at the last syncs of their folders, and make some changes again."""
        names: dict[str, int | None] = {}
        for change in reversed(pending.names):
            names.update(_names_before(change))
        report: list[str] = []
        for change in pending.names:
            if self._keeps():
                _rename_again(names, change)
            else:
                report.append(f"lost: {_text_of(change)}")
        self._put(names)
        return report

    def _put(self, names: dict[str, int | None]) -> None:
        """Give files the names that they have now; folders that were lost go with all in them."""
        staged = self._records / "staged"
        staged.mkdir()
        for file in set(names.values()) - {None}:
            place = self._places.get(file) if file is not None else None
            if place is not None and place.is_file():
                os.link(place, staged / str(file))
        for name, file in sorted(names.items()):
            path = Path(name)
            if path.is_dir():
                if file is None:
                    shutil.rmtree(path)
                continue
            path.unlink(missing_ok=True)
            if file is not None and path.parent.is_dir() and (staged / str(file)).exists():
                os.link(staged / str(file), path)
        shutil.rmtree(staged)


def _take_back(content: bytearray, change: ContentChange) -> bytes:
    """Undo a change; what it had written."""
    if isinstance(change, Resized):
        del content[change.old_size :]
        content.extend(change.old)
        content.extend(bytes(change.old_size - len(content)))
        return b""
    end = change.offset + change.length
    new = bytes(content[change.offset : end])
    content[change.offset : change.offset + len(change.old)] = change.old
    del content[change.old_size :]
    return new


def _apply(content: bytearray, change: ContentChange, new: bytes) -> None:
    if isinstance(change, Resized):
        del content[change.size :]
        content.extend(bytes(max(0, change.size - len(content))))
        return
    content.extend(bytes(max(0, change.offset - len(content))))
    content[change.offset : change.offset + len(new)] = new


def _names_before(change: NameChange) -> dict[str, int | None]:
    match change:
        case Made(_, path, _):
            return {path: None}
        case Removed(_, path, file):
            return {path: file}
        case Renamed(_, path, target, file, replaced):
            return {target: replaced, path: file}


def _rename_again(names: dict[str, int | None], change: NameChange) -> None:
    match change:
        case Made(_, path, file):
            names[path] = file
        case Removed(_, path, _):
            names[path] = None
        case Renamed(_, path, target, file, _):
            if names[path] == file:
                names[path] = None
            names[target] = file


def _text_of(change: NameChange) -> str:
    match change:
        case Made(_, path, _):
            return f"{path} was made"
        case Removed(_, path, _):
            return f"{path} was removed"
        case Renamed(_, path, target, _, _):
            return f"{path} was renamed to {os.path.basename(target)}"
