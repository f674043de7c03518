"""Stand-in for a model engine: its HTTP side. Batching, cache and swaps have their own modules."""

import threading
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
from waitress.channel import ClientDisconnected

from bellweir.clients.engine import Cancellation, CancellationAnswer, StreamLine
from bellweir.clients.interface import (
    EngineOrder,
    EngineRole,
    EngineState,
    ErrorKind,
    GenerationCall,
    TokenChunk,
)
from bellweir_rehearsal.standins.base import (
    LINES_TYPE,
    RefusalError,
    Request,
    Response,
    Standin,
    StreamBody,
    json_response,
    line,
)
from bellweir_rehearsal.standins.engine_batch import Batch, BatchLimits, Sequence
from bellweir_rehearsal.standins.engine_journal import EngineJournal
from bellweir_rehearsal.standins.engine_options import EngineOptions
from bellweir_rehearsal.standins.engine_scheduler import EngineScheduler
from bellweir_rehearsal.standins.engine_weights import EngineWeights
from bellweir_rehearsal.standins.faults import FaultKind, FaultOrder
from bellweir_rehearsal.standins.generation import Ending, Generation
from bellweir_rehearsal.standins.kv_transfer import KvCacheCopy, KvExportCall, KvTransfer
from bellweir_rehearsal.standins.prefix_cache import CacheEventLog, PrefixCache, block_hashes
from bellweir_rehearsal.standins.token_model import (
    VOCABULARY,
    natural_length,
    prompt_token_count,
    tokens_between,
)
from bellweir_rehearsal.standins.weight_store import SharedBandwidth, WeightTransfer

DRAFT_PRIORITY = 10
"""Calls of this priority or a higher number are drafts."""


@dataclass(frozen=True)
class _Load:
    time_s: float
    running: int
    waiting: int
    cache_used_tokens: int


class EngineStandin(Standin):
    """One engine."""

    def __init__(self, options: EngineOptions) -> None:
        super().__init__(options)
        self.options = options
        self.journal = EngineJournal(options.name, self.log)
        events = CacheEventLog(
            options.event_lag_s, options.event_gap_probability, options.kept_events, options.name
        )
        self.cache = PrefixCache(options.cache_capacity_tokens, events)
        limits = BatchLimits(
            options.maximum_batch, options.prefill_chunk_tokens, options.frame_tokens
        )
        self.scheduler = EngineScheduler(
            Batch(options.times, limits), self.cache, options.time_scale, self.journal
        )
        self.weights = EngineWeights(
            options, self.log, self.scheduler.set_weights, self._load_fails, self.scheduler.cut_all
        )
        self.scheduler.set_weights(options.initial_version)
        self._relay = SharedBandwidth(options.relay_bytes_per_s * options.time_scale)
        self.kv = KvTransfer(self.cache, self._relay, self.stopping)
        self._leaving = False
        self._lock = threading.Lock()
        self._loads: deque[_Load] = deque([_Load(time.monotonic(), 0, 0, 0)], maxlen=512)

    def start(self) -> None:
        """Begin to serve."""
        self.scheduler.start()
        super().start()

    def stop(self) -> None:
        """Cut everything in hand."""
        self.stopping.set()
        self.weights.stop()
        self.scheduler.stop()
        super().stop()

    def inject(self, order: FaultOrder) -> None:
        """Put a fault in force; cutting streams happens at once."""
        if order.kind is FaultKind.CUT_STREAMS:
            self.scheduler.cut_all()
        else:
            super().inject(order)
        if order.kind is FaultKind.SLOW_TOKENS:
            self.scheduler.slow_until(time.monotonic() + order.duration_s, order.factor)
        if order.kind is FaultKind.STALL or _hangs_whole(order):
            self.scheduler.stall_until(time.monotonic() + order.duration_s)

    def clear_faults(self) -> None:
        """End all faults."""
        super().clear_faults()
        self.scheduler.slow_until(0.0, 1.0)
        self.scheduler.stall_until(0.0)

    def set_leaving(self, *, leaving: bool) -> None:
        """Refuse new attempts, or take them again; those in hand go on."""
        self._leaving = leaving
        self.journal.leaving(leaving=leaving)

    def handle(self, request: Request) -> Response:
        """Answer one call."""
        match request.method, request.path.strip("/").split("/"):
            case "POST", ["generate"]:
                return self._generate(request)
            case "POST", ["cancel"]:
                named = msgspec.json.decode(request.body.read(), type=Cancellation)
                return json_response(CancellationAnswer(self.scheduler.cancel(named.attempt_id)))
            case "GET", ["state"]:
                return json_response(self._state())
            case "GET", ["cache-events"]:
                after = int(request.query("after", "0") or 0)
                return json_response(self.cache.events_after(after))
            case "POST", ["order"]:
                self.weights.accept(msgspec.json.decode(request.body.read(), type=EngineOrder))
                return json_response(self._state())
            case "GET", ["weights", model, version]:
                return self._give_weights(model, int(version))
            case "POST", ["kv", "export"]:
                wanted = msgspec.json.decode(request.body.read(), type=KvExportCall)
                return json_response(self.kv.export(wanted, self.weights.held()))
            case "POST", ["kv", "import"]:
                copy = msgspec.json.decode(request.body.read(), type=KvCacheCopy)
                return json_response(self.kv.take_in(copy, self.weights.held()))
            case "POST", ["leave" | "return" as word]:
                self.set_leaving(leaving=word == "leave")
                return json_response(self._state())
        raise RefusalError(ErrorKind.INVALID, f"no {request.method} {request.path}")

    # --- generation ---

    def _generate(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body.read(), type=GenerationCall)
        generation = self._new_generation(call)
        try:
            self._check(call)
            self._begin(generation)
        except RefusalError as refused:
            self.journal.refused(call, refused.kind.value)
            raise
        lines = self._stream(generation, request)
        body = StreamBody(lines, lambda: self._stream_closed(generation))
        return Response(200, body, (LINES_TYPE,))

    def _begin(self, generation: Generation) -> None:
        if generation.sequence.produced < generation.sequence.final:
            self.scheduler.submit(generation)
            return
        ending = Ending(reason=generation.finish_reason)
        self.journal.started(generation)
        generation.end(ending)
        self.journal.ended(generation, ending)

    def _check(self, call: GenerationCall) -> None:
        held = self.weights.held()
        if self._leaving:
            raise RefusalError(ErrorKind.LEAVING, "the engine is leaving")
        if call.model != held.model:
            raise RefusalError(ErrorKind.NOT_RUN, f"model {call.model} is not loaded")
        if held.weight_version is None:
            retry_after_s = self.options.load_s / self.options.time_scale
            raise RefusalError(ErrorKind.NOT_RUN, "no weights are loaded", retry_after_s)
        if call.minimum_version is not None and call.minimum_version > held.weight_version:
            raise RefusalError(ErrorKind.NOT_RUN, f"holds version {held.weight_version}")
        if call.deadline_s is not None and call.deadline_s <= 0:
            raise RefusalError(ErrorKind.NOT_RUN, "deadline passed")
        if not _serves(held.role, call.priority):
            raise RefusalError(ErrorKind.NOT_RUN, f"role {held.role.value} serves no such call")
        if self.scheduler.load()[1] >= self.options.maximum_waiting:
            raise RefusalError(ErrorKind.OVERLOADED, "too many attempts wait", 0.5)

    def _new_generation(self, call: GenerationCall) -> Generation:
        natural = self._natural_length(call)
        sequence = Sequence(
            call.attempt_id,
            call.priority,
            max(1, prompt_token_count(call.prompt)),
            len(call.prefix_tokens),
            min(call.max_tokens, natural),
        )
        generation = Generation(call, sequence, natural <= call.max_tokens)
        generation.hashes = block_hashes(call.prompt)
        return generation

    def _natural_length(self, call: GenerationCall) -> int:
        longest = call.max_tokens + 1
        if self.options.median_tokens is not None:
            longest = natural_length(call.prompt, call.seed, self.options.median_tokens)
        if call.stop:
            tokens = tokens_between(call.prompt, call.seed, 0, min(longest, call.max_tokens))
            for position, token in enumerate(tokens):
                if any(word in f" {VOCABULARY[token]}" for word in call.stop):
                    return position + 1
        return longest

    def _stream(self, generation: Generation, request: Request) -> Iterator[bytes]:
        sent = len(generation.call.prefix_tokens)
        while True:
            chunks, ending = generation.take()
            if self.stopping.is_set() or request.client_gone():
                raise ClientDisconnected
            self.faults.wait_while(FaultKind.HANG)
            for chunk in chunks:
                self.journal.produced(generation, sent, chunk)
                sent += len(chunk.tokens)
                yield line(StreamLine(chunk=chunk))
            if ending is not None:
                if not _is_finished(chunks):
                    yield self._last_line(generation, ending)
                return
            if not chunks:
                yield line(StreamLine())

    def _last_line(self, generation: Generation, ending: Ending) -> bytes:
        if ending.error is not None:
            return line(StreamLine(error=ending.error))
        if ending.reason is None:
            raise ClientDisconnected  # cut: the connection closes without an end marker
        version = generation.versions[-1] if generation.versions else self._version()
        return line(StreamLine(chunk=TokenChunk((), "", version, ending.reason)))

    def _version(self) -> int:
        return self.weights.held().weight_version or 0

    def _stream_closed(self, generation: Generation) -> None:
        """Cancel what its client has left; after its end this does nothing."""
        self.scheduler.cancel_generation(generation)

    # --- reports ---

    def _state(self) -> EngineState:
        held = self.weights.held()
        load = self._lagging_load()
        return EngineState(
            engine=self.name,
            ready=held.weight_version is not None and not self._leaving,
            leaving=self._leaving,
            model=held.model,
            weight_version=held.weight_version,
            adapters=held.adapters,
            role=held.role,
            order_fence=held.fence,
            running=load.running,
            waiting=load.waiting,
            cache_used_tokens=load.cache_used_tokens,
            cache_capacity_tokens=self.cache.use().capacity_tokens,
            maximum_batch=self.options.maximum_batch,
            swap_error=held.swap_error,
        )

    def _lagging_load(self) -> _Load:
        """Return the load as it was `report_lag_s` ago, as far as reports were asked for then."""
        now_s = time.monotonic()
        running, waiting = self.scheduler.load()
        latest_s = now_s - self.options.report_lag_s
        with self._lock:
            self._loads.append(_Load(now_s, running, waiting, self.cache.use().used_tokens))
            while len(self._loads) > 1 and self._loads[1].time_s <= latest_s:
                self._loads.popleft()
            return self._loads[0]

    # --- weights ---

    def _load_fails(self) -> bool:
        return self.faults.take(FaultKind.SWAP_FAILS) is not None

    def _give_weights(self, model: str, version: int) -> Response:
        manifest = self.weights.copy_of(model, version)
        if manifest is None:
            raise RefusalError(ErrorKind.NOT_FOUND, f"no copy of version {version} of {model}")
        transfer = WeightTransfer(manifest, self._relay, self.stopping)
        return Response(200, StreamBody(transfer.lines(), lambda: None), (LINES_TYPE,))


def _hangs_whole(order: FaultOrder) -> bool:
    """Whether the whole engine hangs, its batch included, and not only some calls."""
    return order.kind is FaultKind.HANG and not order.path_prefix and order.method is None


def _is_finished(chunks: list[TokenChunk]) -> bool:
    return bool(chunks) and chunks[-1].finish_reason is not None


def _serves(role: EngineRole, priority: int) -> bool:
    if role is EngineRole.INTERACTIVE:
        return priority < DRAFT_PRIORITY
    if role is EngineRole.DRAFT:
        return priority >= DRAFT_PRIORITY
    return True
