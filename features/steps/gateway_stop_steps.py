"""Steps of a planned stop of the gateway."""

import json
import threading
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from bellweir.clients.interface import ApplicationAnswer
from support.gateway_calls import (
    gateway_call,
    gateway_json,
)
from support.gateway_fakes import FakeGeneration


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
    context.application = pool.submit(gateway_call, context, "GET", "/apps/web/slow")
    context.wait_until(
        lambda: len(node.dispatcher.generations) == count and node.dispatcher.forwarded,
        "all requests run",
    )
    context.release = release
    context.drain = pool.submit(node.kernel.registry.drain, 60.0)


def gateway_stream_text(context):
    stream = context.openai.completions.create(model="policy-1", prompt="x", stream=True)
    return "".join(chunk.choices[0].text for chunk in stream if chunk.choices)


@then("the gateway is not ready at once, refuses new work as not run, and ends every answer whole")
def step_drained(context):
    node = context.gateway
    context.wait_until(lambda: gateway_call(context, "GET", "/readyz")[0] == 503, "not ready")
    context.wait_until(
        lambda: (
            gateway_json(context, "GET", "/apps/web/x")[0] == 503 if node.refuses_work() else False
        ),
        "new work is refused",
    )
    status, headers, body = gateway_call(context, "GET", "/apps/web/x")
    found = (status, headers["Connection"], headers["Retry-After"])
    assert found == (503, "close", "1"), found
    assert json.loads(body)["run_state"] == "not_run"
    # A request with this key may have run before, through this node or another one.
    keyed = {"Idempotency-Key": "key-1"}
    status, refusal = gateway_json(context, "POST", "/apps/web/x", {}, keyed)
    assert (status, refusal["run_state"]) == (503, "unknown")
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
