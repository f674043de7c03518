"""Steps of the gateway's interface for OpenAI's clients."""

import json
import socket

import openai
from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings, strategies

from bellweir.resources.models import RequestClass
from bellweir.routing.interface import Refusal, RefusalReason, RunState
from support.gateway_calls import (
    gateway_call,
    gateway_threads_held,
)
from support.gateway_fakes import FakeGeneration


@when("the gateway is asked for a completion with OpenAI's client")
def step_ask(context):
    context.failure = None
    try:
        context.answer = context.openai.completions.with_raw_response.create(
            model="policy-1", prompt="a prompt"
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
        model="policy-1", prompt="a prompt", stream=True, stream_options={"include_usage": True}
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
        {"role": "user", "content": [{"type": "text", "text": "a prompt"}]},
    ]
    whole = context.openai.chat.completions.create(model="policy-1", messages=messages)
    assert whole.choices[0].message.content == "one two three"
    chunks = list(
        context.openai.chat.completions.create(model="policy-1", messages=messages, stream=True)
    )
    pieces = [chunk.choices[0].delta.content for chunk in chunks if chunk.choices]
    assert "".join(pieces) == "one two three"
    assert context.gateway.dispatcher.asked[-1].prompt == (
        "<|system|>\nbe short\n<|user|>\na prompt\n<|assistant|>\n"
    )


@then('the gateway lists the policy "{name}" as a model')
def step_models(context, name):
    assert [model.id for model in context.openai.models.list()] == [name]
    assert context.openai.models.retrieve(name).id == name


@when("the gateway is asked for two choices with class, deadline, unit, stop and seed")
def step_options(context):
    context.openai.completions.create(
        model="policy-1",
        prompt="a prompt",
        n=2,
        stop=["\n"],
        seed=5,
        max_tokens=9,
        temperature=0.5,
        extra_headers={
            "X-Bellweir-Class": "draft",
            "X-Bellweir-Deadline-Ms": "60000",
            "X-Bellweir-Unit": "unit-7",
            "X-Request-Id": "call",
        },
    )


@then("the gateway's dispatcher is asked for two generations with these options")
def step_options_reached(context):
    asked = context.gateway.dispatcher.asked
    assert [each.request_id for each in asked] == ["call-0", "call-1"]
    assert [each.seed for each in asked] == [5, 6]
    for each in asked:
        assert (each.request_class, each.unit) == (RequestClass.DRAFT, "unit-7")
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
    found, headers, body = gateway_call(context, "POST", "/apps/web/orders", b"{}")
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
            answer = context.openai.completions.create(
                model="policy-1", prompt="x", stream=streamed
            )
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
        body = json.dumps({"model": "policy-1", "prompt": "x", "stream": streamed}).encode()
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
