"""Steps of connections that misbehave at the gateway."""

import json
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings, strategies

from bellweir.clients.interface import ApplicationAnswer
from bellweir.http_server.body_pipe import BodyCutError
from support.gateway_calls import (
    gateway_ask_raw,
    gateway_call,
    gateway_read_all,
    gateway_send,
    gateway_start,
    gateway_threads_held,
)

VALID = b"POST /apps/web/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
UNREADABLE = (
    b"GET\r\n\r\n",
    b"get / HTTP/1.1\r\n\r\n",
    b"GET / HTTP/1.1\r\nA b: c\r\n\r\n",
    b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    b"GET / HTTP/1.1\r\nContent-Length: 1, 2\r\n\r\nab",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    b"GET / HTTP/1.1\r\nA: " + b"a" * 70_000 + b"\r\n\r\n",
)
READABLE = (
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
    b"POST /v1/completions HTTP/1.1\r\nContent-Length: 2\r\n\r\n{]",
    b"POST /v1/completions HTTP/1.1\r\nContent-Length: 2\r\n\r\n[]",
    b"POST /v1/steps HTTP/1.1\r\nContent-Length: 4\r\n\r\nnull",
    b"GET /v1/steps/a/samples?cursor=x HTTP/1.1\r\n\r\n",
    b"GET /v1/steps/a/samples?wait_s=nan HTTP/1.1\r\n\r\n",
    b"GET /apps/web/ HTTP/1.1\r\nX-Bellweir-Class: fast\r\n\r\n",
    b"GET /apps/web/ HTTP/1.1\r\nX-Bellweir-Deadline-Ms: -1\r\n\r\n",
    b"GET /apps/web/ HTTP/1.1\r\nIdempotency-Key:\r\n\r\n",
)
MALFORMED = UNREADABLE + READABLE
LONG_BODY = b"a" * 2_000_000


@then(
    "malformed, truncated and random bytes at the gateway get a 4xx or 5xx or a closed connection"
)
def step_malformed(context):
    for sent in MALFORMED:
        status, body = gateway_ask_raw(context, sent)
        assert 400 <= status < 500 or status == 501, (sent[:60], status)
        # Headers that can't be read may have held the key of a request that ran before.
        run_state = (
            b"not_run" if sent in READABLE and b"Idempotency-Key" not in sent else b"unknown"
        )
        assert b'"run_state":"%s"' % run_state in body, (sent[:60], body)

    @property_given(
        sent=strategies.binary(max_size=300)
        | strategies.integers(0, len(VALID) - 1).map(lambda length: VALID[:length])
    )
    @settings(max_examples=80)
    def property_of_garbage(sent):
        forwarded_before = len(context.gateway.dispatcher.forwarded)
        answer = gateway_send(context, sent)
        assert answer == b"" or answer[9:10] in (b"4", b"5"), answer[:80]
        assert len(context.gateway.dispatcher.forwarded) == forwarded_before

    property_of_garbage()


@then("the gateway has no busy connection and answers the next request")
def step_next(context):
    context.wait_until(
        lambda: context.gateway.server.busy_connections() == 0, "no connection is busy"
    )
    assert gateway_call(context, "GET", "/healthz")[0] == 200
    context.wait_until(
        lambda: not context.gateway.server.active_channels, "every connection is closed"
    )


@then("slow headers and a slow body get 408 from the gateway")
def step_slow(context):
    slow = (
        (b"GET / HTTP/1.1\r\nA", b"unknown"),
        (b"POST /v1/steps HTTP/1.1\r\nContent-Length: 9\r\n\r\na", b"not_run"),
    )
    for sent, run_state in slow:
        with socket.create_connection(("127.0.0.1", context.gateway.port), timeout=30) as raw:
            raw.sendall(sent)
            answer = gateway_read_all(raw)
        assert answer[:12] in (b"HTTP/1.0 408", b"HTTP/1.1 408"), answer[:80]
        assert b'"run_state":"%s"' % run_state in answer


def pieces_after(seconds):
    time.sleep(seconds)
    yield from [LONG_BODY[:100_000]] * 20


@then("a gateway body that is too long gets 413, however it is framed")
def step_too_long(context):
    dispatcher = context.gateway.dispatcher
    cuts = []

    def read(request):
        try:
            return dispatcher.echo(request)
        except BodyCutError as failure:
            cuts.append(failure.status)
            raise

    dispatcher.answer = read
    for body in (LONG_BODY, pieces_after(0), pieces_after(0.3)):
        forwarded_before = len(dispatcher.forwarded)
        status, _, answer = gateway_call(context, "POST", "/apps/web/upload", body)
        assert status == 413, status
        was_forwarded = len(dispatcher.forwarded) > forwarded_before
        # A body in chunks is passed on as it comes, before its length is known.
        assert body is not LONG_BODY or not was_forwarded, "forwarded"
        expected = "unknown" if was_forwarded else "not_run"
        assert json.loads(answer)["run_state"] == expected, (expected, answer)
    assert cuts == [413] * len(dispatcher.forwarded), (cuts, len(dispatcher.forwarded))
    status = gateway_call(context, "POST", "/apps/web/upload", b"a" * 4096)[0]
    assert status == 200, status


@when("a gateway caller asks for an endless answer and reads none of it")
def step_endless(context):
    context.closed = threading.Event()

    def endless():
        try:
            while True:
                yield b"x" * 65536
        finally:
            context.closed.set()

    context.gateway.dispatcher.answer = lambda _: ApplicationAnswer(200, (), endless())
    raw = socket.create_connection(("127.0.0.1", context.gateway.port))
    context.cleanup.callback(raw.close)
    raw.sendall(b"GET /apps/web/endless HTTP/1.1\r\nHost: x\r\n\r\n")


@then("the gateway closes that answer and its threads are free")
def step_endless_closed(context):
    assert context.closed.wait(30)
    context.wait_until(lambda: gateway_threads_held(context) == 0, "no thread is held")


@given("a gateway whose loop looks at a connection only after an event of its own")
def step_no_full_look(context):
    # Three quarters of the threads serve applications: enough for one request of each connection.
    gateway_start(context, limits={"maintenance_period_s": 3600}, threads=32)


@then("{count:d} gateway connections that send, pipeline and read slowly get all of their answers")
def step_all_answered(context, count):
    big = b"x" * 3_000_000
    context.gateway.dispatcher.answer = lambda _: ApplicationAnswer(
        200, (("Content-Length", str(len(big))),), iter((big,))
    )
    ask_big = b"GET /apps/web/big HTTP/1.1\r\nHost: x\r\n\r\n"
    ask_small = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"

    def talk():
        with socket.create_connection(("127.0.0.1", context.gateway.port), timeout=60) as raw:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            for _ in range(40):
                raw.sendall(ask_small)
                length = read_one_answer(raw)
                assert length == 16, length
            for _ in range(4):
                raw.sendall(ask_small * 3 + ask_big + ask_small)
                lengths = [read_one_answer(raw) for _ in range(5)]
                assert lengths == [16, 16, 16, len(big), 16], lengths

    with ThreadPoolExecutor(count) as pool:
        talks = [pool.submit(talk) for _ in range(count)]
        for each in talks:
            each.result()


def read_one_answer(raw):
    """Read one answer byte by byte to its headers' end, then its body; return its length."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        head += raw.recv(1)
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    left = length
    while left:
        left -= len(raw.recv(min(left, 65536)))
    return length


@given("a gateway that may hold {count:d} connections")
def step_few_connections(context, count):
    # The loop counts its own two sockets too.
    gateway_start(context, limits={"connections": count + 2, "crowded_idle_s": 0})


@when("{count:d} idle connections are opened at the gateway")
def step_idle_connections(context, count):
    for _ in range(count):
        raw = socket.create_connection(("127.0.0.1", context.gateway.port), timeout=30)
        context.cleanup.callback(raw.close)


@then("the gateway closes idle ones and answers the next request")
def step_idle_closed(context):
    assert gateway_call(context, "GET", "/healthz")[0] == 200
    assert len(context.gateway.server.active_channels) <= 8
