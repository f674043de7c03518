"""Steps the engine's batch in scaled time, on one task."""

import bisect
import itertools
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Protocol

from bellweir.clients.interface import ErrorKind
from bellweir_rehearsal.standins.base import RefusalError
from bellweir_rehearsal.standins.engine_batch import Batch, Plan, Sequence
from bellweir_rehearsal.standins.generation import (
    CANCELLED,
    CUT,
    EXPIRED,
    TAKEN_BACK,
    Ending,
    Generation,
)
from bellweir_rehearsal.standins.prefix_cache import PrefixCache

IDLE_WAIT_S = 0.1
EXPIRY_PERIOD_S = 0.02
MAXIMUM_DEBT_S = 0.25
"""Wall time that the scheduler may be late and still catch up."""


class GenerationListener(Protocol):
    """Told of what happens to generations, under the scheduler's lock: it must not call back."""

    def started(self, generation: Generation) -> None:
        """Note that a generation was accepted."""

    def ended(self, generation: Generation, ending: Ending) -> None:
        """Note that a generation ended."""


class EngineScheduler:
    """Runs generations; `submit`, `cancel` and the swap calls come from other threads."""

    def __init__(
        self, batch: Batch, cache: PrefixCache, time_scale: float, listener: GenerationListener
    ) -> None:
        self._batch = batch
        self._cache = cache
        self._time_scale = time_scale
        self._listener = listener
        self._condition = threading.Condition()
        self._generations: dict[Sequence, Generation] = {}
        self._by_attempt: dict[str, Generation] = {}
        self._weight_version: int | None = None
        self._weights_epoch = 0
        self._expired_at_s = 0.0
        self._slow_until_s = 0.0
        self._slow_factor = 1.0
        self._stalled_until_s = 0.0
        self._stopping = False
        self._changed = False
        self._due_s = time.monotonic()
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="standin-engine")
        self._loop: Future[None] | None = None

    def start(self) -> None:
        """Begin to step."""
        self._loop = self._pool.submit(self._run)

    def stop(self) -> None:
        """End the task and cut every generation."""
        with self._condition:
            self._stopping = True
            self._wake()
        if self._loop is not None:
            self._loop.result()
        self.cut_all()
        self._pool.shutdown()

    # --- called by request threads ---

    def submit(self, generation: Generation) -> None:
        """Add a generation; raises `RefusalError` when it may not run."""
        call = generation.call
        with self._condition:
            if call.attempt_id in self._by_attempt:
                raise RefusalError(ErrorKind.INVALID, f"attempt {call.attempt_id} runs already")
            if self._weight_version is None or (call.minimum_version or 0) > self._weight_version:
                # Checked again under the lock: a swap may have begun since the first look.
                raise RefusalError(ErrorKind.NOT_RUN, "the weights have changed")
            self._listener.started(generation)
            self._by_attempt[call.attempt_id] = generation
            self._generations[generation.sequence] = generation
            self._batch.add(generation.sequence)
            self._wake()

    def cancel(self, attempt_id: str) -> bool:
        """Cancel a generation; false when there is none of that id."""
        with self._condition:
            found = self._by_attempt.get(attempt_id)
            if found is not None:
                self._finish(found, CANCELLED)
                self._wake()
        return found is not None

    def cut_all(self) -> None:
        """End every generation without a finish reason, as a crash would."""
        with self._condition:
            for generation in list(self._generations.values()):
                self._finish(generation, CUT)
            self._wake()

    def set_weights(self, version: int | None) -> None:
        """Pause (None), or go on with a version; a new one makes KV caches useless."""
        with self._condition:
            self._weight_version = version
            self._weights_epoch += 1
            if version is not None:
                self._cache.clear()
                self._batch.recompute_all()
                self._refuse_newer_than(version)
            self._wake()

    def _refuse_newer_than(self, version: int) -> None:
        """End what asked for a newer version than an order has taken the engine back to."""
        for generation in list(self._generations.values()):
            if (generation.call.minimum_version or 0) > version:
                self._finish(generation, TAKEN_BACK)

    def cancel_generation(self, generation: Generation) -> None:
        """Cancel this very generation; does nothing once it has ended."""
        with self._condition:
            if generation.sequence in self._generations:
                self._finish(generation, CANCELLED)
                self._wake()

    def stall_until(self, end_s: float) -> None:
        """Generate nothing until a moment of the monotonic clock, without telling anybody."""
        with self._condition:
            self._stalled_until_s = end_s
            self._wake()

    def slow_until(self, end_s: float, factor: float) -> None:
        """Take `factor` times as long for each step until a moment of the monotonic clock."""
        with self._condition:
            self._slow_until_s, self._slow_factor = end_s, factor

    def load(self) -> tuple[int, int]:
        """Return the numbers of running and waiting sequences."""
        with self._condition:
            return len(self._batch.running), self._batch.waiting_count

    def sequence_of(self, attempt_id: str) -> Sequence | None:
        """Return the sequence of an attempt that runs or waits."""
        with self._condition:
            found = self._by_attempt.get(attempt_id)
            return found.sequence if found is not None else None

    def is_idle(self) -> bool:
        """Whether nothing runs or waits."""
        return self.load() == (0, 0)

    # --- the task ---

    def _run(self) -> None:
        while True:
            with self._condition:
                plan = self._next_plan()
                epoch = self._weights_epoch
            if plan is None:
                return
            steps = self._pass_time(plan)
            with self._condition:
                self._deliver(plan, epoch, steps)

    def _next_plan(self) -> Plan | None:
        """Wait for work and plan it; None when stopping. Called with the lock held."""
        while not self._stopping:
            plan = self._plan_now()
            if plan is not None:
                return plan
            # Whatever makes work sets `_changed` and wakes this task; the time-out only ends
            # deadlines of attempts that wait while nothing can run.
            self._condition.wait(IDLE_WAIT_S)
            self._due_s = time.monotonic()
        return None

    def _plan_now(self) -> Plan | None:
        self._expire()
        stalled = time.monotonic() < self._stalled_until_s
        if stalled or self._weight_version is None:
            return None
        for sequence in self._batch.fill():
            self._admit(self._generations[sequence])
        self._changed = False
        return self._batch.plan()

    def _admit(self, generation: Generation) -> None:
        """Look up the prefix cache; at least one token is always computed."""
        sequence = generation.sequence
        cached = min(self._cache.match(generation.hashes), sequence.context - 1)
        sequence.prefill_left = sequence.context - cached
        if not sequence.preemptions:
            generation.cached_prompt_tokens = cached

    def _expire(self) -> None:
        """End what is past its deadline; looked at now and then only, since it reads them all."""
        now_s = time.monotonic()
        if now_s - self._expired_at_s < EXPIRY_PERIOD_S:
            return
        self._expired_at_s = now_s
        for generation in list(self._generations.values()):
            if generation.expired:
                started = bool(generation.versions)
                self._finish(generation, CANCELLED if started else EXPIRED)

    def _pass_time(self, plan: Plan) -> int:
        """Let the plan's time pass; return the steps to commit.

        An arrival or a cancellation ends the plan with the step in which it came.
        """
        now_s = time.monotonic()
        if now_s - self._due_s > MAXIMUM_DEBT_S:
            self._due_s = now_s
        pace = self._time_scale
        if now_s < self._slow_until_s:
            pace /= self._slow_factor
        scaled = (duration_s / pace for duration_s in plan.durations_s)
        ends_s = list(itertools.accumulate(scaled, initial=self._due_s))[1:]
        steps = plan.steps
        with self._condition:
            self._condition.wait_for(lambda: self._changed, ends_s[-1] - now_s)
            if self._changed:
                steps = min(steps, bisect.bisect_right(ends_s, time.monotonic()) + 1)
        self._due_s = ends_s[steps - 1]
        time.sleep(max(0.0, self._due_s - time.monotonic()))
        return steps

    def _deliver(self, plan: Plan, epoch: int, steps: int) -> None:
        version = self._weight_version
        if version is None or epoch != self._weights_epoch:
            return  # the weights were changed within the step: its tokens are lost
        produced = self._batch.commit(plan, steps)
        for sequence, _ in plan.prefilled:
            if not sequence.prefill_left and sequence in self._generations:
                self._cache.store(self._generations[sequence].hashes)
        for sequence, count in produced:
            generation = self._generations.get(sequence)
            if generation is None:
                continue  # cancelled within the step
            generation.produce(sequence.produced - count, sequence.produced, version)
            if sequence.produced >= sequence.final:
                self._finish(generation, Ending(reason=generation.finish_reason))

    def _finish(self, generation: Generation, ending: Ending) -> None:
        self._batch.remove(generation.sequence)
        self._generations.pop(generation.sequence, None)
        self._by_attempt.pop(generation.call.attempt_id, None)
        if generation.end(ending):
            self._listener.ended(generation, ending)

    def _wake(self) -> None:
        self._changed = True
        self._condition.notify_all()
