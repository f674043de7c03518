"""Keys of one configuration, kept as digests."""

import hashlib
import os
from collections.abc import Iterable, Mapping

from bellweir.hosted.tenants.interface import Keys, Tenant

DIGEST_BYTES = 16
SCHEME = "bearer"
_SECRET = os.urandom(32)
"""Digests are keyed anew in each process: nobody outside can tell which table entry a key meets,
so that the time of a look-up tells nothing of the keys that are known."""


class DigestedKeys(Keys):
    """Looks keys up by their digest.

    >>> keys = DigestedKeys([(Tenant("dealers"), ("k1", "k2"))])
    >>> keys.tenant_of("k2")
    Tenant('dealers', priority=None)
    >>> keys.tenant_of("k3") is None
    True
    """

    __slots__ = ("_tenants",)

    def __init__(self, tenants: Iterable[tuple[Tenant, Iterable[str]]]) -> None:
        """Each tenant with its keys."""
        self._tenants: Mapping[bytes, Tenant] | None = None
        found = list(tenants)
        if found:
            self._tenants = {_digest(key): tenant for tenant, keys in found for key in keys}

    @property
    def are_required(self) -> bool:
        """Whether the configuration has tenants; one whose last key is gone counts, too."""
        return self._tenants is not None

    def tenant_of(self, key: str) -> Tenant | None:
        """Return whose key this is."""
        return None if self._tenants is None else self._tenants.get(_digest(key))


def key_of(authorization: str | None) -> str | None:
    """Return the key of an `Authorization` header; None without one of the bearer scheme.

    >>> key_of("Bearer k1")
    'k1'
    >>> key_of("Basic azE=") is None
    True
    """
    scheme, _, key = (authorization or "").strip().partition(" ")
    return key.strip() or None if scheme.lower() == SCHEME else None


def _digest(key: str) -> bytes:
    content = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES, key=_SECRET).digest()
