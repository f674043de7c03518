"""Cluster keys: read from files, read again when a file changes, never logged."""

import hashlib
import hmac
import threading
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from bellweir.events.log import emit
from bellweir.kernel.clock import elapsed_s
from bellweir.wire.log_events import CLUSTER_KEY_UNREADABLE

CHECK_PERIOD_S = 0.25
"""Time between looks at the files for a change."""
PROOF_BYTES = 32
MINIMUM_KEY_BYTES = 16


class ClusterKeyError(ValueError):
    """A cluster key file cannot be used."""


@dataclass(frozen=True)
class _FileStamp:
    modified_ns: int
    size: int


class ClusterKeys:
    """The keys of this node; with no file named, the cluster is open and proofs are empty.

    A file holds one key on each line. The first key of the first file signs, all are accepted:
    a key is replaced by adding the new one, then putting it first, then removing the old one.
    """

    def __init__(self, files: Sequence[Path]) -> None:
        """Read the files. Raises `ClusterKeyError` when one cannot be used."""
        self._files = tuple(files)
        self._lock = threading.Lock()
        self._stamps = self._stamp_all()
        self._keys = self._read_all()
        self.readings = 1
        """How often the files have been read."""
        self._next_check_s = elapsed_s() + CHECK_PERIOD_S

    @property
    def is_open(self) -> bool:
        """Whether no key is asked for."""
        return not self._files

    def sign(self, *parts: bytes) -> bytes:
        """The proof over the parts by the first key; empty in an open cluster."""
        keys = self._current()
        return _digest(keys[0], parts) if keys else b""

    def verify(self, proof: bytes, *parts: bytes) -> bool:
        """Whether one of the keys made the proof; always true in an open cluster."""
        if self.is_open:
            return True
        return any(hmac.compare_digest(proof, _digest(key, parts)) for key in self._current())

    def _current(self) -> tuple[bytes, ...]:
        now_s = elapsed_s()
        if now_s < self._next_check_s or not self._files:
            return self._keys
        with self._lock:
            self._next_check_s = now_s + CHECK_PERIOD_S
            self._read_again_if_changed()
        return self._keys

    def _read_again_if_changed(self) -> None:
        try:
            stamps = self._stamp_all()
            if stamps == self._stamps:
                return
            self._keys = self._read_all()
            self._stamps = stamps
            self.readings += 1
        except ClusterKeyError as failure:
            emit(
                CLUSTER_KEY_UNREADABLE,
                file=", ".join(str(file) for file in self._files),
                error=str(failure),
            )

    def _stamp_all(self) -> tuple[_FileStamp, ...]:
        try:
            states = [file.stat() for file in self._files]
        except OSError as failure:
            raise ClusterKeyError(str(failure)) from failure
        return tuple(_FileStamp(state.st_mtime_ns, state.st_size) for state in states)

    def _read_all(self) -> tuple[bytes, ...]:
        keys = tuple(key for file in self._files for key in _read_keys(file))
        if self._files and not keys:
            raise ClusterKeyError("no cluster key file holds a key")
        return keys


def _read_keys(file: Path) -> list[bytes]:
    try:
        lines = [line.strip() for line in file.read_bytes().splitlines()]
    except OSError as failure:
        raise ClusterKeyError(str(failure)) from failure
    keys = [line for line in lines if line]
    if any(len(key) < MINIMUM_KEY_BYTES for key in keys):
        raise ClusterKeyError(f"{file}: a key needs at least {MINIMUM_KEY_BYTES} characters")
    return keys


def _digest(key: bytes, parts: Sequence[bytes]) -> bytes:
    digest = hmac.new(key, digestmod=hashlib.sha256)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()
