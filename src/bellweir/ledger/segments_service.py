"""Service `segments`: bulk data on the data folders of a shard's replicas."""

import threading
from pathlib import Path

from returns.result import Failure, Result, Success

from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.interface import LedgerError, LedgerErrorKind, SegmentStore
from bellweir.ledger.segment_files import (
    DIGEST_BYTES,
    MAXIMUM_BLOB_BYTES,
    SegmentFiles,
    digest_of,
)
from bellweir.ledger.service import LedgerService
from bellweir.membership.interface import Membership
from bellweir.settings.models import Settings
from bellweir.wire.interface import Message, Sender, Transport

REPLICA_TIMEOUT_S = 1.0
"""Longest wait for one replica, so that one that hangs leaves time for the others."""
SEGMENTS_FOLDER = "segments"
CLEANING_PERIOD_S = 60.0


class StoreBlob(Message, frozen=True, tag=True):
    """Keep a blob."""

    blob: bytes


class BlobStored(Message, frozen=True, tag=True):
    """Whether the blob is durable on the answering node."""

    stored: bool


class FetchBlob(Message, frozen=True, tag=True):
    """Ask for a blob by its digest."""

    digest: bytes


class BlobFetched(Message, frozen=True, tag=True):
    """The blob, or None when it is not there."""

    blob: bytes | None


class SegmentsService(Service, SegmentStore):
    """Puts blobs on replicas and gets them from there, one replica after the other."""

    name = names.SEGMENTS
    dependencies = (names.LEDGER, names.TRANSPORT, names.MEMBERSHIP)

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._files: SegmentFiles | None = None
        self._ledger: LedgerService
        self._transport: Transport
        self._membership: Membership

    def start(self) -> None:
        """Open the files, if the node has a data folder."""
        registry = self._kernel.registry
        self._ledger = registry.find(names.LEDGER, LedgerService)
        self._transport = registry.find(
            names.TRANSPORT,
            Transport,  # type: ignore[type-abstract]
        )
        self._membership = registry.find(
            names.MEMBERSHIP,
            Membership,  # type: ignore[type-abstract]
        )
        folder = self._settings.node.data_folder
        if folder is not None:
            self._open(folder / SEGMENTS_FOLDER)

    def _open(self, folder: Path) -> None:
        self._files = SegmentFiles(folder, self._settings.ledger.segment_retention_s)
        self._transport.register(StoreBlob, self.handle_store)
        self._transport.register(FetchBlob, self.handle_fetch)
        self._kernel.executors.run_loop("segments-cleaning", self._clean)

    def _clean(self, stopping: threading.Event) -> None:
        while not stopping.wait(CLEANING_PERIOD_S):
            if self._files is not None:
                self._files.delete_expired()

    def stop(self) -> None:
        """Close the files."""
        if self._files is not None:
            self._files.close()

    # --- the store ----------------------------------------------------------------------------

    def put(self, key: str, blob: bytes, timeout_s: float) -> Result[str, LedgerError]:
        """Store a blob on a majority of the key's shard's replicas, one after the other."""
        if len(blob) > MAXIMUM_BLOB_BYTES:
            return _failure(f"a blob has at most {MAXIMUM_BLOB_BYTES} bytes")
        deadline_s = self._kernel.clock.monotonic_s() + timeout_s
        holders = set(self._ledger.holders(key, timeout_s))
        # Dead ones count, too: else the last node that is left would do, and its disk may go next.
        # A majority is one more than the disks that may be lost at once.
        wanted = min(self._settings.ledger.replicas // 2 + 1, len(holders))
        stored = 0
        for node in self._own_first(self._ledger.living(holders)):
            left_s = deadline_s - self._kernel.clock.monotonic_s()
            if left_s > 0 and self._store_on(node, blob, min(left_s, REPLICA_TIMEOUT_S)):
                stored += 1
            if wanted and stored == wanted:
                return Success(_reference(blob))
        return _failure(f"stored on {stored} of {wanted} replicas")

    def get(self, key: str, reference: str, timeout_s: float) -> Result[bytes, LedgerError]:
        """Read a blob from here, or else from whichever replica holds it."""
        digest = _digest_in(reference)
        if digest is None:
            return _failure("not a reference")
        deadline_s = self._kernel.clock.monotonic_s() + timeout_s
        nodes = self._ledger.replica_nodes(key, timeout_s)
        for node in self._own_first(nodes):
            left_s = deadline_s - self._kernel.clock.monotonic_s()
            timeout_s = min(left_s, REPLICA_TIMEOUT_S)
            blob = self._fetch_from(node, digest, timeout_s) if left_s > 0 else None
            if blob is not None and digest_of(blob) == digest:
                return Success(blob)
        return _failure("no replica that answers holds it")

    def _own_first(self, nodes: tuple[str, ...]) -> list[str]:
        own = self._settings.node.name
        return sorted(dict.fromkeys(nodes), key=lambda node: node != own)

    def _store_on(self, node: str, blob: bytes, timeout_s: float) -> bool:
        if node == self._settings.node.name:
            return self._store_here(blob)
        member = self._membership.member(node)
        if member is None:
            return False
        answer = self._transport.request(member.peer_address, StoreBlob(blob), timeout_s)
        message = answer.value_or(None)
        return isinstance(message, BlobStored) and message.stored

    def _store_here(self, blob: bytes) -> bool:
        if self._files is None:
            return False
        try:
            self._files.append(blob)
        except OSError:
            return False
        return True

    def _fetch_from(self, node: str, digest: bytes, timeout_s: float) -> bytes | None:
        if node == self._settings.node.name:
            return self._files.read(digest) if self._files else None
        member = self._membership.member(node)
        if member is None:
            return None
        answer = self._transport.request(member.peer_address, FetchBlob(digest), timeout_s)
        message = answer.value_or(None)
        return message.blob if isinstance(message, BlobFetched) else None

    # --- handlers -----------------------------------------------------------------------------

    def handle_store(self, sender: Sender, message: StoreBlob) -> BlobStored:
        """Keep a blob for a peer."""
        return BlobStored(self._store_here(message.blob))

    def handle_fetch(self, sender: Sender, message: FetchBlob) -> BlobFetched:
        """Give a blob to a peer."""
        return BlobFetched(self._files.read(message.digest) if self._files else None)


def _reference(blob: bytes) -> str:
    return digest_of(blob).hex()


def _digest_in(reference: str) -> bytes | None:
    try:
        digest = bytes.fromhex(reference)
    except ValueError:
        return None
    return digest if len(digest) == DIGEST_BYTES else None


def _failure(detail: str) -> "Failure[LedgerError]":
    return Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, detail))
