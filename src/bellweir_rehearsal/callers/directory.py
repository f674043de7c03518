"""Where the nodes are: addresses change when a node is started again."""

import threading
from dataclasses import dataclass


@dataclass(frozen=True)
class NodeAddress:
    """A node as callers know it."""

    node: str
    zone: str
    gateway_address: str


class NodeDirectory:
    """Addresses of the nodes' HTTP interfaces; safe from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._nodes: dict[str, NodeAddress] = {}

    def put(self, address: NodeAddress) -> None:
        """Add a node or replace its address."""
        with self._lock:
            self._nodes[address.node] = address

    def remove(self, node: str) -> None:
        """Take a node out; callers go to others."""
        with self._lock:
            self._nodes.pop(node, None)

    def find(self, node: str) -> NodeAddress | None:
        """The node of that name, None when it is not there."""
        with self._lock:
            return self._nodes.get(node)

    def all_nodes(self) -> tuple[NodeAddress, ...]:
        """All nodes, by name."""
        with self._lock:
            return tuple(self._nodes[name] for name in sorted(self._nodes))

    def in_order_from(self, node: str, zone: str) -> tuple[NodeAddress, ...]:
        """All nodes: the caller's own first, then those of its zone, then the others."""
        return tuple(
            sorted(
                self.all_nodes(),
                key=lambda entry: (entry.node != node, entry.zone != zone, entry.node),
            )
        )
