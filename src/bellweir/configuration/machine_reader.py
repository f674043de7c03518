"""Reads the platform's machine list for one zone and passes the differences on."""

import random
import threading
from collections.abc import Callable

from returns.result import Failure, Success

from bellweir.clients.interface import MachineList, MachineSnapshot, PlatformError
from bellweir.configuration.log_events import MACHINE_LIST_UNAVAILABLE
from bellweir.configuration.messages import TableName
from bellweir.configuration.state import ConfigurationState
from bellweir.configuration.views import machine_change
from bellweir.events.log import emit
from bellweir.kernel.clock import Clock


class MachineListReader:
    """Polls the list while its node is the zone's reader."""

    def __init__(
        self,
        node: str,
        machine_list: MachineList,
        state: ConfigurationState,
        clock: Clock,
        is_reader: Callable[[], bool],
        period_s: float,
    ) -> None:
        self._node = node
        self._list = machine_list
        self._state = state
        self._clock = clock
        self._is_reader = is_reader
        self._period_s = period_s
        self._reported_unavailable = False

    def run(self, stopping: threading.Event) -> None:
        """Poll until `stopping` is set or this node is no longer the reader."""
        while not stopping.is_set() and self._is_reader():
            match self._list.read():
                case Success(snapshot):
                    self._reported_unavailable = False
                    self._take_over(snapshot)
                case Failure(failure):
                    self._report(failure)
            # Every zone polls on its own: a change must not wait for a reader that was just lost.
            self._clock.wait(stopping, self._period_s * random.uniform(0.5, 1.5))

    def _take_over(self, snapshot: MachineSnapshot) -> None:
        """Adopt a newer list; unchanged machines keep their entry, so that only changes spread."""
        if snapshot.revision <= self._state.position(TableName.MACHINES).revision:
            return
        _, known = self._state.entries(TableName.MACHINES)
        before = {entry.name: entry for entry in known}
        entries = []
        for machine in snapshot.machines:
            entry = machine_change(machine, snapshot.revision)
            old = before.get(machine.name)
            unchanged = old is not None and old.document == entry.document
            entries.append(old if old is not None and unchanged else entry)
        self._state.adopt(TableName.MACHINES, snapshot.revision, entries, "store")

    def _report(self, failure: PlatformError) -> None:
        if not self._reported_unavailable:
            emit(MACHINE_LIST_UNAVAILABLE, node=self._node, error=failure.detail)
        self._reported_unavailable = True
