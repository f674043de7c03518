"""Sends an open-loop load: each request when it is due, answered or not the ones before it."""

import random
import threading
import time
import uuid
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial

from bellweir_rehearsal.callers.caller import Caller
from bellweir_rehearsal.callers.wishes import ApplicationWish, CompletionWish
from bellweir_rehearsal.load.lengths import LengthModel
from bellweir_rehearsal.load.mix import Load, TrafficClass
from bellweir_rehearsal.load.prompts import PromptSource
from bellweir_rehearsal.load.schedule import Arrival, merged_arrivals
from bellweir_rehearsal.load.statistics import ClassStatistics, ClassSummary

RACING_SHARE = 0.15
"""Share of the requests not to be repeated that two callers send at once, with the same key."""

ProgressListener = Callable[[int], None]
"""Called with the number of requests ended so far."""


class LoadGenerator:
    """Runs the traffic of a `Load` once."""

    def __init__(self, load: Load, callers: Sequence[Caller], seed: int) -> None:
        self._load = load
        self._callers = callers
        self._random = random.Random(seed)
        self._seed = seed
        self._prompts = PromptSource(seed)
        self._room = threading.BoundedSemaphore(load.maximum_in_flight)
        self._statistics = [ClassStatistics(entry.name) for entry in load.traffic]
        # Of two racing calls one waits for the other's outcome: their times are kept apart.
        self._raced = [ClassStatistics(f"{entry.name}, raced") for entry in load.traffic]
        self._ended = 0
        self._first_failure: BaseException | None = None
        self._lock = threading.Lock()

    def run(
        self,
        duration_s: float,
        stop: threading.Event,
        on_progress: ProgressListener | None = None,
    ) -> None:
        """Send everything that is due within `duration_s`, then wait for the answers.

        When more requests than `maximum_in_flight` are open, the next ones are sent late; their
        latencies count from when they were due. Raises the first failure of a caller's code.
        """
        began_wall_s, began = time.time(), time.monotonic()
        with ThreadPoolExecutor(self._load.maximum_in_flight, "load") as pool:
            for count, arrival in enumerate(
                merged_arrivals(self._load.traffic, duration_s, self._seed)
            ):
                if count >= self._load.maximum_requests:
                    break
                if stop.wait(max(0.0, began + arrival.at_s - time.monotonic())):
                    break
                for call in self._prepare(arrival, began_wall_s + arrival.at_s):
                    self._room.acquire()
                    pool.submit(call).add_done_callback(self._finished)
                self._report(on_progress)
        self._report(on_progress)
        if self._first_failure is not None:
            raise self._first_failure

    def summaries(self) -> tuple[ClassSummary, ...]:
        """What became of the requests, by traffic class."""
        summaries = [entry.summary() for entry in (*self._statistics, *self._raced)]
        return tuple(summary for summary in summaries if summary.requested)

    def _report(self, on_progress: ProgressListener | None) -> None:
        if on_progress is not None:
            on_progress(self._ended)

    def _finished(self, future: "Future[None]") -> None:
        self._room.release()
        with self._lock:
            self._ended += 1
            self._first_failure = self._first_failure or future.exception()

    def _prepare(self, arrival: Arrival, scheduled_s: float) -> list[Callable[[], None]]:
        """The calls of one arrival: one, or two racing ones with the same key."""
        entry = self._load.traffic[arrival.class_index]
        if entry.kind == "completion":
            return [self._completion(entry, arrival, scheduled_s)]
        wish = self._application_wish(entry, scheduled_s)
        callers = [self._random.choice(self._callers)]
        if wish.idempotency_key is not None and self._random.random() < RACING_SHARE:
            callers.append(self._random.choice(self._callers))
        statistics = self._statistics[arrival.class_index]
        if len(callers) > 1:
            statistics = self._raced[arrival.class_index]
        return [partial(_request, caller, wish, statistics) for caller in callers]

    def _completion(
        self, entry: TrafficClass, arrival: Arrival, scheduled_s: float
    ) -> Callable[[], None]:
        wish = CompletionWish(
            policy=entry.target,
            prompt=self._prompts.prompt(f"{entry.name}/{self._seed}/{arrival.number}"),
            max_tokens=LengthModel(entry.median_tokens).draw(self._random),
            request_class=entry.request_class,
            streamed=self._random.random() < entry.streamed_share,
            deadline_ms=entry.deadline_ms,
            scheduled_s=scheduled_s,
        )
        caller = self._random.choice(self._callers)
        return partial(_complete, caller, wish, self._statistics[arrival.class_index])

    def _application_wish(self, entry: TrafficClass, scheduled_s: float) -> ApplicationWish:
        once = entry.request_class == "once"
        return ApplicationWish(
            pool=entry.target,
            # Unique, so that a worker's log tells which request was run.
            path=f"{entry.path}?wish={uuid.uuid4().hex}",
            method=entry.method,
            body=self._random.randbytes(entry.body_bytes) if entry.method == "POST" else b"",
            request_class=entry.request_class,
            idempotency_key=f"{entry.name}-{uuid.uuid4().hex}" if once else None,
            deadline_ms=entry.deadline_ms,
            scheduled_s=scheduled_s,
        )


def _complete(caller: Caller, wish: CompletionWish, statistics: ClassStatistics) -> None:
    statistics.record(wish.scheduled_s, caller.complete(wish))


def _request(caller: Caller, wish: ApplicationWish, statistics: ClassStatistics) -> None:
    statistics.record(wish.scheduled_s, caller.request(wish))
