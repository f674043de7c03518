"""The tasks of a node with replicas: a fixed few, and one for each peer it replicates to."""

import threading
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from bellweir.events.log import emit
from bellweir.kernel.clock import elapsed_s
from bellweir.kernel.executors import Executors
from bellweir.ledger.journal import JournalFailedError
from bellweir.ledger.keeper import PlacementKeeper
from bellweir.ledger.log_events import JOURNAL_FAILED, STEP_FAILED
from bellweir.ledger.node import LedgerNode
from bellweir.ledger.store_sync import StoreSync

if TYPE_CHECKING:
    from bellweir.settings.models import LedgerSettings


TICK_S = 0.1
WRITER_PERIOD_S = 0.5
"""The writer is woken for entries; this bounds the wait for whatever else was buffered."""
KEEPER_PERIOD_S = 0.5
MENDING_PERIOD_S = 0.1
"""The same while replicas are changed: three changes one after the other make a shard whole."""
HAND_OVER_POLL_S = 0.02
HAND_OVER_LIMIT_S = 2.0
"""Longest wait for others to take over; after it they elect a leader by themselves."""
STOP_TIMEOUT_S = 5.0


class LedgerTasks:
    """Elections, journal writes, placement, and replication by peer; all shards share them."""

    def __init__(
        self,
        node: LedgerNode,
        keeper: PlacementKeeper,
        store: StoreSync | None,
        executors: Executors,
        settings: "LedgerSettings",
        give_up: Callable[[str], None],
    ) -> None:
        """`give_up` ends the process, with a cause: what is on disk is then read anew."""
        self.keeper = keeper
        self._node = node
        self._store = store
        self._executors = executors
        self._settings = settings
        self._give_up = give_up
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._peers: dict[str, threading.Event] = {}
        self._to_write = threading.Event()
        self._ended = threading.Condition()
        self._running = 0
        self._leaving = threading.Event()
        node.wake = self.wake
        node.elected = self._follow_peers

    def start(self) -> None:
        """Start the tasks."""
        self._run("ledger-elections", partial(self._repeat, TICK_S, self._hold_elections))
        self._run("ledger-writer", self._write)
        self._run("ledger-placement", partial(self._repeat, KEEPER_PERIOD_S, self.keeper.step))
        store = self._store
        if store is not None:
            # Not waited for at a stop: it may hang in the store, and it does not use the journal.
            self._executors.run_task(
                "ledger-store", lambda _stopping: self._repeat(KEEPER_PERIOD_S, store.step)
            )

    def wake(self) -> None:
        """There are new entries or queries: write and replicate at once."""
        self._to_write.set()
        for news in list(self._peers.values()):
            news.set()

    def leave(self, deadline_s: float) -> None:
        """Stand for no election, and wait until others lead the shards led here."""
        self._leaving.set()
        limit_s = elapsed_s() + min(deadline_s, HAND_OVER_LIMIT_S)
        while elapsed_s() < limit_s and self._hand_over_once():
            self._stop.wait(HAND_OVER_POLL_S)

    def _hand_over_once(self) -> bool:
        """Ask followers to take over; False when nothing is led here that others could lead."""
        self._node.stop_standing()
        asked = [
            self._node.hand_over(replica, self.keeper.is_able)
            for replica in self._node.replicas()
            if replica.leader == self._node.own
        ]
        self.wake()
        return any(asked)

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
        try:
            self._executors.run_task(name, run)
        except RuntimeError:
            with self._ended:
                self._running -= 1
            raise

    # --- the tasks ----------------------------------------------------------------------------

    def _hold_elections(self) -> bool:
        self._node.tick()
        self._follow_peers()
        if self._leaving.is_set() or self.keeper.is_leaving():
            # Long before the drain reaches the ledger: requests in hand end first there.
            self._hand_over_once()
        return False

    def _write(self) -> None:
        while not self._stop.is_set():
            self._to_write.wait(WRITER_PERIOD_S)
            self._to_write.clear()
            try:
                self._node.flush()
                self._node.compact()
            except JournalFailedError as failure:
                # What the disk holds is known only once it is read anew. A process that went on
                # would be a voter that never answers, and use up the loss that can be borne.
                emit(JOURNAL_FAILED, error=str(failure))
                for replica in self._node.replicas():
                    replica.give_up("the journal failed")
                self._give_up("the journal failed")
                return
            except Exception as failure:
                # What was not written stays in hand for the next round.
                emit(STEP_FAILED, step="write", error=repr(failure))
                self._stop.wait(TICK_S)

    def _repeat(self, period_s: float, step: Callable[[], bool]) -> None:
        """Do a step again and again, the next one soon after one that says it goes on."""
        while not self._stop.is_set():
            goes_on = False
            try:
                goes_on = step()
            except Exception as failure:
                # Tried again at the next period: the ledger must not depend on one faulty step.
                emit(STEP_FAILED, step=step.__qualname__, error=repr(failure))
            self._stop.wait(min(period_s, MENDING_PERIOD_S) if goes_on else period_s)

    def _follow_peers(self) -> None:
        """Start a task for each new peer; the task of a former one ends by itself."""
        for peer in self._node.peers():
            news = threading.Event()
            news.set()
            with self._lock:
                if peer in self._peers:
                    self._peers[peer].set()
                    continue
                self._peers[peer] = news
            try:
                self._run(f"ledger-peer-{peer}", partial(self._serve, peer, news))
            except RuntimeError:
                # No thread can be started now; left behind, the entry would keep the peer without
                # messages for the rest of the process's life.
                self._forget_peer(peer)
                raise

    def _forget_peer(self, peer: str) -> None:
        with self._lock:
            self._peers.pop(peer, None)

    def _serve(self, peer: str, news: threading.Event) -> None:
        """Send news at once, in batches of whatever came up meanwhile, and heartbeats in time."""
        heartbeat_s = self._settings.heartbeat_s
        due_s = elapsed_s()
        while not self._stop.is_set() and peer in self._node.peers():
            news.wait(max(0.0, due_s - elapsed_s()))
            news.clear()
            is_due = elapsed_s() >= due_s
            if is_due:
                due_s = elapsed_s() + heartbeat_s
            if not self._replicate(peer, is_due):
                self._stop.wait(heartbeat_s)
            elif self._node.has_news(peer):
                news.set()
        self._forget_peer(peer)

    def _replicate(self, peer: str, is_due: bool) -> bool:
        """Send a peer what there is; False when it could not be sent now."""
        try:
            return self._node.replicate(peer, heartbeat=is_due)
        except Exception as failure:
            emit(STEP_FAILED, step="replicate", error=repr(failure))
            return False
