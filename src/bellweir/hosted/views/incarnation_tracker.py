"""Tracks the newest incarnation (start) of each worker.

>>> tracker = IncarnationTracker()
>>> first, second = Incarnation("i-1", 9_000), Incarnation("i-1", 5_000)
>>> [tracker.observe(*read).value for read in ((first, 1), (second, 2), (second, 3), (first, 4))]
['first', 'doubted', 'again', 'doubted']
"""

from enum import Enum

from bellweir.hosted.incarnation import Incarnation

MAX_TRACKED_WORKERS = 16_384
"""Includes workers that are gone; the least recently started ones are evicted first."""
MAX_FORMER_INCARNATIONS = 8
"""Former incarnations kept for each worker."""


class IncarnationVerdict(Enum):
    """Result of observing an incarnation of a worker."""

    FIRST = "first"
    """No other incarnation of the worker is known."""
    KNOWN = "known"
    RESTARTED = "again"
    """The worker has restarted."""
    STALE_READ = "older"
    """The read is older than what is known."""
    SUSPECT = "doubted"
    """Probably a delayed write of a former incarnation; accepted if written again."""


class _KnownIncarnations:
    __slots__ = ("former", "newest", "revision", "suspect", "suspect_revision")

    def __init__(self, newest: Incarnation, revision: int, former: tuple[Incarnation, ...]) -> None:
        self.newest = newest
        self.revision = revision
        """Highest store revision at which it was read; 0 if known from a peer only."""
        self.former = former
        self.suspect: Incarnation | None = None
        self.suspect_revision = 0

    def is_newer_than(self, read: Incarnation, revision: int) -> bool:
        """Whether a read is older than what is known."""
        if revision:
            return revision < self.revision
        return self.revision > 0 or read.born_ms < self.newest.born_ms

    def is_superseded_by(self, read: Incarnation, revision: int) -> bool:
        """Whether an incarnation read at a revision becomes the newest one."""
        if not self.revision:
            return True
        if read.born_ms > self.newest.born_ms and read not in self.former:
            return True
        return read == self.suspect and revision > self.suspect_revision

    def mark_suspect(self, read: Incarnation, revision: int) -> None:
        """Note an incarnation that is accepted if it is written again."""
        if read != self.suspect:
            self.suspect, self.suspect_revision = read, revision


class IncarnationTracker:
    """Newest incarnation by worker. Not thread-safe.

    The last write in the store may be a delayed one of an ended incarnation. An incarnation with a
    later start time is accepted at once; one with an earlier time (after the worker's clock was set
    back) or a superseded one only if it is written twice without a write of the newer one in
    between: a live worker rewrites its entry, an ended one has at most one write in flight.

    A worker whose entry has no start time is not tracked: each read of it is `KNOWN`.
    """

    __slots__ = ("_workers",)

    def __init__(self) -> None:
        self._workers: dict[str, _KnownIncarnations] = {}

    def observe(self, read: Incarnation, revision: int) -> IncarnationVerdict:
        """Classify an incarnation read at a store revision; 0 if a peer sent it without one.

        Reads without a revision are used only until the store itself has been read.
        """
        if not read.born_ms:
            return IncarnationVerdict.KNOWN
        known = self._workers.get(read.instance)
        if known is None:
            self._store(_KnownIncarnations(read, revision, ()))
            return IncarnationVerdict.FIRST
        if read == known.newest:
            known.revision = max(known.revision, revision)
            known.suspect = None
            return IncarnationVerdict.KNOWN
        if known.is_newer_than(read, revision):
            return IncarnationVerdict.STALE_READ
        if not known.is_superseded_by(read, revision):
            known.mark_suspect(read, revision)
            return IncarnationVerdict.SUSPECT
        former = (*known.former, known.newest)[-MAX_FORMER_INCARNATIONS:] if known.revision else ()
        self._store(_KnownIncarnations(read, revision, former))
        return IncarnationVerdict.RESTARTED

    def newest(self, instance: str) -> Incarnation | None:
        """Return the newest known incarnation of a worker."""
        known = self._workers.get(instance)
        return known.newest if known is not None else None

    def _store(self, known: _KnownIncarnations) -> None:
        self._workers.pop(known.newest.instance, None)
        self._workers[known.newest.instance] = known
        if len(self._workers) > MAX_TRACKED_WORKERS:
            del self._workers[next(iter(self._workers))]


class AddressTracker:
    """Tracks the last incarnation seen at each address. Not thread-safe.

    >>> addresses = AddressTracker()
    >>> addresses.changed("h:1", Incarnation("i-1", 5))
    False
    >>> addresses.changed("h:1", Incarnation("i-1", 5)), addresses.changed(
    ...     "h:1", Incarnation("i-1", 7)
    ... )
    (False, True)
    """

    __slots__ = ("_last_seen",)

    def __init__(self) -> None:
        self._last_seen: dict[str, Incarnation] = {}

    def changed(self, address: str, now_there: Incarnation) -> bool:
        """Record the incarnation at an address; return whether another one was there before."""
        before = self._last_seen.pop(address, None)
        self._last_seen[address] = now_there
        if len(self._last_seen) > MAX_TRACKED_WORKERS:
            del self._last_seen[next(iter(self._last_seen))]
        return before is not None and before != now_there
