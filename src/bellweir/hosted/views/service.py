"""Service `views`: follows the store, and a peer until the store has been read."""

import threading
from collections.abc import Sequence

from bellweir.hosted.entries import EntryValidator
from bellweir.hosted.interface import Listing, RecordChange, RecordKind, RecordStore
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.follower import KindFollower
from bellweir.hosted.views.peer_copy import copy_views, register_views
from bellweir.hosted.views.relay import SEED_WAIT_S, ViewsRelay
from bellweir.hosted.views.workers import WorkersView
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.interface import Membership
from bellweir.wire.interface import Transport

PEER_PATIENCE_S = 0.4
"""Time that the store gets before a peer is asked."""
PEER_TIMEOUT_S = 0.5
PEER_PAUSE_S = 0.2
CHECK_PERIOD_S = 1.0
"""Time between two cheap readings; the kinds that a process follows take turns."""
READER_CHECK_CYCLE_S = 0.5
"""Time in which each kind has its turn at a node that others rely on: what it tells must be fresh.
"""
SETTLE_S = 0.8
"""Changes of workers within this time are read by one call. What its reader tells a node must be
known there within `FRESH_S`: this time, a heartbeat and two ways."""


class ViewsService(Service):
    """Configuration and workers as this process knows them."""

    name = names.VIEWS
    dependencies = (names.TRANSPORT, names.MEMBERSHIP)

    def __init__(
        self,
        kernel: Kernel,
        store: RecordStore,
        seeds: Sequence[str] = (),
        seed_wait_s: float = SEED_WAIT_S,
        entries: EntryValidator | None = None,
    ) -> None:
        """`seeds` are peers to be asked before the store; for `seed_wait_s` at most.

        `entries` sorts out what peers tell and nobody can use.
        """
        self._kernel = kernel
        self._seeds = seeds
        self._seed_wait_s = seed_wait_s
        self._checked: list[KindFollower] = []
        self.entries = entries if entries is not None else EntryValidator()
        self.configuration = ConfigurationView(self.entries)
        self.workers = WorkersView()
        self.configuration_follower = KindFollower(
            store,
            RecordKind.CONFIGURATION,
            self.configuration.apply_listing,
            self.configuration.apply_change,
            entries=self.entries,
        )
        self.workers_follower = KindFollower(
            store,
            RecordKind.WORKERS,
            self._take_workers,
            self._take_worker,
            SETTLE_S,
            on_return=self.workers.keep_lapsed_until,
            entries=self.entries,
        )
        self._checked += [self.configuration_follower, self.workers_follower]

    def subscriber_count(self) -> int:
        """Nodes that rely on what this node reads."""
        return self._relay.subscriber_count()

    def is_relayed(self) -> bool:
        """Whether peers tell this node what is new, for every kind."""
        return self.configuration_follower.is_relayed and self.workers_follower.is_relayed

    def is_cut_off(self) -> bool:
        """Whether the store does not serve this process, so that peers are asked."""
        return self._relay.is_cut_off

    def told_as_of_s(self) -> float:
        """Monotonic time as of which peers have told all news: the store served one of them."""
        return self._relay.told_as_of_s()

    def add_checked_follower(self, follower: KindFollower) -> None:
        """Compare another service's view with cheap readings, too."""
        self._checked.append(follower)

    def start(self) -> None:
        """Follow the store, one task for each kind."""
        registry = self._kernel.registry
        self._transport = registry.find(names.TRANSPORT, Transport)  # type: ignore[type-abstract]
        self._membership = registry.find(names.MEMBERSHIP, Membership)  # type: ignore[type-abstract]
        register_views(self._transport, self.configuration, self.workers)
        self._relay = ViewsRelay(
            self._transport,
            self._membership,
            (self.configuration_follower, self.workers_follower),
            self._seeds,
            self._seed_wait_s,
        )
        run_task = self._kernel.executors.run_task
        run_task("tell-views", self._relay.tell)
        run_task("subscribe-views", self._relay.subscribe)
        run_task("follow-configuration", self.configuration_follower.run)
        run_task("follow-workers", self.workers_follower.run)
        run_task("copy-views", self._copy_from_peers)
        run_task("check-views", self._check)

    def stop(self) -> None:
        """The tasks end with the executors."""

    def _take_workers(self, listing: Listing) -> None:
        self.workers.apply_listing(listing)

    def _take_worker(self, change: RecordChange) -> None:
        self.workers.apply_change(change)

    def _check(self, stopping: threading.Event) -> None:
        """Interrupt watches that were cut in silence."""
        while True:
            for follower in list(self._checked):
                is_relied_on = self._relay.is_relied_on()
                cycle_s = READER_CHECK_CYCLE_S / len(self._checked)
                if stopping.wait(cycle_s if is_relied_on else CHECK_PERIOD_S):
                    return
                follower.check()
                self.workers.drop_overdue()

    def _copy_from_peers(self, stopping: threading.Event) -> None:
        """Ask peers in turn while the store has not been read."""
        if self.configuration.known.wait(PEER_PATIENCE_S):
            return
        while not stopping.is_set() and not self.configuration.known.is_set():
            own = self._membership.self_member().node
            for member in self._membership.members():
                if member.node == own or self.configuration.known.is_set():
                    continue
                copy_views(
                    self._transport,
                    member.peer_address,
                    self.configuration,
                    self.workers,
                    PEER_TIMEOUT_S,
                    self.entries,
                )
            self.configuration.known.wait(PEER_PAUSE_S)
