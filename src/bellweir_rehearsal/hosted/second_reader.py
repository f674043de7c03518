"""A second reader of batch jobs, which begins anywhere at any gateway at any time.

What the trainer has read must come again at each gateway, with the same content and total. A
gateway that can't be sure says 503; 404 and a list that lacks what was read are faults.
"""

import json
import random
import threading
import time
from collections.abc import Callable, Sequence
from typing import Any

from bellweir_rehearsal.hosted.checks import Check
from bellweir_rehearsal.hosted.clients import Answer, StepRecord, call
from bellweir_rehearsal.hosted.deployment import HostedDeployment
from bellweir_rehearsal.hosted.touch_log import CORE

SETTLE_S = 1.0
"""Time after which what was read must be there at all gateways in touch (`settleMs`)."""
PAUSE_S = 0.05
FAILURES_OF_ITS_OWN = (429, 502, 503, 504)


class SecondReader:
    """`run` reads until `stopping` is set; `look` reads once at one gateway."""

    __slots__ = ("_chance", "_check", "_deployment", "_is_kept", "_steps", "late", "put_off")

    def __init__(
        self,
        deployment: HostedDeployment,
        steps: Sequence[StepRecord],
        is_kept: Callable[[StepRecord], bool],
        check: Check,
        chance: random.Random,
    ) -> None:
        self._deployment = deployment
        self._steps = steps
        self._is_kept = is_kept
        self._check = check
        self._chance = chance
        self.put_off = 0
        """Reads without an answer or with a failure of the gateway's own."""
        self.late = 0
        """Reads that gave nothing at a position that was read, at a gateway out of touch."""

    def run(self, stopping: threading.Event) -> None:
        """Read one position after the other."""
        while not stopping.wait(PAUSE_S):
            running = self._deployment.running("gateway")
            steps = list(self._steps)
            if running and steps:
                step = self._chance.choice(steps[-8:])
                after = self._chance.choice((0, self._chance.randint(0, len(step.items))))
                self.look(step, after, self._chance.choice(running))

    def look(self, step: StepRecord, after: int, gateway: str) -> bool:
        """Read results from a position on at one gateway; whether it gave an answer."""
        began_s = time.monotonic()
        known, settled = list(step.results), began_s - step.grown_s > SETTLE_S
        address = self._deployment.address(gateway, "front")
        answer = call(address, "GET", f"/api/lots/{step.job_id}?after={after}")
        if answer is None or answer.status in FAILURES_OF_ITS_OWN:
            self.put_off += 1
            return False
        told = f"{step.job_id} after {after} at {gateway}: {answer.status}"
        if answer.status != 200:
            self._check.expect(not self._is_kept(step), f"{told} {answer.body[:60]!r}")
            return True
        page = page_of(answer)
        right = page.get("total") == len(step.items)
        self._check.expect(right, f"{told}, total {page.get('total')} of {len(step.items)}")
        self._compare(told, page.get("results", []), known[after:])
        if settled and known[after:] and not page.get("results"):
            self._judge_empty(told, gateway, began_s)
        return True

    def _compare(self, told: str, found: list[Any], known: list[Any]) -> None:
        """What both have is the same."""
        for position, (one, other) in enumerate(zip(found, known, strict=False)):
            self._check.expect(one == other, f"{told}, {position} on: {one}, not {other}")

    def _judge_empty(self, told: str, gateway: str, began_s: float) -> None:
        if self._deployment.touched.left_alone([gateway, CORE], began_s, time.monotonic()):
            self._check.expect(False, f"{told}, nothing at a position that was read")
        else:
            self.late += 1


def page_of(answer: Answer) -> dict[str, Any]:
    """Return the page that an answer holds; an empty one when it holds none."""
    try:
        page = json.loads(answer.body)
    except ValueError:
        return {}
    return page if isinstance(page, dict) else {}
