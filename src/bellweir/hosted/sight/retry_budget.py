"""The budget of further tries of a service, for all gateways together.

The load: a service whose workers fail or refuse because they have too much to do. Each request
then becomes several, and those finish the service off. So further tries, of whatever outcome the
first one had, stay within a share of first tries, both as all gateways have seen them lately.

`routing.retry_budget.RetryBudget` does not fit: it is one process's own and starts with ten
retries. Of 64 gateways that see a request in ten seconds each, that would be 640.

The share lets a third of a service's workers fail without a caller's notice: of `n` first tries
`n / 3` fail, and a third of the second ones again. The reserve is for a service that gets so few
requests that a share of them is less than one. What the other gateways tried in the seconds that
their word takes is not counted yet, so that the bound is passed by that much at most.

>>> budget = SharedRetryBudget(share=0.5)
>>> budget.allows(first=0.0, retries=RESERVE_RETRIES - 1), budget.allows(0.0, RESERVE_RETRIES)
(True, False)
>>> budget.allows(first=100.0, retries=55.0), SharedRetryBudget(share=0.0).allows(0.0, 1e9)
(True, True)
"""

RESERVE_RETRIES = 10.0


class SharedRetryBudget:
    """Decides whether a further try may be made."""

    __slots__ = ("share",)

    def __init__(self, share: float) -> None:
        """`share` of first tries; 0: no bound."""
        self.share = share

    def allows(self, first: float, retries: float) -> bool:
        """Whether one more is within the budget, with what was seen of each kind lately."""
        return not self.share or retries + 1.0 <= RESERVE_RETRIES + self.share * first
