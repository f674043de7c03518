"""Steps of `endless_answers.feature`."""

import itertools
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from behave import given, then, when
from returns.result import Success

from bellweir.clients import answer_memory
from bellweir.clients.answer_memory import FREE_BYTES, AnswerMemory
from bellweir.clients.object_api import HttpObjectStore
from bellweir.clients.pool import ConnectionPool
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
from support.raw_worker import BLOCK, BODY, RawWorker, answer_of, head_of

TIMEOUT_S = 10.0
TOTAL_BYTES = 8 << 20
COPIES = 2
"""A body is kept in blocks and as a whole for a moment."""
CALL_BYTES = 1 << 20
"""What a call and its worker need besides the answer."""
HOST = "shop.example"
CHUNKED = head_of(b"", b"Transfer-Encoding: chunked")
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"
STREAM = (b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked")


def chunked_head(found, *fields):
    return head_of(found, *fields, b"Transfer-Encoding: chunked")


def in_chunks(block):
    return b"%x\r\n%s\r\n" % (len(block), block)


def endless(begin, block):
    """An answer that begins with `begin(request_id)` and goes on with a block, again and again."""
    return lambda found: itertools.chain([begin(found)], itertools.repeat(block))


def unfinished_head(found):
    return head_of(found)[:-2]


ENDLESS = {
    "garbage": endless(lambda _id: BLOCK, BLOCK),
    "a head": endless(unfinished_head, b"X-More: one\r\n" * 1000),
    "one field of a head": endless(lambda found: unfinished_head(found) + b"X-More: ", BLOCK),
    "interim answers": endless(
        lambda _id: b"", b"HTTP/1.1 103 Early Hints\r\nLink: one\r\n\r\n" * 1000
    ),
    "a body with a length": endless(
        lambda found: head_of(found, b"Content-Length: 99999999999"), BLOCK
    ),
    "a body in chunks": endless(chunked_head, CHUNK),
    "a body that ends with its connection": endless(head_of, BLOCK),
    "the size of a chunk": endless(chunked_head, b"0" * len(BLOCK)),
    "fields behind the chunks": endless(
        lambda found: chunked_head(found) + b"0\r\n", b"X-More: one\r\n" * 1000
    ),
    "one line behind the chunks": endless(
        lambda found: chunked_head(found) + b"0\r\nX-More: ", BLOCK
    ),
    "an event": endless(lambda found: chunked_head(found) + in_chunks(b"id: 1\ndata: "), CHUNK),
    "empty events": endless(chunked_head, in_chunks(b": nothing\n\n" * 1000)),
    "empty lines": endless(chunked_head, in_chunks(b"\n" * 10_000)),
}


def start_worker(context, answer, **ends):
    worker = RawWorker(answer, **ends)
    context.cleanup.callback(worker.stop)
    return SimpleNamespace(
        raw=worker,
        address=worker.address,
        instance="i-raw",
        incarnation=Incarnation("i-raw", 0),
        entry=SimpleNamespace(service="app"),
        version_of=lambda _model: 1,
    )


def start(context, answer):
    context.memory = AnswerMemory(TOTAL_BYTES)
    context.connections = WorkerConnections(HEADERS, memory=context.memory)
    context.cleanup.callback(context.connections.retain, set())
    context.worker = start_worker(context, answer)
    # For the callers whose pools have none of their own.
    before = answer_memory.PROCESS_MEMORY.total_bytes
    answer_memory.PROCESS_MEMORY.total_bytes = TOTAL_BYTES
    context.cleanup.callback(setattr, answer_memory.PROCESS_MEMORY, "total_bytes", before)


@given("a worker that sends {what} until its caller closes")
def given_endless(context, what):
    start(context, ENDLESS[what])


@given("a worker that declares a body of {length:d} bytes and sends none")
def given_declared(context, length):
    def answer(found):
        yield head_of(found, b"Content-Length: %d" % length)
        time.sleep(TIMEOUT_S)

    start(context, answer)


def call(context, worker, number):
    request = WorkerCall("GET", "/x", HOST, f"request-{number}", [], b"")
    began_s = time.monotonic()
    outcome = context.connections.call(worker, request, TIMEOUT_S, TIMEOUT_S * 1000, Cancellation())
    return outcome, time.monotonic() - began_s


def run_at_once(context, count, task):
    """Run a task so many times at once, and note the most memory that was used meanwhile."""
    context.count = count
    tracemalloc.start()
    try:
        with ThreadPoolExecutor(count) as threads:
            results = list(threads.map(task, range(count)))
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    return results


@when("{count:d} requests are sent to it at once")
@when("{count:d} request is sent to it")
def when_sent(context, count):
    context.results = run_at_once(
        context, count, lambda number: call(context, context.worker, number)
    )


@then("each ends as one whose answer is lost, before its time is over")
def then_lost(context):
    for outcome, seconds in context.results:
        assert outcome.state is AttemptState.UNKNOWN, outcome.state
        assert "TimeoutError" not in outcome.detail, outcome.detail
        assert seconds < TIMEOUT_S, (seconds, outcome.detail)


@then("no more memory was held than is allowed")
def then_memory(context):
    allowed = COPIES * (TOTAL_BYTES + context.count * FREE_BYTES) + context.count * CALL_BYTES
    assert context.peak_bytes <= allowed, (context.peak_bytes, allowed)
    for memory in (context.memory, answer_memory.PROCESS_MEMORY):
        assert not memory.held_bytes, memory.held_bytes


@when("{count:d} requests are sent to it at once, and {others:d} others to a worker that answers")
def when_beside(context, count, others):
    sound = start_worker(context, answer_of, keeps_open=True)

    def send(number):
        return call(context, context.worker if number < count else sound, number)

    context.others = run_at_once(context, count + others, send)[count:]


@then("those {count:d} are answered")
def then_answered(context, count):
    bodies = [outcome.response and outcome.response.body for outcome, _ in context.others]
    assert bodies == [BODY] * count, [outcome.detail for outcome, _ in context.others]


def run_item(context, stage, number):
    """Whether an item's stage ends at the worker as if it was done."""
    job = make_job(f"job-{number}", 1, 1)
    route = Route(host=HOST, path_prefix="/draft/", kind=RouteKind.ROLLOUT)
    progress = ItemProgress(job, route, job.items[0])
    runner = ItemRunner(context.connections, context.loads)
    context.loads.acquire(context.worker)
    if stage is Stage.GENERATION:
        runner.run_generation(progress, context.worker, Cancellation())
    else:
        progress.complete_generation()
        runner.run_scoring(progress, context.worker, Cancellation())
    return progress.stage is not stage


def read_watch(context, _number):
    changes = HttpObjectStore(ConnectionPool(context.worker.address), TIMEOUT_S).watch(1, TIMEOUT_S)
    return all(isinstance(each, Success) for each in changes)


READERS = {
    "texts of items": lambda context, number: run_item(context, Stage.GENERATION, number),
    "scores of items": lambda context, number: run_item(context, Stage.SCORING, number),
    "reports on workers": lambda context, _number: (
        PlatformWorkers().report(context.worker.address, TIMEOUT_S) is not None
    ),
    "answers of the metadata store": lambda context, _number: isinstance(
        PlatformStore(context.worker.address).list_kind("servers"), Success
    ),
    "lines of a watch": read_watch,
}


@when("{answers} are read from it, {count:d} at once")
def when_read(context, answers, count):
    context.loads = WorkerLoads("a")

    def read(number):
        began_s = time.monotonic()
        return READERS[answers](context, number), time.monotonic() - began_s

    context.results = run_at_once(context, count, read)


@then("none of them is taken for whole, and each ended in less than {limit:d} s")
def then_not_whole(context, limit):
    for is_whole, seconds in context.results:
        assert not is_whole
        assert seconds < limit, seconds


@given("two workers behind a gateway that send {what} until their caller closes")
def given_gateway(context, what):
    start(context, ENDLESS[what])

    def stand_in(instance, worker):
        fields = {"service": "app", "address": worker.address, "zone": "a", "slots": 4}
        entry = fields | {"state": "ready"}
        return SimpleNamespace(instance=instance, entry=lambda _service: entry)

    workers = [context.worker, start_worker(context, ENDLESS[what])]
    stand_ins = [stand_in(f"i-{at}", worker) for at, worker in enumerate(workers)]
    context.gateway = GatewayUnderTest(stand_ins)
    context.cleanup.callback(context.gateway.close)


@when("a client requests a stream that may be resumed")
def when_stream(context):
    def request(_number):
        began_s = time.monotonic()
        try:
            is_whole = context.gateway.send("/resumable/x", deadline_ms=20_000).whole
        except ConnectionError:
            is_whole = False
        return is_whole, time.monotonic() - began_s

    ((context.is_whole, context.seconds),) = run_at_once(context, 1, request)


@then("the stream is broken off in less than {limit:d} s")
def then_broken_off(context, limit):
    assert not context.is_whole
    assert context.seconds < limit, context.seconds
