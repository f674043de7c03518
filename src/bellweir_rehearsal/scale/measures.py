"""What a scale run measures, and sums over observations."""

from collections.abc import Iterable, Sequence

import msgspec

from bellweir_rehearsal.scale.commands import Usage


class Spread(msgspec.Struct, frozen=True):
    """Times of one kind over many observers, in seconds."""

    count: int
    p50_s: float
    p99_s: float
    worst_s: float


class NodeCost(msgspec.Struct, frozen=True):
    """Cost of one node in the steady window, as the mean over all."""

    window_s: float
    cpu_percent_of_core: float
    datagrams_per_s: float
    """Sent and received."""
    datagram_bytes_per_s: float
    """UDP payloads, sent and received."""
    frames_per_s: float
    frame_bytes_per_s: float
    """Frames and handshakes on connections, sent and received."""
    connections_per_s: float
    bytes_per_s: float
    """Datagrams and frames together, IP headers left out."""
    bytes_with_headers_per_s: float
    """As on the wire: 28 bytes of IP and UDP for a datagram, about 400 for a connection's own
    packets and 52 for each frame."""
    resident_bytes: int
    """A process of one such node: bare process and one node's share of the rest."""
    bare_resident_bytes: int


class RealCost(msgspec.Struct, frozen=True):
    """Cost of one whole node in the steady window."""

    node: str
    cpu_percent_of_core: float
    resident_bytes: int
    threads: int


class FalseAlarms(msgspec.Struct, frozen=True):
    """What live nodes said of live members in one window, counted over all observers."""

    window_s: float
    members_suspected: int
    """Different members that some node suspected."""
    members_declared_dead: int
    suspicions: int
    """Over all observers: one false suspicion is seen by up to every node."""
    deaths: int


class PauseResult(msgspec.Struct, frozen=True):
    """One pause of a process."""

    pause_s: float
    paused_declared_dead: int
    """Of the paused nodes, those that some node declared dead."""
    others_declared_dead: int
    """Members that were not paused and were declared dead: must be 0."""
    whole_after_s: float
    """From the end of the pause until all views were right again."""


class SplitResult(msgspec.Struct, frozen=True):
    """One region cut off from the others."""

    cut_s: float
    parted_after_s: float
    """From the cut until each side saw only itself."""
    merged_after_s: float
    """From the healing until all views were whole and alike."""


class ScaleResult(msgspec.Struct, frozen=True):
    """All figures of one scale run; a step that failed says so in `failures`."""

    nodes: int
    workers: int
    processes: int
    joined_after_s: float | None = None
    loaded_after_s: float | None = None
    cost: NodeCost | None = None
    real: tuple[RealCost, ...] = ()
    steady: FalseAlarms | None = None
    change_in_force: Spread | None = None
    death_noticed: Spread | None = None
    leave_noticed: Spread | None = None
    under_loss: FalseAlarms | None = None
    short_pause: PauseResult | None = None
    long_pause: PauseResult | None = None
    split: SplitResult | None = None
    zone_lost: Spread | None = None
    """Over all observers and all members of a zone that ended at once."""
    failures: tuple[str, ...] = ()


DATAGRAM_HEADER_BYTES = 28
FRAME_HEADER_BYTES = 52
CONNECTION_PACKETS_BYTES = 400


def spread(times_s: Iterable[float]) -> Spread | None:
    """Sum up times; None without any."""
    ordered = sorted(times_s)
    if not ordered:
        return None
    return Spread(
        count=len(ordered),
        p50_s=round(_quantile(ordered, 0.50), 3),
        p99_s=round(_quantile(ordered, 0.99), 3),
        worst_s=round(ordered[-1], 3),
    )


def node_cost(before: Sequence[Usage], after: Sequence[Usage]) -> NodeCost:
    """Return the mean cost of a node between two readings."""
    window_s = after[0].at_s - before[0].at_s
    nodes = sum(usage.nodes for usage in after)
    per_node_s = window_s * nodes

    def rate(field: str) -> float:
        first = sum(getattr(usage, field) for usage in before)
        last = sum(getattr(usage, field) for usage in after)
        return float(last - first) / per_node_s

    bare = max(usage.bare_resident_bytes for usage in after)
    share = sum(usage.resident_bytes - usage.bare_resident_bytes for usage in after) // nodes
    datagrams, frames, connections = rate("datagrams"), rate("frames"), rate("connections")
    payload = rate("datagram_bytes") + rate("frame_bytes")
    headers = (
        datagrams * DATAGRAM_HEADER_BYTES
        + frames * FRAME_HEADER_BYTES
        + 2 * connections * CONNECTION_PACKETS_BYTES
    )
    return NodeCost(
        window_s=round(window_s, 1),
        cpu_percent_of_core=round(100 * rate("cpu_s"), 3),
        datagrams_per_s=round(datagrams, 2),
        datagram_bytes_per_s=round(rate("datagram_bytes"), 1),
        frames_per_s=round(frames, 2),
        frame_bytes_per_s=round(rate("frame_bytes"), 1),
        connections_per_s=round(connections, 2),
        bytes_per_s=round(payload, 1),
        bytes_with_headers_per_s=round(payload + headers, 1),
        resident_bytes=bare + share,
        bare_resident_bytes=bare,
    )


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
