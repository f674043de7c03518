"""Recognizes a request that comes again, by a digest of what a worker sees of it.

>>> first = fingerprint("POST", "h", "/a?b=1", "dealers", b"body")
>>> first == fingerprint("POST", "h", "/a?b=1", "dealers", b"body")
True
>>> first == fingerprint("POST", "h", "/a?b=1", "others", b"body")
False
>>> len(first)
20
"""

import hashlib

FINGERPRINT_BYTES = 20
"""160 bits: nobody can find another request with a given one's fingerprint."""
PERSON = b"bellweir-crash"
LENGTH_BYTES = 8

Fingerprint = bytes
"""Digest of a request; holds nothing of its contents."""


def fingerprint(method: str, host: str, path: str, tenant: str, body: bytes) -> Fingerprint:
    """Return the fingerprint of a request.

    `path` includes the query. `body` is the whole body, or the beginning of one that is too long
    to be kept. Each part is preceded by its length, so that no two requests join to the same bytes.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, person=PERSON)
    for part in (method, host.lower(), path, tenant):
        _add(digest, part.encode("utf-8", "surrogateescape"))
    _add(digest, body)
    return digest.digest()


def _add(digest: "hashlib.blake2b", part: bytes) -> None:
    digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
    digest.update(part)
