"""State machine: configuration nodes under drops, repeats, reordering, splits and store faults."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from bellweir.clients.interface import Machine, MachineSnapshot, MachineState
from support.configuration_network import ConfigurationNode, MemoryNetwork, member
from support.memory_store import MemoryStore

PLACES = {
    "a1": ("zone-a", "region-1"),
    "a2": ("zone-a", "region-1"),
    "b1": ("zone-b", "region-1"),
    "c1": ("zone-c", "region-2"),
    "c2": ("zone-c", "region-2"),
}
NAMES = st.sampled_from(sorted(PLACES))
POLICIES = st.sampled_from(["north", "south", "east"])


def policy(name, model):
    return {
        "apiVersion": "bellweir.dev/v1",
        "kind": "Policy",
        "metadata": {"name": name},
        "spec": {"model": model},
        "status": {},
    }


class ConfigurationMachine(RuleBasedStateMachine):
    """The oracle is the store's own history: what holds at each revision."""

    def __init__(self):
        super().__init__()
        self.network = MemoryNetwork()
        self.store = MemoryStore()
        self.everyone = {name: member(name, *place) for name, place in PLACES.items()}
        self.machine_lists = [{}]
        """The platform's machine list at each revision."""
        self.nodes = {}
        self.reached = {}
        self.starts = 0

    @initialize()
    def start_all(self):
        for name in PLACES:
            self._start(name)

    def _start(self, name):
        self.starts += 1
        own = member(name, *PLACES[name])
        self.nodes[name] = ConfigurationNode(
            own, self.everyone, self.network, self.store, self.starts
        )
        self.reached[name] = -1

    @rule(name=POLICIES, model=st.integers(0, 99))
    def write(self, name, model):
        self.store.overwrite(policy(name, str(model)))

    @rule(name=POLICIES)
    def delete(self, name):
        found = self.store.history[-1].get(("Policy", name))
        if found and not self.store.down:
            self.store.delete("Policy", name, found.version).unwrap()

    @rule(name=NAMES)
    def read(self, name):
        if name in self.nodes:
            self.nodes[name].read()

    @rule(name=NAMES, during=st.lists(st.sampled_from(["deliver", "write", "step"]), max_size=4))
    def read_while_more_happens(self, name, during):
        """Peers' messages arrive and the store goes on while a node reads a list or a watch."""
        if name not in self.nodes:
            return
        happenings = {
            "deliver": lambda: self.network.queue and self.network.deliver(),
            "write": lambda: self.store.overwrite(policy("north", str(self.store.revision))),
            "step": self.nodes[name].step,
        }
        self.store.interruptions = [happenings[what] for what in during]
        self.nodes[name].read()
        self.store.interruptions = []

    @rule(name=POLICIES, port=st.none() | st.integers(1, 2))
    def change_machines(self, name, port):
        """A machine comes, moves between two addresses, or goes."""
        machines = dict(self.machine_lists[-1])
        machines.pop(name, None)
        if port is not None:
            address = f"127.0.0.1:{port}"
            machines[name] = Machine(name, address, "z", "r", "engine", "p", MachineState.LIVE)
        self.machine_lists.append(machines)

    @rule(name=NAMES, lag=st.integers(0, 3))
    def read_machines(self, name, lag):
        """Any node reads the list, which lags: readers come to different revisions."""
        if name in self.nodes:
            revision = max(0, len(self.machine_lists) - 1 - lag)
            machines = tuple(self.machine_lists[revision].values())
            self.nodes[name].take_machines(MachineSnapshot(revision, machines))

    @rule(name=NAMES)
    def step(self, name):
        if name in self.nodes:
            self.nodes[name].step()

    @precondition(lambda self: self.network.queue)
    @rule(data=st.data(), fate=st.sampled_from(["deliver", "drop", "repeat"]))
    def message(self, data, fate):
        index = data.draw(st.integers(0, len(self.network.queue) - 1))
        if fate == "repeat":
            self.network.queue.append(self.network.queue[index])
        if fate == "drop":
            del self.network.queue[index]
        else:
            self.network.deliver(index)

    @rule(one=NAMES, other=NAMES)
    def cut(self, one, other):
        self.network.cut.add(frozenset((one, other)))

    @rule()
    def heal(self):
        self.network.cut.clear()

    @rule(down=st.booleans(), lag=st.integers(0, 4))
    def store_state(self, down, lag):
        self.store.down = down
        self.store.lag = lag

    @rule()
    def compact(self):
        self.store.compact()

    @rule(name=NAMES)
    def leave(self, name):
        if name in self.nodes and len(self.nodes) > 1:
            del self.nodes[name]
            del self.network.transports[name]
            self.everyone.pop(name)

    @rule(name=NAMES)
    def come(self, name):
        if name not in self.nodes:
            self.everyone[name] = member(name, *PLACES[name])
            self._start(name)

    @invariant()
    def never_back(self):
        for name, node in self.nodes.items():
            assert node.revision >= self.reached[name], f"{name} went back"
            assert node.seen == sorted(node.seen), f"{name}'s listener went back: {node.seen}"
            self.reached[name] = node.revision

    @invariant()
    def as_the_store_was(self):
        for name, node in self.nodes.items():
            if node.revision < 0:
                continue
            expected = {
                key[1]: stored.document["spec"]["model"]
                for key, stored in self.store.history[node.revision].items()
            }
            machines = node.core.state.positions()[1].revision
            in_force = node.core.state.current().machines
            assert machines < 0 or in_force == self.machine_lists[machines], (name, machines)
            found = node.names_in_force()
            assert found == expected, f"{name} at {node.revision}: {found}, store had {expected}"

    def teardown(self):
        """Once all faults are over, every node comes to the newest revision."""
        self.network.cut.clear()
        self.store.down, self.store.lag = False, 0
        for _ in range(12):
            for node in self.nodes.values():
                node.read()
                node.step()
            self.network.deliver_all()
        newest = max(node.core.state.positions()[1].revision for node in self.nodes.values())
        for name, node in self.nodes.items():
            assert node.revision == self.store.revision, f"{name} stays at {node.revision}"
            assert node.core.state.positions()[1].revision == newest, f"{name}'s machine list"
        self.never_back()
        self.as_the_store_was()
