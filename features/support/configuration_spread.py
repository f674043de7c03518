"""A cluster of configuration cores whose members stay, and what each node sends."""

from collections import Counter

from support.configuration_machine import policy
from support.configuration_network import ConfigurationNode, MemoryNetwork, member
from support.memory_store import MemoryStore


class SpreadCluster:
    """A cluster whose members stay, and what each node sent."""

    def __init__(self, count, zones, regions):
        self.network, self.store = MemoryNetwork(), MemoryStore()
        members = [
            member(f"n{index}", f"zone-{index % zones}", f"region-{index % zones % regions}")
            for index in range(count)
        ]
        everyone = {each.node: each for each in members}
        self.nodes = {
            each.node: ConfigurationNode(each, everyone, self.network, self.store, fanout=4)
            for each in members
        }
        for node in self.nodes.values():
            node.membership.fixed = tuple(sorted(members, key=lambda each: each.node))
        for _ in range(4):
            for node in self.nodes.values():
                node.read()
                node.step()
            self.network.deliver_all()

    def spread(self, changes, size):
        """Messages that each node sent, and all bytes, for some changes."""
        messages, total = Counter(), 0
        for index in range(changes):
            self.store.overwrite(policy("north", str(index) + "x" * size))
            for node in self.nodes.values():
                node.read()
            while self.network.queue:
                queued = self.network.queue[0]
                messages[queued.source] += 1
                total += queued.size
                self.network.deliver()
        return max(messages.values()) / changes, total / changes / len(self.nodes)
