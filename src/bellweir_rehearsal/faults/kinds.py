"""Kinds of faults."""

from enum import Enum


class FaultKind(Enum):
    """What can be made to fail, or be done on purpose."""

    ENGINE_CRASH = "engine_crash"
    """An engine's process is killed and started again, without weights, after the duration."""
    ENGINE_HANG = "engine_hang"
    """An engine accepts calls but generates nothing."""
    ENGINE_PAUSE = "engine_pause"
    """An engine's process is frozen."""
    STREAMS_CUT = "streams_cut"
    """An engine drops every generation in hand."""
    SWAP_FAILS = "swap_fails"
    """An engine's next swap stops partway."""
    APPLICATION_CRASH = "application_crash"
    """An application worker is killed and started again."""
    APPLICATION_ANSWERS_LOST = "application_answers_lost"
    """An application worker runs requests, then drops the connection instead of answering."""
    APPLICATION_SLOW = "application_slow"
    """An application worker waits before it runs requests."""
    NODE_KILL = "node_kill"
    """A node is killed (SIGKILL) and started again on its data."""
    NODE_PAUSE = "node_pause"
    """A node is frozen (SIGSTOP) and goes on, believing that it still holds what it held."""
    LEASE_LAPSE = "lease_lapse"
    """A node is frozen for longer than leases and leaderships last."""
    NODE_STOP = "node_stop"
    """A node is stopped as planned and started again."""
    NODE_REPLACED = "node_replaced"
    """A node is killed; a new machine with an empty disk takes its place."""
    ZONE_LOSS = "zone_loss"
    """All nodes and workers of a zone are killed and started again."""
    REGION_SPLIT = "region_split"
    """The nodes of one zone or region can't reach the others."""
    NETWORK_DELAY = "network_delay"
    """Frames between nodes are late, by a different time each."""
    NETWORK_LOSS = "network_loss"
    """Packets between nodes are lost."""
    STORE_DOWN = "store_down"
    """The object API answers nothing."""
    STORE_SLOW = "store_slow"
    """The object API is slow."""
    STORE_ANSWERS_LOST = "store_answers_lost"
    """The object API takes writes, then drops the connection instead of answering."""
    STORE_COMPACTS = "store_compacts"
    """The object API forgets the changes that watches could start from."""
    WEIGHT_STORE_DOWN = "weight_store_down"
    """The weight store answers nothing."""
    RACING_OPERATORS = "racing_operators"
    """Two operators write the same resource through different nodes, over and over."""
    WORKER_LEAVES = "worker_leaves"
    """An operator marks a worker as leaving, and takes it back afterwards."""
    WORKER_LEAVES_ITSELF = "worker_leaves_itself"
    """A worker says in its own answers that it is leaving, and takes work again afterwards."""

    WORKER_LEAVES_BY_LIST = "worker_leaves_by_list"
    """The platform's lagging machine list says that a worker is leaving, and takes it back."""


PLANNED = frozenset(
    {
        FaultKind.NODE_STOP,
        FaultKind.WORKER_LEAVES,
        FaultKind.WORKER_LEAVES_ITSELF,
        FaultKind.WORKER_LEAVES_BY_LIST,
    }
)
"""Planned acts, which are no failures."""

TARGETS_ENGINE = frozenset(
    {
        FaultKind.ENGINE_CRASH,
        FaultKind.ENGINE_HANG,
        FaultKind.ENGINE_PAUSE,
        FaultKind.STREAMS_CUT,
        FaultKind.SWAP_FAILS,
    }
)
TARGETS_APPLICATION = frozenset(
    {
        FaultKind.APPLICATION_CRASH,
        FaultKind.APPLICATION_ANSWERS_LOST,
        FaultKind.APPLICATION_SLOW,
    }
)
TARGETS_WORKER = frozenset(
    {
        FaultKind.WORKER_LEAVES,
        FaultKind.WORKER_LEAVES_ITSELF,
        FaultKind.WORKER_LEAVES_BY_LIST,
    }
)
TARGETS_NODE = frozenset(
    {
        FaultKind.NODE_KILL,
        FaultKind.NODE_PAUSE,
        FaultKind.LEASE_LAPSE,
        FaultKind.NODE_STOP,
        FaultKind.NODE_REPLACED,
    }
)
TARGETS_ZONE = frozenset({FaultKind.ZONE_LOSS, FaultKind.REGION_SPLIT})
"""Kinds whose target is an engine, an application worker, either, a node or a zone; the others
have none."""
