"""The request of an item's stage: the one that generates its text, or the one that scores it."""

from functools import cached_property

from bellweir.hosted.crashes.fingerprint import Fingerprint, fingerprint


class StageRequest:
    """A request that is recognized when it comes again, in any job.

    >>> first = StageRequest("item-1", "h", "/draft/1", "dealers", b"prompt")
    >>> first.fingerprint == StageRequest("item-1", "h", "/draft/1", "dealers", b"q").fingerprint
    False
    """

    is_owed = True

    def __init__(self, request_id: str, host: str, path: str, tenant: str, body: bytes) -> None:
        self.request_id = request_id
        self.tenant = tenant
        self._host = host
        self._path = path
        self._body = body

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """Digest by which it is recognized."""
        # Items of equal contents are judged one by one: each has an id that lasts.
        content = self.request_id.encode() + b"\n" + self._body
        return fingerprint("POST", self._host, self._path, self.tenant, content)
