"""A hosted gateway in this process with stand-in workers."""

import io
import threading
import time
from types import SimpleNamespace

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.support.hosted_gateway import GatewayUnderTest
from features.support.hosted_jobs import HOST, make_job
from features.support.waiting import wait_until
from hypothesis import given, settings

from bellweir.hosted.batches.attempts import ItemRunner
from bellweir.hosted.batches.progress import ItemProgress
from bellweir.hosted.interface import Listing, StoredRecord
from bellweir.hosted.records import Configuration, Route, RouteKind
from bellweir.hosted.serving.attempt import (
    AttemptOutcome,
    AttemptState,
    BufferedResponse,
    Cancellation,
    WorkerConnections,
)
from bellweir.hosted.serving.client_request import ClientRequest
from bellweir.hosted.serving.forwarding import Forwarder
from bellweir.hosted.serving.metrics import RequestMetrics
from bellweir.hosted.serving.selection import WeightedRoundRobin, WorkerLoads
from bellweir.hosted.serving.service import FrontService
from bellweir.hosted.views.configuration import RouteTable
from bellweir.hosted.views.workers import WorkersView
from bellweir.http_server.server import HttpServer
from bellweir_platform.headers import HEADERS
from bellweir_rehearsal.hosted.worker import WorkerStandIn, answer_to, event_of, stamp_of

EVENTS = 6
STOP_DEADLINE_S = 8.0
FAULTS = {
    "refuse": "refuse",
    "lose the answer": "lose_answer",
    "answer another id": "wrong_id",
    "answer unsigned": "unsigned",
    "fail": "fail",
}
PATHS = {
    "an idempotent": "/idempotent/x",
    "a single-run": "/single/x",
    "a streaming": "/stream/x",
    "a resumable": "/resumable/x",
}
LOAD_HEADER = "X-Bellweir-Server-Load"


def start(context, workers):
    context.workers = workers
    context.gateway = GatewayUnderTest(list(workers.values()))
    context.cleanup.callback(context.gateway.close)
    for worker in workers.values():
        context.cleanup.callback(worker.close)


@given_step('workers "a" and "b" behind a gateway')
def given_workers(context):
    start(context, {name: WorkerStandIn(f"i-{name}") for name in "ab"})


@given_step("model workers behind the gateway")
def given_model_workers(context):
    workers = [WorkerStandIn(f"i-{name}", model="m", events=EVENTS) for name in "ab"]
    start(context, dict(zip("ab", workers, strict=True)))


@given_step("workers behind the gateway")
def given_workers(context):
    """They stand there already."""


@given_step("the workers fold a header of their answers")
def given_folded_header(context):
    for worker in context.workers.values():
        worker.told_load = "one\r\n two"


@then("it gets 200 with that header on one line")
def then_header_unfolded(context):
    assert context.answer.status == 200, context.answer
    assert context.answer.headers[LOAD_HEADER] == "one two", context.answer.headers


@then("no request is in flight at a worker, and no client is watched")
def then_nothing_counted(context):
    gateway = context.gateway
    workers = [gateway.workers.worker(f"i-{name}").incarnation for name in context.workers]

    def is_free():
        return not any(map(gateway.loads.in_flight, workers)) and not gateway.caller_watch._watched

    context.wait_until(is_free, "no request in flight and no client watched")


@when("the server gets a stream's answer and {ends_it}")
def when_stream_unread(context, ends_it):
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/stream/x",
        "REQUEST_URI": "/stream/x",
        "QUERY_STRING": "",
        "REMOTE_ADDR": "127.0.0.1",
        "HTTP_HOST": HOST,
        "HTTP_X_BELLWEIR_ATTEMPT_ID": "unread",
        "HTTP_X_BELLWEIR_DEADLINE_MS": "5000",
        "wsgi.input": io.BytesIO(),
        "waitress.client_disconnected": lambda: False,
    }
    heads = []

    def start_response(status, headers):
        heads.append(status)
        if ends_it == "can't write its status line":
            raise ValueError("made by the test")

    try:
        context.gateway.application(environ, start_response).close()
    except ValueError:
        assert ends_it == "can't write its status line"
    assert heads == ["200 OK"], heads


@given_step('worker "{name}" will {fault} once')
def given_fault(context, name, fault):
    setattr(context.workers[name].faults, FAULTS[fault], 1)


@given_step('worker "a" is tried first and will {fault} once')
def given_first(context, fault):
    given_fault(context, "a", fault)
    prefer_first(context)


def prefer_first(context):
    """Have the next choice of a worker fall on "a", whenever it comes."""
    loads, first = context.gateway.loads, context.gateway.workers.worker("i-a")
    choose = loads.choose

    def choose_first(_workers, tried, **options):
        loads.choose = choose
        return choose([first], tried, **options)

    loads.choose = choose_first


@given_step("the workers' entries name other instances")
def given_reused(context):
    entries = {f"other-{name}": each.entry("app") for name, each in context.workers.items()}
    context.gateway.show_workers(entries)


@given_step("both workers take {seconds:d} s")
def given_slow(context, seconds):
    for worker in context.workers.values():
        worker.faults.delay_s = seconds


@given_step("the next stream breaks in the middle of event {number:d}")
def given_broken_stream(context, number):
    first = context.workers["a"]
    first.faults.cut_after_event = number - 1
    prefer_first(context)


BREAKS = {
    "breaks its stream in the 4th event": ("cut_after_event", 3),
    "loses its answer": ("lose_answer", 1),
}


@given_step('worker "a" is tried first, takes {seconds:g} s and {breaks}')
def given_breaking(context, seconds, breaks):
    first = context.workers["a"]
    first.faults.delay_s = seconds
    setattr(first.faults, *BREAKS[breaks])
    prefer_first(context)


@given_step('as it runs, worker "b" begins to drain and worker "c" gets ready')
def given_drain_meanwhile(context):
    workers = context.workers
    workers["c"] = WorkerStandIn("i-c", model="m", events=EVENTS)
    context.cleanup.callback(workers["c"].close)

    def change(_request_id):
        states = {"a": "ready", "b": "draining", "c": "ready"}
        context.gateway.show_workers(
            {f"i-{name}": workers[name].entry("app", state=state) for name, state in states.items()}
        )

    workers["a"]._on_run = change


@then('it gets status {status:d}, "b" ran nothing, and "c" ran it')
def then_not_at_draining(context, status):
    assert context.answer.status == status, context.answer
    ran = {
        name: worker.record.ran[context.answer.request_id]
        for name, worker in context.workers.items()
    }
    assert ran == {"a": 1, "b": 0, "c": 1}, ran


@when("a client sends {kind} request")
def when_sent(context, kind):
    context.answer = context.gateway.send(PATHS[kind])


@when("a client sends an idempotent request whose route allows 300 ms")
def when_sent_short(context):
    began_s = time.monotonic()
    context.answer = context.gateway.send("/short/x")
    context.took_s = time.monotonic() - began_s


@when("a client sends a request that matches no route")
def when_sent_nowhere(context):
    context.answer = context.gateway.send("/nowhere/x")


@when("the gateway has no configuration")
def when_no_configuration(context):
    context.gateway.forget_configuration()


@when("a client sends a body of {size:d} bytes in chunks")
def when_sent_long(context, size):
    context.size = size
    pieces = (b"x" * 10_000 for _ in range(size // 10_000))
    context.answer = context.gateway.send("/idempotent/x", pieces)


@when("a client requests a resumable stream")
def when_resumable(context):
    context.answer = context.gateway.send("/resumable/x")


@when("a client requests a stream that is not resumable")
def when_not_resumable(context):
    context.answer = context.gateway.send("/stream/x")


@when("a client sends an idempotent request and disconnects")
def when_left(context):
    context.left_id = context.gateway.send_and_leave("/idempotent/x")


@then("it gets the worker's signed answer")
def then_answer(context):
    answer = context.answer
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == answer_to(answer.request_id, b"body")
    assert answer.headers["X-Bellweir-Server-Stamp"] == stamp_of(answer.request_id)
    assert answer.headers["X-Bellweir-Attempt-Id"] == answer.request_id


@then("it gets {status:d}, and the request ran {count:d} times")
def then_status(context, status, count):
    assert context.answer.status == status, context.answer
    ran = sum(each.record.ran[context.answer.request_id] for each in context.workers.values())
    assert ran == count, f"ran {ran} times"
    if status == 200:
        then_answer(context)
    elif status == 500:
        assert context.answer.headers["X-Bellweir-Server-Stamp"] == "failed"
    else:
        assert "X-Bellweir-Server-Stamp" not in context.answer.headers


@then("it gets {status:d}")
def then_only_status(context, status):
    assert context.answer.status == status, context.answer


@then("its response has a Retry-After header")
def then_retry_after(context):
    assert context.answer.status == 503
    assert 0 < float(context.answer.headers["Retry-After"]) < 1


@then("it gets 504 within half a second of the timeout")
def then_timed_out(context):
    assert context.answer.status == 504, context.answer
    assert context.took_s < 0.8


@then("the worker got all of it")
def then_all(context):
    assert context.answer.status == 200
    assert context.answer.body == answer_to(context.answer.request_id, b"x" * context.size)


@then("it gets every event once and in order")
def then_every_event(context):
    answer = context.answer
    wanted = b"".join(event_of(answer.request_id, number) for number in range(1, EVENTS + 1))
    assert (answer.status, answer.whole, answer.body) == (200, True, wanted)


@then("its response is cut off after event {number:d}")
def then_cut(context, number):
    answer = context.answer
    assert not answer.whole, answer
    wanted = b"".join(event_of(answer.request_id, each) for each in range(1, number + 1))
    assert wanted.startswith(answer.body), answer


@then("a route's requests are distributed by weight to within one request, for any weights")
def then_shared(context):
    @settings(max_examples=60)
    @given(weights=st.lists(st.integers(0, 9), min_size=2, max_size=4).filter(any))
    def shared(weights):
        parts = tuple((f"service-{number}", float(weight)) for number, weight in enumerate(weights))
        split, counts = WeightedRoundRobin(), dict.fromkeys((name for name, _ in parts), 0)
        total = sum(weights)
        rounds = 5
        for _ in range(rounds * total):
            order = split.order(parts, ("route", 1))
            counts[order[0]] += 1
        for name, weight in parts:
            assert abs(counts[name] - rounds * weight) <= len(parts), counts

    shared()


@then("the gateway aborts its attempt within half a second")
def then_ended(context):
    loads, workers = context.gateway.loads, context.gateway.workers.all()

    def in_hand():
        return sum(loads.in_flight(worker.incarnation) for worker in workers)

    deadline_s = time.monotonic() + 0.5
    while in_hand() and time.monotonic() < deadline_s:
        threading.Event().wait(0.01)
    assert in_hand() == 0


@then("streams cancelled at any moment leave no request in flight and no error behind")
def then_places(context):
    job = make_job("job", 1, 1)
    route = Route(host=HOST, path_prefix="/draft/", kind=RouteKind.ROLLOUT)
    for worker in context.workers.values():
        worker.event_pause_s = 0.002
    loads = WorkerLoads("a")
    connections = WorkerConnections(HEADERS)
    context.cleanup.callback(connections.retain, set())
    attempts = ItemRunner(connections, loads)
    worker = context.gateway.workers.worker("i-a")
    for number in range(60):
        progress, cancellation = ItemProgress(job, route, job.items[0]), Cancellation()
        loads.acquire(worker)
        timer = threading.Timer(0.0004 * number, cancellation.cancel)
        timer.start()
        attempts.run_generation(progress, worker, cancellation)
        timer.join()
        assert loads.in_flight(worker.incarnation) == 0


STATES = st.sampled_from(("answered", "failed", "refused", "not_sent", "unknown", "unknown_ran"))


class ScriptedConnections:
    """Ends each attempt as scripted and records which workers ran it."""

    def __init__(self, script):
        self.script = list(script)
        self.ran = []
        self.sent = []

    def call(self, worker, call, timeout_s, deadline_ms, cancellation):
        outcome = self.script.pop(0) if self.script else "refused"
        self.sent.append(worker.instance)
        if outcome in ("answered", "failed", "unknown_ran"):
            self.ran.append(worker.instance)
        if outcome in ("answered", "failed"):
            status = 200 if outcome == "answered" else 500
            return AttemptOutcome(AttemptState.ANSWERED, "", BufferedResponse(status, [], b""))
        return AttemptOutcome(AttemptState(outcome.removesuffix("_ran")))


@then(
    "whatever the outcomes of its attempts, a request runs no more often than its "
    "route allows, and its status is true"
)
def then_true_always(context):
    @settings(max_examples=300)
    @given(
        script=st.lists(STATES, max_size=8),
        kind=st.sampled_from((RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT)),
        attempts=st.integers(1, 4),
        workers=st.integers(0, 5),
        replayable=st.booleans(),
    )
    def true_always(script, kind, attempts, workers, replayable):
        view = WorkersView()
        entry = {"service": "app", "address": "h:1", "zone": "a", "slots": 1, "state": "ready"}
        records = [StoredRecord("servers", f"i-{at}", 1, entry) for at in range(workers)]
        view.apply_listing(Listing(1, tuple(records)))
        connections = ScriptedConnections(script)
        watch = SimpleNamespace(begin=lambda *_: None, end=lambda _: None)
        loads = WorkerLoads("a")
        forwarder = Forwarder(view, loads, connections, watch, RequestMetrics())
        route = Route(host=HOST, path_prefix="/", kind=kind, service="app", max_attempts=attempts)
        request = SimpleNamespace(method="POST", raw_path="/x", raw_query="", header=lambda _: HOST)
        now_s = time.monotonic()
        body = b"" if replayable else io.BytesIO(b"")
        client = ClientRequest(request, route, "r", now_s, now_s + 9, body, [])
        table = RouteTable(Configuration(version=1, routes=(route,)))
        response = forwarder.forward(client, table)
        assert len(set(connections.sent)) == len(connections.sent), "a worker was tried twice"
        assert len(connections.ran) <= attempts
        if kind is RouteKind.NON_IDEMPOTENT:
            assert len(connections.ran) <= 1, "it ran twice"
        if not replayable:
            assert len(connections.sent) <= 1, "a body that can't be replayed was sent again"
        if response.status in (429, 503):
            assert not connections.ran, "refused although the request ran"
        if response.status in (200, 500):
            assert connections.ran, "a worker's response although the request did not run"
        assert all(loads.in_flight(worker.incarnation) == 0 for worker in view.all())

    true_always()


@when("the gateway shuts down gracefully, and a client's request arrives as it closes its listener")
def when_stops(context):
    server = context.gateway.server
    settings = SimpleNamespace(node=SimpleNamespace(zone="a"))
    front = FrontService(SimpleNamespace(), settings, SimpleNamespace(headers=HEADERS))
    front._requests, front._servers = server, [server]
    context.last_answers = []
    sent = threading.Event()

    def send():
        context.last_answers.append(context.gateway.send("/idempotent/last"))

    def stop_accepting(timeout_s):
        client = threading.Thread(target=send, daemon=True)
        client.start()
        wait_until(lambda: server.busy_connections() > 0, "the request has arrived")
        sent.set()
        HttpServer.stop_accepting(server, timeout_s)

    server.stop_accepting = stop_accepting
    front.drain(STOP_DEADLINE_S)
    front.stop()
    assert sent.is_set()


@then("that client gets its complete response")
def then_whole(context):
    wait_until(lambda: context.last_answers, "the client's response")
    (answer,) = context.last_answers
    assert answer.status == 200, answer
    assert answer.whole, answer
