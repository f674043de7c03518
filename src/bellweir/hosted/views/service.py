"""Kernel service `views`: follows the store, directly or through peers."""

import threading
from collections.abc import Sequence

from bellweir.hosted.eligibility.cold_workers import ColdWorkers
from bellweir.hosted.eligibility.evacuated_zones import EvacuatedZones
from bellweir.hosted.entries import EntryValidator
from bellweir.hosted.interface import Listing, RecordChange, RecordKind, RecordStore
from bellweir.hosted.settings import PlacesSettings
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

DEFAULT_PLACES = PlacesSettings()
PEER_COPY_DELAY_S = 0.4
"""Time to wait for the store before copying from a peer."""
PEER_TIMEOUT_S = 0.5
PEER_COPY_INTERVAL_S = 0.2
CHECK_INTERVAL_S = 1.0
"""Interval of stale reads that check the watches, one kind at a time."""
READER_CHECK_INTERVAL_S = 0.5
"""Interval in which every kind is checked at a node that relays to others: what it relays must be
fresh."""
COALESCE_S = 0.8
"""Pause between watches of workers, which batches their changes. Together with a heartbeat and two
message delays it must stay below `MAX_RELAY_AGE_S`."""


class ViewsService(Service):
    """Provides the views of the configuration and the workers in this process."""

    name = names.VIEWS
    dependencies = (names.TRANSPORT, names.MEMBERSHIP)

    def __init__(
        self,
        kernel: Kernel,
        store: RecordStore,
        seeds: Sequence[str] = (),
        seed_wait_s: float = SEED_WAIT_S,
        entries: EntryValidator | None = None,
        places: PlacesSettings = DEFAULT_PLACES,
    ) -> None:
        """`seeds` are peers queried before the store, for at most `seed_wait_s`.

        `entries` filters out unusable entries that peers send. `places` tells whether evacuations
        are followed and whether it is known which workers are cold.
        """
        self._kernel = kernel
        self._seeds = seeds
        self._seed_wait_s = seed_wait_s
        self._checked: list[KindFollower] = []
        self.entries = entries if entries is not None else EntryValidator()
        self.configuration = ConfigurationView(self.entries)
        self.workers = WorkersView()
        self.evacuated = EvacuatedZones()
        self.cold = ColdWorkers(self.evacuated)
        """Knows no worker unless the rate of cold workers is limited."""
        self._limits_cold = places.limit_cold
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
            COALESCE_S,
            on_recovery=self.workers.keep_lapsed_until,
            entries=self.entries,
        )
        self._followers = [self.configuration_follower, self.workers_follower]
        if places.follow_evacuations:
            self._followers.append(self._evacuations_follower(store))
        self._checked += self._followers

    def _evacuations_follower(self, store: RecordStore) -> KindFollower:
        return KindFollower(
            store,
            RecordKind.EVACUATIONS,
            self.evacuated.apply_listing,
            self.evacuated.apply_change,
            entries=self.entries,
            is_known_to_all=False,
        )

    def subscriber_count(self) -> int:
        """Number of nodes subscribed to this node."""
        return self._relay.subscriber_count()

    def is_relayed(self) -> bool:
        """Whether every kind is relayed by peers."""
        return self.configuration_follower.is_relayed and self.workers_follower.is_relayed

    def is_cut_off(self) -> bool:
        """Whether the store does not serve this process, so that it relies on further peers."""
        return self._relay.is_cut_off

    def relayed_as_of_s(self) -> float:
        """Monotonic time up to which peers have relayed all changes of the store."""
        return self._relay.relayed_as_of_s()

    def add_checked_follower(self, follower: KindFollower) -> None:
        """Include another service's follower in the periodic checks."""
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
            self._followers,
            self._seeds,
            self._seed_wait_s,
        )
        run_loop = self._kernel.executors.run_loop
        run_loop("tell-views", self._relay.publish)
        run_loop("subscribe-views", self._relay.subscribe)
        for follower in self._followers:
            run_loop(f"follow-{follower.state.kind}", follower.run)
        run_loop("copy-views", self._copy_from_peers)
        run_loop("check-views", self._check)

    def stop(self) -> None:
        """The tasks end with the executors."""

    def _take_workers(self, listing: Listing) -> None:
        if self._limits_cold:
            # A worker is known to be cold before it can be chosen.
            self.cold.apply_listing(listing)
        self.workers.apply_listing(listing)

    def _take_worker(self, change: RecordChange) -> None:
        if self._limits_cold and not change.deleted:
            self.cold.apply_change(change)
        self.workers.apply_change(change)
        if self._limits_cold and change.deleted:
            self.cold.apply_change(change)

    def _check(self, stopping: threading.Event) -> None:
        """Periodically check for watches that no longer deliver changes."""
        while True:
            for follower in list(self._checked):
                has_dependents = self._relay.has_dependents()
                cycle_s = READER_CHECK_INTERVAL_S / len(self._checked)
                if stopping.wait(cycle_s if has_dependents else CHECK_INTERVAL_S):
                    return
                follower.check(has_dependents=has_dependents)
                self.workers.drop_expired()

    def _copy_from_peers(self, stopping: threading.Event) -> None:
        """Copy the views of peers until a configuration is known."""
        if self.configuration.known.wait(PEER_COPY_DELAY_S):
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
            self.configuration.known.wait(PEER_COPY_INTERVAL_S)
