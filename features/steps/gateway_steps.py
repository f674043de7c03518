"""Steps of the gateway in general: its start, status and metrics."""

from behave import given, then

from support.gateway_calls import (
    gateway_call,
    gateway_json,
    gateway_start,
)

SHORT_LIMITS = {
    "header_timeout_s": 1,
    "body_grace_s": 1,
    "body_bytes_per_s": 1 << 20,
    "write_stall_s": 1,
    "linger_s": 1,
}


@given("a gateway on fake services")
def step_gateway(context):
    gateway_start(context)


@given("a gateway with short time limits and a longest body of {size:d} bytes")
def step_gateway_short(context, size):
    gateway_start(context, limits=SHORT_LIMITS, maximum_body_bytes=size)


@given("a gateway with a longest body of {size:d} bytes")
def step_gateway_bounded(context, size):
    gateway_start(context, maximum_body_bytes=size)


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
