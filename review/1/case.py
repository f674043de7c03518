"""Workers load a new version of their weights while requests with long bodies arrive.

A trainer names version 2, and the system has the workers load it. A worker that loads answers 503
with `X-Bellweir-Not-Executed`, as the users' page says. The requests are of a streaming route and
have bodies of 300,000 bytes. Three in four are sent in chunks, the others with a length; a worker
that loads refuses the latter before it has read their bodies, and reads these then.
"""

import hashlib
import sys
import time

from stand_ins.client import StreamRequest
from stand_ins.configuration import configuration
from stand_ins.deployment import ZONES, CannotRunError, Deployment
from stand_ins.engine import MODEL, SLOTS, Engine, Plan
from stand_ins.record import Record
from stand_ins.runner import run_case

from bellweir.kernel.clock import elapsed_s

HOST = "quotes.example"
PREFIX = "/chat/"
SERVICE = "draft-llm"
SERVICE_ENTRY: dict[str, object] = {
    "name": SERVICE,
    "engine": {"slots": SLOTS, "kvCapacity": 103_490, "models": [{"name": MODEL}]},
}
EVENTS = 5
PAUSE_S = 0.04
BODY_BYTES = 300_000
GATEWAYS = 3
REQUESTS = 90
WITH_LENGTH = 4
"""One in so many requests is sent with a length."""
INTERVAL_S = 0.06
"""Time between two requests, over all gateways."""
NAMED_AFTER = 10
"""Requests after which the trainer names the next version."""
SETTLE_S = 5.0
"""Time without a disruption before the requests: over `contactMs`."""
SHOWN_BYTES = 90
NEXT_VERSION = 2
"""Workers start with version 1."""


def play(deployment: Deployment, record: Record, has_trouble: bool) -> list[str]:
    """Play the case; what broke the rule, a line each."""
    plan = Plan(EVENTS, PAUSE_S)
    engines = [
        Engine(f"i-{number}", SERVICE, plan, deployment.store, record, zone)
        for number, zone in enumerate(ZONES)
    ]
    try:
        for engine in engines:
            engine.write_entry()
        put = deployment.store.records.put
        put("config", "main", configuration(SERVICE_ENTRY, HOST, PREFIX, "streaming"))
        deployment.start()
        time.sleep(SETTLE_S)
        requests = _send_all(deployment, record, has_trouble)
        for request in requests:
            request.join(12.0)
        return _findings(engines, requests, record)
    finally:
        for engine in engines:
            engine.close()


def _send_all(deployment: Deployment, record: Record, has_trouble: bool) -> list[StreamRequest]:
    """Send the requests, by turns to each gateway; name the next version after some of them."""
    requests = []
    began_s = elapsed_s()
    for number in range(REQUESTS):
        request_id = f"stream-{number}"
        text = f"prompt of {request_id} ".encode()
        body = (text * (BODY_BYTES // len(text) + 1))[:BODY_BYTES]
        address = deployment.address(f"gateway-{number % GATEWAYS}")
        request = StreamRequest(
            request_id,
            address,
            HOST,
            f"{PREFIX}a",
            record,
            body,
            is_chunked=number % WITH_LENGTH != 0,
        )
        time.sleep(max(0.0, began_s + number * INTERVAL_S - elapsed_s()))
        request.send()
        requests.append(request)
        if has_trouble and number == NAMED_AFTER:
            named = {"model": MODEL, "version": NEXT_VERSION}
            deployment.store.records.put("versions", MODEL, named)
            record.note(f"trainer: has named version {NEXT_VERSION} of {MODEL}")
    return requests


def _findings(engines: list[Engine], requests: list[StreamRequest], record: Record) -> list[str]:
    whole = sum(one.is_whole and one.has_all(EVENTS) for one in requests)
    record.note(f"clients: {whole} of {REQUESTS} streams came whole")
    sent = {one.request_id: one for one in requests}
    runs = [run for engine in engines for run in engine.runs]
    if not runs:
        raise CannotRunError("no stream reached a worker")
    found = []
    for run in runs:
        request = sent.get(run.request_id)
        if request is None:
            found.append(f"{run.worker} ran {run.request_id}, which no client sent")
        elif run.body_digest != hashlib.sha256(request.body).hexdigest():
            found.append(
                f"{run.worker} ran {run.request_id} with a body of {run.body_bytes} bytes; the "
                f"client had sent {len(request.body)} bytes, and got status {request.status}"
            )
    for rest in (one for engine in engines for one in engine.rests):
        request = sent.get(rest.request_id)
        body = request.body if request is not None else b""
        if not body.startswith(rest.content):
            pairs = enumerate(zip(body, rest.content, strict=False))
            alike = next((at for at, (own, came) in pairs if own != came), len(body))
            other = rest.content[alike : alike + SHOWN_BYTES]
            found.append(
                f"{rest.worker} received other bytes where the rest of the body of "
                f"{rest.request_id} was due, after {alike} bytes of it: {other!r}"
            )
    return found


if __name__ == "__main__":
    sys.exit(run_case("UNASKED", __file__, play))
