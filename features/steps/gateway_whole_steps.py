"""Steps of the gateway on a whole node, in front of the stand-ins."""

import hashlib
import http.client
import json
import os
import socket
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing

import openai
from behave import given, then, when

from bellweir.entrypoints.node import Node
from bellweir.http_server.body_pipe import FULL_BYTES
from bellweir.http_server.parser import STREAMED_FROM_BYTES
from bellweir.settings.models import GatewaySettings, NodeIdentity, PlatformSettings, Settings
from bellweir_rehearsal.standins.application import (
    ApplicationOptions,
    ApplicationRun,
    ApplicationStandin,
    PathTime,
)
from bellweir_rehearsal.standins.engine import EngineStandin
from bellweir_rehearsal.standins.engine_options import EngineOptions
from bellweir_rehearsal.standins.object_api import ObjectApiOptions, ObjectApiStandin
from bellweir_rehearsal.standins.records import GenerationEnded, GenerationStarted

TIME_SCALE = 4.0
TOKENS = 40
DRAINED_TOKENS = 500
LONG = 100_000
"""Tokens of an answer that does not end by itself while a scenario runs."""
RESOURCES = "/apis/bellweir.dev/v1"


def whole_start(context, standin):
    standin.start()
    context.cleanup.callback(standin.stop)
    return standin


def whole_call(context, method, path, body=None, headers=None):
    with closing(http.client.HTTPConnection(context.whole_address, timeout=60)) as connection:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()


def whole_create(context, plural, kind, name, spec):
    document = {"kind": kind, "metadata": {"name": name}, "spec": spec}
    body = json.dumps(document | {"apiVersion": "bellweir.dev/v1"}).encode()
    status, answer = whole_call(context, "POST", f"{RESOURCES}/{plural}", body)
    assert status == 201, answer


def whole_workers(standins):
    return [
        {"name": each.name, "address": each.address, "zone": "zone-1", "region": "region-1"}
        for each in standins
    ]


@given("a whole gateway node with {count:d} engines and an application")
def step_whole(context, count):
    store = whole_start(context, ObjectApiStandin(ObjectApiOptions(name="store")))
    context.engines = [
        whole_start(
            context, EngineStandin(EngineOptions(name=f"engine-{n}", time_scale=TIME_SCALE))
        )
        for n in range(count)
    ]
    slow = (PathTime("/slow", 0.5),)
    context.application = application = whole_start(
        context,
        ApplicationStandin(ApplicationOptions(name="application", path_times=slow, threads=48)),
    )
    settings = Settings(
        node=NodeIdentity(name="node-1", data_folder=context.folder / "data"),
        platform=PlatformSettings(object_api=store.address),
        gateway=GatewaySettings(threads=64, drain_grace_s=0.2),
    )
    context.node = Node(settings)
    context.node_stopped = False
    context.node.start()
    context.cleanup.callback(lambda: None if context.node_stopped else context.node.stop())
    context.whole_address = context.node.kernel.listeners.gateway_address
    context.wait_until(lambda: whole_call(context, "GET", "/readyz")[0] == 200, "the node is ready")
    whole_create(context, "policies", "Policy", "policy-1", {"model": "model"})
    engines = {
        "kind": "engine",
        "policies": ["policy-1"],
        "workers": whole_workers(context.engines),
    }
    whole_create(context, "pools", "Pool", "engines", engines)
    web = {"kind": "application", "workers": whole_workers([application])}
    whole_create(context, "pools", "Pool", "web", web)
    context.openai = openai.OpenAI(
        base_url=f"http://{context.whole_address}/v1", api_key="none", max_retries=0, timeout=60
    )
    context.cleanup.callback(context.openai.close)
    context.wait_until(lambda: whole_call(context, "GET", "/apps/web/x")[0] == 200, "web serves")
    context.wait_until(lambda: whole_complete(context, max_tokens=1) is not None, "engines serve")


def whole_complete(context, **options):
    try:
        return context.openai.completions.create(model="policy-1", prompt="a prompt", **options)
    except openai.APIStatusError as failure:
        assert failure.status_code in (404, 503), failure
        return None


@when("OpenAI's client asks the whole gateway node for answers, whole and streamed, and for chat")
def step_whole_ask(context):
    client = context.openai
    asked = {"model": "policy-1", "max_tokens": TOKENS}
    messages = [{"role": "user", "content": "a prompt"}]
    context.whole = client.completions.create(prompt="a prompt", seed=1, **asked)
    context.streamed = list(
        client.completions.create(prompt="a prompt", seed=1, stream=True, **asked)
    )
    context.chat = client.chat.completions.create(messages=messages, seed=1, **asked)
    context.chat_streamed = list(
        client.chat.completions.create(messages=messages, seed=1, stream=True, **asked)
    )


@then("the whole gateway node's answers have all tokens, their weight version and usage")
def step_whole_answers(context):
    whole = context.whole
    assert whole.usage.completion_tokens == TOKENS
    assert whole.choices[0].finish_reason == "length"
    assert whole.bellweir["weight_versions"] == [1]
    pieces = [chunk.choices[0].text for chunk in context.streamed if chunk.choices]
    # The stand-in's tokens follow from prompt, seed and version.
    assert "".join(pieces) == whole.choices[0].text
    segments = context.streamed[-1].bellweir["choices"][0]["segments"]
    assert [(each["weight_version"], each["token_count"]) for each in segments] == [(1, TOKENS)]
    chat_pieces = [
        chunk.choices[0].delta.content for chunk in context.chat_streamed if chunk.choices
    ]
    assert "".join(chat_pieces) == context.chat.choices[0].message.content


@then("an unknown policy, a bad parameter and a passed deadline raise OpenAI's errors")
def step_whole_errors(context):
    client = context.openai
    wrong = (
        (openai.NotFoundError, {"model": "policy-2"}),
        (openai.BadRequestError, {"model": "policy-1", "logprobs": 2}),
        (openai.BadRequestError, {"model": "policy-1", "max_tokens": -1}),
    )
    for kind, options in wrong:
        try:
            client.completions.create(prompt="a prompt", **options)
        except kind as failure:
            assert failure.body["run_state"] == "not_run"
        else:
            raise AssertionError(f"no {kind} for {options}")
    try:
        client.completions.create(
            model="policy-1",
            prompt="a prompt",
            max_tokens=LONG,
            extra_headers={"X-Bellweir-Deadline-Ms": "300"},
        )
    except openai.APIStatusError as failure:
        assert failure.status_code == 504
        assert failure.body["run_state"] in ("ran", "unknown")
    else:
        raise AssertionError("the deadline was not kept")


@when("callers of the whole gateway node vanish in mid-stream and before a whole answer")
def step_whole_vanish(context):
    context.vanished = []
    for stream in (True, False, True, False):
        body = json.dumps(
            {"model": "policy-1", "prompt": "a prompt", "max_tokens": LONG, "stream": stream}
        ).encode()
        name = f"vanishing-{len(context.vanished)}"
        connection = http.client.HTTPConnection(context.whole_address, timeout=60)
        connection.request("POST", "/v1/completions", body, {"X-Request-Id": name})
        if stream:
            connection.getresponse().read(10)
        else:
            context.wait_until(lambda: whole_running(context) > 0, "the generation runs")
        connection.close()
        context.vanished.append(name)
        context.wait_until(lambda: whole_running(context) == 0, "the generation ends")


def whole_running(context):
    return sum(sum(engine.scheduler.load()) for engine in context.engines)


@then("the engines cancel these generations, and the whole gateway node holds nothing for them")
def step_whole_cancelled(context):
    ended = {
        record.request_id: record.outcome
        for engine in context.engines
        for record in engine.log.records(GenerationEnded)
    }
    assert [ended[name] for name in context.vanished] == ["cancelled"] * len(context.vanished)

    def held():
        status = json.loads(whole_call(context, "GET", "/status")[1])
        by_share = status["threads"]["by_share"]
        return sum(count for share, count in by_share.items() if share != "system")

    context.wait_until(lambda: held() == 0, "no thread is held")


@then("the whole gateway node echoes bodies around each of its buffers, declared and chunked")
def step_whole_echo(context):
    sizes = (0, 1, STREAMED_FROM_BYTES, STREAMED_FROM_BYTES + 1, FULL_BYTES + 1, 3 << 20)
    for size in sizes:
        body = os.urandom(size)
        pieces = [body[start : start + 50_000] for start in range(0, size, 50_000)]
        for sent in (body, iter(pieces)):
            status, returned = whole_call(context, "POST", "/apps/web/echo", sent)
            assert status == 200, returned
            assert hashlib.sha256(returned).digest() == hashlib.sha256(body).digest(), size
    status, returned = whole_call(context, "GET", f"/apps/web/bytes/{5 << 20}")
    assert (status, len(returned)) == (200, 5 << 20)


@then("a caller of the whole gateway node that breaks off its upload harms nobody else")
def step_whole_upload(context):
    for _ in range(8):
        with socket.create_connection(context.whole_address.rsplit(":", 1), timeout=30) as raw:
            raw.sendall(
                b"POST /apps/web/echo HTTP/1.1\r\nHost: x\r\nContent-Length: 999999\r\n\r\n"
            )
            raw.sendall(b"a" * 200_000)
    status, returned = whole_call(context, "POST", "/apps/web/echo", b"whole")
    assert (status, returned) == (200, b"whole")


@when("the whole gateway node drains while {count:d} streams and slow requests run")
def step_whole_drain(context, count):
    pool = ThreadPoolExecutor(2 * count + 1)
    context.cleanup.callback(pool.shutdown)
    context.streams = [pool.submit(whole_stream, context) for _ in range(count)]
    context.slow = [pool.submit(whole_call, context, "GET", "/apps/web/slow") for _ in range(count)]
    context.wait_until(
        lambda: whole_started(context) == (count, count), "all streams and requests have begun"
    )
    context.node_stopped = True
    context.node.stop()


def whole_started(context):
    """Streams and slow requests that have reached a back end."""
    streams = [
        record
        for engine in context.engines
        for record in engine.log.records(GenerationStarted)
        if record.max_tokens == DRAINED_TOKENS
    ]
    runs = context.application.log.records(ApplicationRun)
    return len(streams), sum(run.path == "/slow" for run in runs)


def whole_stream(context):
    chunks = list(
        context.openai.completions.create(
            model="policy-1", prompt="a prompt", max_tokens=DRAINED_TOKENS, stream=True
        )
    )
    return chunks[-1].bellweir["choices"][0]["segments"]


@then("every stream and request of the whole gateway node ends whole")
def step_whole_drained(context):
    for stream in context.streams:
        segments = stream.result(60)
        assert sum(each["token_count"] for each in segments) == DRAINED_TOKENS, segments
    for request in context.slow:
        assert request.result(60)[0] == 200, request.result()
