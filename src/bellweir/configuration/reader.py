"""Reads the platform's store for one zone: a list, then watches, never going back."""

import random
import threading
from collections.abc import Callable

from returns.result import Failure, Success

from bellweir.clients.interface import (
    ErrorKind,
    ObjectChange,
    ObjectStore,
    PlatformError,
    StoredObject,
)
from bellweir.configuration.log_events import (
    READER_STARTED,
    READER_STOPPED,
    STORE_BEHIND,
    STORE_COMPACTED,
    STORE_UNAVAILABLE,
)
from bellweir.configuration.messages import Change, TableName
from bellweir.configuration.state import ConfigurationState
from bellweir.configuration.views import encode_document
from bellweir.events.log import emit
from bellweir.kernel.clock import Clock

SHORTEST_WATCH_S = 1.0
"""A watch without a change is renewed after this time, in seconds; a stop waits as long."""
LONGEST_WATCH_S = 5.0
"""The same while the store is slow to open a watch."""
WATCH_TO_OVERHEAD = 3.0
"""A watch lasts at least this many times as long as opening it takes, so that a slow store is
watched most of the time."""
RETRY_SHORTEST_S = 0.1
RETRY_LONGEST_S = 2.0


def change_of(stored: StoredObject, *, deleted: bool = False, revision: int = 0) -> Change:
    """An object of the store as an entry of the resource table."""
    if deleted:
        return Change(stored.kind, stored.name, revision, None)
    return Change(stored.kind, stored.name, stored.version, encode_document(stored.document))


class StoreReader:
    """The reading of one node while it is its zone's reader."""

    def __init__(
        self,
        node: str,
        zone: str,
        store: ObjectStore,
        state: ConfigurationState,
        clock: Clock,
        is_reader: Callable[[], bool],
    ) -> None:
        self._node = node
        self._zone = zone
        self._store = store
        self._state = state
        self._clock = clock
        self._is_reader = is_reader
        self._retry_s = RETRY_SHORTEST_S
        self._reported_unavailable = False
        self._watch_s = SHORTEST_WATCH_S
        self._listed = state.loaded
        """A configuration learnt from peers is as good a start for a watch as a list."""

    def run(self, stopping: threading.Event) -> None:
        """Read until `stopping` is set or this node is no longer the reader."""
        emit(READER_STARTED, node=self._node, zone=self._zone)
        while self._goes_on(stopping):
            if not self.read_once(stopping):
                self._pause(stopping)
        emit(READER_STOPPED, node=self._node, zone=self._zone)

    def read_once(self, stopping: threading.Event) -> bool:
        """List, when there is nothing to go on from, or follow one watch; whether it worked."""
        if not self._listed:
            self._listed = self._list()
            return self._listed
        failure = self._watch(stopping)
        if failure is None:
            return True
        if failure.kind is ErrorKind.COMPACTED:
            self._listed = False
            emit(STORE_COMPACTED, node=self._node, revision=self._revision())
            return True
        self._report_unavailable(failure)
        return False

    def _goes_on(self, stopping: threading.Event) -> bool:
        return not stopping.is_set() and self._is_reader()

    def _revision(self) -> int:
        return self._state.position(TableName.RESOURCES).revision

    def _list(self) -> bool:
        """Take over a list if it is no older than what is in force; whether it was."""
        match self._store.list_objects():
            case Success(listing):
                in_force = self._revision()
                if listing.revision < in_force:
                    emit(
                        STORE_BEHIND,
                        node=self._node,
                        revision=listing.revision,
                        in_force=in_force,
                    )
                    return False
                entries = [change_of(stored) for stored in listing.objects]
                self._state.adopt(TableName.RESOURCES, listing.revision, entries, "store")
                self._succeeded()
                return True
            case Failure(failure):
                self._report_unavailable(failure)
        return False

    def _watch(self, stopping: threading.Event) -> PlatformError | None:
        """Follow changes after the revision in force, for one watch; how it failed, if it did."""
        started_s, quiet = self._clock.monotonic_s(), True
        for event in self._store.watch(self._revision(), self._watch_s):
            quiet = False
            match event:
                case Success(change):
                    self._apply(change)
                    self._succeeded()
                case Failure(reason):
                    failure: PlatformError = reason
                    return failure
            if not self._goes_on(stopping):
                return None
        self._succeeded()
        if quiet:
            self._adapt(self._clock.monotonic_s() - started_s - self._watch_s)
        return None

    def _adapt(self, overhead_s: float) -> None:
        """Choose the length of the next watch by what opening the last one took."""
        self._watch_s = min(LONGEST_WATCH_S, max(SHORTEST_WATCH_S, WATCH_TO_OVERHEAD * overhead_s))

    def _apply(self, change: ObjectChange) -> None:
        # A peer may have brought this change first: `append` refuses it then, as it is old.
        entry = change_of(change.stored, deleted=change.deleted, revision=change.revision)
        self._state.append(TableName.RESOURCES, change.revision, [entry])

    def _succeeded(self) -> None:
        self._retry_s = RETRY_SHORTEST_S
        self._reported_unavailable = False

    def _report_unavailable(self, failure: PlatformError) -> None:
        if not self._reported_unavailable:
            emit(STORE_UNAVAILABLE, node=self._node, error=failure.detail)
        self._reported_unavailable = True

    def _pause(self, stopping: threading.Event) -> None:
        """Wait with jitter, longer after each failure, so that readers do not come at once."""
        self._clock.wait(stopping, self._retry_s * random.uniform(0.5, 1.0))
        self._retry_s = min(RETRY_LONGEST_S, self._retry_s * 2)
