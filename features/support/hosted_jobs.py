"""An in-memory ledger with one replica, batch jobs, and a coordinator with workers."""

import threading
from types import SimpleNamespace

from returns.result import Failure, Success

from bellweir.hosted.batches.attempts import ItemRunner
from bellweir.hosted.batches.coordinator import DEFAULT_POLICY, Coordinator
from bellweir.hosted.batches.retention import JobRetention
from bellweir.hosted.batches.state import BatchJobs, Job, JobItem, Scorer
from bellweir.hosted.interface import Listing, StoredRecord
from bellweir.hosted.serving.attempt import WorkerConnections
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.workers import WorkersView
from bellweir.kernel.executors import Executors
from bellweir.ledger.interface import LedgerError, LedgerErrorKind
from bellweir.ledger.machines import Codec
from bellweir_platform.headers import HEADERS
from bellweir_rehearsal.hosted.worker import WorkerStandIn

HOST = "shop.example"
MODEL = "m"
EVENTS = 5


class MemoryLedger:
    """Applies commands immediately, after encoding and decoding them."""

    def __init__(self):
        self.machine = BatchJobs()
        self.codec = Codec([BatchJobs])
        self.leading = True
        self.largest_bytes = 0
        self.near = None
        """State machine of a follower in the reader's zone, which may lag."""
        self.asked = []
        """Queries sent to the leader."""
        self.drops = ()
        """Command types that are lost: neither applied nor answered."""
        self.failures = []
        """Errors of the next submits, and whether the command is applied nevertheless."""
        self._lock = threading.Lock()

    def register(self, make):
        pass

    def submit(self, key, command, timeout_s):
        kind, applied = self.failures.pop(0) if self.failures else (None, True)
        if isinstance(command, self.drops):
            return Failure(LedgerError(LedgerErrorKind.UNKNOWN, "test"))
        reply = None
        if applied:
            with self._lock:
                encoded = self.codec.encode(command)
                self.largest_bytes = max(self.largest_bytes, len(encoded))
                reply = self.machine.apply(self.codec.decode(encoded, type(command)))
        return Success(reply) if kind is None else Failure(LedgerError(kind, "test"))

    def ask(self, key, query, timeout_s):
        if not self.leading:
            return Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, "test"))
        self.asked.append(query)
        with self._lock:
            return Success(self.machine.answer(query))

    def ask_nearby(self, key, query, timeout_s):
        return None if self.near is None else self.near.answer(query)

    def ask_replicas(self, key, query, timeout_s):
        return ()

    def leads(self, key):
        return self.leading

    def local_machine(self, key, make):
        return self.machine


def make_job(job_id, items, groups, minimum_version=1):
    job_items = tuple(
        JobItem(
            id=f"{job_id}-{number}",
            path=f"/draft/{number}",
            headers=(("X-Bellweir-Model", MODEL),),
            body=b"prompt",
            group=f"group-{number % groups}",
            scorer=Scorer(f"score-{job_id}-{number}", HOST, "/score/x", b"score"),
        )
        for number in range(items)
    )
    return Job(
        id=job_id,
        host=HOST,
        path_prefix="/draft/",
        items=job_items,
        accepted_at_s=1.0,
        model=MODEL,
        minimum_version=minimum_version,
    )


def configuration(backends=(), regions=(), fields=None):
    routes = [
        {"host": HOST, "pathPrefix": "/draft/", "kind": "rollout", "service": "llm"}
        | ({"backends": list(backends)} if backends else {})
        | {"allowedRegions": list(regions)}
        | (fields or {}),
        {
            "host": HOST,
            "pathPrefix": "/rewrite/",
            "kind": "rollout",
            "service": "llm",
            "dueMs": 60_000,
        },
        {"host": HOST, "pathPrefix": "/score/", "kind": "idempotent", "service": "app"},
    ]
    routes = [{"maxAttempts": 3, "targetMs": 400, "timeoutMs": 1_000} | each for each in routes]
    return {"version": 1, "routes": routes, "services": [{"name": "llm"}, {"name": "app"}]}


def make_leader(
    context,
    backends=(),
    workers_each=2,
    policy=DEFAULT_POLICY,
    eligibility=None,
    zones="a",
    regions=(),
    crashes=None,
    fields=None,
    workers=None,
):
    """Start a leading coordinator, `workers_each` model workers per service, and two scorers.

    With `backends`, the items' route is split between these services by their weights; the service
    `llm-none` has no worker. The model workers stand in `zones` by turns, the
    scorers in the last one. `regions`: those that the items' route allows; `fields`: others
    of it. `workers`: the view that the crash guard looks at.
    """
    services = [each["service"] for each in backends] or ["llm"]
    service_of = {
        f"{service}-{number}": service
        for service in services
        for number in range(workers_each)
        if service != "llm-none"
    }
    models = [WorkerStandIn(name, model=MODEL, version=2, events=EVENTS) for name in service_of]
    scorers = [WorkerStandIn(f"app-{number}") for number in range(2)]
    view, executors = ConfigurationView(), Executors()
    workers = workers or WorkersView()
    view.apply(configuration(backends, regions, fields), "test")

    def show():
        entries = {
            each.instance: each.entry(service_of[each.instance], zones[number % len(zones)])
            for number, each in enumerate(models)
        }
        entries |= {each.instance: each.entry("app", zones[-1]) for each in scorers}
        records = tuple(StoredRecord("servers", *found) for found in _numbered(entries))
        workers.apply_listing(Listing(1, records))

    show()
    ledger, loads = MemoryLedger(), WorkerLoads("a", eligibility=eligibility)
    connections = WorkerConnections(HEADERS)
    context.cleanup.callback(connections.retain, set())
    attempts = ItemRunner(connections, loads, crashes)
    coordinator = Coordinator(ledger, view, workers, loads, attempts, executors, policy)
    executors.run_loop("coordinator", coordinator.run)
    executors.run_loop("committer", coordinator.committer.run)
    executors.run_loop("retention", JobRetention(ledger, 120.0).run)
    context.cleanup.callback(executors.stop)
    for worker in (*models, *scorers):
        context.cleanup.callback(worker.close)
    return SimpleNamespace(
        ledger=ledger, models=models, scorers=scorers, show=show, coordinator=coordinator
    )


def _numbered(entries):
    return [(name, 1, entry) for name, entry in entries.items()]
