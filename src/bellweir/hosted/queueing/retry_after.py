"""Retry-After for refused clients.

Spreads the retries of a refused burst, starting when the requests in flight are expected to have
drained to what can be answered in time.
"""

import random
from collections.abc import Callable

from bellweir.hosted.queueing.interface import CapacityEstimate, RetryAfterPolicy

MAX_REMAINING_SHARE = 1 / 3
"""Clients ignore a Retry-After beyond this share of their remaining time."""
UNKNOWN_RATE_S = 0.2
"""Retry-After while the service rate is unknown."""
NO_WORKERS_S = 0.5
"""Retry-After while the service has no workers."""
JITTER_SHARE = 0.5
"""Maximum spread as a share of the expected time."""


class RateBasedRetryAfter(RetryAfterPolicy):
    """Expected time until there is capacity, from the service rate, plus a spread.

    Clients with the least time left retry first, others up to half as long again later.

    >>> policy = RateBasedRetryAfter(lambda: 0.0)
    >>> estimate = CapacityEstimate(90, 30, service_rate_per_s=100.0, own_share=0.1)
    >>> policy.retry_after_s("cards", estimate, 9.0, 0.0, 0.0)
    0.6
    >>> policy.retry_after_s("cards", estimate, 1.5, 1.0, 0)
    0.5
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
        """Retry-After in seconds."""
        expected_s = until_capacity_s(estimate)
        spread = JITTER_SHARE * (remaining_share + self._random_share()) / 2
        # A client that retries after its deadline gets no answer.
        return min(MAX_REMAINING_SHARE * remaining_s, expected_s * (1 + spread))


def until_capacity_s(estimate: CapacityEstimate) -> float:
    """Expected seconds until a service can answer in time again.

    >>> until_capacity_s(CapacityEstimate(90, 30, 100.0, 0.1))
    0.6
    >>> until_capacity_s(CapacityEstimate(0, 0, 0.0, 1.0))
    0.5
    """
    if estimate.service_rate_per_s <= 0:
        return (
            UNKNOWN_RATE_S if estimate.usable_slots > 0 or estimate.occupied > 0 else NO_WORKERS_S
        )
    return max(
        1 / estimate.service_rate_per_s,
        (estimate.occupied - estimate.usable_slots) / estimate.service_rate_per_s,
    )
