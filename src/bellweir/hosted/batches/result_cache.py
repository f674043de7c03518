"""Cache of the results that this gateway has read, by job.

Since positions never change, cached results are served without the ledger, also while it has no
leader, and only results after them are read from it.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass, field

from bellweir.hosted.batches.state import ItemResult, take_page

CacheKey = tuple[str, str]
"""Reading tenant and job id, as not all tenants may read a job. A tuple, since joining both to one
string would be ambiguous."""
MAX_BYTES = 12 << 20
"""Maximum size of all cached results; the least recently used job is evicted."""


@dataclass
class _CachedJob:
    total: int
    results: list[ItemResult] = field(default_factory=list)
    size: int = 0


class ResultCache:
    """Thread-safe LRU cache of results."""

    def __init__(self, maximum_bytes: int = MAX_BYTES) -> None:
        self._maximum_bytes = maximum_bytes
        self._lock = threading.Lock()
        self._jobs: OrderedDict[CacheKey, _CachedJob] = OrderedDict()
        self._size = 0

    def page(
        self, key: CacheKey, after: int, page_bytes: int
    ) -> tuple[int, tuple[ItemResult, ...]] | None:
        """Return the total and the results from position `after` on; None on a cache miss.

        A position after the job's last one is a hit without results, as none can ever follow.
        """
        with self._lock:
            cached = self._jobs.get(key)
            if cached is None or len(cached.results) <= after < cached.total:
                return None
            self._jobs.move_to_end(key)
            return cached.total, take_page(cached.results, after, page_bytes)

    def add(self, key: CacheKey, after: int, total: int, results: tuple[ItemResult, ...]) -> None:
        """Add results read from position `after` on, if they directly follow the cached ones."""
        with self._lock:
            cached = self._jobs.get(key) or _CachedJob(total)
            # An empty entry has no size and would never be evicted.
            if after != len(cached.results) or not results:
                return
            self._jobs[key] = cached
            self._jobs.move_to_end(key)
            size = sum(result.size for result in results)
            cached.results.extend(results)
            cached.size += size
            self._size += size
            while self._size > self._maximum_bytes and self._jobs:
                _, evicted = self._jobs.popitem(last=False)
                self._size -= evicted.size
