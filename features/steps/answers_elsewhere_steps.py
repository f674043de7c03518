"""Steps of `answers_elsewhere.feature`."""

import dataclasses
import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from behave import given, then, when
from returns.result import Success

from bellweir.clients.answer_memory import FREE_BYTES, PROCESS_MEMORY
from bellweir.hosted.batches.attempts import ItemRunner
from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import OrderOutcome, VersionOrder
from bellweir.hosted.records import Route, RouteKind
from bellweir.hosted.serving.attempt import Cancellation, WorkerConnections
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir_platform.headers import HEADERS
from bellweir_platform.object_store import PlatformStore
from bellweir_platform.workers import PlatformWorkers
from support.hosted_gateway import HOST, GatewayUnderTest
from support.hosted_jobs import make_job
from support.raw_worker import BODY, RawWorker, answer_of, head_of

TIMEOUT_S = 5.0
EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
CHUNKED = b"Transfer-Encoding: chunked"
EMPTY = b"Content-Length: 0"
TEXT = b"no such thing"
STALL_S = 1.0
BIG_EVENT = b"data: " + b"x" * 60_000 + b"\n\n"


def in_chunk(block):
    return b"%x\r\n%s\r\n" % (len(block), block)


ANSWERS = {
    "404 without a body": lambda found: head_of(found, EMPTY, status=b"404 Not Found"),
    "422 without a body": lambda found: head_of(found, EMPTY, status=b"422 Unprocessable"),
    "302 without a body": lambda found: head_of(found, EMPTY, status=b"302 Found"),
    "204": lambda found: head_of(found, status=b"204 No Content"),
    "404 with a text that ends in two lines": lambda found: answer_of(
        found, TEXT + b"\n\n", b"404 Not Found"
    ),
    "400 with a text": lambda found: answer_of(found, TEXT, b"400 Bad Request"),
    "404 with a text": lambda found: answer_of(found, TEXT, b"404 Not Found"),
    "an empty body": lambda found: head_of(found, EMPTY),
    "a page of HTML": lambda found: answer_of(found, b"<p>Hello</p>\n\n"),
}


def start_worker(context, answer, **ends):
    worker = RawWorker(answer, **ends)
    context.cleanup.callback(worker.stop)
    return worker


def start_gateway(context, *workers):
    def stand_in(at, worker):
        fields = {"service": "app", "address": worker.address, "zone": "a", "slots": 4}
        entry = fields | {"state": "ready"}
        return SimpleNamespace(instance=f"i-{at}", entry=lambda _service: entry)

    gateway = GatewayUnderTest([stand_in(at, one) for at, one in enumerate(workers)])
    context.cleanup.callback(gateway.close)
    return gateway


@given(
    "two workers behind a gateway, of which the first cuts its stream and the next answers {answer}"
)
def given_cut_stream(context, answer):
    lock, runs = threading.Lock(), []

    def respond(found):
        with lock:
            runs.append(found)
            is_first = len(runs) == 1
        return head_of(found, CHUNKED) + in_chunk(EVENTS) if is_first else ANSWERS[answer](found)

    workers = [start_worker(context, respond) for _ in range(2)]
    context.gateway = start_gateway(context, *workers)


@given("two workers behind a gateway that answer {answer}")
def given_failing(context, answer):
    workers = [start_worker(context, ANSWERS[answer]) for _ in range(2)]
    context.gateway = start_gateway(context, *workers)


@when('a client sends a request to "{path}"')
def when_sent(context, path):
    try:
        context.answer = context.gateway.send(path)
    except ConnectionError as failure:
        context.answer = SimpleNamespace(status=None, whole=False, body=b"", failure=failure)


@then("its stream does not end like a whole one")
def then_cut(context):
    assert not context.answer.whole, vars(context.answer)


@then("it gets the worker's status, stamp and body")
def then_failure(context):
    found = context.answer
    assert found.status in (400, 404), vars(found)
    assert found.headers[HEADERS.stamp], vars(found)
    assert found.whole, vars(found)
    assert found.body == TEXT, vars(found)


@given("a worker that declares nearly all memory for answers and sends 1 byte")
def given_declared(context):
    context.may_end = threading.Event()
    context.cleanup.callback(context.may_end.set)
    declared = PROCESS_MEMORY.total_bytes + FREE_BYTES // 2

    def stall(found):
        yield head_of(found, b"Content-Length: %d" % declared) + b"x"
        context.may_end.wait(TIMEOUT_S)

    context.stalling = start_worker(context, stall)
    sound = start_worker(context, lambda found: answer_of(found, b"z" * 400_000))
    listing = b'{"items":[],"at":7,"hasMore":false,"more":"%s"}' % (b"y" * 900_000)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(listing)
    context.store = start_worker(context, lambda _found: head + listing)
    context.gateways = [start_gateway(context, one) for one in (context.stalling, sound)]


@when("other answers of over 256 KiB are read meanwhile")
def when_others(context):
    stalled, sound = context.gateways
    with ThreadPoolExecutor(1) as threads:
        waiting = threads.submit(stalled.send, "/idempotent/x")
        context.wait_until(lambda: context.stalling.bytes_sent, "the byte sent")
        threading.Event().wait(0.3)
        context.sound = sound.send("/idempotent/x")
        context.listing = PlatformStore(context.store.address).list_kind("servers")
        context.may_end.set()
        waiting.result()


@then("the sound worker's answer and the listing of the metadata store are whole")
def then_sound(context):
    assert context.sound.status == 200, vars(context.sound)
    assert isinstance(context.listing, Success), context.listing


@given("a worker that cuts its body at byte {cut:d} and sends the answer again behind it")
def given_again(context, cut):
    def answer(found):
        whole = answer_of(found)
        return whole[: whole.index(b"\r\n\r\n") + 4 + cut] + whole

    context.gateway = start_gateway(context, start_worker(context, answer, keeps_open=True))


@when("a request is sent through a gateway")
def when_through_gateway(context):
    context.answer = context.gateway.send("/idempotent/x")


@then("the client does not get a mixed body")
def then_not_mixed(context):
    found = context.answer
    assert found.status == 502 or found.body == BODY, vars(found)


@given("a worker that answers an item's request with {answer}")
def given_item(context, answer):
    context.raw = start_worker(context, ANSWERS[answer])


@when("the item is run there")
def when_item(context):
    connections, loads = WorkerConnections(HEADERS), WorkerLoads("a")
    worker = SimpleNamespace(
        address=context.raw.address,
        instance="i-raw",
        incarnation=Incarnation("i-raw", 0),
        entry=SimpleNamespace(service="app"),
        version_of=lambda _model: 1,
    )
    job = make_job("job", 1, 1)
    route = Route(host=HOST, path_prefix="/draft/", kind=RouteKind.ROLLOUT)
    context.progress = ItemProgress(job, route, job.items[0])
    loads.acquire(worker)
    ItemRunner(connections, loads).run_generation(context.progress, worker, Cancellation())
    connections.retain(set())


@then("its text does not count as complete")
def then_no_text(context):
    assert context.progress.stage is Stage.GENERATION, context.progress


def control_answer(found, status, body=b""):
    fields = b"%s: %s\r\n" % (HEADERS.request_id.encode(), found) if found else b""
    return b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n" % (status, fields, len(body)) + body


def control_report(sequence):
    return b'{"models":[],"inFlight":false,"seq":%d}' % sequence


@given("a worker that answers each control call once more before the next answer")
def given_surplus_control(context):
    context.control_answers = {}

    def answer(found):
        first, second = context.control_answers
        if not hasattr(context, "first_id"):
            context.first_id = found
            return control_answer(found, *first)
        return control_answer(context.first_id, *first) + control_answer(found, *second)

    context.raw = start_worker(context, answer, keeps_open=True)


def order(context, version):
    change = VersionOrder("m", version, "wait", "node-1", 1, 0)
    return PlatformWorkers.order(context.control, context.raw.address, "i", change, TIMEOUT_S)


@when("two orders are made, and their ids told apart")
def when_orders(context):
    context.control = PlatformWorkers()
    context.control_answers = ((b"202 Accepted",), (b"409 Conflict",))
    assert order(context, 2) is OrderOutcome.ACCEPTED
    context.is_mistaken = order(context, 3) is OrderOutcome.ACCEPTED


@when("two reports are made, and their ids told apart")
def when_reports(context):
    context.control = PlatformWorkers()
    context.control_answers = ((b"200 OK", control_report(1)), (b"200 OK", control_report(9)))
    first = context.control.report(context.raw.address, TIMEOUT_S)
    second = context.control.report(context.raw.address, TIMEOUT_S)
    assert first is not None
    context.is_mistaken = second is not None and second.sequence == 1


@then("the surplus answer is not taken for that of the second call")
def then_own_control(context):
    assert not context.is_mistaken


@given("a gateway that streams to an HTTP/1.0 client")
def given_http10(context):
    context.goes_on = threading.Event()
    context.cleanup.callback(context.goes_on.set)
    context.is_stalled = False

    def stream(found):
        yield head_of(found, CHUNKED) + in_chunk(b"id: 1\ndata: one\n\n")
        if not context.is_stalled:
            context.goes_on.wait(TIMEOUT_S)
        for number in range(2, 800):
            yield in_chunk(b"id: %d\n" % number + BIG_EVENT)
        yield b"0\r\n\r\n"

    context.gateway = start_gateway(context, start_worker(context, stream))


def connect(context):
    host, port = context.gateway.address.split(":")
    connection = socket.create_connection((host, int(port)), timeout=20.0)
    context.cleanup.callback(connection.close)
    connection.sendall(
        f"GET /stream/x HTTP/1.0\r\nHost: {HOST}\r\n{HEADERS.request_id}: r-1\r\n"
        f"{HEADERS.deadline_ms}: 9000\r\n\r\n".encode()
    )
    assert connection.recv(16).startswith(b"HTTP/1.")
    return connection


@when("the stream is cut by the server's end")
def when_server_ends(context):
    context.connection = connect(context)
    context.gateway.server.close_all(0.5)
    context.gateway.server.release()


@when("the stream is cut by a caller that stalls")
def when_caller_stalls(context):
    server = context.gateway.server
    server.limits = dataclasses.replace(server.limits, write_stall_s=STALL_S)
    context.is_stalled = True
    context.connection = connect(context)
    context.wait_until(lambda: not server.active_channels, "the caller disconnected")


@then("the client's connection is reset")
def then_reset(context):
    try:
        while context.connection.recv(1 << 16):
            pass
    except ConnectionResetError:
        return
    raise AssertionError("the stream ended like a whole one")
