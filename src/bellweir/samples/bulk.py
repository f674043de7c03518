"""Keeps large values out of the ledger's log: in the segment store where there is one."""

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from bellweir.ledger.interface import LedgerError, SegmentStore
from bellweir.samples.messages import BulkValue

INLINE_LIMIT_BYTES = 512
"""Values up to this length stay in the log: a reference would hardly be shorter."""

Decoded = TypeVar("Decoded")


class SampleContent(msgspec.Struct, frozen=True):
    """The bulk of a sample."""

    text: str
    tokens: tuple[int, ...]


class BulkStore:
    """Stores and reads typed values by step; inline when they are small or there is no store."""

    def __init__(self, store: SegmentStore | None) -> None:
        self._store = store

    def put(
        self, key: str, value: msgspec.Struct, timeout_s: float
    ) -> Result[BulkValue, LedgerError]:
        """Store a value under a step's key."""
        blob = msgspec.msgpack.encode(value)
        if self._store is None or len(blob) <= INLINE_LIMIT_BYTES:
            return Success(BulkValue(inline=blob))
        return self._store.put(key, blob, timeout_s).map(
            lambda reference: BulkValue(reference=reference)
        )

    def get(
        self, key: str, value: BulkValue, kind: type[Decoded], timeout_s: float
    ) -> Result[Decoded, LedgerError]:
        """Read a value back as `kind`."""
        if value.inline is not None:
            return Success(msgspec.msgpack.decode(value.inline, type=kind))
        if self._store is None or value.reference is None:
            raise ValueError("a reference without a segment store")
        read = self._store.get(key, value.reference, timeout_s)
        if isinstance(read, Failure):
            return read
        return Success(msgspec.msgpack.decode(read.unwrap(), type=kind))
