"""Clients and a trainer of the hosting platform, as its pages describe them."""

import base64
import http.client
import itertools
import json
import math
import random
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from bellweir_rehearsal.hosted.deployment import REGION, ZONES, HostedDeployment

HOST = "shop.example"
TENANT = "dealers"
KEY = "key-of-dealers"
"""A key of the tenant that no configuration takes away."""
PROMPT = b"prompt"
COLD_PER_S = 4.0
"""Requests a second that a cold worker bears."""
REQUEST_TIMEOUT_S = 5.0
STORY_TIMEOUT_MS = 20_000
"""Time-out of the routes of long streams."""
TRIES = 12
TRY_PAUSE_S = 0.3
READ_PAUSE_S = 0.3
HAND_IN_PAUSE_S = 0.2


class NoAnswerError(RuntimeError):
    """A call got no useful answer from any gateway, however often it was repeated."""


@dataclass(frozen=True)
class Answer:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    """By lower-case name."""
    body: bytes


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    key: str = KEY,
) -> Answer | None:
    """One call on a new connection with a tenant's key; None without a whole answer."""
    connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    try:
        sent = {"Host": HOST, "Authorization": f"Bearer {key}", **(headers or {})}
        connection.request(method, path, body or None, sent)
        answer = connection.getresponse()
        found = {name.lower(): value for name, value in answer.getheaders()}
        return Answer(answer.status, found, answer.read())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


@dataclass
class Client:
    """Asks the directory where to go, and repeats what may be repeated."""

    deployment: HostedDeployment
    chance: random.Random = field(default_factory=lambda: random.Random(1))
    addresses: list[str] = field(default_factory=list)
    known_until_s: float = 0.0
    tries: int = TRIES
    patience_s: float = math.inf
    """Time after which a call is given up, however many tries are left."""

    def look_up(self) -> None:
        """Ask a gateway's directory."""
        names = self.deployment.running("gateway")
        for name in self.chance.sample(names, len(names)):
            directory = self.deployment.address(name, "directory")
            zone = self.chance.choice(ZONES)
            found = call(directory, "GET", f"/endpoints?name={HOST}&region={REGION}&zone={zone}")
            if found is not None and found.status == 200:
                answer = json.loads(found.body)
                self.addresses = answer["addresses"]
                self.known_until_s = time.monotonic() + answer["ttlS"]
                return

    def send(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> Answer:
        """Send a request until an answer other than 5xx comes. Raises `NoAnswerError`."""
        last: Answer | None = None
        until_s = time.monotonic() + self.patience_s
        for _ in range(self.tries):
            if time.monotonic() > until_s:
                break
            if time.monotonic() >= self.known_until_s:
                self.look_up()
            if self.addresses:
                address = self.chance.choice(self.addresses)
                last = call(address, method, path, body, headers)
                if last is not None and last.status < 500:
                    return last
            time.sleep(TRY_PAUSE_S)
        raise NoAnswerError(f"{method} {path}: {last}")


@dataclass
class StepRecord:
    """One step of the trainer and what it read."""

    job_id: str
    minimum_version: int
    items: list[str]
    results: list[dict[str, Any]] = field(default_factory=list)
    grown_s: float = 0.0
    """Monotonic time at which the last result was read."""
    is_read: bool = False
    """Whether all of it has been read."""
    ended_s: float | None = None
    """Monotonic time at which its end was asked for."""


@dataclass
class Trainer:
    """Hands in a job for each step, reads it to its end and names the next version."""

    client: Client
    items_each: int = 6
    version: int = 1
    may_rest: Callable[[], bool] = lambda: False
    """Whether the service owes no progress now; such times don't count against a step's."""
    steps: list[StepRecord] = field(default_factory=list)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def begin_step(self) -> StepRecord:
        """Hand in the next job; it is accepted once this returns."""
        number = next(self._numbers)
        job_id = f"job-{number}"
        items = [f"{job_id}-{item}" for item in range(self.items_each)]
        least = max(1, self.version - 1)
        step = StepRecord(job_id, least, items)
        answer = self.client.send(
            "POST",
            f"/drafts/{job_id}",
            self._document(number, items, least),
            {"X-Bellweir-Attempt-Id": job_id, "Content-Type": "application/json"},
        )
        if answer.status != 202:
            raise NoAnswerError(f"{job_id}: {answer}")
        self.steps.append(step)
        return step

    def read_step(self, step: StepRecord, timeout_s: float = 30.0) -> None:
        """Read results until all are listed; `timeout_s` of service may pass."""
        left_s, looked_s = timeout_s, time.monotonic()
        while len(step.results) < len(step.items):
            now_s = time.monotonic()
            left_s -= 0.0 if self.may_rest() else now_s - looked_s
            looked_s = now_s
            if left_s < 0.0:
                raise NoAnswerError(f"{step.job_id}: {len(step.results)} results in {timeout_s} s")
            path = f"/api/lots/{step.job_id}?after={len(step.results)}"
            answer = self.client.send("GET", path)
            if answer.status != 200:
                raise NoAnswerError(f"{step.job_id}: {answer}")
            page = json.loads(answer.body)
            if page["results"]:
                step.results += page["results"]
                step.grown_s = time.monotonic()
            time.sleep(READ_PAUSE_S)
        step.is_read = True

    def end_step(self, step: StepRecord) -> None:
        """End the job and name the next version."""
        step.ended_s = time.monotonic()
        answer = self.client.send("DELETE", f"/api/lots/{step.job_id}")
        is_kept = time.monotonic() - step.ended_s < self.client.deployment.status_s
        if answer.status != 200 and is_kept:
            raise NoAnswerError(f"end of {step.job_id}: {answer}")
        self.version = self.client.deployment.name_next_version()

    def read_again(self, step: StepRecord) -> list[dict[str, Any]]:
        """All results of a step, from the start."""
        found: list[dict[str, Any]] = []
        while len(found) < len(step.results):
            path = f"/api/lots/{step.job_id}?after={len(found)}"
            answer = self.client.send("GET", path)
            if answer.status != 200:
                raise NoAnswerError(f"{step.job_id}: {answer}")
            page = json.loads(answer.body)
            found += page["results"]
            if not page["results"]:
                break
        return found

    def _document(self, number: int, items: list[str], least: int) -> bytes:
        job = {"step": number, "model": "drafts", "minVersion": least, "wantedGroups": 3}
        return json.dumps({**job, "items": item_documents(items)}).encode()


def item_documents(
    items: Sequence[str], bodies: Mapping[str, bytes] | None = None
) -> list[dict[str, Any]]:
    """The items of a job as it is handed in, two of them in a group.

    `bodies` has the bodies of some items; all others have the same one.
    """
    found = bodies or {}
    return [
        {
            "id": item,
            "path": f"/drafts/{item}",
            "headers": {"X-Bellweir-Model": "drafts"},
            "body": base64.b64encode(found.get(item, PROMPT)).decode(),
            "tokens": 20,
            "group": f"group-{at // 2}",
            "scorer": {"id": f"score-{item}", "host": HOST, "path": "/score/x", "body": ""},
        }
        for at, item in enumerate(items)
    ]


def hand_in(
    deployment: HostedDeployment,
    job_id: str,
    content: bytes,
    chance: random.Random,
    stopping: threading.Event,
) -> bool:
    """Hand a job in at any gateway until it is accepted; False if `stopping` is set before."""
    headers = {"X-Bellweir-Attempt-Id": job_id, "Content-Type": "application/json"}
    while not stopping.wait(HAND_IN_PAUSE_S):
        gateways = deployment.running("gateway")
        if not gateways:
            continue
        address = deployment.address(chance.choice(gateways), "front")
        answer = call(address, "POST", f"/drafts/{job_id}", content, headers)
        if answer is not None and answer.status == 202:
            return True
    return False


def key_of_version(version: int) -> str:
    """Return the key that one version of the configuration has, and the next takes away."""
    return f"key-of-version-{version}"


def configuration(version: int, extra_routes: tuple[str, ...] = ()) -> dict[str, Any]:
    """The operator's configuration, with a key of its own beside the tenant's lasting one."""
    common = {"host": HOST, "timeoutMs": 5000, "targetMs": 500, "maxAttempts": 3}
    routes = [
        {**common, "pathPrefix": "/drafts/", "kind": "rollout", "service": "llm"},
        {**common, "pathPrefix": "/score/", "kind": "idempotent", "service": "app"}
        | {"public": True},
        {**common, "pathPrefix": "/price/", "kind": "idempotent", "service": "app"},
        {**common, "pathPrefix": "/bid/", "kind": "non_idempotent", "service": "app"},
        {**common, "pathPrefix": "/lines/", "kind": "streaming", "service": "llm"},
        {**common, "pathPrefix": "/stories/", "kind": "streaming", "service": "llm"}
        | {"timeoutMs": STORY_TIMEOUT_MS},
        {**common, "pathPrefix": "/serials/", "kind": "streaming", "service": "llm"}
        | {"timeoutMs": STORY_TIMEOUT_MS, "canResume": True},
    ]
    routes += [
        {**common, "pathPrefix": prefix, "kind": "idempotent", "service": "app"}
        for prefix in extra_routes
    ]
    engine = {"slots": 8, "models": [{"name": "drafts"}]}
    cold = {"coldStartS": 2.0, "coldPerS": COLD_PER_S}
    services = [{"name": "llm", "engine": engine, **cold}, {"name": "app", **cold}]
    tenants = [{"name": TENANT, "apiKeys": [KEY, key_of_version(version)]}]
    return {"version": version, "routes": routes, "services": services, "tenants": tenants}
