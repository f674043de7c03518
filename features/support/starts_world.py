"""Simulated workers that restart, and the store with its history, in one thread."""

from types import SimpleNamespace

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import (
    Changes,
    Listing,
    ModelState,
    OrderOutcome,
    RecordChange,
    StoredRecord,
    WorkerControl,
    WorkerReport,
)

MODEL = "m"
FIRST_BORN_MS = 1_000_000


def entry_of(instance, born_ms, version=1):
    models = [{"name": MODEL, "version": version}]
    address = f"{instance}:1"
    return {
        "service": "llm",
        "address": address,
        "zone": "a",
        "slots": 8,
        "state": "ready",
        "born": born_ms,
        "models": models,
    }


class StartsWorld(WorkerControl):
    """Actual state: each worker's newest incarnation, all writes and the orders in transit."""

    def __init__(self, names):
        self.revision = 0
        self.records = {}
        self.history = [(0, {}, None)]
        """Revision, all records as of it, and the change that made it."""
        self.workers = {}
        self.had = {}
        """All versions that each incarnation has held."""
        self.starts = {name: [] for name in names}
        self.late = []
        self.orders = []
        self.loses = []
        """Outcomes of the next orders, "late" or "unanswered"; further orders are accepted."""
        self.old_reports = 0
        """Number of next reports that come from the former incarnation."""
        self.clock_ms = FIRST_BORN_MS
        for name in names:
            self.start(name, 0)
            self.write(name)

    def start(self, name, clock_ms):
        """Start a worker with its clock offset by `clock_ms`; it keeps its version."""
        self.clock_ms += 1_000
        before = self.workers.get(name)
        born_ms = self.clock_ms + clock_ms
        while any(born_ms == one.born_ms for one in self.starts[name]):
            born_ms += 1
        self.workers[name] = SimpleNamespace(
            incarnation=Incarnation(name, born_ms),
            version=before.version if before else 1,
            sequence=0,
            former=before,
        )
        self.starts[name].append(self.workers[name].incarnation)
        self._record_version(self.workers[name])

    def _record_version(self, worker):
        self.had.setdefault(worker.incarnation, set()).add(worker.version)

    def write(self, name):
        worker = self.workers[name]
        self.put(name, entry_of(name, worker.incarnation.born_ms, worker.version))

    def put(self, name, spec):
        self.revision += 1
        record = StoredRecord("servers", name, self.revision, spec)
        self.records = {**self.records, name: record}
        self.history.append((self.revision, self.records, RecordChange(record, deleted=False)))

    def lapse(self, name):
        if name not in self.records:
            return
        self.revision += 1
        record = self.records[name]
        self.records = {key: one for key, one in self.records.items() if key != name}
        self.history.append((self.revision, self.records, RecordChange(record, deleted=True)))

    def listing(self, behind):
        revision, records, _ = self.history[max(0, len(self.history) - 1 - behind)]
        return Listing(revision, tuple(records.values()))

    def changes(self, since, behind):
        last = max(0, len(self.history) - 1 - behind)
        included = [one for one in self.history[: last + 1] if since is not None and one[0] > since]
        changes = tuple(change for _, _, change in included)
        return Changes(included[-1][0] if included else since or 0, changes)

    def report(self, address, timeout_s):
        worker = self.workers[address.partition(":")[0]]
        if self.old_reports > 0 and worker.former is not None:
            self.old_reports -= 1
            worker = worker.former
        return WorkerReport(
            (ModelState(MODEL, worker.version),),
            False,
            worker.sequence,
            worker.incarnation.born_ms,
        )

    def order(self, address, instance, order, timeout_s):
        self.orders.append((instance, order))
        what = self.loses.pop(0) if self.loses else "taken"
        if what == "late":
            self.late.append((instance, order))
            return OrderOutcome.UNKNOWN
        answer = self._execute(instance, order)
        return OrderOutcome.UNKNOWN if what == "unanswered" else answer

    def reset_connections(self, address):
        pass

    def deliver(self, which):
        """Execute a late order at the current incarnation."""
        if self.late:
            self._execute(*self.late.pop(which % len(self.late)))

    def _execute(self, instance, order):
        worker = self.workers[instance]
        if order.expected_sequence not in (None, worker.sequence):
            return OrderOutcome.CONFLICT
        if worker.version == order.version:
            return OrderOutcome.IN_FORCE
        worker.sequence += 1
        worker.version = order.version
        self._record_version(worker)
        return OrderOutcome.ACCEPTED
