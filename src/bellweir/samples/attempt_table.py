"""The attempts that a coordinator knows of, and the nodes that hold them.

An attempt's lease is refreshed by its holder's reports. One that nobody reports lapses, and its
slot is given to another node; should the first still commit, the ledger takes whichever comes
first.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from bellweir.samples.attempts import Assignment, AttemptReport
from bellweir.samples.records import StepRecord
from bellweir.samples.wire_messages import ReportAttempts

ASSIGNMENT_GRACE_S = 1.0
"""Time for an assignment to arrive before a report without it means that it was not taken."""

REPORTS_IN_LEASE = 2.5
"""Full reports that must fail to come before a lease lapses."""


@dataclass
class KnownAttempt:
    """One attempt as its holder last reported it."""

    report: AttemptReport
    holder: str
    assigned_s: float
    lease_until_s: float


@dataclass
class HolderState:
    """What a node last said of its free places."""

    free_places: int
    heard_s: float
    avoid_until_s: float = 0.0
    """Not given work before this, after a message to it failed."""


class AttemptTable:
    """Attempts and holders; safe from any thread. Times are monotonic seconds."""

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._lock = threading.Lock()
        self._attempts: dict[str, KnownAttempt] = {}
        self._holders: dict[str, HolderState] = {}

    def take_report(self, message: ReportAttempts, now_s: float) -> None:
        """Take up all that a holder says; what it no longer names has ended there."""
        with self._lock:
            holder = self._holders.setdefault(message.node, HolderState(0, now_s))
            holder.free_places = message.free_places
            holder.heard_s = now_s
            until_s = now_s + max(self._lease_s, REPORTS_IN_LEASE * message.next_full_s)
            for report in message.running:
                self._refresh(message.node, report, now_s, until_s)
            for end in message.ended:
                self._attempts.pop(end.attempt_id, None)
            if message.is_full:
                self._drop_unnamed(message, now_s)

    def _drop_unnamed(self, message: ReportAttempts, now_s: float) -> None:
        named = {report.attempt_id for report in message.running}
        for attempt_id, known in list(self._attempts.items()):
            is_new = now_s - known.assigned_s < ASSIGNMENT_GRACE_S
            if known.holder == message.node and attempt_id not in named and not is_new:
                del self._attempts[attempt_id]

    def _refresh(self, node: str, report: AttemptReport, now_s: float, until_s: float) -> None:
        known = self._attempts.get(report.attempt_id)
        assigned_s = known.assigned_s if known is not None else now_s
        self._attempts[report.attempt_id] = KnownAttempt(report, node, assigned_s, until_s)

    def note_assigned(self, assignment: Assignment, holder: str, now_s: float) -> None:
        """Remember an attempt that a node is being asked to run; it takes one of its places."""
        report = AttemptReport(
            assignment.step_id,
            assignment.slot,
            assignment.attempt_id,
            replaces_attempt=assignment.replaces_attempt,
        )
        with self._lock:
            until_s = now_s + self._lease_s
            self._attempts[assignment.attempt_id] = KnownAttempt(report, holder, now_s, until_s)
            state = self._holders.get(holder)
            if state is not None:
                state.free_places = max(0, state.free_places - 1)

    def adopt_leases(self, step: StepRecord, wall_s: float, now_s: float) -> None:
        """Take over the leases of an earlier coordinator, from the ledger."""
        with self._lock:
            for number, slot in enumerate(step.slots):
                for lease in slot.leases:
                    left_s = min(lease.expires_at_s - wall_s, self._lease_s)
                    if left_s <= 0 or lease.attempt_id in self._attempts:
                        continue
                    report = AttemptReport(step.terms.step_id, number, lease.attempt_id)
                    self._attempts[lease.attempt_id] = KnownAttempt(
                        report, lease.holder, now_s, now_s + left_s
                    )

    def note_moved(self, attempt_id: str) -> None:
        """Forget an attempt's rate until its next report: it was of the engine that it leaves."""
        with self._lock:
            known = self._attempts.get(attempt_id)
            if known is not None:
                known.report = msgspec.structs.replace(known.report, tokens_per_s=0.0)

    def drop(self, attempt_id: str) -> None:
        """Forget an attempt; unknown ones are no error."""
        with self._lock:
            self._attempts.pop(attempt_id, None)

    def avoid(self, holder: str, until_s: float) -> None:
        """Give a node no work for a while."""
        with self._lock:
            state = self._holders.setdefault(holder, HolderState(0, until_s))
            state.heard_s = until_s
            state.avoid_until_s = until_s
            state.free_places = 0

    def drop_lapsed(self, now_s: float) -> tuple[KnownAttempt, ...]:
        """Forget the attempts whose lease has lapsed, and return them."""
        with self._lock:
            lapsed = [known for known in self._attempts.values() if now_s >= known.lease_until_s]
            for known in lapsed:
                del self._attempts[known.report.attempt_id]
            return tuple(lapsed)

    def drop_holders(self, dead: Callable[[str], bool]) -> None:
        """Forget the attempts of nodes that are known to be dead, before their leases lapse."""
        with self._lock:
            holders = {known.holder for known in self._attempts.values()}
        gone = {holder for holder in holders if dead(holder)}
        with self._lock:
            for attempt_id, known in list(self._attempts.items()):
                if known.holder in gone:
                    del self._attempts[attempt_id]

    def by_step(self) -> dict[str, list[KnownAttempt]]:
        """All attempts by step."""
        grouped: dict[str, list[KnownAttempt]] = {}
        with self._lock:
            for known in self._attempts.values():
                grouped.setdefault(known.report.step_id, []).append(known)
        return grouped

    def places_of(self, holder: str, unheard: int, now_s: float) -> int:
        """Free places of a node; `unheard` for one that has not reported lately."""
        with self._lock:
            state = self._holders.get(holder)
            # A node reports only while it runs attempts for this coordinator.
            if state is None or now_s - state.heard_s > self._lease_s:
                return unheard
            return state.free_places if now_s >= state.avoid_until_s else 0
