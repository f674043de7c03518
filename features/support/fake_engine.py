"""An engine that carries out fenced orders step by step, as a test tells it to."""

import threading
from collections.abc import Callable
from dataclasses import replace

from returns.result import Failure, Result, Success

from bellweir.clients.interface import (
    CacheEventBatch,
    Engine,
    EngineOrder,
    EngineRole,
    EngineState,
    EngineStream,
    ErrorKind,
    GenerationCall,
    PlatformError,
    WeightManifest,
    WeightStore,
)

STORE = "store:1"


class FakeStore(WeightStore):
    """Holds every version but the missing ones."""

    address = STORE

    def __init__(self) -> None:
        self.missing: set[int] = set()

    def read_manifest(self, model: str, version: int) -> Result[WeightManifest, PlatformError]:
        if version in self.missing:
            return Failure(PlatformError(ErrorKind.NOT_FOUND, "no such version"))
        return Success(WeightManifest(model, version, 1, "checksum"))


class FakeEngine(Engine):
    """Fetches for `reads_for_fetch` state reads while it goes on serving, then loads.

    Loading takes `reads_for_swap` state reads; `fail_swaps` of the loads fail partway.
    """

    def __init__(self, name: str, model: str, version: int) -> None:
        self.lock = threading.RLock()
        self.state = EngineState(
            engine=name,
            ready=True,
            leaving=False,
            model=model,
            weight_version=version,
            adapters=(),
            role=EngineRole.MIXED,
            order_fence=(0, 0),
            running=0,
            waiting=0,
            cache_used_tokens=0,
            cache_capacity_tokens=1,
            maximum_batch=8,
        )
        self.reads_for_fetch = 2
        self.reads_for_swap = 2
        self.fail_swaps = 0
        self.is_down = False
        self.is_frozen = False
        self.swaps_from: list[str | None] = []
        self.accepted: list[EngineOrder] = []
        self.reads = 0
        self.on_swap: Callable[[], object] = lambda: None
        self.before_swap: Callable[[EngineOrder], object] = lambda _order: None
        """Called before an engine that serves begins a swap."""
        self._pending: EngineOrder | None = None
        self._reads_left = 0
        self._is_loading = False

    @property
    def serves(self) -> bool:
        return self.state.ready and self.state.weight_version is not None

    def read_state(self, timeout_s: float) -> Result[EngineState, PlatformError]:
        with self.lock:
            if self.is_down:
                return Failure(PlatformError(ErrorKind.NOT_RUN, "down"))
            self.reads += 1
            self._go_on()
            return Success(self.state)

    def _go_on(self) -> None:
        if self._pending is None or self.is_frozen:
            return
        self._reads_left -= 1
        if self._reads_left > 0:
            return
        if not self._is_loading:
            self._begin_load(self._pending)
            return
        order, self._pending = self._pending, None
        if self.fail_swaps > 0:
            self.fail_swaps -= 1
            self.state = replace(self.state, swap_error=f"failed, {self.fail_swaps} left")
            return
        self.state = replace(
            self.state, ready=True, weight_version=order.weight_version, swap_error=None
        )

    def order(self, order: EngineOrder) -> Result[EngineState, PlatformError]:
        with self.lock:
            if self.is_down:
                return Failure(PlatformError(ErrorKind.NOT_RUN, "down"))
            if order.fence < self.state.order_fence:
                return Failure(PlatformError(ErrorKind.FENCED, "older order"))
            self.accepted.append(order)
            held = (self.state.model, self.state.weight_version)
            self.state = replace(
                self.state, order_fence=order.fence, adapters=order.adapters, role=order.role
            )
            if held != (order.model, order.weight_version):
                self._begin_fetch(order)
            else:
                self._pending = None
            return Success(self.state)

    def _begin_fetch(self, order: EngineOrder) -> None:
        self.swaps_from.append(order.sources[0] if order.sources else None)
        self.state = replace(self.state, swap_error=None)
        self._pending = order
        self._is_loading = False
        self._reads_left = self.reads_for_fetch

    def _begin_load(self, order: EngineOrder) -> None:
        if self.serves:
            self.before_swap(order)
        self.state = replace(self.state, ready=False, model=order.model, weight_version=None)
        self._is_loading = True
        self._reads_left = self.reads_for_swap
        self.on_swap()

    def generate(self, call: GenerationCall) -> Result[EngineStream, PlatformError]:
        raise NotImplementedError

    def cancel(self, attempt_id: str) -> Result[None, PlatformError]:
        raise NotImplementedError

    def read_cache_events(self, after_sequence: int) -> Result[CacheEventBatch, PlatformError]:
        raise NotImplementedError
