"""View of the live workers in the store."""

import threading
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
from bellweir.hosted.views.incarnation_tracker import (
    AddressTracker,
    IncarnationTracker,
    IncarnationVerdict,
)
from bellweir.kernel.clock import elapsed_s

GONE = "gone"


@dataclass(frozen=True)
class Worker:
    """One incarnation of a worker."""

    instance: str
    entry: WorkerEntry
    incarnation: Incarnation = field(init=False, compare=False)

    def __post_init__(self) -> None:
        """Set the incarnation, the key of all per-worker state."""
        object.__setattr__(self, "incarnation", Incarnation(self.instance, self.entry.born))

    @property
    def address(self) -> str:
        """`host:port` of the worker."""
        return self.entry.address

    def version_of(self, model: str) -> int | None:
        """Return the version of a model in the entry; None without one."""
        return next((held.version for held in self.entry.models if held.name == model), None)


class _Listed(NamedTuple):
    """An entry in the format of the store."""

    spec: object
    revision: int
    """Store revision of its last change; 0 if copied from a peer."""


Entries = dict[str, _Listed]


class WorkersView:
    """Workers by instance. Reads take no lock.

    Entries of live workers expire during an outage of the store and are rewritten soon after its
    recovery. A ready worker whose entry is missing then is kept for a grace period.

    A restarted worker replaces its former incarnation at once. A delayed entry of a former
    incarnation is ignored (`incarnation_tracker`).
    """

    def __init__(self, now_s: Callable[[], float] = elapsed_s) -> None:
        self._now_s = now_s
        self._lock = threading.Lock()
        self._workers: Mapping[str, Worker] = MappingProxyType({})
        """Listed workers and those kept after their entries expired."""
        self._kept_until_s: Mapping[str, float] = MappingProxyType({})
        self._grace_until_s = float("-inf")
        self._entries: Entries = {}
        self._incarnations = IncarnationTracker()
        self._addresses = AddressTracker()
        self._address_listeners: list[Callable[[str], None]] = []
        self._fresh = False
        self.revision = 0
        """Number of changes; callers compare it to detect one."""
        self.restart_count = 0
        """Number of restarts observed."""

    def worker(self, instance: str) -> Worker | None:
        """Return the worker with this instance id, if listed."""
        return None if self._is_expired(instance) else self._workers.get(instance)

    def all(self) -> tuple[Worker, ...]:
        """Return all listed workers."""
        return tuple(self._present())

    def at(self, address: str) -> Worker | None:
        """Return the worker at `host:port`, if one is listed."""
        return next((worker for worker in self._present() if worker.address == address), None)

    def ready(self, service: str) -> list[Worker]:
        """Return the workers of a service that accept requests."""
        return [
            worker
            for worker in self._present()
            if worker.entry.service == service and worker.entry.state is WorkerState.READY
        ]

    def is_lapsed(self, instance: str) -> bool:
        """Whether a worker is kept although its entry has expired."""
        return instance in self._kept_until_s and not self._is_expired(instance)

    def keep_lapsed_until(self, until_s: float) -> None:
        """Keep ready workers without an entry until then; called when the store recovers."""
        self._grace_until_s = max(self._grace_until_s, until_s)

    def drop_expired(self) -> None:
        """Drop kept workers whose grace period has ended; called periodically."""
        if any(self._is_expired(instance) for instance in self._kept_until_s):
            self._update(lambda entries: entries, fresh=False)

    def _present(self) -> Iterator[Worker]:
        workers = self._workers
        if not self._kept_until_s:
            return iter(workers.values())
        return (worker for name, worker in workers.items() if not self._is_expired(name))

    def _is_expired(self, instance: str) -> bool:
        until_s = self._kept_until_s.get(instance)
        return until_s is not None and self._now_s() >= until_s

    def specs(self) -> dict[str, object]:
        """Return the entries in the format of the store, by instance."""
        with self._lock:
            return {instance: listed.spec for instance, listed in self._entries.items()}

    def subscribe_address_changes(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with each address at which the incarnation has changed.

        Open connections to the address are stale then. The listener is called without the lock,
        on the thread that applies the update, and must not block.
        """
        self._address_listeners.append(listener)

    def apply_listing(self, listing: Listing) -> None:
        """Replace the whole view by a listing."""
        entries = {record.name: _Listed(record.spec, record.revision) for record in listing.records}
        self._update(lambda _before: entries, fresh=True)

    def apply_peer_copy(self, specs: Mapping[str, object]) -> None:
        """Use a peer's view unless the store has already been read."""
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
        """Apply `change` to the entries; reading and changing them happens under the lock."""
        with self._lock:
            before = self._workers
            entries = self._without_superseded(change(dict(self._entries)))
            found = {
                name: worker
                for name, listed in entries.items()
                if (worker := _worker(name, listed.spec))
            }
            kept = self._select_kept(found)
            found |= {instance: before[instance] for instance in kept}
            # This order ensures that lock-free readers never see a kept worker without an expiry.
            self._kept_until_s = MappingProxyType({**self._kept_until_s, **kept})
            self._workers = MappingProxyType(found)
            self._kept_until_s = MappingProxyType(kept)
            self._entries = entries
            self._fresh = self._fresh or fresh
            self.revision += 1
            others = self._changed_addresses(before, found)
        for instance in found.keys() | before.keys():
            _log_change(before.get(instance), found.get(instance))
        for address in others:
            for listener in self._address_listeners:
                listener(address)

    def _without_superseded(self, entries: Entries) -> Entries:
        """Replace entries written by superseded incarnations by the known ones."""
        taken: Entries = {}
        for instance, listed in entries.items():
            known = self._entries.get(instance)
            if listed == known or not self._is_superseded(instance, listed, known):
                taken[instance] = listed
            elif known is not None:
                taken[instance] = known._replace(revision=listed.revision)
        return taken

    def _is_superseded(self, instance: str, listed: _Listed, known: _Listed | None) -> bool:
        worker = _worker(instance, listed.spec)
        if worker is None:
            return False
        newest = self._incarnations.newest(instance)
        verdict = self._incarnations.observe(worker.incarnation, listed.revision)
        if newest is None or verdict in (IncarnationVerdict.FIRST, IncarnationVerdict.KNOWN):
            return False
        is_superseded = verdict is not IncarnationVerdict.RESTARTED
        self.restart_count += not is_superseded
        if known is None or listed.revision != known.revision:
            emit(
                WORKER_FORMER_ENTRY if is_superseded else WORKER_STARTED_AGAIN,
                instance=instance,
                address=worker.address,
                born=worker.entry.born,
                known_born=newest.born_ms,
            )
        return is_superseded

    def _changed_addresses(
        self, before: Mapping[str, Worker], after: Mapping[str, Worker]
    ) -> list[str]:
        """Return the addresses at which the incarnation has changed."""
        return [
            worker.address
            for instance, worker in after.items()
            if worker != before.get(instance)
            and self._addresses.changed(worker.address, worker.incarnation)
        ]

    def _select_kept(self, listed: Mapping[str, Worker]) -> dict[str, float]:
        """Return the unlisted workers to keep and until when."""
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
