"""Cache of texts of ended jobs, for later jobs that submit the same items again.

A trainer may submit the items of incomplete groups again under the same ids. A cached text is
reused if its weight versions fit the later job: a complete text is only scored, a partial text is
resumed after its last event.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.batches.state import JobItem, JobState

MAX_TEXTS = 1_024


@dataclass(frozen=True)
class _CachedText:
    tenant: str
    item: JobItem
    pieces: tuple[str, ...]
    last_event_id: int | None
    events: int
    versions: tuple[int, ...]
    is_complete: bool


class TextCache:
    """Texts by item id; evicts the oldest. Not thread-safe: the owner holds a lock."""

    def __init__(self) -> None:
        self._texts: OrderedDict[str, _CachedText] = OrderedDict()

    def add(self, progress: ItemProgress) -> None:
        """Add the text of an item whose job has ended."""
        if not progress.pieces:
            return
        self._texts[progress.item.id] = _CachedText(
            progress.job.tenant,
            progress.item,
            tuple(progress.pieces),
            progress.last_event_id,
            progress.events,
            tuple(progress.versions),
            _is_text_complete(progress),
        )
        while len(self._texts) > MAX_TEXTS:
            self._texts.popitem(last=False)

    def clear(self) -> None:
        """Remove all texts, since another node leads."""
        self._texts.clear()

    def restore(self, progress: ItemProgress, jobs: Iterable[JobState]) -> None:
        """Initialize a new item with its cached or recorded text, if that fits its job."""
        cached = self._texts.pop(progress.item.id, None) or _recorded_text(progress, jobs)
        if cached is None or not _fits(cached, progress):
            return
        progress.pieces = list(cached.pieces)
        progress.last_event_id = cached.last_event_id
        progress.events = cached.events
        progress.versions = list(cached.versions)
        if cached.is_complete:
            progress.complete_generation()


def _is_text_complete(progress: ItemProgress) -> bool:
    result = progress.result
    return progress.stage is Stage.SCORING or (result is not None and result.is_complete)


def _recorded_text(progress: ItemProgress, jobs: Iterable[JobState]) -> _CachedText | None:
    """Return the complete text of an item from the results of another job."""
    item_id = progress.item.id
    for state in jobs:
        if state.job.id == progress.job.id or item_id not in state.recorded_ids:
            continue
        for result in state.results:
            if result.item_id == item_id and result.is_complete:
                item = state.items[item_id]
                pieces = (result.full_text,)
                tenant = state.job.tenant
                return _CachedText(tenant, item, pieces, None, 0, result.versions, True)
    return None


def _fits(cached: _CachedText, progress: ItemProgress) -> bool:
    before, now = cached.item, progress.item
    is_same = (before.path, before.headers, before.body) == (now.path, now.headers, now.body)
    is_same = is_same and cached.tenant == progress.job.tenant
    versions = cached.versions
    is_fresh = bool(versions) and min(versions) >= progress.job.minimum_version
    is_pure = not progress.route.single_version or len(versions) == 1
    return is_same and is_fresh and is_pure
