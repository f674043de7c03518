"""Counts the calls of this process to the platform's store, each of which is charged.

Calls are counted by kind of object, type of call and outcome. The counts are exported as a metric
and their increments are logged periodically.

>>> counts = StoreCallCounts()
>>> counts.add("servers", "list", "done")
>>> counts.take_increments()
{'servers/list/done': 1}
>>> counts.take_increments()
{}
"""

import threading
from collections import Counter
from collections.abc import Callable
from typing import Any, TypeVar

from returns.result import Result, Success

from bellweir.events.log import emit
from bellweir.hosted.interface import (
    Changes,
    Listing,
    RecordStore,
    StoredRecord,
    StoreError,
    StoreErrorKind,
)
from bellweir.hosted.log_events import STORE_CALLS
from bellweir.kernel.clock import elapsed_s

DONE = "done"
"""Outcome of a successful call; a failed one has the value of its error kind."""
LOG_INTERVAL_S = 10.0
FIRST_LOG_DELAY_S = 4.0
"""Shorter than the interval, so that the calls of the start are logged separately."""

Value = TypeVar("Value")


class StoreCallCounts:
    """Numbers of calls by kind, type and outcome. Thread-safe."""

    __slots__ = ("_counts", "_lock", "_reported")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[tuple[str, str, str]] = Counter()
        self._reported: Counter[tuple[str, str, str]] = Counter()

    def add(self, kind: str, call: str, outcome: str) -> None:
        """Count one call."""
        with self._lock:
            self._counts[kind, call, outcome] += 1

    def all(self) -> dict[tuple[str, str, str], int]:
        """Numbers of calls since the start of the process."""
        with self._lock:
            return dict(self._counts)

    def take_increments(self) -> dict[str, int]:
        """Numbers of calls since the last invocation, by `kind/call/outcome`."""
        with self._lock:
            added = self._counts - self._reported
            self._reported = Counter(self._counts)
        return {"/".join(key): count for key, count in sorted(added.items())}


class CountingStore(RecordStore):
    """Counts the calls to an inner store."""

    def __init__(self, inner: RecordStore) -> None:
        self._inner = inner
        self.counts = StoreCallCounts()
        self._log_due_s = elapsed_s() + FIRST_LOG_DELAY_S

    def log_calls_if_due(self) -> None:
        """Log the calls if the interval has passed. Called by the process's main loop."""
        if elapsed_s() >= self._log_due_s:
            self.log_calls()

    def log_calls(self) -> None:
        """Log the calls since the last log line, if there were any."""
        self._log_due_s = elapsed_s() + LOG_INTERVAL_S
        calls = self.counts.take_increments()
        if calls:
            emit(STORE_CALLS, calls=calls)

    def list_kind(self, kind: str, *, stale: bool = False) -> Result[Listing, StoreError]:
        """List; a stale read counts as `check`. All pages of a list count as one call."""
        call = "check" if stale else "list"
        return self._count_call(kind, call, lambda: self._inner.list_kind(kind, stale=stale))

    def read(self, kind: str, name: str) -> Result[StoredRecord, StoreError]:
        """Read one object."""
        return self._count_call(kind, "read", lambda: self._inner.read(kind, name))

    def watch(self, kind: str, revision: int, wait_s: float) -> Result[Changes, StoreError]:
        """Watch; one that ended without changes has the outcome `idle`."""
        found = self._inner.watch(kind, revision, wait_s)
        is_idle = isinstance(found, Success) and not found.unwrap().changes
        self.counts.add(kind, "watch", "idle" if is_idle else _outcome(found))
        return found

    def interrupt_watches(self, kind: str) -> None:
        """Make the pending watches fail. Not counted, since no call is made."""
        self._inner.interrupt_watches(kind)

    def create(self, kind: str, name: str, spec: Any) -> Result[StoredRecord, StoreError]:
        """Create an object."""
        return self._count_call(kind, "create", lambda: self._inner.create(kind, name, spec))

    def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Result[StoredRecord, StoreError]:
        """Replace an object's spec."""
        return self._count_call(
            kind, "replace", lambda: self._inner.replace(kind, name, spec, revision)
        )

    def replace_status(
        self, kind: str, name: str, status: Any, revision: int
    ) -> Result[StoredRecord, StoreError]:
        """Replace an object's status."""
        return self._count_call(
            kind, "status", lambda: self._inner.replace_status(kind, name, status, revision)
        )

    def delete(self, kind: str, name: str, revision: int | None) -> Result[None, StoreError]:
        """Delete an object."""
        return self._count_call(kind, "delete", lambda: self._inner.delete(kind, name, revision))

    def _count_call(
        self, kind: str, call: str, make: Callable[[], Result[Value, StoreError]]
    ) -> Result[Value, StoreError]:
        found = make()
        self.counts.add(kind, call, _outcome(found))
        return found


def _outcome(found: Result[Any, StoreError]) -> str:
    if isinstance(found, Success):
        return DONE
    kind: StoreErrorKind = found.failure().kind
    return kind.value
