"""Steps of the HTTP server's last answers, over real connections."""

import http.client
import socket
import threading
import time
from dataclasses import replace

from behave import given, then, when

from bellweir.http_server.body_pipe import BodyCutError
from bellweir.http_server.server import HttpServer
from bellweir.http_server.server_limits import ServerLimits
from bellweir.kernel.clock import elapsed_s

PIECES = 100
CLIENT_TIMEOUT_S = 15
CLOSES = " and closes"


def answer(start_response, status, body):
    start_response(status, [("Content-Length", str(len(body)))])
    return [body]


def reading(environ, start_response):
    try:
        environ["wsgi.input"].read()
    except BodyCutError as failure:
        return answer(start_response, f"{failure.status} Refused", b"refused")
    return answer(start_response, "200 OK", b"read")


def refusing(environ, start_response):
    return answer(start_response, "503 Service Unavailable", b"refused")


@given("an HTTP server that {does} and takes bodies of {limit_bytes:d} bytes")
def given_server(context, does, limit_bytes):
    application = reading if does.startswith("reads") else refusing
    if does.startswith("answers with"):
        body = b"x" * int(does.split()[2])
        application = lambda _, start_response: answer(start_response, "200 OK", body)  # noqa: E731
    listener = socket.create_server(("127.0.0.1", 0))
    context.port = listener.getsockname()[1]
    context.server = server = HttpServer(application, listener, ServerLimits(4, limit_bytes))
    server.closing_connections = does.endswith(CLOSES)
    loop = threading.Thread(target=server.run_until_closed, args=(threading.Event(),))
    loop.start()
    context.cleanup.callback(server.release)
    context.cleanup.callback(loop.join)
    context.cleanup.callback(server.close_all)


def pieces(size, seconds):
    """Split a body into pieces that take `seconds` to send, with a pause in its middle."""
    for number in range(PIECES):
        yield b"a" * (size * (number + 1) // PIECES - size * number // PIECES)
        share = 0.5 if number == PIECES // 2 else 0.5 / PIECES
        time.sleep(seconds * share)


@when("a caller sends {size:d} bytes {framed} in {seconds:g} s")
def when_sent(context, size, framed, seconds):
    conn = http.client.HTTPConnection("127.0.0.1", context.port, timeout=CLIENT_TIMEOUT_S)
    headers = {} if framed == "in chunks" else {"Content-Length": str(size)}
    try:
        conn.request("POST", "/", pieces(size, seconds), headers)
        context.status = conn.getresponse().status
    except OSError as exc:
        context.status = repr(exc)
    finally:
        conn.close()


@then("the caller gets {status:d}")
def then_status(context, status):
    assert context.status == status, context.status


@then("the server soon has no connection")
def then_no_connection(context):
    context.wait_until(lambda: not context.server.active_channels, "every connection is closed")


@when("a caller asks once, then sends {size:d} bytes and reads slowly")
def when_pipelined(context, size):
    context.received = b""
    post = f"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n".encode()
    with socket.create_connection(("127.0.0.1", context.port), CLIENT_TIMEOUT_S) as conn:
        conn.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" + post)
        sender = threading.Thread(target=send_quietly, args=(conn, b"a" * size))
        sender.start()
        time.sleep(1)
        try:
            while data := conn.recv(65536):
                context.received += data
        except OSError as exc:
            context.received += repr(exc).encode()
        sender.join()


def send_quietly(conn, data):
    try:
        conn.sendall(data)
    except OSError as exc:
        print(f"the body was not sent whole: {exc!r}")


@then("it reads one whole answer and a refusal with 413")
def then_both(context):
    head, _, rest = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), head[:80]
    body, refusal = rest[:3_000_000], rest[3_000_000:]
    assert body == b"x" * 3_000_000, len(body)
    assert refusal.startswith(b"HTTP/1.1 413 "), refusal[:80]


@given("it drops input for {longest:d} s at most, and for {idle:d} s while none comes")
def given_limits(context, longest, idle):
    limits = context.server.limits
    context.server.limits = replace(limits, linger_s=longest, linger_idle_s=idle)


def begin_body(context):
    conn = socket.create_connection(("127.0.0.1", context.port), CLIENT_TIMEOUT_S)
    context.cleanup.callback(conn.close)
    conn.sendall(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n" + b"a" * 70_000)
    received = b""
    while data := conn.recv(65536):
        received += data
    assert received.startswith(b"HTTP/1.1 503 "), received[:80]
    return conn


@when("a caller begins a body and then sends a byte each {pause_s:g} s")
def when_slow(context, pause_s):
    conn = begin_body(context)
    began_s = next_s = elapsed_s()
    while context.server.active_channels and elapsed_s() < began_s + CLIENT_TIMEOUT_S:
        if elapsed_s() >= next_s + pause_s:
            next_s += pause_s
            send_quietly(conn, b"a")
        time.sleep(0.02)
    context.lasted_s = elapsed_s() - began_s


@then("the server ends the connection after {least:d} to {most:d} s")
def then_ended(context, least, most):
    assert least <= context.lasted_s <= most, context.lasted_s


@when("a caller has read its refusal amid its body")
def when_read_amid(context):
    context.conn = begin_body(context)


@then("the connection is busy until the caller closes it")
def then_busy(context):
    assert context.server.busy_connections() == 1
    context.conn.close()
    context.wait_until(lambda: context.server.busy_connections() == 0, "no connection is busy")
