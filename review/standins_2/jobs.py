"""A trainer's calls: it hands a batch job in and reads its results, one connection a call."""

import base64
import http.client
import json
from typing import Any

from standins_2.deployment import Record, SmallDeployment

CALL_TIMEOUT_S = 4.0


class JobClient:
    """Calls of the batch job interface, at the gateways in turn."""

    def __init__(self, deployment: SmallDeployment, record: Record, host: str) -> None:
        self._deployment = deployment
        self._record = record
        self._host = host
        names = [each.name for each in deployment.machines.values() if each.role == "gateway"]
        self._gateways = names
        self._calls = 0

    def call(
        self, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> tuple[int, bytes]:
        """Make a call; return status and body, status 0 without an answer."""
        gateway = self._gateways[self._calls % len(self._gateways)]
        self._calls += 1
        address = self._deployment.address(gateway, "front")
        connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_S)
        sent = {"Host": self._host, **{name.replace("_", "-"): headers[name] for name in headers}}
        try:
            connection.request(method, path, body, sent)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException) as failure:
            self._record.note(f"trainer: {method} {path} at {gateway}: {failure!r}")
            return 0, b""
        finally:
            connection.close()

    def submit(self, job_id: str, path: str, job: dict[str, Any]) -> bool:
        """Hand a batch job in until it is accepted, a few times."""
        for _ in range(5):
            status, _ = self.call(
                "POST",
                path,
                json.dumps(job).encode(),
                X_Bellweir_Attempt_Id=job_id,
                Content_Type="application/json",
            )
            self._record.note(f"trainer: batch job {job_id} answered {status}")
            if status == 202:
                return True
        return False

    def results(self, job_id: str) -> list[dict[str, Any]] | None:
        """Read all results from the start; None if a page could not be read."""
        found: list[dict[str, Any]] = []
        while True:
            status, body = self.call("GET", f"/api/lots/{job_id}?after={len(found)}")
            if status != 200:
                self._record.note(f"trainer: results of {job_id} answered {status}")
                return None
            page = json.loads(body)["results"]
            if not page:
                return found
            found += page

    def end(self, job_id: str) -> int:
        """End a batch job; the status."""
        status, _ = self.call("DELETE", f"/api/lots/{job_id}")
        self._record.note(f"trainer: end of {job_id} answered {status}")
        return status


def item(item_id: str, group: str, path: str, scorer_host: str) -> dict[str, Any]:
    """Return one item of a batch job, with its reward call."""
    return {
        "id": item_id,
        "path": path,
        "headers": {
            "X-Bellweir-Model": "drafts",
            "X-Bellweir-Token-Counts": "32,64",
            "X-Bellweir-Prompt-Prefix": f"{int(group, 16):x}:16",
        },
        "body": base64.b64encode(b"prompt").decode(),
        "tokens": 96,
        "group": group,
        "scorer": {
            "id": f"{item_id[::-1]}",
            "host": scorer_host,
            "path": "/reward/1",
            "body": base64.b64encode(b"text").decode(),
        },
    }
