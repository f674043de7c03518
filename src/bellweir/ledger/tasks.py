"""The tasks of a node with replicas: a fixed few, and one for each peer it replicates to."""

import threading
import time
from collections.abc import Callable
from functools import partial

from bellweir.events.log import emit
from bellweir.kernel.executors import Executors
from bellweir.ledger.keeper import PlacementKeeper
from bellweir.ledger.log_events import STEP_FAILED
from bellweir.ledger.node import LedgerNode
from bellweir.settings.models import LedgerSettings

TICK_S = 0.05
WRITER_PERIOD_S = 0.5
"""The writer is woken for entries; this bounds the wait for whatever else was buffered."""
KEEPER_PERIOD_S = 0.5
HAND_OVER_POLL_S = 0.02
STOP_TIMEOUT_S = 5.0


class LedgerTasks:
    """Elections, journal writes, placement, and replication by peer; all shards share them."""

    def __init__(
        self,
        node: LedgerNode,
        keeper: PlacementKeeper,
        executors: Executors,
        settings: LedgerSettings,
    ) -> None:
        self.keeper = keeper
        self._node = node
        self._executors = executors
        self._settings = settings
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._peers: dict[str, threading.Event] = {}
        self._to_write = threading.Event()
        self._ended = threading.Condition()
        self._running = 0
        node.wake = self.wake

    def start(self) -> None:
        """Start the tasks."""
        self._run("ledger-elections", self._hold_elections)
        self._run("ledger-writer", self._write)
        self._run("ledger-placement", self._keep_placement)

    def wake(self) -> None:
        """There are new entries or queries: write and replicate at once."""
        self._to_write.set()
        for news in list(self._peers.values()):
            news.set()

    def hand_over(self, deadline_s: float) -> None:
        """Ask followers to take over the shards led here, at most `deadline_s` seconds."""
        waited_s = 0.0
        while waited_s < deadline_s and self._hand_over_once():
            self.wake()
            self._stop.wait(HAND_OVER_POLL_S)
            waited_s += HAND_OVER_POLL_S

    def _hand_over_once(self) -> bool:
        waiting = False
        for replica in self._node.replicas():
            if replica.leader == self._node.own and self._node.hand_over(replica):
                waiting = True
        return waiting

    def stop(self) -> None:
        """End the tasks and wait for them, so that the journal can be closed."""
        self._stop.set()
        self.wake()
        with self._ended:
            self._ended.wait_for(lambda: self._running == 0, STOP_TIMEOUT_S)

    def _run(self, name: str, work: Callable[[], None]) -> None:
        def run(_stopping: threading.Event) -> None:
            try:
                work()
            finally:
                with self._ended:
                    self._running -= 1
                    self._ended.notify_all()

        with self._ended:
            self._running += 1
        self._executors.run_task(name, run)

    # --- the tasks ----------------------------------------------------------------------------

    def _hold_elections(self) -> None:
        while not self._stop.wait(TICK_S):
            self._node.tick()
            self._follow_peers()

    def _write(self) -> None:
        while not self._stop.is_set():
            self._to_write.wait(WRITER_PERIOD_S)
            self._to_write.clear()
            self._node.flush()
            self._node.compact()

    def _keep_placement(self) -> None:
        while not self._stop.wait(KEEPER_PERIOD_S):
            try:
                self.keeper.step()
            except Exception as failure:
                # Placement is tried again; a fault in it must not end replication's mending.
                emit(STEP_FAILED, step="placement", error=repr(failure))

    def _follow_peers(self) -> None:
        """Start a task for each new peer; the task of a former one ends by itself."""
        for peer in self._node.peers() - self._peers.keys():
            news = threading.Event()
            with self._lock:
                self._peers[peer] = news
            self._run(f"ledger-peer-{peer}", partial(self._serve, peer, news))

    def _serve(self, peer: str, news: threading.Event) -> None:
        """Send news at once, in batches of whatever came up meanwhile, and heartbeats in time."""
        heartbeat_s = self._settings.heartbeat_s
        due_s = time.monotonic()
        while not self._stop.is_set() and peer in self._node.peers():
            news.wait(max(0.0, due_s - time.monotonic()))
            news.clear()
            is_due = time.monotonic() >= due_s
            if is_due:
                due_s = time.monotonic() + heartbeat_s
            if not self._node.replicate(peer, heartbeat=is_due):
                self._stop.wait(heartbeat_s)
            elif self._node.has_news(peer):
                news.set()
        with self._lock:
            self._peers.pop(peer, None)
