"""A lease kept as one object of the store, whose revision is the fencing token."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgspec
from returns.result import Success

from bellweir.events.log import emit
from bellweir.hosted.interface import (
    RecordKind,
    RecordStore,
    StoredRecord,
    StoreError,
    StoreErrorKind,
)
from bellweir.hosted.log_events import LEASE_LOST, LEASE_TAKEN, LEASE_UNANSWERED
from bellweir.kernel.clock import elapsed_s

VALIDITY_FRACTION = 0.6
"""Fraction of the lease time for which a lease is valid after a renewal."""
RENEWAL_FRACTION = 0.3
"""Fraction of the lease time after which the lease is renewed."""
HOLDER_STEP_S = 0.2
POLL_INTERVAL_S = 2.5
"""Interval between reads of a lease that another node renews."""
OVERDUE_POLL_INTERVAL_S = 0.4
"""Interval between reads once a renewal is overdue."""
OVERDUE_AFTER_RENEWALS = 1.5
"""Number of renewal intervals after which the next renewal is overdue."""
MAX_OPERATION_S = 0.5
"""Longest duration of an operation under the lease."""
HAND_OVER_FRACTION = 0.15
"""Fraction of the lease time for which renewals must have failed before a hand-over."""
HAND_OVER_ABSTENTION_S = 10.0
"""Time for which a node abstains from a lease that it has handed over."""
HAND_OVER_REPEAT_INTERVAL_S = 0.3
HAND_OVER_REPEATS = 5
"""A hand-over is announced again this often, unless a successor announces itself before."""
UNREADABLE_HOLDER = "?"
"""Placeholder for the holder in an object that cannot be decoded; not a valid node name."""
MAX_POLL_JITTER_S = 0.4
"""After a hand-over each candidate reads the object at a random time within this one."""
ORDER_DELAY_MARGIN_S = 0.3
"""Added to a successor's waits for the delivery time of a former holder's last order."""


class LeaseSpec(msgspec.Struct, frozen=True):
    """Contents of the lease object."""

    holder: str
    """Node name; empty if the lease was released."""
    count: int
    """Incremented by each renewal, so that each one changes the object."""
    idle_s: float = 0.0
    """On release: seconds since the end of the holder's last operation."""
    wait_s: float = 0.0
    """Seconds until the holder may start its first operation, also after a restart."""
    prolongs: int = 0
    """Revision that a renewal replaced; 0 if the lease was acquired."""


class LeasePhase(Enum):
    """Role of this node for the lease."""

    WATCHING = "watching"
    WAITING = "waiting"
    """It has the lease but must not operate yet, as the former holder may have lately."""
    HOLDING = "holding"


@dataclass
class _Observed:
    revision: int
    since_s: float
    holder: str
    is_announced: bool = False
    """Whether the holder announced it; the next renewal is then announced as well."""


@dataclass
class _OwnHandOver:
    """A hand-over by this node, which is announced again in case a message is lost."""

    revision: int
    operation_end_s: float
    next_s: float
    repeats_left: int = HAND_OVER_REPEATS


@dataclass(frozen=True)
class _HandOver:
    """A hand-over that the former holder announced.

    Any candidate may replace the revision given up at once, or the one that a renewal of it made,
    since the store may execute a renewal after the request has timed out.
    """

    revision: int
    """Newest revision that the former holder knew."""
    since_s: float
    """Time at which this node received the message."""
    idle_s: float
    """Seconds between the end of the holder's last operation and `since_s`."""
    poll_from_s: float
    """Time from which this node may read the object and acquire the lease."""

    def includes(self, record: StoredRecord, spec: LeaseSpec | None) -> bool:
        """Whether an object is the revision given up or a pending renewal of it."""
        if record.revision == self.revision:
            return True
        return spec is not None and spec.prolongs == self.revision


class Lease:
    """One node's side of a lease. `step` is called periodically by a single task.

    The lease is valid for a fraction of the lease time, counted on the holder's monotonic clock
    from the start of its last successful renewal. A successor replaces the object only after it has
    been unchanged for the whole lease time and then waits again, so that operations of two holders
    are separated by at least `separation_s`. Clocks of different machines are never compared.

    A holder announces each renewal to the other candidates (`lease_messages`), so that they know
    the newest revision and its age also while the store is unavailable.
    """

    def __init__(
        self,
        store: RecordStore,
        name: str,
        node: str,
        lease_s: float,
        separation_s: float,
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        """`separation_s`: minimum time between the operations of two holders."""
        self._store = store
        self._name = name
        self._node = node
        self._lease_s = lease_s
        self._separation_s = separation_s + ORDER_DELAY_MARGIN_S
        self._now_s = now_s
        self._observed: _Observed | None = None
        self._hand_over: _HandOver | None = None
        self._own_hand_over: _OwnHandOver | None = None
        self._is_acquisition_pending = False
        """Whether an attempt to acquire the lease has an unknown outcome."""
        self._record: StoredRecord | None = None
        self._count = 0
        self._valid_until_s = float("-inf")
        self._renew_due_s = float("-inf")
        self._effective_from_s = float("-inf")
        self._operation_lock = threading.Lock()
        self._operation_end_s: float | None = None
        """Latest end of the last operation that this node started."""
        self._candidate_from_s = float("-inf")
        self.announce: Callable[[int, str], None] = lambda _revision, _holder: None
        """Called with revision and holder after each change by this node."""
        self.announce_hand_over: Callable[[int, float], None] = lambda _revision, _idle_s: None
        """Called with the revision given up and the seconds since the last operation ended."""
        self._failing_since_s: float | None = None
        """Start of the first of the consecutive failed renewals."""
        self.wake_event = threading.Event()
        """Set when a step is due before the end of `pause_s`."""
        self.fencing_token = 0
        """Revision of the object when this node acquired the lease; 0 without the lease."""
        self.phase = LeasePhase.WATCHING

    @property
    def is_held(self) -> bool:
        """Whether this node has the lease, possibly still waiting."""
        return self._record is not None

    def remaining_s(self) -> float:
        """Return the remaining validity in seconds; 0 or less if this node must not operate."""
        now_s = self._now_s()
        if self.fencing_token == 0 or now_s < self._effective_from_s:
            return 0.0
        return self._valid_until_s - now_s

    def pause_s(self) -> float:
        """Return the seconds until the next step is due."""
        if self._record is not None:
            return HOLDER_STEP_S
        now_s = self._now_s()
        if self._own_hand_over is not None:
            return max(0.0, self._own_hand_over.next_s - now_s)
        given_up = self._hand_over
        if given_up is not None:
            wait_s = given_up.poll_from_s - now_s
            return wait_s if wait_s > 0.0 else OVERDUE_POLL_INTERVAL_S
        if self._is_acquisition_pending:
            # This node may have the lease without knowing; nobody else can acquire it then.
            return OVERDUE_POLL_INTERVAL_S
        seen = self._observed
        if seen is None:
            return POLL_INTERVAL_S
        if self._is_overdue(seen, now_s):
            return OVERDUE_POLL_INTERVAL_S
        overdue_s = OVERDUE_AFTER_RENEWALS * RENEWAL_FRACTION * self._lease_s
        return min(POLL_INTERVAL_S, max(OVERDUE_POLL_INTERVAL_S, seen.since_s + overdue_s - now_s))

    def _is_overdue(self, seen: "_Observed", now_s: float) -> bool:
        """Whether the holder has missed a renewal and may have failed."""
        return now_s - seen.since_s > OVERDUE_AFTER_RENEWALS * RENEWAL_FRACTION * self._lease_s

    def step(self) -> None:
        """Renew the lease, or try to acquire it."""
        self._repeat_hand_over()
        is_candidate = self._now_s() >= self._candidate_from_s
        if self._record is not None and is_candidate:
            self._renew_if_due()
        elif self._record is not None:
            self.release()
        elif is_candidate:
            self._poll()

    def note_renewal(self, revision: int, holder: str) -> None:
        """Note a renewal that the holder announced."""
        seen = self._observed
        if self._record is not None or (seen is not None and seen.revision >= revision):
            return
        self._observed = _Observed(revision, self._now_s(), holder, is_announced=True)
        given_up = self._hand_over
        if given_up is not None and revision > given_up.revision:
            self._hand_over = None
        own = self._own_hand_over
        if own is not None and revision > own.revision:
            self._own_hand_over = None
        if holder:
            self._is_acquisition_pending = False
        else:
            self.wake_event.set()

    def note_hand_over(self, revision: int, idle_s: float) -> None:
        """Note that the holder has handed over the lease at this revision.

        A newer revision already observed may come from the holder's last renewal; only reading the
        object tells.
        """
        known = self._hand_over
        if self._record is not None or (known is not None and known.revision >= revision):
            return
        now_s = self._now_s()
        poll_from_s = now_s + random.uniform(0.0, MAX_POLL_JITTER_S)
        self._hand_over = _HandOver(revision, now_s, idle_s, poll_from_s)
        self.wake_event.set()

    def begin_operation(self, seconds: float) -> int:
        """Return the fencing token for an operation of at most `seconds`; 0 if it must not start.

        Must be called before each operation, as a release states when the last one ended.
        """
        with self._operation_lock:
            if self.remaining_s() <= seconds:
                return 0
            self._operation_end_s = self._now_s() + seconds
            return self.fencing_token

    def step_aside(self, seconds: float) -> None:
        """Release the lease with the next step and abstain from it for `seconds`."""
        self._candidate_from_s = self._now_s() + seconds
        self.wake_event.set()

    def failing_since_s(self) -> float | None:
        """Return since when renewals fail, if that is long enough for a hand-over, else None."""
        since_s = self._failing_since_s
        if self._record is None or since_s is None:
            return None
        return since_s if self._now_s() - since_s >= HAND_OVER_FRACTION * self._lease_s else None

    def hand_over(self) -> None:
        """Give up the lease by a message to the other candidates, without writing to the store.

        Used by a holder that the store rejects while it serves other nodes.
        """
        relinquished = self._relinquish("handed over")
        if relinquished is None:
            return
        record, idle_s = relinquished
        self.step_aside(HAND_OVER_ABSTENTION_S)
        now_s = self._now_s()
        self._own_hand_over = _OwnHandOver(
            record.revision, now_s - idle_s, now_s + HAND_OVER_REPEAT_INTERVAL_S
        )
        self.announce_hand_over(record.revision, idle_s)

    def _repeat_hand_over(self) -> None:
        """Announce this node's hand-over again: candidates that missed it wait for the expiry."""
        own, now_s = self._own_hand_over, self._now_s()
        if own is None or now_s < own.next_s:
            return
        if self._record is not None or own.repeats_left == 0:
            self._own_hand_over = None
            return
        own.repeats_left -= 1
        own.next_s = now_s + HAND_OVER_REPEAT_INTERVAL_S
        self.announce_hand_over(own.revision, now_s - own.operation_end_s)

    def _relinquish(self, cause: str) -> tuple[StoredRecord, float] | None:
        """End the lease here; return its object and the seconds since the last operation."""
        # The lock prevents an operation from starting before the idle time is computed.
        with self._operation_lock:
            record, self._record = self._record, None
            if record is None:
                return None
            self._lose(cause)
            return record, self._own_idle_s()

    def release(self) -> None:
        """Release the lease in the store, so that a successor need not wait for its expiry."""
        relinquished = self._relinquish("released")
        if relinquished is None:
            return
        record, idle_s = relinquished
        spec = msgspec.to_builtins(LeaseSpec("", self._count + 1, idle_s))
        written = self._store.replace(RecordKind.LEASES, self._name, spec, record.revision)
        if isinstance(written, Success):
            self.announce(written.unwrap().revision, "")

    def _own_idle_s(self) -> float:
        """Seconds since the last known operation of any holder."""
        now_s = self._now_s()
        if self._operation_end_s is not None:
            # Negative while an operation is in progress.
            return now_s - self._operation_end_s
        # No operation here yet. The former holder's last one ended `separation_s` before the end of
        # the wait; it may still be in progress if this node gives up the lease early.
        return now_s - self._effective_from_s + self._separation_s

    def _renew_if_due(self) -> None:
        record = self._record
        began_s = self._now_s()
        if began_s >= self._effective_from_s and self.phase is LeasePhase.WAITING:
            self.phase = LeasePhase.HOLDING
        if record is None or began_s < self._renew_due_s:
            return
        self._count += 1
        since_s = self._failing_since_s
        first_attempt_s = self._failing_since_s = began_s if since_s is None else since_s
        wait_s = max(0.0, self._effective_from_s - began_s)
        spec = msgspec.to_builtins(
            LeaseSpec(self._node, self._count, wait_s=wait_s, prolongs=record.revision)
        )
        written = self._store.replace(RecordKind.LEASES, self._name, spec, record.revision)
        if isinstance(written, Success):
            self._extend_if_held(record, written.unwrap(), began_s)
        else:
            self._renewal_failed(record, written.failure(), first_attempt_s)

    def _extend_if_held(self, held: StoredRecord, renewed: StoredRecord, began_s: float) -> None:
        """Extend the lease, unless it was handed over while the renewal was pending."""
        with self._operation_lock:
            if self._record is held:
                self._extend(renewed, began_s)

    def _extend(self, record: StoredRecord, began_s: float) -> None:
        self._record = record
        self._failing_since_s = None
        self._valid_until_s = began_s + VALIDITY_FRACTION * self._lease_s
        self._renew_due_s = began_s + RENEWAL_FRACTION * self._lease_s
        self.announce(record.revision, self._node)

    def _renewal_failed(
        self, held: StoredRecord, failure: StoreError, first_attempt_s: float
    ) -> None:
        """`first_attempt_s`: start of the first of the consecutive unconfirmed renewals."""
        self._renew_due_s = self._now_s() + RENEWAL_FRACTION * self._lease_s / 2
        self._log_unanswered("renewal", failure)
        if failure.kind in (StoreErrorKind.CONFLICT, StoreErrorKind.UNKNOWN):
            # The write may have been executed; only reading the object tells.
            self._read_back(held, first_attempt_s)
        elif failure.kind is StoreErrorKind.NOT_FOUND:
            self._lose("lease object deleted")

    def _read_back(self, held: StoredRecord, first_attempt_s: float) -> None:
        found = self._store.read(RecordKind.LEASES, self._name)
        if not isinstance(found, Success):
            return
        record = found.unwrap()
        if record.revision == held.revision:
            return
        spec = _decode_spec(record)
        if spec is not None and spec.holder == self._node and spec.prolongs == held.revision:
            # Any of the unconfirmed renewals may have been executed, and other candidates may count
            # from it. Counting from this read would extend the lease beyond their wait.
            self._extend_if_held(held, record, first_attempt_s)
        elif self._record is held:
            self._lose("another holder")

    def _lose(self, cause: str) -> None:
        emit(LEASE_LOST, lease=self._name, cause=cause)
        self._record = None
        self._failing_since_s = None
        self._observed = None
        self.fencing_token = 0
        self.phase = LeasePhase.WATCHING

    def _poll(self) -> None:
        now_s = self._now_s()
        if not self._is_poll_due(now_s):
            return
        found = self._store.read(RecordKind.LEASES, self._name)
        if isinstance(found, Success):
            self._is_acquisition_pending = False
            self._try_acquire(found.unwrap(), now_s)
        elif found.failure().kind is StoreErrorKind.NOT_FOUND:
            self._create(now_s)

    def _is_poll_due(self, now_s: float) -> bool:
        """Whether to read the object: after a hand-over, or without announced renewals."""
        seen, given_up = self._observed, self._hand_over
        if given_up is not None:
            return now_s >= given_up.poll_from_s
        if seen is not None and seen.is_announced and seen.holder:
            return self._is_overdue(seen, now_s)
        return True

    def _create(self, began_s: float) -> None:
        self._count = 1
        spec = msgspec.to_builtins(LeaseSpec(self._node, self._count))
        made = self._store.create(RecordKind.LEASES, self._name, spec)
        if isinstance(made, Success):
            # The former holder is unknown if the object was deleted.
            self._start_holding(
                made.unwrap(), began_s, 0.0, "nobody", operation_end_s=self._now_s()
            )
        else:
            self._acquisition_failed("creation", made.failure())

    def _acquisition_failed(self, attempt: str, failure: StoreError) -> None:
        self._is_acquisition_pending = _may_be_pending(failure)
        self._log_unanswered(attempt, failure)

    def _log_unanswered(self, attempt: str, failure: StoreError) -> None:
        if failure.kind is StoreErrorKind.UNKNOWN:
            emit(LEASE_UNANSWERED, lease=self._name, attempt=attempt, detail=failure.detail)

    def _try_acquire(self, record: StoredRecord, now_s: float) -> None:
        spec = _decode_spec(record)
        # An object that cannot be decoded may hide a live holder: wait for its expiry.
        holder = spec.holder if spec is not None else UNREADABLE_HOLDER
        seen = self._observed
        if seen is None or seen.revision != record.revision:
            self._observed = _Observed(record.revision, now_s, holder)
            seen = self._observed
        given_up = self._hand_over_of(record, spec)
        is_released = not holder or given_up is not None
        is_expired = now_s - seen.since_s >= self._lease_s + ORDER_DELAY_MARGIN_S
        # A former process of this node counts as the same holder.
        is_own = holder == self._node
        if not (is_released or is_expired or is_own):
            return
        self._count = (spec.count if spec is not None else 0) + 1
        if is_own and spec is not None:
            wait_s = spec.wait_s
        else:
            announced_idle_s = spec.idle_s if spec is not None and not holder else None
            if given_up is not None:
                announced_idle_s = given_up.idle_s + now_s - given_up.since_s
            idle_s = announced_idle_s if announced_idle_s is not None else self._idle_s(seen, now_s)
            wait_s = max(0.0, self._separation_s - idle_s)
        wanted = msgspec.to_builtins(LeaseSpec(self._node, self._count, wait_s=wait_s))
        taken = self._store.replace(RecordKind.LEASES, self._name, wanted, record.revision)
        if isinstance(taken, Success):
            # An operation of the former process may still be in progress.
            operation_end_s = self._now_s() + MAX_OPERATION_S if is_own else None
            self._start_holding(
                taken.unwrap(), now_s, wait_s, holder or "released", operation_end_s
            )
        else:
            self._acquisition_failed("acquisition", taken.failure())

    def _hand_over_of(self, record: StoredRecord, spec: LeaseSpec | None) -> _HandOver | None:
        """Return the hand-over that covers this object; discards an outdated one."""
        given_up = self._hand_over
        if given_up is None or given_up.includes(record, spec):
            return given_up
        if record.revision > given_up.revision:
            self._hand_over = None
        return None

    def _idle_s(self, seen: "_Observed", now_s: float) -> float:
        """Seconds for which the former holder cannot have operated."""
        if not seen.holder:
            return 0.0
        return max(0.0, now_s - seen.since_s - VALIDITY_FRACTION * self._lease_s)

    def _start_holding(
        self,
        record: StoredRecord,
        began_s: float,
        wait_s: float,
        after: str,
        operation_end_s: float | None = None,
    ) -> None:
        self._extend(record, began_s)
        self._effective_from_s = self._now_s() + wait_s
        # Set before the fencing token: operations that start afterwards overwrite it.
        self._operation_end_s = operation_end_s
        self._hand_over = None
        self._is_acquisition_pending = False
        self.fencing_token = record.revision
        self.phase = LeasePhase.WAITING if wait_s else LeasePhase.HOLDING
        emit(LEASE_TAKEN, lease=self._name, fence=self.fencing_token, after=after)


def _may_be_pending(failure: StoreError) -> bool:
    """Whether an acquisition may have succeeded or may be retried."""
    return failure.kind in (StoreErrorKind.UNKNOWN, StoreErrorKind.NOT_DONE)


def _decode_spec(record: StoredRecord) -> LeaseSpec | None:
    try:
        return msgspec.convert(record.spec, LeaseSpec)
    except msgspec.ValidationError:
        return None
