"""Retry budget of a service, shared by all gateways.

Bounds retries by a share of first attempts, both counted over all gateways, since retries would
multiply the load of workers that fail because they are overloaded.

>>> budget = SharedRetryBudget(share=0.5)
>>> budget.allows(0.0, retries=RESERVE_RETRIES - 1), budget.allows(0.0, RESERVE_RETRIES)
(True, False)
>>> budget.allows(first_attempts=100.0, retries=55.0), SharedRetryBudget(share=0.0).allows(0.0, 1e9)
(True, True)
"""

RESERVE_RETRIES = 10.0
"""For services with so few requests that the share of them is less than one."""


class SharedRetryBudget:
    """Decides whether a request may be retried.

    Retries of other gateways count once gossip has reported them; until then the bound may be
    exceeded. A `routing.retry_budget.RetryBudget` per gateway would grant its reserve many times.
    """

    __slots__ = ("share",)

    def __init__(self, share: float) -> None:
        """`share` of first attempts; 0 for no bound."""
        self.share = share

    def allows(self, first_attempts: float, retries: float) -> bool:
        """Whether one more retry is within the budget, given the recent counts."""
        return not self.share or retries + 1.0 <= RESERVE_RETRIES + self.share * first_attempts
