"""Planned stops of hosted processes."""

import http.client
import math
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import SimpleNamespace

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.steps.hosted_settings_steps import changed
from features.support import hanging_process
from features.support.waiting import wait_until
from hypothesis import given, settings

from bellweir.hosted.serving.service import FrontService
from bellweir.hosted.serving.simple_application import SimpleApplication
from bellweir.hosted.settings import MIN_GRACE_PERIOD_S, parse_settings
from bellweir.hosted.stop_times import StopTimes
from bellweir.http_server.http import json_response
from bellweir.http_server.server import HttpServer
from bellweir.http_server.server_limits import ServerLimits
from bellweir.kernel.listeners import address_of
from bellweir.settings.findings import SettingsError
from bellweir_platform.headers import HEADERS
from bellweir_rehearsal.hosted.clients import HOST, KEY, Client, Trainer, call, configuration
from bellweir_rehearsal.hosted.deployment import HostedDeployment

LAST_SIXTH = 5 / 6
EVENT_PAUSE_S = 0.04
FIRST_END, LAST_END = 0.3, 0.97
"""When the first and the last stream would end, as shares of the grace period."""
STREAM_TIMEOUT_MS = 60_000
STOPPED = "gateway-0"
PIPE_BLOCK_BYTES = 1


@then(
    "for any grace period requests are served into its last sixth, and the process is gone "
    "before its end"
)
def then_times(context):
    @settings(max_examples=300)
    @given(grace_s=st.floats(MIN_GRACE_PERIOD_S, 100_000.0))
    def fits(grace_s):
        times = StopTimes(0.0, grace_s)
        assert LAST_SIXTH * grace_s < times.serve_until_s < times.exit_by_s < grace_s

    fits()


@given_step("hosted processes with a grace period of {grace:g} s")
def given_processes(context, grace):
    deployment = HostedDeployment(context.folder, 2, 3, 3, 1, grace_period_s=grace)
    context.deployment, context.grace_s = deployment, grace
    context.cleanup.callback(deployment.close)
    shown = configuration(1)
    for route in shown["routes"]:
        if route["kind"] == "streaming":
            route["timeoutMs"] = STREAM_TIMEOUT_MS
    deployment.store.records.put("config", "main", shown)
    deployment.start()
    for name in deployment.names("gateway"):
        wait_until(lambda name=name: is_ready(deployment.address(name, "ready")), f"{name} ready")


def is_ready(address):
    answer = call(address, "GET", "/ready")
    return answer is not None and answer.status == 200


def read_stream(address, request_id):
    """Read a stream to its end; return when it ended, and whether it came whole."""
    connection = http.client.HTTPConnection(address, timeout=30.0)
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        HEADERS.request_id: request_id,
        HEADERS.deadline_ms: str(STREAM_TIMEOUT_MS),
    }
    try:
        connection.request("POST", "/lines/x", b"body", headers)
        answer = connection.getresponse()
        assert answer.status == 200, answer.status
        answer.read()
        is_whole = True
    except (OSError, http.client.HTTPException):
        is_whole = False
    finally:
        connection.close()
    return SimpleNamespace(request_id=request_id, ended_s=time.monotonic(), is_whole=is_whole)


def await_run(deployment, request_id):
    runs = [worker.record.ran for worker in deployment.models]
    wait_until(lambda: any(ran[request_id] for ran in runs), f"{request_id} runs")


@when("{count:d} streams that end one after the other run at a gateway, and it gets {signals}")
def when_stopped_under_streams(context, count, signals):
    deployment = context.deployment
    address = deployment.address(STOPPED, "front")
    for worker in deployment.models:
        worker.event_pause_s = EVENT_PAUSE_S
    with ThreadPoolExecutor(count) as pool:
        reading = []
        for number in range(count):
            end_s = context.grace_s * (
                FIRST_END + (LAST_END - FIRST_END) * number / max(1, count - 1)
            )
            for worker in deployment.models:
                worker.events = math.ceil(end_s / EVENT_PAUSE_S)
            request_id = f"stream-{number}"
            reading.append(pool.submit(read_stream, address, request_id))
            await_run(deployment, request_id)
        context.signalled_s = None
        for name in signals.split(", "):
            if name == "SIGTERM" and context.signalled_s is None:
                context.signalled_s = time.monotonic()
            deployment.signal(STOPPED, getattr(signal, name))
        context.process = deployment.machines[STOPPED].process
        await_end(context)
        context.streams = [one.result() for one in reading]


def await_end(context):
    """Wait for the process as long as the platform would before SIGKILL."""
    left_s = context.signalled_s + context.grace_s - time.monotonic()
    try:
        context.exit_code = context.process.wait(max(0.0, left_s))
    except subprocess.TimeoutExpired:
        context.exit_code = None
        context.process.kill()


@then("no stream is cut before the last sixth of the grace period")
def then_not_cut(context):
    assert any(one.is_whole for one in context.streams)
    for one in context.streams:
        after_s = one.ended_s - context.signalled_s
        told = f"{one.request_id} was cut {after_s:.2f} s after SIGTERM"
        assert one.is_whole or after_s >= LAST_SIXTH * context.grace_s, told


def last_lines(context):
    """The last log lines of the deployment's processes, for a message."""
    logs = sorted(Path(context.folder).glob("*.log"))
    return [line for log in logs for line in log.read_text(encoding="utf-8").splitlines()[-4:]]


@then("the process is gone before the end of the grace period with exit code 0")
def then_gone(context):
    assert context.exit_code == 0, (context.exit_code, last_lines(context))


@when("the store machine that leads the batch jobs gets SIGTERM")
def when_store_stopped(context):
    deployment = context.deployment
    Trainer(Client(deployment)).begin_step()
    stores = deployment.names("store")

    def leader():
        lines = {name: deployment.machines[name].log_of_life() for name in stores}
        return next((name for name in stores if "shard_leads" in lines[name]), stores[0])

    name = leader()
    context.process = deployment.machines[name].process
    context.signalled_s = time.monotonic()
    deployment.signal(name, signal.SIGTERM)
    await_end(context)


@given_step(
    "a hosted process with a grace period of {grace:g} s whose service hangs in its {phase}"
)
def given_hanging(context, grace, phase):
    deployment = HostedDeployment(context.folder, 1, 1, 1, 0, grace_period_s=grace)
    context.cleanup.callback(deployment.close)
    context.grace_s, context.phase = grace, phase
    context.log = Path(context.folder) / "hanging.log"
    environment = {
        **os.environ,
        "BELLWEIR_CONFIG": str(deployment.write_settings(STOPPED)),
        "HANGS_IN": phase,
        hanging_process.TAKES_SIGNAL: "1",
    }
    with context.log.open("wb") as log:
        context.process = subprocess.Popen(
            [sys.executable, hanging_process.__file__],
            stdin=subprocess.PIPE,
            stdout=log,
            env=environment,
        )
    context.cleanup.callback(context.process.kill)


@given_step("a hosted process with a grace period of {grace:g} s, whose output is full")
def given_unread(context, grace):
    deployment = HostedDeployment(context.folder, 1, 1, 1, 0, grace_period_s=grace)
    context.cleanup.callback(deployment.close)
    context.grace_s, context.phase = grace, None
    deployment.store.records.put("config", "main", configuration(1))
    reader, writer = os.pipe()
    context.cleanup.callback(os.close, reader)
    environment = {**os.environ, "BELLWEIR_CONFIG": str(deployment.write_settings(STOPPED))}
    context.process = subprocess.Popen(
        [sys.executable, "-m", "bellweir.hosted", "gateway"], stdout=writer, env=environment
    )
    context.cleanup.callback(context.process.kill)
    ready = deployment.address(STOPPED, "ready")
    wait_until(lambda: is_ready(ready), "the gateway is ready")
    # What the process writes from now on waits for a reader that never comes.
    os.set_blocking(writer, False)
    while True:
        try:
            os.write(writer, b" " * PIPE_BLOCK_BYTES)
        except BlockingIOError:
            break
    os.set_blocking(writer, True)
    os.close(writer)


@when("it gets SIGTERM")
def when_terminated(context):
    await_phase(context)
    context.signalled_s = time.monotonic()
    context.process.send_signal(signal.SIGTERM)
    await_end(context)


@when("another thread of it receives SIGTERM")
def when_thread_signalled(context):
    await_phase(context)
    context.signalled_s = time.monotonic()
    context.process.stdin.write(b"now\n")
    context.process.stdin.close()
    await_end(context)


def await_phase(context):
    """Wait until the process hangs in its start, or has started."""
    if context.phase is not None:
        wanted = hanging_process.MARKER if context.phase == "start" else "process_started"
        wait_until(lambda: wanted in context.log.read_text(encoding="utf-8"), wanted)


@then("its log says that the stop was cut short")
def then_cut_short(context):
    lines = context.log.read_text(encoding="utf-8").splitlines()
    (stopped,) = [line for line in lines if '"process_stopped"' in line]
    assert '"left_running": 1' in stopped, stopped


def make_front(context, *servers):
    node = SimpleNamespace(node=SimpleNamespace(zone="a"))
    front = FrontService(SimpleNamespace(), node, SimpleNamespace(headers=HEADERS))
    front._requests, front._servers = servers[0], list(servers)
    return front


@given_step("clients with open connections")
def given_connections(context):
    context.connections = [context.gateway.connect() for _ in range(2)]
    for connection in context.connections:
        context.cleanup.callback(connection.close)


@when("the gateway drains for {drain_s:d} s with a stream of {stream_s:d} s in hand")
def when_drained(context, drain_s, stream_s):
    front = context.front = make_front(context, context.gateway.server)
    context.gateway.can_be_served = front._can_be_served
    for worker in context.workers.values():
        worker.event_pause_s = stream_s / worker.events
    pool = ThreadPoolExecutor(2)
    context.cleanup.callback(pool.shutdown)
    context.stream = pool.submit(context.gateway.send, "/stream/x", deadline_ms=60_000)
    server = context.gateway.server
    wait_until(lambda: server.busy_connections() == 1, "the stream")
    pool.submit(front.drain, float(drain_s))
    wait_until(lambda: math.isfinite(front._serve_until_s), "the late part of the drain")


@given_step("a client that has sent half of a body of {size:d} bytes to {path}")
def given_half_sent(context, size, path):
    context.half = b"x" * (size // 2)
    host, port = context.gateway.address.rsplit(":", 1)
    context.slow = socket.create_connection((host, int(port)))
    context.cleanup.callback(context.slow.close)
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Bellweir-Attempt-Id: slow\r\n"
        f"X-Bellweir-Deadline-Ms: 60000\r\nContent-Length: {size}\r\n\r\n"
    )
    context.slow.sendall(head.encode() + context.half)
    server = context.gateway.server
    wait_until(lambda: server.busy_connections() == 1, "the head is read")


@when("the gateway drains for {drain_s:d} s, and the other half is sent late")
def when_sent_late(context, drain_s):
    front = make_front(context, context.gateway.server)
    context.gateway.can_be_served = front._can_be_served
    pool = ThreadPoolExecutor(1)
    context.cleanup.callback(pool.shutdown)
    pool.submit(front.drain, float(drain_s))
    wait_until(lambda: math.isfinite(front._serve_until_s), "the late part of the drain")
    context.slow.sendall(context.half)


@then("it is refused to be sent elsewhere, and has not run")
def then_half_refused(context):
    answer = http.client.HTTPResponse(context.slow)
    answer.begin()
    body = answer.read()
    assert (answer.status, answer.getheader("Retry-After")) == (503, "0"), (answer.status, body)
    assert b"stopping" in body, body
    assert ran(context, "slow") == 0


def ran(context, request_id):
    return sum(worker.record.ran[request_id] for worker in context.workers.values())


@then("a request that may outlast the drain is refused at once, to be sent elsewhere")
def then_late_refused(context):
    first = context.connections[0]
    answer = context.gateway.send("/stream/x", deadline_ms=60_000, connection=first)
    assert (answer.status, answer.headers["Retry-After"]) == (503, "0"), answer
    assert answer.headers["Connection"] == "close"
    assert b"stopping" in answer.body
    assert ran(context, answer.request_id) == 0


@then("a request that can't outlast it is served")
def then_short_served(context):
    for worker in context.workers.values():
        worker.event_pause_s = 0.0
    last = context.connections[1]
    answer = context.gateway.send("/stream/x", deadline_ms=500, connection=last)
    assert (answer.status, answer.whole) == (200, True), answer


@then("the stream in hand comes whole")
def then_stream_whole(context):
    answer = context.stream.result(20.0)
    assert (answer.status, answer.whole) == (200, True), answer


@when(
    "the gateway drains for {drain_s:d} s with {count:d} requests to {path} in hand "
    "that take {seconds:d} s, and stops"
)
def when_outlasted(context, drain_s, count, path, seconds):
    front = make_front(context, context.gateway.server)
    front._forwarder = context.gateway.forwarder
    context.gateway.can_be_served = front._can_be_served
    for worker in context.workers.values():
        worker.faults.delay_s = float(seconds)
    pool = ThreadPoolExecutor(count)
    context.cleanup.callback(pool.shutdown)
    context.path = path
    context.sent = [
        pool.submit(context.gateway.send, path, deadline_ms=60_000) for _ in range(count)
    ]
    server = context.gateway.server
    wait_until(lambda: server.busy_connections() == count, "the requests")
    front.drain(float(drain_s))
    front.stop()


@then("each is answered: with 502 if it has run, with 503 if it has not")
def then_answered_late(context):
    answers = [sent.result(20.0) for sent in context.sent]
    runs = [ran(context, answer.request_id) for answer in answers]
    assert sum(runs) > 0
    assert [answer.status for answer in answers] == [502 if run else 503 for run in runs], answers
    assert max(runs) == 1 or context.path.startswith("/idempotent/"), runs


@given_step("a directory that takes {milliseconds:d} ms to answer")
def given_directory(context, milliseconds):
    def answer(_request):
        time.sleep(milliseconds / 1000)
        return json_response(200, {"addresses": []})

    listener = socket.create_server(("127.0.0.1", 0))
    context.directory_address = address_of(listener)
    context.directory = HttpServer(SimpleApplication(answer), listener, ServerLimits(4, 1 << 16))
    context.gateway.executors.run_task("directory", context.directory.run_until_closed)
    context.cleanup.callback(context.directory.close_all)


@when("the gateway drains for {drain_s:d} s while clients look up one after the other")
def when_looked_up(context, drain_s):
    front = make_front(context, context.gateway.server, context.directory)
    context.cut, context.answered = [], 0

    def look_up():
        while True:
            connection = http.client.HTTPConnection(context.directory_address, timeout=5.0)
            try:
                connection.connect()
            except OSError:
                return
            try:
                connection.request("GET", "/endpoints")
                connection.getresponse().read()
                context.answered += 1
            except (OSError, http.client.HTTPException) as exc:
                context.cut.append(exc)
                return
            finally:
                connection.close()

    clients = [threading.Thread(target=look_up, daemon=True) for _ in range(3)]
    for client in clients:
        client.start()
    wait_until(lambda: context.answered > 0, "the first answer")
    front.drain(float(drain_s))
    front.stop()
    for client in clients:
        client.join(10.0)


@then("each look-up that was accepted is answered")
def then_looked_up(context):
    assert context.answered > 0
    assert not context.cut, context.cut


@then("settings with a grace period below 1 s are refused")
def then_too_short(context):
    for grace_s in (0, -1, 0.5, 0.99):
        try:
            parse_settings(changed(context, bounds__gracePeriodS=grace_s))
        except SettingsError as exc:
            assert [each.key_path for each in exc.findings] == ["bounds.gracePeriodS"]
        else:
            raise AssertionError(f"{grace_s} is accepted")
    parse_settings(changed(context, bounds__gracePeriodS=1))
