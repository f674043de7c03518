"""Results that this gateway has read, by job: positions never change, so they can be shown again.

A reading from an earlier position needs no word of the ledger then, and a reading behind what is
known asks for the new results only. What a client has been shown here stays readable here while
the ledger has no leader.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass, field

from bellweir.hosted.batches.state import ItemResult, take_page

MAXIMUM_BYTES = 12 << 20
"""Text kept of all jobs; the job that was read longest ago goes first."""


@dataclass
class _Known:
    total: int
    results: list[ItemResult] = field(default_factory=list)
    size: int = 0


class ResultCache:
    """Safe for threads."""

    def __init__(self, maximum_bytes: int = MAXIMUM_BYTES) -> None:
        self._maximum_bytes = maximum_bytes
        self._lock = threading.Lock()
        self._jobs: OrderedDict[str, _Known] = OrderedDict()
        self._size = 0

    def page(
        self, job_id: str, after: int, page_bytes: int
    ) -> tuple[int, tuple[ItemResult, ...]] | None:
        """Total and results from a position on; None when none is known there."""
        with self._lock:
            known = self._jobs.get(job_id)
            if known is None or after >= len(known.results):
                return None
            self._jobs.move_to_end(job_id)
            return known.total, take_page(known.results, after, page_bytes)

    def add(self, job_id: str, after: int, total: int, results: tuple[ItemResult, ...]) -> None:
        """Keep results read from a position on, if they join what is known."""
        with self._lock:
            known = self._jobs.setdefault(job_id, _Known(total))
            self._jobs.move_to_end(job_id)
            if after != len(known.results):
                return
            size = sum(result.size for result in results)
            known.results.extend(results)
            known.size += size
            self._size += size
            while self._size > self._maximum_bytes and self._jobs:
                _, dropped = self._jobs.popitem(last=False)
                self._size -= dropped.size
