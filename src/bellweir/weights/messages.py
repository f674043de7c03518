"""Messages between the owners of engines and the node that paces a pool's rollout."""

import msgspec

from bellweir.wire.interface import Message


class WorkerReport(msgspec.Struct, frozen=True):
    """What an owner knows of one of its engines."""

    worker: str
    address: str
    zone: str
    is_ready: bool
    held_model: str | None
    held_version: int | None
    """Version served now; None while a swap is unfinished or has failed."""
    wanted_model: str
    wanted_version: int
    wants_swap: bool
    """Whether the owner would send an order now."""
    has_failed: bool = False
    """Whether its last swap failed; it serves nothing until one succeeds."""


class PoolReport(Message, frozen=True):
    """An owner's engines of one pool."""

    pool: str
    node: str
    workers: tuple[WorkerReport, ...]


class SwapPermit(msgspec.Struct, frozen=True):
    """Leave to send one engine its order now."""

    worker: str
    sources: tuple[str, ...]
    """Engines to fetch from, then the store, in order of preference."""


class PoolPermits(Message, frozen=True):
    """Answer to a report."""

    permits: tuple[SwapPermit, ...] = ()
