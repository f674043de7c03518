"""Texts of items that ended unfinished, for the later job that hands in the same items again.

Groups that were not whole when a trainer went on may come again under the same ids. What was made
of their texts is used if its versions fit the later job: a text that is whole is only scored
again, a beginning is gone on with behind its last event.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.batches.state import JobItem, JobState

MAX_TEXTS = 1_024
"""Beginnings of texts that are kept; the oldest goes first."""


@dataclass(frozen=True)
class _CachedText:
    tenant: str
    item: JobItem
    pieces: tuple[str, ...]
    last_event_id: int | None
    events: int
    versions: tuple[int, ...]
    is_whole: bool


class TextCache:
    """Not safe for threads: its owner holds a lock."""

    def __init__(self) -> None:
        self._texts: OrderedDict[str, _CachedText] = OrderedDict()

    def add(self, progress: ItemProgress) -> None:
        """Keep what was made of an item whose job has ended."""
        if not progress.pieces:
            return
        self._texts[progress.item.id] = _CachedText(
            progress.job.tenant,
            progress.item,
            tuple(progress.pieces),
            progress.last_event_id,
            progress.events,
            tuple(progress.versions),
            _is_whole(progress),
        )
        while len(self._texts) > MAX_TEXTS:
            self._texts.popitem(last=False)

    def clear(self) -> None:
        """Forget everything: another node leads."""
        self._texts.clear()

    def restore(self, progress: ItemProgress, jobs: Iterable[JobState]) -> None:
        """Give a new item what is known of its text, if that fits its job."""
        beginning = self._texts.pop(progress.item.id, None) or _listed_text(progress, jobs)
        if beginning is None or not _fits(beginning, progress):
            return
        progress.pieces = list(beginning.pieces)
        progress.last_event_id = beginning.last_event_id
        progress.events = beginning.events
        progress.versions = list(beginning.versions)
        if beginning.is_whole:
            progress.complete_generation()


def _is_whole(progress: ItemProgress) -> bool:
    result = progress.result
    return progress.stage is Stage.SCORING or (result is not None and result.is_complete)


def _listed_text(progress: ItemProgress, jobs: Iterable[JobState]) -> _CachedText | None:
    """The whole text of an item that an earlier job lists as complete."""
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


def _fits(beginning: _CachedText, progress: ItemProgress) -> bool:
    before, now = beginning.item, progress.item
    is_same = (before.path, before.headers, before.body) == (now.path, now.headers, now.body)
    is_same = is_same and beginning.tenant == progress.job.tenant
    versions = beginning.versions
    is_fresh = bool(versions) and min(versions) >= progress.job.minimum_version
    is_pure = not progress.route.single_version or len(versions) == 1
    return is_same and is_fresh and is_pure
