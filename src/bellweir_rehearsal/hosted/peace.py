"""What must hold once the crashes of a soak are over."""

import contextlib
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from bellweir_rehearsal.hosted.checks import Check
from bellweir_rehearsal.hosted.clients import Client, NoAnswerError, call
from bellweir_rehearsal.hosted.crashing_record import CrashingJob
from bellweir_rehearsal.hosted.second_reader import page_of
from bellweir_rehearsal.hosted.touch_log import CONTACT_S

SERVED_S = 5.0
"""Undisturbed time within which an innocent request is served again."""
POLL_S = 0.2
DEADLINE_MS = 4500
COMPLETED = "completed"
JOB_TIMEOUT_S = 30.0
"""Time within which the innocent items of a job are listed."""
STREAM = "/lines/x"
INNOCENT = (("/price/x", b"body"), ("/price/kept", b"body"), ("/bid/x", b"bid"), (STREAM, b"l"))
"""Paths and bodies of requests that crash nothing; the clients of the soak send most of them."""


class Peace:
    """Looks at a deployment that nothing strikes any more, from `began_s` on."""

    __slots__ = ("_began_s", "_client", "_deployment", "_next_id")

    def __init__(self, client: Client, next_id: Callable[[str], str], began_s: float) -> None:
        """`began_s` is the monotonic time of the last fault's end."""
        self._client = client
        self._deployment = client.deployment
        self._next_id = next_id
        self._began_s = began_s

    def check_served(self, check: Check) -> None:
        """Each gateway serves each innocent request in time."""
        gateways = self._deployment.running("gateway")
        with ThreadPoolExecutor(len(gateways) * len(INNOCENT)) as pool:
            asking = {
                (gateway, path): pool.submit(self._await_served, gateway, path, body)
                for gateway in gateways
                for path, body in INNOCENT
            }
        for (gateway, path), refusal in asking.items():
            check.expect(refusal.result() is None, f"{path} at {gateway}: {refusal.result()}")

    def _await_served(self, gateway: str, path: str, body: bytes) -> str | None:
        """Send one request after the other; None once one is served, else the last refusal.

        One that begins in time counts, however long its answer takes.
        """
        due_s = self._began_s + CONTACT_S + SERVED_S
        last = "not asked"
        while time.monotonic() < due_s:
            headers = {
                "X-Bellweir-Attempt-Id": self._next_id("stream" if path == STREAM else "peace"),
                "X-Bellweir-Deadline-Ms": str(DEADLINE_MS),
            }
            answer = call(self._deployment.address(gateway, "front"), "POST", path, body, headers)
            if answer is None:
                last = "no answer"
            elif answer.status == 200:
                return None
            else:
                retry_s = answer.headers.get("retry-after")
                last = f"{answer.status} {answer.body[:60]!r}, Retry-After {retry_s}"
            time.sleep(POLL_S)
        return last

    def check_jobs(self, check: Check) -> None:
        """The innocent items of each job with crashing ones are listed; then the jobs end."""
        until_s = self._began_s + CONTACT_S + JOB_TIMEOUT_S
        for job in self._deployment.crashing.jobs:
            missing = self._await_listed(job, until_s)
            check.expect(not missing, f"{job.job_id}: not listed: {sorted(missing)}")
            with contextlib.suppress(NoAnswerError):
                self._client.send("DELETE", f"/api/lots/{job.job_id}")

    def _await_listed(self, job: CrashingJob, until_s: float) -> set[str]:
        """Read a job's results; the innocent items that are not listed in time."""
        missing, position = set(job.others), 0
        while missing and time.monotonic() < until_s:
            try:
                path = f"/api/lots/{job.job_id}?after={position}"
                answer = self._client.send("GET", path)
            except NoAnswerError:
                break
            results = list(page_of(answer).get("results", []))
            position += len(results)
            missing -= {each["id"] for each in results if each["state"] == COMPLETED}
            time.sleep(POLL_S)
        return missing
