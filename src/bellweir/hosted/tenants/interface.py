"""Tenants, their API keys and the admission of requests."""

from abc import ABC, abstractmethod
from enum import Enum


class Tenant:
    """A customer of the operator, identified by the API keys of its clients.

    >>> Tenant("dealers", priority=1)
    Tenant('dealers', priority=1)
    """

    __slots__ = ("name", "priority")

    def __init__(self, name: str, priority: int | None = None) -> None:
        """`priority` overrides that of the route, 0 is the highest; None: no override."""
        self.name = name
        self.priority = priority

    def __repr__(self) -> str:
        return f"Tenant({self.name!r}, priority={self.priority!r})"


class Verdict(Enum):
    """Result of checking the API key of a request."""

    ALLOWED = "allowed"
    REFUSED = "refused"
    """The key is not in the configuration, which is current."""
    UNDECIDED = "undecided"
    """The key can't be judged here, since the configuration may be out of date."""


class Admission:
    """Verdict on a request, and its tenant."""

    __slots__ = ("tenant", "verdict")

    def __init__(self, verdict: Verdict, tenant: Tenant | None = None) -> None:
        """`tenant` is None if the request has no valid key."""
        self.verdict = verdict
        self.tenant = tenant

    @property
    def tenant_name(self) -> str:
        """Name of the tenant, empty if there is none."""
        return self.tenant.name if self.tenant is not None else ""


class Keys(ABC):
    """The keys of one configuration."""

    @property
    @abstractmethod
    def are_required(self) -> bool:
        """Whether requests need a key, unless their route is public."""

    @abstractmethod
    def tenant_of(self, key: str) -> Tenant | None:
        """Return the tenant of a key; None if the configuration does not have it."""
