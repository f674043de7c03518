"""Orders, fences and weight swaps of the engine stand-in."""

import http.client
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import Enum

import msgspec
from returns.result import Success

from bellweir.clients.interface import EngineOrder, EngineRole, ErrorKind, WeightManifest
from bellweir.clients.pool import ConnectionPool, HttpCall
from bellweir_rehearsal.standins.base import RefusalError
from bellweir_rehearsal.standins.engine_options import EngineOptions
from bellweir_rehearsal.standins.runlog import Record, RunLog
from bellweir_rehearsal.standins.weight_store import FetchLine, checksum_of

FETCH_SILENCE_S = 10.0
"""A fetch without a line of progress for this long is given up."""
FETCH_ROUNDS = 3
"""Times that all sources are tried before the swap is given up."""
ROUND_PAUSE_S = 0.2
HELD_VERSIONS = 2
"""Fetched versions that an engine keeps and gives to others."""
DEFAULT_SIZE_BYTES = 16_000_000_000
STATUS_OK = 200


class OrderSeen(Record, frozen=True, kw_only=True):
    """An order came in."""

    fence: tuple[int, int]
    model: str
    weight_version: int
    role: EngineRole
    accepted: bool
    """False when its fence was too old."""


class SwapEnded(Record, frozen=True, kw_only=True):
    """A swap ended."""

    model: str
    weight_version: int
    source: str | None
    """Where the weights came from; None when they were there already."""
    error: str | None
    duration_s: float
    """Wall time."""


class SwapFailure(Enum):
    """How a swap can fail."""

    NO_SOURCE = "no source gave the weights"
    PARTWAY = "the load stopped partway"
    SUPERSEDED = "a newer order came"


@dataclass(frozen=True)
class Held:
    """What the engine holds, as reports show it."""

    model: str
    weight_version: int | None
    adapters: tuple[str, ...]
    role: EngineRole
    fence: tuple[int, int]
    swap_error: str | None


class EngineWeights:
    """Accepts fenced orders and carries the newest one out, one swap at a time."""

    def __init__(
        self,
        options: EngineOptions,
        log: RunLog,
        set_weights: Callable[[int | None], None],
        load_fails: Callable[[], bool],
        cut_all: Callable[[], None],
    ) -> None:
        self._options = options
        self._log = log
        self._set_weights = set_weights
        self._load_fails = load_fails
        self._cut_all = cut_all
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="standin-swap")
        self._order: EngineOrder | None = None
        self._busy = False
        self._held = Held(options.model, options.initial_version, (), options.role, (0, 0), None)
        self._copies: dict[tuple[str, int], WeightManifest] = {}
        if options.initial_version is not None:
            self._keep_copy(first_manifest(options.model, options.initial_version))

    def held(self) -> Held:
        """Return what the engine holds."""
        with self._lock:
            return self._held

    def copy_of(self, model: str, version: int) -> WeightManifest | None:
        """Return the manifest of a version of which this engine has a whole copy."""
        with self._lock:
            return self._copies.get((model, version))

    def stop(self) -> None:
        """Give up a swap in hand and end the task."""
        self._stopping.set()
        self._pool.shutdown()

    def accept(self, order: EngineOrder) -> None:
        """Accept an order; raises `RefusalError` for an old fence.

        The same order again is no error, and starts a failed swap once more.
        """
        with self._lock:
            self._check_fence(order)
            self._log_order(order, accepted=True)
            again = order == self._order and self._held.swap_error is None
            self._order = order
            if again:
                return
            self._held = Held(
                self._held.model,
                self._held.weight_version,
                order.adapters,
                order.role,
                order.fence,
                None,
            )
            if self._busy or self._is_loaded(order):
                return
            self._busy = True
        self._pool.submit(self._work)

    def _check_fence(self, order: EngineOrder) -> None:
        newest = self._held.fence
        if order.fence < newest:
            self._log_order(order, accepted=False)
            raise RefusalError(ErrorKind.FENCED, f"{order.fence} is older than {newest}")
        same_fence = self._order is not None and order.fence == self._order.fence
        if same_fence and _content(order) != _content(self._order):
            self._log_order(order, accepted=False)
            raise RefusalError(ErrorKind.INVALID, f"another order has the fence {newest}")

    def _log_order(self, order: EngineOrder, *, accepted: bool) -> None:
        self._log.append(
            OrderSeen(
                standin=self._log.standin,
                fence=order.fence,
                model=order.model,
                weight_version=order.weight_version,
                role=order.role,
                accepted=accepted,
            )
        )

    def _is_loaded(self, order: EngineOrder) -> bool:
        loaded = (self._held.model, self._held.weight_version)
        return loaded == _target(order)

    def _work(self) -> None:
        """Carry out the newest order until there is no newer one."""
        while True:
            with self._lock:
                order = self._order
                done = order is None or self._is_loaded(order) or self._stopping.is_set()
                if done or self._held.swap_error is not None:
                    self._busy = False
                    return
            if order is not None:
                self._swap(order)

    def _swap(self, order: EngineOrder) -> None:
        started_s = time.monotonic()
        source, failure = self._fetch(order)
        if failure is None:
            failure = self._load(order)
        self._log.append(
            SwapEnded(
                standin=self._log.standin,
                model=order.model,
                weight_version=order.weight_version,
                source=source,
                error=failure.value if failure else None,
                duration_s=time.monotonic() - started_s,
            )
        )
        if failure is not SwapFailure.SUPERSEDED:
            self._swap_ended(order, failure)

    def _swap_ended(self, order: EngineOrder, failure: SwapFailure | None) -> None:
        with self._lock:
            held = self._held
            model, version = held.model, held.weight_version
            if failure is None:
                model, version = order.model, order.weight_version
            elif failure is SwapFailure.PARTWAY:
                version = None
            # The error belongs to this order: one that was accepted meanwhile starts clean.
            error = failure.value if failure and order is self._order else None
            self._held = Held(model, version, held.adapters, held.role, held.fence, error)

    def _superseded(self, order: EngineOrder) -> bool:
        with self._lock:
            newest = self._order
        # A newer fence for the same weights changes nothing about a swap in hand.
        return self._stopping.is_set() or newest is None or _target(newest) != _target(order)

    # --- fetching ---

    def _fetch(self, order: EngineOrder) -> tuple[str | None, SwapFailure | None]:
        if self.copy_of(order.model, order.weight_version) is not None:
            return None, None
        for _ in range(FETCH_ROUNDS):
            for source in order.sources:
                manifest = self._fetch_from(source, order)
                if manifest is not None:
                    self._keep_copy(manifest)
                    return source, None
                if self._superseded(order):
                    return None, SwapFailure.SUPERSEDED
            self._stopping.wait(ROUND_PAUSE_S)
        return None, SwapFailure.NO_SOURCE

    def _fetch_from(self, source: str, order: EngineOrder) -> WeightManifest | None:
        pool = ConnectionPool(source)
        try:
            path = f"/weights/{order.model}/{order.weight_version}"
            opened = pool.open(HttpCall("GET", path, FETCH_SILENCE_S), None)
            if not isinstance(opened, Success):
                return None
            answer = opened.unwrap()
            if answer.status != STATUS_OK:
                return None
            for line in answer.read_lines():
                answer.set_timeout(FETCH_SILENCE_S)
                if self._superseded(order):
                    return None
                manifest = msgspec.json.decode(line, type=FetchLine).manifest
                if manifest is not None and _is_whole(manifest, order):
                    return manifest
        except (OSError, http.client.HTTPException, ValueError):
            return None  # a source that fails is passed over for the next one
        finally:
            pool.close()
        return None

    def _keep_copy(self, manifest: WeightManifest) -> None:
        with self._lock:
            self._copies[manifest.model, manifest.version] = manifest
            while len(self._copies) > HELD_VERSIONS:
                del self._copies[next(iter(self._copies))]

    # --- loading ---

    def _load(self, order: EngineOrder) -> SwapFailure | None:
        """Put fetched weights in place; nothing is generated meanwhile.

        Generations in hand go on with the new version, their KV caches computed again.
        """
        if self._superseded(order):
            return SwapFailure.SUPERSEDED
        with self._lock:
            held = self._held
            self._held = Held(held.model, None, held.adapters, held.role, held.fence, None)
        self._set_weights(None)
        load_s = self._options.load_s / self._options.time_scale
        self._stopping.wait(load_s / 2)
        if self._load_fails():
            self._cut_all()
            return SwapFailure.PARTWAY
        self._stopping.wait(load_s / 2)
        self._set_weights(order.weight_version)
        return None


def _content(order: EngineOrder | None) -> tuple[object, ...] | None:
    """Return what an order asks for; its sources may differ between two owners."""
    if order is None:
        return None
    return order.fence, order.model, order.weight_version, order.adapters, order.role


def _target(order: EngineOrder) -> tuple[str, int]:
    """Return the weights that an order asks for."""
    return order.model, order.weight_version


def _is_whole(manifest: WeightManifest, order: EngineOrder) -> bool:
    wanted = _target(order)
    checksum = checksum_of(*wanted)
    return (manifest.model, manifest.version) == wanted and manifest.checksum == checksum


def first_manifest(model: str, version: int) -> WeightManifest:
    """Return the manifest of the version that an engine starts with."""
    return WeightManifest(model, version, DEFAULT_SIZE_BYTES, checksum_of(model, version))
