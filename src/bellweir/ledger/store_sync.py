"""The platform's store's side of the placement: creating it, recoveries and publishing.

It has a task of its own, because the store may be slow, down or hang.
"""

import random

from bellweir.clients.interface.errors import PlatformError
from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.ledger.keeper import PlacementKeeper
from bellweir.ledger.log_events import LEDGER_CREATED, PLACEMENT_WRITE_FAILED
from bellweir.ledger.node import LedgerNode
from bellweir.ledger.placement import Placement, PlacementStore, is_missing

LEADERLESS_LOOK_S = 2.0
"""Time without a leader after which, and period in which, the store is asked for a recovery."""
RETRY_PUBLISH_S = 5.0
"""Pause after the store did not take what is to be published."""


class StoreSync:
    """`step` is called a few times a second by one task."""

    def __init__(
        self,
        node: LedgerNode,
        keeper: PlacementKeeper,
        store: PlacementStore,
        clock: Clock,
        first_read_spread_s: float = 0.0,
        generator: random.Random | None = None,
    ) -> None:
        """Without a placement the store is asked within `first_read_spread_s`, at random."""
        spread_s = (generator or random.Random()).uniform(0.0, first_read_spread_s)
        self._read_from_s = clock.monotonic_s() + spread_s
        self._node = node
        self._keeper = keeper
        self._store = store
        self._clock = clock
        self._leaderless_since_s: float | None = None
        self._look_due_s = 0.0
        self._looked = False
        self._publish_due_s = 0.0

    def step(self) -> bool:
        """Read or create the placement; then look for recoveries, and publish.

        Returns False: the store is priced, so no step is sooner than another.
        """
        placement = self._keeper.placement
        if placement is None:
            if self._clock.monotonic_s() >= self._read_from_s:
                self._read_or_create()
            return False
        if self._may_be_recovered():
            self._look_for_recovery()
        if self._clock.monotonic_s() >= self._publish_due_s:
            self._publish(placement)
        return False

    def _read_or_create(self) -> None:
        found = self._store.read()
        if not isinstance(found, PlatformError):
            self._keeper.adopt(found[0])
            return
        placement = self._keeper.new_placement() if is_missing(found) else None
        if placement is None:
            return
        if self._store.write(placement, 0) is not None:
            # Somebody else was first, or the answer was lost: the next step reads it.
            return
        emit(LEDGER_CREATED, shards=placement.shard_count)
        self._keeper.adopt(placement)

    def _may_be_recovered(self) -> bool:
        """Once at the start, and while a shard here has had no leader for long."""
        now_s = self._clock.monotonic_s()
        if all(replica.leader is not None for replica in self._node.replicas()):
            self._leaderless_since_s = None
            return False
        if self._leaderless_since_s is None:
            self._leaderless_since_s = now_s
        waited = now_s - self._leaderless_since_s >= LEADERLESS_LOOK_S
        return now_s >= self._look_due_s and (waited or not self._looked)

    def _look_for_recovery(self) -> None:
        self._look_due_s = self._clock.monotonic_s() + LEADERLESS_LOOK_S
        found = self._store.read()
        if not isinstance(found, PlatformError):
            self._looked = True
            self._keeper.adopt(found[0])

    def _publish(self, known: Placement) -> None:
        """Tell the store of settled replica sets; nothing waits for it."""
        changed = {
            replica.shard: replica.home(known.shards[replica.shard])
            for replica in self._keeper.led()
            if replica.is_settled() and known.shards[replica.shard].replicas != replica.log.replicas
        }
        if not changed:
            return
        found = self._store.read()
        if isinstance(found, PlatformError):
            self._failed(found)
            return
        placement, version = found
        updated = placement.merged(known).with_homes(changed)
        failure = self._store.write(updated, version)
        if failure is not None:
            self._failed(failure)
            return
        self._keeper.adopt(updated)

    def _failed(self, failure: PlatformError) -> None:
        self._publish_due_s = self._clock.monotonic_s() + RETRY_PUBLISH_S
        emit(PLACEMENT_WRITE_FAILED, detail=failure.detail)
