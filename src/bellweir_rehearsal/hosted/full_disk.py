"""The fault of a soak in which a store machine's disk takes no change for a while.

A process whose write fails can't keep what it acknowledges, so it ends by itself with exit code 1;
its supervisor, here the soak, starts it again, also while the disk is still full, and then it
waits. Until the machine is whole again it is one loss.
"""

import json
import time

from bellweir_rehearsal.hosted.deployment import STARTED_POLL_S, STOP_TIMEOUT_S
from bellweir_rehearsal.hosted.fault import MachineFault

FAILURE_TOLD_S = 1.0
"""Time in which a process tells of a write that failed before the disk had room again."""
LOADED_TIMEOUT_S = 15.0
"""Time for a start and the longest pause between two tries of the disk, on a busy machine."""


class FullDisk(MachineFault):
    """A store machine's disk refuses all changes, then takes them again."""

    longest_s = 6.0

    def wants(self) -> list[str]:
        """Pick the store machine."""
        return self.one_of("store")

    def strike(self) -> None:
        """Have its disk refuse changes."""
        self._first_end = len(self.deployment.own_ends)
        for name in self.struck:
            self.deployment.refuse_writes(name)

    def mend(self) -> None:
        """Give it room, and see it come back with what it had."""
        for name in self.struck:
            self.deployment.take_writes(name)
            time.sleep(FAILURE_TOLD_S)
            self._await_end(name)
            self.deployment.restart_ended(name)
            self._await_whole(name)

    def _await_end(self, name: str) -> None:
        """Wait for the end of a process that gives up."""
        machine = self.deployment.machines[name]
        if "journal_failed" not in machine.log_of_life():
            return
        until_s = time.monotonic() + STOP_TIMEOUT_S
        while machine.is_running and time.monotonic() < until_s:
            time.sleep(STARTED_POLL_S)
        if machine.is_running:
            self.deployment.not_whole.append(f"{name}: its process gave up and did not end")

    def _await_whole(self, name: str) -> None:
        """Wait until the replica that the ended process had is loaded again."""
        ends = [end for end in self.deployment.own_ends[self._first_end :] if end.name == name]
        self.deployment.refilled.append(name)
        disk = loaded_disk(ends[0].log) if ends else None
        if disk is None:
            return
        machine = self.deployment.machines[name]
        until_s = time.monotonic() + LOADED_TIMEOUT_S
        while loaded_disk(machine.log_of_life()) is None and time.monotonic() < until_s:
            time.sleep(STARTED_POLL_S)
        found = loaded_disk(machine.log_of_life())
        if found != disk:
            self.deployment.not_whole.append(f"{name}: disk {disk}, came back with {found}")


def loaded_disk(log: str) -> str | None:
    """Return the identity under which a process loaded the replica that it kept until its end.

    >>> loaded_disk('{"event": "replica_loaded", "disk": "d1"}')
    'd1'
    >>> loaded_disk('{"event": "process_started"}') is None
    True
    """
    if '"shard_forgotten"' in log:
        return None
    for line in log.splitlines():
        if '"replica_loaded"' in line and line.endswith("}"):
            return str(json.loads(line)["disk"])
    return None
