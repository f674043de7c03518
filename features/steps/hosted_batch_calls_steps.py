"""The batch job API of a gateway, with a ledger in memory."""

import base64
import json
from types import SimpleNamespace

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.support.hosted_jobs import HOST, MODEL, MemoryLedger, make_job
from hypothesis import given, settings

from bellweir.hosted.batches.api import PAGE_BYTES, BatchApi
from bellweir.hosted.batches.result_cache import ResultCache
from bellweir.hosted.batches.state import (
    AcceptJob,
    BatchJobs,
    ForgetJobs,
    ItemResult,
    RecordResults,
)
from bellweir.hosted.batches.text_compression import compress_text, decompress_text
from bellweir.hosted.records import Route, RouteKind
from bellweir.http_server.http import Caller, Request
from bellweir.ledger.calls import MAXIMUM_CALL_BYTES
from bellweir.ledger.interface import LedgerErrorKind
from bellweir_platform.headers import HEADERS, PATHS

ROUTE = Route(host=HOST, path_prefix="/draft/", kind=RouteKind.ROLLOUT, max_attempts=3)


@given_step("a gateway before a ledger")
def given_gateway(context):
    context.ledger = MemoryLedger()
    context.api = BatchApi(context.ledger, HEADERS, PATHS)


def call(method, path, body=b"", query="", job_id="job", wait_ms="0"):
    source = SimpleNamespace(read=lambda: body)
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "REQUEST_URI": path,
        "QUERY_STRING": query,
        "HTTP_X_BELLWEIR_ATTEMPT_ID": job_id,
        "HTTP_X_BELLWEIR_WAIT_MS": wait_ms,
        "wsgi.input": source,
        "waitress.client_disconnected": lambda: False,
    }
    return Request(environ, job_id, Caller("test"))


def job_document(count=3, body=b"prompt"):
    items = [
        {
            "id": f"item-{number}",
            "path": f"/draft/{number}",
            "headers": {"X-Bellweir-Model": MODEL},
            "body": base64.b64encode(body).decode(),
            "tokens": 12,
            "group": "g",
            "scorer": {"id": f"s-{number}", "host": HOST, "path": "/score/x", "body": ""},
        }
        for number in range(count)
    ]
    fields = {"step": 0, "model": MODEL, "minVersion": 1, "wantedGroups": 1}
    return json.dumps({**fields, "items": items}).encode()


@when("a trainer submits a job")
def when_submitted(context):
    context.sent = job_document()
    context.answer = context.api.accept(call("POST", "/draft/job", context.sent), ROUTE)


@when("a trainer submits a job of {count:d} items with bodies of {size:d} bytes")
def when_large(context, count, size):
    context.sent = job_document(count, b"x" * size)
    context.answer = context.api.accept(call("POST", "/draft/job", context.sent), ROUTE)


@then("the ledger's commands were all small and the job has its {count:d} items")
def then_small(context, count):
    assert context.ledger.largest_bytes < MAXIMUM_CALL_BYTES
    state = context.ledger.machine.jobs["job"]
    assert [item.id for item in state.job.items] == [f"item-{at}" for at in range(count)]
    assert context.ledger.machine.staged == {}


@then("it is accepted with 202, and again when it is resubmitted")
def then_accepted(context):
    assert context.answer.status == 202
    again = context.api.accept(call("POST", "/draft/job", context.sent), ROUTE)
    assert again.status == 202
    assert list(context.ledger.machine.jobs) == ["job"]


@then("its results can be read from any position, and the bodies of items without a result")
def then_read(context):
    body_call = call("GET", "/api/items/job", query="id=item-1")
    assert context.api.serve_job_request(body_call).body == b"prompt"
    results = tuple(ItemResult(f"item-{at}", True, "text", (1, 2), "s") for at in (1, 0))
    context.ledger.submit("", RecordResults("job", results), 1.0)
    assert context.api.serve_job_request(body_call).status == 404
    page = json.loads(
        context.api.serve_job_request(call("GET", "/api/lots/job", query="after=1")).body
    )
    result = {"id": "item-0", "state": "completed", "text": "text", "versions": [1, 2]}
    assert page == {"total": 3, "next": 2, "results": [{**result, "score": "s"}]}
    empty = context.api.serve_job_request(
        call("GET", "/api/lots/job", query="after=2", wait_ms="100")
    )
    assert json.loads(empty.body) == {"total": 3, "next": 2, "results": []}
    assert context.api.serve_job_request(call("GET", "/api/lots/none")).status == 404


@then("each request to end it is answered with 200")
def then_ended(context):
    for _ in range(2):
        assert context.api.serve_job_request(call("DELETE", "/api/lots/job")).status == 200
    assert not context.ledger.machine.jobs["job"].is_open


@then("a job is refused with 503 only if it was certainly not accepted")
def then_refused_truthfully(context):
    unavailable, unknown = LedgerErrorKind.UNAVAILABLE, LedgerErrorKind.UNKNOWN

    @settings(max_examples=60)
    @given(
        failures=st.lists(
            st.sampled_from([(unavailable, False), (unknown, False), (unknown, True)]), max_size=3
        ),
        last=st.booleans(),
    )
    def truthful(failures, last):
        ledger = MemoryLedger()
        # With `last` the final try succeeds; otherwise every try fails.
        ledger.failures = list(failures) if last else list(failures) + [(unavailable, False)] * 9999
        api = BatchApi(ledger, HEADERS, PATHS)
        api.accept_timeout_s = 0.0 if not last else 3.0
        answer = api.accept(call("POST", "/draft/job", job_document()), ROUTE)
        accepted = "job" in ledger.machine.jobs
        if answer.status == 202:
            assert accepted
        elif answer.status == 503:
            assert not accepted, "refused although it was accepted"
        else:
            assert answer.status == 504

    truthful()
    machine = BatchJobs()
    machine.apply(AcceptJob(make_job("job", 5, 1)))
    machine.apply(ForgetJobs(("job",)))
    assert machine.jobs == {}


@then("reads in any order return the ledger's results, and cached positions need no ledger")
def then_cached(context):
    step = st.one_of(
        st.tuples(st.just("list"), st.integers(1, 3)),
        st.tuples(st.just("read"), st.integers(0, 12)),
        st.tuples(st.just("outage"), st.integers(0, 12)),
    )

    @settings(max_examples=100)
    @given(steps=st.lists(step, max_size=30), maximum_bytes=st.sampled_from((0, 600, 1 << 20)))
    def cached(steps, maximum_bytes):
        ledger = MemoryLedger()
        api = BatchApi(ledger, HEADERS, PATHS)
        api._cache = ResultCache(maximum_bytes)
        ledger.submit("", AcceptJob(make_job("job", 12, 1)), 1.0)
        shown = 0
        for what, number in steps:
            recorded = len(ledger.machine.jobs["job"].results)
            if what == "list":
                results = [
                    ItemResult(f"job-{at}", True, "t") for at in range(recorded, recorded + number)
                ]
                ledger.submit("", RecordResults("job", tuple(results)), 1.0)
                continue
            ledger.leading = what == "read"
            answer = api.serve_job_request(call("GET", "/api/lots/job", query=f"after={number}"))
            ledger.leading = True
            if answer.status == 503:
                assert what == "outage"
                assert number >= shown or maximum_bytes < 1 << 20
                continue
            page = json.loads(answer.body)
            ids = [result["id"] for result in page["results"]]
            assert ids == [f"job-{at}" for at in range(number, number + len(ids))]
            assert page["total"] == 12
            assert ids or number >= recorded, "no result at a recorded position"
            if number <= shown:
                shown = max(shown, number + len(ids))

    cached()


@then("reads combine the results of the zone's replica with those that only the leader has")
def then_nearby(context):
    step = st.one_of(
        st.tuples(st.sampled_from(("list", "copy")), st.integers(1, 4)),
        st.tuples(st.sampled_from(("read", "outage")), st.integers(0, 12)),
    )

    @settings(max_examples=150)
    @given(steps=st.lists(step, max_size=30))
    def nearby(steps):
        ledger = MemoryLedger()
        ledger.near = BatchJobs()
        accept = AcceptJob(make_job("job", 12, 1))
        ledger.submit("", accept, 1.0)
        results = [ItemResult(f"job-{at}", True, "t") for at in range(12)]
        recorded = copied = 0
        for what, number in steps:
            if what == "list":
                ledger.submit("", RecordResults("job", tuple(results[:number])), 1.0)
                ledger.submit("", RecordResults("job", tuple(results[: recorded + number])), 1.0)
                recorded = len(ledger.machine.jobs["job"].results)
                continue
            if what == "copy":
                copied = min(recorded, copied + number)
                ledger.near.apply(accept)
                ledger.near.apply(RecordResults("job", tuple(results[:copied])))
                continue
            # A new gateway, whose cache is empty.
            api = BatchApi(ledger, HEADERS, PATHS)
            ledger.leading, ledger.asked = what == "read", []
            answer = api.serve_job_request(call("GET", "/api/lots/job", query=f"after={number}"))
            ledger.leading = True
            if answer.status == 503:
                assert what == "outage"
                assert number >= copied, "deferred although the zone's replica has it"
                continue
            page = json.loads(answer.body)
            ids = [result["id"] for result in page["results"]]
            known = recorded if what == "read" else copied
            assert ids == [f"job-{at}" for at in range(number, known)]
            assert page["total"] == 12
            for query in ledger.asked:
                assert query.after >= copied or number >= copied, (
                    "the leader was asked for what the replica has"
                )

    nearby()


@then("every text survives compression, also one stored by an earlier release")
def then_compressed(context):
    @settings(max_examples=200)
    @given(text=st.one_of(st.text(), st.text("ab", min_size=100)), cut=st.binary(max_size=3))
    def compressed(text, cut):
        # Workers may stream invalid UTF-8.
        text += cut.decode("utf-8", "surrogateescape")
        assert decompress_text(compress_text(text)) == text
        assert ItemResult.from_text("i", True, text, (1,)).full_text == text
        assert ItemResult("i", True, text, (1,)).full_text == text

    compressed()


@then("a page of highly compressible texts is no larger than others")
def then_page(context):
    ledger = MemoryLedger()
    api = BatchApi(ledger, HEADERS, PATHS)
    ledger.submit("", AcceptJob(make_job("job", 30, 1)), 1.0)
    results = tuple(ItemResult.from_text(f"job-{at}", True, "a" * 50_000, (1,)) for at in range(30))
    ledger.submit("", RecordResults("job", results), 1.0)
    answer = api.serve_job_request(call("GET", "/api/lots/job", query="after=0"))
    assert len(answer.body) <= PAGE_BYTES + 1_000
    assert json.loads(answer.body)["next"] == 13
