"""A day on which an older build is replaced by this one, machine after machine, and goes back.

Steps and requests go on all the while. Midway the jobs' leader is killed and the configuration
changes, while both builds serve; one machine of each role goes back to the older build and forward
again. At the end all is killed at once and read again on this build.
"""

import threading
from collections.abc import Callable
from pathlib import Path

from bellweir_rehearsal.hosted.builds import OWN_BUILD, Build
from bellweir_rehearsal.hosted.checks import Check, CheckedTraffic
from bellweir_rehearsal.hosted.clients import call, configuration
from bellweir_rehearsal.hosted.deployment import BEAT_S, STOP_TIMEOUT_S, HostedDeployment
from bellweir_rehearsal.hosted.kept_connection import KeptConnection

NEW_PREFIX = "/new/"
LEADS = b"bellweir_ledger_leads 1.0"
REQUESTS_EACH = 3
IN_FORCE_LOOKS = 60
"""Looks, a beat of the workers apart, for a new configuration at a gateway."""


class MixedDay(CheckedTraffic):
    """Plays the day; `checks` tells how it went."""

    def __init__(
        self, folder: Path, older: Build, told: Callable[[str], None] = lambda _: None
    ) -> None:
        super().__init__(HostedDeployment(folder), told)
        self._older = older
        self._is_over = threading.Event()
        self.configured = Check("a new configuration reaches both builds")
        self.stops = Check("a planned stop cuts no request and ends with exit code 0")
        self.mixed = Check("both builds are there while something happens")

    @property
    def checks(self) -> list[Check]:
        """All checks."""
        return [*self.traffic_checks, self.configured, self.stops, self.mixed]

    def play(self) -> None:
        """Play the whole day."""
        for name in self.deployment.machines:
            self.deployment.set_build(name, self._older)
        beating = threading.Thread(target=self._beat, daemon=True)
        beating.start()
        try:
            self._play()
        finally:
            self._is_over.set()
            beating.join()

    def _beat(self) -> None:
        """Have the workers write their entries all day long."""
        while not self._is_over.is_set():
            self.deployment.beat_for(BEAT_S)

    def _play(self) -> None:
        self.start()
        self._calm_step()
        order = self._in_turn()
        half = len(order) // 2
        for name in order[:half]:
            self._replace(name, OWN_BUILD)
        self._change_configuration()
        self._kill_leader()
        for role in ("store", "gateway"):
            self._go_back_and_forth(role)
        for name in order[half:]:
            self._replace(name, OWN_BUILD)
        self._kill_all()
        for step in self.trainer.steps:
            self.read_again(step)
        self.check_orders()
        self.check_tenants()
        self.check_usage()

    def _in_turn(self) -> list[str]:
        """Machines of both roles by turns."""
        pairs = zip(self.deployment.names("store"), self.deployment.names("gateway"), strict=True)
        return [name for pair in pairs for name in pair]

    def _calm_step(self) -> None:
        step = self.trainer.begin_step()
        self.send_requests(REQUESTS_EACH)
        self.finish(step)

    def _replace(self, name: str, build: Build) -> None:
        """Stop one machine as planned and go on with a build, in the middle of a step."""
        self.told(f"{name} goes on with {build.folder.name}")
        step = self.trainer.begin_step()
        if name.startswith("gateway"):
            self._stop_gateway(name)
        else:
            code = self.deployment.stop(name)
            self.stops.expect(code == 0, f"{name}: exit code {code}")
        self.send_requests(REQUESTS_EACH)
        self.deployment.set_build(name, build)
        self.deployment.start_machine(name)
        self.await_ready()
        self.send_requests(REQUESTS_EACH)
        self.finish(step)

    def _stop_gateway(self, name: str) -> None:
        """A client that keeps its connection gets every answer until it is asked to close."""
        kept = KeptConnection(self.deployment.address(name, "front"), self.next_id("kept"))
        client = threading.Thread(target=kept.run, daemon=True)
        client.start()
        while not kept.answers and client.is_alive():
            self.deployment.beat_for(0.01)
        code = self.deployment.stop(name)
        client.join(STOP_TIMEOUT_S)
        self.stops.expect(code == 0, f"{name}: exit code {code}")
        self.stops.expect(kept.was_asked_to_close, f"{name}: {kept.answers} answers, no close")
        self.stops.expect(not kept.failures, f"{name}: {kept.failures}")

    def _change_configuration(self) -> None:
        self.told("a new configuration")
        self._expect_both("configuration")
        self.deployment.store.records.put("config", "main", configuration(2, (NEW_PREFIX,)))
        for name in self.deployment.running("gateway"):
            self.configured.expect(self._serves_new_route(name), name)

    def _serves_new_route(self, name: str) -> bool:
        address = self.deployment.address(name, "front")
        for _ in range(IN_FORCE_LOOKS):
            headers = {"X-Bellweir-Attempt-Id": self.next_id("new")}
            answer = call(address, "POST", f"{NEW_PREFIX}x", b"body", headers)
            if answer is not None and answer.status == 200:
                return True
            self.deployment.beat_for(0.05)
        return False

    def _kill_leader(self) -> None:
        """Kill the machine that runs jobs, in the middle of a step."""
        self._expect_both("kill")
        step = self.trainer.begin_step()
        killed = next(filter(self._leads, self.deployment.running("store")))
        self.told(f"{killed} is killed")
        self.deployment.kill(killed)
        self.send_requests(REQUESTS_EACH)
        self.deployment.start_machine(killed)
        self.finish(step)

    def _leads(self, name: str) -> bool:
        answer = call(self.deployment.address(name, "metrics"), "GET", "/metrics")
        return answer is not None and LEADS in answer.body

    def _go_back_and_forth(self, role: str) -> None:
        renewed = [
            name
            for name in self.deployment.names(role)
            if self.deployment.machines[name].build is OWN_BUILD
        ]
        self._replace(renewed[0], self._older)
        self._expect_both("return")
        self._replace(renewed[0], OWN_BUILD)

    def _expect_both(self, what: str) -> None:
        running = [each for each in self.deployment.machines.values() if each.is_running]
        builds = {each.build.folder for each in running}
        self.mixed.expect(len(builds) == 2, f"{what}: {builds}")

    def _kill_all(self) -> None:
        self.told("all processes are killed at once")
        step = self.trainer.begin_step()
        self.deployment.kill(*self.deployment.machines)
        for name in self.deployment.machines:
            self.deployment.start_machine(name)
        self.await_ready()
        self.finish(step)
