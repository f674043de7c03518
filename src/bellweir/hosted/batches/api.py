"""Batch job API of the gateways: submit, read and end jobs."""

import threading
import time
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from bellweir.events.log import emit
from bellweir.hosted.batches.deferred_reads import DeferredReads
from bellweir.hosted.batches.formats import decode_job
from bellweir.hosted.batches.pages import encode_bounded_page
from bellweir.hosted.batches.result_cache import ResultCache
from bellweir.hosted.batches.state import (
    JOBS_KEY,
    AcceptJob,
    EndJob,
    ItemBody,
    Job,
    JobAccepted,
    JobEnded,
    JobItem,
    ReadItem,
    ReadResults,
    ResultsPage,
    StageItems,
)
from bellweir.hosted.interface import CallPaths, HeaderNames
from bellweir.hosted.log_events import JOB_ACCEPTED, JOB_ENDED, JOB_NOT_ACCEPTED
from bellweir.hosted.records import Route
from bellweir.hosted.serving.forwarding import gateway_response
from bellweir.http_server.http import BadRequestError, Request, Response, parse_integer
from bellweir.kernel.clock import elapsed_s
from bellweir.ledger.interface import Ledger, LedgerError, LedgerErrorKind, Reply

PAGE_BYTES = 700_000
"""Approximate size of a page of results."""
ACCEPT_TIMEOUT_S = 3.0
MAX_PART_BYTES = 400_000
"""Size of the items in one command, which may have at most 1 MiB."""
CALL_TIMEOUT_S = 1.5
NEARBY_TIMEOUT_S = 0.15
"""Time for the replica in this zone."""
LEADER_TIMEOUT_S = 0.9
"""Time for the leader to answer a read. It exceeds the 0.8 s after which a gateway that is cut off
from its ledger node uses another one, and leaves time to ask the replicas before the client
gives up, 1.5 s after the hold time that it requested."""
REMAINDER_TIMEOUT_S = 0.3
"""The same if the zone's replica has returned results: the next read gets the rest."""
REPLICAS_TIMEOUT_S = 0.3
"""Time for the replicas of all zones if the leader does not answer."""
MAX_HOLD_S = 1.0
HOLD_POLL_S = 0.15
"""Interval at which a held read checks for new results."""
RETRY_AFTER_S = 0.3


class BatchApi:
    """Serves the batch job API from the ledger."""

    def __init__(
        self,
        ledger: Ledger,
        names: HeaderNames,
        paths: CallPaths,
        *,
        nearby_reads: bool = True,
        count_deferred: Callable[[str], None] = lambda _: None,
    ) -> None:
        """With `nearby_reads`, results are read from the replica in this zone if it has them.

        `count_deferred` is called for each deferred read; see `DeferredReads`.
        """
        self._ledger = ledger
        self._paths = paths
        self._names = names
        self._nearby_reads = nearby_reads
        self._pause = threading.Event()
        self._cache = ResultCache()
        self._deferred_reads = DeferredReads(count_deferred)
        self.accept_timeout_s = ACCEPT_TIMEOUT_S

    def is_job_request(self, request: Request) -> bool:
        """Whether a request is for the batch job API, not for a route."""
        return request.raw_path.startswith((self._paths.batch_job, self._paths.batch_item))

    def accept(
        self, request: Request, route: Route, tenant: str | None = None, *, version: int = 0
    ) -> Response:
        """Accept a job; respond with 202 once it is durable.

        `version` is that of the configuration that holds the route; 0 if it is not known.
        `tenant` is None if the deployment has no tenants, and empty for a job without a key.
        """
        began_s = elapsed_s()
        job_id = request.header(self._names.request_id)
        if request.method != "POST" or not job_id:
            raise BadRequestError("a batch job is a POST with an id")
        job = decode_job(request.body.read(), job_id, route.host, route.path_prefix)
        job = msgspec.structs.replace(job, configuration_version=version)
        if tenant is not None:
            job = assign_tenant(job, tenant, self._names)
        outcome = self._submit_job(job, began_s + self.accept_timeout_s)
        match outcome:
            case Success(JobAccepted(is_foreign=True)):
                emit(JOB_NOT_ACCEPTED, request_id=job.id, status=409, cause="another tenant's id")
                return gateway_response(409, "id_in_use")
            case Success(JobAccepted()):
                emit(
                    JOB_ACCEPTED,
                    request_id=job.id,
                    tenant=job.tenant,
                    items=len(job.items),
                    wanted=job.wanted_groups,
                    step=job.step,
                    model=job.model,
                    minimum_version=job.minimum_version,
                    ms=round(1000 * (elapsed_s() - began_s)),
                )
                return Response(202)
            case Failure(error):
                return self._not_accepted(job, error)
        return gateway_response(500, "unexpected_reply")

    def _submit_job(self, job: Job, deadline_s: float) -> Result[Reply, LedgerError]:
        """Retry until the outcome is known or the deadline; the command is idempotent by job id."""
        unknown: Result[Reply, LedgerError] | None = None
        while True:
            left_s = max(0.05, deadline_s - elapsed_s())
            outcome = self._submit_once(job, left_s)
            if isinstance(outcome, Success):
                return outcome
            if outcome.failure().kind is LedgerErrorKind.UNKNOWN:
                unknown = outcome
            if elapsed_s() >= deadline_s:
                # After an unknown outcome, a later refusal doesn't prove that no try succeeded.
                return unknown or outcome

    def _submit_once(self, job: Job, timeout_s: float) -> Result[Reply, LedgerError]:
        """Submit a job, staged in parts if it is large; the last command accepts it."""
        parts = split_items(job.items)
        if len(parts) <= 1:
            return self._ledger.submit(JOBS_KEY, AcceptJob(job), timeout_s)
        for number, items in enumerate(parts):
            staged = self._ledger.submit(JOBS_KEY, StageItems(job.id, number, items), timeout_s)
            if not isinstance(staged, Success):
                return Failure(
                    LedgerError(LedgerErrorKind.UNAVAILABLE, "staging a part of the job failed")
                )
        head = msgspec.structs.replace(job, items=())
        outcome = self._ledger.submit(JOBS_KEY, AcceptJob(head, len(parts)), timeout_s)
        if isinstance(outcome, Success) and outcome.unwrap() == JobAccepted(False, False):
            return Failure(
                LedgerError(LedgerErrorKind.UNAVAILABLE, "staged parts of the job are missing")
            )
        return outcome

    def _not_accepted(self, job: Job, error: LedgerError) -> Response:
        is_rejected = error.kind is LedgerErrorKind.UNAVAILABLE
        status = 503 if is_rejected else 504
        emit(JOB_NOT_ACCEPTED, request_id=job.id, status=status, cause=error.detail[:160])
        return gateway_response(status, "not_accepted", RETRY_AFTER_S if is_rejected else None)

    def serve_job_request(self, request: Request, tenant: str = "") -> Response:
        """Read results or an item's body, or end a job, if `tenant` may see it."""
        path = request.raw_path
        if path.startswith(self._paths.batch_item):
            return self._item_body(request, path.removeprefix(self._paths.batch_item), tenant)
        job_id = path.removeprefix(self._paths.batch_job)
        if request.method == "DELETE":
            return self._end(job_id, tenant)
        if request.method == "GET":
            return self._results(request, job_id, tenant)
        return gateway_response(405, "method_not_allowed")

    def _results(self, request: Request, job_id: str, tenant: str) -> Response:
        after = parse_integer("after", request.query("after") or "0")
        hold_s = min(MAX_HOLD_S, _parse_hold_s(request.header(self._names.wait_ms)))
        until_s = elapsed_s() + hold_s
        while True:
            page = self._read_page(job_id, after, tenant)
            if page is None:
                return gateway_response(503, "no_ledger", RETRY_AFTER_S)
            if page.total is None:
                return gateway_response(404, "no_such_job")
            held = not page.results and elapsed_s() < until_s
            if not held or request.caller_has_left():
                content = encode_bounded_page(page.total, after, page.results)
                return Response(200, [("Content-Type", "application/json")], content)
            self._pause.wait(HOLD_POLL_S)

    def _read_page(self, job_id: str, after: int, tenant: str) -> ResultsPage | None:
        """Return results from position `after` on; None if no replica can tell."""
        key = (tenant, job_id)
        known = self._cache.page(key, after, PAGE_BYTES)
        if known is not None:
            return ResultsPage(*known)
        found = self._read_ledger(job_id, after, tenant)
        if found is not None and found.total is not None:
            self._cache.add(key, after, found.total, found.results)
        return found

    def _read_ledger(self, job_id: str, after: int, tenant: str) -> ResultsPage | None:
        """Read results from the replica in this zone, and the rest from the leader.

        A position never changes, so a stale replica is good for what it has. Only the leader can
        tell that a job does not exist.
        """
        near = self._read_nearby(job_id, after, tenant)
        left_bytes = PAGE_BYTES - sum(result.response_size for result in near.results)
        if _is_at_end(near, after) or (near.results and left_bytes <= 0):
            return near
        query = ReadResults(job_id, after + len(near.results), left_bytes, tenant)
        timeout_s = REMAINDER_TIMEOUT_S if near.results else LEADER_TIMEOUT_S
        outcome = self._ledger.ask(JOBS_KEY, query, timeout_s)
        found = outcome.value_or(None)
        if isinstance(found, ResultsPage):
            return ResultsPage(found.total, near.results + found.results)
        anywhere = near if near.results else self._read_replicas(query)
        if anywhere is None:
            leader = (
                outcome.failure().detail if isinstance(outcome, Failure) else "unexpected reply"
            )
            nearby = "no_job" if near.total is None else "behind"
            self._deferred_reads.record(job_id, after, leader, nearby)
        return anywhere

    def _read_replicas(self, query: ReadResults) -> ResultsPage | None:
        """Return the longest page of any replica; None if none has the position.

        So results stay readable from a single replica that can't be elected.
        """
        replies = self._ledger.ask_replicas(JOBS_KEY, query, REPLICAS_TIMEOUT_S)
        pages = [
            page
            for page in replies
            if isinstance(page, ResultsPage) and (page.results or _is_at_end(page, query.after))
        ]
        return max(pages, key=lambda page: len(page.results), default=None)

    def _read_nearby(self, job_id: str, after: int, tenant: str) -> ResultsPage:
        if not self._nearby_reads:
            return ResultsPage(None)
        query = ReadResults(job_id, after, PAGE_BYTES, tenant)
        found = self._ledger.ask_nearby(JOBS_KEY, query, NEARBY_TIMEOUT_S)
        return found if isinstance(found, ResultsPage) else ResultsPage(None)

    def _item_body(self, request: Request, job_id: str, tenant: str) -> Response:
        query = ReadItem(job_id, request.query("id") or "", tenant)
        found = self._ledger.ask(JOBS_KEY, query, LEADER_TIMEOUT_S).value_or(None)
        if not isinstance(found, ItemBody):
            found = self._read_body_from_replicas(query)
        if found is None:
            return gateway_response(503, "no_ledger", RETRY_AFTER_S)
        if found.body is None:
            return gateway_response(404, "no_such_item")
        return Response(200, [("Content-Type", "application/octet-stream")], found.body)

    def _read_body_from_replicas(self, query: ReadItem) -> ItemBody | None:
        """Return a body that any replica has; None if none has it.

        Bodies never change, but only the leader can tell that an item does not exist.
        """
        for reply in self._ledger.ask_replicas(JOBS_KEY, query, REPLICAS_TIMEOUT_S):
            if isinstance(reply, ItemBody) and reply.body is not None:
                return reply
        return None

    def _end(self, job_id: str, tenant: str) -> Response:
        command = EndJob(job_id, time.time(), tenant)
        ended = self._ledger.submit(JOBS_KEY, command, CALL_TIMEOUT_S)
        match ended:
            case Success(JobEnded(is_known)):
                if not is_known:
                    return gateway_response(404, "no_such_job")
                emit(JOB_ENDED, request_id=job_id, listed=None, items=None)
                return Response(200)
        return gateway_response(503, "no_ledger", RETRY_AFTER_S)


def _is_at_end(page: ResultsPage, after: int) -> bool:
    """Whether a page read from position `after` on holds the last result of the job."""
    return page.total is not None and after + len(page.results) >= page.total


def assign_tenant(job: Job, tenant: str, names: HeaderNames) -> Job:
    """Return a job owned by `tenant`, without credentials and tenant names in item headers."""
    dropped = names.client_only
    items = tuple(
        msgspec.structs.replace(
            item, headers=tuple(each for each in item.headers if each[0].lower() not in dropped)
        )
        for item in job.items
    )
    return msgspec.structs.replace(job, items=items, tenant=tenant)


def split_items(items: tuple[JobItem, ...]) -> list[tuple[JobItem, ...]]:
    """Split items into parts that fit into one command each."""
    parts: list[list[JobItem]] = [[]]
    size = 0
    for item in items:
        length = item.size
        if parts[-1] and size + length > MAX_PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += length
    return [tuple(part) for part in parts]


def _parse_hold_s(text: str | None) -> float:
    try:
        return max(0.0, float(text or "0") / 1000)
    except ValueError:
        return 0.0
