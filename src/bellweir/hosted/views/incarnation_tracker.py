"""Which start of each worker is the newest.

The store's revisions order what was written, but the last write need not be the living start's:
one of a start that has ended may have been under way. The times of the starts order them, as long
as the worker's clock was not put back between two. So a start with a greater time counts at once.
One with a smaller time, or one that was replaced already, counts when it is written a second time
with no write of the newer one in between: a worker that lives writes its entry again and again,
one that has ended has at most one write under way.

>>> starts = WorkerStarts()
>>> first, second = Incarnation("i-1", 9_000), Incarnation("i-1", 5_000)
>>> [starts.take(*read).value for read in ((first, 1), (second, 2), (second, 3), (first, 4))]
['first', 'doubted', 'again', 'doubted']
"""

from enum import Enum

from bellweir.hosted.incarnation import Incarnation

MOST_WORKERS = 16_384
"""Workers remembered, those that are gone included; the ones that started longest ago go first."""
MOST_FORMER = 8
"""Former starts remembered of one worker."""


class StartVerdict(Enum):
    """What a reading of a worker's start means."""

    FIRST = "first"
    """No other start of the worker is known."""
    KNOWN = "known"
    AGAIN = "again"
    """The worker has started again."""
    OLDER = "older"
    """An older reading: a newer start is known."""
    DOUBTED = "doubted"
    """Probably a late write of a former start; it counts if it is written again."""


class _Starts:
    __slots__ = ("doubted", "doubted_revision", "former", "newest", "revision")

    def __init__(self, newest: Incarnation, revision: int, former: tuple[Incarnation, ...]) -> None:
        self.newest = newest
        self.revision = revision
        """Highest store revision at which it was seen; 0 where only a peer told of it."""
        self.former = former
        self.doubted: Incarnation | None = None
        self.doubted_revision = 0

    def is_newer_than(self, read: Incarnation, revision: int) -> bool:
        """Whether a reading is older than what is known."""
        if revision:
            return revision < self.revision
        return self.revision > 0 or read.born_ms < self.newest.born_ms

    def is_replaced_by(self, read: Incarnation, revision: int) -> bool:
        """Whether a start read at a revision counts from now on."""
        if not self.revision:
            return True
        if read.born_ms > self.newest.born_ms and read not in self.former:
            return True
        return read == self.doubted and revision > self.doubted_revision

    def doubt(self, read: Incarnation, revision: int) -> None:
        """Wait for a start to be written again."""
        if read != self.doubted:
            self.doubted, self.doubted_revision = read, revision


class WorkerStarts:
    """Starts by worker. Not safe for threads.

    A worker that does not tell its start is not followed: each reading of it is `KNOWN`.
    """

    __slots__ = ("_workers",)

    def __init__(self) -> None:
        self._workers: dict[str, _Starts] = {}

    def take(self, read: Incarnation, revision: int) -> StartVerdict:
        """Judge a start that was read at a store revision; 0 where a peer told of it without one.

        What peers tell without a revision counts only until the store itself has been read.
        """
        if not read.born_ms:
            return StartVerdict.KNOWN
        known = self._workers.get(read.instance)
        if known is None:
            self._remember(_Starts(read, revision, ()))
            return StartVerdict.FIRST
        if read == known.newest:
            known.revision = max(known.revision, revision)
            known.doubted = None
            return StartVerdict.KNOWN
        if known.is_newer_than(read, revision):
            return StartVerdict.OLDER
        if not known.is_replaced_by(read, revision):
            known.doubt(read, revision)
            return StartVerdict.DOUBTED
        former = (*known.former, known.newest)[-MOST_FORMER:] if known.revision else ()
        self._remember(_Starts(read, revision, former))
        return StartVerdict.AGAIN

    def newest(self, instance: str) -> Incarnation | None:
        """The newest known start of a worker."""
        known = self._workers.get(instance)
        return known.newest if known is not None else None

    def _remember(self, starts: _Starts) -> None:
        self._workers.pop(starts.newest.instance, None)
        self._workers[starts.newest.instance] = starts
        if len(self._workers) > MOST_WORKERS:
            del self._workers[next(iter(self._workers))]


class AddressStarts:
    """Which incarnation of which worker was met last at each address. Not safe for threads.

    >>> addresses = AddressStarts()
    >>> addresses.is_other("h:1", Incarnation("i-1", 5))
    False
    >>> addresses.is_other("h:1", Incarnation("i-1", 5)), addresses.is_other(
    ...     "h:1", Incarnation("i-1", 7)
    ... )
    (False, True)
    """

    __slots__ = ("_met",)

    def __init__(self) -> None:
        self._met: dict[str, Incarnation] = {}

    def is_other(self, address: str, now_there: Incarnation) -> bool:
        """Note who is at an address; whether somebody else was there before."""
        before = self._met.pop(address, None)
        self._met[address] = now_there
        if len(self._met) > MOST_WORKERS:
            del self._met[next(iter(self._met))]
        return before is not None and before != now_there
