"""Clients that read long streams, with bodies of all lengths, one after the other on a connection.

A connection is used until the gateway asks to close it or its process is gone, so that planned
stops find streams in hand.
"""

import http.client
import random
import re
import time
from collections.abc import Iterator

from bellweir_rehearsal.hosted.checks import Check
from bellweir_rehearsal.hosted.deployment import HostedDeployment
from bellweir_rehearsal.hosted.kept_clients import ConnectionClient
from bellweir_rehearsal.hosted.worker import WorkerStandIn

DEADLINE_MS = 15_000
PREFIXES = ("/stories/", "/serials/")
"""Streaming routes; streams of the second one may be resumed."""
BODY_SIZES = (10, 70_000, 262_144, 262_145, 300_000, 900_000)
CHUNK_BYTES = 40_000
EXCUSED_SHARE = 5 / 6
"""A planned stop may cut a stream in the last sixth of the grace period."""
EXCUSED_SENT_S = 3.0
"""If it was sent no later than this after the signal."""
OWN_STATUSES = (429, 502, 503, 504)
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


def body_of(request_id: str, size: int) -> bytes:
    """Return the body of a request, every part of which names it.

    >>> body_of("a", 12)
    b'0 of a, 1 of'
    """
    line = request_id.encode()
    pieces = (b"%d of %s, " % (at, line) for at in range(size // (len(line) + 5) + 1))
    return b"".join(pieces)[:size]


class StreamClient(ConnectionClient):
    """A client of long streams.

    What it saw stands in the check. A cut stream is judged only if nothing unplanned struck its
    gateway lately.
    """

    __slots__ = ("single_ids", "sizes")

    longest_pause_s = 0.3
    answer_timeout_s = 20.0

    def __init__(
        self, name: str, deployment: HostedDeployment, check: Check, chance: random.Random
    ) -> None:
        super().__init__(name, deployment, check, chance)
        self.sizes: dict[str, int] = {}
        """Length of the body of each request that was sent, by its id."""
        self.single_ids: list[str] = []
        """Requests that must not be repeated."""

    def _send(self, gateway: str, connection: http.client.HTTPConnection) -> bool:
        """Send the next request; whether the connection can be used for another one."""
        request_id = self._next_id()
        size = self.sizes[request_id] = self._chance.choice(BODY_SIZES)
        body = body_of(request_id, size)
        headers = self._headers(request_id, DEADLINE_MS)
        is_chunked = self._chance.random() < 0.5
        sent: bytes | Iterator[bytes] = _pieces(body) if is_chunked else body
        prefix = self._chance.choice(PREFIXES)
        if prefix == PREFIXES[0]:
            self.single_ids.append(request_id)
        began_s = time.monotonic()
        try:
            connection.request("POST", f"{prefix}x", sent, headers, encode_chunked=is_chunked)
            answer = connection.getresponse()
            text = self._read(request_id, answer)
        except (OSError, http.client.HTTPException) as failure:
            self._judge_cut(gateway, request_id, began_s, failure)
            return False
        self._judge(request_id, answer, text)
        return answer.getheader("Connection", "").lower() != "close"

    def _read(self, request_id: str, answer: http.client.HTTPResponse) -> bytes:
        """Read the whole body."""
        return answer.read()

    def _judge(self, request_id: str, answer: http.client.HTTPResponse, text: bytes) -> None:
        """A whole answer is a worker's stream with each event once, or a failure of its own."""
        status = answer.status
        if status != 200:
            self._check.expect(status in OWN_STATUSES, f"{request_id}: {status} {text[:60]!r}")
            return
        found = [int(number) for number in EVENT_ID.findall(text)]
        wanted = list(range(1, self._deployment.models[0].events + 1))
        self._check.expect(found == wanted, f"{request_id}: events {found}")

    def _judge_cut(self, gateway: str, request_id: str, began_s: float, failure: Exception) -> None:
        now_s = time.monotonic()
        if not self._is_judged(gateway, began_s, now_s) or self._was_broken(request_id):
            return
        if self._is_excused(gateway, began_s, now_s):
            return
        ran = sum(worker.record.ran[request_id] for worker in self._deployment.models)
        was_read = self._was_read(ran, now_s - began_s)
        told = f"{request_id} at {gateway}: ran {ran} times, {now_s - began_s:.2f} s, {failure!r}"
        self._check.expect(not was_read, told)

    def _is_excused(self, gateway: str, began_s: float, now_s: float) -> bool:
        """Whether a planned stop may have cut the stream: late in its grace period."""
        cut_after_s = EXCUSED_SHARE * self._deployment.grace_period_s
        return any(
            stop.name == gateway
            and began_s <= stop.signalled_s + EXCUSED_SENT_S
            and now_s >= stop.signalled_s + cut_after_s
            for stop in list(self._deployment.stops)
        )

    def check_once(self, check: Check) -> None:
        """Compare how often requests ran that must not be repeated with what is allowed."""
        for request_id in self.single_ids:
            ran = sum(worker.record.ran[request_id] for worker in self._deployment.models)
            check.expect(ran <= 1, f"{request_id} ran {ran} times")

    def check_bodies(self, check: Check, workers: list[WorkerStandIn]) -> None:
        """Compare what workers received with the bodies that were sent."""
        for worker in workers:
            for found, is_whole in (
                *((one, True) for one in worker.record.run_bodies),
                *((one, False) for one in worker.record.unrun_bodies),
            ):
                size = self.sizes.get(found.request_id)
                if size is None:
                    continue
                body = body_of(found.request_id, size)
                told = f"{worker.instance}: {found.request_id}, {found.size} of {size} bytes"
                check.expect(found.is_of(body, is_whole=is_whole), told)


def _pieces(body: bytes) -> Iterator[bytes]:
    return (body[at : at + CHUNK_BYTES] for at in range(0, len(body), CHUNK_BYTES))
