"""Clients that keep their connections and send one request after the other on each.

A connection is used until the gateway asks to close it or its process is gone. A request that
crosses a close and was not read is sent again on a new connection; one that was read must have its
answer, also when the gateway is stopped as planned. A gateway listens before it can read; where its
process takes seconds to start, a request on a connection of that time may time out unread.
"""

import http.client
import itertools
import random
import threading
import time
from abc import ABC, abstractmethod

from bellweir_rehearsal.hosted.checks import Check
from bellweir_rehearsal.hosted.clients import HOST, KEY
from bellweir_rehearsal.hosted.deployment import HostedDeployment
from bellweir_rehearsal.hosted.worker import answer_to, stamp_of

DEADLINE_MS = 4000
ANSWER_TIMEOUT_S = 6.0
LOST_S = 1.0
"""Time after which a request counts as read. The platform's own bound (`lostMs`) is shorter; a busy
machine may tell the client late of a close."""
LONGEST_PAUSE_S = 0.2
NONE_RUNNING_PAUSE_S = 0.1
BODY = b"body"


class ConnectionClient(ABC):
    """A client that uses one connection after the other; `run` goes on until `stopping` is set."""

    __slots__ = ("_chance", "_check", "_deployment", "_has_started", "_name", "_numbers")

    longest_pause_s = LONGEST_PAUSE_S
    answer_timeout_s = ANSWER_TIMEOUT_S

    def __init__(
        self, name: str, deployment: HostedDeployment, check: Check, chance: random.Random
    ) -> None:
        self._name = name
        self._deployment = deployment
        self._check = check
        self._chance = chance
        self._numbers = itertools.count(1)
        self._has_started = True
        """Whether the gateway's process had started when the connection was made."""

    def run(self, stopping: threading.Event) -> None:
        """Use one connection after the other."""
        while not stopping.is_set():
            running = self._deployment.running("gateway")
            if not running:
                stopping.wait(NONE_RUNNING_PAUSE_S)
                continue
            gateway = self._chance.choice(running)
            address = self._deployment.address(gateway, "front")
            connection = http.client.HTTPConnection(address, timeout=self.answer_timeout_s)
            try:
                self._has_started = self._deployment.has_started(gateway)
                connection.connect()
                while not stopping.is_set() and self._send(gateway, connection):
                    stopping.wait(self._chance.uniform(0.0, self.longest_pause_s))
            except OSError:
                stopping.wait(NONE_RUNNING_PAUSE_S)
            finally:
                connection.close()

    @abstractmethod
    def _send(self, gateway: str, connection: http.client.HTTPConnection) -> bool:
        """Send the next request; whether the connection can be used for another one."""

    def _next_id(self) -> str:
        return f"{self._name}-{next(self._numbers)}"

    def _headers(self, request_id: str, deadline_ms: int) -> dict[str, str]:
        return {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Bellweir-Attempt-Id": request_id,
            "X-Bellweir-Deadline-Ms": str(deadline_ms),
        }

    def _is_judged(self, gateway: str, began_s: float, now_s: float) -> bool:
        """Whether nothing unplanned struck the gateway lately."""
        return self._deployment.touched.left_alone([gateway], began_s, now_s, planned_too=False)

    def _was_broken(self, request_id: str) -> bool:
        """Whether a worker broke its answer to a request."""
        return bool(self._breaks(request_id))

    def _breaks(self, request_id: str) -> list[str]:
        """How workers broke their answers to a request."""
        breakers = [worker.breaker for worker in self._deployment.workers]
        return [kind for one in breakers for kind in one.broken_ids.get(request_id, ())]

    def _was_read(self, ran: int, seconds: float) -> bool:
        """Whether a request that got no answer within so long had been read."""
        return ran > 0 or (self._has_started and seconds > LOST_S)


class KeptClient(ConnectionClient):
    """A client of short requests.

    What it saw stands in the check. A request is judged only if nothing unplanned struck its
    gateway lately.
    """

    __slots__ = ("crossed", "served")

    def __init__(
        self, name: str, deployment: HostedDeployment, check: Check, chance: random.Random
    ) -> None:
        super().__init__(name, deployment, check, chance)
        self.served = 0
        self.crossed = 0
        """Requests that crossed a close and were not read."""

    def _send(self, gateway: str, connection: http.client.HTTPConnection) -> bool:
        """Send the next request; whether the connection can be used for another one."""
        request_id = self._next_id()
        headers = self._headers(request_id, DEADLINE_MS)
        began_s = time.monotonic()
        try:
            connection.request("POST", "/price/kept", BODY, headers)
            answer = connection.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException) as failure:
            self._judge_cut(gateway, request_id, began_s, failure)
            return False
        self._judge(request_id, answer, body)
        return answer.getheader("Connection", "").lower() != "close"

    def _judge(self, request_id: str, answer: http.client.HTTPResponse, body: bytes) -> None:
        """An answer is the worker's to this request, or a failure of the gateway's own."""
        if answer.status == 200:
            signed = answer.getheader("X-Bellweir-Server-Stamp") == stamp_of(request_id)
            right = signed and body == answer_to(request_id, BODY)
            self._check.expect(right, f"{request_id}: {body[:60]!r}")
            self.served += 1
            return
        may_be = answer.status in (429, 502, 503, 504)
        self._check.expect(may_be, f"{request_id}: {answer.status} {body[:60]!r}")

    def _judge_cut(self, gateway: str, request_id: str, began_s: float, failure: Exception) -> None:
        now_s = time.monotonic()
        if not self._is_judged(gateway, began_s, now_s) or self._was_broken(request_id):
            return
        ran = sum(worker.record.ran[request_id] for worker in self._deployment.scorers)
        was_read = self._was_read(ran, now_s - began_s)
        self.crossed += not was_read
        told = f"{request_id} at {gateway}: ran {ran} times, {now_s - began_s:.2f} s, {failure!r}"
        self._check.expect(not was_read, told)
