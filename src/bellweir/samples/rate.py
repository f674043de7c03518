"""Tokens a second of one attempt, lately."""

RATE_WINDOW_S = 5.0
"""A rate covers one to two windows, so that an old pause is soon forgotten."""


class RateMeter:
    """Rate between the last token and a mark that follows it; not shared between threads."""

    def __init__(self) -> None:
        self._older: tuple[float, int] | None = None
        self._newer: tuple[float, int] | None = None
        self._last: tuple[float, int] | None = None

    def reset(self) -> None:
        """Begin anew, on another engine."""
        self._older = self._newer = self._last = None

    def note(self, tokens: int, now_s: float) -> None:
        """Take up how many tokens there are now."""
        now = (now_s, tokens)
        self._last = now
        if self._older is None or self._newer is None:
            self._older = self._newer = now
        elif now_s - self._newer[0] >= RATE_WINDOW_S:
            self._older, self._newer = self._newer, now

    @property
    def tokens_per_s(self) -> float:
        """The rate; 0 before it is known."""
        if self._older is None or self._last is None:
            return 0.0
        span_s = self._last[0] - self._older[0]
        return (self._last[1] - self._older[1]) / span_s if span_s > 0 else 0.0
