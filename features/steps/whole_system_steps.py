"""Steps of whole_system.feature: real processes, and requests as users send them."""

import http.client
import json
import uuid
from concurrent.futures import ThreadPoolExecutor

import openai
from behave import given, then, when

from bellweir_rehearsal.callers.http import HttpClient
from bellweir_rehearsal.callers.operator import Operator
from bellweir_rehearsal.records.journal import Journal
from bellweir_rehearsal.topology.cluster import Cluster
from bellweir_rehearsal.topology.deployment import (
    ApplicationPool,
    Deployment,
    EnginePool,
    Policy,
    Zone,
)
from bellweir_rehearsal.topology.layout import RunFolder
from bellweir_rehearsal.topology.resources import deployment_documents
from steps.command_line_steps import run

CALL_TIMEOUT_S = 60
POLICY = "writer"


def deployment(nodes, engines):
    names = [f"zone-{number}" for number in range(1, nodes + 1)]
    return Deployment(
        name="whole",
        zone_delay_ms=0,
        client_delay_ms=0,
        time_scale=1,
        staleness_bound_versions=1,
        zones=tuple(Zone(name=name) for name in names),
        policies=(Policy(name=POLICY, model="writer-model"),),
        engine_pools=(
            EnginePool(
                name="writers",
                policies=(POLICY,),
                workers=tuple(names[number % nodes] for number in range(engines)),
            ),
        ),
        application_pools=(
            ApplicationPool(name="shop", workers=(names[-1],), once_paths=("/orders",)),
        ),
    )


def call(address, method, path, document=None, headers=None):
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    body = None if document is None else json.dumps(document)
    sent = {"Content-Type": "application/json"} | (headers or {})
    try:
        connection.request(method, path, body, sent)
        answer = connection.getresponse()
        return answer.status, dict(answer.headers), answer.read()
    finally:
        connection.close()


def gateways(context):
    return [address.gateway_address for address in context.system.directory.all_nodes()]


@given("a whole system of {nodes:d} nodes and {engines:d} engines")
def step_system(context, nodes, engines):
    folder = RunFolder(context.folder)
    folder.create()
    journal = Journal(folder.journal)
    context.cleanup.callback(journal.close)
    context.system = Cluster(deployment(nodes, engines), folder, journal, {})
    context.cleanup.callback(context.system.close)
    context.system.start()
    client = HttpClient()
    context.cleanup.callback(client.close)
    operator = Operator("operator", context.system.directory, journal, client)
    for document in deployment_documents(context.system):
        operator.apply(document)
    for address in gateways(context):
        context.wait_until(lambda address=address: serves(address), f"{address} serves", 60)


def serves(address):
    answers = [
        call(address, "POST", "/v1/completions", completion(1))[0],
        call(address, "GET", "/apps/shop/ready-check")[0],
        call(address, "POST", "/apps/shop/orders", {}, {"Idempotency-Key": uuid.uuid4().hex})[0],
    ]
    return answers == [200, 200, 200]


def completion(tokens):
    return {"model": POLICY, "prompt": "a prompt", "max_tokens": tokens}


@when("{count:d} whole-system streams of {tokens:d} tokens run through one node")
def step_streams(context, count, tokens):
    context.node = next(iter(context.system.nodes.values()))
    client = openai.OpenAI(
        base_url=f"http://{context.node.gateway_address}/v1",
        api_key="none",
        max_retries=0,
        timeout=CALL_TIMEOUT_S,
    )
    context.cleanup.callback(client.close)
    context.first_chunks = []

    def stream(number):
        chunks = client.completions.create(
            model=POLICY,
            prompt=f"prompt {number}",
            max_tokens=tokens,
            stream=True,
            stream_options={"include_usage": True},
        )
        seen = []
        for chunk in chunks:
            if not seen:
                context.first_chunks.append(number)
            seen.append(chunk)
        return seen

    pool = ThreadPoolExecutor(count)
    context.cleanup.callback(pool.shutdown)
    context.streams = [pool.submit(stream, number) for number in range(count)]
    context.wait_until(lambda: len(context.first_chunks) == count, "every stream has begun")


@when("that whole-system node is stopped by SIGTERM while all of them run")
def step_stop(context):
    assert not any(stream.done() for stream in context.streams), "a stream ended before the stop"
    context.node_exit = context.system.stop_node(context.node.name)


@then("every whole-system stream ends whole with {tokens:d} tokens")
def step_whole(context, tokens):
    for stream in context.streams:
        chunks = stream.result()
        reasons = [choice.finish_reason for chunk in chunks for choice in chunk.choices]
        assert reasons[-1] in ("length", "stop"), reasons
        assert chunks[-1].usage.completion_tokens == tokens, chunks[-1]


@then("the stopped whole-system node exits with code 0")
def step_exit(context):
    assert context.node_exit == 0, context.node_exit


@then("the whole system answers a completion with its weight version")
def step_completion(context):
    for address in gateways(context):
        status, headers, body = call(address, "POST", "/v1/completions", completion(5))
        assert status == 200, body
        assert headers["X-Bellweir-Weight-Versions"] == "1"
        assert json.loads(body)["usage"]["completion_tokens"] == 5


@then("the whole system runs a request not to be repeated once, asked for through every node")
def step_once(context):
    key = {"Idempotency-Key": uuid.uuid4().hex}
    answers = [
        call(address, "POST", "/apps/shop/orders", {"item": 1}, key)
        for address in gateways(context)
    ]
    assert [status for status, _, _ in answers] == [200] * len(answers), answers
    assert len({body for _, _, body in answers}) == 1, answers


@then("the whole system delivers the samples of a step through another node")
def step_sample(context):
    first, *others = gateways(context)
    declaration = {
        "step_id": "step-1",
        "policy": POLICY,
        "prompts": ["one", "two"],
        "samples_per_prompt": 2,
        "max_tokens": 12,
        "staleness_bound_versions": 1,
        "scorer": context.system.scorer.address,
    }
    status, _, body = call(first, "POST", "/v1/steps", declaration)
    assert status in (200, 201), body
    samples = []
    while len(samples) < 4:
        path = f"/v1/steps/step-1/samples?cursor={len(samples)}&limit=10&wait_s=20"
        status, _, body = call(others[0], "GET", path)
        assert status == 200, body
        batch = json.loads(body)
        assert batch["samples"], "a pull gave nothing within its time"
        samples += batch["samples"]
    assert sorted(sample["slot"] for sample in samples) == [0, 1, 2, 3]
    assert all(sample["segments"] and sample["score"] is not None for sample in samples)
    status, _, body = call(others[-1], "POST", "/v1/steps/step-1/acknowledge", {"cursor": 4})
    assert json.loads(body)["state"] == "complete", body


@then("the command line lists, describes and explains the whole system's resources")
def step_commands(context):
    address = gateways(context)[0]
    for arguments, expected in (
        (["get", "policies"], POLICY),
        (["get", "pools", "-o", "json"], "writers"),
        (["describe", "policies", POLICY], "writer-model"),
        (["status"], "node-zone-1-1"),
    ):
        run(context, ["-m", "bellweir", *arguments, "--address", address])
        assert context.exit_code == 0, (arguments, context.output, context.errors)
        assert expected in context.output, (arguments, context.output)
    run(context, ["-m", "bellweir", "explain", "Pool.spec.strategy"])
    assert "round_robin" in context.output, (context.output, context.errors)
