"""Follows all objects of one kind in the store: a list, then watches from its revision on.

A watch says nothing while nothing changes, and just as little when it was cut in silence. So
`check` compares the view now and then with a cheap reading that may be a little old.
"""

import random
import threading
import time
from collections.abc import Callable

from returns.result import Success

from bellweir.events.log import emit
from bellweir.hosted.interface import (
    Listing,
    RecordChange,
    RecordStore,
    StoreError,
    StoreErrorKind,
)
from bellweir.hosted.log_events import STORE_LISTED, STORE_LOST, STORE_REGAINED

WATCH_S = 25.0
"""Longest wait of one watch."""
WATCH_AFTER_FAILURE_S = 0.2
"""The same while it is not known whether the store answers again."""
DEAF_AFTER_S = 0.5
"""Time after which a watch in hand should have told of a change that a reading shows."""
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5
"""Pauses between tries while the store does not answer; doubled from the first one on."""


class KindFollower:
    """One task; `on_list` and `on_change` are called on it, in the order of revisions."""

    def __init__(
        self,
        store: RecordStore,
        kind: str,
        on_list: Callable[[Listing], None],
        on_change: Callable[[RecordChange], None],
        settle_s: float = 0.0,
    ) -> None:
        """Changes that come within `settle_s` of each other are read by one call."""
        self._settle_s = settle_s
        self._store = store
        self._kind = kind
        self._on_list = on_list
        self._on_change = on_change
        self._revision: int | None = None
        """Store revision up to which all changes are known; None: list anew."""
        self._watching_since_s: float | None = None
        self._lost_since_s: float | None = None
        self._pause_s = FIRST_PAUSE_S
        self.current_as_of_s = float("-inf")
        """Monotonic time at which the view was last known to be the store's."""
        self.listed = threading.Event()
        """Set once the kind has been listed."""

    def run(self, stopping: threading.Event) -> None:
        """Follow until `stopping`."""
        while not stopping.is_set():
            failure = self._step(stopping)
            if failure is None:
                self._note_answer()
            elif failure.kind is StoreErrorKind.COMPACTED:
                self._revision = None
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
        if watching_since_s is None or seen is None:
            return
        found = self._store.list_kind(self._kind, stale=True)
        if self._watching_since_s != watching_since_s:
            return
        if isinstance(found, Success):
            is_newer = any(each.revision > seen for each in found.unwrap().records)
            has_had_time = time.monotonic() - watching_since_s > DEAF_AFTER_S
            if not (is_newer and has_had_time):
                return
        self._store.interrupt_watches(self._kind)

    def age_s(self) -> float:
        """Seconds since the view was last known to be the store's."""
        return time.monotonic() - self.current_as_of_s

    def _step(self, stopping: threading.Event) -> StoreError | None:
        if self._revision is None:
            return self._list()
        return self._watch(self._revision, stopping)

    def _list(self) -> StoreError | None:
        asked_s = time.monotonic()
        found = self._store.list_kind(self._kind)
        if not isinstance(found, Success):
            return found.failure()
        listing = found.unwrap()
        self._on_list(listing)
        self._revision = listing.revision
        self.current_as_of_s = asked_s
        self.listed.set()
        emit(STORE_LISTED, kind=self._kind, revision=listing.revision, count=len(listing.records))
        return None

    def _watch(self, revision: int, stopping: threading.Event) -> StoreError | None:
        asked_s = time.monotonic()
        wait_s = WATCH_S if self._lost_since_s is None else WATCH_AFTER_FAILURE_S
        self._watching_since_s = asked_s
        try:
            found = self._store.watch(self._kind, revision, wait_s)
        finally:
            self._watching_since_s = None
        if not isinstance(found, Success):
            return found.failure()
        changes = found.unwrap()
        for change in changes.changes:
            self._on_change(change)
        if changes.changes and self._settle_s:
            stopping.wait(self._settle_s)
        self._revision = max(revision, changes.revision)
        self.current_as_of_s = time.monotonic() if changes.changes else asked_s
        return None

    def _note_answer(self) -> None:
        self._pause_s = FIRST_PAUSE_S
        if self._lost_since_s is not None:
            after_s = round(time.monotonic() - self._lost_since_s, 3)
            emit(STORE_REGAINED, kind=self._kind, after_s=after_s)
            self._lost_since_s = None

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
        pause_s = self._pause_s * random.uniform(0.5, 1.0)
        self._pause_s = min(2 * self._pause_s, LONGEST_PAUSE_S)
        return pause_s
