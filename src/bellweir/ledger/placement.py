"""The placement of the ledger: how many shards there are and where each one began.

The platform's store holds one `LedgerPlacement` object. Whoever creates it by compare-and-set
decides the number of shards and their first voters, by identity (node and disk), so that a voter
whose disk is lost can never start as that voter again. Later changes of a shard's replicas are
entries of its own log, and the store is only told of them. So the store may be down at any later
time: every node with a data folder keeps the placement in a file.
"""

import uuid
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import cbor2
import msgspec
import xxhash
from returns.pipeline import is_successful

from bellweir.clients.interface.errors import ErrorKind, PlatformError
from bellweir.clients.interface.object_store import ObjectStore, StoredObject
from bellweir.ledger.durable_files import replace_file, sync_folder
from bellweir.ledger.entries import ReplicaId, ReplicaSet
from bellweir.resources.api_version import API_VERSION

PLACEMENT_KIND = "LedgerPlacement"
PLACEMENT_NAME = "ledger"
PLACEMENT_FILE = "ledger-placement.cbor"


class ShardHome(msgspec.Struct, frozen=True):
    """Where a shard is."""

    generation: int
    """Counts recoveries by an operator."""
    first_voters: tuple[ReplicaId, ...]
    """Voters of the empty log of generation 1."""
    replicas: ReplicaSet
    """As last published by its leader; for the eyes of operators and for finding it."""
    replicas_index: int = 0
    """Index of the log entry that `replicas` came with; the newer one is kept."""
    survivor: ReplicaId | None = None
    """The replica that an operator named to begin this generation."""

    def age(self) -> tuple[int, int]:
        """Orders copies of one shard's home."""
        return (self.generation, self.replicas_index)

    @property
    def first_replicas(self) -> ReplicaSet:
        """Replica set of the empty log of generation 1."""
        return ReplicaSet(self.first_voters)


class Placement(msgspec.Struct, frozen=True):
    """Contents of the placement object."""

    shards: tuple[ShardHome, ...]

    @property
    def shard_count(self) -> int:
        """Number of shards."""
        return len(self.shards)

    def with_homes(self, changed: Mapping[int, ShardHome]) -> "Placement":
        """The placement with other homes of some shards."""
        homes = [changed.get(shard, home) for shard, home in enumerate(self.shards)]
        return Placement(tuple(homes))

    def merged(self, other: "Placement") -> "Placement":
        """The newer home of each shard, of this placement and another copy of it."""
        homes = [
            max(own, their, key=ShardHome.age)
            for own, their in zip(self.shards, other.shards, strict=True)
        ]
        return Placement(tuple(homes))


class PlacementCandidate(msgspec.Struct, frozen=True):
    """A node with a data folder that could hold replicas."""

    replica: ReplicaId
    zone: str
    region: str = ""
    """Empty where replicas may stand in any region."""


def choose_voters(
    shard: int,
    candidates: Sequence[PlacementCandidate],
    count: int,
    taken: Sequence[PlacementCandidate] = (),
) -> tuple[ReplicaId, ...]:
    """Choose `count` candidates for a shard by rendezvous hash, spread evenly over the zones.

    Each is taken from a zone with the fewest replicas so far. `taken` are the candidates whose
    replicas stay, so that a replacement fills the zone that has lost one. Where candidates name
    regions, all are taken from one region as long as it has any (`shared_region`).
    """
    region = shared_region(candidates, taken)
    ranked = sorted(
        candidates, key=lambda one: xxhash.xxh3_64_intdigest(f"{shard}/{one.replica.node}".encode())
    )
    replicas_in = Counter(one.zone for one in taken)
    chosen: list[ReplicaId] = []
    while ranked and len(chosen) < count:
        # The first of equals: the order of the hash decides.
        best = min(ranked, key=lambda one: (one.region != region, replicas_in[one.zone]))
        ranked.remove(best)
        replicas_in[best.zone] += 1
        chosen.append(best.replica)
    return tuple(chosen)


def shared_region(
    candidates: Sequence[PlacementCandidate], taken: Sequence[PlacementCandidate]
) -> str:
    """Return the region of most replicas that stay, or without any the one with most candidates.

    >>> a, b = ReplicaId("a", "disk"), ReplicaId("b", "disk")
    >>> near, far = PlacementCandidate(a, "z", "north"), PlacementCandidate(b, "y", "south")
    >>> shared_region([near, far], [far]), shared_region([near, far], [])
    ('south', 'north')
    """
    counts = Counter(one.region for one in taken or candidates)
    return min(counts, key=lambda region: (-counts[region], region), default="")


def first_placement(
    shard_count: int, candidates: Sequence[PlacementCandidate], replicas: int
) -> Placement:
    """The placement a new cluster begins with."""
    homes = []
    for shard in range(shard_count):
        voters = choose_voters(shard, candidates, replicas)
        homes.append(ShardHome(1, voters, ReplicaSet(voters)))
    return Placement(tuple(homes))


def document_of(placement: Placement) -> dict[str, Any]:
    """The placement as a resource document."""
    return {
        "apiVersion": API_VERSION,
        "kind": PLACEMENT_KIND,
        "metadata": {"name": PLACEMENT_NAME},
        "spec": msgspec.to_builtins(placement),
    }


def placement_of(stored: StoredObject) -> Placement:
    """Inverse of `document_of`; raises `msgspec.ValidationError` on a malformed document."""
    return msgspec.convert(stored.document["spec"], Placement)


class PlacementStore:
    """The placement object, with its compare-and-set."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def read(self) -> tuple[Placement, int] | PlatformError:
        """The placement and its version, or why there is none."""
        found = self._store.get(PLACEMENT_KIND, PLACEMENT_NAME)
        if not is_successful(found):
            return found.failure()
        stored = found.unwrap()
        try:
            return placement_of(stored), stored.version
        except (msgspec.ValidationError, KeyError) as failure:
            detail = f"a placement that can't be read: {type(failure).__name__}"
            return PlatformError(ErrorKind.INVALID, detail)

    def write(self, placement: Placement, expected_version: int) -> PlatformError | None:
        """Write it over the expected version (0 creates); None on success.

        After a lost answer the writer reads the object again like anybody else.
        """
        document = document_of(placement)
        written = self._store.put(document, expected_version, uuid.uuid4().hex)
        return None if is_successful(written) else written.failure()


def is_missing(found: object) -> bool:
    """Whether the store surely has no placement."""
    return isinstance(found, PlatformError) and found.kind is ErrorKind.NOT_FOUND


def save_placement(folder: Path, placement: Placement) -> None:
    """Keep a copy in the data folder, durable on return; raises `OSError`.

    A loss of power in the middle leaves the former copy.
    """
    data = cbor2.dumps(msgspec.to_builtins(placement))
    replace_file(folder / PLACEMENT_FILE, xxhash.xxh3_64_digest(data) + data)


def load_placement(folder: Path) -> Placement | None:
    """The copy in the data folder; None when there is none or it is damaged."""
    path = folder / PLACEMENT_FILE
    if not path.exists():
        return None
    # Whoever saved it may have been killed before its name was durable.
    sync_folder(folder)
    content = path.read_bytes()
    digest, data = content[:8], content[8:]
    if xxhash.xxh3_64_digest(data) != digest:
        return None
    return msgspec.convert(cbor2.loads(data), Placement)
