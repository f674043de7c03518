"""How late this node's own task runs; a late node must not blame others for its own lateness."""

from bellweir.membership import pace


class Lateness:
    """Remembers for some periods how late the task woke."""

    def __init__(self, period_s: float, start_s: float) -> None:
        self._period_s = period_s
        self._last_wake_s = start_s
        self._lag_s = 0.0

    def notice(self, now_s: float, due_s: float) -> float:
        """Take a wake that was due at `due_s`; return how late it is."""
        late_s = now_s - max(self._last_wake_s, due_s)
        self._last_wake_s = now_s
        self._lag_s = max(self._lag_s, late_s)
        return late_s

    def forget_some(self) -> None:
        """Let the memory fade; once in each period."""
        self._lag_s *= pace.LAG_DECAY

    def is_stall(self, late_s: float) -> bool:
        """Whether a wake was so late that answers may have been missed."""
        return late_s >= pace.STALL_PERIODS * self._period_s

    def is_late(self) -> bool:
        """Whether the task ran late lately."""
        return self._lag_s > pace.LATE_PERIODS * self._period_s

    def patience_s(self) -> float:
        """Return the extra time to give others' answers."""
        return min(pace.LAG_FACTOR * self._lag_s, pace.MAXIMUM_PATIENCE_PERIODS * self._period_s)
