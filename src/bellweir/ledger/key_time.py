"""The time at which an idempotency key was made, for keys that carry it."""

import uuid

UUID_VERSION_WITH_TIME = 7


def time_of_key(key: str) -> float | None:
    """Seconds since 1970 in a UUID of version 7 (RFC 9562) at the key's end; None without one.

    Keys may have a prefix, such as a pool's name, that ends in `/`.
    """
    try:
        parsed = uuid.UUID(key.rsplit("/", 1)[-1])
    except ValueError:
        return None
    if parsed.version != UUID_VERSION_WITH_TIME:
        return None
    return (parsed.int >> 80) / 1000.0
