"""API keys of one configuration, stored as keyed digests."""

import hashlib
import os
from collections.abc import Iterable, Mapping

from bellweir.hosted.tenants.interface import Keys, Tenant

DIGEST_BYTES = 16
SCHEME = "bearer"
_DIGEST_KEY = os.urandom(32)
"""Random per process, so that look-up times reveal nothing about the known keys."""


class DigestedKeys(Keys):
    """Maps the digests of keys to tenants.

    >>> keys = DigestedKeys([(Tenant("dealers"), ("k1", "k2"))])
    >>> keys.tenant_of("k2")
    Tenant('dealers', priority=None)
    >>> keys.tenant_of("k3") is None
    True
    """

    __slots__ = ("_tenants",)

    def __init__(self, tenants: Iterable[tuple[Tenant, Iterable[str]]]) -> None:
        """`tenants` are pairs of a tenant and its keys."""
        self._tenants: Mapping[bytes, Tenant] | None = None
        found = list(tenants)
        if found:
            self._tenants = {_digest(key): tenant for tenant, keys in found for key in keys}

    @property
    def are_required(self) -> bool:
        """Whether the configuration has tenants, including tenants without keys."""
        return self._tenants is not None

    def tenant_of(self, key: str) -> Tenant | None:
        """Return the tenant of a key; None if the key is unknown."""
        return None if self._tenants is None else self._tenants.get(_digest(key))


def parse_bearer_key(authorization: str | None) -> str | None:
    """Return the key of an `Authorization` header; None unless it uses the bearer scheme.

    >>> parse_bearer_key("Bearer k1")
    'k1'
    >>> parse_bearer_key("Basic azE=") is None
    True
    """
    scheme, _, key = (authorization or "").strip().partition(" ")
    return key.strip() or None if scheme.lower() == SCHEME else None


def _digest(key: str) -> bytes:
    content = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES, key=_DIGEST_KEY).digest()
