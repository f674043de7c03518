"""Settings of a hosted process: read from the file that the platform fills in, checked whole.

All findings are collected with their place. Unknown keys belong to later versions of the
platform's template and are left alone; they are returned so that they can be logged.
"""

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
MAX_QUEUE_LENGTH = 128
"""Threads of a gateway that may wait for one service; the others go on serving."""


class NodeSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Who and where the process is."""

    name: str
    ip: str
    zone: str
    region: str
    peer_port: int
    """TCP and UDP port for other nodes; alike on all machines."""
    seeds: tuple[str, ...] = ()
    """Addresses of a few machines, `host:port`; only their IP numbers count."""
    data_folder: str | None = None
    role: str = ""
    bootstrap: bool = False
    """Whether the whole system starts for the first time, with empty disks."""


class ListenSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Addresses, `host:port`, of the interfaces that the process serves; None: not served."""

    requests: str | None = None
    readiness: str | None = None
    directory: str | None = None
    metrics: str | None = None


class StoreSettings(msgspec.Struct, frozen=True, rename="camel"):
    """The platform's object store."""

    address: str


class BoundSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Time bounds that the operator has agreed on."""

    lease_ms: float = 3_000.0
    """Time between the orders of two holders of a lease."""
    grace_period_s: float = 8.0
    """Time from SIGTERM to SIGKILL."""
    address_ttl_s: float = 5.0
    """Longest time for which clients keep the directory's answer."""
    status_s: float = 120.0
    """Time for which an ended batch job can be read."""


class TenantSettings(msgspec.Struct, frozen=True, rename="camel"):
    """What becomes of a known key while the configuration may be old."""

    strict_revoke: bool = False
    """Whether a key is accepted only while it surely was there `revokeMs` ago. Without it a node
    that is cut off goes on serving the keys that it knows."""
    revoke_ms: float = 5_000.0
    """Age of the configuration up to which its keys are accepted, if they are revoked strictly."""


class UsageSettings(msgspec.Struct, frozen=True, rename="camel"):
    """Reports of what tenants use."""

    address: str | None = None
    """Interface of the platform that takes the reports, `host:port`; None: none are due."""
    window_s: float = 5.0
    """Length of a window; window k begins k times as long after the beginning of 1970."""
    late_s: float = 10.0
    """Time after a window's end by which its report is due."""


class ScalingSettings(msgspec.Struct, frozen=True, rename="camel"):
    """How many workers are ordered."""

    address: str | None = None
    """Interface of the platform that takes the orders, `host:port`; None: none are given."""
    policy: str = "replace"
    """`hold` orders nothing, `replace` has workers replaced that are gone for good."""


class ToleranceSettings(msgspec.Struct, frozen=True, rename="camel"):
    """What may be lost at once."""

    machines: int = 1
    """Machines with a data folder whose disks may be lost together."""

    @property
    def replicas(self) -> int:
        """Replicas of which a majority is left after the loss, and one that has every commit."""
        return 2 * max(1, self.machines) + 1


class BatchSettings(msgspec.Struct, frozen=True, rename="camel"):
    """How batch jobs are worked through. Each mechanism can be switched off by itself."""

    long_first: bool = True
    """Begin a job's items with the texts that are expected to be longest."""
    choose_by_pace: bool = True
    """Run a text at the fastest worker with room, by the pace of its events."""
    move_runs: bool = True
    """Have a run go on at another worker when its own is silent or much slower."""
    keep_texts_s: float = 1.5
    """Seconds between two parts of a text in the making that the log keeps; 0: none."""
    carry_texts: bool = True
    """Go on with texts of an earlier job where a later one hands in the same items."""
    guard_refusals: bool = True
    """Send one run at a time to a worker that refuses a model."""
    pass_over_failed: bool = True
    """Pass workers over for a while after a refusal or failure."""
    set_failing_aside: bool = True
    """Leave workers alone for a while that fail everything while their fellows don't; their
    failures count for an item only towards one and a half times the allowed number."""
    order_by_need: bool = True
    """Where steps of several trainers want the same engines, begin with what lets most of the
    groups that trainers wait for be in time, instead of with the oldest step."""
    place_by_end: bool = False
    """Where engines are uneven, place texts by when they would end there: long ones may wait a
    moment for a fast engine, short ones take what is free."""
    count_memory: bool = False
    """Run no more texts at an engine than its memory has room for if each gets as long as it may.
    For engines whose texts mostly do; where most are short it leaves places empty."""
    tell_urgency: bool = True
    """Tell engines which texts are less urgent than others."""
    nearby_reads: bool = True
    """Have gateways read results from the replica of their zone."""


class RolloutSettings(msgspec.Struct, frozen=True, rename="camel"):
    """How weights are rolled out."""

    tell_renewals: bool = True
    """Have the lease's holder tell the other store machines of each renewal."""
    sparse_loads: bool = True
    """Have a worker load only the versions that a trainer's allowance makes necessary."""
    tell_jobs: bool = True
    """Have the jobs' leader tell the lease's holder of each trainer's newest job."""
    tell_loads: bool = True
    """Have the lease's holder tell the node that runs jobs which workers load."""


class SightSettings(msgspec.Struct, frozen=True, rename="camel"):
    """What gateways make of what they see of workers. Each can be switched off by itself."""

    share: bool = True
    """Have gateways tell each other what they see."""
    set_aside: bool = True
    """Have workers that do worse than their fellows get trials only."""
    choose_by_all: bool = True
    """Choose a worker by the requests and times of all gateways, where others told any."""
    use_worker_load: bool = True
    """Use the load that workers tell of themselves in the choice, by its age."""
    patience_of_fellows: bool = False
    """Give a first try up after the time that its worker's fellows take."""
    try_share: float = 0.5
    """Further tries of all gateways for a service, as a share of first ones, ten more always being
    allowed; 0: no bound."""


class RoomSettings(msgspec.Struct, frozen=True, rename="camel"):
    """What becomes of plain requests that a service can't take now. Each has its own switch."""

    queue: bool = True
    """Have requests that would be just late wait for room, in an order of this gateway's."""
    refuse_hopeless: bool = True
    """Refuse requests at once whose deadline surely can't be met."""
    shed: bool = True
    """Refuse requests at once that would be late because too many others are before them."""
    reserve: bool = True
    """Keep room for tenants within their fair shares and for more urgent requests."""
    return_from_room: bool = True
    """Say when to come back by the time until there is room."""
    send_urgency: bool = True
    """Tell engines the priority of the tenant, or else of the route."""
    wait_share: float = 0.125
    """Longest wait in the queue, as a share of the route's target time: a client that waits longer
    would rather be told."""
    longest_queue: int = 64
    """Most requests that wait for one service; each holds a thread."""


class HostedSettings(msgspec.Struct, frozen=True, rename="camel"):
    """The whole settings of one process."""

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


@dataclass(frozen=True)
class LoadedSettings:
    """Settings and the keys that nobody here knows."""

    settings: HostedSettings
    unknown_keys: tuple[str, ...] = field(default=())


def load_settings(path: Path) -> LoadedSettings:
    """Read and check a settings file. Raises `SettingsError`."""
    try:
        content = path.read_bytes()
    except OSError as exc:
        raise SettingsError((_finding("", str(exc), "a readable file"),)) from exc
    return parse_settings(content)


def parse_settings(content: bytes) -> LoadedSettings:
    """Check settings in JSON. Raises `SettingsError` with all findings."""
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
    """Findings of each key by itself, so that one wrong key does not hide another."""
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
    if settings.bounds.grace_period_s <= 0:
        yield _finding("bounds.gracePeriodS", str(settings.bounds.grace_period_s), "above 0")


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
