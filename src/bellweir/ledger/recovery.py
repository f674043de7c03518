"""An operator's recovery of shards whose majority is gone for good."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from bellweir.clients.interface.errors import PlatformError
from bellweir.ledger.entries import ReplicaId
from bellweir.ledger.placement import Placement, PlacementStore, ShardHome


@dataclass(frozen=True)
class RecoveredShard:
    """A shard whose recovery was called for."""

    shard: int
    generation: int
    survivor: ReplicaId


@dataclass(frozen=True)
class RecoveryRefusal:
    """Why nothing was written."""

    detail: str


def call_for_recovery(
    store: PlacementStore, shards: Iterable[int], survivor_node: str
) -> tuple[RecoveredShard, ...] | RecoveryRefusal:
    """Name the replica on `survivor_node` as the only voter of each shard, in the placement.

    The node itself acts on it within seconds. All or nothing: one compare-and-set write.
    """
    found = store.read()
    if isinstance(found, PlatformError):
        return RecoveryRefusal(f"the placement can't be read: {found.detail}")
    placement, version = found
    homes: dict[int, ShardHome] = {}
    for shard in shards:
        home = _recovered_home(placement, shard, survivor_node)
        if isinstance(home, RecoveryRefusal):
            return home
        homes[shard] = home
    failure = store.write(placement.with_homes(homes), version)
    if failure is not None:
        return RecoveryRefusal(f"the placement can't be written: {failure.detail}")
    return tuple(
        RecoveredShard(shard, home.generation, home.survivor)
        for shard, home in homes.items()
        if home.survivor is not None
    )


def _recovered_home(
    placement: Placement, shard: int, survivor_node: str
) -> ShardHome | RecoveryRefusal:
    if not 0 <= shard < placement.shard_count:
        return RecoveryRefusal(f"there is no shard {shard}")
    home = placement.shards[shard]
    survivor = next((one for one in home.replicas.everyone if one.node == survivor_node), None)
    if survivor is None:
        holders = ", ".join(one.node for one in home.replicas.everyone)
        return RecoveryRefusal(f"shard {shard} has no replica on {survivor_node}; on: {holders}")
    return msgspec.structs.replace(home, generation=home.generation + 1, survivor=survivor)
