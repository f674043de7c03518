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

MAXIMUM_TEXTS = 1_024
"""Beginnings of texts that are kept; the oldest goes first."""


@dataclass(frozen=True)
class _Beginning:
    tenant: str
    item: JobItem
    pieces: tuple[str, ...]
    last_event_id: int | None
    events: int
    versions: tuple[int, ...]
    is_whole: bool


class CarriedTexts:
    """Not safe for threads: its owner holds a lock."""

    def __init__(self) -> None:
        self._beginnings: OrderedDict[str, _Beginning] = OrderedDict()

    def keep(self, progress: ItemProgress) -> None:
        """Keep what was made of an item whose job has ended."""
        if not progress.pieces:
            return
        self._beginnings[progress.item.id] = _Beginning(
            progress.job.tenant,
            progress.item,
            tuple(progress.pieces),
            progress.last_event_id,
            progress.events,
            tuple(progress.versions),
            _is_whole(progress),
        )
        while len(self._beginnings) > MAXIMUM_TEXTS:
            self._beginnings.popitem(last=False)

    def forget(self) -> None:
        """Forget everything: another node leads."""
        self._beginnings.clear()

    def hand_on(self, progress: ItemProgress, jobs: Iterable[JobState]) -> None:
        """Give a new item what is known of its text, if that fits its job."""
        beginning = self._beginnings.pop(progress.item.id, None) or _listed_text(progress, jobs)
        if beginning is None or not _fits(beginning, progress):
            return
        progress.pieces = list(beginning.pieces)
        progress.last_event_id = beginning.last_event_id
        progress.events = beginning.events
        progress.versions = list(beginning.versions)
        if beginning.is_whole:
            progress.text_is_whole()


def _is_whole(progress: ItemProgress) -> bool:
    result = progress.result
    return progress.stage is Stage.SCORE or (result is not None and result.is_complete)


def _listed_text(progress: ItemProgress, jobs: Iterable[JobState]) -> _Beginning | None:
    """The whole text of an item that an earlier job lists as complete."""
    item_id = progress.item.id
    for state in jobs:
        if state.job.id == progress.job.id or item_id not in state.listed:
            continue
        for result in state.results:
            if result.item_id == item_id and result.is_complete:
                item = state.items[item_id]
                pieces = (result.whole_text,)
                tenant = state.job.tenant
                return _Beginning(tenant, item, pieces, None, 0, result.versions, True)
    return None


def _fits(beginning: _Beginning, progress: ItemProgress) -> bool:
    before, now = beginning.item, progress.item
    is_same = (before.path, before.headers, before.body) == (now.path, now.headers, now.body)
    is_same = is_same and beginning.tenant == progress.job.tenant
    versions = beginning.versions
    is_fresh = bool(versions) and min(versions) >= progress.job.minimum_version
    is_pure = not progress.route.single_version or len(versions) == 1
    return is_same and is_fresh and is_pure
