"""Files and folders that outlast a loss of power.

A loss of power takes what no sync has covered: a file's bytes until the sync of the file, and a
name that was made, changed or removed until the sync of its folder. All functions raise `OSError`.
"""

import contextlib
import os
from pathlib import Path


def make_folder(folder: Path) -> None:
    """Make a folder and those above it that are missing, each durable before the next one is made.

    An earlier process may have been killed between making a folder and syncing the one above, so
    the deepest folder that is there already is taken for not yet durable.
    """
    missing: list[Path] = []
    found = folder.absolute()
    while not found.is_dir():
        missing.append(found)
        found = found.parent
    if missing:
        # Above the disk, where a process may have no business; what is there was given to it.
        with contextlib.suppress(OSError):
            sync_folder(found.parent)
    else:
        sync_folder(found.parent)
    for each in reversed(missing):
        each.mkdir(exist_ok=True)
        sync_folder(each.parent)


def sync_folder(folder: Path) -> None:
    """Make the names in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_file(path: Path) -> None:
    """Make a file's bytes durable, whoever wrote them; nothing if there is no such file."""
    try:
        descriptor = os.open(path, os.O_RDWR)
    except FileNotFoundError:
        return
    try:
        os.fdatasync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Give a file a new content: after a loss of power it holds the former one or this, whole.

    Durable on return. The content is first written to a file beside it with the suffix `.new`.
    """
    temporary = path.with_suffix(".new")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        left = memoryview(content)
        while left:
            left = left[os.write(descriptor, left) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    temporary.replace(path)
    sync_folder(path.parent)
