"""Settings of a node: one class for each concern.

Every setting has its meaning, unit and default under it. Unknown keys are findings.
"""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field


class Concern(BaseModel):
    """Base of all concerns: unknown keys refused, immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeIdentity(Concern):
    """Who and where this node is."""

    name: str
    """Unique name of the node."""
    zone: str = "zone-1"
    """Zone the node runs in."""
    region: str = "region-1"
    """Region the zone belongs to."""
    host: str = "127.0.0.1"
    """IP number the node listens on and is reached at."""
    peer_port: int = Field(default=0, ge=0, le=65535)
    """Port for other nodes, TCP and UDP; 0 lets the system choose."""
    gateway_port: int = Field(default=0, ge=0, le=65535)
    """Port for callers, trainers and operators; 0 lets the system choose."""
    data_folder: Path | None = None
    """Folder for ledger replicas; none means that the node keeps nothing."""
    ready_file: Path | None = None
    """File written with the node's addresses as JSON once it is up; for supervisors."""


class PlatformSettings(Concern):
    """Addresses of the platform's services, `host:port`."""

    object_api: str | None = None
    machine_list: str | None = None
    weight_store: str | None = None
    timeout_s: float = Field(default=5.0, gt=0)
    """Time-out of a call to the platform's services, in seconds. Default 5."""


class MembershipSettings(Concern):
    """Failure detection."""

    seeds: tuple[str, ...] = ()
    """Peer addresses, `host:port`, of a few nodes to join through."""
    probe_period_s: float = Field(default=1.0, gt=0)
    """Time between two direct probes, in seconds. Default 1."""
    probe_timeout_s: float = Field(default=0.5, gt=0)
    """Time after which indirect probes begin, in seconds. Default 0.5."""
    indirect_probes: int = Field(default=3, ge=0)
    """Members asked to probe on this node's behalf. Default 3."""
    suspicion_multiplier: float = Field(default=1.5, gt=0)
    """A suspect is dead after this many probe periods times log10(members + 1), and not before
    two probe periods. Default 1.5."""
    exchange_period_s: float = Field(default=5.0, gt=0)
    """Mean time between comparisons of member lists with a random peer, in seconds. Default 5."""


class ConfigurationSettings(Concern):
    """Spreading of the configuration."""

    fanout: int = Field(default=4, ge=1)
    """Peers that a node pushes a change to. Default 4."""
    anti_entropy_period_s: float = Field(default=1.0, gt=0)
    """Time between comparisons with a random peer, in seconds. Default 1."""
    machine_list_period_s: float = Field(default=1.0, gt=0)
    """Time between two readings of the platform's machine list by anyone, in seconds; the zones'
    readers take turns. Default 2."""


class RoutingSettings(Concern):
    """Routing over back ends."""

    report_period_s: float = Field(default=0.5, gt=0)
    """Time between probes of an owned worker, in seconds. Default 0.5."""
    circuit_failures: int = Field(default=3, ge=1)
    """Consecutive failures that open a back end's circuit. Default 3."""
    circuit_open_s: float = Field(default=2.0, gt=0)
    """Time until a half-open probe, in seconds. Default 2."""
    draft_share: float = Field(default=0.5, gt=0, le=1)
    """Share of an engine's batch that drafts may fill while callers use it too. Default 0.5."""


class GatewaySettings(Concern):
    """The HTTP interface."""

    threads: int = Field(default=256, ge=4)
    """Request threads; each streaming answer holds one. Default 256."""
    maximum_body_bytes: int = Field(default=1 << 30, ge=1024)
    """Longest accepted request body, in bytes. Default 1 GiB."""
    drain_grace_s: float = Field(default=2.0, ge=0)
    """Time between reporting not ready and refusing new work at a planned stop, in seconds.
    Default 2."""
    tokens_file: Path | None = None
    """TOML file of bearer tokens and their roles; none leaves the interface open."""


class LedgerSettings(Concern):
    """The replicated log."""

    shards: int = Field(default=8, ge=1)
    """Number of shards; fixed for the life of a cluster. Default 8."""
    replicas: int = Field(default=3, ge=1)
    """Replicas of each shard, in different zones where possible. Default 3."""
    one_region: bool = False
    """Whether the replicas of a shard stand in one region while it has nodes for them: commits
    and results then don't cross regions, but the loss of that region is not tolerated. Default
    false."""
    heartbeat_s: float = Field(default=0.4, gt=0)
    """Time between a leader's heartbeats, in seconds. Default 0.4."""
    election_timeout_s: float = Field(default=1.0, gt=0)
    """Shortest time without a leader before an election, in seconds. Default 1."""
    snapshot_entries: int = Field(default=4096, ge=16)
    """Log entries after which a snapshot is taken. Default 4096."""
    creation_wait_s: float = Field(default=3.0, ge=0)
    """Time for which the first node waits for others to share a new ledger with, in seconds.
    Default 3."""
    creation_least: int = Field(default=1, ge=1)
    """Nodes that must answer for a new ledger to be created, however long that takes: one more
    than the disks that may be lost. Default 1, for trials on one node."""
    creation_spread_s: float = Field(default=0.0, ge=0)
    """Longest delay, drawn by each node, before one without a placement asks the store, in
    seconds: where many start together the others learn it from peers. Default 0."""
    replace_after_s: float = Field(default=20.0, gt=0)
    """Time after which a silent replica is replaced by one on another node, in seconds.
    Default 20."""
    segment_retention_s: float = Field(default=172_800.0, gt=0)
    """Time for which bulk data, such as samples, is kept, in seconds. Default two days."""


class SamplesSettings(Concern):
    """Training steps."""

    concurrency: int = Field(default=128, ge=1)
    """Generations that one node runs at once for training steps. Default 128."""
    duplicate_budget: float = Field(default=0.05, ge=0, le=1)
    """Share of a step's slots that may run twice near its end. Default 0.05."""
    lease_s: float = Field(default=5.0, gt=0)
    """Time without a report after which an attempt's slot is given to another node, in seconds.
    Default 5."""
    drain_patience_s: float = Field(default=3.0, ge=0)
    """Time for running attempts to end by themselves at a planned stop, in seconds; then others go
    on with their tokens. Default 3."""


class WeightsSettings(Concern):
    """Rolling out weight versions."""

    order_period_s: float = Field(default=0.5, gt=0)
    """Time between comparisons of orders with what engines hold, in seconds. Default 0.5."""
    store_readers: int = Field(default=3, ge=1)
    """Engines of a pool that read one version from the weight store at once. Default 3."""
    fanout: int = Field(default=2, ge=1)
    """Engines that fetch a version from the same engine at once. Default 2."""
    permit_s: float = Field(default=30.0, gt=0)
    """Time after which a swap that came to nothing counts as over, in seconds. Default 30."""
    floor_patience_s: float = Field(default=30.0, ge=0)
    """Time for which a pool's floor may keep back every swap; then one engine at a time goes
    below it. In seconds, default 30."""


class TrustSettings(Concern):
    """Keys between nodes."""

    cluster_key_files: tuple[Path, ...] = ()
    """Files with cluster keys, one on each line; the first signs, all are accepted. Read again
    when they change. None means an open cluster."""


class TransportSettings(Concern):
    """Connections between nodes."""

    contact_s: float = Field(default=3.0, gt=0)
    """Time within which a connection that went silent is replaced, in seconds. Default 3."""


class NetworkFaultSettings(Concern):
    """Faults between nodes, for rehearsals only."""

    file: Path | None = None
    """JSON file of rules, read again when it changes; none, as in service, disturbs nothing."""


class LogSettings(Concern):
    """Logs."""

    level: str = Field(default="info", pattern="^(debug|info|warning|error)$")
    """Lowest level written. Default info."""
    format: str = Field(default="json", pattern="^(json|console)$")
    """JSON lines or console. Default json."""


class Settings(Concern):
    """All settings of a node."""

    node: NodeIdentity
    platform: PlatformSettings = Field(default_factory=PlatformSettings)
    membership: MembershipSettings = Field(default_factory=MembershipSettings)
    configuration: ConfigurationSettings = Field(default_factory=ConfigurationSettings)
    routing: RoutingSettings = Field(default_factory=RoutingSettings)
    gateway: GatewaySettings = Field(default_factory=GatewaySettings)
    ledger: LedgerSettings = Field(default_factory=LedgerSettings)
    samples: SamplesSettings = Field(default_factory=SamplesSettings)
    weights: WeightsSettings = Field(default_factory=WeightsSettings)
    trust: TrustSettings = Field(default_factory=TrustSettings)
    transport: TransportSettings = Field(default_factory=TransportSettings)
    network_faults: NetworkFaultSettings = Field(default_factory=NetworkFaultSettings)
    log: LogSettings = Field(default_factory=LogSettings)
