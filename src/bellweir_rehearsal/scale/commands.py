"""What the scale run and its processes say to each other: JSON lines over pipes."""

import msgspec


class NodeSpec(msgspec.Struct, frozen=True):
    """One hollow node."""

    name: str
    zone: str
    region: str


class Command(msgspec.Struct, frozen=True, tag=True):
    """Base of commands."""


class Start(Command, frozen=True):
    """Start hollow nodes; answered by `Started`."""

    nodes: tuple[NodeSpec, ...]
    seeds: tuple[str, ...]
    fault_file: str
    key_file: str
    log_file: str | None
    probe_period_s: float


class Load(Command, frozen=True):
    """Give one node the first configuration, as its zone's reader would; answered by `Done`."""

    node: str
    workers: int
    zones: int
    regions: int
    with_pools: bool


class Settle(Command, frozen=True):
    """Take what is loaded out of garbage collection; answered by `Done`."""


class Change(Command, frozen=True):
    """Give one node a change of the configuration at that revision; answered by `Done`."""

    node: str
    revision: int


class Kill(Command, frozen=True):
    """End a node without a word to others; answered by `Done`."""

    node: str


class Leave(Command, frozen=True):
    """Have a node announce a planned stop; answered by `Done`."""

    node: str


class End(Command, frozen=True):
    """Have a node say that it has stopped, and end it; answered by `Done`."""

    node: str


class ReadViews(Command, frozen=True):
    """Ask what each node sees; answered by `Views`."""


class ReadUsage(Command, frozen=True):
    """Ask for CPU, memory and traffic; answered by `Usage`."""


class TakeObservations(Command, frozen=True):
    """Ask for what was observed since the last time; answered by `Observations`."""


class Quit(Command, frozen=True):
    """End the process."""


AnyCommand = (
    Start
    | Load
    | Settle
    | Change
    | Kill
    | Leave
    | End
    | ReadViews
    | ReadUsage
    | TakeObservations
    | Quit
)


class Reply(msgspec.Struct, frozen=True, tag=True):
    """Base of replies."""


class Started(Reply, frozen=True):
    """Peer addresses by node."""

    addresses: dict[str, str]


class Done(Reply, frozen=True):
    """When the command took effect, on the machine's monotonic clock, in seconds."""

    at_s: float


class View(msgspec.Struct, frozen=True):
    """What one node sees."""

    members: int
    digest: int
    """Hash of the sorted names of the members that are not dead."""
    revision: int
    """Of the resources in force; 0 while the machine list is missing."""


class Views(Reply, frozen=True):
    """Views by node."""

    views: dict[str, View]


class Usage(Reply, frozen=True):
    """Totals of one process since its start."""

    at_s: float
    nodes: int
    """Nodes that run."""
    cpu_s: float
    resident_bytes: int
    bare_resident_bytes: int
    """Resident before the first node started."""
    datagrams: int
    """Sent and received."""
    datagram_bytes: int
    frames: int
    """Sent and received on connections, handshakes left out."""
    frame_bytes: int
    """Of the frames and the handshakes."""
    connections: int
    """Opened by nodes of this process."""


class StateSeen(msgspec.Struct, frozen=True, array_like=True):
    """A node saw a member's state change."""

    at_s: float
    observer: str
    member: str
    state: str


class RevisionSeen(msgspec.Struct, frozen=True, array_like=True):
    """A revision came into force on a node."""

    at_s: float
    observer: str
    revision: int


class Observations(Reply, frozen=True):
    """Observed since the last time."""

    states: list[StateSeen]
    revisions: list[RevisionSeen]


AnyReply = Started | Done | Views | Usage | Observations


class ProcessFailedError(Exception):
    """A process of the run ended or answered something unexpected."""
