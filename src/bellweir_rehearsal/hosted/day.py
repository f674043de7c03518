"""A short day on loopback: both roles as processes, troubles, and a check of what must hold."""

import threading
import time
from collections.abc import Callable
from pathlib import Path

from bellweir_rehearsal.hosted.checks import Check, CheckedTraffic
from bellweir_rehearsal.hosted.clients import StepRecord, call, configuration, key_of_version
from bellweir_rehearsal.hosted.deployment import STOP_TIMEOUT_S, HostedDeployment
from bellweir_rehearsal.hosted.kept_connection import KeptConnection
from bellweir_rehearsal.hosted.object_store import Outage

CONFIGURATION_BOUND_S = 2.0


class HostedDay(CheckedTraffic):
    """Plays the day; `checks` tells how it went."""

    def __init__(self, folder: Path, told: Callable[[str], None] = lambda _: None) -> None:
        super().__init__(HostedDeployment(folder), told)
        self.configured = Check("an accepted configuration is in force within two seconds")
        self.stops = Check("a planned stop cuts no request and ends with exit code 0")

    @property
    def checks(self) -> list[Check]:
        """All checks."""
        return [*self.traffic_checks, self.configured, self.stops]

    def play(self) -> None:
        """Play the whole day."""
        self._step("start", self.start)
        self._step("a calm step", self._calm_step)
        self._step("a store machine is killed in the middle of a step", self._killed_store)
        self._step("the platform's store is silent", self._silent_store)
        self._step("a new configuration", self._new_configuration)
        self._step("a gateway is stopped", self._stopped_gateway)
        self._step("all processes are killed at once", self._killed_all)
        self._step("everything is read again", self._read_again)
        self.check_orders()
        self.check_tenants()
        self.check_usage()

    def _step(self, name: str, play: Callable[[], None]) -> None:
        self.told(name)
        play()

    def _calm_step(self) -> None:
        step = self.trainer.begin_step()
        self.send_requests()
        self._finish(step)

    def _finish(self, step: StepRecord) -> None:
        self.finish(step)
        self.deployment.beat_for(1.0)

    def _killed_store(self) -> None:
        for worker in self.deployment.models:
            worker.event_pause_s = 0.1
            worker.faults.cut_after_event = 3
        step = self.trainer.begin_step()
        killed = self.deployment.running("store")[0]
        self.deployment.kill(killed)
        self.send_requests(5)
        self.deployment.start_machine(killed)
        self._finish(step)
        for worker in self.deployment.models:
            worker.event_pause_s = 0.0

    def _silent_store(self) -> None:
        self.deployment.store.begin_outage(Outage.SILENT)
        step = self.trainer.begin_step()
        self.send_requests(5)
        killed = self.deployment.running("gateway")[0]
        self.deployment.kill(killed)
        self.deployment.start_machine(killed)
        # It knows the configuration from a peer while the store says nothing.
        self.await_ready()
        self.send_requests(5)
        self.deployment.store.end_outage()
        self._finish(step)

    def _new_configuration(self) -> None:
        self.deployment.store.records.put("config", "main", configuration(2, ("/new/",)))
        until_s = time.monotonic() + CONFIGURATION_BOUND_S
        for name in self.deployment.running("gateway"):
            answer = None
            while time.monotonic() < until_s and (answer is None or answer.status != 200):
                headers = {"X-Bellweir-Attempt-Id": self.next_id("new")}
                address = self.deployment.address(name, "front")
                answer = call(address, "POST", "/new/x", b"body", headers)
            self.configured.expect(answer is not None and answer.status == 200, f"{name}: {answer}")
            self._check_key(name, key_of_version(1), 401)
            self._check_key(name, key_of_version(2), 200)

    def _check_key(self, name: str, key: str, status: int) -> None:
        """A key that the new configuration lacks is refused, one that it has is served."""
        headers = {"X-Bellweir-Attempt-Id": self.next_id("key")}
        address = self.deployment.address(name, "front")
        answer = call(address, "POST", "/price/x", b"body", headers, key)
        shown = answer.status if answer is not None else None
        self.configured.expect(shown == status, f"{name}: {shown} for {key}, not {status}")

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
        self.send_requests(5)
        self.deployment.start_machine(stopped)
        self.await_ready()

    def _killed_all(self) -> None:
        step = self.trainer.begin_step()
        self.deployment.kill(*self.deployment.machines)
        for name in self.deployment.machines:
            self.deployment.start_machine(name)
        self.await_ready()
        self.send_requests(5)
        self._finish(step)

    def _read_again(self) -> None:
        for step in self.trainer.steps:
            self.read_again(step)
