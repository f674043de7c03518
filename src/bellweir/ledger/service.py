"""Service `ledger`: the replicated log on nodes with a data folder, and the way to it elsewhere."""

import threading
from collections.abc import Collection
from concurrent.futures import Future
from concurrent.futures import wait as wait_for_futures
from pathlib import Path
from typing import TYPE_CHECKING

import xxhash
from returns.result import Failure, Result

from bellweir.clients.interface.object_store import ObjectStoreProvider
from bellweir.events.log import emit
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.calls import CallClient, CallServer
from bellweir.ledger.interface import (
    Command,
    Ledger,
    LedgerError,
    LedgerErrorKind,
    Query,
    Reply,
    StateMachine,
)
from bellweir.ledger.journal import JournalClosedError
from bellweir.ledger.keeper import PlacementKeeper
from bellweir.ledger.locator import PlacementLocator
from bellweir.ledger.log_events import JOURNAL_UNAVAILABLE
from bellweir.ledger.machines import Codec
from bellweir.ledger.nearby import NearbyReads, PeekServer
from bellweir.ledger.node import LedgerNode, NodeTiming
from bellweir.ledger.placement import PlacementStore
from bellweir.ledger.relayed_calls import ReachWatch, RelayedCalls
from bellweir.ledger.store_sync import StoreSync
from bellweir.ledger.tasks import LedgerTasks
from bellweir.membership.interface import Membership
from bellweir.wire.interface import Transport

if TYPE_CHECKING:
    from bellweir.ledger.journal import Journal
    from bellweir.settings.models import Settings


START_POLL_S = 0.1
FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 2.0
"""Pauses before the files are tried again: short against the seconds after which a machine that
came back is counted on, long enough to cost nothing while a disk stays full."""
START_END_TIMEOUT_S = 5.0
"""Time that a stop gives the start of the replicas to end; a disk may hang."""
LEDGER_FOLDER = "ledger"


class LedgerService(Service, Ledger):
    """The ledger of one node.

    It serves once all services of the node have started, because by then all state machines are
    registered and a log can be applied.
    """

    name = names.LEDGER
    dependencies = (names.TRANSPORT, names.MEMBERSHIP, names.PLATFORM)

    def __init__(self, kernel: Kernel, settings: "Settings") -> None:
        self._kernel = kernel
        self._settings = settings
        self._machine_types: list[type[StateMachine]] = []
        self._serving = threading.Event()
        self._ending = threading.Event()
        """Set once the service stops: no replica is started any more."""
        self._start: Future[None] | None = None
        self._journal: Journal | None = None
        self._node: LedgerNode | None = None
        self._tasks: LedgerTasks | None = None
        self._client: CallClient
        self._relayed: RelayedCalls | None = None
        self._reach = ReachWatch(kernel.clock)
        self._nearby: NearbyReads
        self._locator: PlacementLocator
        self._transport: Transport
        self._membership: Membership
        self._platform: ObjectStoreProvider

    # --- life ---------------------------------------------------------------------------------

    def start(self) -> None:
        """Find what the ledger needs; it begins to serve when the whole node has started."""
        registry = self._kernel.registry
        self._transport = registry.find(
            names.TRANSPORT,
            Transport,  # type: ignore[type-abstract]
        )
        self._membership = registry.find(
            names.MEMBERSHIP,
            Membership,  # type: ignore[type-abstract]
        )
        self._platform = registry.find(
            names.PLATFORM,
            ObjectStoreProvider,  # type: ignore[type-abstract]
        )
        self._start = self._kernel.executors.run_task("ledger-start", self._begin_serving)

    def _begin_serving(self, stopping: threading.Event) -> None:
        while not self._kernel.registry.all_started.wait(START_POLL_S):
            if stopping.is_set() or self._ending.is_set():
                return
        folder = self._settings.node.data_folder
        if folder is not None and not self._await_replicas(folder / LEDGER_FOLDER, stopping):
            return
        codec = self._node.codec if self._node else Codec(self._machine_types)
        keeper = self._tasks.keeper if self._tasks else None
        self._locator = PlacementLocator(self._membership, self._transport, keeper)
        self._client = CallClient(
            self._node,
            codec,
            self._transport,
            self._address_of,
            self._locator.candidates,
            self._kernel.clock,
            self._reach.answered,
        )
        if self._node is None:
            self._relayed = self._make_relayed(codec)
        self._nearby = NearbyReads(
            self._settings.node.zone,
            self._node,
            codec,
            self._transport,
            self._membership,
            self._locator,
            self._client.leader_node,
        )
        self._serving.set()

    def _make_relayed(self, codec: Codec) -> RelayedCalls:
        """Both ways of a call, for a node that holds no replica."""
        return RelayedCalls(
            self._transport,
            self._membership,
            self._kernel.executors,
            codec,
            self._kernel.clock,
            self._reach,
            self._call_directly,
            self._locator.is_answered,
            self._client.outcomes,
        )

    def _await_replicas(self, folder: Path, stopping: threading.Event) -> bool:
        """Start the replicas once the disk lets them; False when the node stops before.

        A disk may be mounted late, be full or hang for a while. A node that gave up would be a
        voter that never answers, until somebody restarts it.
        """
        pause_s = FIRST_RETRY_S
        while not (stopping.is_set() or self._ending.is_set()):
            try:
                self._start_replicas(folder)
                return True
            except JournalClosedError:
                return False
            except OSError as failure:
                emit(JOURNAL_UNAVAILABLE, error=repr(failure))
            except Exception as failure:
                self._kernel.ending.ask(f"the ledger can't start: {failure!r}")
                raise
            if self._journal is not None:
                self._journal.close()
            self._ending.wait(pause_s)
            pause_s = min(2 * pause_s, LONGEST_RETRY_S)
        return False

    def _start_replicas(self, folder: Path) -> None:
        # Only nodes with a data folder need the database.
        from bellweir.ledger.sqlite_journal import SqliteJournal

        settings = self._settings.ledger
        self._journal = None
        timing = NodeTiming(
            settings.election_timeout_s, settings.election_timeout_s, settings.snapshot_entries
        )
        self._journal = SqliteJournal(folder)
        node = LedgerNode(
            self._settings.node.name,
            self._journal,
            self._machine_types,
            self._transport,
            self._address_of,
            self._kernel.clock,
            timing,
        )
        node.load()
        store = self._placement_store()
        keeper = PlacementKeeper(
            node,
            self._membership,
            self._transport,
            self._kernel.clock,
            folder,
            settings,
            has_store=store is not None,
        )
        spread_s = settings.creation_spread_s
        clock = self._kernel.clock
        sync = StoreSync(node, keeper, store, clock, spread_s) if store else None
        CallServer(node, self._transport)
        PeekServer(node, self._transport)
        node.register_handlers()
        self._node = node
        give_up = self._kernel.ending.ask
        self._tasks = LedgerTasks(node, keeper, sync, self._kernel.executors, settings, give_up)
        self._tasks.start()

    def _placement_store(self) -> PlacementStore | None:
        if self._settings.platform.object_api is None:
            return None
        return PlacementStore(self._platform.object_store())

    def drain(self, deadline_s: float) -> None:
        """Hand over the shards led here."""
        if self._tasks is not None:
            self._tasks.leave(deadline_s)

    def stop(self) -> None:
        """End the start and the tasks, then close the files.

        Files that are closed under a start that still reads them look damaged to it, and it would
        put them aside. Where a start hangs in its disk they stay open until the process ends.
        """
        self._ending.set()
        start = self._start
        if start is not None and wait_for_futures([start], START_END_TIMEOUT_S).not_done:
            return
        if self._tasks is not None:
            self._tasks.stop()
        if self._journal is not None:
            self._journal.close()

    # --- the ledger ---------------------------------------------------------------------------

    def register(self, make: type[StateMachine]) -> None:
        """Add a state machine class; from a service's `start`."""
        if self._kernel.registry.all_started.is_set():
            raise RuntimeError("state machines are registered while the node starts")
        self._machine_types.append(make)

    def submit(self, key: str, command: Command, timeout_s: float) -> Result[Reply, LedgerError]:
        """Append a command to the key's shard and return what applying it returned."""
        return self._call(key, command, timeout_s)

    def ask(self, key: str, query: Query, timeout_s: float) -> Result[Reply, LedgerError]:
        """Answer a query from the key's shard, linearizably."""
        return self._call(key, query, timeout_s)

    def _call(
        self, key: str, value: Command | Query, timeout_s: float
    ) -> Result[Reply, LedgerError]:
        started_s = self._kernel.clock.monotonic_s()
        if not self._serving.wait(timeout_s):
            return _unavailable("the node is starting")
        left_s = timeout_s - (self._kernel.clock.monotonic_s() - started_s)
        if self._relayed is not None:
            return self._relayed.call(key, value, left_s)
        return self._call_directly(key, value, left_s, left_s)

    def _call_directly(
        self, key: str, value: Command | Query, timeout_s: float, search_s: float
    ) -> Result[Reply, LedgerError]:
        """Bring a call to its shard's leader, found within `search_s`, on this node's own way."""
        started_s = self._kernel.clock.monotonic_s()
        shard_count = self._locator.wait_for_shard_count(search_s, self._kernel.clock)
        if shard_count is None:
            return _unavailable("no placement of the ledger is known")
        passed_s = self._kernel.clock.monotonic_s() - started_s
        shard = _shard_of(key, shard_count)
        return self._client.call(shard, value, timeout_s - passed_s, search_s - passed_s)

    def ask_nearby(self, key: str, query: Query, timeout_s: float) -> Reply | None:
        """Answer a query from a replica in this node's zone, of what that one has applied."""
        count = self._locator.shard_count() if self._serving.is_set() else None
        if count is None:
            return None
        return self._nearby.ask(_shard_of(key, count), query, timeout_s)

    def ask_replicas(self, key: str, query: Query, timeout_s: float) -> tuple[Reply, ...]:
        """Answers of the replicas of any zone, each of what that one has applied."""
        count = self._locator.shard_count() if self._serving.is_set() else None
        if count is None:
            return ()
        return self._nearby.ask_all(_shard_of(key, count), query, timeout_s)

    def leads(self, key: str) -> bool:
        """Whether this node leads the key's shard, as far as it knows; not a fence."""
        node = self._node
        replica = node.replica(self.shard_of(key)) if node else None
        return replica is not None and node is not None and replica.leader == node.own

    def leader_address(self, key: str) -> str | None:
        """`host:port` of the peer port of the shard's leader, as last heard."""
        if not self._serving.is_set():
            return None
        leader = self._client.leader_node(self.shard_of(key))
        return self._address_of(leader) if leader else None

    def local_machine(self, key: str, make: type[StateMachine]) -> StateMachine | None:
        """The local replica's state machine, for scans by a leader; None without a replica."""
        replica = self._node.replica(self.shard_of(key)) if self._node else None
        return replica.machine(make) if replica else None

    def shard_of(self, key: str) -> int:
        """Number of the key's shard."""
        known = self._locator.shard_count() if self._serving.is_set() else None
        return _shard_of(key, known or self._settings.ledger.shards)

    def retire(self, nodes: frozenset[str]) -> None:
        """Have these nodes hold no replicas any more, as soon as others hold enough."""
        if self._tasks is not None:
            self._tasks.keeper.retiring = nodes

    def is_emptied(self, node: str) -> bool:
        """Whether a node surely holds nothing any more; False also where this node can't tell."""
        return self._tasks is not None and self._tasks.keeper.is_emptied(node)

    def release(self, node: str) -> bool:
        """Whether a node may be taken away now; if so it is given no replica any more."""
        return self._tasks is not None and self._tasks.keeper.release(node)

    def sound_voters(self, key: str) -> int:
        """Voters of a shard led here that answer and hold nearly all of its log, itself included.

        0 where this node does not lead the key's shard.
        """
        node = self._node
        replica = node.replica(self.shard_of(key)) if node else None
        if node is None or replica is None or replica.leader != node.own:
            return 0
        silent = replica.silent_replicas(self._kernel.clock.monotonic_s())
        sound = (replica.caught_up() | {node.own}) - silent
        return len(sound.intersection(replica.log.replicas.voters))

    def replica_nodes(self, key: str, timeout_s: float) -> tuple[str, ...]:
        """Nodes that hold the key's shard and are not known to be dead, as last heard.

        None before the ledger is known.
        """
        return self.living(self.holders(key, timeout_s))

    def living(self, holders: Collection[str]) -> tuple[str, ...]:
        """Those of the nodes that are not known to be dead, suspects last."""
        # The locator is there once a holder is known.
        return tuple(self._locator.likely_first(sorted(holders))) if holders else ()

    def holders(self, key: str, timeout_s: float) -> tuple[str, ...]:
        """Nodes that hold the key's shard, dead or alive; none before the ledger is known."""
        if not self._serving.wait(timeout_s):
            return ()
        count = self._locator.wait_for_shard_count(timeout_s, self._kernel.clock)
        if count is None:
            return ()
        self._locator.refresh(timeout_s)
        shard = _shard_of(key, count)
        replica = self._node.replica(shard) if self._node else None
        if replica is not None and replica.log.replicas.voters:
            return tuple(one.node for one in replica.log.replicas.everyone)
        return self._locator.replica_nodes(shard)

    def _address_of(self, node: str) -> str | None:
        member = self._membership.member(node)
        return member.peer_address if member else None


def _shard_of(key: str, shard_count: int) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % shard_count


def _unavailable(detail: str) -> Result[Reply, LedgerError]:
    return Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, detail))
