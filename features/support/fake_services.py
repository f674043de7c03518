"""Small stand-ins for the services that `samples` and `weights` call."""

import threading
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from bellweir.clients.interface import (
    Application,
    Engine,
    ErrorKind,
    FinishReason,
    MachineList,
    ObjectStore,
    PlatformClients,
    PlatformError,
    ScoreCall,
    Scorer,
    WeightStore,
)
from bellweir.configuration.interface import (
    Configuration,
    ConfigurationListener,
    ConfigurationSnapshot,
)
from bellweir.kernel import names
from bellweir.kernel.service import Service
from bellweir.resources.interface import (
    ResourceDocument,
    ResourceError,
    ResourceErrorKind,
    Resources,
)
from bellweir.resources.models import (
    Metadata,
    Policy,
    PolicySpec,
    Pool,
    PoolSpec,
    WeightVersion,
    WeightVersionSpec,
)
from bellweir.routing.interface import (
    ApplicationRequest,
    Dispatcher,
    DispatchStatistics,
    Generation,
    GenerationChunk,
    GenerationRequest,
    Refusal,
    RefusalReason,
    RunState,
)


class Idle(Service):
    """A service without work of its own."""

    dependencies = ()

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass


class FakeConfiguration(Idle, Configuration):
    """A configuration that the test publishes."""

    name = names.CONFIGURATION

    def __init__(self) -> None:
        self._snapshot = ConfigurationSnapshot(0)
        self._listeners: list[ConfigurationListener] = []

    def publish(
        self,
        policy: str,
        version: int,
        pools: tuple[Pool, ...] = (),
        adapters: tuple[str, ...] = (),
    ) -> None:
        """Name a new version as published and wanted."""
        versions = dict(self._snapshot.weight_versions)
        resource_name = f"{policy}-{version}"
        versions[resource_name] = WeightVersion(
            metadata=Metadata(name=resource_name),
            spec=WeightVersionSpec(policy=policy, version=version),
        )
        policies = dict(self._snapshot.policies)
        policies[policy] = Policy(
            metadata=Metadata(name=policy),
            spec=PolicySpec(model=policy, version=version, adapters=adapters),
        )
        known_pools = dict(self._snapshot.pools) | {pool.metadata.name: pool for pool in pools}
        self.put(
            ConfigurationSnapshot(self._snapshot.revision + 1, policies, versions, known_pools)
        )

    def write_status(self, policy: str) -> None:
        """Move a policy's revision without changing its spec."""
        current = self._snapshot
        revision = current.revision + 1
        known = current.policies[policy]
        metadata = known.metadata.model_copy(update={"resource_version": revision})
        policies = dict(current.policies) | {
            policy: known.model_copy(update={"metadata": metadata})
        }
        self.put(ConfigurationSnapshot(revision, policies, current.weight_versions, current.pools))

    def put(self, snapshot: ConfigurationSnapshot) -> None:
        self._snapshot = snapshot
        for listener in self._listeners:
            listener(snapshot)

    def current(self) -> ConfigurationSnapshot:
        return self._snapshot

    def is_ready(self) -> bool:
        return self._snapshot.revision > 0

    def wait_for(self, revision: int, timeout_s: float) -> bool:
        return self._snapshot.revision >= revision

    def subscribe(self, listener: ConfigurationListener) -> None:
        self._listeners.append(listener)
        if self._snapshot.revision > 0:
            listener(self._snapshot)


class FakeResources(Idle, Resources):
    """Records the statuses reported, and refuses some on purpose."""

    name = names.RESOURCES

    def __init__(self) -> None:
        self.reports: list[tuple[str, str, Mapping[str, Any]]] = []
        self.refusals_left = 0

    def report_status(self, kind: str, name: str, status: Mapping[str, Any]) -> Result:
        if self.refusals_left > 0:
            self.refusals_left -= 1
            return Failure(ResourceError(ResourceErrorKind.UNAVAILABLE, "told to refuse"))
        self.reports.append((kind, name, status))
        return Success(ResourceDocument(kind, name, len(self.reports), {"status": status}))

    def list_resources(self, kind: str) -> Result:
        raise NotImplementedError

    def get(self, kind: str, name: str) -> Result:
        raise NotImplementedError

    def create(self, document: Mapping[str, Any], *, dry_run: bool = False) -> Result:
        raise NotImplementedError

    def replace(self, document: Mapping[str, Any], *, dry_run: bool = False) -> Result:
        raise NotImplementedError

    def patch(
        self, kind: str, name: str, merge: Mapping[str, Any], *, dry_run: bool = False
    ) -> Result:
        raise NotImplementedError

    def delete(self, kind: str, name: str, version: int | None, *, dry_run: bool = False) -> Result:
        raise NotImplementedError

    def watch(self, kind: str, from_revision: int, timeout_s: float) -> Iterator[Result]:
        raise NotImplementedError


def engine_pool(name: str, spec: PoolSpec) -> Pool:
    return Pool(metadata=Metadata(name=name), spec=spec)


@dataclass
class ScriptedEngines:
    """What all fake dispatchers of a test do; changed by the test as it goes on."""

    version: int = 1
    tokens: int = 3
    refuse: bool = False
    cut_after_tokens: int | None = None
    hold: threading.Event | None = None
    hold_after_tokens: int = 0
    held_prompts: frozenset[str] = frozenset()
    """Prompts that `hold` stops; empty for all."""
    token_s: float = 0.0
    slow_worker_token_s: float = 0.0
    """Time of a token on engine-1, when it is slower than the others."""
    requests: list[GenerationRequest] = field(default_factory=list)
    started: int = 0
    nodes: dict[str, str] = field(default_factory=dict)
    """Node that asked, by request id."""
    cancelled: list[str] = field(default_factory=list)

    def next_worker(self) -> str:
        """Engine-1 gets every third generation."""
        self.started += 1
        return "engine-1" if self.started % 3 == 0 else "engine-2"

    def waits(self, prompt: str, number: int) -> bool:
        if self.hold is None or self.hold.is_set() or number < self.hold_after_tokens:
            return False
        return not self.held_prompts or prompt in self.held_prompts


CANCELLED = Refusal(RefusalReason.DRAINING, RunState.RAN, "cancelled")
CUT = Refusal(RefusalReason.BACKEND_FAILED, RunState.UNKNOWN, "cut by the test")
NO_BACKEND = Refusal(RefusalReason.NO_BACKEND, RunState.NOT_RUN, "refused by the test")


class FakeGeneration(Generation):
    """One token for each chunk, each by the version that the script then has."""

    def __init__(self, script: ScriptedEngines, request: GenerationRequest) -> None:
        self._script = script
        self._request = request
        self._cancelled = threading.Event()
        self._worker = "engine-2" if "engine-1" in request.avoid_workers else script.next_worker()

    def __iter__(self) -> Iterator[Result[GenerationChunk, Refusal]]:
        first = len(self._request.prefix_tokens)
        for number in range(first, self._script.tokens):
            self._pass_time(number)
            if self._cancelled.is_set():
                yield Failure(CANCELLED)
                return
            if number == self._script.cut_after_tokens:
                yield Failure(CUT)
                return
            yield Success(self._chunk(number))

    def _pass_time(self, number: int) -> None:
        waits = self._script.waits
        while waits(self._request.prompt, number) and not self._cancelled.is_set():
            self._cancelled.wait(0.005)
        is_slow = self._worker == "engine-1" and self._script.slow_worker_token_s > 0
        self._cancelled.wait(self._script.slow_worker_token_s if is_slow else self._script.token_s)

    def _chunk(self, number: int) -> GenerationChunk:
        is_last = number == self._script.tokens - 1
        return GenerationChunk(
            tokens=(number,),
            text=f"{self._request.request_id[:4]}.{number} ",
            weight_version=self._script.version,
            worker=self._worker,
            finish_reason=FinishReason.STOP if is_last else None,
        )

    def cancel(self) -> None:
        self._cancelled.set()
        self._script.cancelled.append(self._request.request_id)


class FakeDispatcher(Idle, Dispatcher):
    """Runs generations by a script."""

    name = names.DISPATCHER

    def __init__(self, script: ScriptedEngines, node: str) -> None:
        self._script = script
        self._node = node

    def generate(self, request: GenerationRequest) -> Result[Generation, Refusal]:
        self._script.nodes[request.request_id] = self._node
        self._script.requests.append(request)
        too_old = (request.minimum_version or 0) > self._script.version
        if self._script.refuse or too_old:
            return Failure(NO_BACKEND)
        return Success(FakeGeneration(self._script, request))

    def forward(self, request: ApplicationRequest) -> Result[object, Refusal]:  # type: ignore[override]
        raise NotImplementedError

    def statistics(self) -> DispatchStatistics:
        return DispatchStatistics()


class FakeScorer(Scorer):
    """Scores by the length of the text, after failing as often as told."""

    def __init__(self) -> None:
        self.failures_left = 0
        self.hold = threading.Event()
        self.hold.set()
        self.calls: list[ScoreCall] = []

    def score(self, call: ScoreCall, timeout_s: float) -> Result[float, PlatformError]:
        self.calls.append(call)
        self.hold.wait(30)
        if self.failures_left > 0:
            self.failures_left -= 1
            return Failure(PlatformError(ErrorKind.OVERLOADED, "told to fail", 0.01))
        return Success(float(len(call.text)))


class FakePlatform(Idle, PlatformClients):
    """Scorers and engines by address."""

    name = names.PLATFORM

    def __init__(self) -> None:
        self.scorers: dict[str, FakeScorer] = {}
        self.engines: dict[str, Engine] = {}
        self.store: WeightStore | None = None

    def object_store(self) -> ObjectStore:
        raise NotImplementedError

    def machine_list(self) -> MachineList:
        raise NotImplementedError

    def weight_store(self) -> WeightStore:
        if self.store is None:
            raise NotImplementedError
        return self.store

    def engine(self, address: str) -> Engine:
        return self.engines[address]

    def application(self, address: str) -> Application:
        raise NotImplementedError

    def scorer(self, address: str) -> Scorer:
        return self.scorers.setdefault(address, FakeScorer())

    def close(self) -> None:
        pass
