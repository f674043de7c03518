"""Fakes of the services behind the gateway, and a node that runs just the gateway on them."""

import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path

from returns.result import Failure, Result, Success

from bellweir.clients.interface import ApplicationAnswer, FinishReason, IncompleteBodyError
from bellweir.configuration.interface import Configuration, ConfigurationSnapshot
from bellweir.gateway.service import GatewayService
from bellweir.http_server.server_limits import ServerLimits
from bellweir.kernel import names
from bellweir.kernel.listeners import bind_listeners
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.interface import Member, Membership, MemberState
from bellweir.resources.interface import (
    ResourceChange,
    ResourceDocument,
    ResourceError,
    ResourceErrorKind,
    Resources,
)
from bellweir.resources.models import Metadata, Policy, PolicySpec
from bellweir.routing.interface import (
    ApplicationRequest,
    BackendView,
    BackendViews,
    Dispatcher,
    DispatchStatistics,
    Generation,
    GenerationChunk,
    GenerationRequest,
    Refusal,
    RefusalReason,
    RunState,
)
from bellweir.samples.interface import (
    Sample,
    SampleBatch,
    Samples,
    StepDeclaration,
    StepError,
    StepErrorKind,
    StepState,
    StepStatus,
)
from bellweir.settings.models import GatewaySettings, NodeIdentity, Settings
from bellweir.telemetry.service import TelemetryService


class FakeService(Service):
    """A service with nothing to run."""

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass


class FakeGeneration(Generation):
    """Yields the words of a text; waits at `pause_at` until `go_on` is set or it is cancelled."""

    def __init__(self, texts, versions, pause_at=None, refusal_at=None, finish=True):
        self.texts = texts
        self.versions = versions
        self.pause_at = pause_at
        self.refusal_at = refusal_at
        self.finish = finish
        self.go_on = threading.Event()
        self.waiting = threading.Event()
        self.cancelled = threading.Event()

    def __iter__(self) -> Iterator[Result[GenerationChunk, Refusal]]:
        for index, text in enumerate(self.texts):
            if index == self.pause_at:
                self.waiting.set()
                self.go_on.wait(60)
            if self.cancelled.is_set():
                return
            if index == self.refusal_at:
                yield Failure(Refusal(RefusalReason.BACKEND_FAILED, RunState.NOT_RUN, "engine"))
                return
            last = self.finish and index == len(self.texts) - 1
            reason = FinishReason.STOP if last else None
            yield Success(GenerationChunk((index,), text, self.versions[index], "engine-1", reason))

    def cancel(self) -> None:
        self.cancelled.set()
        self.go_on.set()


def three_words(request: GenerationRequest) -> FakeGeneration:
    return FakeGeneration(("one ", "two ", "three"), (3, 3, 4))


class FakeDispatcher(FakeService, Dispatcher):
    """Answers with what the test put in, and keeps what it was asked."""

    name = names.DISPATCHER

    def __init__(self):
        self.asked: list[GenerationRequest] = []
        self.forwarded: list[ApplicationRequest] = []
        self.generations: list[FakeGeneration] = []
        self.refusal: Refusal | None = None
        self.make = three_words
        self.answer = self.echo

    def generate(self, request: GenerationRequest) -> Result[Generation, Refusal]:
        if self.refusal is not None:
            return Failure(self.refusal)
        generation = self.make(request)
        self.asked.append(request)
        self.generations.append(generation)
        return Success(generation)

    def forward(self, request: ApplicationRequest) -> Result[ApplicationAnswer, Refusal]:
        if self.refusal is not None:
            return Failure(self.refusal)
        self.forwarded.append(request)
        return Success(self.answer(request))

    def echo(self, request: ApplicationRequest) -> ApplicationAnswer:
        """Give the body back, with hop-by-hop headers that must not be passed on."""
        body = request.body.read()
        headers = (
            ("Content-Length", str(len(body))),
            ("Connection", "X-Private"),
            ("X-Private", "1"),
            ("Keep-Alive", "timeout=5"),
            ("X-Method", request.method),
            ("X-Path", request.path),
            ("Set-Cookie", "a=1"),
            ("Set-Cookie", "b=2"),
        )
        return ApplicationAnswer(200, headers, iter([body]))

    def statistics(self) -> DispatchStatistics:
        return DispatchStatistics({"completed": len(self.asked)}, len(self.asked), len(self.asked))


def cut_body(chunks: tuple[bytes, ...]) -> Iterator[bytes]:
    """A body that ends before its end."""
    yield from chunks
    raise IncompleteBodyError("cut")


class FakeConfiguration(FakeService, Configuration):
    name = names.CONFIGURATION

    def __init__(self):
        self.ready = True
        policy = Policy(metadata=Metadata(name="policy-1"), spec=PolicySpec(model="model-1"))
        self.snapshot = ConfigurationSnapshot(7, policies={"policy-1": policy})

    def current(self):
        return self.snapshot

    def is_ready(self):
        return self.ready

    def wait_for(self, revision, timeout_s):
        return revision <= self.snapshot.revision

    def subscribe(self, listener):
        listener(self.snapshot)


class FakeMembership(FakeService, Membership):
    name = names.MEMBERSHIP

    def self_member(self):
        return Member("node-1", "", "", "zone-1", "region-1", False, MemberState.ALIVE, 1)

    def members(self):
        return (self.self_member(),)

    def member(self, node):
        return self.self_member() if node == "node-1" else None

    def subscribe(self, listener):
        pass

    def announce_leaving(self):
        pass


class FakeBackendViews(FakeService, BackendViews):
    name = names.BACKEND_VIEWS

    def views(self, pool) -> tuple[BackendView, ...]:
        return ()


class FakeSamples(FakeService, Samples):
    """One list of samples for each step."""

    name = names.SAMPLES

    def __init__(self):
        self.declarations: dict[str, StepDeclaration] = {}
        self.filled: dict[str, list[Sample]] = {}
        self.acknowledged: dict[str, int] = {}

    def declare(self, declaration):
        known = self.declarations.setdefault(declaration.step_id, declaration)
        if known != declaration:
            return Failure(StepError(StepErrorKind.CONFLICT, "declared with other contents"))
        self.filled.setdefault(declaration.step_id, [])
        return self.status(declaration.step_id)

    def fill(self, step_id):
        prompt = self.declarations[step_id].prompts[0]
        slot = len(self.filled[step_id])
        sample = Sample(f"{step_id}/{slot}/0", step_id, slot, 0, prompt, "text", (1,), (), None)
        self.filled[step_id].append(sample)

    def pull(self, step_id, cursor, limit, wait_s):
        if step_id not in self.declarations:
            return Failure(StepError(StepErrorKind.NOT_FOUND, "no such step"))
        deadline = time.monotonic() + wait_s
        while not self.filled[step_id][cursor:] and time.monotonic() < deadline:
            time.sleep(0.01)
        samples = tuple(self.filled[step_id][cursor : cursor + limit])
        return Success(SampleBatch(samples, cursor + len(samples), complete=False))

    def acknowledge(self, step_id, cursor):
        self.acknowledged[step_id] = max(cursor, self.acknowledged.get(step_id, 0))
        return self.status(step_id)

    def status(self, step_id):
        if step_id not in self.declarations:
            return Failure(StepError(StepErrorKind.NOT_FOUND, "no such step"))
        filled = len(self.filled[step_id])
        acknowledged = self.acknowledged.get(step_id, 0)
        return Success(
            StepStatus(
                step_id, StepState.RUNNING, 4, filled, 0, 4 - filled, 0, 0, acknowledged, None
            )
        )

    def cancel(self, step_id):
        return self.status(step_id)


class FakeResources(FakeService, Resources):
    """An object store in memory with compare-and-set."""

    name = names.RESOURCES

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 0
        self.stored: dict[tuple[str, str], ResourceDocument] = {}
        self.changes: list[ResourceChange] = []

    def list_resources(self, kind):
        with self.lock:
            found = tuple(each for each in self.stored.values() if each.kind == kind)
            return Success((self.revision, found))

    def get(self, kind, name):
        found = self.stored.get((kind, name))
        return Success(found) if found else self._error(ResourceErrorKind.NOT_FOUND)

    def create(self, document, *, dry_run=False):
        if (document["kind"], document["metadata"]["name"]) in self.stored:
            return self._error(ResourceErrorKind.CONFLICT)
        return self._write(document, dry_run)

    def replace(self, document, *, dry_run=False):
        known = self.stored.get((document["kind"], document["metadata"]["name"]))
        if known is None:
            return self._error(ResourceErrorKind.NOT_FOUND)
        if known.version != document["metadata"].get("resourceVersion"):
            return self._error(ResourceErrorKind.CONFLICT)
        return self._write(document, dry_run)

    def patch(self, kind, name, merge, *, dry_run=False):
        known = self.stored.get((kind, name))
        if known is None:
            return self._error(ResourceErrorKind.NOT_FOUND)
        spec = {**known.document["spec"], **merge.get("spec", {})}
        return self._write({**known.document, "spec": spec}, dry_run)

    def delete(self, kind, name, version, *, dry_run=False):
        with self.lock:
            known = self.stored.pop((kind, name), None)
            if known is None:
                return self._error(ResourceErrorKind.NOT_FOUND)
            self.revision += 1
            self.changes.append(ResourceChange(self.revision, known, True))
            self.lock.notify_all()
            return Success(self.revision)

    def watch(self, kind, from_revision, timeout_s):
        deadline = time.monotonic() + timeout_s
        seen = from_revision
        while time.monotonic() < deadline:
            with self.lock:
                new = [each for each in self.changes if each.revision > seen]
                if not new:
                    self.lock.wait(0.02)
            for change in new:
                seen = change.revision
                if change.resource.kind == kind:
                    yield Success(change)

    def report_status(self, kind, name, status):
        return self.get(kind, name)

    def _write(self, document, dry_run):
        with self.lock:
            revision = self.revision + 1
            metadata = {**document["metadata"], "resourceVersion": revision}
            written = ResourceDocument(
                document["kind"], metadata["name"], revision, {**document, "metadata": metadata}
            )
            if not dry_run:
                self.revision = revision
                self.stored[(written.kind, written.name)] = written
                self.changes.append(ResourceChange(revision, written, False))
                self.lock.notify_all()
            return Success(written)

    def _error(self, kind):
        return Failure(ResourceError(kind, kind.value))


@dataclass
class GatewayNode:
    """A kernel with the real gateway and telemetry on fakes."""

    kernel: Kernel
    address: str
    gateway: GatewayService | None = None
    dispatcher: FakeDispatcher = field(default_factory=FakeDispatcher)
    configuration: FakeConfiguration = field(default_factory=FakeConfiguration)
    samples: FakeSamples = field(default_factory=FakeSamples)
    resources: FakeResources = field(default_factory=FakeResources)

    @property
    def port(self) -> int:
        return int(self.address.rsplit(":", 1)[1])

    @property
    def server(self):
        """The HTTP server, to look at its connections."""
        return self.gateway._server

    def refuses_work(self) -> bool:
        return self.gateway._refusing.is_set()

    def stop(self) -> None:
        self.kernel.registry.stop()
        self.kernel.executors.stop()
        self.kernel.listeners.close()


def start_gateway_node(
    tokens_file: Path | None = None, limits: dict[str, int] | None = None, **gateway: object
) -> GatewayNode:
    """Start a node whose gateway listens on a port given by the system."""
    chosen = {"threads": 16, "drain_grace_s": 0.1, "tokens_file": tokens_file} | gateway
    settings = Settings(node=NodeIdentity(name="node-1"), gateway=GatewaySettings(**chosen))
    kernel = Kernel(bind_listeners("127.0.0.1", 0, 0))
    node = GatewayNode(kernel, kernel.listeners.gateway_address)
    bounds = ServerLimits(settings.gateway.threads, settings.gateway.maximum_body_bytes)
    bounds = replace(bounds, **(limits or {}))
    node.gateway = GatewayService(kernel, settings, bounds)
    services = (
        TelemetryService(kernel, settings),
        node.dispatcher,
        node.configuration,
        node.samples,
        node.resources,
        FakeMembership(),
        FakeBackendViews(),
        node.gateway,
    )
    for service in services:
        kernel.registry.register(service)
    kernel.registry.start()
    return node
