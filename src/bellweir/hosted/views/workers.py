"""The live workers as the store lists them.

While the store is away entries of workers lapse, though the workers live and serve; they are back
soon after its return. So a ready worker whose entry is gone when the store is back is kept for
that time, and dropped when it has not come back by then.

A worker that starts again under its id replaces the former one at once; `starts` says which of two
starts is the newer one. An entry that a former start wrote late changes nothing.
"""

import threading
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import NamedTuple

from bellweir.events.log import emit
from bellweir.hosted.entries import InvalidEntryError, worker_entry
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import Listing, RecordChange
from bellweir.hosted.log_events import (
    WORKER_CHANGED,
    WORKER_FORMER_ENTRY,
    WORKER_KEPT,
    WORKER_STARTED_AGAIN,
)
from bellweir.hosted.records import WorkerEntry, WorkerState
from bellweir.hosted.views.incarnation_tracker import AddressStarts, StartVerdict, WorkerStarts

GONE = "gone"


@dataclass(frozen=True)
class Worker:
    """One incarnation of a worker."""

    instance: str
    entry: WorkerEntry
    incarnation: Incarnation = field(init=False, compare=False)

    def __post_init__(self) -> None:
        """Name the incarnation once: it is the key of whatever is known of the worker."""
        object.__setattr__(self, "incarnation", Incarnation(self.instance, self.entry.born))

    @property
    def address(self) -> str:
        """`host:port` of the worker."""
        return self.entry.address

    def version_of(self, model: str) -> int | None:
        """Version of a model as the entry tells it."""
        return next((held.version for held in self.entry.models if held.name == model), None)


class _Listed(NamedTuple):
    """An entry as it stands in the store."""

    spec: object
    revision: int
    """Store revision of its last change; 0 where a peer told of it."""


Entries = dict[str, _Listed]


class WorkersView:
    """Workers by instance; reading needs no lock."""

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        self._now_s = now_s
        self._lock = threading.Lock()
        self._workers: Mapping[str, Worker] = MappingProxyType({})
        """Listed workers, and those that are kept though their entries have lapsed."""
        self._kept_until_s: Mapping[str, float] = MappingProxyType({})
        self._grace_until_s = float("-inf")
        self._entries: Entries = {}
        self._starts = WorkerStarts()
        self._addresses = AddressStarts()
        self._on_other: list[Callable[[str], None]] = []
        self._fresh = False
        self.revision = 0
        """Counts changes, so that others can tell whether to look again."""
        self.restart_count = 0
        """Times that a worker was read as started again."""

    def worker(self, instance: str) -> Worker | None:
        """The worker of an instance id, if it is listed."""
        return None if self._is_over(instance) else self._workers.get(instance)

    def all(self) -> tuple[Worker, ...]:
        """All listed workers."""
        return tuple(self._present())

    def ready(self, service: str) -> list[Worker]:
        """Workers of a service that may get requests."""
        return [
            worker
            for worker in self._present()
            if worker.entry.service == service and worker.entry.state is WorkerState.READY
        ]

    def is_lapsed(self, instance: str) -> bool:
        """Whether a worker is kept though its entry is gone."""
        return instance in self._kept_until_s and not self._is_over(instance)

    def keep_lapsed_until(self, until_s: float) -> None:
        """The store is back after an outage: keep ready workers until then if they are missing."""
        self._grace_until_s = max(self._grace_until_s, until_s)

    def drop_overdue(self) -> None:
        """Forget the workers that have not come back in time; called now and then."""
        if any(self._is_over(instance) for instance in self._kept_until_s):
            self._update(lambda entries: entries, fresh=False)

    def _present(self) -> Iterator[Worker]:
        workers = self._workers
        if not self._kept_until_s:
            return iter(workers.values())
        return (worker for name, worker in workers.items() if not self._is_over(name))

    def _is_over(self, instance: str) -> bool:
        until_s = self._kept_until_s.get(instance)
        return until_s is not None and self._now_s() >= until_s

    def specs(self) -> dict[str, object]:
        """Entries as they stand in the store, by instance, for a peer that starts."""
        with self._lock:
            return {instance: listed.spec for instance, listed in self._entries.items()}

    def subscribe_address_changes(self, on_other: Callable[[str], None]) -> None:
        """Call back with each address at which another worker is now, or one that started again.

        What is open to the address leads to nobody any more. Called off the lock, on the thread
        that takes the news; it must not block.
        """
        self._on_other.append(on_other)

    def apply_listing(self, listing: Listing) -> None:
        """Replace the whole view."""
        entries = {record.name: _Listed(record.spec, record.revision) for record in listing.records}
        self._update(lambda _before: entries, fresh=True)

    def apply_peer_copy(self, specs: Mapping[str, object]) -> None:
        """Use a peer's view, unless the store has been read already."""
        copied = {instance: _Listed(spec, 0) for instance, spec in specs.items()}
        self._update(lambda before: before if self._fresh else copied, fresh=False)

    def apply_change(self, change: RecordChange) -> None:
        """Apply one change."""
        record = change.record

        def changed(entries: Entries) -> Entries:
            entries.pop(record.name, None)
            if not change.deleted:
                entries[record.name] = _Listed(record.spec, record.revision)
            return entries

        self._update(changed, fresh=True)

    def _update(self, change: Callable[[Entries], Entries], *, fresh: bool) -> None:
        """Put changed entries in force; whoever reads and changes them does so under the lock."""
        with self._lock:
            before = self._workers
            entries = self._without_former(change(dict(self._entries)))
            found = {
                name: worker
                for name, listed in entries.items()
                if (worker := _worker(name, listed.spec))
            }
            kept = self._kept(found)
            found |= {instance: before[instance] for instance in kept}
            # In this order a reader never sees a kept worker as one without an end.
            self._kept_until_s = MappingProxyType({**self._kept_until_s, **kept})
            self._workers = MappingProxyType(found)
            self._kept_until_s = MappingProxyType(kept)
            self._entries = entries
            self._fresh = self._fresh or fresh
            self.revision += 1
            others = self._others_at_addresses(before, found)
        for instance in found.keys() | before.keys():
            _log_change(before.get(instance), found.get(instance))
        for address in others:
            for told in self._on_other:
                told(address)

    def _without_former(self, entries: Entries) -> Entries:
        """Pass over what a start wrote that a newer one has replaced: what was known stays."""
        taken: Entries = {}
        for instance, listed in entries.items():
            known = self._entries.get(instance)
            if listed == known or not self._is_former(instance, listed, known):
                taken[instance] = listed
            elif known is not None:
                taken[instance] = known._replace(revision=listed.revision)
        return taken

    def _is_former(self, instance: str, listed: _Listed, known: _Listed | None) -> bool:
        worker = _worker(instance, listed.spec)
        if worker is None:
            return False
        newest = self._starts.newest(instance)
        verdict = self._starts.take(worker.incarnation, listed.revision)
        if newest is None or verdict in (StartVerdict.FIRST, StartVerdict.KNOWN):
            return False
        is_former = verdict is not StartVerdict.AGAIN
        self.restart_count += not is_former
        if known is None or listed.revision != known.revision:
            emit(
                WORKER_FORMER_ENTRY if is_former else WORKER_STARTED_AGAIN,
                instance=instance,
                address=worker.address,
                born=worker.entry.born,
                known_born=newest.born_ms,
            )
        return is_former

    def _others_at_addresses(
        self, before: Mapping[str, Worker], after: Mapping[str, Worker]
    ) -> list[str]:
        """Addresses that somebody else was at when they were last listed."""
        return [
            worker.address
            for instance, worker in after.items()
            if worker != before.get(instance)
            and self._addresses.is_other(worker.address, worker.incarnation)
        ]

    def _kept(self, listed: Mapping[str, Worker]) -> dict[str, float]:
        """Workers to be kept besides the listed ones, and until when."""
        now_s = self._now_s()
        kept = {
            instance: until_s
            for instance, until_s in self._kept_until_s.items()
            if instance not in listed and now_s < until_s
        }
        if now_s >= self._grace_until_s:
            return kept
        for instance, worker in self._workers.items():
            is_missing = instance not in listed and instance not in self._kept_until_s
            if is_missing and worker.entry.state is WorkerState.READY:
                kept[instance] = self._grace_until_s
                left_s = round(self._grace_until_s - now_s, 3)
                emit(WORKER_KEPT, instance=instance, address=worker.address, left_s=left_s)
        return kept


def _worker(instance: str, spec: object) -> Worker | None:
    try:
        return Worker(instance, worker_entry(spec))
    except InvalidEntryError:
        return None


def _log_change(before: Worker | None, after: Worker | None) -> None:
    if before == after:
        return
    shown = after or before
    if shown is None:
        return
    emit(
        WORKER_CHANGED,
        instance=shown.instance,
        service=shown.entry.service,
        address=shown.address,
        born=shown.entry.born,
        state=after.entry.state.value if after else GONE,
        versions=[f"{held.name}={held.version}" for held in shown.entry.models],
    )
