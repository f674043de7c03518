"""Keeps the steps going whose ledger shard this node leads.

Each round reads the steps from the local replica, so that a node that becomes leader goes on with
whatever is unfilled. A former leader that does not know it yet only wastes work: a slot is filled
by its first commit in the ledger.
"""

import math
import threading
from collections import deque

from returns.result import Success

from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.ledger.interface import Ledger
from bellweir.samples.assigning import AttemptAssigner
from bellweir.samples.attempt_table import AttemptTable, KnownAttempt
from bellweir.samples.attempts import (
    Assignment,
    AttemptEnd,
    Partial,
    new_attempt_id,
    seed_of,
)
from bellweir.samples.backoffs import SlotBackoffs
from bellweir.samples.bulk import BulkStore
from bellweir.samples.estimates import LengthEstimator
from bellweir.samples.interface import StepDeclaration
from bellweir.samples.led_steps import LedSteps
from bellweir.samples.log_events import ROUND_FAILED
from bellweir.samples.messages import ForgetStep, ObserveStep
from bellweir.samples.publications import PublicationClock
from bellweir.samples.records import StepRecord
from bellweir.samples.rescoring import Rescorer
from bellweir.samples.staleness import (
    is_fresh,
    newest_version,
    oldest_admissible,
    oldest_version,
)
from bellweir.samples.step_view import StepMemory, StepView, observe_lengths, view_of
from bellweir.samples.tail import (
    WaitingSlot,
    expected_end_s,
    is_silent,
    must_move,
    must_restart,
)
from bellweir.samples.wire_messages import (
    InstructAttempts,
    ReportAttempts,
    StepProgress,
)

LEDGER_TIMEOUT_S = 1.0
BUSY_PERIOD_S = 0.2
"""Shortest time between rounds, and their period while attempts are being started."""
QUIET_PERIOD_S = 0.5
PROGRESS_PERIOD_S = 2.0
"""Time between estimates of a step's end, which look at every slot."""
RETENTION_S = 3_600.0
"""Time for which an ended step can still be pulled and read."""
CLEAN_UP_PERIOD_S = 30.0
RENEW_MARGIN = 1.5
"""A sample is renewed when it will be stale within this many times what a new one takes."""
RENEWAL_PERIOD_S = 1.0


class StepCoordinator:
    """Assigns slots to attempts and steers them, round by round, on one task."""

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: Ledger,
        publications: PublicationClock,
        bulk: BulkStore,
        led_steps: LedSteps,
        table: AttemptTable,
        assigner: AttemptAssigner,
        rescorer: Rescorer,
        duplicate_budget: float,
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._publications = publications
        self._bulk = bulk
        self._led_steps = led_steps
        self._table = table
        self._assigner = assigner
        self._rescorer = rescorer
        self._duplicate_budget = duplicate_budget
        self._wake = threading.Event()
        self._has_started = False
        self._ended: deque[AttemptEnd] = deque()
        self._backoffs = SlotBackoffs()
        self._memories: dict[str, StepMemory] = {}
        self._estimators: dict[str, LengthEstimator] = {}
        self._next_clean_up_s = clock.monotonic_s() + CLEAN_UP_PERIOD_S

    def wake(self) -> None:
        """Start the next round at once."""
        self._wake.set()

    def take_report(self, message: ReportAttempts) -> None:
        """Take up a holder's report; from any thread."""
        self._table.take_report(message, self._clock.monotonic_s())
        if message.ended:
            self._ended.extend(message.ended)
            self.wake()

    def progress(self, step_id: str) -> StepProgress:
        """What this node knows of a step that the ledger doesn't; from any thread."""
        memory = self._memories.get(step_id)
        if memory is None:
            return StepProgress(is_known=False)
        return StepProgress(True, memory.running, memory.expected_end_s)

    def run(self, stopping: threading.Event) -> None:
        """Go round until the node stops."""
        while not stopping.is_set():
            self._wake.clear()
            try:
                self.go_round()
            except Exception as failure:
                emit(ROUND_FAILED, error=repr(failure))
            self._clock.wait(stopping, BUSY_PERIOD_S)
            if not self._has_started:
                self._clock.wait(self._wake, QUIET_PERIOD_S - BUSY_PERIOD_S)

    def go_round(self) -> None:
        """Look at every led step once, the longest declared first."""
        self._take_ends()
        now_s = self._clock.monotonic_s()
        self._table.drop_lapsed(now_s)
        self._table.drop_holders(self._assigner.is_dead)
        steps = self._led_steps.read()
        for step in steps:
            self._observe(step)
            self._remember(step, now_s)
        by_step = self._table.by_step()
        views = [self._view(step, by_step) for step in steps if self._is_known(step)]
        places = self._assigner.free_places() if views else {}
        self._has_started = False
        for view in views:
            self._steer(view)
            self._start_waiting(view, places)
            self._rescorer.rescore(view.step, view.memory.declaration, view.attempts)
        for view in views:
            self._use_spare_places(view, places)
        self._forget_all_but(steps, by_step)
        self._clean_up(now_s)

    # --- what is known ---

    def _take_ends(self) -> None:
        while self._ended:
            end = self._ended.popleft()
            self._backoffs.note(end, self._clock.monotonic_s())
            memory = self._memories.get(end.step_id)
            if memory is not None and end.tokens_per_s > 0:
                memory.ended_rates.append(end.tokens_per_s)
            if memory is not None and end.failure is not None:
                longest = memory.longest_attempt.get(end.slot, 0)
                memory.longest_attempt[end.slot] = max(longest, end.tokens)
                if end.partial is not None:
                    memory.partials[end.slot] = end.partial

    def _observe(self, step: StepRecord) -> None:
        """Tell the ledger of versions and of time, when that changes something."""
        observation = self._publications.observation(step.terms.policy)
        known = {publication.version for publication in step.publications}
        has_news = any(entry.version not in known for entry in observation.publications)
        is_due = step.ends_at_s is not None and observation.now_s >= step.ends_at_s
        if has_news or is_due:
            command = ObserveStep(step.terms.step_id, observation)
            self._ledger.submit(step.terms.step_id, command, LEDGER_TIMEOUT_S)

    def _remember(self, step: StepRecord, now_s: float) -> None:
        step_id = step.terms.step_id
        memory = self._memories.get(step_id)
        if memory is None:
            read = self._bulk.get(
                step_id, step.terms.declaration, StepDeclaration, LEDGER_TIMEOUT_S
            )
            if not isinstance(read, Success):
                return
            memory = StepMemory(read.unwrap())
            self._memories[step_id] = memory
            self._table.adopt_leases(step, self._clock.wall_s(), now_s)
        estimator = self._estimators.setdefault(step.terms.policy, LengthEstimator())
        observe_lengths(step, memory, estimator)

    def _is_known(self, step: StepRecord) -> bool:
        return step.terms.step_id in self._memories

    def _view(self, step: StepRecord, by_step: dict[str, list[KnownAttempt]]) -> StepView:
        terms = step.terms
        return view_of(
            step,
            self._memories[terms.step_id],
            by_step.get(terms.step_id, []),
            self._estimators[terms.policy],
            self._publications.of_policy(terms.policy),
        )

    # --- what is done ---

    def _steer(self, view: StepView) -> None:
        """Cancel losers, start stale attempts again, move slow ones."""
        cancel: dict[str, list[str]] = {}
        move: dict[str, list[str]] = {}
        for known in view.losers():
            cancel.setdefault(known.holder, []).append(known.report.attempt_id)
        now_s = self._clock.wall_s()
        for known in view.attempts:
            report = known.report
            belief = view.belief(report.slot)
            if must_restart(report, belief, view.step.bound, view.cadence, view.usual_rate, now_s):
                cancel.setdefault(known.holder, []).append(report.attempt_id)
            elif must_move(report, belief, view.usual_rate):
                move.setdefault(known.holder, []).append(report.attempt_id)
                self._table.note_moved(report.attempt_id)
        for holder in cancel.keys() | move.keys():
            message = InstructAttempts(tuple(cancel.get(holder, ())), tuple(move.get(holder, ())))
            self._assigner.instruct(holder, message)

    def _start_waiting(self, view: StepView, places: dict[str, int]) -> None:
        """Start waiting slots in their order, spread over the nodes with free places."""
        memory = view.memory
        now_s = self._clock.monotonic_s()
        unfilled = sum(slot.sample is None for slot in view.step.slots)
        memory.running = sum(view.step.slots[slot].sample is None for slot in view.by_slot)
        is_due = now_s >= memory.next_estimate_s
        if not is_due and (unfilled == memory.running or _freest(places) is None):
            return
        waiting = view.waiting()
        if is_due:
            memory.next_estimate_s = now_s + PROGRESS_PERIOD_S
            running = [(known.report, view.belief(known.report.slot)) for known in view.attempts]
            memory.expected_end_s = expected_end_s(running, waiting, view.usual_rate)
        self._assign(view, self._choose(view, waiting, places))

    def _choose(
        self, view: StepView, waiting: list[WaitingSlot], places: dict[str, int]
    ) -> dict[str, list[Assignment]]:
        """Assignments by node, as far as there are places."""
        chosen: dict[str, list[Assignment]] = {}
        now_s = self._clock.monotonic_s()
        for entry in waiting:
            holder = _freest(places)
            if holder is None:
                break
            if self._backoffs.may_start(view.step.terms.step_id, entry.slot, now_s):
                places[holder] -= 1
                chosen.setdefault(holder, []).append(self._assignment(view, entry.slot))
        return chosen

    def _assign(self, view: StepView, chosen: dict[str, list[Assignment]]) -> None:
        terms = view.step.terms
        self._has_started = self._has_started or bool(chosen)
        observation = self._publications.observation(terms.policy)
        for holder, assignments in chosen.items():
            self._assigner.assign(terms.step_id, holder, assignments, observation)

    def _use_spare_places(self, view: StepView, places: dict[str, int]) -> None:
        """Run silent stragglers a second time, and renew samples that will soon be stale."""
        chosen: dict[str, list[Assignment]] = {}
        if _freest(places) is None:
            return
        for assignment in [*self._duplicates(view), *self._renewals(view)]:
            holder = _freest(places)
            if holder is None:
                break
            places[holder] -= 1
            chosen.setdefault(holder, []).append(assignment)
        self._assign(view, chosen)

    def _duplicates(self, view: StepView) -> list[Assignment]:
        budget = math.ceil(self._duplicate_budget * len(view.step.slots))
        found: list[Assignment] = []
        for known in view.attempts:
            report = known.report
            if view.memory.duplicates >= budget:
                break
            if len(view.by_slot[report.slot]) > 1 or not is_silent(report, view.usual_rate):
                continue
            view.memory.duplicates += 1
            avoid = (report.worker,) if report.worker is not None else ()
            found.append(self._assignment(view, report.slot, avoid_workers=avoid))
        return found

    def _renewals(self, view: StepView) -> list[Assignment]:
        """New attempts for samples nobody has pulled that will be stale before one could end."""
        monotonic_s = self._clock.monotonic_s()
        if view.usual_rate <= 0 or monotonic_s < view.memory.next_renewals_s:
            return []
        view.memory.next_renewals_s = monotonic_s + RENEWAL_PERIOD_S
        now_s = self._clock.wall_s()
        newest = newest_version(view.cadence.publications)
        found: list[Assignment] = []
        for number, slot in enumerate(view.step.slots):
            sample = slot.sample
            if sample is None or slot.delivered or number in view.by_slot:
                continue
            oldest = oldest_version(sample.segments)
            if newest is None or oldest >= newest:
                continue
            left_s = view.cadence.stale_at_s(oldest, view.step.bound, now_s) - now_s
            takes_s = view.belief(number).expected_tokens() / view.usual_rate
            if left_s < RENEW_MARGIN * takes_s:
                replaced = sample.attempt_id
                found.append(self._assignment(view, number, replaces_attempt=replaced))
        return found

    def _assignment(
        self,
        view: StepView,
        slot: int,
        avoid_workers: tuple[str, ...] = (),
        replaces_attempt: str | None = None,
    ) -> Assignment:
        step = view.step
        now_s = self._clock.wall_s()
        generation = step.slots[slot].generation + (replaces_attempt is not None)
        return Assignment(
            step_id=step.terms.step_id,
            slot=slot,
            attempt_id=new_attempt_id(),
            policy=step.terms.policy,
            prompt=view.prompt_of(slot),
            max_tokens=step.terms.max_tokens,
            minimum_version=oldest_admissible(step.bound, view.cadence.publications, now_s),
            ends_at_s=step.ends_at_s,
            scorer=step.terms.scorer,
            seed=seed_of(step.terms.step_id, slot, generation),
            avoid_workers=avoid_workers,
            replaces_attempt=replaces_attempt,
            partial=self._take_partial(view, slot) if replaces_attempt is None else None,
        )

    def _take_partial(self, view: StepView, slot: int) -> Partial | None:
        """What a stopping node had of the slot's sample, when it is still fresh."""
        partial = view.memory.partials.pop(slot, None)
        if partial is None:
            return None
        oldest = oldest_version(partial.segments)
        now_s = self._clock.wall_s()
        is_usable = is_fresh(oldest, view.step.bound, view.cadence.publications, now_s)
        return partial if is_usable else None

    # --- what is over ---

    def _forget_all_but(
        self, steps: list[StepRecord], by_step: dict[str, list[KnownAttempt]]
    ) -> None:
        """Drop what is kept for steps that ended or moved, and cancel the ended ones' attempts."""
        kept = {step.terms.step_id for step in steps}
        self._memories = {key: memory for key, memory in self._memories.items() if key in kept}
        self._rescorer.forget_all_but(kept)
        self._backoffs.forget_all_but(kept)
        for step_id, attempts in by_step.items():
            if step_id in kept or not self._ledger.leads(step_id):
                continue
            for known in attempts:
                if not known.report.is_committing:
                    cancel = InstructAttempts(cancel=(known.report.attempt_id,))
                    self._assigner.instruct(known.holder, cancel)

    def _clean_up(self, now_s: float) -> None:
        if now_s < self._next_clean_up_s:
            return
        self._next_clean_up_s = now_s + CLEAN_UP_PERIOD_S
        ended_before_s = self._clock.wall_s() - RETENTION_S
        for machine in self._led_steps.machines():
            for step_id in machine.ended_steps(ended_before_s):
                command = ForgetStep(step_id, ended_before_s)
                self._ledger.submit(step_id, command, LEDGER_TIMEOUT_S)


def _freest(places: dict[str, int]) -> str | None:
    """The node with the most free places; None when there is no place."""
    holder = max(places, key=lambda node: places[node], default=None)
    return holder if holder is not None and places[holder] > 0 else None
