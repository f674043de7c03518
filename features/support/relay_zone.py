"""A zone of nodes that follow one stand-in of the store, over a network in memory."""

import threading

from features.support.ledger_nodes import MemoryMembership, MemoryNetwork, MemoryTransport
from returns.result import Failure

from bellweir.hosted.eligibility.evacuated_zones import EvacuatedZones
from bellweir.hosted.interface import RecordKind, RecordStore, StoreError, StoreErrorKind
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.follower import MAX_RELAY_AGE_S, KindFollower
from bellweir.hosted.views.readers import deployment_readers
from bellweir.hosted.views.relay import ViewsRelay
from bellweir.hosted.views.workers import WorkersView
from bellweir.membership.interface import Member, MemberState
from bellweir_platform.object_store import PlatformStore

CHECK_INTERVAL_S = 0.2
NOT_DONE = Failure(StoreError(StoreErrorKind.NOT_DONE, "cut off"))


def member(name, zone="a", state=MemberState.ALIVE):
    return Member(name, name, "", zone, "r", False, state, 1)


class CuttableStore(RecordStore):
    """One node's way to the store: counts its calls, and may be cut off."""

    def __init__(self, address):
        self._store = PlatformStore(address)
        self.calls = 0
        self.lists = 0
        self.refused = 0
        self.is_cut = False

    def _call(self, name, *arguments, **keywords):
        if self.is_cut:
            self.refused += 1
            return NOT_DONE
        self.calls += 1
        found = getattr(self._store, name)(*arguments, **keywords)
        return NOT_DONE if self.is_cut else found

    def list_kind(self, kind, *, stale=False):
        self.lists += not stale
        return self._call("list_kind", kind, stale=stale)

    def watch(self, kind, revision, wait_s):
        return self._call("watch", kind, revision, wait_s)

    def interrupt_watches(self, kind):
        self._store.interrupt_watches(kind)

    def read(self, kind, name): ...
    def create(self, kind, name, spec): ...
    def replace(self, kind, name, spec, revision): ...
    def replace_status(self, kind, name, status, revision): ...
    def delete(self, kind, name, revision): ...


class ZoneNode:
    def __init__(self, name, network, address, seeds=(), zone="a"):
        self.name = name
        self.zone = zone
        self.store = CuttableStore(address)
        self.configuration, self.workers = ConfigurationView(), WorkersView()
        self.evacuated = EvacuatedZones()
        self.followers = (
            KindFollower(
                self.store,
                RecordKind.CONFIGURATION,
                self.configuration.apply_listing,
                self.configuration.apply_change,
            ),
            KindFollower(
                self.store,
                RecordKind.WORKERS,
                self.workers.apply_listing,
                self.workers.apply_change,
            ),
            KindFollower(
                self.store,
                RecordKind.EVACUATIONS,
                self.evacuated.apply_listing,
                self.evacuated.apply_change,
                is_known_to_all=False,
            ),
        )
        self.transport = MemoryTransport(name, network)
        membership = MemoryMembership(member(name, zone), network)
        self.transport.start()
        membership.start()
        self.relay = ViewsRelay(self.transport, membership, self.followers, seeds)
        self.stopping = threading.Event()
        for task in (
            *(one.run for one in self.followers),
            self.relay.publish,
            self.relay.subscribe,
        ):
            threading.Thread(target=task, args=(self.stopping,), daemon=True).start()
        threading.Thread(target=self._check, daemon=True).start()

    def _check(self):
        while not self.stopping.wait(CHECK_INTERVAL_S):
            for follower in self.followers:
                follower.check(has_dependents=self.relay.has_dependents())

    def turn_away(self):
        """Have the store refuse this node, its waiting watches included."""
        self.store.is_cut = True
        for follower in self.followers:
            self.store.interrupt_watches(follower.state.kind)

    def serve(self):
        self.store.is_cut = False

    def is_fresh(self):
        """Whether each view is known to be current; a node that follows the store may ask it."""
        return all(
            one.age_s() < MAX_RELAY_AGE_S or (not one.is_relayed and one.confirm())
            for one in self.followers
        )

    def version(self):
        table = self.configuration.table()
        return table.version if table else None

    def knows(self, instance):
        return self.workers.worker(instance) is not None

    def stop(self):
        self.stopping.set()
        self.transport.stop()


class Zone:
    def __init__(self, count, address, seeds=(), others=0):
        """Nodes that are no seeds ask the seeds first; without any all read the store.

        `others` is the number of nodes of a second zone.
        """
        self.network = MemoryNetwork()
        self.seeds = tuple(seeds)
        self.address = address
        self.nodes = {}
        for name in [f"node-{number}" for number in range(count)]:
            self.start(name)
        for name in [f"far-{number}" for number in range(others)]:
            self.start(name, "b")

    def start(self, name, zone="a"):
        """Start a node, also one that has run before."""
        asked = () if name in self.seeds else self.seeds
        self.nodes[name] = ZoneNode(name, self.network, self.address, asked, zone)

    def of_zone(self, zone):
        return [node for node in self.nodes.values() if node.zone == zone]

    def readers(self):
        """The nodes that follow the store for all."""
        chosen = deployment_readers(list(self.network.members.values()))
        return [self.nodes[one.node] for one in chosen]

    def others(self):
        return [one for one in self.nodes.values() if one not in self.readers()]

    def are_told(self):
        """Whether every node but the readers relies on what it is told."""
        return all(each.is_relayed for node in self.others() for each in node.followers)

    def stop(self):
        for node in self.nodes.values():
            node.stop()
