"""Results that this gateway has read, by job: positions never change, so they can be shown again.

A reading from an earlier position needs no word of the ledger then, and a reading behind what is
known asks for the new results only. What a client has been shown here stays readable here while
the ledger has no leader.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass, field

from bellweir.hosted.batches.state import ItemResult, take_page

CacheKey = tuple[str, str]
"""Tenant that reads, and id of the job: what one tenant has been shown proves nothing for others.
Joined to one text, tenant `a` with job `b/c` would be tenant `a/b` with job `c`."""
MAX_BYTES = 12 << 20
"""Text kept of all jobs; the job that was read longest ago goes first."""


@dataclass
class _Known:
    total: int
    results: list[ItemResult] = field(default_factory=list)
    size: int = 0


class ResultCache:
    """Safe for threads."""

    def __init__(self, maximum_bytes: int = MAX_BYTES) -> None:
        self._maximum_bytes = maximum_bytes
        self._lock = threading.Lock()
        self._jobs: OrderedDict[CacheKey, _Known] = OrderedDict()
        self._size = 0

    def page(
        self, key: CacheKey, after: int, page_bytes: int
    ) -> tuple[int, tuple[ItemResult, ...]] | None:
        """Total and results from a position on; None when none is known there.

        Behind the last position of a job there never is a result, so that this is known, too.
        """
        with self._lock:
            known = self._jobs.get(key)
            if known is None or len(known.results) <= after < known.total:
                return None
            self._jobs.move_to_end(key)
            return known.total, take_page(known.results, after, page_bytes)

    def add(self, key: CacheKey, after: int, total: int, results: tuple[ItemResult, ...]) -> None:
        """Keep results read from a position on, if they join what is known."""
        with self._lock:
            known = self._jobs.get(key) or _Known(total)
            # An empty entry has no size, so that nothing would ever drop it.
            if after != len(known.results) or not results:
                return
            self._jobs[key] = known
            self._jobs.move_to_end(key)
            size = sum(result.size for result in results)
            known.results.extend(results)
            known.size += size
            self._size += size
            while self._size > self._maximum_bytes and self._jobs:
                _, dropped = self._jobs.popitem(last=False)
                self._size -= dropped.size
