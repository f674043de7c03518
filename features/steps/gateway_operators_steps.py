"""Steps of the gateway's interfaces for trainers and operators."""

import json
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from support.gateway_calls import (
    STEP,
    gateway_call,
    gateway_json,
    gateway_threads_polling,
)


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


POOLS = "/apis/bellweir.dev/v1/pools"
YAML = {"Content-Type": "application/yaml"}


@when("a gateway watch is open while a pool is created from YAML, patched and deleted")
def step_watch(context):
    with ThreadPoolExecutor(1) as pool:
        watch = pool.submit(
            gateway_call, context, "GET", f"{POOLS}?watch=true&resourceVersion=0&timeoutSeconds=2"
        )
        context.wait_until(lambda: gateway_threads_polling(context) == 1, "the watch is open")
        document = b"kind: Pool\nmetadata: {name: web}\nspec: {kind: application}\n"
        assert gateway_call(context, "POST", POOLS, document, YAML)[0] == 201
        merge = {"spec": {"strategy": "round_robin"}}
        assert gateway_json(context, "PATCH", f"{POOLS}/web", merge)[0] == 200
        pool = gateway_json(context, "GET", f"{POOLS}/web")[1]
        assert pool["spec"] == {"kind": "application", "strategy": "round_robin"}
        context.pool = pool
        assert gateway_call(context, "DELETE", f"{POOLS}/web")[0] == 200
        context.lines = watch.result()[2].splitlines()


@then("the gateway watch shows ADDED, MODIFIED and DELETED in order")
def step_watched(context):
    events = [json.loads(line) for line in context.lines]
    assert [event["type"] for event in events] == ["ADDED", "MODIFIED", "DELETED"]
    assert {event["object"]["metadata"]["name"] for event in events} == {"web"}


@then("a gateway dry run and a write of an old version change nothing")
def step_dry_run(context):
    status, answer = gateway_json(context, "POST", f"{POOLS}?dryRun=true", context.pool)
    assert (status, answer["kind"]) == (200, "Pool")
    assert gateway_json(context, "GET", POOLS)[1]["items"] == []
    assert gateway_json(context, "POST", POOLS, context.pool)[0] == 201
    status, problem = gateway_json(context, "PUT", f"{POOLS}/web", context.pool)
    assert (status, problem["run_state"]) == (409, "not_run")


@then("the gateway refuses YAML with aliases, deep nesting and a wrong kind")
def step_yaml(context):
    aliases = b"a: &a [1]\nb: *a\n"
    deep = b"[" * 100_000
    wrong = b"kind: Policy\nmetadata: {name: web}\n"
    for document in (aliases, deep, wrong, b"- 1", b"1: 2", b"\xff", b"a: [", b""):
        for headers in (YAML, {"Content-Type": "application/json"}):
            status, _, body = gateway_call(context, "POST", POOLS, document, headers)
            assert (status, json.loads(body)["run_state"]) == (400, "not_run"), document[:20]
    assert gateway_call(context, "GET", "/apis/bellweir.dev/v1/nothings")[0] == 404
