"""Steps of `answers.feature`."""

import itertools
import threading
from types import SimpleNamespace

from behave import given, then, when
from returns.result import Success

from bellweir.cli.resources.client import GatewayClient
from bellweir.hosted.batches.attempts import ItemRunner
from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import Route, RouteKind
from bellweir.hosted.serving.attempt import (
    AttemptState,
    Cancellation,
    WorkerCall,
    WorkerConnections,
)
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir_platform.headers import HEADERS
from bellweir_platform.object_store import PlatformStore
from bellweir_platform.workers import PlatformWorkers
from support.hosted_gateway import GatewayUnderTest
from support.hosted_jobs import make_job
from support.raw_worker import BODY, RawWorker, answer_of, chunked_answer_of, head_of

REQUEST_ID = b"request-1"
OTHER_ID = b"request-0"
TIMEOUT_S = 5.0
HOST = "shop.example"
LONG_REQUEST_BYTES = 32 << 20
"""More than the sockets' buffers hold."""
EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
WATCH_LINES = b'{"type":"ADDED","object":{}}\n{"type":"DELETED","object":{}}\n'
REPORT = b'{"models":[],"inFlight":false,"seq":2}'
LISTING = b'{"items":[],"at":7,"hasMore":false}'
LENGTH = b"Content-Length: %d" % len(BODY)
CHUNKED = b"Transfer-Encoding: chunked"
STATUS_LINE = b"HTTP/1.1 200 OK"


def start_worker(context, answer, **ends):
    context.raw = RawWorker(answer, **ends)
    context.cleanup.callback(context.raw.stop)
    context.connections = WorkerConnections(HEADERS)
    context.cleanup.callback(context.connections.retain, set())
    entry = SimpleNamespace(service="app")
    context.worker = SimpleNamespace(
        address=context.raw.address,
        instance="i-raw",
        incarnation=Incarnation("i-raw", 0),
        entry=entry,
        version_of=lambda _model: 1,
    )


def worker_call(method="GET", body=b""):
    return WorkerCall(method, "/x", HOST, REQUEST_ID.decode(), [], body)


def call(context, method="GET", body=b""):
    return context.connections.call(
        context.worker, worker_call(method, body), TIMEOUT_S, TIMEOUT_S * 1000, Cancellation()
    )


def is_answered(context):
    return call(context).state is not AttemptState.UNKNOWN


def is_whole_stream(context):
    opened = context.connections.open(
        context.worker, worker_call(), TIMEOUT_S, TIMEOUT_S * 1000, Cancellation()
    ).opened
    if opened is None:
        return False
    opened.ends_with_connection = False
    try:
        for _ in opened.read_blocks():
            pass
    except Exception:
        opened.drop()
        return False
    opened.finish()
    return True


def run_item(context, stage):
    """Run an item's stage at the worker; returns its progress."""
    job = make_job("job", 1, 1)
    route = Route(host=HOST, path_prefix="/draft/", kind=RouteKind.ROLLOUT)
    progress = ItemProgress(job, route, job.items[0])
    runner, cancellation = ItemRunner(context.connections, context.loads), Cancellation()
    context.loads.acquire(context.worker)
    if stage is Stage.GENERATION:
        runner.run_generation(progress, context.worker, cancellation)
    else:
        progress.complete_generation()
        runner.run_scoring(progress, context.worker, cancellation)
    return progress


def is_whole_text(context):
    return run_item(context, Stage.GENERATION).stage is not Stage.GENERATION


def is_scored(context):
    return run_item(context, Stage.SCORING).stage is not Stage.SCORING


def is_reported(context):
    return PlatformWorkers().report(context.raw.address, TIMEOUT_S) is not None


def is_listed(context):
    return isinstance(PlatformStore(context.raw.address).list_kind("servers"), Success)


READERS = {
    "answers to requests": (answer_of, is_answered),
    "streams": (lambda found: chunked_answer_of(found, EVENTS), is_whole_stream),
    "texts of items": (lambda found: chunked_answer_of(found, EVENTS), is_whole_text),
    "scores of items": (answer_of, is_scored),
    "reports on workers": (lambda found: answer_of(found, REPORT), is_reported),
    "answers of the metadata store": (lambda found: answer_of(found, LISTING), is_listed),
}


@given("a worker that {ends} amid the heads of its answers")
def given_cut_heads(context, ends):
    context.loads = WorkerLoads("a")
    start_worker(context, lambda _id: b"", resets=ends == "resets")


@when("its answers, cut at each byte of the head, are read as {answers}")
def when_heads_cut(context, answers):
    whole, read = READERS[answers]
    context.raw.answer = whole
    assert read(context), "the whole answer is not taken for one"
    head_length = whole(REQUEST_ID).index(b"\r\n\r\n") + 4
    read_cut(context, whole, read, range(head_length))


def read_cut(context, whole, read, lengths):
    context.taken = []
    for length in lengths:
        context.raw.answer = lambda found, length=length: whole(found)[:length]
        if read(context):
            context.taken.append(length)


@then("none of them is taken for an answer")
def then_none(context):
    assert not context.taken, f"taken for whole, by bytes that came: {context.taken}"


@when("a client's request gets a head that ends behind the stamp")
def when_cut_before_gateway(context):
    context.raw.answer = lambda found: head_of(found)[:-2]
    entry = {"service": "app", "address": context.raw.address, "zone": "a", "slots": 4}
    worker = SimpleNamespace(instance="i-raw", entry=lambda _service: entry | {"state": "ready"})
    gateway = GatewayUnderTest([worker])
    context.cleanup.callback(gateway.close)
    context.answer = gateway.send("/idempotent/x")


@then("the client gets 502, and no stamp")
def then_502(context):
    assert context.answer.status == 502, vars(context.answer)
    assert HEADERS.stamp not in context.answer.headers


@given("a worker that sends the beginning of an answer to {owner} before the answer that is due")
def given_surplus(context, owner):
    surplus_id = REQUEST_ID if owner == "the request" else OTHER_ID
    context.surplus = answer_of(surplus_id, BODY[:300], b"500 Internal Server Error")
    start_worker(context, answer_of)


@when("that beginning ends at each byte of its head")
def when_surplus_cut(context):
    context.outcomes = []
    for length in range(context.surplus.index(b"\r\n\r\n") + 4):
        beginning = context.surplus[:length]
        context.raw.answer = lambda found, beginning=beginning: beginning + answer_of(found)
        context.outcomes.append(call(context))


@then("only the answer that is due is taken for one, and only where nothing came before it")
def then_only_due(context):
    first, *others = context.outcomes
    assert first.response.status == 200, first
    assert first.response.body == BODY
    taken = [at for at, one in enumerate(others, 1) if one.state is not AttemptState.UNKNOWN]
    assert not taken, f"taken for an answer, by bytes of the surplus: {taken}"


@given("a node that closes amid the answers to commands")
def given_node(context):
    start_worker(context, lambda _id: b"")


def is_watch_whole(context):
    events = list(GatewayClient(context.raw.address, None).watch("Pool", None, TIMEOUT_S))
    return all(isinstance(each, Success) for each in events)


def is_gotten(context):
    return isinstance(GatewayClient(context.raw.address, None).get("Pool", "one"), Success)


COMMANDS = {
    "a watch": (lambda found: chunked_answer_of(found, WATCH_LINES), is_watch_whole),
    "a get": (lambda found: answer_of(found, b'{"kind":"Pool"}'), is_gotten),
}


@when("the answer to {command}, cut at each byte, is read")
def when_command(context, command):
    whole, read = COMMANDS[command]
    context.raw.answer = whole
    assert read(context), "the whole answer is not taken for one"
    read_cut(context, whole, read, range(len(whole(b""))))


def with_fields(*fields, body=BODY, status=b"200 OK"):
    return lambda found: head_of(found, *fields, status=status) + body


def replaced(old, new, of=answer_of):
    return lambda found: of(found).replace(old, new, 1)


ID_FIELD = HEADERS.request_id.encode()
STAMP_FIELD = HEADERS.stamp.encode()
VERSIONS_FIELD = HEADERS.weight_versions.encode()
CHUNKS = b"190\r\n" + BODY[:400] + b"\r\n190\r\n" + BODY[400:] + b"\r\n0\r\n\r\n"
HEADS = {
    "two lengths": with_fields(b"Content-Length: 300", LENGTH),
    "a list of lengths": with_fields(b"Content-Length: 300, 800"),
    "a length with a sign": with_fields(b"Content-Length: +800"),
    "a length beside chunks": with_fields(LENGTH, CHUNKED, body=CHUNKS),
    "two ids": with_fields(ID_FIELD + b": " + OTHER_ID, LENGTH),
    "two stamps": with_fields(STAMP_FIELD + b": signed.other", LENGTH),
    "two versions of weights": with_fields(
        VERSIONS_FIELD + b": 1", VERSIONS_FIELD + b": 2", LENGTH
    ),
    "a transfer coding that is unknown": with_fields(b"Transfer-Encoding: gzip, chunked"),
    "a transfer coding behind chunks": with_fields(
        CHUNKED, b"Transfer-Encoding: identity", body=CHUNKS
    ),
    "a no-break space behind a transfer coding": with_fields(CHUNKED + b"\xa0", body=CHUNKS),
    "a no-break space before a folded value": with_fields(b"X-Note: \xa0one\r\n two", LENGTH),
    "chunks in HTTP/1.0": replaced(b"HTTP/1.1", b"HTTP/1.0", chunked_answer_of),
    "a status line in a field": with_fields(b"Server: oneHTTP/1.1 200 OK", LENGTH),
    "a status line in a folded field": with_fields(b"Server: one\r\n HTTP/1.1 200 OK", LENGTH),
    "a status line in its reason": with_fields(LENGTH, status=b"500 InternHTTP/1.1 200 OK"),
    "a status line for a field": with_fields(STATUS_LINE, LENGTH),
    "a status of two digits": with_fields(LENGTH, status=b"20 OK"),
    "an empty line before the status line": replaced(STATUS_LINE, b"\r\n" + STATUS_LINE),
    "a field without a name": with_fields(b": one", LENGTH),
    "a field without a colon": with_fields(b"Server", LENGTH),
    "a space before a colon": with_fields(b"Server : one", LENGTH),
    "a space in a name": with_fields(b"Ser ver: one", LENGTH),
    "a folded line for its first field": replaced(b"\r\n", b"\r\n one\r\n"),
    "a bare CR in a field": with_fields(b"Server: one\rtwo", LENGTH),
    "a bare CR in its status line": with_fields(LENGTH, status=b"200 O\rK"),
    "a NUL in a field": with_fields(b"Server: one\0two", LENGTH),
    "the status of an upgrade": with_fields(status=b"101 Switching Protocols"),
    "the same length twice": with_fields(LENGTH, LENGTH),
    "the same id twice": with_fields(ID_FIELD + b": " + REQUEST_ID, LENGTH),
    "a folded field": with_fields(b"Server: one\r\n two", LENGTH),
    "lines that end in LF alone": lambda found: (
        head_of(found, LENGTH).replace(b"\r\n", b"\n") + BODY
    ),
    "bytes beyond ASCII in a field": with_fields(b"Server: \xe9\xff", LENGTH),
    "an interim answer before it": replaced(
        STATUS_LINE, b"HTTP/1.1 103 Early Hints\r\nLink: one\r\n\r\n" + STATUS_LINE
    ),
    "no reason": with_fields(LENGTH, status=b"200"),
    "an empty field": with_fields(b"Server:", LENGTH),
    "chunks, and fields behind them": with_fields(
        CHUNKED, body=CHUNKS.replace(b"\r\n0\r\n\r\n", b"\r\n0;last\r\nDigest: one\r\n\r\n")
    ),
}
CHUNK_FAULTS = {
    "a size in other digits": (b"190", b"0x190"),
    "a size with an underscore": (b"190", b"1_90"),
    "a size with a sign": (b"190", b"+190"),
    "a negative size": (b"190", b"-190"),
    "no size": (b"190\r\n", b"\r\n"),
    "a size that is too large": (b"190", b"f" * 17),
    "no line end behind them": (b"\r\n190", b"xx190"),
    "no empty line behind the last one": (b"0\r\n\r\n", b"0\r\none two\r\n\r\n"),
    "an answer in the last one's size": (b"0\r\n\r\n", b"0;las" + answer_of(OTHER_ID)),
    "an answer in the fields behind": (b"0\r\n\r\n", b"0\r\nDigest: o" + answer_of(OTHER_ID)),
}


@given("a worker whose answers have chunks with {fault}")
def given_chunk_fault(context, fault):
    old, new = CHUNK_FAULTS[fault]
    chunks = (
        new.join(CHUNKS.rsplit(old, 1)) if old.startswith(b"0") else CHUNKS.replace(old, new, 1)
    )
    start_worker(context, with_fields(CHUNKED, body=chunks), keeps_open=True)


@given("a worker whose answers have no length, and pause in their middle")
def given_pause(context):
    context.is_paused, context.goes_on = threading.Event(), threading.Event()
    context.cleanup.callback(context.goes_on.set)

    def answer(found):
        yield head_of(found) + BODY[:300]
        context.is_paused.set()
        context.goes_on.wait(TIMEOUT_S)
        yield BODY[300:]

    start_worker(context, answer)


@given("a worker that resets the connection amid a long request and a body without a length")
def given_reset_amid_request(context):
    start_worker(context, lambda found: head_of(found) + BODY[:300], resets=True)


@when("the request is sent and its answer is read")
def when_long_request(context):
    context.outcome = call(context, "POST", b"x" * LONG_REQUEST_BYTES)


@given("a worker whose answers have {head}")
def given_head(context, head):
    start_worker(context, HEADS[head], keeps_open=True)


@when("an answer to a request is read")
def when_read(context):
    context.outcome = call(context)


@then("it is not taken for an answer")
def then_not_taken(context):
    assert context.outcome.state is AttemptState.UNKNOWN, context.outcome


@then("the connection is closed")
def then_closed(context):
    assert not context.connections.has_idle(context.raw.address)
    context.wait_until(lambda: not context.raw._open, "the worker's connection closed")


@then("it is taken for the whole answer")
def then_taken(context):
    assert context.outcome.state is AttemptState.ANSWERED, context.outcome
    assert context.outcome.response.status == 200
    assert context.outcome.response.body == BODY


@then("the no-break space is passed on")
def then_passed_on(context):
    assert ("X-Note", "\xa0one two") in context.outcome.response.headers, context.outcome


@given("a worker that closes its connection amid the chunks of its answers")
def given_cut_chunks(context):
    start_worker(context, chunked_answer_of)


@when("its answers, cut at each byte behind the head, are read as answers to requests")
def when_chunks_cut(context):
    assert is_answered(context), "the whole answer is not taken for one"
    whole = chunked_answer_of(REQUEST_ID)
    head_length = whole.index(b"\r\n\r\n") + 4
    read_cut(context, chunked_answer_of, is_answered, range(head_length, len(whole)))


@given("a worker that sends an interim answer and other bytes at once, and no more")
def given_bytes_behind_interim(context):
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: one\r\n\r\n"
    start_worker(context, lambda _id: interim + b"bytes", keeps_open=True)


@then("the call ended before its deadline")
def then_before_deadline(context):
    assert "TimeoutError" not in context.outcome.detail, context.outcome


@given("a worker that sends more bytes behind its answers")
def given_more(context):
    start_worker(context, lambda found: answer_of(found) + answer_of(OTHER_ID), keeps_open=True)


@when("two requests are sent one after the other")
def when_two(context):
    context.outcomes = [call(context) for _ in itertools.repeat(None, 2)]


@then("both get their answers, each over a connection of its own")
def then_own_connections(context):
    assert [one.response.body for one in context.outcomes] == [BODY, BODY]
    assert context.raw.connections == 2, context.raw.connections


@when("a call is aborted in that pause")
def when_aborted(context):
    cancellation = Cancellation()

    def abort():
        context.is_paused.wait(TIMEOUT_S)
        cancellation.cancel()

    thread = threading.Thread(target=abort)
    thread.start()
    context.outcome = context.connections.call(
        context.worker, worker_call(), TIMEOUT_S, TIMEOUT_S * 1000, cancellation
    )
    thread.join()
