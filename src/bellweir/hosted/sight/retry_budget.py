"""Retry budget of a service, shared by all gateways.

If workers fail or refuse because they are overloaded, retries multiply the load. Retries of any
cause are therefore bounded by a share of the first attempts, both counted over all gateways.
`routing.retry_budget.RetryBudget` is local to one process and starts with a reserve of its own,
which would add up over many gateways.

The reserve serves services with so few requests that a share of them is less than one. Retries of
other gateways count once gossip has reported them, so the bound may be exceeded by the retries made
in the meantime.

>>> budget = SharedRetryBudget(share=0.5)
>>> budget.allows(0.0, retries=RESERVE_RETRIES - 1), budget.allows(0.0, RESERVE_RETRIES)
(True, False)
>>> budget.allows(first_attempts=100.0, retries=55.0), SharedRetryBudget(share=0.0).allows(0.0, 1e9)
(True, True)
"""

RESERVE_RETRIES = 10.0


class SharedRetryBudget:
    """Decides whether a request may be retried."""

    __slots__ = ("share",)

    def __init__(self, share: float) -> None:
        """`share` of first attempts; 0 for no bound."""
        self.share = share

    def allows(self, first_attempts: float, retries: float) -> bool:
        """Whether one more retry is within the budget, given the recent counts."""
        return not self.share or retries + 1.0 <= RESERVE_RETRIES + self.share * first_attempts
