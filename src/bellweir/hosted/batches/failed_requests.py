"""Replicated record of the requests of items that workers answered 500 or 422.

It outlasts the jobs that made them: a trainer hands the items of incomplete groups in again, under
the same ids, and the bound on an item's runs holds over all of its jobs.

>>> failed = FailedRequests()
>>> request = StageRequest("item-1", "h", "/draft/1", "dealers", b"prompt")
>>> failed.add(request, "job-1", ItemFailure("item-1", "text", "i-1", 0, mark=7))
>>> failed.add(request, "job-2", ItemFailure("item-1", "text", "i-2", 0, mark=8))
>>> [failure.job_id for failure in failed.failures_of(request)]
['job-1', 'job-2']
>>> failed.failures_of(StageRequest("item-1", "h", "/draft/1", "others", b"prompt"))
()
>>> failed.forget(request)
>>> failed.failures_of(request)
()
"""

from collections.abc import Callable, Iterable

import msgspec

from bellweir.hosted.batches.stage_request import StageRequest
from bellweir.hosted.incarnation import Incarnation

MAX_REQUEST_IDS = 4_096
"""Request ids that are kept besides those of open jobs; the one that failed longest ago goes."""
MAX_CONTENTS = 8
"""Requests of one id that are kept, which differ in host, path or body."""
MAX_FAILURES = 32
"""Failures of one request that are kept; it is given up long before."""

RequestKey = tuple[str, str]
"""Tenant and request id."""


class ItemFailure(msgspec.Struct, frozen=True):
    """An answer of 500 or 422 to a request of an item."""

    item_id: str
    stage: str
    """Value of the item's `Stage`."""
    instance: str
    born_ms: int
    """Worker that answered, and its start."""
    mark: int
    """Random; a failure that is recorded again counts once."""
    job_id: str = ""
    """Job of the run; empty in what earlier releases recorded."""
    is_final: bool = False
    """Whether the answer was 422: the request can never be done."""

    @property
    def worker(self) -> Incarnation:
        """The worker that answered."""
        return Incarnation(self.instance, self.born_ms)


class FailedRequest(msgspec.Struct, frozen=True):
    """A request that failed, and its failures in the order in which they were recorded."""

    tenant: str
    request_id: str
    fingerprint: bytes
    job_id: str
    """The latest job that has the request."""
    failures: tuple[ItemFailure, ...]

    @property
    def key(self) -> RequestKey:
        """Tenant and id."""
        return self.tenant, self.request_id


class FailedRequests:
    """Failed requests by tenant and id, those that failed or came again last at the end.

    Changed by applied commands only, each in the same way on every replica. Readers on other
    threads see a whole value, since all values are immutable.
    """

    __slots__ = ("_found",)

    def __init__(self) -> None:
        self._found: dict[RequestKey, tuple[FailedRequest, ...]] = {}

    def __len__(self) -> int:
        """Return the number of request ids."""
        return len(self._found)

    def failures_of(self, request: StageRequest) -> tuple[ItemFailure, ...]:
        """Return the failures of a request, in all jobs."""
        known = self._known(request)
        return known.failures if known is not None else ()

    def add(self, request: StageRequest, job_id: str, failure: ItemFailure) -> None:
        """Record a failure, unless it is known."""
        known = self._known(request)
        failures = known.failures if known is not None else ()
        is_known = any(one.mark == failure.mark for one in failures)
        if is_known or len(failures) >= MAX_FAILURES:
            return
        failure = msgspec.structs.replace(failure, job_id=job_id)
        self._put(
            FailedRequest(
                request.tenant,
                request.request_id,
                request.fingerprint,
                job_id,
                (*failures, failure),
            )
        )

    def hold(self, request: StageRequest, job_id: str) -> None:
        """Note that a job has the request, so that it is kept while the job is open."""
        known = self._known(request)
        if known is not None:
            self._put(msgspec.structs.replace(known, job_id=job_id))

    def forget(self, request: StageRequest) -> None:
        """Drop a request that has succeeded."""
        key = (request.tenant, request.request_id)
        others = self._others(key, request.fingerprint) if key in self._found else ()
        if others:
            self._found[key] = others
        else:
            self._found.pop(key, None)

    def evict(self, is_open: Callable[[str], bool]) -> None:
        """Drop what exceeds the bound, oldest first; requests of open jobs stay."""
        surplus = len(self._found) - MAX_REQUEST_IDS
        if surplus <= 0:
            return
        ended = [
            key
            for key, requests in self._found.items()
            if not any(is_open(one.job_id) for one in requests)
        ]
        for key in ended[:surplus]:
            del self._found[key]

    def saved(self) -> tuple[FailedRequest, ...]:
        """Return all requests, for a snapshot."""
        return tuple(one for requests in self._found.values() for one in requests)

    def load(self, saved: Iterable[FailedRequest]) -> None:
        """Add the requests of a snapshot."""
        for one in saved:
            self._put(one)

    def _known(self, request: StageRequest) -> FailedRequest | None:
        # Without an entry of its id, a request's digest is not needed.
        requests = self._found.get((request.tenant, request.request_id), ())
        return next((one for one in requests if one.fingerprint == request.fingerprint), None)

    def _others(self, key: RequestKey, fingerprint: bytes) -> tuple[FailedRequest, ...]:
        return tuple(one for one in self._found.get(key, ()) if one.fingerprint != fingerprint)

    def _put(self, request: FailedRequest) -> None:
        others = self._others(request.key, request.fingerprint)
        self._found.pop(request.key, None)
        self._found[request.key] = (*others, request)[-MAX_CONTENTS:]
