"""Says when a refused client is to come back.

The load it answers: a burst that is refused and would come back as one. The time starts from that
in which the requests in hand shrink to those that are answered in time.
"""

import random
from collections.abc import Callable

from bellweir.hosted.queueing.interface import Outlook, ReturnTimes

HONOURED_SHARE = 1 / 3
"""Clients keep to a time of at most this share of what they have left."""
WITHOUT_FIGURES_S = 0.2
"""Time to come back while a service's times are not known."""
WITHOUT_WORKERS_S = 0.5
"""The same while it has no worker."""
SPREAD = 0.5
"""Share of the expected time over which clients that are refused together come back."""


class FromRates(ReturnTimes):
    """The time until there is room, from the rate at which places get free, and a spread.

    Clients with least time left come at its beginning, others up to half as long again later.

    >>> rates = FromRates(lambda: 0.0)
    >>> outlook = Outlook(taken=90, places=30, rate_per_s=100.0, own_share=0.1)
    >>> rates.after_s("cards", outlook, 9.0, 0.0, 0.0), rates.after_s("cards", outlook, 1.5, 1.0, 0)
    (0.6, 0.5)
    """

    def __init__(self, random_share: Callable[[], float] = random.random) -> None:
        """`random_share` draws from 0 to 1."""
        self._random_share = random_share

    def after_s(
        self, service: str, outlook: Outlook, left_s: float, left_share: float, now_s: float
    ) -> float:
        """Seconds after which to come back."""
        expected_s = until_room_s(outlook)
        spread = SPREAD * (left_share + self._random_share()) / 2
        # A client that does not come back within its time loses its answer.
        return min(HONOURED_SHARE * left_s, expected_s * (1 + spread))


def until_room_s(outlook: Outlook) -> float:
    """Expected seconds until a service can answer in time again.

    >>> until_room_s(Outlook(90, 30, 100.0, 0.1)), until_room_s(Outlook(0, 0, 0.0, 1.0))
    (0.6, 0.5)
    """
    if outlook.rate_per_s <= 0:
        return WITHOUT_FIGURES_S if outlook.places > 0 or outlook.taken > 0 else WITHOUT_WORKERS_S
    return max(1 / outlook.rate_per_s, (outlook.taken - outlook.places) / outlook.rate_per_s)
