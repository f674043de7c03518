"""Steps for the bounded log stream, written to pipes."""

import json
import os
import socket
import threading
import time
import urllib.request

import structlog
from behave import given as given_step
from behave import then, when
from features.support.waiting import wait_until

from bellweir.events.bounded import BoundedLog
from bellweir.events.log import bind_node, configure_logs, emit
from bellweir.hosted.log_events import (
    ATTEMPT_FAILED,
    CLIENT_LEFT,
    LINES_LEFT_OUT,
    REQUEST_GIVEN_UP,
)
from bellweir_rehearsal.hosted.deployment import METRICS_PORT, HostedDeployment


def start_logs(context):
    reader, writer = os.pipe()
    context.reader = os.fdopen(reader, "rb")
    stream = os.fdopen(writer, "w", buffering=1)
    context.log = BoundedLog(stream, LINES_LEFT_OUT)
    context.saved = structlog.get_config()
    configure_logs("info", "json", context.log)
    bind_node("node-1")
    context.cleanup.callback(structlog.configure, **context.saved)
    context.cleanup.callback(configure_logs, "info", "json")


@given_step("logs written to a pipe that is not read")
def given_unread(context):
    start_logs(context)


@given_step("logs written to a pipe that is read")
def given_read(context):
    start_logs(context)
    start_reading(context)


def start_reading(context):
    context.lines = []

    def read():
        for line in context.reader:
            context.lines.append(json.loads(line))

    context.thread = threading.Thread(target=read, daemon=True)
    context.thread.start()


def finish_logs(context):
    context.log.close(10.0)
    context.thread.join(10.0)


def emit_failure(number):
    emit(
        REQUEST_GIVEN_UP,
        request_id=f"r-{number}",
        route="r",
        configuration=1,
        status=503,
        cause="workers_full",
        attempts=2,
        ms=4,
    )


@when("{count:d} lines are emitted, of which {final:d} report a final failure")
def when_emitted(context, count, final):
    context.longest_s = 0.0
    for number in range(count):
        began_s = time.monotonic()
        if number % (count // final) == 0:
            emit_failure(number)
        else:
            emit(ATTEMPT_FAILED, request_id=f"r-{number}", detail="x" * 100)
        context.longest_s = max(context.longest_s, time.monotonic() - began_s)


@then("emitting never blocked on the reader")
def then_no_wait(context):
    assert context.longest_s < 1.0


@when("the reader resumes")
def when_read(context):
    start_reading(context)
    finish_logs(context)


@then("it gets the {final:d} final failures, and the number of dropped lines")
def then_final(context, final):
    found = [line for line in context.lines if line["event"] == REQUEST_GIVEN_UP.name]
    assert len(found) == final
    assert dropped_count(context, ATTEMPT_FAILED) > 0


def dropped_count(context, event):
    reports = [line for line in context.lines if line["event"] == LINES_LEFT_OUT.name]
    return sum(line["counts"].get(event.name, 0) for line in reports)


@when("one event is emitted {count:d} times within a second and another one {others:d} times")
def when_burst(context, count, others):
    for number in range(count):
        emit(ATTEMPT_FAILED, request_id=f"r-{number}")
        if number % (count // others) == 0:
            emit(CLIENT_LEFT, request_id=f"r-{number}")
    finish_logs(context)


@then("all {count:d} lines of the other event are written")
def then_others(context, count):
    assert sum(line["event"] == CLIENT_LEFT.name for line in context.lines) == count


@then("the written and dropped lines of the first add up to {count:d}")
def then_counted(context, count):
    written = sum(line["event"] == ATTEMPT_FAILED.name for line in context.lines)
    assert 0 < written < count
    assert written + dropped_count(context, ATTEMPT_FAILED) == count


@when("a request that was given up is logged")
def when_given_up(context):
    emit_failure(1)
    finish_logs(context)


@then("its line has its code, name, node, request id, cause and time")
def then_line(context):
    [line] = context.lines
    wanted = {"code": REQUEST_GIVEN_UP.code, "event": "request_given_up", "node": "node-1"}
    wanted |= {"request_id": "r-1", "cause": "workers_full", "level": "warning"}
    assert wanted.items() <= line.items()
    assert line["timestamp"].endswith("Z")


@given_step("a hosted deployment whose store machine finds its metrics address in use")
def given_taken(context):
    deployment = HostedDeployment(context.folder, gateways=1, stores=1, zones=1, tolerated=0)
    context.cleanup.callback(deployment.close)
    context.machine = deployment.machines["store-0"]
    context.taken = socket.create_server((context.machine.ip, METRICS_PORT))
    context.cleanup.callback(context.taken.close)
    deployment.start()


@then("it serves the ledger and logs that the metrics are unavailable")
def then_keeps(context):
    for event in ("metrics_unavailable", "leader_elected"):
        wait_until(lambda event=event: event in context.machine.log_file.read_text(), event)
    assert context.machine.is_running


@when("the metrics address is free again")
def when_free(context):
    context.taken.close()


@then("it serves its metrics there")
def then_shown(context):
    url = f"http://{context.machine.ip}:{METRICS_PORT}/metrics"

    def shown():
        try:
            with urllib.request.urlopen(url, timeout=5) as answer:
                return b"bellweir_uptime_seconds" in answer.read()
        except OSError:
            return False

    wait_until(shown, "the metrics are served")
