"""The live workers as the store lists them."""

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

import msgspec

from bellweir.events.log import emit
from bellweir.hosted.interface import Listing, RecordChange
from bellweir.hosted.leniency import without_nulls
from bellweir.hosted.log_events import WORKER_CHANGED
from bellweir.hosted.records import WorkerEntry, WorkerState

GONE = "gone"


@dataclass(frozen=True)
class Worker:
    """One incarnation of a worker."""

    instance: str
    entry: WorkerEntry

    @property
    def address(self) -> str:
        """`host:port` of the worker."""
        return self.entry.address

    def version_of(self, model: str) -> int | None:
        """Version of a model as the entry tells it."""
        return next((held.version for held in self.entry.models if held.name == model), None)


class WorkersView:
    """Workers by instance; reading needs no lock."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._workers: Mapping[str, Worker] = MappingProxyType({})
        self._specs: dict[str, object] = {}
        self._fresh = False
        self.revision = 0
        """Counts changes, so that others can tell whether to look again."""

    def worker(self, instance: str) -> Worker | None:
        """The worker of an instance id, if it is listed."""
        return self._workers.get(instance)

    def all(self) -> tuple[Worker, ...]:
        """All listed workers."""
        return tuple(self._workers.values())

    def ready(self, service: str) -> list[Worker]:
        """Workers of a service that may get requests."""
        return [
            worker
            for worker in self._workers.values()
            if worker.entry.service == service and worker.entry.state is WorkerState.READY
        ]

    def specs(self) -> dict[str, object]:
        """Entries as they stand in the store, by instance, for a peer that starts."""
        with self._lock:
            return dict(self._specs)

    def take_listing(self, listing: Listing) -> None:
        """Replace the whole view."""
        self._replace({record.name: record.spec for record in listing.records}, fresh=True)

    def take_peer_copy(self, specs: Mapping[str, object]) -> None:
        """Use a peer's view, unless the store has been read already."""
        if not self._fresh:
            self._replace(dict(specs), fresh=False)

    def take_change(self, change: RecordChange) -> None:
        """Apply one change."""
        with self._lock:
            specs = dict(self._specs)
        if change.deleted:
            specs.pop(change.record.name, None)
        else:
            specs[change.record.name] = change.record.spec
        self._replace(specs, fresh=True)

    def _replace(self, specs: dict[str, object], *, fresh: bool) -> None:
        found = {name: worker for name, spec in specs.items() if (worker := _worker(name, spec))}
        with self._lock:
            before = self._workers
            self._workers = MappingProxyType(found)
            self._specs = specs
            self._fresh = self._fresh or fresh
            self.revision += 1
        for instance in found.keys() | before.keys():
            _log_change(before.get(instance), found.get(instance))


def _worker(instance: str, spec: object) -> Worker | None:
    try:
        return Worker(instance, msgspec.convert(without_nulls(spec), WorkerEntry))
    except msgspec.ValidationError:
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
        state=after.entry.state.value if after else GONE,
        versions=[f"{held.name}={held.version}" for held in shown.entry.models],
    )
