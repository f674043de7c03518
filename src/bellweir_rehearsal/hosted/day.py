"""A short day on loopback: both roles as processes, troubles, and a check of what must hold."""

import itertools
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from bellweir_rehearsal.hosted.clients import (
    Answer,
    Client,
    StepRecord,
    Trainer,
    call,
    configuration,
)
from bellweir_rehearsal.hosted.deployment import STOP_TIMEOUT_S, HostedDeployment
from bellweir_rehearsal.hosted.kept_connection import KeptConnection
from bellweir_rehearsal.hosted.object_store import Outage
from bellweir_rehearsal.hosted.worker import answer_to, stamp_of, text_of

READY_TIMEOUT_S = 30.0
CONFIGURATION_BOUND_S = 2.0


@dataclass
class Check:
    """One thing that must hold."""

    name: str
    checked: int = 0
    faults: list[str] = field(default_factory=list)

    def expect(self, holds: bool, what: str) -> None:
        """Count one case."""
        self.checked += 1
        if not holds:
            self.faults.append(what)

    @property
    def held(self) -> bool:
        """Whether there were cases and none was at fault."""
        return self.checked > 0 and not self.faults


class HostedDay:
    """Plays the day; `checks` tells how it went."""

    def __init__(self, folder: Path, told: Callable[[str], None] = lambda _: None) -> None:
        self.deployment = HostedDeployment(folder)
        self.client = Client(self.deployment)
        self.trainer = Trainer(self.client)
        self._told = told
        self._numbers = itertools.count(1)
        self.answers = Check("a client gets the whole signed answer to its own request")
        self.once = Check("a request that must not be repeated runs at most once")
        self.samples = Check("each sample is whole, scored and of the versions that made it")
        self.positions = Check("results stay at their positions, through kills and restarts")
        self.configured = Check("an accepted configuration is in force within two seconds")
        self.orders = Check("orders come from one holder at a time, their fences rise")
        self.stops = Check("a planned stop cuts no request and ends with exit code 0")

    @property
    def checks(self) -> list[Check]:
        """All checks."""
        return [
            self.answers,
            self.once,
            self.samples,
            self.positions,
            self.configured,
            self.orders,
            self.stops,
        ]

    def close(self) -> None:
        """End every process and stand-in."""
        self.deployment.close()

    def play(self) -> None:
        """Play the whole day."""
        self._step("start", self._start)
        self._step("a calm step", self._calm_step)
        self._step("a store machine is killed in the middle of a step", self._killed_store)
        self._step("the platform's store is silent", self._silent_store)
        self._step("a new configuration", self._new_configuration)
        self._step("a gateway is stopped", self._stopped_gateway)
        self._step("all processes are killed at once", self._killed_all)
        self._step("everything is read again", self._read_again)
        self._check_orders()

    def _step(self, name: str, play: Callable[[], None]) -> None:
        self._told(name)
        play()

    def _start(self) -> None:
        self.deployment.store.records.put("config", "main", configuration(1))
        self.deployment.start()
        self._await_ready()

    def _await_ready(self) -> None:
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

    def _requests(self, count: int = 10) -> None:
        for _ in range(count):
            self._price_check()
            self._bid()

    def _price_check(self) -> None:
        request_id = f"price-{next(self._numbers)}"
        answer = self._send("/price/x", request_id)
        self.answers.expect(_is_answer_to(request_id, answer), f"{request_id}: {answer}")

    def _bid(self) -> None:
        request_id = f"bid-{next(self._numbers)}"
        self.client.look_up()
        address = self.client.addresses[0]
        headers = {"X-Bellweir-Attempt-Id": request_id, "X-Bellweir-Deadline-Ms": "3000"}
        answer = call(address, "POST", "/bid/x", b"bid", headers)
        ran = sum(each.record.ran[request_id] for each in self.deployment.scorers)
        self.once.expect(ran <= 1, f"{request_id} ran {ran} times")
        if answer is not None and answer.status in (429, 503):
            self.once.expect(ran == 0, f"{request_id} ran although it was refused")

    def _send(self, path: str, request_id: str) -> Answer:
        headers = {"X-Bellweir-Attempt-Id": request_id, "X-Bellweir-Deadline-Ms": "4000"}
        return self.client.send("POST", path, b"body", headers)

    def _calm_step(self) -> None:
        step = self.trainer.begin_step()
        self._requests()
        self._finish(step)

    def _finish(self, step: StepRecord) -> None:
        self.trainer.read_step(step)
        self._check_samples(step)
        self.trainer.end_step(step)
        self.deployment.beat_for(1.0)

    def _check_samples(self, step: StepRecord) -> None:
        for result in step.results:
            item = result["id"]
            events = self.deployment.models[0].events
            whole = result["state"] == "completed" and result["text"] == text_of(item, events)
            self.samples.expect(whole, f"{item}: {result}")
            self.samples.expect(result.get("score") == stamp_of(f"score-{item}"), f"{item}: score")
            fresh = min(result["versions"], default=0) >= step.minimum_version
            self.samples.expect(fresh, f"{item}: versions {result['versions']}")
        ids = {result["id"] for result in step.results}
        self.samples.expect(ids == set(step.items), f"{step.job_id}: {ids}")

    def _killed_store(self) -> None:
        for worker in self.deployment.models:
            worker.event_pause_s = 0.1
            worker.faults.cut_after_event = 3
        step = self.trainer.begin_step()
        killed = self.deployment.running("store")[0]
        self.deployment.kill(killed)
        self._requests(5)
        self.deployment.start_machine(killed)
        self._finish(step)
        for worker in self.deployment.models:
            worker.event_pause_s = 0.0

    def _silent_store(self) -> None:
        self.deployment.store.begin_outage(Outage.SILENT)
        step = self.trainer.begin_step()
        self._requests(5)
        killed = self.deployment.running("gateway")[0]
        self.deployment.kill(killed)
        self.deployment.start_machine(killed)
        # It knows the configuration from a peer while the store says nothing.
        self._await_ready()
        self._requests(5)
        self.deployment.store.end_outage()
        self._finish(step)

    def _new_configuration(self) -> None:
        self.deployment.store.records.put("config", "main", configuration(2, ("/new/",)))
        until_s = time.monotonic() + CONFIGURATION_BOUND_S
        for name in self.deployment.running("gateway"):
            answer = None
            while time.monotonic() < until_s and (answer is None or answer.status != 200):
                request_id = f"new-{next(self._numbers)}"
                headers = {"X-Bellweir-Attempt-Id": request_id}
                address = self.deployment.address(name, "front")
                answer = call(address, "POST", "/new/x", b"body", headers)
            self.configured.expect(answer is not None and answer.status == 200, f"{name}: {answer}")

    def _stopped_gateway(self) -> None:
        """A client that keeps its connection must get every answer until it is asked to close."""
        stopped = self.deployment.running("gateway")[-1]
        kept = KeptConnection(self.deployment.address(stopped, "front"))
        client = threading.Thread(target=kept.run, daemon=True)
        client.start()
        while not kept.answers and client.is_alive():
            time.sleep(0.01)
        code = self.deployment.stop(stopped)
        client.join(STOP_TIMEOUT_S)
        self.stops.expect(code == 0, f"{stopped}: exit code {code}")
        self.stops.expect(kept.was_asked_to_close, f"{stopped}: {kept.answers} answers, no close")
        self.stops.expect(not kept.failures, f"{stopped}: {kept.failures}")
        self._requests(5)
        self.deployment.start_machine(stopped)
        self._await_ready()

    def _killed_all(self) -> None:
        step = self.trainer.begin_step()
        self.deployment.kill(*self.deployment.machines)
        for name in self.deployment.machines:
            self.deployment.start_machine(name)
        self._await_ready()
        self._requests(5)
        self._finish(step)

    def _read_again(self) -> None:
        for step in self.trainer.steps:
            found = self.trainer.read_again(step)
            self.positions.expect(found == step.results, f"{step.job_id}: {found}")

    def _check_orders(self) -> None:
        for worker in self.deployment.models:
            orders = worker.record.orders
            for before, after in itertools.pairwise(orders):
                same = before.holder == after.holder
                rises = after.fence >= before.fence if same else after.fence > before.fence
                self.orders.expect(rises, f"{worker.instance}: {before} then {after}")


def _is_answer_to(request_id: str, answer: Answer) -> bool:
    signed = answer.headers.get("x-bellweir-server-stamp") == stamp_of(request_id)
    return answer.status == 200 and signed and answer.body == answer_to(request_id, b"body")
