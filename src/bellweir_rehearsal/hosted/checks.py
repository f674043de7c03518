"""What must hold of the hosted roles, whatever fails, and the traffic that shows it."""

import bisect
import itertools
import time
from collections.abc import Callable, Sequence

from bellweir_rehearsal.hosted.clients import (
    COLD_PER_S,
    TENANT,
    Answer,
    Client,
    StepRecord,
    Trainer,
    call,
    configuration,
)
from bellweir_rehearsal.hosted.deployment import PLACES_BOUNDS, HostedDeployment
from bellweir_rehearsal.hosted.text_runs import plain_text, wrong_join
from bellweir_rehearsal.hosted.worker import answer_to, stamp_of, text_of

READY_TIMEOUT_S = 60.0
BODY = b"body"
STREAM_IDS = ("stream-", "story-", "serial-")
"""What the ids of streaming requests begin with."""
COLD_BOUND = PLACES_BOUNDS["coldOver"] * COLD_PER_S + PLACES_BOUNDS["coldSlack"]
"""Most requests that a cold worker may get in a second."""


class Check:
    """One thing that must hold, with the cases looked at and those at fault.

    A check without a case has not held: nothing was shown.

    >>> check = Check("it works")
    >>> check.expect(True, "first case")
    >>> check.held, check.checked
    (True, 1)
    """

    __slots__ = ("checked", "faults", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.checked = 0
        self.faults: list[str] = []

    def expect(self, holds: bool, what: str) -> None:
        """Count one case; `what` describes it if it is at fault."""
        self.checked += 1
        if not holds:
            self.faults.append(what)

    @property
    def held(self) -> bool:
        """Whether there were cases and none was at fault."""
        return self.checked > 0 and not self.faults


class CheckedTraffic:
    """Clients and a trainer before a deployment; what they see is checked."""

    def __init__(
        self, deployment: HostedDeployment, told: Callable[[str], None] = lambda _: None
    ) -> None:
        self.deployment = deployment
        self.client = Client(deployment)
        self.trainer = Trainer(self.client)
        self.told = told
        self._numbers = itertools.count(1)
        self.answers = Check("a client gets the whole signed answer to its own request")
        self.once = Check("a request that must not be repeated runs at most once")
        self.samples = Check("each sample is whole, scored and of the versions that made it")
        self.joins = Check("a text goes on with runs that were asked to take it up there")
        self.positions = Check("results stay at their positions, through kills and restarts")
        self.orders = Check("orders come from one holder at a time, their fences rise")
        self.tenants = Check("what runs names its tenant, and no key reaches a worker")
        self.evacuated = Check("nothing is sent to a zone that is evacuated")
        self.cold = Check("a cold worker gets no more requests in a second than it bears")
        self.usage = Check("usage is reported, never twice with other counts, never too much")

    @property
    def traffic_checks(self) -> list[Check]:
        """The checks of what clients and the trainer see."""
        return [
            self.answers,
            self.once,
            self.samples,
            self.positions,
            self.orders,
            self.tenants,
            self.usage,
        ]

    def start(self) -> None:
        """Write the first configuration and start every machine."""
        self.deployment.store.records.put("config", "main", configuration(1))
        self.deployment.start()
        self.await_ready()

    def await_ready(self) -> None:
        """Wait until every running gateway says that it is ready. Raises `TimeoutError`."""
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            answers = [
                call(self.deployment.address(name, "ready"), "GET", "/ready")
                for name in self.deployment.running("gateway")
            ]
            if answers and all(each is not None and each.status == 200 for each in answers):
                return
            self.deployment.beat_for(0.2)
        raise TimeoutError("the gateways are not ready")

    def send_requests(self, count: int = 10) -> None:
        """Send so many requests that may be repeated, and as many that may not."""
        for _ in range(count):
            self._price_check()
            self._bid()

    def next_id(self, kind: str) -> str:
        """Return an id that no request has had."""
        return f"{kind}-{next(self._numbers)}"

    def _price_check(self) -> None:
        request_id = self.next_id("price")
        headers = {"X-Bellweir-Attempt-Id": request_id, "X-Bellweir-Deadline-Ms": "4000"}
        answer = self.client.send("POST", "/price/x", BODY, headers)
        self.answers.expect(_is_answer_to(request_id, answer), f"{request_id}: {answer}")

    def _bid(self) -> None:
        request_id = self.next_id("bid")
        self.client.look_up()
        if not self.client.addresses:
            return
        headers = {"X-Bellweir-Attempt-Id": request_id, "X-Bellweir-Deadline-Ms": "3000"}
        answer = call(self.client.addresses[0], "POST", "/bid/x", b"bid", headers)
        ran = sum(each.record.ran[request_id] for each in self.deployment.scorers)
        self.once.expect(ran <= 1, f"{request_id} ran {ran} times")
        if answer is not None and answer.status in (429, 503):
            self.once.expect(ran == 0, f"{request_id} ran although it was refused")

    def finish(self, step: StepRecord) -> None:
        """Read a step to its end, check its samples and name the next version."""
        self.trainer.read_step(step)
        self._check_samples(step)
        self.trainer.end_step(step)

    def _check_samples(self, step: StepRecord) -> None:
        for result in step.results:
            item = result["id"]
            events = self.deployment.models[0].events
            text = plain_text(result["text"])
            whole = result["state"] == "completed" and text == text_of(item, events)
            self.samples.expect(whole, f"{item}: {result}")
            self.samples.expect(result.get("score") == stamp_of(f"score-{item}"), f"{item}: score")
            fresh = min(result["versions"], default=0) >= step.minimum_version
            self.samples.expect(fresh, f"{item}: versions {result['versions']}")
            if self.deployment.models[0].names_runs:
                self._check_join(item, result["text"])
        ids = {result["id"] for result in step.results}
        self.samples.expect(ids == set(step.items), f"{step.job_id}: {ids}")

    def _check_join(self, item: str, text: str) -> None:
        models = self.deployment.models
        asked_after = {run: at for one in models for run, at in one.record.asked_after.items()}
        fault = wrong_join(text, asked_after)
        self.joins.expect(fault is None, f"{item}: {fault}")

    def read_again(self, step: StepRecord) -> None:
        """Compare a step's results, read from the start, with what was read before."""
        found = self.trainer.read_again(step)
        self.positions.expect(found == step.results, f"{step.job_id}: {found}")

    def check_orders(self) -> None:
        """Compare each two orders that a worker took one after the other."""
        for worker in self.deployment.models:
            for before, after in itertools.pairwise(worker.record.orders):
                same = before.holder == after.holder
                rises = after.fence >= before.fence if same else after.fence > before.fence
                self.orders.expect(rises, f"{worker.instance}: {before} then {after}")

    def check_tenants(self) -> None:
        """Look at the headers of everything that ran."""
        for worker in (*self.deployment.models, *self.deployment.scorers):
            for request_id, headers in list(worker.record.headers.items()):
                wanted = None if request_id.startswith("score-") else TENANT
                told = headers.get("x-bellweir-tenant")
                right = told == wanted and "authorization" not in headers
                self.tenants.expect(right, f"{request_id}: {told}, headers {sorted(headers)}")

    def check_places(self) -> None:
        """Look at when requests came to workers of evacuated zones and to cold workers."""
        for worker in (*self.deployment.models, *self.deployment.scorers):
            arrived_s = sorted(worker.record.arrived_s)
            zone = self.deployment.zone_of(worker)
            for evacuation in self.deployment.evacuations:
                if evacuation.zone == zone:
                    late = sum(evacuation.forbids(at_s) for at_s in arrived_s)
                    self.evacuated.expect(late == 0, f"{worker.instance}: {late} too late")
            for begin_s, end_s in worker.record.cold_times:
                most = most_in_a_second([s for s in arrived_s if begin_s <= s < end_s])
                self.cold.expect(most <= COLD_BOUND, f"{worker.instance}: {most} in a second")

    def check_usage(self) -> None:
        """Compare the reports with each other and with what workers have run."""
        duties = self.deployment.duties
        self.usage.expect(bool(duties.reports), "no report")
        for fault in (*duties.differing(), *duties.misordered()):
            self.usage.expect(False, fault)
        ran = {
            request_id
            for worker in self.deployment.scorers
            for request_id in worker.record.ran
            if not request_id.startswith("score-")
        } | {
            request_id
            for worker in self.deployment.models
            for request_id in worker.record.ran
            if request_id.startswith(STREAM_IDS)
        }
        reported = duties.reported(TENANT)
        self.usage.expect(reported <= len(ran), f"{reported} reported, {len(ran)} ran")

    def close(self) -> None:
        """End every process and stand-in."""
        self.deployment.close()


def most_in_a_second(times_s: Sequence[float]) -> int:
    """The most of some sorted times that lie within one second.

    >>> most_in_a_second([0.0, 0.6, 0.9, 1.0, 2.5])
    3
    """
    ends = (bisect.bisect_left(times_s, since_s + 1.0) for since_s in times_s)
    return max((end - first for first, end in enumerate(ends)), default=0)


def _is_answer_to(request_id: str, answer: Answer) -> bool:
    signed = answer.headers.get("x-bellweir-server-stamp") == stamp_of(request_id)
    return answer.status == 200 and signed and answer.body == answer_to(request_id, BODY)
