"""The workers of a service are replaced one after the other while streams run.

Four old workers in three zones stream. Two of them, those of one zone, are replaced one second
apart: a new one starts, the old one says `draining`, serves on for five seconds more and ends. The
streams that still run at the first one then are resumed by the gateways. By then the second one has
been `draining` for four seconds, twice `drainTimeoutMs`.
"""

import sys
import time

from stand_ins.client import StreamRequest
from stand_ins.deployment import DRAIN_TIMEOUT_S, CannotRunError, Deployment
from stand_ins.engine import Engine, Plan
from stand_ins.record import Record
from stand_ins.runner import run_case

from bellweir.kernel.clock import elapsed_s

HOST = "quotes.example"
PREFIX = "/chat/"
SERVICE = "draft-llm"
EVENTS = 80
PAUSE_S = 0.1
"""A stream takes eight seconds."""
STREAMS = 30
GATEWAYS = 3
OLD_ZONES = ("zone-a", "zone-a", "zone-b", "zone-c")
"""Zones of the old workers; the first two are replaced."""
REPLACED = 2
FIRST_DRAIN_S = 0.7
"""Time from the streams' start to the first worker's `draining`."""
GAP_S = 1.0
SERVES_ON_S = 5.0
"""`drainTimeoutMs` and some seconds more."""
SETTLE_S = 4.0
"""Time without a disruption before the streams: over `contactMs`."""


def configuration() -> dict[str, object]:
    """The operator's configuration: one route for streams, which may be resumed."""
    route = {
        "host": HOST,
        "pathPrefix": PREFIX,
        "kind": "streaming",
        "canResume": True,
        "service": SERVICE,
        "timeoutMs": 10_000,
        "targetMs": 400,
        "maxAttempts": 3,
        "priority": 1,
    }
    service = {"name": SERVICE, "healthPath": "/health", "maxConns": 150}
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 33_554_432,
        "headerTimeoutMs": 5_000,
        "idleTimeoutMs": 20_000,
    }
    return {"version": 1, "routes": [route], "services": [service], "limits": limits}


class Replacement:
    """Replaces the first two workers, one after the other, each by a new one."""

    def __init__(self, old: list[Engine], new: list[Engine]) -> None:
        self._steps: list[tuple[float, str, Engine]] = []
        for number, (leaving, coming) in enumerate(zip(old, new, strict=True)):
            at_s = FIRST_DRAIN_S + number * GAP_S
            self._steps += [
                (at_s - 0.3, "ready", coming),
                (at_s, "draining", leaving),
                (at_s + SERVES_ON_S, "ends", leaving),
            ]
        self._steps.sort(key=lambda step: step[0])

    def play(self, began_s: float) -> None:
        """Do each step at its time after `began_s`."""
        for at_s, what, engine in self._steps:
            time.sleep(max(0.0, began_s + at_s - elapsed_s()))
            if what == "ends":
                engine.end()
            else:
                engine.write_entry(what)


def play(deployment: Deployment, record: Record, has_trouble: bool) -> list[str]:
    """Play the case; what broke the rule, a line each."""
    plan = Plan(EVENTS, PAUSE_S)
    zones = (*OLD_ZONES, *OLD_ZONES[:REPLACED])
    engines = [
        Engine(f"i-{number}", SERVICE, plan, deployment.store, record, zone)
        for number, zone in enumerate(zones)
    ]
    old, new = engines[: len(OLD_ZONES)], engines[len(OLD_ZONES) :]
    try:
        for engine in old:
            engine.write_entry()
        deployment.store.records.put("config", "main", configuration())
        deployment.start()
        time.sleep(SETTLE_S)
        requests = _send_all(deployment, record)
        began_s = elapsed_s()
        if has_trouble:
            Replacement(old[:REPLACED], new).play(began_s)
        for request in requests:
            request.join(EVENTS * PAUSE_S + 4.0)
        return _findings(engines, requests, record)
    finally:
        for engine in engines:
            engine.close()


def _send_all(deployment: Deployment, record: Record) -> list[StreamRequest]:
    """Send the streams, by turns to each gateway."""
    requests = [
        StreamRequest(
            f"stream-{number}",
            deployment.address(f"gateway-{number % GATEWAYS}"),
            HOST,
            f"{PREFIX}a",
            record,
        )
        for number in range(STREAMS)
    ]
    for request in requests:
        request.send()
        time.sleep(0.01)
    return requests


def _findings(engines: list[Engine], requests: list[StreamRequest], record: Record) -> list[str]:
    whole = sum(one.is_whole and one.has_all(EVENTS) for one in requests)
    record.note(f"clients: {whole} of {STREAMS} streams came whole")
    if not any(engine.runs for engine in engines):
        raise CannotRunError("no stream reached a worker")
    found = []
    for engine in engines:
        acknowledged_s = engine.draining_acknowledged_s
        for run in engine.runs if acknowledged_s is not None else ():
            late_s = run.began_s - acknowledged_s
            if late_s > DRAIN_TIMEOUT_S:
                found.append(
                    f"{run.request_id} reached {engine.name} {late_s:.2f} s after the store had "
                    f"taken that it drains, to go on after event {run.after_event}"
                )
    return found


if __name__ == "__main__":
    sys.exit(run_case("DRAIN", __file__, play))
