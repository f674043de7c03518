"""Steps of `platform_outcomes.feature`."""

import itertools
from concurrent.futures import ThreadPoolExecutor

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Result, Success

from bellweir.clients.answers import decode_answer
from bellweir.clients.interface import (
    EngineOrder,
    EngineRole,
    GenerationCall,
    ScoreCall,
)
from bellweir.clients.pool import ConnectionPool, HttpCall
from bellweir.clients.service import HttpPlatformClients
from bellweir.settings.models import PlatformSettings
from support.lossy_server import BODY, LossPoint, LossyServer, TricklingServer

TIMEOUT_S = 5.0
POST = HttpCall("POST", "/score", TIMEOUT_S, {}, b"0123456789" * 10)


def serve(context, server):
    context.cleanup.callback(server.stop)
    context.server = server
    context.pool = ConnectionPool(server.address)
    context.cleanup.callback(context.pool.close)


def outcome_of(result):
    return "success" if isinstance(result, Success) else result.failure().kind.value


class FixedServer(LossyServer):
    """Answers given bytes once on each connection, and closes it."""

    def __init__(self, answer):
        self._fixed = answer
        super().__init__(LossPoint.BEFORE_READING, healthy_calls=1)

    def _answer(self):
        return self._fixed


class EndlessServer(LossyServer):
    """Answers a body that ends with the connection alone."""

    def __init__(self):
        super().__init__(LossPoint.AFTER_THE_REQUEST, healthy_calls=1)

    def _serve(self, connection):
        self._read_request(connection)
        connection.sendall(b"HTTP/1.0 200 OK\r\n\r\n" + BODY)
        self._close(connection)


@given("a platform server that has stopped listening")
def step_stopped(context):
    serve(context, LossyServer(LossPoint.NOWHERE))
    context.server.stop()


@given("a platform server that closes its connections {point}")
def step_closes(context, point):
    chunked = point == LossPoint.BEFORE_THE_END_MARKER.value
    serve(context, LossyServer(LossPoint(point), chunked=chunked))


@given("a platform server that answers {calls:d} call and then closes {point}")
@given("a platform server that answers {calls:d} calls and then closes {point}")
def step_answers_then_closes(context, calls, point):
    serve(context, LossyServer(LossPoint(point), healthy_calls=calls))


@given("a platform server that trickles its answer for ever")
def step_trickles(context):
    serve(context, TricklingServer(0.05))


@given("a platform server whose answer ends with the connection alone")
def step_endless(context):
    serve(context, EndlessServer())


@given("a platform server that answers status {status:d} with body {body}")
def step_fixed(context, status, body):
    serve(context, FixedServer(whole_answer(status, body.encode())))


@when("a platform request is sent once to that server")
def step_send(context):
    context.outcome = outcome_of(context.pool.call(POST))


@when("a platform request is sent once to that server with a deadline of {seconds:f} seconds")
def step_send_with_deadline(context, seconds):
    call = HttpCall("POST", "/score", seconds, {}, b"body")
    context.outcome = outcome_of(context.pool.call(call))


@when("a platform request is sent as a write")
def step_send_write(context):
    decoded = context.pool.call(POST).bind(
        lambda answer: decode_answer(answer, dict[str, float], writes=True)
    )
    context.outcome = outcome_of(decoded)


@when("two platform requests are sent over one connection")
def step_send_two(context):
    assert outcome_of(context.pool.call(POST)) == "success"
    context.outcome = outcome_of(context.pool.call(POST))


@when("two platform requests are sent, the second once the connection is closed")
def step_send_second_later(context):
    assert outcome_of(context.pool.call(POST)) == "success"
    context.wait_until(lambda: not context.server._connections, "the server closed")
    context.outcome = outcome_of(context.pool.call(POST))


@when("a platform answer is dropped after its connection has gone to another call")
def step_late_drop(context):
    first = context.pool.open(POST, POST.body).unwrap()
    assert first.read_all() == BODY
    first.finish()
    context.second = context.pool.open(POST, POST.body).unwrap()
    first.drop()


@then("the other platform call gets its whole answer")
def step_second_whole(context):
    assert context.second.read_all() == BODY
    assert context.server.requests_read == 2
    assert len(context.server._connections) == 1, "both calls used one connection"


@when("the platform clients are closed while a call waits")
def step_close_while_waiting(context):
    with ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(context.pool.call, POST)
        context.wait_until(lambda: context.server.requests_read == 1, "the request was read")
        context.pool.close()
        context.outcome = outcome_of(waiting.result(timeout=TIMEOUT_S - 1))


@when("a platform request is sent after the clients were closed")
def step_send_after_close(context):
    context.pool.close()
    context.outcome = outcome_of(context.pool.call(POST))


@then('the platform outcome is "{outcome}"')
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@then("the platform server has read {count:d} requests")
def step_requests_read(context, count):
    assert context.server.requests_read == count, context.server.requests_read


@then("over losses at any point, by any way of closing, platform outcomes agree with the server")
def step_property(context):
    @settings(max_examples=25)
    @for_all(
        point=st.sampled_from(LossPoint),
        chunked=st.booleans(),
        healthy_calls=st.integers(0, 2),
        reset=st.booleans(),
        body=st.sampled_from([b"", b"x", b"y" * 5_000_000]),
    )
    def check(point, chunked, healthy_calls, reset, body):
        server = LossyServer(point, chunked=chunked, healthy_calls=healthy_calls, reset=reset)
        pool = ConnectionPool(server.address)
        try:
            for _ in range(healthy_calls + 1):
                check_one_call(server, pool, body)
        finally:
            pool.close()
            server.stop()

    check()


DEEP = b"[" * 3000
DEEP_OBJECT = b'{"kind": "k", "name": "n", "version": 1, "document": {"x": %s' % DEEP
NESTED = (
    DEEP,
    b'{"unknown field": ' + DEEP,
    DEEP_OBJECT,
    b'{"change": {"revision": 1, "deleted": false, "stored": ' + DEEP_OBJECT,
    b'{"revision": 1, "objects": [' + DEEP_OBJECT,
)


@then("over any bytes, any JSON and any depth of nesting each platform client returns a result")
def step_any_answer(context):
    json_text = st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from(KEYS), inner, max_size=4)
        ),
        max_leaves=8,
    ).map(msgspec.json.encode)
    body = st.one_of(json_text, st.binary(max_size=40), st.sampled_from(NESTED))
    answer = st.one_of(
        st.binary(max_size=80),
        st.builds(whole_answer, st.sampled_from([200, 304, 409, 503, 999]), body),
        st.builds(chunked_answer, body),
    )

    @settings(max_examples=25)
    @for_all(answer=answer)
    def check(answer):
        server = FixedServer(answer)
        clients = HttpPlatformClients(
            PlatformSettings(
                object_api=server.address,
                machine_list=server.address,
                weight_store=server.address,
            )
        )
        try:
            for result in call_every_client(clients, server.address):
                assert isinstance(result, Result), result
        finally:
            clients.close()
            server.stop()

    check()


KEYS = ["chunk", "tokens", "change", "error", "revision", "objects", "kind", "score", "events"]


def whole_answer(status, body):
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def chunked_answer(line):
    body = line + b"\n"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


def call_every_client(clients, address):
    store, engine = clients.object_store(), clients.engine(address)
    yield store.list_objects()
    yield store.get("Policy", "a")
    yield store.put({"kind": "Policy", "metadata": {"name": "a"}}, 0, "mutation")
    yield store.delete("Policy", "a", 1)
    yield from itertools.islice(store.watch(0, 0.1), 3)
    yield clients.machine_list().read()
    yield clients.weight_store().read_manifest("model", 1)
    yield clients.scorer(address).score(ScoreCall("s", "p", "t"), TIMEOUT_S)
    yield clients.application(address).read_ready(TIMEOUT_S)
    yield engine.read_state(TIMEOUT_S)
    yield engine.read_cache_events(0)
    yield engine.cancel("attempt")
    yield engine.order(EngineOrder((1, 1), "model", 1, (), EngineRole.MIXED, ()))
    started = engine.generate(GenerationCall("a", "r", "p", (), 5, 0, "model", None, None))
    yield started
    if isinstance(started, Success):
        yield from started.unwrap()


def check_one_call(server, pool, body):
    bytes_before, whole_before = server.bytes_read, server.whole_answers
    result = pool.call(HttpCall("POST", "/x", TIMEOUT_S, {}, body))
    outcome = outcome_of(result)
    answered = server.whole_answers > whole_before
    if isinstance(result, Success):
        assert answered, "an answer that was never sent whole is called whole"
        assert msgspec.json.decode(result.unwrap().body) == {"score": 0.25}
    else:
        assert outcome in ("unknown", "not_run"), outcome
        # A reset may throw away what had arrived, so only then may a whole answer be lost.
        assert server.reset or not answered, "a whole answer was lost"
    if outcome == "not_run":
        assert server.bytes_read == bytes_before, "a request that was read is called not run"
