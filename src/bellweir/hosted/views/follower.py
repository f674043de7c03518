"""Follows all objects of one kind in the store: a list, then watches from its revision on.

A watch says nothing while nothing changes, and just as little when it was cut in silence. So
`check` compares the view now and then with a cheap reading that may be a little old.

A process need not follow the store itself while peers tell it what they read (`relay`). It does
so again as soon as what they tell is too old.
"""

import random
import threading
import time
from collections.abc import Callable

from returns.result import Success

from bellweir.events.log import emit
from bellweir.hosted.entries import EntryValidator
from bellweir.hosted.interface import (
    Listing,
    RecordChange,
    RecordStore,
    StoreError,
    StoreErrorKind,
)
from bellweir.hosted.log_events import (
    STORE_LISTED,
    STORE_LOST,
    STORE_REGAINED,
    VIEW_DIRECT,
    VIEW_RELAYED,
)
from bellweir.hosted.views.kind_state import KindState

WATCH_S = 25.0
"""Longest wait of one watch."""
SHORT_WATCH_S = 3.0
"""The same while peers may soon tell instead."""
WATCH_AFTER_FAILURE_S = 0.2
"""The same while it is not known whether the store answers again."""
DEAF_AFTER_S = 0.5
"""Time after which a watch in hand should have told of a change that a reading shows."""
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5
"""Pauses between tries while the store does not answer; doubled from the first one on."""
FIRST_PAUSE_BESIDE_READERS_S = 0.8
LONGEST_PAUSE_BESIDE_READERS_S = 1.5
"""The same for a process that peers will tell when the store answers again: refused calls are paid
for, too. With 71 machines and a store that is busy twice for 6 s, 2,339 calls instead of 3,315
with the short first pause, nothing served worse (one play each)."""
FRESH_S = 1.5
"""Age from which on what peers tell does not do; a leaving worker must be known of in 2 s."""
SHORTEST_OUTAGE_S = 1.0
"""Outages of the store that are shorter let no entry lapse: that takes three heartbeats."""
RETURN_GRACE_S = 2.0
"""Time after the store's return within which a living worker's lapsed entry is back (NEWS-23)."""
LIST_AGAIN_S = 1.0
"""Shortest time between two lists that are asked for since a change can't be told of an object."""
IDLE_LOOK_S = 0.25
"""Pause between two looks whether the store is to be followed."""
PATIENT_LOOK_S = 0.02
"""The same at the start, while a peer is asked first; the answer takes a few milliseconds."""


class KindFollower:
    """One task; `on_list` and `on_change` are called in the order of revisions."""

    def __init__(
        self,
        store: RecordStore,
        kind: str,
        on_list: Callable[[Listing], None],
        on_change: Callable[[RecordChange], None],
        settle_s: float = 0.0,
        is_wanted: Callable[[], bool] = lambda: True,
        is_relayable: bool = True,
        on_return: Callable[[float], None] = lambda _until_s: None,
        entries: EntryValidator | None = None,
    ) -> None:
        """Changes that come within `settle_s` of each other are read by one call.

        Nothing is followed while `is_wanted` says no; the kind is listed anew after that.
        `on_return` hears, before anything is read, that the store was away, and until which
        monotonic time entries that lapsed meanwhile may come back. Peers that follow the store
        for others tell only the kinds that every process needs; others are not `is_relayable`.
        `entries` sorts out what they tell and nobody can use.
        """
        self._settle_s = settle_s
        self._store = store
        self._kind = kind
        self._is_wanted = is_wanted
        self.state = KindState(kind, on_list, on_change, on_return, entries)
        self._must_list = True
        self._listed_s = float("-inf")
        self._watching_since_s: float | None = None
        self._lost_since_s: float | None = None
        self._pause_s = FIRST_PAUSE_S
        self.is_relayed = False
        """Whether peers tell what is new; the store is not asked meanwhile."""
        self.has_readers: bool | None = None if is_relayable else False
        """Whether peers follow the store for this process, too; None: not known yet."""
        self.has_regular_readers = False
        """Whether these follow it as a rule, not only while the store turns this process away."""
        self.patient_until_s = float("-inf")
        """Monotonic time until which peers are waited for before anything is read here."""
        self.listed = threading.Event()
        """Set once the kind has been listed."""

    @property
    def _revision(self) -> int | None:
        return None if self._must_list else self.state.revision

    def run(self, stopping: threading.Event) -> None:
        """Follow until `stopping`."""
        while not stopping.is_set():
            if not self._is_wanted():
                self._must_list = True
                stopping.wait(IDLE_LOOK_S)
            elif self._look_at_relay():
                stopping.wait(IDLE_LOOK_S)
            elif self._must_list and time.monotonic() < self.patient_until_s:
                stopping.wait(PATIENT_LOOK_S)
            else:
                self._follow(stopping)

    def _follow(self, stopping: threading.Event) -> None:
        failure = self._step(stopping)
        if failure is None:
            return
        if failure.kind is StoreErrorKind.COMPACTED:
            self._must_list = True
        else:
            self._note_failure(failure)
            stopping.wait(self._next_pause_s())

    def check(self) -> None:
        """Interrupt the watch in hand if a cheap reading fails or shows that it is deaf.

        The reading may be old, so an object that it still has, or lacks, proves nothing; one with
        a newer revision than the view's does, when the watch has had time to tell of it.
        """
        watching_since_s = self._watching_since_s
        seen = self._revision
        if seen is None or self.is_relayed or self._lost_since_s is not None:
            return
        asked_s = time.monotonic()
        found = self._store.list_kind(self._kind, stale=True)
        if self._watching_since_s != watching_since_s:
            return
        if isinstance(found, Success):
            if found.unwrap().newest_revision <= seen:
                self.state.confirm(asked_s)
                return
            if watching_since_s is None or time.monotonic() - watching_since_s <= DEAF_AFTER_S:
                return
        if watching_since_s is not None:
            self._store.interrupt_watches(self._kind)

    def age_s(self) -> float:
        """Seconds since the view was last known to be the store's."""
        return time.monotonic() - self.state.current_as_of_s

    def lost_for_s(self) -> float:
        """Seconds since the store has not answered; 0 while it does or is not asked."""
        lost_since_s = self._lost_since_s
        return 0.0 if lost_since_s is None else time.monotonic() - lost_since_s

    def is_served(self) -> bool:
        """Look with one cheap reading whether the store answers this process."""
        return isinstance(self._store.list_kind(self._kind, stale=True), Success)

    def is_told_lately(self) -> bool:
        """Whether what peers tell is young enough to rely on."""
        return time.monotonic() - self.state.relayed_as_of_s < FRESH_S

    def _look_at_relay(self) -> bool:
        """Whether peers tell what is new, and lately enough."""
        age_s = time.monotonic() - self.state.relayed_as_of_s
        relayed = bool(self.has_readers) and age_s < FRESH_S
        if relayed != self.is_relayed:
            self.is_relayed = relayed
            if relayed:
                # The store may turn this process away still: nothing is said of its return.
                self._lost_since_s = None
                self._pause_s = FIRST_PAUSE_S
                self._must_list = False
                self.listed.set()
            event = VIEW_RELAYED if relayed else VIEW_DIRECT
            emit(event, kind=self._kind, age_s=round(min(age_s, 1e6), 3))
        return relayed

    def _step(self, stopping: threading.Event) -> StoreError | None:
        revision = self._revision
        if revision is None:
            return self._list()
        return self._watch(revision, stopping)

    def _list(self) -> StoreError | None:
        asked_s = time.monotonic()
        found = self._store.list_kind(self._kind)
        if not isinstance(found, Success):
            return found.failure()
        listing = found.unwrap()
        self._note_answer()
        self.state.apply_listing(listing, asked_s)
        self._must_list = False
        self._listed_s = asked_s
        self.listed.set()
        emit(STORE_LISTED, kind=self._kind, revision=listing.revision, count=len(listing.records))
        return None

    def _watch(self, revision: int, stopping: threading.Event) -> StoreError | None:
        asked_s = time.monotonic()
        self._watching_since_s = asked_s
        try:
            found = self._store.watch(self._kind, revision, self._watch_wait_s())
        finally:
            self._watching_since_s = None
        if not isinstance(found, Success):
            return found.failure()
        changes = found.unwrap()
        self._note_answer()
        self.state.apply_changes(changes, time.monotonic() if changes.changes else asked_s)
        if not changes.is_complete:
            # Something can't be read that may have taken any object's place: only a list tells.
            stopping.wait(min(LIST_AGAIN_S, self._listed_s + LIST_AGAIN_S - asked_s))
            self._must_list = True
        elif changes.changes and self._settle_s:
            stopping.wait(self._settle_s)
        return None

    def _watch_wait_s(self) -> float:
        if self._lost_since_s is not None:
            return WATCH_AFTER_FAILURE_S
        return WATCH_S if self.has_readers is False else SHORT_WATCH_S

    def _note_answer(self) -> None:
        self._pause_s = FIRST_PAUSE_S
        if self._lost_since_s is None:
            return
        now_s = time.monotonic()
        after_s = now_s - self._lost_since_s
        self._lost_since_s = None
        emit(STORE_REGAINED, kind=self._kind, after_s=round(after_s, 3))
        if after_s >= SHORTEST_OUTAGE_S:
            self.state.note_return(now_s + RETURN_GRACE_S)

    def _note_failure(self, failure: StoreError) -> None:
        if self._lost_since_s is not None:
            return
        self._lost_since_s = time.monotonic()
        emit(
            STORE_LOST,
            kind=self._kind,
            error=failure.kind.value,
            detail=failure.detail,
            age_s=round(min(self.age_s(), 1e6), 3),
        )

    def _next_pause_s(self) -> float:
        beside_readers = self.has_readers and self.has_regular_readers
        longest_s = LONGEST_PAUSE_BESIDE_READERS_S if beside_readers else LONGEST_PAUSE_S
        if beside_readers:
            self._pause_s = max(self._pause_s, FIRST_PAUSE_BESIDE_READERS_S)
        pause_s = self._pause_s * random.uniform(0.5, 1.0)
        self._pause_s = min(2 * self._pause_s, longest_s)
        return pause_s
