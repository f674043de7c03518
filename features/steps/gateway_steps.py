"""Steps of the gateway: its real HTTP port on fake services."""

import hashlib
import http.client
import json
import os
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import openai
from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings, strategies

from bellweir.gateway.admission import (
    LARGEST_SHARES,
    LARGEST_TOTAL,
    ThreadShare,
    ThreadShares,
)
from bellweir.platform.interface import ApplicationAnswer
from bellweir.resources.models import RequestClass
from bellweir.routing.interface import Refusal, RefusalReason, RunState
from support.gateway_fakes import FakeGeneration, cut_body, start_gateway_node

CLIENT_TIMEOUT_S = 30.0
SHORT_LIMITS = {"header_timeout_s": 1, "body_grace_s": 1, "write_stall_s": 1, "linger_s": 1}


def gateway_start(context, **options):
    node = start_gateway_node(**options)
    context.cleanup.callback(node.stop)
    context.gateway = node
    context.openai = openai.OpenAI(
        base_url=f"http://{node.address}/v1",
        api_key="token",
        max_retries=0,
        timeout=CLIENT_TIMEOUT_S,
    )
    context.cleanup.callback(context.openai.close)


def gateway_call(context, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection("127.0.0.1", context.gateway.port, timeout=30)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        connection.close()


def gateway_ask_raw(context, sent):
    """Send raw bytes and return the status and body of the answer."""
    with socket.create_connection(("127.0.0.1", context.gateway.port), timeout=30) as raw:
        raw.sendall(sent)
        answer = http.client.HTTPResponse(raw)
        answer.begin()
        return answer.status, answer.read()


def gateway_send(context, sent):
    """Send raw bytes, close our side, and return all that comes back."""
    with socket.create_connection(("127.0.0.1", context.gateway.port), timeout=30) as raw:
        raw.sendall(sent)
        raw.shutdown(socket.SHUT_WR)
        return gateway_read_all(raw)


def gateway_read_all(raw):
    received = b""
    try:
        while data := raw.recv(65536):
            received += data
    except ConnectionResetError:
        pass
    return received


def gateway_threads_held(context):
    status = json.loads(gateway_call(context, "GET", "/status")[2])
    by_share = status["threads"]["by_share"]
    return sum(count for share, count in by_share.items() if share != "system")


@given("a gateway on fake services")
def step_gateway(context):
    gateway_start(context)


@given("a gateway with short time limits and a longest body of {size:d} bytes")
def step_gateway_short(context, size):
    gateway_start(context, limits=SHORT_LIMITS, maximum_body_bytes=size)


# --- OpenAI's interface -----------------------------------------------------------------------


@when("the gateway is asked for a completion with OpenAI's client")
def step_ask(context):
    context.failure = None
    try:
        context.answer = context.openai.completions.with_raw_response.create(
            model="quotes", prompt="a window"
        )
    except openai.APIStatusError as failure:
        context.failure = failure


@then('the gateway\'s answer is "{text}" from weight versions 3 and 4 in body and header')
def step_answer(context, text):
    assert context.answer.headers["X-Bellweir-Weight-Versions"] == "3,4"
    answer = context.answer.parse()
    assert answer.choices[0].text == text
    assert answer.choices[0].finish_reason == "stop"
    assert answer.usage.completion_tokens == 3
    assert answer.bellweir["weight_versions"] == [3, 4]
    segments = answer.bellweir["choices"][0]["segments"]
    assert [(each["weight_version"], each["token_count"]) for each in segments] == [(3, 2), (4, 1)]


@then("the gateway's streamed answer is the same, with usage at its end")
def step_streamed(context):
    stream = context.openai.completions.create(
        model="quotes", prompt="a window", stream=True, stream_options={"include_usage": True}
    )
    chunks = list(stream)
    assert "".join(chunk.choices[0].text for chunk in chunks[:-1]) == "one two three"
    assert chunks[-2].choices[0].finish_reason == "stop"
    assert chunks[-1].usage.completion_tokens == 3
    assert chunks[-1].bellweir["weight_versions"] == [3, 4]


@then("the gateway's chat answers are the same, whole and streamed")
def step_chat(context):
    messages = [
        {"role": "system", "content": "be short"},
        {"role": "user", "content": [{"type": "text", "text": "a window"}]},
    ]
    whole = context.openai.chat.completions.create(model="quotes", messages=messages)
    assert whole.choices[0].message.content == "one two three"
    chunks = list(
        context.openai.chat.completions.create(model="quotes", messages=messages, stream=True)
    )
    pieces = [chunk.choices[0].delta.content for chunk in chunks if chunk.choices]
    assert "".join(pieces) == "one two three"
    assert context.gateway.dispatcher.asked[-1].prompt == (
        "<|system|>\nbe short\n<|user|>\na window\n<|assistant|>\n"
    )


@then('the gateway lists the policy "{name}" as a model')
def step_models(context, name):
    assert [model.id for model in context.openai.models.list()] == [name]
    assert context.openai.models.retrieve(name).id == name


@when("the gateway is asked for two choices with class, deadline, unit, stop and seed")
def step_options(context):
    context.openai.completions.create(
        model="quotes",
        prompt="a window",
        n=2,
        stop=["\n"],
        seed=5,
        max_tokens=9,
        temperature=0.5,
        extra_headers={
            "X-Bellweir-Class": "draft",
            "X-Bellweir-Deadline-Ms": "60000",
            "X-Bellweir-Unit": "dealer-7",
            "X-Request-Id": "call",
        },
    )


@then("the gateway's dispatcher is asked for two generations with these options")
def step_options_reached(context):
    asked = context.gateway.dispatcher.asked
    assert [each.request_id for each in asked] == ["call-0", "call-1"]
    assert [each.seed for each in asked] == [5, 6]
    for each in asked:
        assert (each.request_class, each.unit) == (RequestClass.DRAFT, "dealer-7")
        assert (each.stop, each.max_tokens, each.temperature) == (("\n",), 9, 0.5)
        assert each.deadline_monotonic_s is not None
        assert each.caller == "127.0.0.1"


@given('the gateway\'s dispatcher refuses with "{reason}" and run state "{run_state}"')
def step_refuses(context, reason, run_state):
    context.gateway.dispatcher.refusal = Refusal(
        RefusalReason(reason), RunState(run_state), "said by the test", retry_after_s=1.5
    )


@then('OpenAI\'s client raises status {status:d} with run state "{run_state}"')
def step_raises(context, status, run_state):
    assert context.failure.status_code == status
    assert context.failure.body["run_state"] == run_state
    assert context.failure.response.headers["Retry-After"] == "2"
    must_not_repeat = context.failure.response.headers.get("x-should-retry") == "false"
    assert must_not_repeat == (run_state != "not_run")


@then("an application request is refused by a problem document with status {status:d}")
def step_problem(context, status):
    found, headers, body = gateway_call(context, "POST", "/apps/shop/bids", b"{}")
    problem = json.loads(body)
    refusal = context.gateway.dispatcher.refusal
    assert (found, problem["status"]) == (status, status)
    assert headers["Content-Type"] == "application/problem+json"
    assert problem["run_state"] == refusal.run_state.value
    assert problem["type"].endswith(refusal.reason.value)
    assert headers["Retry-After"] == "2"


@then("a gateway generation that is refused or ends without end marker at any chunk gives an error")
def step_broken(context):
    words = ("one ", "two ", "three")

    @property_given(
        position=strategies.integers(0, 2),
        refused=strategies.booleans(),
        streamed=strategies.booleans(),
    )
    @settings(max_examples=24)
    def property_of_broken_generations(position, refused, streamed):
        texts = words if refused else words[:position]
        context.gateway.dispatcher.make = lambda _: FakeGeneration(
            texts, (3, 3, 4), refusal_at=position if refused else None, finish=False
        )
        try:
            answer = context.openai.completions.create(model="quotes", prompt="x", stream=streamed)
            if streamed:
                list(answer)
        except openai.APIError as failure:
            not_run = failure.body["run_state"] == "not_run"
            # The fake refuses with not_run, which is true of the call only before the first token.
            assert not_run == (refused and position == 0)
        else:
            raise AssertionError("a broken generation was passed as whole")

    property_of_broken_generations()


@when("gateway callers leave in the middle of a stream and of a whole answer")
def step_leave(context):
    context.gateway.dispatcher.make = lambda _: FakeGeneration(("one ", "two "), (3, 3), pause_at=1)
    for streamed in (True, False):
        body = json.dumps({"model": "quotes", "prompt": "x", "stream": streamed}).encode()
        request = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
        before = len(context.gateway.dispatcher.generations)
        with socket.create_connection(("127.0.0.1", context.gateway.port)) as raw:
            raw.sendall(request % (len(body), body))
            context.wait_until(
                lambda before=before: len(context.gateway.dispatcher.generations) > before,
                "the generation starts",
            )
            assert context.gateway.dispatcher.generations[-1].waiting.wait(30)


@then("the gateway's generations are cancelled and its threads are free")
def step_cancelled(context):
    generations = context.gateway.dispatcher.generations
    assert len(generations) == 2
    for generation in generations:
        context.wait_until(generation.cancelled.is_set, "the generation is cancelled")
    context.wait_until(lambda: gateway_threads_held(context) == 0, "no thread is held")


# --- applications -----------------------------------------------------------------------------

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
            context, method, f"/apps/shop{target}", body, headers | hop_by_hop
        )
        forwarded = context.gateway.dispatcher.forwarded[-1]
        assert status == 200
        assert (forwarded.pool, forwarded.method, forwarded.path) == ("shop", method, target)
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
    status, _, body = gateway_call(context, "POST", "/apps/shop/upload", iter(pieces))
    context.returned = (status, len(body), hashlib.sha256(body).hexdigest())


@then("the gateway returns the same {size:d} MiB")
def step_long_returned(context, size):
    assert context.returned == (200, size << 20, context.sent)


@then("a cut application answer is cut for gateway callers of HTTP/1.0 and HTTP/1.1")
def step_cut(context):
    for headers in ((), (("Content-Length", "100"),)):
        context.gateway.dispatcher.answer = lambda _, headers=headers: ApplicationAnswer(
            200, headers, cut_body((b"part",))
        )
        try:
            gateway_call(context, "GET", "/apps/shop/lots")
        except http.client.IncompleteRead:
            pass
        else:
            raise AssertionError("a cut answer was taken for whole")
    context.gateway.dispatcher.answer = lambda _: ApplicationAnswer(200, (), cut_body((b"part",)))
    with socket.create_connection(("127.0.0.1", context.gateway.port), timeout=30) as raw:
        raw.sendall(b"GET /apps/shop/lots HTTP/1.0\r\n\r\n")
        try:
            while raw.recv(65536):
                pass
        except ConnectionResetError:
            return
    raise AssertionError("a cut HTTP/1.0 answer ended like a whole one")


# --- trainers ---------------------------------------------------------------------------------

STEP = {
    "step_id": "step-1",
    "policy": "quotes",
    "prompts": ["a window"],
    "samples_per_prompt": 2,
    "max_tokens": 16,
}


def gateway_json(context, method, path, content=None, headers=None):
    body = None if content is None else json.dumps(content).encode()
    status, _, answer = gateway_call(context, method, path, body, headers)
    return status, json.loads(answer)


@when("a trainer declares a step at the gateway and a sample is filled while it waits")
def step_declare(context):
    status, declared = gateway_json(context, "POST", "/v1/steps", STEP)
    assert (status, declared["state"]) == (201, "running")
    with ThreadPoolExecutor(1) as pool:
        pulled = pool.submit(
            gateway_json, context, "GET", "/v1/steps/step-1/samples?cursor=0&limit=8&wait_s=30"
        )
        context.wait_until(lambda: gateway_threads_polling(context) == 1, "the trainer waits")
        context.gateway.samples.fill("step-1")
        context.pulled = pulled.result()


def gateway_threads_polling(context):
    _, status = gateway_json(context, "GET", "/status")
    return status["threads"]["by_share"]["long_poll"]


@then("the gateway hands over the sample, and again for the same cursor")
def step_handed(context):
    status, batch = context.pulled
    assert status == 200
    assert [sample["sample_id"] for sample in batch["samples"]] == ["step-1/0/0"]
    assert batch["cursor"] == 1
    again = gateway_json(context, "GET", "/v1/steps/step-1/samples?cursor=0")
    assert again == context.pulled


@then("the gateway acknowledges it, and refuses a changed declaration and an unknown step")
def step_acknowledge(context):
    status, step = gateway_json(context, "POST", "/v1/steps/step-1/acknowledge", {"cursor": 1})
    assert (status, step["acknowledged"]) == (200, 1)
    without_id = {key: value for key, value in STEP.items() if key != "step_id"}
    repeat = gateway_json(context, "POST", "/v1/steps", without_id, {"Idempotency-Key": "step-1"})
    assert repeat[0] == 201
    changed = gateway_json(context, "POST", "/v1/steps", STEP | {"max_tokens": 17})
    assert (changed[0], changed[1]["error"]["code"]) == (409, "conflict")
    assert gateway_json(context, "GET", "/v1/steps/step-2")[0] == 404
    for wrong in ({}, STEP | {"prompts": []}, STEP | {"max_tokens": "many"}):
        assert gateway_json(context, "POST", "/v1/steps", wrong)[0] == 400


# --- resources --------------------------------------------------------------------------------

POOLS = "/apis/bellweir.dev/v1/pools"
YAML = {"Content-Type": "application/yaml"}


@when("a gateway watch is open while a pool is created from YAML, patched and deleted")
def step_watch(context):
    with ThreadPoolExecutor(1) as pool:
        watch = pool.submit(
            gateway_call, context, "GET", f"{POOLS}?watch=true&resourceVersion=0&timeoutSeconds=2"
        )
        context.wait_until(lambda: gateway_threads_polling(context) == 1, "the watch is open")
        document = b"kind: Pool\nmetadata: {name: shop}\nspec: {kind: application}\n"
        assert gateway_call(context, "POST", POOLS, document, YAML)[0] == 201
        merge = {"spec": {"strategy": "round_robin"}}
        assert gateway_json(context, "PATCH", f"{POOLS}/shop", merge)[0] == 200
        shop = gateway_json(context, "GET", f"{POOLS}/shop")[1]
        assert shop["spec"] == {"kind": "application", "strategy": "round_robin"}
        context.shop = shop
        assert gateway_call(context, "DELETE", f"{POOLS}/shop")[0] == 200
        context.lines = watch.result()[2].splitlines()


@then("the gateway watch shows ADDED, MODIFIED and DELETED in order")
def step_watched(context):
    events = [json.loads(line) for line in context.lines]
    assert [event["type"] for event in events] == ["ADDED", "MODIFIED", "DELETED"]
    assert {event["object"]["metadata"]["name"] for event in events} == {"shop"}


@then("a gateway dry run and a write of an old version change nothing")
def step_dry_run(context):
    status, answer = gateway_json(context, "POST", f"{POOLS}?dryRun=true", context.shop)
    assert (status, answer["kind"]) == (200, "Pool")
    assert gateway_json(context, "GET", POOLS)[1]["items"] == []
    assert gateway_json(context, "POST", POOLS, context.shop)[0] == 201
    status, problem = gateway_json(context, "PUT", f"{POOLS}/shop", context.shop)
    assert (status, problem["run_state"]) == (409, "not_run")


@then("the gateway refuses YAML with aliases, deep nesting and a wrong kind")
def step_yaml(context):
    aliases = b"a: &a [1]\nb: *a\n"
    deep = b"[" * 100_000
    wrong = b"kind: Policy\nmetadata: {name: shop}\n"
    for document in (aliases, deep, wrong, b"- 1", b"1: 2", b"\xff", b"a: [", b""):
        for headers in (YAML, {"Content-Type": "application/json"}):
            status, _, body = gateway_call(context, "POST", POOLS, document, headers)
            assert (status, json.loads(body)["run_state"]) == (400, "not_run"), document[:20]
    assert gateway_call(context, "GET", "/apis/bellweir.dev/v1/nothings")[0] == 404


# --- misbehaving callers ----------------------------------------------------------------------

VALID = b"POST /apps/shop/bids HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
MALFORMED = (
    b"GET\r\n\r\n",
    b"get / HTTP/1.1\r\n\r\n",
    b"GET / HTTP/1.1\r\nA b: c\r\n\r\n",
    b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    b"GET / HTTP/1.1\r\nContent-Length: 1, 2\r\n\r\nab",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
    b"GET / HTTP/1.1\r\nA: " + b"a" * 70_000 + b"\r\n\r\n",
    b"POST /v1/completions HTTP/1.1\r\nContent-Length: 2\r\n\r\n{]",
    b"POST /v1/completions HTTP/1.1\r\nContent-Length: 2\r\n\r\n[]",
    b"POST /v1/steps HTTP/1.1\r\nContent-Length: 4\r\n\r\nnull",
    b"GET /v1/steps/a/samples?cursor=x HTTP/1.1\r\n\r\n",
    b"GET /v1/steps/a/samples?wait_s=nan HTTP/1.1\r\n\r\n",
    b"GET /apps/shop/ HTTP/1.1\r\nX-Bellweir-Class: fast\r\n\r\n",
    b"GET /apps/shop/ HTTP/1.1\r\nX-Bellweir-Deadline-Ms: -1\r\n\r\n",
    b"GET /apps/shop/ HTTP/1.1\r\nIdempotency-Key:\r\n\r\n",
)


@then(
    "malformed, truncated and random bytes at the gateway get a 4xx or 5xx or a closed connection"
)
def step_malformed(context):
    for sent in MALFORMED:
        status, body = gateway_ask_raw(context, sent)
        assert 400 <= status < 500 or status == 501, (sent[:60], status)
        assert b'"run_state":"not_run"' in body, (sent[:60], body)

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
    for sent in (b"GET / HTTP/1.1\r\nA", b"POST /v1/steps HTTP/1.1\r\nContent-Length: 9\r\n\r\na"):
        with socket.create_connection(("127.0.0.1", context.gateway.port), timeout=30) as raw:
            raw.sendall(sent)
            answer = gateway_read_all(raw)
        assert answer[:12] in (b"HTTP/1.0 408", b"HTTP/1.1 408"), answer[:80]
        assert b'"run_state":"not_run"' in answer


@then("a gateway body that is too long gets 413, however it is framed")
def step_too_long(context):
    long_body = b"a" * 2_000_000
    for body in (long_body, iter([long_body[:100_000]] * 20)):
        with socket.create_connection(("127.0.0.1", context.gateway.port), timeout=30):
            pass
        assert gateway_call(context, "POST", "/apps/shop/upload", body)[0] == 413
    assert not context.gateway.dispatcher.forwarded
    assert gateway_call(context, "POST", "/apps/shop/upload", b"a" * 4096)[0] == 200


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
    raw.sendall(b"GET /apps/shop/endless HTTP/1.1\r\nHost: x\r\n\r\n")


@then("the gateway closes that answer and its threads are free")
def step_endless_closed(context):
    assert context.closed.wait(30)
    context.wait_until(lambda: gateway_threads_held(context) == 0, "no thread is held")


# --- admission --------------------------------------------------------------------------------


@when("streams and drafts are asked for until the gateway refuses them")
def step_fill(context):
    node = context.gateway
    node.dispatcher.make = lambda _: FakeGeneration(("one ", "two"), (3, 3), pause_at=1)
    context.refused = []
    for headers, streamed in (({}, True), ({"X-Bellweir-Class": "draft"}, False)):
        for _ in range(64):
            refused = gateway_start_completion(context, headers, streamed)
            if refused is not None:
                context.refused.append(refused)
                break
        else:
            raise AssertionError("nothing was refused")


def gateway_start_completion(context, headers, streamed):
    """Start a completion; its answer when it is refused, None when it runs."""
    dispatcher = context.gateway.dispatcher
    before = len(dispatcher.generations)
    body = json.dumps({"model": "quotes", "prompt": "x", "stream": streamed}).encode()
    connection = http.client.HTTPConnection("127.0.0.1", context.gateway.port, timeout=30)
    context.cleanup.callback(connection.close)
    connection.request("POST", "/v1/completions", body, headers)
    answered = threading.Event()

    def read():
        answer = connection.getresponse()
        if answer.status != 200:
            context.last_refusal = (answer.status, answer.headers, json.loads(answer.read()))
            answered.set()

    pool = ThreadPoolExecutor(1)
    context.cleanup.callback(pool.shutdown, wait=True)
    context.cleanup.callback(lambda: [each.cancel() for each in dispatcher.generations])
    pool.submit(read)
    context.wait_until(
        lambda: answered.is_set() or len(dispatcher.generations) > before, "started or refused"
    )
    return context.last_refusal if answered.is_set() else None


@then("gateway refusals are immediate, say not_run and when to come back")
def step_fill_refused(context):
    assert len(context.refused) == 2
    for status, headers, body in context.refused:
        assert (status, headers["Retry-After"]) == (429, "1")
        assert body["error"]["run_state"] == "not_run"


@then("an interactive request at the gateway is still served")
def step_fill_interactive(context):
    assert gateway_call(context, "POST", "/apps/shop/price", b"x")[0] == 200
    context.gateway.dispatcher.make = lambda _: FakeGeneration(("one",), (3,))
    assert (
        gateway_json(context, "POST", "/v1/completions", {"model": "quotes", "prompt": "x"})[0]
        == 200
    )


@then("gateway thread shares hold their bounds and are empty at the end, for any sequence")
def step_shares(context):
    moves = strategies.tuples(
        strategies.sampled_from(["enter", "move", "leave"]),
        strategies.sampled_from(ThreadShare),
        strategies.sampled_from(["a", "b", "c"]),
        strategies.integers(0, 40),
    )

    @property_given(threads=strategies.integers(4, 40), sequence=strategies.lists(moves))
    @settings(max_examples=200)
    def property_of_shares(threads, sequence):
        shares = ThreadShares(threads)
        held = []
        for action, share, caller, position in sequence:
            if action == "enter":
                permit = shares.enter(share, caller)
                held += [permit] if permit else []
                assert permit or share is not ThreadShare.SYSTEM
            elif held and action == "move":
                shares.move(held[position % len(held)], share)
            elif held:
                permit = held.pop(position % len(held))
                permit.release()
                permit.release()
            use = shares.use().by_share
            for kind, part in LARGEST_SHARES.items():
                assert use[kind.value] == sum(each.share is kind for each in held)
                assert use[kind.value] <= max(1, int(threads * part))
            assert shares.held() <= max(1, int(threads * LARGEST_TOTAL))
        for permit in held:
            permit.release()
        assert not any(shares.use().by_share.values())

    property_of_shares()


# --- planned stop -----------------------------------------------------------------------------


@when("{count:d} gateway streams and an application request are running and the gateway drains")
def step_drain(context, count):
    node = context.gateway
    node.dispatcher.make = lambda _: FakeGeneration(("one ", "two"), (3, 4), pause_at=1)
    release = threading.Event()
    context.cleanup.callback(release.set)

    def slow_answer(request):
        release.wait(60)
        return ApplicationAnswer(200, (("Content-Length", "4"),), iter([b"done"]))

    node.dispatcher.answer = slow_answer
    pool = ThreadPoolExecutor(count + 2)
    context.cleanup.callback(pool.shutdown)
    context.cleanup.callback(lambda: [each.cancel() for each in node.dispatcher.generations])
    context.streams = [pool.submit(gateway_stream_text, context) for _ in range(count)]
    context.application = pool.submit(gateway_call, context, "GET", "/apps/shop/slow")
    context.wait_until(
        lambda: len(node.dispatcher.generations) == count and node.dispatcher.forwarded,
        "all requests run",
    )
    context.release = release
    context.drain = pool.submit(node.kernel.registry.drain, 60.0)


def gateway_stream_text(context):
    stream = context.openai.completions.create(model="quotes", prompt="x", stream=True)
    return "".join(chunk.choices[0].text for chunk in stream if chunk.choices)


@then("the gateway is not ready at once, refuses new work as not run, and ends every answer whole")
def step_drained(context):
    node = context.gateway
    context.wait_until(lambda: gateway_call(context, "GET", "/readyz")[0] == 503, "not ready")
    context.wait_until(
        lambda: (
            gateway_json(context, "GET", "/apps/shop/x")[0] == 503 if node.refuses_work() else False
        ),
        "new work is refused",
    )
    status, headers, body = gateway_call(context, "GET", "/apps/shop/x")
    found = (status, headers["Connection"], headers["Retry-After"])
    assert found == (503, "close", "1"), found
    assert json.loads(body)["run_state"] == "not_run"
    assert not context.drain.done()
    for generation in node.dispatcher.generations:
        generation.go_on.set()
    texts = [stream.result(30) for stream in context.streams]
    assert texts == ["one two"] * len(texts), texts
    assert not context.drain.done()
    context.release.set()
    status, headers, body = context.application.result(30)
    found = (status, headers["Connection"], body)
    assert found == (200, "close", b"done"), found


@then("the gateway's listener closes only after that, and no thread is left")
def step_drained_closed(context):
    context.drain.result(30)
    try:
        gateway_call(context, "GET", "/healthz")
    except ConnectionRefusedError:
        pass
    else:
        raise AssertionError("the listener is still open")
    context.gateway.stop()
    left = [each.name for each in threading.enumerate() if each.name.startswith("waitress")]
    assert not left


# --- tokens -----------------------------------------------------------------------------------


def gateway_tokens_text(operator):
    tokens = {
        "caller": ("caller-token", "caller"),
        "trainer": ("trainer-token", "trainer"),
        "reader": ("reader-token", "operator_read"),
        "operator": (operator, "operator"),
    }
    entries = [
        f'[[tokens]]\nname = "{name}"\nroles = ["{role}"]\n'
        f'sha256 = "{hashlib.sha256(token.encode()).hexdigest()}"\n'
        for name, (token, role) in tokens.items()
    ]
    return "\n".join(entries)


def gateway_replace_tokens(context, text):
    fresh = context.folder / "tokens.new"
    fresh.write_text(text)
    fresh.replace(context.folder / "tokens.toml")


@given("a gateway with a file of tokens")
def step_tokens(context):
    gateway_replace_tokens(context, gateway_tokens_text("operator-token"))
    gateway_start(context, tokens_file=context.folder / "tokens.toml")


def gateway_status_with(context, method, path, token, body=None):
    headers = {} if token is None else {"Authorization": f"Bearer {token}"}
    return gateway_call(context, method, path, body, headers)[0]


@then("gateway tokens open just the interfaces of their roles")
def step_tokens_roles(context):
    shop = json.dumps({"kind": "Pool", "metadata": {"name": "shop"}, "spec": {}}).encode()
    calls = {
        "caller": ("GET", "/v1/models", None),
        "application": ("GET", "/apps/shop/x", None),
        "trainer": ("POST", "/v1/steps", json.dumps(STEP).encode()),
        "read": ("GET", POOLS, None),
        "status": ("GET", "/status", None),
        "write": ("POST", f"{POOLS}?dryRun=true", shop),
    }
    permitted = {
        "caller-token": {"caller", "application"},
        "trainer-token": {"trainer"},
        "reader-token": {"read", "status"},
        "operator-token": {"read", "status", "write"},
        "wrong": set(),
        None: set(),
    }
    for token, names in permitted.items():
        for name, (method, path, body) in calls.items():
            status = gateway_status_with(context, method, path, token, body)
            if name in names:
                assert status in (200, 201), (token, name, status)
            else:
                known = token not in (None, "wrong")
                assert status == (403 if known else 401), (token, name, status)
    assert gateway_call(context, "GET", "/readyz")[0] == 200
    forwarded = context.gateway.dispatcher.forwarded[-1]
    assert forwarded.caller == "caller"
    assert "authorization" not in {name.lower() for name, _ in forwarded.headers}
    own = {"X-Bellweir-Token": "caller-token", "Authorization": "Basic abc"}
    assert gateway_call(context, "GET", "/apps/shop/x", None, own)[0] == 200
    passed = dict(context.gateway.dispatcher.forwarded[-1].headers)
    assert passed["Authorization"] == "Basic abc"
    assert "X-Bellweir-Token" not in passed


@when("the gateway's file of tokens is replaced by another")
def step_tokens_replaced(context):
    gateway_replace_tokens(context, gateway_tokens_text("new-operator-token"))


@then("the gateway accepts the new token and refuses the old one")
def step_tokens_new(context):
    context.wait_until(
        lambda: gateway_status_with(context, "GET", "/status", "new-operator-token") == 200,
        "the new token is accepted",
    )
    assert gateway_status_with(context, "GET", "/status", "operator-token") == 401


@when("the gateway's file of tokens is damaged")
def step_tokens_damaged(context):
    gateway_replace_tokens(context, "[[tokens]\n")


@then("the gateway accepts the new token still")
def step_tokens_still(context):
    # The clock decides when the file is looked at: pass that moment, then ask again.
    context.gateway.kernel.clock.wait(threading.Event(), 1.2)
    for _ in range(2):
        assert gateway_status_with(context, "GET", "/status", "new-operator-token") == 200


# --- status and metrics -----------------------------------------------------------------------


@then("the gateway's status names the node, the revision in force and the dispatch counters")
def step_status(context):
    status = gateway_json(context, "GET", "/status")[1]
    assert (status["node"], status["zone"], status["revision_in_force"]) == ("node-1", "zone-1", 7)
    assert status["dispatch"]["by_outcome"] == {"completed": 1}
    assert [member["state"] for member in status["members"]] == ["alive"]
    context.gateway.configuration.ready = False
    assert gateway_call(context, "GET", "/readyz")[0] == 503


@then("the gateway's metrics count the request and are in the Prometheus format")
def step_metrics(context):
    _, headers, body = gateway_call(context, "GET", "/metrics")
    assert headers["Content-Type"].startswith("text/plain")
    counted = b'bellweir_requests_total{interface="openai",outcome="completed"} 1.0'
    assert counted in body
    assert b'bellweir_request_seconds_count{interface="openai"} 1.0' in body
