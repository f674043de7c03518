"""Follows all objects of one kind in the store by a list and watches from its revision on.

While peers relay recent changes (`relay`), the store is not called.
"""

import random
import threading
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
from bellweir.kernel.clock import elapsed_s

WATCH_TIMEOUT_S = 25.0
SHORT_WATCH_TIMEOUT_S = 3.0
"""Used while relayed updates may soon replace the watch."""
WATCH_AFTER_FAILURE_TIMEOUT_S = 0.2
"""Used after a failure, to find out early whether the store answers again."""
WATCH_DELIVERY_TIMEOUT_S = 0.5
"""Time within which a watch should deliver a change that a read shows."""
RELAYED_AGE_S = 0.6
"""Age from which a view that is relayed to others is brought up to date. With the check interval
and a heartbeat it must stay below `MAX_RELAY_AGE_S`."""
CONFIRMATION_WAIT_S = 0.001
"""The shortest time that a watch may wait; it then only tells whether there is a change."""
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
"""Bounds of the exponential backoff while the store does not answer."""
MIN_BACKOFF_WITH_READERS_S = 0.8
MAX_BACKOFF_WITH_READERS_S = 1.5
"""Bounds for a process with readers, which relay the recovery: rejected calls cost as well. With 71
machines and a store that is busy twice for 6 s it makes 2,339 calls instead of 3,315 with the
shorter first pause, and nothing is served worse."""
MAX_RELAY_AGE_S = 1.5
"""Age from which on relayed updates are too old; a leaving worker must be known in 2 s."""
MIN_OUTAGE_S = 1.0
"""Shorter outages let no entry expire, which takes three missed heartbeats."""
RECOVERY_GRACE_S = 2.0
"""Time after a recovery within which a live worker rewrites its expired entry."""
MIN_RELIST_INTERVAL_S = 1.0
"""Minimum time between lists that are caused by undecodable changes."""
IDLE_POLL_INTERVAL_S = 0.25
PEER_WAIT_POLL_INTERVAL_S = 0.02
"""Used at the start, while a peer is queried before the store."""


class KindFollower:
    """Runs as one task; `on_list` and `on_change` are called in the order of revisions."""

    def __init__(
        self,
        store: RecordStore,
        kind: str,
        on_list: Callable[[Listing], None],
        on_change: Callable[[RecordChange], None],
        coalesce_s: float = 0.0,
        is_wanted: Callable[[], bool] = lambda: True,
        is_relayable: bool = True,
        on_recovery: Callable[[float], None] = lambda _until_s: None,
        entries: EntryValidator | None = None,
        is_known_to_all: bool = True,
    ) -> None:
        """`coalesce_s`: pause after changes, so that one watch call returns several of them.

        While `is_wanted` returns False nothing is followed; the kind is listed again afterwards.
        `on_recovery` is called when the store recovers, before anything is read, with the
        monotonic time until which expired entries may come back. Peers relay only the kinds that
        every process needs; others are not `is_relayable`. `entries` filters out unusable entries
        that peers send. Peers of an older build relay no kind that is not `is_known_to_all`.
        """
        self.is_known_to_all = is_known_to_all
        self._coalesce_s = coalesce_s
        self._store = store
        self._kind = kind
        self._is_wanted = is_wanted
        self.state = KindState(kind, on_list, on_change, on_recovery, entries)
        self._needs_list = True
        self._listed_s = float("-inf")
        self._watching_since_s: float | None = None
        self._unreachable_since_s: float | None = None
        self._backoff_s = MIN_BACKOFF_S
        self.is_relayed = False
        """Whether peers relay the changes and the store is not called."""
        self.has_readers: bool | None = None if is_relayable else False
        """Whether peers relay to this process; None while unknown."""
        self.has_regular_readers = False
        """Whether these are its regular readers, not only fallbacks while it is cut off."""
        self.wait_for_peers_until_s = float("-inf")
        """Monotonic time until which to wait for peers before the first list."""
        self.listed = threading.Event()
        """Set once the kind has been listed."""

    @property
    def _revision(self) -> int | None:
        return None if self._needs_list else self.state.revision

    def run(self, stopping: threading.Event) -> None:
        """Follow until `stopping`."""
        # Run again after an exception, only a list tells what a listener has missed.
        self._needs_list = True
        while not stopping.is_set():
            if not self._is_wanted():
                self._needs_list = True
                stopping.wait(IDLE_POLL_INTERVAL_S)
            elif self._update_relayed():
                stopping.wait(IDLE_POLL_INTERVAL_S)
            elif self._needs_list and elapsed_s() < self.wait_for_peers_until_s:
                stopping.wait(PEER_WAIT_POLL_INTERVAL_S)
            else:
                self._follow(stopping)

    def _follow(self, stopping: threading.Event) -> None:
        failure = self._step(stopping)
        if failure is None:
            return
        if failure.kind is StoreErrorKind.COMPACTED:
            self._needs_list = True
        else:
            self._record_failure(failure)
            stopping.wait(self._next_backoff_s())

    def check(self, *, has_dependents: bool = False) -> None:
        """Interrupt the current watch if a stale read fails or shows undelivered changes.

        Where other nodes depend on the view it is also brought up to date if it may be old.

        A watch whose connection was silently lost looks like one without changes.

        A stale read may be older than the view, so only a newer revision that the watch had time
        to deliver is conclusive.
        """
        watching_since_s = self._watching_since_s
        seen = self._revision
        if seen is None or self.is_relayed or self._unreachable_since_s is not None:
            return
        if has_dependents and self.age_s() > RELAYED_AGE_S:
            self.confirm()
        found = self._store.list_kind(self._kind, stale=True)
        if self._watching_since_s != watching_since_s:
            return
        if isinstance(found, Success):
            if found.unwrap().newest_revision <= seen:
                # No proof that the view is current: the read may be as old as the view is.
                return
            if (
                watching_since_s is None
                or elapsed_s() - watching_since_s <= WATCH_DELIVERY_TIMEOUT_S
            ):
                return
        if watching_since_s is not None:
            self._store.interrupt_watches(self._kind)

    def confirm(self) -> bool:
        """Bring the view up to date by one call; return whether it is current as of that call.

        Unlike the stale read of `check` its answer is linearizable. May be called on any thread.
        """
        revision = self.state.revision
        if revision is None:
            return False
        asked_s = elapsed_s()
        found = self._store.watch(self._kind, revision, CONFIRMATION_WAIT_S)
        if not isinstance(found, Success):
            is_history_gone = found.failure().kind is StoreErrorKind.COMPACTED
            return is_history_gone and self._confirm_by_list()
        changes = found.unwrap()
        if not changes.is_complete:
            return False
        self.state.apply_changes(changes, asked_s)
        return True

    def _confirm_by_list(self) -> bool:
        asked_s = elapsed_s()
        found = self._store.list_kind(self._kind)
        if isinstance(found, Success):
            self.state.apply_listing(found.unwrap(), asked_s)
        return isinstance(found, Success)

    def age_s(self) -> float:
        """Return the seconds since the view was last known to be current."""
        return elapsed_s() - self.state.current_as_of_s

    def unreachable_for_s(self) -> float:
        """Return the seconds since the store became unreachable; 0 while it is reachable."""
        unreachable_since_s = self._unreachable_since_s
        return 0.0 if unreachable_since_s is None else elapsed_s() - unreachable_since_s

    def is_store_reachable(self) -> bool:
        """Probe with one stale read whether the store serves this process."""
        return isinstance(self._store.list_kind(self._kind, stale=True), Success)

    def is_relay_fresh(self) -> bool:
        """Whether relayed updates are recent enough."""
        return elapsed_s() - self.state.relayed_as_of_s < MAX_RELAY_AGE_S

    def _update_relayed(self) -> bool:
        """Update and return `is_relayed`."""
        age_s = elapsed_s() - self.state.relayed_as_of_s
        relayed = bool(self.has_readers) and age_s < MAX_RELAY_AGE_S
        if relayed != self.is_relayed:
            self.is_relayed = relayed
            if relayed:
                # The store may still reject this process, so no recovery is logged.
                self._unreachable_since_s = None
                self._backoff_s = MIN_BACKOFF_S
                self._needs_list = False
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
        asked_s = elapsed_s()
        found = self._store.list_kind(self._kind)
        if not isinstance(found, Success):
            return found.failure()
        listing = found.unwrap()
        self._record_answer()
        self.state.apply_listing(listing, asked_s)
        self._needs_list = False
        self._listed_s = asked_s
        self.listed.set()
        emit(STORE_LISTED, kind=self._kind, revision=listing.revision, count=len(listing.records))
        return None

    def _watch(self, revision: int, stopping: threading.Event) -> StoreError | None:
        asked_s = elapsed_s()
        self._watching_since_s = asked_s
        try:
            found = self._store.watch(self._kind, revision, self._watch_wait_s())
        finally:
            self._watching_since_s = None
        if not isinstance(found, Success):
            return found.failure()
        changes = found.unwrap()
        self._record_answer()
        self.state.apply_changes(changes, elapsed_s() if changes.changes else asked_s)
        if not changes.is_complete:
            # An undecodable change may concern any object; only a list gives the current state.
            stopping.wait(
                min(MIN_RELIST_INTERVAL_S, self._listed_s + MIN_RELIST_INTERVAL_S - asked_s)
            )
            self._needs_list = True
        elif changes.changes and self._coalesce_s:
            stopping.wait(self._coalesce_s)
        return None

    def _watch_wait_s(self) -> float:
        if self._unreachable_since_s is not None:
            return WATCH_AFTER_FAILURE_TIMEOUT_S
        return WATCH_TIMEOUT_S if self.has_readers is False else SHORT_WATCH_TIMEOUT_S

    def _record_answer(self) -> None:
        self._backoff_s = MIN_BACKOFF_S
        if self._unreachable_since_s is None:
            return
        now_s = elapsed_s()
        after_s = now_s - self._unreachable_since_s
        self._unreachable_since_s = None
        emit(STORE_REGAINED, kind=self._kind, after_s=round(after_s, 3))
        if after_s >= MIN_OUTAGE_S:
            self.state.note_recovery(now_s + RECOVERY_GRACE_S)

    def _record_failure(self, failure: StoreError) -> None:
        if self._unreachable_since_s is not None:
            return
        self._unreachable_since_s = elapsed_s()
        emit(
            STORE_LOST,
            kind=self._kind,
            error=failure.kind.value,
            detail=failure.detail,
            age_s=round(min(self.age_s(), 1e6), 3),
        )

    def _next_backoff_s(self) -> float:
        beside_readers = self.has_readers and self.has_regular_readers
        longest_s = MAX_BACKOFF_WITH_READERS_S if beside_readers else MAX_BACKOFF_S
        if beside_readers:
            self._backoff_s = max(self._backoff_s, MIN_BACKOFF_WITH_READERS_S)
        pause_s = self._backoff_s * random.uniform(0.5, 1.0)
        self._backoff_s = min(2 * self._backoff_s, longest_s)
        return pause_s
