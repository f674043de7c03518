"""Calls of a gateway over its port, used by its steps."""

import http.client
import json
import socket

import openai

from support.gateway_fakes import start_gateway_node

STEP = {
    "step_id": "step-1",
    "policy": "policy-1",
    "prompts": ["a prompt"],
    "samples_per_prompt": 2,
    "max_tokens": 16,
}
CLIENT_TIMEOUT_S = 30.0


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


def gateway_json(context, method, path, content=None, headers=None):
    body = None if content is None else json.dumps(content).encode()
    status, _, answer = gateway_call(context, method, path, body, headers)
    return status, json.loads(answer)


def gateway_threads_polling(context):
    _, status = gateway_json(context, "GET", "/status")
    return status["threads"]["by_share"]["long_poll"]
