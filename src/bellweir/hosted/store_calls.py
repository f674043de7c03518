"""Counts the calls that this process makes to the platform's store: each one has its price.

A call is counted by what it is for (the kind of object and the sort of call) and by its outcome.
The counts are a metric, and a log line tells now and then what has been added to them.

>>> counts = StoreCallCounts()
>>> counts.add("servers", "list", "done")
>>> counts.take_increments()
{'servers/list/done': 1}
>>> counts.take_increments()
{}
"""

import threading
import time
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

DONE = "done"
"""Outcome of a call that brought a result; any other one is named as its error's kind."""
LOG_PERIOD_S = 10.0
"""Time between two log lines, so that 200 machines write at most 20 a second together."""
FIRST_LOG_S = 4.0
"""Time from the start to the first line, which shows what a start costs."""

Found = TypeVar("Found")


class StoreCallCounts:
    """Numbers of calls by kind, sort and outcome. Safe for threads."""

    __slots__ = ("_counts", "_lock", "_told")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[tuple[str, str, str]] = Counter()
        self._told: Counter[tuple[str, str, str]] = Counter()

    def add(self, kind: str, call: str, outcome: str) -> None:
        """Count one call."""
        with self._lock:
            self._counts[kind, call, outcome] += 1

    def all(self) -> dict[tuple[str, str, str], int]:
        """Calls since the start of the process."""
        with self._lock:
            return dict(self._counts)

    def take_increments(self) -> dict[str, int]:
        """Calls since this was asked last, by `kind/call/outcome`."""
        with self._lock:
            added = self._counts - self._told
            self._told = Counter(self._counts)
        return {"/".join(key): count for key, count in sorted(added.items())}


class CountingStore(RecordStore):
    """A store whose calls are counted; everything else is the inner store's."""

    def __init__(self, inner: RecordStore) -> None:
        self._inner = inner
        self.counts = StoreCallCounts()
        self._log_due_s = time.monotonic() + FIRST_LOG_S

    def log_calls_if_due(self) -> None:
        """Log what was called, once in a period; asked by the process's main loop."""
        if time.monotonic() >= self._log_due_s:
            self.log_calls()

    def log_calls(self) -> None:
        """Write a line with the calls since the last one, if there were any."""
        self._log_due_s = time.monotonic() + LOG_PERIOD_S
        calls = self.counts.take_increments()
        if calls:
            emit(STORE_CALLS, calls=calls)

    def list_kind(self, kind: str, *, stale: bool = False) -> Result[Listing, StoreError]:
        """List; a cheap reading counts as `check`. Pages of one list count as one call."""
        sort = "check" if stale else "list"
        return self._counted(kind, sort, lambda: self._inner.list_kind(kind, stale=stale))

    def read(self, kind: str, name: str) -> Result[StoredRecord, StoreError]:
        """Read one object."""
        return self._counted(kind, "read", lambda: self._inner.read(kind, name))

    def watch(self, kind: str, revision: int, wait_s: float) -> Result[Changes, StoreError]:
        """Watch; one that brought no change before its time was over has the outcome `idle`."""
        found = self._inner.watch(kind, revision, wait_s)
        is_idle = isinstance(found, Success) and not found.unwrap().changes
        self.counts.add(kind, "watch", "idle" if is_idle else _outcome(found))
        return found

    def interrupt_watches(self, kind: str) -> None:
        """Have watches fail; no call."""
        self._inner.interrupt_watches(kind)

    def create(self, kind: str, name: str, spec: Any) -> Result[StoredRecord, StoreError]:
        """Create an object."""
        return self._counted(kind, "create", lambda: self._inner.create(kind, name, spec))

    def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Result[StoredRecord, StoreError]:
        """Replace an object's spec."""
        return self._counted(
            kind, "replace", lambda: self._inner.replace(kind, name, spec, revision)
        )

    def replace_status(
        self, kind: str, name: str, status: Any, revision: int
    ) -> Result[StoredRecord, StoreError]:
        """Replace an object's status."""
        return self._counted(
            kind, "status", lambda: self._inner.replace_status(kind, name, status, revision)
        )

    def delete(self, kind: str, name: str, revision: int | None) -> Result[None, StoreError]:
        """Delete an object."""
        return self._counted(kind, "delete", lambda: self._inner.delete(kind, name, revision))

    def _counted(
        self, kind: str, call: str, make: Callable[[], Result[Found, StoreError]]
    ) -> Result[Found, StoreError]:
        found = make()
        self.counts.add(kind, call, _outcome(found))
        return found


def _outcome(found: Result[Any, StoreError]) -> str:
    if isinstance(found, Success):
        return DONE
    kind: StoreErrorKind = found.failure().kind
    return kind.value
