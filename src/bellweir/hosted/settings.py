"""Settings of a hosted process, read from a file that the platform generates.

All errors are collected with their key path. Unknown keys, as later versions of the platform's
template may have, are ignored and returned so that they can be logged.
"""

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from bellweir.settings.findings import Finding, SettingsError

GATEWAY_ROLE = "gateway"
STORE_ROLE = "store"
ROLES = (GATEWAY_ROLE, STORE_ROLE)
SCALING_POLICIES = ("hold", "replace")


SOURCE = "settings file"
MIN_GRACE_PERIOD_S = 1.0
"""In less a process can't be relied upon to stop before SIGKILL."""
DIGEST = re.compile(r"[0-9a-f]{40}")
MAX_QUEUE_LENGTH = 128
"""Limits the threads of a gateway that wait for one service, so that others stay free to serve."""


class NodeSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Identity, location and role of the process."""

    name: str
    ip: str
    zone: str
    region: str
    peer_port: int
    """TCP and UDP port for other nodes; the same on all machines."""
    seeds: tuple[str, ...] = ()
    """Addresses of some machines, `host:port`; only the hosts are used."""
    data_folder: str | None = None
    role: str = ""
    zones: dict[str, str] | None = None
    """Region of each zone of the deployment, by zone."""
    bootstrap: bool = False
    """Whether the whole system starts for the first time, with empty disks."""


class ListenSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Listen addresses, `host:port`, of the interfaces of the process; None: not served."""

    requests: str | None = None
    readiness: str | None = None
    directory: str | None = None
    metrics: str | None = None


class StoreSettings(msgspec.Struct, frozen=True, rename="camel"):
    """The platform's object store."""

    address: str


class BoundSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Time limits agreed with the operator."""

    lease_ms: float = 3_000.0
    """Milliseconds between the last order of a lease's holder and the first of its successor."""
    grace_period_s: float = 8.0
    """Seconds between SIGTERM and SIGKILL."""
    address_ttl_s: float = 5.0
    """Longest time in seconds for which clients cache an answer of the directory."""
    status_s: float = 120.0
    """Seconds for which a batch job can be read after it has ended."""
    config_ms: float = 2_000.0
    """Milliseconds within which a configuration that the store has taken is in force."""
    contact_ms: float = 3_000.0
    """Milliseconds without a fault after which a node has to know what the others know."""


class TenantSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Handling of known keys while the configuration may be out of date."""

    strict_revoke: bool = False
    """Accept a key only if it was certainly valid `revokeMs` ago. When off, a node that is
    partitioned keeps accepting the keys that it knows."""
    revoke_ms: float = 5_000.0
    """Maximum age in milliseconds of the configuration for its keys to be accepted under
    `strictRevoke`."""


class UsageSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Reports of tenants' usage."""

    address: str | None = None
    """Platform interface that receives the reports, `host:port`; None: no reports."""
    window_s: float = 5.0
    """Length of a reporting window in seconds; windows are aligned to the Unix epoch."""
    late_s: float = 10.0
    """Seconds after the end of a window by which its report is due."""


class ScalingSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Requests to the platform for workers."""

    address: str | None = None
    """Platform interface that receives the requests, `host:port`; None: no requests."""
    policy: str = "replace"
    """`hold` requests nothing; `replace` requests replacements for permanently lost workers."""


class ToleranceSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Simultaneous losses that the system tolerates."""

    machines: int = 1
    """Machines with a data folder whose disks may be lost at the same time."""
    zones: int = 1
    """Zones that may be lost at the same time."""
    regions: int = 1
    """Regions that may be lost at the same time. With no zone and no region to be lost, the
    replicas of batch jobs stand in one region."""

    @property
    def replicas(self) -> int:
        """Replicas needed so that a majority survives, with one that has every committed entry."""
        return 2 * max(1, self.machines) + 1


class BatchSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Scheduling of batch jobs. Each mechanism can be switched off independently."""

    long_first: bool = True
    """Start a job's items in descending order of expected length."""
    choose_by_pace: bool = True
    """Run an item at the worker with a free slot that has the lowest time per event."""
    move_runs: bool = True
    """Resume a run at another worker when its own is silent or much slower."""
    keep_texts_s: float = 1.5
    """Seconds between two checkpoints of an unfinished text in the log; 0: no checkpoints."""
    carry_texts: bool = True
    """Resume texts of an earlier job when a later one submits the same items."""
    guard_refusals: bool = True
    """Send one run at a time to a worker that refuses a model."""
    pass_over_failed: bool = True
    """Avoid a worker for a while after a refusal or failure."""
    set_failing_aside: bool = True
    """Quarantine workers that fail every item while other workers do not. Their failures count
    towards an item only up to one and a half times the allowed number."""
    order_by_need: bool = True
    """When steps of several trainers compete for the same engines, start the items that let the
    most wanted groups finish in time instead of those of the oldest step."""
    place_by_end: bool = False
    """On engines of unequal speed, assign items by expected completion time: long ones may wait
    briefly for a fast engine, short ones take any free slot."""
    count_memory: bool = False
    """Limit the texts at an engine to those that fit in its memory at their maximum length.
    Suits workloads where most texts get that long; otherwise it leaves slots unused."""
    tell_urgency: bool = True
    """Send engines the relative priority of texts."""
    nearby_reads: bool = True
    """Let gateways read results from the replica in their zone."""


class RolloutSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Rollout of model weights."""

    tell_renewals: bool = True
    """Let the lease's holder notify the other store machines of each renewal."""
    sparse_loads: bool = True
    """Let a worker load only the versions required by a trainer's allowed version lag."""
    tell_jobs: bool = True
    """Let the leader of the jobs notify the lease's holder of each trainer's newest job."""
    tell_loads: bool = True
    """Let the lease's holder notify the coordinator of jobs which workers load weights."""


class SightSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Use of gateways' observations of workers. Each can be switched off independently."""

    share: bool = True
    """Exchange observations between gateways."""
    set_aside: bool = True
    """Eject workers that perform worse than the others of their service; they get probes only."""
    choose_by_all: bool = True
    """Choose workers by the requests and latencies of all gateways, where others sent any."""
    use_worker_load: bool = True
    """Include the load that workers report, weighted by its age, in the choice."""
    patience_of_fellows: bool = False
    """Derive the timeout of the first attempt from the latency of the worker's whole service."""
    try_share: float = 0.5
    """Retry budget of all gateways for a service, as a share of first attempts; ten more are
    always allowed. 0: unlimited."""


class RoomSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Admission of plain requests at saturated services. Each mechanism has its own switch."""

    queue: bool = True
    """Queue requests that would be slightly late, in a priority order of the gateway."""
    refuse_hopeless: bool = True
    """Refuse requests at once that certainly cannot meet their deadline."""
    shed: bool = True
    """Refuse requests at once that would be late because of the requests ahead of them."""
    reserve: bool = True
    """Reserve capacity for tenants within their fair share and for more urgent requests."""
    return_from_room: bool = True
    """Compute `Retry-After` from the expected time until a slot is free."""
    send_urgency: bool = True
    """Send engines the priority of the tenant or, without one, of the route."""
    wait_share: float = 0.125
    """Longest time in the queue, as a share of the route's target time."""
    longest_queue: int = 64
    """Maximum number of queued requests per service; each blocks a thread."""


class PlacesSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Constraints on where work is placed. Each can be switched off independently."""

    follow_evacuations: bool = False
    """Send nothing to workers of zones that the operator evacuates."""
    limit_cold: bool = False
    """Limit the requests that all processes together send to a cold worker."""
    cold_over: float = 1.0
    """With `coldSlack`: a cold worker must never get more requests in a second than its service's
    rate times `coldOver`, plus `coldSlack`."""
    cold_slack: float = 0.0
    region_round_trip_ms: float = 16.0
    """What a request to a worker of another region takes longer than one in the same region."""


class CrashSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Requests that crash the workers that run them."""

    quarantine: bool = True
    """Send a request to no worker for a while once three have ended while they ran it."""
    lifted: tuple[str, ...] = ()
    """Digests, as logged, of requests that are sent all the same. Changes apply on SIGHUP."""


class MemorySettings(msgspec.Struct, frozen=True, rename="camel"):
    """Memory of the process."""

    limit_mb: float = 512.0
    """Memory in MiB beyond which the platform ends the process."""
    answers_share: float = 0.125
    """Share of it that answers of workers and of the platform may hold while they are read; one
    that finds too little of it left counts as broken."""

    @property
    def answer_bytes(self) -> int:
        """Bytes that answers may hold together."""
        return int(self.answers_share * self.limit_mb * (1 << 20))


class HostedSettings(msgspec.Struct, frozen=True, rename="camel"):
    """All settings of a process."""

    node: NodeSettings
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()
    tenants: TenantSettings = TenantSettings()
    usage: UsageSettings = UsageSettings()
    scaling: ScalingSettings = ScalingSettings()
    tolerate: ToleranceSettings = ToleranceSettings()
    batches: BatchSettings = BatchSettings()
    rollouts: RolloutSettings = RolloutSettings()
    sight: SightSettings = SightSettings()
    room: RoomSettings = RoomSettings()
    places: PlacesSettings = PlacesSettings()
    crashes: CrashSettings = CrashSettings()
    memory: MemorySettings = MemorySettings()


@dataclass(frozen=True)
class LoadedSettings:
    """Parsed settings and the unknown keys of the file."""

    settings: HostedSettings
    unknown_keys: tuple[str, ...] = field(default=())


def load_settings(path: Path) -> LoadedSettings:
    """Read and validate a settings file. Raises `SettingsError`."""
    try:
        content = path.read_bytes()
    except OSError as exc:
        raise SettingsError((_finding("", str(exc), "a readable file"),)) from exc
    return parse_settings(content)


def parse_settings(content: bytes) -> LoadedSettings:
    """Parse and validate settings in JSON. Raises `SettingsError` with all findings."""
    try:
        raw = msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise SettingsError((_finding("", str(exc), "JSON"),)) from exc
    findings = list(_check_struct("", raw, HostedSettings))
    if findings:
        raise SettingsError(tuple(findings))
    settings = msgspec.convert(raw, HostedSettings)
    findings = list(_check_values(settings))
    if findings:
        raise SettingsError(tuple(findings))
    return LoadedSettings(settings, tuple(_unknown_keys("", raw, HostedSettings)))


def _check_struct(key_path: str, raw: Any, expected: type[msgspec.Struct]) -> Iterator[Finding]:
    """Check each key separately, so that one invalid key does not hide another."""
    if not isinstance(raw, Mapping):
        yield _finding(key_path, repr(raw)[:60], "a table")
        return
    for known in msgspec.structs.fields(expected):
        child_path = f"{key_path}.{known.encode_name}".lstrip(".")
        if known.encode_name not in raw:
            if known.required:
                yield _finding(child_path, "nothing", "a value")
        elif isinstance(known.type, type) and issubclass(known.type, msgspec.Struct):
            yield from _check_struct(child_path, raw[known.encode_name], known.type)
        else:
            yield from _check_value(child_path, raw[known.encode_name], known.type)


def _check_value(child_path: str, raw: Any, expected: Any) -> Iterator[Finding]:
    try:
        msgspec.convert(raw, expected)
    except msgspec.ValidationError as exc:
        yield _finding(child_path, repr(raw)[:60], str(exc))


def _unknown_keys(key_path: str, raw: Any, expected: type[msgspec.Struct]) -> Iterator[str]:
    known = {each.encode_name: each.type for each in msgspec.structs.fields(expected)}
    for key, value in raw.items():
        child_path = f"{key_path}.{key}".lstrip(".")
        if key not in known:
            yield child_path
        elif isinstance(known[key], type) and issubclass(known[key], msgspec.Struct):
            yield from _unknown_keys(child_path, value, known[key])


def _check_values(settings: HostedSettings) -> Iterator[Finding]:
    if settings.node.role not in ROLES:
        yield _finding("node.role", settings.node.role, ", ".join(ROLES))
    if settings.node.role == STORE_ROLE and settings.node.data_folder is None:
        yield _finding("node.dataFolder", "nothing", "a folder, for the role store")
    if not 0 < settings.node.peer_port <= 65_535:
        yield _finding("node.peerPort", str(settings.node.peer_port), "1 to 65535")
    yield from _check_addresses(settings)
    if settings.tolerate.machines < 0:
        yield _finding("tolerate.machines", str(settings.tolerate.machines), "0 or more")
    if settings.batches.keep_texts_s < 0:
        yield _finding("batches.keepTextsS", str(settings.batches.keep_texts_s), "0 or more")
    if settings.sight.try_share < 0:
        yield _finding("sight.tryShare", str(settings.sight.try_share), "0 or more")
    if not 0 <= settings.room.wait_share <= 1:
        yield _finding("room.waitShare", str(settings.room.wait_share), "0 to 1")
    if not 1 <= settings.room.longest_queue <= MAX_QUEUE_LENGTH:
        yield _finding(
            "room.longestQueue", str(settings.room.longest_queue), f"1 to {MAX_QUEUE_LENGTH}"
        )
    if settings.places.cold_over < 1:
        yield _finding("places.coldOver", str(settings.places.cold_over), "1 or more")
    if settings.places.cold_slack < 0:
        yield _finding("places.coldSlack", str(settings.places.cold_slack), "0 or more")
    if settings.places.region_round_trip_ms < 0:
        yield _finding(
            "places.regionRoundTripMs", str(settings.places.region_round_trip_ms), "0 or more"
        )
    if settings.memory.limit_mb <= 0:
        yield _finding("memory.limitMb", str(settings.memory.limit_mb), "above 0")
    if not 0 < settings.memory.answers_share <= 1:
        yield _finding(
            "memory.answersShare", str(settings.memory.answers_share), "above 0, up to 1"
        )
    for digest in settings.crashes.lifted:
        if not DIGEST.fullmatch(digest):
            yield _finding("crashes.lifted", digest, "40 hexadecimal digits")
    if settings.bounds.lease_ms <= 0:
        yield _finding("bounds.leaseMs", str(settings.bounds.lease_ms), "above 0")
    if settings.scaling.policy not in SCALING_POLICIES:
        yield _finding("scaling.policy", settings.scaling.policy, ", ".join(SCALING_POLICIES))
    if settings.tenants.revoke_ms <= 0:
        yield _finding("tenants.revokeMs", str(settings.tenants.revoke_ms), "above 0")
    if settings.usage.window_s <= 0:
        yield _finding("usage.windowS", str(settings.usage.window_s), "above 0")
    if settings.usage.late_s <= 0:
        yield _finding("usage.lateS", str(settings.usage.late_s), "above 0")
    if settings.bounds.config_ms <= 0:
        yield _finding("bounds.configMs", str(settings.bounds.config_ms), "above 0")
    if settings.bounds.contact_ms <= 0:
        yield _finding("bounds.contactMs", str(settings.bounds.contact_ms), "above 0")
    if settings.bounds.grace_period_s < MIN_GRACE_PERIOD_S:
        allowed = f"{MIN_GRACE_PERIOD_S:g} or more"
        yield _finding("bounds.gracePeriodS", str(settings.bounds.grace_period_s), allowed)


def _check_addresses(settings: HostedSettings) -> Iterator[Finding]:
    addresses = {
        "listen.requests": settings.listen.requests,
        "listen.readiness": settings.listen.readiness,
        "listen.directory": settings.listen.directory,
        "listen.metrics": settings.listen.metrics,
        "store.address": settings.store.address,
        "usage.address": settings.usage.address,
        "scaling.address": settings.scaling.address,
    }
    addresses |= {f"node.seeds.{number}": seed for number, seed in enumerate(settings.node.seeds)}
    for key_path, address in addresses.items():
        if address is not None and not _is_address(address):
            yield _finding(key_path, repr(address), "host:port")


def _is_address(address: str) -> bool:
    host, separator, port = address.rpartition(":")
    return bool(separator and host) and port.isdigit() and 0 < int(port) <= 65_535


def _finding(key_path: str, found: str, allowed: str) -> Finding:
    return Finding(SOURCE, key_path, found, allowed)
