"""Continuous batching as a model without threads or clocks: which sequences run, and for how long.

The scheduler asks for a plan of the next steps, lets the time pass, and commits as many steps as
have ended. Between two plans the batch does not change.
"""

import heapq
import itertools
from dataclasses import dataclass, field

from bellweir_rehearsal.standins.engine_options import TokenTimes


@dataclass(eq=False)
class Sequence:
    """One attempt as the batch sees it; lengths in tokens."""

    attempt_id: str
    priority: int
    prompt_tokens: int
    produced: int
    """Tokens had so far, those of earlier attempts included."""
    final: int
    """Tokens at which it ends."""
    prefill_left: int = 0
    """Tokens whose keys and values must be computed before the next token."""
    arrival: int = 0
    preemptions: int = 0

    @property
    def context(self) -> int:
        """Tokens in the KV cache once prefill has ended."""
        return self.prompt_tokens + self.produced

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: lower runs first."""
        return self.priority, self.arrival


@dataclass(frozen=True)
class Plan:
    """The next steps of the batch."""

    steps: int
    prefilled: tuple[tuple[Sequence, int], ...]
    """Sequences and tokens prefilled by the first step; a plan with any has one step."""
    decoding: tuple[Sequence, ...]
    """Sequences that get a token in each step."""
    durations_s: tuple[float, ...]
    """Model time of each step."""


@dataclass(frozen=True)
class BatchLimits:
    """Bounds of the batch."""

    maximum_batch: int
    prefill_chunk_tokens: int
    steps_at_once: int
    """Steps of pure decoding that one plan may hold."""


@dataclass
class Batch:
    """The running and the waiting sequences."""

    times: TokenTimes
    limits: BatchLimits
    running: list[Sequence] = field(default_factory=list)
    _waiting: list[tuple[tuple[int, int], Sequence]] = field(default_factory=list)
    _arrivals: "itertools.count[int]" = field(default_factory=itertools.count)

    @property
    def waiting_count(self) -> int:
        """Sequences that wait for a place."""
        return len(self._waiting)

    def add(self, sequence: Sequence) -> None:
        """Let a sequence wait for a place."""
        sequence.arrival = next(self._arrivals)
        heapq.heappush(self._waiting, (sequence.order, sequence))

    def remove(self, sequence: Sequence) -> None:
        """Take a sequence out, wherever it is."""
        if sequence in self.running:
            self.running.remove(sequence)
            return
        kept = [entry for entry in self._waiting if entry[1] is not sequence]
        if len(kept) != len(self._waiting):
            self._waiting = kept
            heapq.heapify(self._waiting)

    def fill(self) -> list[Sequence]:
        """Give free places to those who wait, taking places from lower priorities.

        Returns the sequences that were given a place. A preempted sequence loses its KV cache:
        prompt and tokens are prefilled again when it gets a place.
        """
        admitted: list[Sequence] = []
        while self._waiting:
            best = self._waiting[0][1]
            if len(self.running) >= self.limits.maximum_batch:
                worst = max(self.running, key=lambda sequence: sequence.order)
                if worst.priority <= best.priority:
                    break
                self._preempt(worst)
            heapq.heappop(self._waiting)
            self.running.append(best)
            admitted.append(best)
        return admitted

    def _preempt(self, sequence: Sequence) -> None:
        self.running.remove(sequence)
        sequence.preemptions += 1
        sequence.prefill_left = sequence.context
        heapq.heappush(self._waiting, (sequence.order, sequence))

    def plan(self) -> Plan | None:
        """Return the next steps, or None when nothing runs."""
        if not self.running:
            return None
        decoding = tuple(found for found in self.running if not found.prefill_left)
        prefilled = self._prefill()
        context = sum(found.context for found in decoding)
        if prefilled:
            tokens = sum(count for _, count in prefilled)
            return Plan(1, prefilled, decoding, (self._step_s(len(decoding), tokens, context),))
        left = min(found.final - found.produced for found in decoding)
        steps = max(1, min(left, self.limits.steps_at_once))
        size = len(decoding)
        durations_s = tuple(self._step_s(size, 0, context + n * size) for n in range(steps))
        return Plan(steps, (), decoding, durations_s)

    def _prefill(self) -> tuple[tuple[Sequence, int], ...]:
        budget = self.limits.prefill_chunk_tokens
        chosen = []
        waiting = (found for found in self.running if found.prefill_left)
        for sequence in sorted(waiting, key=lambda found: found.order):
            count = min(budget, sequence.prefill_left)
            if count:
                chosen.append((sequence, count))
                budget -= count
        return tuple(chosen)

    def _step_s(self, decoding: int, prefilled: int, context: int) -> float:
        times = self.times
        return (
            times.step_s + (decoding + prefilled) * times.token_s + context * times.context_token_s
        )

    def commit(self, plan: Plan, steps: int) -> list[tuple[Sequence, int]]:
        """Apply the first `steps` steps of a plan; return the new tokens of each sequence.

        The step that ends a sequence's prefill also gives it its first token.
        """
        produced = []
        for sequence in plan.decoding:
            count = min(steps, sequence.final - sequence.produced)
            sequence.produced += count
            produced.append((sequence, count))
        for sequence, count in plan.prefilled:
            sequence.prefill_left -= count
            if not sequence.prefill_left:
                sequence.produced += 1
                produced.append((sequence, 1))
        self.running = [found for found in self.running if found.produced < found.final]
        return produced

    def recompute_all(self) -> None:
        """Drop every KV cache: after new weights all running sequences are prefilled again."""
        for sequence in self.running:
            sequence.prefill_left = sequence.context
