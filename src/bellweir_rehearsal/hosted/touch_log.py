"""Which machines were struck when, so that what clients see can be judged by it."""

import math
import threading
import time
from collections.abc import Iterable

CORE = "core"
"""Name for the platform's store and the store machines together."""
CONTACT_S = 3.0
"""Time for which a machine must have been left alone to count as in touch (`contactMs`)."""


class Strike:
    """One disruption of some machines; `until_s` is None while it lasts."""

    __slots__ = ("names", "planned", "since_s", "until_s")

    def __init__(self, names: frozenset[str], planned: bool, since_s: float) -> None:
        self.names = names
        self.planned = planned
        self.since_s = since_s
        self.until_s: float | None = None


class TouchLog:
    """Disruptions with their times of the monotonic clock. Safe for threads.

    >>> log = TouchLog()
    >>> strike = log.begin(["gateway-0"], now_s=10.0)
    >>> log.end(strike, now_s=11.0)
    >>> log.left_alone(["gateway-0"], 12.0, 13.0), log.left_alone(["gateway-0"], 14.5, 15.0)
    (False, True)
    """

    __slots__ = ("_lock", "_strikes")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._strikes: list[Strike] = []

    def begin(
        self, names: Iterable[str], *, planned: bool = False, now_s: float | None = None
    ) -> Strike:
        """Note that machines are struck from now on."""
        strike = Strike(frozenset(names), planned, time.monotonic() if now_s is None else now_s)
        with self._lock:
            self._strikes.append(strike)
        return strike

    def end(self, strike: Strike, now_s: float | None = None) -> None:
        """Note that they are left alone again."""
        with self._lock:
            strike.until_s = time.monotonic() if now_s is None else now_s

    def left_alone(
        self, names: Iterable[str], since_s: float, until_s: float, *, planned_too: bool = True
    ) -> bool:
        """Whether nothing struck them from `CONTACT_S` before `since_s` to `until_s`.

        Without `planned_too` planned work is passed over.
        """
        wanted = set(names)
        with self._lock:
            return not any(
                strike.names & wanted
                and (planned_too or not strike.planned)
                and strike.since_s <= until_s
                and (strike.until_s is None or strike.until_s >= since_s - CONTACT_S)
                for strike in self._strikes
            )

    def undisturbed_since_s(self, now_s: float | None = None) -> float:
        """Time since which nothing unplanned has struck for `CONTACT_S`; infinite while it does.

        >>> log = TouchLog()
        >>> strike = log.begin([], now_s=10.0)
        >>> log.undisturbed_since_s(11.0)
        inf
        >>> log.end(strike, now_s=12.0)
        >>> log.undisturbed_since_s(14.0), log.undisturbed_since_s(15.5)
        (inf, 15.0)
        """
        at_s = time.monotonic() if now_s is None else now_s
        with self._lock:
            ends_s = [
                math.inf if strike.until_s is None else strike.until_s
                for strike in self._strikes
                if not strike.planned
            ]
        since_s = max(ends_s, default=-math.inf) + CONTACT_S
        return since_s if since_s <= at_s else math.inf

    def struck_together(
        self, names: Iterable[str], most: int, within_s: float, now_s: float | None = None
    ) -> bool:
        """Whether more than `most` of some machines are struck by one disruption, or just were.

        `within_s` is the time for which it still counts after its end.

        >>> log = TouchLog()
        >>> strike = log.begin(["store-0", "store-1"], now_s=10.0)
        >>> log.end(strike, now_s=11.0)
        >>> stores = ["store-0", "store-1", "store-2"]
        >>> log.struck_together(stores, 1, 5.0, 15.9), log.struck_together(stores, 1, 5.0, 16.1)
        (True, False)
        >>> log.struck_together(stores, 2, 5.0, 15.9)
        False
        """
        wanted = set(names)
        from_s = (time.monotonic() if now_s is None else now_s) - within_s
        with self._lock:
            return any(
                len(strike.names & wanted) > most
                and (strike.until_s is None or strike.until_s >= from_s)
                for strike in self._strikes
            )

    def is_struck_for(self, name: str, seconds: float, now_s: float | None = None) -> bool:
        """Whether a disruption of a machine has lasted for so long."""
        since_s = (time.monotonic() if now_s is None else now_s) - seconds
        with self._lock:
            return any(
                name in strike.names and strike.until_s is None and strike.since_s <= since_s
                for strike in self._strikes
            )
