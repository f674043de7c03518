"""A gateway is stopped as planned while streams run that end within its grace period.

Streams are sent to one of three gateways, which gets SIGTERM half a second later. Their workers are
sound: each works until its stream's end, or until its connection is closed. The streams would end,
one after the other, between 5.2 s and 7.6 s after the signal; `gracePeriodS` is 8.
"""

import sys
import time

from stand_ins.client import StreamRequest
from stand_ins.configuration import configuration
from stand_ins.deployment import GRACE_PERIOD_S, ZONES, CannotRunError, Deployment
from stand_ins.engine import Engine, Plan, Run
from stand_ins.record import Record
from stand_ins.runner import run_case

from bellweir.kernel.clock import elapsed_s

HOST = "quotes.example"
PREFIX = "/chat/"
SERVICE = "draft-llm"
STOPPED = "gateway-0"
EVENTS = 130
"""Events of a stream: the most that a draft has on the users' smallest site."""
STREAMS = 48
FIRST_END_S, LAST_END_S = 5.2, 7.6
"""When the first and the last stream would end, in seconds after the signal."""
SENT_BEFORE_S = 0.5
"""When they are sent, in seconds before the signal."""
LAST_SIXTH_S = GRACE_PERIOD_S * 5 / 6
"""Beginning of the last sixth of the grace period, in seconds after the signal."""
SETTLE_S = 4.0
"""Time without a disruption before the requests: over `contactMs`."""
POLL_S = 0.02


def play(deployment: Deployment, record: Record, has_trouble: bool) -> list[str]:
    """Play the case; what broke the rule, a line each."""
    ends_s = {
        f"stream-{number}": FIRST_END_S + number * (LAST_END_S - FIRST_END_S) / (STREAMS - 1)
        for number in range(STREAMS)
    }
    pauses = {one: (SENT_BEFORE_S + end_s) / EVENTS for one, end_s in ends_s.items()}
    plan = Plan(EVENTS, 0.05, pauses)
    engines = [
        Engine(f"i-{number}", SERVICE, plan, deployment.store, record, zone)
        for number, zone in enumerate(ZONES)
    ]
    try:
        for engine in engines:
            engine.write_entry()
        put = deployment.store.records.put
        put("config", "main", configuration({"name": SERVICE}, HOST, PREFIX, "streaming"))
        deployment.start()
        time.sleep(SETTLE_S)
        return _play_streams(deployment, record, engines, ends_s, has_trouble)
    finally:
        for engine in engines:
            engine.close()


def _play_streams(
    deployment: Deployment,
    record: Record,
    engines: list[Engine],
    ends_s: dict[str, float],
    has_trouble: bool,
) -> list[str]:
    address = deployment.address(STOPPED)
    requests = [StreamRequest(one, address, HOST, f"{PREFIX}a", record) for one in ends_s]
    began_s = elapsed_s()
    for request in requests:
        request.send()
    time.sleep(max(0.0, began_s + SENT_BEFORE_S - elapsed_s()))
    signal_s = elapsed_s()
    if has_trouble:
        deployment.terminate(STOPPED)
        record.note(f"platform: SIGTERM to {STOPPED}", signal_s)
    for request in requests:
        request.join(GRACE_PERIOD_S + 4.0)
    if has_trouble:
        _await_end(deployment, record, signal_s)
    whole = sum(one.is_whole and one.has_all(EVENTS) for one in requests)
    record.note(f"clients: {whole} of {STREAMS} streams came whole")
    runs = {run.request_id: run for engine in engines for run in engine.runs}
    return [
        found
        for request in requests
        if (
            found := _finding(
                request, runs.get(request.request_id), signal_s, ends_s[request.request_id]
            )
        )
        is not None
    ]


def _await_end(deployment: Deployment, record: Record, signal_s: float) -> None:
    """Wait for the process's end, as long as the platform would before SIGKILL."""
    while deployment.exit_code(STOPPED) is None and elapsed_s() < signal_s + GRACE_PERIOD_S:
        time.sleep(POLL_S)
    after_s = elapsed_s() - signal_s
    code = deployment.exit_code(STOPPED)
    record.note(f"platform: {STOPPED} has exit code {code}, {after_s:.2f} s after SIGTERM")


def _finding(request: StreamRequest, run: Run | None, signal_s: float, end_s: float) -> str | None:
    """What broke the rule for one request; None if nothing did, or an excuse of it holds."""
    if run is None or run.ended_s is None:
        raise CannotRunError(f"{request.request_id} reached no worker")
    worked_until_s = run.ended_s - signal_s
    is_excused = run.end == "broken off" or worked_until_s >= LAST_SIXTH_S
    if (request.is_whole and request.has_all(EVENTS)) or is_excused:
        return None
    place = "before" if end_s < LAST_SIXTH_S else "in"
    return (
        f"{request.request_id}: sent {signal_s - request.sent_s:.2f} s before SIGTERM, closed "
        f"{request.ended_s - signal_s:.2f} s after it without its end, which its worker would "
        f"have made at {end_s:.2f} s, {place} the last sixth; it worked until {worked_until_s:.2f} "
        "s, then its connection was closed"
    )


if __name__ == "__main__":
    sys.exit(run_case("LOST", __file__, play))
