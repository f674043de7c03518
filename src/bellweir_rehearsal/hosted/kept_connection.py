"""A client that sends one request after the other on one connection, until it is to close."""

import http.client
import itertools
import time

from bellweir_rehearsal.hosted.clients import KEY
from bellweir_rehearsal.hosted.worker import answer_to

REQUEST_TIMEOUT_S = 5.0
MOST_REQUESTS = 10_000
PAUSE_S = 0.01
HOST = "shop.example"


class KeptConnection:
    """`run` sends until the gateway asks to close, or a request gets no whole answer."""

    def __init__(self, address: str, name: str = "kept") -> None:
        """The ids of its requests begin with `name`."""
        self._address = address
        self._name = name
        self.answers = 0
        self.was_asked_to_close = False
        self.failures: list[str] = []

    def run(self) -> None:
        """Send requests; what goes wrong stands in `failures` afterwards."""
        connection = http.client.HTTPConnection(self._address, timeout=REQUEST_TIMEOUT_S)
        try:
            for number in itertools.islice(itertools.count(), MOST_REQUESTS):
                self._send(connection, f"{self._name}-{number}")
                if self.was_asked_to_close:
                    return
                time.sleep(PAUSE_S)
        except (OSError, http.client.HTTPException) as failure:
            self.failures.append(repr(failure))
        finally:
            connection.close()

    def _send(self, connection: http.client.HTTPConnection, request_id: str) -> None:
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Bellweir-Attempt-Id": request_id,
            "X-Bellweir-Deadline-Ms": "4000",
        }
        connection.request("POST", "/price/kept", b"body", headers)
        answer = connection.getresponse()
        body = answer.read()
        if answer.status != 200 or body != answer_to(request_id, b"body"):
            self.failures.append(f"{request_id}: {answer.status} {body[:60]!r}")
        self.answers += 1
        self.was_asked_to_close = answer.getheader("Connection", "").lower() == "close"
