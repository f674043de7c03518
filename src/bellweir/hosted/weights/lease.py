"""A lease of a duty, kept as one object of the store, with its revision as the fence.

A holder tells the other nodes of each renewal (`lease_messages`), so that they know the newest
revision and since when without a look, also while the store is away.

The holder counts on the lease for `valid_s` from the beginning of its last successful renewal, on
its own steady clock. A successor must have seen the object unchanged for the whole lease time
before it replaces it, and then waits once more before it acts, so that the acts of two holders
are at least the agreed time apart. Clocks of different machines are never compared.

A holder that the store turns away while it serves others hands the lease over: it acts no more
and tells the others so, with the revision that it gives up. Whoever is served may then replace
that very revision at once, as if the lease had been given back in the store; or the one that a
renewal of it made, which may be done after its sender has ceased to wait for it.
"""

import random
import threading
import time
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
from bellweir.hosted.log_events import LEASE_LOST, LEASE_TAKEN

VALID_SHARE = 0.6
"""Share of the lease time for which a holder counts on its lease after a renewal."""
RENEW_SHARE = 0.3
"""Share of the lease time after which a holder renews."""
HOLDER_PAUSE_S = 0.2
LOOK_PAUSE_S = 2.5
"""Pause between two looks at a lease that another node renews."""
OVERDUE_PAUSE_S = 0.4
"""The same once a renewal is overdue: the holder may be gone."""
OVERDUE_RENEWALS = 1.5
"""Times between renewals after which the next one is overdue."""
LONGEST_ACT_S = 0.5
"""Longest time that an act of a holder takes to be over."""
HAND_OVER_SHARE = 0.15
"""Share of the lease time for which renewals fail before a holder hands over, if the store has
served others meanwhile; it then still has a sixth of the lease time to act."""
STANDS_ASIDE_S = 10.0
"""Time for which a node that has handed a lease over does not take it: two lease times."""
UNREADABLE_HOLDER = "?"
"""Stands for the holder that an object names which can't be read; no node is called so."""
LONGEST_CHANCE_S = 0.4
"""Nodes that hear of a hand-over look within this time, each at a moment of its own."""
MARGIN_S = 0.3
"""Added to a successor's waits: a late order arrives a little after it was sent."""


class LeaseSpec(msgspec.Struct, frozen=True):
    """Contents of the object."""

    holder: str
    """Node name; empty when the lease was given back."""
    count: int
    """Raised by each renewal, so that each one is a change."""
    idle_s: float = 0.0
    """Given back: seconds between the end of the holder's last act and then."""
    wait_s: float = 0.0
    """Seconds that the holder must wait still before its first act, also if it starts anew."""
    prolongs: int = 0
    """The revision that a renewal replaced, of the same holder's same lease; 0: it was taken."""


class LeasePhase(Enum):
    """What this node is with regard to the lease."""

    WATCHING = "watching"
    WAITING = "waiting"
    """It has the lease and waits until the former holder's acts are long enough ago."""
    HOLDING = "holding"


@dataclass
class _Seen:
    revision: int
    since_s: float
    holder: str
    is_told: bool = False
    """Whether the holder told it, so that the next renewal is told, too."""


@dataclass(frozen=True)
class _GivenUp:
    """What a holder told that handed the lease over."""

    revision: int
    """The newest revision that it knew."""
    since_s: float
    """When this node heard of it."""
    idle_s: float
    """Seconds between the end of the holder's last act and `since_s`."""
    look_from_s: float
    """When this node may look whether it can be taken."""

    def includes(self, record: StoredRecord, spec: LeaseSpec | None) -> bool:
        """Whether an object is what was given up, or made of it by a renewal under way then."""
        if record.revision == self.revision:
            return True
        return spec is not None and spec.prolongs == self.revision


class Lease:
    """One node's part. `step` is called by one task, a few times a second."""

    def __init__(
        self,
        store: RecordStore,
        name: str,
        node: str,
        lease_s: float,
        separation_s: float,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """`separation_s` lies at least between the last act of one holder and the next one's."""
        self._store = store
        self._name = name
        self._node = node
        self._lease_s = lease_s
        self._separation_s = separation_s + MARGIN_S
        self._now_s = now_s
        self._seen: _Seen | None = None
        self._given_up: _GivenUp | None = None
        self._is_taking_open = False
        """Whether this node tried to take the lease and does not know what became of it."""
        self._record: StoredRecord | None = None
        self._count = 0
        self._valid_until_s = float("-inf")
        self._renew_due_s = float("-inf")
        self._act_from_s = float("-inf")
        self._act_lock = threading.Lock()
        self._acted_until_s: float | None = None
        """When the last act begun here was over at the latest."""
        self._stands_from_s = float("-inf")
        self.tell: Callable[[int, str], None] = lambda _revision, _holder: None
        """Called with the revision and the holder after each change made here."""
        self.tell_hand_over: Callable[[int, float], None] = lambda _revision, _idle_s: None
        """Called with the revision that is given up and the seconds since the last act's end."""
        self._failing_since_s: float | None = None
        """When the first of the renewals in a row began that have not succeeded yet."""
        self.woken = threading.Event()
        """Set when a look is due before its pause is over."""
        self.fence = 0
        """Revision of the object when this node took the lease; 0 without it."""
        self.phase = LeasePhase.WATCHING

    @property
    def is_held(self) -> bool:
        """Whether this node has the lease, also while it may not act yet."""
        return self._record is not None

    def remaining_s(self) -> float:
        """Seconds for which this node may surely act from now; 0 or less: not at all."""
        now_s = self._now_s()
        if self.fence == 0 or now_s < self._act_from_s:
            return 0.0
        return self._valid_until_s - now_s

    def pause_s(self) -> float:
        """Seconds until the next step is due."""
        if self._record is not None:
            return HOLDER_PAUSE_S
        now_s = self._now_s()
        given_up = self._given_up
        if given_up is not None:
            wait_s = given_up.look_from_s - now_s
            return wait_s if wait_s > 0.0 else OVERDUE_PAUSE_S
        if self._is_taking_open:
            # It may have the lease without knowing so, and nobody else can take it then.
            return OVERDUE_PAUSE_S
        seen = self._seen
        if seen is None:
            return LOOK_PAUSE_S
        if self._is_overdue(seen, now_s):
            return OVERDUE_PAUSE_S
        overdue_s = OVERDUE_RENEWALS * RENEW_SHARE * self._lease_s
        return min(LOOK_PAUSE_S, max(OVERDUE_PAUSE_S, seen.since_s + overdue_s - now_s))

    def _is_overdue(self, seen: "_Seen", now_s: float) -> bool:
        """Whether the holder should have renewed by now, so that it may be gone."""
        return now_s - seen.since_s > OVERDUE_RENEWALS * RENEW_SHARE * self._lease_s

    def step(self) -> None:
        """Renew the lease held here, or look whether it can be taken."""
        stands = self._now_s() >= self._stands_from_s
        if self._record is not None and stands:
            self._renew_if_due()
        elif self._record is not None:
            self.release()
        elif stands:
            self._look()

    def hear(self, revision: int, holder: str) -> None:
        """Note what a holder tells: that its object had this revision before now."""
        seen = self._seen
        if self._record is not None or (seen is not None and seen.revision >= revision):
            return
        self._seen = _Seen(revision, self._now_s(), holder, is_told=True)
        given_up = self._given_up
        if given_up is not None and revision > given_up.revision:
            self._given_up = None
        if holder:
            self._is_taking_open = False
        else:
            self.woken.set()

    def hear_hand_over(self, revision: int, idle_s: float) -> None:
        """Note that the holder acts no more and has given up this revision of the object.

        A newer one that this node has seen may come of its last renewal: only the object tells.
        """
        known = self._given_up
        if self._record is not None or (known is not None and known.revision >= revision):
            return
        now_s = self._now_s()
        look_from_s = now_s + random.uniform(0.0, LONGEST_CHANCE_S)
        self._given_up = _GivenUp(revision, now_s, idle_s, look_from_s)
        self.woken.set()

    def begin_operation(self, seconds: float) -> int:
        """Return the fence for an act of so many seconds that begins now; 0: it may not begin.

        Called before each act: a lease that is given back tells how long ago the last one ended.
        """
        with self._act_lock:
            if self.remaining_s() <= seconds:
                return 0
            self._acted_until_s = self._now_s() + seconds
            return self.fence

    def step_aside(self, seconds: float) -> None:
        """Give the lease back with the next step, and take it no more for so long."""
        self._stands_from_s = self._now_s() + seconds
        self.woken.set()

    def refused_since_s(self) -> float | None:
        """When the store ceased to take renewals, once that is long enough ago to hand over."""
        since_s = self._failing_since_s
        if self._record is None or since_s is None:
            return None
        return since_s if self._now_s() - since_s >= HAND_OVER_SHARE * self._lease_s else None

    def hand_over(self) -> None:
        """Give the lease up by word of mouth, where the store does not take it back."""
        given_up = self._end_here("handed over")
        if given_up is None:
            return
        record, idle_s = given_up
        self.step_aside(STANDS_ASIDE_S)
        self.tell_hand_over(record.revision, idle_s)

    def _end_here(self, cause: str) -> tuple[StoredRecord, float] | None:
        """End the lease of this node; return its object and the seconds since its last act."""
        # No act begins between the end of the lease here and the reading of its idle time.
        with self._act_lock:
            record, self._record = self._record, None
            if record is None:
                return None
            self._lose(cause)
            return record, self._own_idle_s()

    def release(self) -> None:
        """Give the lease back at a planned stop; the successor need not wait for its end."""
        given_up = self._end_here("released")
        if given_up is None:
            return
        record, idle_s = given_up
        spec = msgspec.to_builtins(LeaseSpec("", self._count + 1, idle_s))
        written = self._store.replace(RecordKind.LEASES, self._name, spec, record.revision)
        if isinstance(written, Success):
            self.tell(written.unwrap().revision, "")

    def _own_idle_s(self) -> float:
        """Time for which nobody has acted, as far as this holder knows."""
        now_s = self._now_s()
        if self._acted_until_s is not None:
            # Below 0 while an act is under way.
            return now_s - self._acted_until_s
        # It has not acted yet. The one before it has not since the agreed time before the end of
        # the wait, and may still be in its last act when the lease is given up early in the wait.
        return now_s - self._act_from_s + self._separation_s

    def _renew_if_due(self) -> None:
        record = self._record
        began_s = self._now_s()
        if began_s >= self._act_from_s and self.phase is LeasePhase.WAITING:
            self.phase = LeasePhase.HOLDING
        if record is None or began_s < self._renew_due_s:
            return
        self._count += 1
        since_s = self._failing_since_s
        first_s = self._failing_since_s = began_s if since_s is None else since_s
        wait_s = max(0.0, self._act_from_s - began_s)
        spec = msgspec.to_builtins(
            LeaseSpec(self._node, self._count, wait_s=wait_s, prolongs=record.revision)
        )
        written = self._store.replace(RecordKind.LEASES, self._name, spec, record.revision)
        if isinstance(written, Success):
            self._extend_if_held(record, written.unwrap(), began_s)
        else:
            self._renewal_failed(record, written.failure(), first_s)

    def _extend_if_held(self, held: StoredRecord, renewed: StoredRecord, began_s: float) -> None:
        """Count on a renewal, unless the lease was handed over while its answer was awaited."""
        with self._act_lock:
            if self._record is held:
                self._extend(renewed, began_s)

    def _extend(self, record: StoredRecord, began_s: float) -> None:
        self._record = record
        self._failing_since_s = None
        self._valid_until_s = began_s + VALID_SHARE * self._lease_s
        self._renew_due_s = began_s + RENEW_SHARE * self._lease_s
        self.tell(record.revision, self._node)

    def _renewal_failed(self, held: StoredRecord, failure: StoreError, first_s: float) -> None:
        """`first_s`: when the first of the renewals in a row began that have no answer."""
        self._renew_due_s = self._now_s() + RENEW_SHARE * self._lease_s / 2
        if failure.kind in (StoreErrorKind.CONFLICT, StoreErrorKind.UNKNOWN):
            # The write may have been done: only the object itself tells.
            self._read_back(held, first_s)
        elif failure.kind is StoreErrorKind.NOT_FOUND:
            self._lose("the object is gone")

    def _read_back(self, held: StoredRecord, first_s: float) -> None:
        found = self._store.read(RecordKind.LEASES, self._name)
        if not isinstance(found, Success):
            return
        record = found.unwrap()
        if record.revision == held.revision:
            return
        spec = _spec_of(record)
        if spec is not None and spec.holder == self._node and spec.prolongs == held.revision:
            # Any of the renewals in a row may be the one that was done, and the others may have
            # seen it since: a holder that counted from its own look would outlast their waits.
            self._extend_if_held(held, record, first_s)
        elif self._record is held:
            self._lose("another holder")

    def _lose(self, cause: str) -> None:
        emit(LEASE_LOST, lease=self._name, cause=cause)
        self._record = None
        self._failing_since_s = None
        self._seen = None
        self.fence = 0
        self.phase = LeasePhase.WATCHING

    def _look(self) -> None:
        now_s = self._now_s()
        if not self._is_look_due(now_s):
            return
        found = self._store.read(RecordKind.LEASES, self._name)
        if isinstance(found, Success):
            self._is_taking_open = False
            self._consider(found.unwrap(), now_s)
        elif found.failure().kind is StoreErrorKind.NOT_FOUND:
            self._create(now_s)

    def _is_look_due(self, now_s: float) -> bool:
        """Whether the object may have been given up, or its holder tells of no renewals."""
        seen, given_up = self._seen, self._given_up
        if given_up is not None:
            return now_s >= given_up.look_from_s
        if seen is not None and seen.is_told and seen.holder:
            return self._is_overdue(seen, now_s)
        return True

    def _create(self, began_s: float) -> None:
        self._count = 1
        spec = msgspec.to_builtins(LeaseSpec(self._node, self._count))
        made = self._store.create(RecordKind.LEASES, self._name, spec)
        if isinstance(made, Success):
            # Who held an object that is gone is not known here.
            self._take(made.unwrap(), began_s, 0.0, "nobody", acted_until_s=self._now_s())
        else:
            self._is_taking_open = _is_open(made.failure())

    def _consider(self, record: StoredRecord, now_s: float) -> None:
        spec = _spec_of(record)
        # One that can't be read may stand over a living holder's: its time is waited out.
        holder = spec.holder if spec is not None else UNREADABLE_HOLDER
        seen = self._seen
        if seen is None or seen.revision != record.revision:
            self._seen = _Seen(record.revision, now_s, holder)
            seen = self._seen
        given_up = self._given_up_with(record, spec)
        given_back = not holder or given_up is not None
        expired = now_s - seen.since_s >= self._lease_s + MARGIN_S
        # A former process of this machine is the same holder to the workers.
        own = holder == self._node
        if not (given_back or expired or own):
            return
        self._count = (spec.count if spec is not None else 0) + 1
        if own and spec is not None:
            wait_s = spec.wait_s
        else:
            told_s = spec.idle_s if spec is not None and not holder else None
            if given_up is not None:
                told_s = given_up.idle_s + now_s - given_up.since_s
            idle_s = told_s if told_s is not None else self._idle_s(seen, now_s)
            wait_s = max(0.0, self._separation_s - idle_s)
        wanted = msgspec.to_builtins(LeaseSpec(self._node, self._count, wait_s=wait_s))
        taken = self._store.replace(RecordKind.LEASES, self._name, wanted, record.revision)
        if isinstance(taken, Success):
            # An act of the process before may still be under way.
            acted_until_s = self._now_s() + LONGEST_ACT_S if own else None
            self._take(taken.unwrap(), now_s, wait_s, holder or "released", acted_until_s)
        else:
            self._is_taking_open = _is_open(taken.failure())

    def _given_up_with(self, record: StoredRecord, spec: LeaseSpec | None) -> _GivenUp | None:
        """The hand-over that this object was given up with; forgets one that is over."""
        given_up = self._given_up
        if given_up is None or given_up.includes(record, spec):
            return given_up
        if record.revision > given_up.revision:
            self._given_up = None
        return None

    def _idle_s(self, seen: "_Seen", now_s: float) -> float:
        """Time for which the former holder has surely not acted."""
        if not seen.holder:
            return 0.0
        return max(0.0, now_s - seen.since_s - VALID_SHARE * self._lease_s)

    def _take(
        self,
        record: StoredRecord,
        began_s: float,
        wait_s: float,
        after: str,
        acted_until_s: float | None = None,
    ) -> None:
        self._extend(record, began_s)
        self._act_from_s = self._now_s() + wait_s
        # Before the fence: an act that begins from then on sets the time of its own end.
        self._acted_until_s = acted_until_s
        self._given_up = None
        self._is_taking_open = False
        self.fence = record.revision
        self.phase = LeasePhase.WAITING if wait_s else LeasePhase.HOLDING
        emit(LEASE_TAKEN, lease=self._name, fence=self.fence, after=after)


def _is_open(failure: StoreError) -> bool:
    """Whether a taking may have been done, or may be tried again."""
    return failure.kind in (StoreErrorKind.UNKNOWN, StoreErrorKind.NOT_DONE)


def _spec_of(record: StoredRecord) -> LeaseSpec | None:
    try:
        return msgspec.convert(record.spec, LeaseSpec)
    except msgspec.ValidationError:
        return None
