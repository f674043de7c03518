"""Steps of the gateway's pass-through to applications."""

import hashlib
import http.client
import json
import os
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from behave import then, when
from hypothesis import given as property_given
from hypothesis import settings, strategies

from bellweir.clients.interface import ApplicationAnswer
from bellweir.http_server.body_pipe import FULL_BYTES, BodyCutError
from support.gateway_calls import (
    gateway_ask_raw,
    gateway_call,
)
from support.gateway_fakes import cut_body

METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PURGE")
PATH_CHARACTERS = "abcXYZ019-._~!$&'()*+,;=:@/%25"
HEADER_NAMES = strategies.text("abcdefgh", min_size=1, max_size=8).map(lambda name: "X-" + name)
HEADER_VALUES = strategies.text(
    strategies.characters(min_codepoint=0x21, max_codepoint=0x7E), min_size=1, max_size=20
)


@then("gateway application requests of any method, path, query, headers and body pass unchanged")
def step_pass(context):
    safe = strategies.text("abcXYZ019-._~!$&'()*+,;=:@/", max_size=12)
    escaped = strategies.sampled_from(["", "%2F", "%20", "%C3%A9", "%00", "%25"])
    paths = strategies.tuples(safe, escaped, safe).map("".join)

    @property_given(
        method=strategies.sampled_from(METHODS),
        path=paths,
        query=strategies.none() | safe,
        headers=strategies.dictionaries(HEADER_NAMES, HEADER_VALUES, max_size=4),
        body=strategies.binary(max_size=200),
    )
    @settings(max_examples=60)
    def property_of_passing(method, path, query, headers, body):
        target = f"/{path}" + ("" if not query else f"?{query}")
        hop_by_hop = {"Connection": "X-Hop", "X-Hop": "1", "TE": "trailers"}
        status, answered, returned = gateway_call(
            context, method, f"/apps/web{target}", body, headers | hop_by_hop
        )
        forwarded = context.gateway.dispatcher.forwarded[-1]
        assert status == 200
        assert (forwarded.pool, forwarded.method, forwarded.path) == ("web", method, target)
        passed = {name.lower(): value for name, value in forwarded.headers}
        assert {name.lower(): value for name, value in headers.items()}.items() <= passed.items()
        assert not passed.keys() & {"connection", "x-hop", "te", "transfer-encoding"}
        assert forwarded.body_length == len(body)
        assert returned == body
        assert answered.get_all("Set-Cookie") == ["a=1", "b=2"]
        assert answered.get("X-Private") is None

    property_of_passing()


@when("a gateway application request with a body of {size:d} MiB is sent in chunks")
def step_long(context, size):
    piece = os.urandom(1 << 16)
    pieces = [piece] * (size * 16)
    context.sent = hashlib.sha256(b"".join(pieces)).hexdigest()
    status, _, body = gateway_call(context, "POST", "/apps/web/upload", iter(pieces))
    context.returned = (status, len(body), hashlib.sha256(body).hexdigest())


@then("the gateway returns the same {size:d} MiB")
def step_long_returned(context, size):
    assert context.returned == (200, size << 20, context.sent)


@then("a cut application answer is cut for gateway callers of HTTP/1.0 and HTTP/1.1")
def step_cut(context):
    context.gateway.dispatcher.answer = lambda _: ApplicationAnswer(
        200, (("Content-Length", "100"),), cut_body((b"part",))
    )
    status, _, body = gateway_call(context, "GET", "/apps/web/items")
    assert (status, json.loads(body)["run_state"]) == (502, "ran")
    for headers in ((), (("Content-Length", "1000000"),)):
        context.gateway.dispatcher.answer = lambda _, headers=headers: ApplicationAnswer(
            200, headers, cut_body((b"part",))
        )
        try:
            gateway_call(context, "GET", "/apps/web/items")
        except http.client.IncompleteRead:
            pass
        else:
            raise AssertionError("a cut answer was taken for whole")
    context.gateway.dispatcher.answer = lambda _: ApplicationAnswer(200, (), cut_body((b"part",)))
    with socket.create_connection(("127.0.0.1", context.gateway.port), timeout=30) as raw:
        raw.sendall(b"GET /apps/web/items HTTP/1.0\r\n\r\n")
        try:
            while raw.recv(65536):
                pass
        except ConnectionResetError:
            return
    raise AssertionError("a cut HTTP/1.0 answer ended like a whole one")


LONG_BODY = os.urandom(1 << 20) * 16


@when("a gateway caller sends a long body to an application that reads nothing yet")
def step_send_long(context):
    context.go_on = threading.Event()
    context.cleanup.callback(context.go_on.set)
    context.reading = threading.Event()

    def read_later(request):
        context.reading.set()
        context.go_on.wait(60)
        digest = hashlib.sha256()
        while piece := request.body.read(100_000):
            digest.update(piece)
        return ApplicationAnswer(200, (), iter([digest.hexdigest().encode()]))

    context.gateway.dispatcher.answer = read_later
    context.raw = socket.create_connection(("127.0.0.1", context.gateway.port), timeout=60)
    context.cleanup.callback(context.raw.close)
    head = b"PUT /apps/web/upload HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
    context.raw.sendall(head % len(LONG_BODY))
    pool = ThreadPoolExecutor(1)
    context.cleanup.callback(pool.shutdown)
    context.sending = pool.submit(context.raw.sendall, LONG_BODY)


@then("the gateway takes in a bounded part of the body")
def step_bounded(context):
    assert context.reading.wait(30)
    body = context.gateway.dispatcher.forwarded[-1].body
    context.wait_until(lambda: body.is_full, "the gateway stops reading")
    assert len(body) <= FULL_BYTES + context.gateway.server.limits.receive_bytes
    assert not context.sending.done()


@when("the gateway's application reads the body")
def step_read_long(context):
    context.go_on.set()


@then("it gets the whole body, and the gateway's connection serves the next request")
def step_got_long(context):
    answer = http.client.HTTPResponse(context.raw)
    answer.begin()
    context.sending.result(30)
    assert answer.read().decode() == hashlib.sha256(LONG_BODY).hexdigest()


@then("cut, slow and too long bodies at the gateway get 400, 408 and 413 and are read as cut")
def step_cut_bodies(context):
    cuts = []

    def read(request):
        try:
            request.body.read()
        except BodyCutError as failure:
            cuts.append(failure.status)
            raise
        return ApplicationAnswer(200, (), iter(()))

    context.gateway.dispatcher.answer = read
    declared = b"PUT /apps/web/upload HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n"
    chunked = b"PUT /apps/web/upload HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk = b"10000\r\n" + b"a" * 0x10000 + b"\r\n"
    for sent in (declared + b"a" * 100_000, chunked + chunk):
        answer = gateway_ask_raw(context, sent)
        assert (answer[0], json.loads(answer[1])["run_state"]) == (408, "unknown")
        with socket.create_connection(("127.0.0.1", context.gateway.port)) as raw:
            raw.sendall(sent)
            expected = len(cuts) + 1
            context.wait_until(
                lambda: len(context.gateway.dispatcher.forwarded) >= expected,  # noqa: B023
                "the body is being read",
            )
        context.wait_until(lambda: len(cuts) >= expected, "the body is cut")  # noqa: B023
    for sent, status in ((chunked + b"xyz\r\n", 400), (chunked + chunk + b"-1\r\n", 400)):
        assert gateway_ask_raw(context, sent)[0] == status
    assert gateway_call(context, "PUT", "/apps/web/upload", iter([b"a" * 100_000] * 20))[0] == 413
    assert set(cuts) == {400, 408, 413}


@when("the gateway's node has no configuration yet")
def step_no_configuration(context):
    context.gateway.configuration.ready = False


@then("gateway requests for work are refused with 503, not_run and when to come back")
def step_not_ready(context):
    for method, path in (
        ("GET", "/apps/web/x"),
        ("POST", "/v1/completions"),
        ("GET", "/v1/steps/a"),
    ):
        status, headers, body = gateway_call(context, method, path)
        assert (status, headers["Retry-After"]) == (503, "1")
        assert b'"run_state":"not_run"' in body
    context.gateway.configuration.ready = True
    assert gateway_call(context, "GET", "/apps/web/x")[0] == 200
