"""Says when a refused client is to come back.

The load it answers: a burst that is refused and would come back as one. The time starts from that
in which the requests in hand shrink to those that are answered in time.
"""

import random
from collections.abc import Callable

from bellweir.hosted.queueing.interface import CapacityEstimate, RetryAfterPolicy

MAX_REMAINING_SHARE = 1 / 3
"""Clients keep to a time of at most this share of what they have left."""
UNKNOWN_RATE_S = 0.2
"""Time to come back while a service's times are not known."""
NO_WORKERS_S = 0.5
"""The same while it has no worker."""
JITTER_SHARE = 0.5
"""Share of the expected time over which clients that are refused together come back."""


class RateBasedRetryAfter(RetryAfterPolicy):
    """The time until there is room, from the rate at which places get free, and a spread.

    Clients with least time left come at its beginning, others up to half as long again later.

    >>> rates = RateBasedRetryAfter(lambda: 0.0)
    >>> estimate = CapacityEstimate(occupied=90, usable_slots=30, service_rate_per_s=100.0, own_share=0.1)
    >>> rates.retry_after_s("cards", estimate, 9.0, 0.0, 0.0), rates.retry_after_s("cards", estimate, 1.5, 1.0, 0)
    (0.6, 0.5)
    """

    def __init__(self, random_share: Callable[[], float] = random.random) -> None:
        """`random_share` draws from 0 to 1."""
        self._random_share = random_share

    def retry_after_s(
        self,
        service: str,
        estimate: CapacityEstimate,
        remaining_s: float,
        remaining_share: float,
        now_s: float,
    ) -> float:
        """Seconds after which to come back."""
        expected_s = until_capacity_s(estimate)
        spread = JITTER_SHARE * (remaining_share + self._random_share()) / 2
        # A client that does not come back within its time loses its answer.
        return min(MAX_REMAINING_SHARE * remaining_s, expected_s * (1 + spread))


def until_capacity_s(estimate: CapacityEstimate) -> float:
    """Expected seconds until a service can answer in time again.

    >>> until_capacity_s(CapacityEstimate(90, 30, 100.0, 0.1)), until_capacity_s(CapacityEstimate(0, 0, 0.0, 1.0))
    (0.6, 0.5)
    """
    if estimate.service_rate_per_s <= 0:
        return (
            UNKNOWN_RATE_S if estimate.usable_slots > 0 or estimate.occupied > 0 else NO_WORKERS_S
        )
    return max(
        1 / estimate.service_rate_per_s,
        (estimate.occupied - estimate.usable_slots) / estimate.service_rate_per_s,
    )
