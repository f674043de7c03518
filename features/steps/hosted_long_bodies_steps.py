"""Long bodies of requests at a hosted gateway whose workers end requests early."""

import io
import socket

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.steps.hosted_forwarding_steps import prefer_first
from features.support.hosted_jobs import HOST
from hypothesis import given, settings

from bellweir.clients.connection import BodyLengthError
from bellweir.clients.pool import ConnectionPool, HttpCall
from bellweir.hosted.serving.client_request import MAX_REPLAY_BYTES
from bellweir_platform.headers import HEADERS
from bellweir_rehearsal.hosted.worker import EarlyEnd, answer_to, received_body

CHUNK_BYTES = 50_000
ENDS = {end.value: end for end in EarlyEnd}
SHORT_BODY = b"short body"
SIZES = (1, 70_000, MAX_REPLAY_BYTES, MAX_REPLAY_BYTES + 1, 400_000, 900_000)


def text_of_size(size, seed=0):
    """A body whose every part tells where in which body it stands."""
    line = b"%d of body %d, "
    pieces = (line % (at, seed) for at in range(size // 12 + 1))
    return b"".join(pieces)[:size]


def send(context, route, body, *, is_chunked):
    """Send a body and keep it by the id of its request."""
    chunks = (body[at : at + CHUNK_BYTES] for at in range(0, len(body), CHUNK_BYTES))
    answer = context.gateway.send(f"/{route}/x", chunks if is_chunked else body)
    sent = context.sent = getattr(context, "sent", {})
    sent[answer.request_id] = body
    return answer


def check_bodies(context):
    sent = context.sent
    for name, worker in context.workers.items():
        for found in worker.record.run_bodies:
            assert found.is_of(sent[found.request_id], is_whole=True), (name, "ran", found)
        for found in worker.record.unrun_bodies:
            assert found.is_of(sent[found.request_id], is_whole=False), (name, "did not run", found)


def arrivals(context, request_id):
    records = [worker.record for worker in context.workers.values()]
    bodies = [one for record in records for one in (*record.run_bodies, *record.unrun_bodies)]
    return sum(one.request_id == request_id for one in bodies)


@given_step('worker "a" is tried first and {ends_it} after {read:d} bytes')
def given_early_end(context, ends_it, read):
    faults = context.workers["a"].faults
    faults.early, faults.early_end, faults.early_bytes = 1, ENDS[ends_it], read
    prefer_first(context)


@given_step('worker "a" is tried first and has ended')
def given_ended(context):
    context.workers["a"].close()
    prefer_first(context)


@when("a client sends {size:d} bytes {framed} to the {route} route")
def when_sent(context, size, framed, route):
    body = text_of_size(size)
    context.answer = send(context, route, body, is_chunked=framed == "in chunks")
    # What takes the connections of before must not come where a body is due.
    for _ in context.workers:
        send(context, route, SHORT_BODY, is_chunked=False)


@then("it gets {status:d}, and {count:d} workers received it")
def then_status(context, status, count):
    answer = context.answer
    assert (answer.status, answer.whole) == (status, True), answer
    context.wait_until(lambda: arrivals(context, answer.request_id) == count, f"{count} arrivals")
    if status == 503:
        assert float(answer.headers["Retry-After"]) > 0


@then("each worker received only the bodies that clients sent")
def then_bodies(context):
    check_bodies(context)


@then("whatever they do to requests, each worker received only the bodies that clients sent")
def then_bodies_always(context):
    routes = ("stream", "resumable") if context.workers["a"].model else ("idempotent", "single")

    @settings(max_examples=50)
    @given(
        ends=st.lists(
            st.tuples(st.sampled_from(EarlyEnd), st.integers(0, 700_000)), min_size=2, max_size=2
        ),
        strikes=st.lists(st.integers(0, 2), min_size=2, max_size=2),
        sizes=st.lists(st.sampled_from(SIZES), min_size=1, max_size=4),
        is_chunked=st.booleans(),
        route=st.sampled_from(routes),
    )
    def bodies_always(ends, strikes, sizes, is_chunked, route):
        for worker, (end, read), count in zip(context.workers.values(), ends, strikes, strict=True):
            faults = worker.faults
            faults.early, faults.early_end, faults.early_bytes = count, end, read
        for number, size in enumerate(sizes):
            answer = send(context, route, text_of_size(size, number), is_chunked=is_chunked)
            assert answer.status in (200, 502, 503, 504), answer
        check_bodies(context)

    bodies_always()


@when("a body of {size:d} bytes is sent to a worker with a declared length of {declared:d}")
def when_length_differs(context, size, declared):
    worker = context.workers["a"]
    context.pool = ConnectionPool(worker.address)
    context.cleanup.callback(context.pool.close)
    call = HttpCall("POST", "/single/x", 5.0, {"Content-Length": str(declared)})
    context.failure = None
    try:
        context.pool.open(call, io.BytesIO(text_of_size(size)))
    except BodyLengthError as exc:
        context.failure = exc


@then("the call fails, and the next one is answered")
def then_not_used(context):
    assert context.failure is not None
    assert not context.pool.has_idle()
    call = HttpCall("POST", "/single/x", 5.0, {HEADERS.request_id: "next"}, SHORT_BODY)
    answer = context.pool.call(call).unwrap()
    assert answer.body == answer_to("next", SHORT_BODY), answer
    runs = context.workers["a"].record.run_bodies
    assert runs == [received_body("next", SHORT_BODY)], runs


@when("a client sends {sent:d} of {size:d} bytes {framed} to the {route} route and leaves")
def when_left(context, sent, size, framed, route):
    is_chunked = framed == "in chunks"
    framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {size}"
    lines = (f"POST /{route}/x HTTP/1.1", f"Host: {HOST}", f"{HEADERS.request_id}: left", framing)
    head = "\r\n".join((*lines, "", ""))
    body = text_of_size(size)
    begun = b"%x\r\n%s" % (size, body[:sent]) if is_chunked else body[:sent]
    host, port = context.gateway.address.split(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(head.encode() + begun)
        context.wait_until(lambda: places_taken(context) == 1, "the request to be sent on")


def places_taken(context):
    loads, workers = context.gateway.loads, context.gateway.workers.all()
    return sum(loads.in_flight(worker.incarnation) for worker in workers)


@then("no worker ran it")
def then_not_run(context):
    runs = [one for worker in context.workers.values() for one in worker.record.run_bodies]
    assert not runs, runs
