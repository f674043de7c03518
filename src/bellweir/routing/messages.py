"""Messages between nodes about back ends: subscriptions, reports and prefix hints."""

import msgspec

from bellweir.routing.backend import BackendReport
from bellweir.wire.interface import Message


class BackendStatus(msgspec.Struct, frozen=True, array_like=True):
    """Rarely changing part of a report; sent on change and on request."""

    ready: bool
    leaving: bool
    reachable: bool
    weight_version: int | None
    model: str | None
    maximum_batch: int


class ReportEntry(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """One back end in a batch of reports."""

    worker: str
    """`pool/worker`."""
    age_ms: int
    """Milliseconds since the owner started the probe."""
    load: int
    interactive: int
    """Number of nodes with interactive requests on the back end."""
    status_version: int
    """Incremented with each status change; starts at a random value on each owner."""
    status: BackendStatus | None = None
    """None if this version has already been sent."""


class SubscribeReports(Message, frozen=True):
    """Subscribes to an owner's reports on some back ends; expires unless renewed."""

    workers: tuple[str, ...]
    interactive: tuple[str, ...]
    """Workers on which the subscriber has interactive requests."""
    fresh: tuple[str, ...]
    """Workers whose status must be sent again."""


class PushReports(Message, frozen=True):
    """A batch of reports for one subscriber."""

    entries: tuple[ReportEntry, ...]


class PushPrefixes(Message, frozen=True):
    """Prompt blocks that an engine has cached or evicted since the last hint.

    Blocks are packed as 4-byte little-endian integers.
    """

    worker: str
    reset: bool
    """Whether to discard all earlier hints of this worker."""
    added: bytes
    removed: bytes


def status_of(report: BackendReport) -> BackendStatus:
    """Extract the status from a report."""
    return BackendStatus(
        report.ready,
        report.leaving,
        report.reachable,
        report.weight_version,
        report.model,
        report.maximum_batch,
    )


def report_of(entry: ReportEntry, status: BackendStatus, now_s: float) -> BackendReport:
    """Convert an entry to a report timed on the local monotonic clock."""
    return BackendReport(
        ready=status.ready,
        leaving=status.leaving,
        reachable=status.reachable,
        load=entry.load,
        made_s=now_s - entry.age_ms / 1000.0,
        weight_version=status.weight_version,
        model=status.model,
        maximum_batch=status.maximum_batch,
        interactive=entry.interactive,
    )
