"""Messages between nodes on back ends: subscriptions to an owner's reports, and the reports."""

import msgspec

from bellweir.routing.backend import BackendReport
from bellweir.wire.interface import Message


class BackendStatus(msgspec.Struct, frozen=True, array_like=True):
    """What rarely changes of a back end; sent when it has changed and when asked for."""

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
    """Milliseconds since the owner's probe began."""
    load: int
    interactive: int
    """Subscribers that have requests on it which callers wait for."""
    status_version: int
    """Changes with the facts; an owner counts from a random start."""
    status: BackendStatus | None = None
    """None when they were sent before under the same number."""


class SubscribeReports(Message, frozen=True):
    """Ask the owner of some back ends for reports; lapses unless it is sent again."""

    workers: tuple[str, ...]
    interactive: tuple[str, ...]
    """Those of the workers that have requests of this node which callers wait for."""
    fresh: tuple[str, ...]
    """Those of which the facts are wanted again."""


class PushReports(Message, frozen=True):
    """Reports that a subscriber has asked for."""

    entries: tuple[ReportEntry, ...]


class PushPrefixes(Message, frozen=True):
    """Hints of prompt blocks that an engine has stored or evicted since the last hint.

    Blocks are packed, 4 bytes each, in the byte order of the machines (little-endian).
    """

    worker: str
    reset: bool
    """Whether earlier hints are void."""
    added: bytes
    removed: bytes


def status_of(report: BackendReport) -> BackendStatus:
    """The facts in a report."""
    return BackendStatus(
        report.ready,
        report.leaving,
        report.reachable,
        report.weight_version,
        report.model,
        report.maximum_batch,
    )


def report_of(entry: ReportEntry, status: BackendStatus, now_s: float) -> BackendReport:
    """The report that an entry stands for, on this node's clock."""
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
