"""Items that must not run for a while: what is logged of them."""

from bellweir.events.log import emit
from bellweir.hosted.batches.progress import ItemProgress
from bellweir.hosted.log_events import ITEM_HELD

SUSPENDED = "suspended: engines ended under it"
"""Reason for which an item is held."""
LOG_INTERVAL_S = 5.0
"""Time between two lines about one item."""

ItemKey = tuple[str, str]


class HeldItems:
    """Called by the coordinator's task only, apart from `clear`."""

    def __init__(self) -> None:
        self._logged_s: dict[ItemKey, float] = {}

    def note(self, progress: ItemProgress, left_s: float, now_s: float) -> None:
        """Log that an item is held for `left_s` seconds; 0 if it is not."""
        key = _key(progress)
        if left_s <= 0 or now_s < self._logged_s.get(key, float("-inf")) + LOG_INTERVAL_S:
            return
        self._logged_s[key] = now_s
        emit(
            ITEM_HELD,
            request_id=progress.item.id,
            job=progress.job.id,
            stage=progress.stage.value,
            reason=SUSPENDED,
            left_s=round(left_s, 1),
        )

    def forget(self, progress: ItemProgress) -> None:
        """Drop what is known of an item that needs no attempt any more."""
        self._logged_s.pop(_key(progress), None)

    def clear(self) -> None:
        """Drop what is known of all items."""
        self._logged_s.clear()


def _key(progress: ItemProgress) -> ItemKey:
    return progress.job.id, progress.item.id
