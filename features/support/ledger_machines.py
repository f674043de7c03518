"""A simulated ledger whose machines come, go, lose their disks and are to be emptied.

Times are those of the hosted roles. A machine that is gone counts as alive with the others until
their membership notices, and whoever asks it for its disk meanwhile waits for nothing.
"""

from features.support.ledger_nodes import AppendItem, ReadItems
from features.support.ledger_simulation import SHARD, STEP_S, Simulation
from returns.result import Success

from bellweir.ledger.keeper import DISK_TIMEOUT_S
from bellweir.ledger.messages import PlacementRequest
from bellweir.ledger.tasks import KEEPER_PERIOD_S, MENDING_PERIOD_S
from bellweir.membership.interface import MemberState
from bellweir.settings.models import LedgerSettings

SUSPECTED_AFTER_S = 1.2
DEAD_AFTER_S = 2.0
"""Times after which membership suspects a machine that fell silent, and takes it for dead."""
CATCH_UP_S = 4.3
"""Time after its return, or its successor's start, after which a machine counts as whole."""
TIMING = LedgerSettings(
    shards=1,
    heartbeat_s=0.15,
    election_timeout_s=0.6,
    snapshot_entries=16,
    creation_wait_s=0.0,
    replace_after_s=3.0,
)


class MachineSimulation(Simulation):
    """Three machines at first; others of `names` may be started later."""

    def __init__(self, names, seed):
        self._keeps_at_s = {}
        self._gone_at_s = {}
        self.leaving = set()
        super().__init__(names, seed, snapshot_entries=16, started=names[:3], timing=TIMING)
        self.acknowledged = []
        self.asked = []
        self._next_item = 0

    # --- machines -----------------------------------------------------------------------------

    def kill(self, name):
        super().kill(name)
        self._gone_at_s[name] = self.clock.monotonic_s()

    def start(self, name):
        self._gone_at_s.pop(name, None)
        super().start(name)
        self._keeps_at_s[name] = self.clock.monotonic_s() + self.random.uniform(0, KEEPER_PERIOD_S)

    def start_empty(self, name):
        """Start a machine with an empty disk."""
        self.disks[name] = self.new_disk(name)
        self.start(name)

    def state_of(self, name):
        if name in self.leaving:
            return MemberState.LEAVING
        silent_s = self.clock.monotonic_s() - self._gone_at_s.get(name, float("-inf"))
        if name in self.nodes or silent_s < SUSPECTED_AFTER_S:
            return MemberState.ALIVE
        return MemberState.SUSPECT if silent_s < DEAD_AFTER_S else MemberState.DEAD

    def retire(self, *names):
        """Have every node know that these are to be emptied."""
        for running in self.nodes.values():
            running.keeper.retiring = frozenset(names)

    def is_emptied(self, name):
        """Whether the leader says that a machine may be taken away."""
        return any(self.nodes[leader.name].keeper.is_emptied(name) for leader in self.leaders())

    def lose_all_power(self, wiped):
        """Every machine that runs goes at once and comes back; one of them without its disk."""
        running = list(self.nodes)
        for name in running:
            self.kill(name)
        self.run_for(1.0)
        for name in running:
            self.start_empty(name) if name == wiped else self.start(name)

    # --- time ---------------------------------------------------------------------------------

    def keeps_now(self, running):
        now_s = self.clock.monotonic_s()
        name = running.node.name
        if now_s < self._keeps_at_s[name]:
            return False
        self._keeps_at_s[name] = now_s + KEEPER_PERIOD_S
        return True

    def keep(self, running):
        name = running.node.name
        if running.keeper.step():
            self._keeps_at_s[name] += MENDING_PERIOD_S - KEEPER_PERIOD_S

    def request(self, origin, target, message):
        if isinstance(message, PlacementRequest) and target not in self.nodes:
            self._keeps_at_s[origin] += DISK_TIMEOUT_S
        return super().request(origin, target, message)

    def step(self):
        super().step()
        for name in sorted(self.leaving.intersection(self.nodes)):
            self._hand_over(self.nodes[name])

    def _hand_over(self, running):
        """What the tasks of a node that stops as planned do: stand no more, lead no more."""
        running.node.stop_standing()
        for leader in self.leaders():
            if leader is running.node:
                leader.hand_over(leader.replica(SHARD), running.keeper.is_able)

    def run_for(self, seconds):
        """Let time pass, with an item appended now and then."""
        for _ in range(round(seconds / STEP_S)):
            if self._happens(0.2):
                self._append()
            self.step()
            self._note_acknowledged()

    def _append(self):
        for leader in self.leaders()[:1]:
            item, self._next_item = self._next_item, self._next_item + 1
            future = leader.propose(SHARD, leader.codec.encode(AppendItem(item)))
            if future is not None:
                self.asked.append((item, future))

    def _note_acknowledged(self):
        done = [(item, future) for item, future in self.asked if future.done()]
        self.asked = [each for each in self.asked if not each[1].done()]
        for item, future in done:
            if isinstance(future.result(), Success):
                self.acknowledged.append(item)

    # --- what must hold -----------------------------------------------------------------------

    def leader(self):
        """The leader that its voters follow; None where there is none."""
        leaders = self.leaders()
        return max(leaders, key=lambda each: each.replica(SHARD).term) if leaders else None

    def voters(self):
        """The voters that the leader goes by."""
        return self.leader().replica(SHARD).log.replicas.voters

    def dead_voters(self):
        """Voters without a running process or without their disk."""
        return [
            one for one in self.voters() if one.node not in self.nodes or not self.has_disk(one)
        ]

    def expect_everything_read(self):
        """A leader is found, and what was acknowledged before it was asked is there."""
        for _ in range(10):
            self.run_for(1.0)
            acknowledged = list(self.acknowledged)
            leader = self.leader()
            future = leader.read(SHARD, ReadItems()) if leader else None
            self.run_for(0.5)
            if future is not None and future.done() and isinstance(future.result(), Success):
                items = set(future.result().unwrap().items)
                missing = [item for item in acknowledged if item not in items]
                assert not missing, f"lost: {missing}"
                return
        raise AssertionError(f"nobody leads: {self._found_voters()}")

    def _found_voters(self):
        return {
            name: [(one.node, one.disk) for one in replica.log.replicas.voters]
            for name, running in self.nodes.items()
            if (replica := running.node.replica(SHARD)) is not None
        }
