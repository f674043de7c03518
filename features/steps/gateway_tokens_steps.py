"""Steps of the gateway's bearer tokens."""

import hashlib
import json
import threading

from behave import given, then, when

from support.gateway_calls import (
    STEP,
    gateway_call,
    gateway_start,
)

POOLS = "/apis/bellweir.dev/v1/pools"


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
    pool = json.dumps({"kind": "Pool", "metadata": {"name": "web"}, "spec": {}}).encode()
    calls = {
        "caller": ("GET", "/v1/models", None),
        "application": ("GET", "/apps/web/x", None),
        "trainer": ("POST", "/v1/steps", json.dumps(STEP).encode()),
        "read": ("GET", POOLS, None),
        "status": ("GET", "/status", None),
        "write": ("POST", f"{POOLS}?dryRun=true", pool),
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
    assert gateway_call(context, "GET", "/apps/web/x", None, own)[0] == 200
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
