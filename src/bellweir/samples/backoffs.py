"""Pauses before a slot is tried again after failed attempts."""

from dataclasses import dataclass

from bellweir.samples.attempts import AttemptEnd

SHORTEST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 5.0
CANCELLED = "cancelled"
"""Failure of an attempt that was cancelled on purpose; its slot need not wait."""


@dataclass
class _Backoff:
    failures: int
    """In a row."""
    not_before_s: float


class SlotBackoffs:
    """Pauses by step and slot; used by one thread. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._by_slot: dict[tuple[str, int], _Backoff] = {}

    def note(self, end: AttemptEnd, now_s: float) -> None:
        """Take up how an attempt ended; an engine's own wish to wait counts."""
        key = (end.step_id, end.slot)
        if end.failure is None or end.failure == CANCELLED:
            self._by_slot.pop(key, None)
            return
        last = self._by_slot.get(key)
        failures = last.failures + 1 if last is not None else 1
        pause_s = min(LONGEST_PAUSE_S, SHORTEST_PAUSE_S * 2 ** min(failures - 1, 10))
        pause_s = max(pause_s, end.retry_after_s or 0.0)
        self._by_slot[key] = _Backoff(failures, now_s + pause_s)

    def may_start(self, step_id: str, slot: int, now_s: float) -> bool:
        """Whether the slot's pause is over."""
        backoff = self._by_slot.get((step_id, slot))
        return backoff is None or now_s >= backoff.not_before_s

    def forget_all_but(self, step_ids: set[str]) -> None:
        """Drop the pauses of other steps."""
        self._by_slot = {key: entry for key, entry in self._by_slot.items() if key[0] in step_ids}
