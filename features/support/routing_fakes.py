"""In-memory platform and configuration with back ends that record their requests."""

import threading
from dataclasses import dataclass, field
from enum import Enum

from returns.result import Failure, Success

from bellweir.clients.interface import (
    Application,
    ApplicationAnswer,
    ApplicationState,
    CacheEventBatch,
    Engine,
    EngineRole,
    EngineState,
    EngineStream,
    ErrorKind,
    FinishReason,
    IncompleteBodyError,
    PlatformClients,
    PlatformError,
    TokenChunk,
)
from bellweir.configuration.interface import Configuration, ConfigurationSnapshot
from bellweir.kernel import names
from bellweir.kernel.service import Service

STALL_DURATION_S = 25.0
"""Duration of a stall unless the stream is closed."""


class Fault(Enum):
    """Fault injected into the next call of a back end."""

    REFUSED = "no connection"
    LOST_REQUEST = "a byte was written, but the request never ran"
    LOST_ANSWER = "ran, but the answer was lost"
    OVERLOADED = "refused for load"
    LEAVING = "refused because it leaves"
    CUT_BODY = "ran, but the answer's body was cut"
    RAISED = "ran, but the client raised what it should not"


TYPED_FAULTS = tuple(fault for fault in Fault if fault is not Fault.RAISED)


class UnexpectedError(Exception):
    """Exception that a client raises in violation of its interface."""


FAULT_ERRORS = {
    Fault.REFUSED: ErrorKind.NOT_RUN,
    Fault.LOST_REQUEST: ErrorKind.UNKNOWN,
    Fault.LOST_ANSWER: ErrorKind.UNKNOWN,
    Fault.OVERLOADED: ErrorKind.OVERLOADED,
    Fault.LEAVING: ErrorKind.LEAVING,
}


def error_of(fault: Fault) -> PlatformError:
    return PlatformError(FAULT_ERRORS[fault], fault.value)


@dataclass
class FakeApplication(Application):
    name: str
    ran: list = field(default_factory=list)
    attempts: int = 0
    faults: list = field(default_factory=list)
    dead: bool = False
    leaving: bool = False
    ready: bool = True
    load: int = 0
    probes: int = 0
    on_run: object = None
    on_written: object = None

    def send(self, call):
        self.attempts += 1
        fault = Fault.REFUSED if self.dead else (self.faults.pop(0) if self.faults else None)
        if fault in (Fault.REFUSED, Fault.LOST_REQUEST, Fault.OVERLOADED, Fault.LEAVING):
            return Failure(error_of(fault))
        if self.on_written is not None:
            self.on_written()
        body = call.body if isinstance(call.body, bytes) else call.body.read()
        self.ran.append((call.path, body))
        if self.on_run is not None:
            self.on_run(call)
        if fault is Fault.RAISED:
            raise UnexpectedError
        if fault is Fault.LOST_ANSWER:
            return Failure(error_of(fault))
        answer = b"answer to " + body
        headers = (("Content-Length", str(len(answer))), ("X-Worker", self.name))
        chunks = _cut(answer) if fault is Fault.CUT_BODY else iter((answer,))
        return Success(ApplicationAnswer(200, headers, chunks, self.leaving))

    def read_ready(self, timeout_s):
        self.probes += 1
        if self.dead:
            return Failure(error_of(Fault.REFUSED))
        return Success(ApplicationState(self.name, self.ready, self.leaving, self.load))


def _cut(answer):
    yield answer[:3]
    raise IncompleteBodyError("connection closed")


def token_of(prompt: str, position: int) -> int:
    """Return the token that every engine generates at a position, to detect gaps and repeats."""
    return hash((len(prompt), position)) % 1000


@dataclass
class FakeEngine(Engine):
    name: str
    version: int = 1
    model: str = "model"
    started: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    cut_after: list = field(default_factory=list)
    """Number of tokens after which each of the next streams fails."""
    dead: bool = False
    leaving: bool = False
    gate: threading.Event | None = None
    stall_after: int | None = None
    """Number of tokens after which each stream stalls."""
    ignores_probes: bool = False
    """Whether health probes get no answer."""
    swap_refusals: int = 0
    read_to_end: int = 0
    """Number of streams that were read to their end marker."""
    maximum_batch: int = 64

    def generate(self, call):
        if self.dead:
            return Failure(error_of(Fault.REFUSED))
        if self.version is None:
            self.swap_refusals += 1
            return Failure(
                PlatformError(ErrorKind.NOT_RUN, "no weights are loaded", 0.05, answered=True)
            )
        self.started.append(call)
        return Success(FakeStream(self, call, self.cut_after.pop(0) if self.cut_after else None))

    def cancel(self, attempt_id):
        self.cancelled.append(attempt_id)
        return Success(None)

    def read_state(self, timeout_s):
        if self.ignores_probes:
            return Failure(error_of(Fault.LOST_ANSWER))
        if self.dead:
            return Failure(error_of(Fault.REFUSED))
        return Success(
            EngineState(
                self.name, True, self.leaving, self.model, self.version, (), EngineRole.MIXED,
                (0, 0), 0, 0, 0, 0, self.maximum_batch,
            )
        )  # fmt: skip

    def read_cache_events(self, after_sequence):
        return Success(CacheEventBatch((), after_sequence, True))

    def order(self, order):
        raise NotImplementedError


class FakeStream(EngineStream):
    def __init__(self, engine, call, cut_after):
        self._engine = engine
        self._call = call
        self._cut_after = cut_after
        self._closed = threading.Event()

    def __iter__(self):
        first = len(self._call.prefix_tokens)
        for count, position in enumerate(range(first, self._call.max_tokens)):
            if self._engine.gate is not None:
                while not self._engine.gate.wait(0.01) and not self._closed.is_set():
                    pass
            if count == self._engine.stall_after:
                self._closed.wait(STALL_DURATION_S)
            if count == self._cut_after or self._closed.is_set() or self._engine.dead:
                yield Failure(error_of(Fault.LOST_ANSWER))
                return
            last = position == self._call.max_tokens - 1
            token = token_of(self._call.prompt, position)
            reason = FinishReason.LENGTH if last else None
            yield Success(TokenChunk((token,), f" {token}", self._engine.version, reason))
        self._engine.read_to_end += 1

    def close(self):
        self._closed.set()


class FakePlatform(Service, PlatformClients):
    """Platform clients for fake back ends, by address."""

    name = names.PLATFORM

    def __init__(self):
        self.engines: dict[str, FakeEngine] = {}
        self.applications: dict[str, FakeApplication] = {}

    def start(self):
        pass

    def stop(self):
        pass

    def engine(self, address):
        return self.engines[address]

    def application(self, address):
        return self.applications[address]

    def object_store(self):
        raise NotImplementedError

    machine_list = weight_store = object_store

    def scorer(self, address):
        raise NotImplementedError

    def close(self):
        pass


class FakeConfiguration(Service, Configuration):
    name = names.CONFIGURATION

    def __init__(self, snapshot=None):
        self._snapshot = snapshot or ConfigurationSnapshot(0)
        self._listeners = []

    def start(self):
        pass

    def stop(self):
        pass

    def current(self):
        return self._snapshot

    ready = True

    def is_ready(self):
        return self.ready

    def wait_for(self, revision, timeout_s):
        return self._snapshot.revision >= revision

    def subscribe(self, listener):
        self._listeners.append(listener)
        listener(self._snapshot)

    def set(self, snapshot):
        self._snapshot = snapshot
        for listener in self._listeners:
            listener(snapshot)
