"""Who may use a deployment, as typed values and an abstract class."""

from abc import ABC, abstractmethod
from enum import Enum


class Tenant:
    """A customer of the operator, known by the keys that its clients carry.

    >>> Tenant("dealers", priority=1)
    Tenant('dealers', priority=1)
    """

    __slots__ = ("name", "priority")

    def __init__(self, name: str, priority: int | None = None) -> None:
        """`priority` goes before that of the route, 0 first; None: the route's counts."""
        self.name = name
        self.priority = priority

    def __repr__(self) -> str:
        return f"Tenant({self.name!r}, priority={self.priority!r})"


class Verdict(Enum):
    """Whether a request may be served, as far as its key goes."""

    ALLOWED = "allowed"
    REFUSED = "refused"
    """The configuration in force has no such key, and it is the newest one."""
    UNDECIDED = "undecided"
    """The key is unknown here, but a newer configuration may have it."""


class Admission:
    """What is known of the sender of one request."""

    __slots__ = ("tenant", "verdict")

    def __init__(self, verdict: Verdict, tenant: Tenant | None = None) -> None:
        """`tenant` is None for a request that needs no key and carries none."""
        self.verdict = verdict
        self.tenant = tenant

    @property
    def tenant_name(self) -> str:
        """Name of the tenant; empty without one."""
        return self.tenant.name if self.tenant is not None else ""


class Keys(ABC):
    """The keys of one configuration."""

    @property
    @abstractmethod
    def are_required(self) -> bool:
        """Whether requests need a key, unless their route is public."""

    @abstractmethod
    def tenant_of(self, key: str) -> Tenant | None:
        """Return whose key this is; None for a key that the configuration lacks."""
