"""Adapts the settings of a hosted process to the packages shared with self-run nodes.

Self-run nodes parse theirs with pydantic, whose import would delay the restart of a hosted
process. The classes here have the same attributes.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, cast

from bellweir.hosted.settings import HostedSettings

if TYPE_CHECKING:
    from bellweir.settings.models import Settings


MS_PER_S = 1000
FIRST_START_JITTER_S = 3.0
"""Maximum random delay of store machines before they create shared objects at the first start.

One machine creates them and notifies the others. Later starts are not delayed.
"""


@dataclass(frozen=True)
class _Node:
    name: str
    zone: str
    region: str
    data_folder: Path | None


@dataclass(frozen=True)
class _Trust:
    cluster_key_files: tuple[Path, ...] = ()


@dataclass(frozen=True)
class _Transport:
    contact_s: float


@dataclass(frozen=True)
class _NetworkFaults:
    file: Path | None = None


@dataclass(frozen=True)
class _Membership:
    seeds: tuple[str, ...]
    probe_period_s: float = 0.6
    probe_timeout_s: float = 0.25
    indirect_probes: int = 2
    suspicion_multiplier: float = 1.5
    exchange_period_s: float = 5.0


@dataclass(frozen=True)
class _Ledger:
    shards: int = 1
    replicas: int = 3
    one_region: bool = False
    heartbeat_s: float = 0.15
    election_timeout_s: float = 0.6
    snapshot_entries: int = 2_048
    creation_wait_s: float = 6.0
    creation_least: int = 1
    creation_spread_s: float = 0.0
    replace_after_s: float = 3.0
    segment_retention_s: float = 172_800.0


@dataclass(frozen=True)
class _Platform:
    object_api: str | None


@dataclass(frozen=True)
class _Settings:
    node: _Node
    trust: _Trust
    transport: _Transport
    network_faults: _NetworkFaults
    membership: _Membership
    ledger: _Ledger
    platform: _Platform


def node_settings(settings: HostedSettings) -> "Settings":
    """Return the settings in the form that the shared packages expect."""
    node = settings.node
    folder = Path(node.data_folder) if node.data_folder is not None else None
    shared = _Settings(
        _Node(node.name, node.zone, node.region, folder),
        _Trust(),
        _Transport(settings.bounds.contact_ms / MS_PER_S),
        _NetworkFaults(),
        _Membership(seeds=seed_addresses(settings)),
        _Ledger(
            replicas=settings.tolerate.replicas,
            one_region=settings.tolerate.zones == 0 and settings.tolerate.regions == 0,
            creation_least=settings.tolerate.machines + 1,
            creation_spread_s=FIRST_START_JITTER_S if node.bootstrap else 0.0,
        ),
        _Platform(settings.store.address),
    )
    return cast("Settings", shared)


def seed_addresses(settings: HostedSettings) -> tuple[str, ...]:
    """Peer addresses of the other seeds: their hosts with the peer port of all machines."""
    hosts = dict.fromkeys(seed.rpartition(":")[0] for seed in settings.node.seeds)
    own = settings.node.ip
    return tuple(f"{host}:{settings.node.peer_port}" for host in hosts if host != own)


def startup_seed_addresses(settings: HostedSettings) -> tuple[str, ...]:
    """Peer addresses that this node queries first at start; empty for a seed.

    Seeds read the platform's store directly, so that at least one node does.
    """
    hosts = {seed.rpartition(":")[0] for seed in settings.node.seeds}
    return () if settings.node.ip in hosts else seed_addresses(settings)
