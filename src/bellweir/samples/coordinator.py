"""Keeps the steps going whose ledger shard this node leads.

Each round reads the steps from the local replica, so that a node that becomes leader goes on with
whatever is unfilled. A former leader that does not know it yet only wastes work: a slot is filled
by its first commit in the ledger.
"""

import threading
from dataclasses import dataclass

from returns.result import Success

from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.ledger.interface import Ledger
from bellweir.routing.interface import Refusal
from bellweir.samples.attempts import Assignment, AttemptProgress, new_attempt_id
from bellweir.samples.bulk import BulkStore
from bellweir.samples.interface import StepDeclaration
from bellweir.samples.log_events import ROUND_FAILED
from bellweir.samples.machine import StepMachine
from bellweir.samples.messages import ObserveStep
from bellweir.samples.publications import PublicationClock
from bellweir.samples.records import StepRecord
from bellweir.samples.runner import AttemptRunner
from bellweir.samples.staleness import oldest_admissible

LEDGER_TIMEOUT_S = 5.0
ROUND_PERIOD_S = 0.1
SHORTEST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 5.0


@dataclass
class _Backoff:
    """Failed attempts of a slot in a row, and when the next one may start."""

    failures: int
    not_before_s: float


class StepCoordinator:
    """Assigns unfilled slots to attempts, round by round."""

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: Ledger,
        publications: PublicationClock,
        bulk: BulkStore,
        shard_keys: tuple[str, ...],
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._publications = publications
        self._bulk = bulk
        self._shard_keys = shard_keys
        self._runner: AttemptRunner | None = None
        self._wake = threading.Event()
        self._lock = threading.Lock()
        self._backoffs: dict[tuple[str, int], _Backoff] = {}
        self._declarations: dict[str, StepDeclaration] = {}

    def use(self, runner: AttemptRunner) -> None:
        """Set the runner that attempts are given to."""
        self._runner = runner

    def wake(self) -> None:
        """Start the next round at once."""
        self._wake.set()

    def attempt_finished(self, assignment: Assignment, refusal: Refusal | None) -> None:
        """Note how an attempt ended, so that a failing slot is not tried in a tight loop."""
        key = (assignment.step_id, assignment.slot)
        with self._lock:
            if refusal is None:
                self._backoffs.pop(key, None)
            else:
                self._backoffs[key] = self._next_backoff(self._backoffs.get(key), refusal)
        self.wake()

    def _next_backoff(self, last: _Backoff | None, refusal: Refusal) -> _Backoff:
        failures = last.failures + 1 if last is not None else 1
        pause_s = min(LONGEST_PAUSE_S, SHORTEST_PAUSE_S * 2 ** min(failures - 1, 10))
        pause_s = max(pause_s, refusal.retry_after_s or 0.0)
        return _Backoff(failures, self._clock.monotonic_s() + pause_s)

    def run(self, stopping: threading.Event) -> None:
        """Go round until the node stops."""
        while not stopping.is_set():
            self._wake.clear()
            try:
                self.go_round()
            except Exception as failure:
                emit(ROUND_FAILED, error=repr(failure))
            self._clock.wait(self._wake, ROUND_PERIOD_S)

    def led_steps(self) -> tuple[StepRecord, ...]:
        """Running steps of the shards that this node leads."""
        steps: list[StepRecord] = []
        for key in self._shard_keys:
            machine = self._ledger.local_machine(key, StepMachine)
            if isinstance(machine, StepMachine) and self._ledger.leads(key):
                steps.extend(machine.running_steps())
        return tuple(steps)

    def go_round(self) -> None:
        """Look at every led step once."""
        if self._runner is None:
            return
        steps = self.led_steps()
        by_step: dict[str, list[AttemptProgress]] = {}
        for progress in self._runner.attempts():
            by_step.setdefault(progress.assignment.step_id, []).append(progress)
        for step in steps:
            self._observe(step)
            attempts = by_step.get(step.terms.step_id, [])
            self._cancel_losers(step, attempts)
            self._assign(step, attempts)
        self._forget_all_but(steps, by_step)

    def _observe(self, step: StepRecord) -> None:
        """Tell the ledger of versions and of time, when that changes something."""
        observation = self._publications.observation(step.terms.policy)
        known = {publication.version for publication in step.publications}
        has_news = any(entry.version not in known for entry in observation.publications)
        is_due = step.ends_at_s is not None and observation.now_s >= step.ends_at_s
        if has_news or is_due:
            command = ObserveStep(step.terms.step_id, observation)
            self._ledger.submit(step.terms.step_id, command, LEDGER_TIMEOUT_S)

    def _cancel_losers(self, step: StepRecord, attempts: list[AttemptProgress]) -> None:
        for progress in attempts:
            slot = step.slots[progress.assignment.slot]
            if slot.sample is None or progress.is_committing:
                continue
            if slot.sample.attempt_id != progress.assignment.replaces_attempt:
                self._runner_cancel(progress.assignment.attempt_id)

    def _runner_cancel(self, attempt_id: str) -> None:
        if self._runner is not None:
            self._runner.cancel(attempt_id)

    def _assign(self, step: StepRecord, attempts: list[AttemptProgress]) -> None:
        taken = {progress.assignment.slot for progress in attempts}
        waiting = [
            number
            for number, slot in enumerate(step.slots)
            if slot.sample is None and number not in taken and self._may_start(step, number)
        ]
        declaration = self._declaration(step) if waiting else None
        if declaration is None or self._runner is None:
            return
        for number in waiting:
            if not self._runner.start(self._assignment(step, declaration, number)):
                return

    def _may_start(self, step: StepRecord, slot: int) -> bool:
        with self._lock:
            backoff = self._backoffs.get((step.terms.step_id, slot))
        return backoff is None or self._clock.monotonic_s() >= backoff.not_before_s

    def _declaration(self, step: StepRecord) -> StepDeclaration | None:
        step_id = step.terms.step_id
        known = self._declarations.get(step_id)
        if known is not None:
            return known
        read = self._bulk.get(step_id, step.terms.declaration, StepDeclaration, LEDGER_TIMEOUT_S)
        if not isinstance(read, Success):
            return None
        declaration: StepDeclaration = read.unwrap()
        self._declarations[step_id] = declaration
        return declaration

    def _assignment(self, step: StepRecord, declaration: StepDeclaration, slot: int) -> Assignment:
        terms = step.terms
        publications = self._publications.of_policy(terms.policy)
        return Assignment(
            step_id=terms.step_id,
            slot=slot,
            attempt_id=new_attempt_id(),
            policy=terms.policy,
            prompt=declaration.prompts[slot // terms.samples_per_prompt],
            max_tokens=terms.max_tokens,
            minimum_version=oldest_admissible(step.bound, publications, self._clock.wall_s()),
            staleness_bound_versions=terms.staleness_bound_versions,
            staleness_bound_s=terms.staleness_bound_s,
            ends_at_s=step.ends_at_s,
            scorer=terms.scorer,
        )

    def _forget_all_but(
        self, steps: tuple[StepRecord, ...], by_step: dict[str, list[AttemptProgress]]
    ) -> None:
        """Drop what is kept for steps that ended or moved, and cancel their attempts."""
        kept = {step.terms.step_id for step in steps}
        for step_id in [known for known in self._declarations if known not in kept]:
            del self._declarations[step_id]
        with self._lock:
            for key in [key for key in self._backoffs if key[0] not in kept]:
                del self._backoffs[key]
        for step_id, attempts in by_step.items():
            if step_id in kept:
                continue
            for progress in attempts:
                if not progress.is_committing:
                    self._runner_cancel(progress.assignment.attempt_id)
