"""Clients of streaming routes, one connection each."""

import http.client
import re
import threading

from standins_2.deployment import Record, SmallDeployment

EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
ANSWER_TIMEOUT_S = 5.0


class StreamClient(threading.Thread):
    """Sends one request for a stream to a gateway and reads the answer to its end."""

    def __init__(
        self,
        deployment: SmallDeployment,
        record: Record,
        gateway: str,
        request_id: str,
        host: str,
        path: str,
        deadline_ms: int,
    ) -> None:
        super().__init__(daemon=True)
        self.request_id = request_id
        self._to = deployment.address(gateway, "front")
        self._record = record
        self._gateway = gateway
        self._path = path
        self._headers = {
            "Host": host,
            "X-Bellweir-Attempt-Id": request_id,
            "X-Bellweir-Deadline-Ms": str(deadline_ms),
            "X-Bellweir-Model": "drafts",
            "X-Bellweir-Token-Counts": "32,64",
        }
        self.events: list[int] = []
        self.outcome = "not ended"

    def run(self) -> None:
        """Send the request and read the stream."""
        self._record.note(f"client: {self.request_id} sent to {self._gateway}")
        connection = http.client.HTTPConnection(*self._to, timeout=ANSWER_TIMEOUT_S)
        try:
            connection.request("POST", self._path, b"prompt", self._headers)
            answer = connection.getresponse()
            text = answer.read()
            self.events = [int(found) for found in EVENT_ID.findall(text)]
            self.outcome = f"status {answer.status}"
        except (OSError, http.client.HTTPException) as failure:
            self.outcome = f"cut: {failure!r}"
        finally:
            connection.close()
        self._record.note(
            f"client: {self.request_id} ended, {self.outcome}, {len(self.events)} events"
        )
