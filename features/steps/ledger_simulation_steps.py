"""State machine of the ledger against a plain list, on a simulated network, clock and disks."""

import random
from dataclasses import dataclass

import cbor2
import hypothesis.strategies as st
from behave import given as given_step
from behave import then
from features.support.ledger_nodes import AppendItem, ReadItems
from features.support.ledger_simulation import SHARD, Simulation, Weather
from hypothesis import given, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from returns.result import Failure, Success

from bellweir.ledger.entries import ReplicaId, ReplicaSet
from bellweir.ledger.interface import LedgerErrorKind
from bellweir.ledger.messages import AppendRequest, ElectNow, ShardAppended, VoteRequest
from bellweir.ledger.replica_state import LOG_BYTES
from bellweir.wire.interface import Sender

NAMES = ("a", "b", "c", "d")
HEALING_STEPS = 600
STORMS_EACH = 4
CHANCES = st.sampled_from((0.0, 0.1, 0.3))


@dataclass
class Asked:
    """A call in hand, and how many items were acknowledged when it was made."""

    item: int | None
    future: object
    floor: int


class LedgerMachine(RuleBasedStateMachine):
    """Replies must be prefixes of one list that grows in real time; see `_check_reply`."""

    def __init__(self):
        super().__init__()
        self.simulation = None
        self.asked = []
        self.longest = ()
        self.acknowledged = set()
        self.refused = set()
        self.next_item = 0

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.simulation = Simulation(NAMES, seed)
        self._run(60)
        self.append("a", 3, 5)

    def teardown(self):
        if self.simulation is None:
            return
        try:
            self._finish()
        finally:
            self.simulation.close()

    # --- calls --------------------------------------------------------------------------------

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 12), steps=st.integers(0, 8))
    def append(self, name, count, steps):
        running = self.simulation.nodes.get(name)
        leaders = self.simulation.leaders()
        node = running.node if running and running.node in leaders else None
        for _ in range(count):
            self._append_at(node or (leaders[0] if leaders else None))
        self._run(steps)

    def _append_at(self, node):
        if node is None or node.name in self.simulation.paused:
            return
        item, self.next_item = self.next_item, self.next_item + 1
        future = node.propose(SHARD, node.codec.encode(AppendItem(item)))
        if future is not None:
            self.asked.append(Asked(item, future, len(self.longest)))

    @rule(steps=st.integers(0, 8))
    def read_at_every_leader(self, steps):
        for node in self.simulation.leaders():
            self._read_at(node)
        self._run(steps)

    def _read_at(self, node):
        # Also at a paused node that believes it leads: its thread may be the first to wake.
        future = node.read(SHARD, ReadItems())
        if future is not None:
            self.asked.append(Asked(None, future, len(self.longest)))

    # --- time and faults ----------------------------------------------------------------------

    @rule(count=st.sampled_from((1, 5, 40)))
    def let_time_pass(self, count):
        self._run(count)

    @rule(drop=CHANCES, lose_answer=CHANCES, delay=CHANCES, duplicate=CHANCES)
    def change_weather(self, drop, lose_answer, delay, duplicate):
        self.change_weather_to(Weather(drop, lose_answer, delay, duplicate))

    def change_weather_to(self, weather):
        self.simulation.weather = weather

    @rule(pairs=st.sets(st.frozensets(st.sampled_from(NAMES), min_size=2, max_size=2)))
    def partition(self, pairs):
        self.simulation.cut = set(pairs)

    @rule(name=st.sampled_from(NAMES))
    def isolate(self, name):
        self.isolate_node(name)

    def isolate_node(self, name):
        self.simulation.cut = {frozenset((name, other)) for other in NAMES if other != name}

    @rule(name=st.sampled_from(NAMES))
    def pause_or_resume(self, name):
        self.toggle_pause(name)

    def toggle_pause(self, name):
        if name in self.simulation.nodes:
            self.simulation.paused ^= {name}

    @rule(name=st.sampled_from(NAMES))
    def kill_or_start(self, name):
        self.toggle_process(name)

    def toggle_process(self, name):
        if name in self.simulation.nodes:
            self.simulation.kill(name)
        else:
            self.simulation.start(name)

    @precondition(lambda self: self._whole())
    @rule(name=st.sampled_from(NAMES))
    def lose_disk(self, name):
        self.simulation.kill(name)
        self.simulation.disks[name] = self.simulation.new_disk(name)
        self.simulation.start(name)

    @precondition(lambda self: self._whole())
    @rule(name=st.sampled_from(NAMES), kept=st.integers(0, 8))
    def damage_disk(self, name, kept):
        """Keep only a part of what was acknowledged; the journal then gives a new identity."""
        self.simulation.kill(name)
        shards = self.simulation.disks[name].shards
        disk = self.simulation.new_disk(name)
        for shard, held in shards.items():
            disk.shards[shard] = held.__class__(**{**held.__dict__, "entries": held.entries[:kept]})
        self.simulation.disks[name] = disk
        self.simulation.start(name)

    @rule(seed=st.integers(0, 2**32), steps=st.sampled_from((50, 200)))
    def storm(self, seed, steps):
        """Faults and calls at random moments, so close together that they overlap."""
        chooser = random.Random(seed)
        for _ in range(steps):
            if chooser.random() < 0.3:
                chooser.choice(self._storm_actions(chooser))()
            for node in self.simulation.leaders():
                if chooser.random() < 0.3:
                    self._append_at(node)
                if chooser.random() < 0.1:
                    self._read_at(node)
            self.simulation.step()
            self.replies_agree()

    def _storm_actions(self, chooser):
        name = chooser.choice(NAMES)
        leaders = self.simulation.leaders()
        target = chooser.choice(leaders).name if leaders else name
        weather = Weather(*(chooser.choice((0.0, 0.1, 0.4)) for _ in range(4)))
        return (
            lambda: self.change_weather_to(weather),
            lambda: self.isolate_node(target),
            lambda: self.simulation.cut.clear(),
            lambda: self.simulation.cut.clear(),
            lambda: self.toggle_pause(chooser.choice((name, target))),
            lambda: self.toggle_process(chooser.choice((name, target))),
            lambda: self.simulation.start_stopped(),
            lambda: self.simulation.paused.clear(),
            self.hand_over_now,
        )

    @rule()
    def hand_over(self):
        self.hand_over_now()

    def hand_over_now(self):
        for node in self.simulation.leaders():
            if node.name not in self.simulation.paused:
                node.hand_over(node.replica(SHARD), lambda _: True)

    @rule()
    def heal(self):
        self.simulation.heal()
        self._run(40)

    def _whole(self):
        """Whether one more disk may go: a leader whose voters all still have theirs."""
        if self.simulation is None:
            return False
        return any(
            len(replicas.voters) >= 3 and all(map(self.simulation.has_disk, replicas.voters))
            for node in self.simulation.leaders()
            if (replica := node.replica(SHARD)).is_settled()
            for replicas in (replica.log.replicas,)
            if self._is_newest(replica)
        )

    def _is_newest(self, replica):
        others = [running.node.replica(SHARD) for running in self.simulation.nodes.values()]
        return all(other is None or other.term <= replica.term for other in others)

    def _run(self, count):
        for _ in range(count):
            self.simulation.step()

    # --- checks -------------------------------------------------------------------------------

    @invariant()
    def replies_agree(self):
        done = [asked for asked in self.asked if asked.future.done()]
        self.asked = [asked for asked in self.asked if not asked.future.done()]
        # Calls that completed since the last check overlap, so any order among them will do.
        for asked in done:
            match asked.future.result():
                case Success(reply):
                    self._check_reply(asked, reply.items)
                case Failure(error):
                    if asked.item is not None and error.kind is LedgerErrorKind.UNAVAILABLE:
                        self.refused.add(asked.item)

    def _check_reply(self, asked, items):
        shorter, longer = sorted((items, self.longest), key=len)
        assert longer[: len(shorter)] == shorter, f"two histories: {items} and {self.longest}"
        assert len(items) >= asked.floor, f"an older state was read: {items}"
        assert len(set(items)) == len(items), f"applied twice: {items}"
        if asked.item is not None:
            assert items[-1] == asked.item
            self.acknowledged.add(asked.item)
        self.longest = longer

    def _finish(self):
        self.simulation.heal()
        for _ in range(HEALING_STEPS):
            self._run(5)
            if self._everyone_caught_up():
                break
        else:
            raise AssertionError(f"no agreement after healing: {self._state()}")
        self.replies_agree()
        final = self._final_items()
        assert final[: len(self.longest)] == self.longest
        assert self.acknowledged <= set(final)
        assert not self.refused & set(final), "a refused command was applied"

    def _everyone_caught_up(self):
        leaders = self.simulation.leaders()
        if len(leaders) != 1:
            return False
        replica = leaders[0].replica(SHARD)
        replicas = replica.log.replicas
        whole = len(replicas.voters) == 3 and not replicas.learners and replica.is_settled()
        if not whole or not all(map(self.simulation.has_disk, replicas.voters)):
            return False
        held = [self.simulation.nodes[one.node].node.replica(SHARD) for one in replicas.voters]
        ends = {(one.commit_index, one.log.last_index) for one in held}
        if len(ends) != 1 or replica.commit_index != replica.log.last_index:
            return False
        # A replica that does not know the set could never stand for election.
        return all(one.log.replicas == replicas for one in held)

    def _final_items(self):
        leader = self.simulation.leaders()[0]
        replicas = leader.replica(SHARD).log.replicas
        contents = {
            self.simulation.nodes[one.node].node.replica(SHARD).snapshot().state
            for one in replicas.voters
        }
        assert len(contents) == 1, "replicas differ"
        future = leader.read(SHARD, ReadItems())
        self._run(20)
        return future.result(0).unwrap().items

    def _state(self):
        return [
            (name, str(r.role), r.term, r.commit_index, r.log.last_index, r.log.replicas)
            for name, running in self.simulation.nodes.items()
            if (r := running.node.replica(SHARD)) is not None
        ]


@then("a ledger of 4 simulated replicas survives {examples:d} long storms")
def then_survives(context, examples):
    @settings(derandomize=True, database=None, deadline=None, max_examples=examples)
    @given(seed=st.integers(0, 2**32))
    def survives(seed):
        run_storms(seed)

    survives()


def run_storms(seed):
    machine = LedgerMachine()
    chooser = random.Random(seed)
    machine.begin(seed)
    try:
        for _ in range(STORMS_EACH):
            machine.storm(chooser.randrange(2**32), 200)
            machine.heal()
            if machine._whole() and chooser.random() < 0.5:
                machine.lose_disk(chooser.choice(NAMES))
    finally:
        machine.teardown()


@then("a ledger of {count:d} simulated replicas agrees with a plain list over {examples:d} runs")
def then_agrees(context, count, examples):
    assert count == len(NAMES)
    run_state_machine_as_test(
        LedgerMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=30,
        ),
    )


# --- directed scenarios: rare races that random runs seldom reach ---------------------------------


def ballot(replica, candidate, term):
    return VoteRequest(
        shard=SHARD,
        generation=1,
        term=term,
        candidate=ReplicaId(candidate, "disk"),
        voter=replica.own,
        last_index=1000,
        last_term=term - 1,
        preliminary=False,
        handed_over=True,
    )


@given_step("a simulated ledger replica that voted in a term")
def given_voted(context):
    context.simulation = Simulation(NAMES, 1)
    context.add_cleanup(context.simulation.close)
    run(context.simulation, 60)
    context.simulation.paused |= set(NAMES)
    node = context.simulation.leaders()[0]
    context.voter = node.name
    context.ballot_term = node.replica(SHARD).term + 5
    request = ballot(node.replica(SHARD), "x", context.ballot_term)
    node.handle_vote_request(Sender("x", "x"), request)
    answers = [sent for _, target, sent in context.simulation.in_flight if target == "x"]
    assert not answers, "the candidate is no node of the simulation"


@then("it refuses another candidate of that term, also after it was killed and started")
def then_refuses(context):
    for _ in range(2):
        replica = context.simulation.nodes[context.voter].node.replica(SHARD)
        now_s = context.simulation.clock.monotonic_s()
        again = replica.handle_vote_request(ballot(replica, "x", context.ballot_term), now_s)
        other = replica.handle_vote_request(ballot(replica, "y", context.ballot_term), now_s)
        assert again.granted
        assert not other.granted
        context.simulation.kill(context.voter)
        context.simulation.start(context.voter)


def run(simulation, steps):
    for _ in range(steps):
        simulation.step()


def led(simulation):
    return simulation.leaders()[0].replica(SHARD)


@given_step("a simulated ledger whose leader began a change of its replicas")
def given_changing(context):
    context.simulation = Simulation(NAMES, 2)
    context.add_cleanup(context.simulation.close)
    run(context.simulation, 60)
    replica = led(context.simulation)
    voters = replica.log.replicas.voters
    assert replica.change_replicas(ReplicaSet(voters, (ReplicaId("x", "disk"),))) is not None


@then("it begins no second change before the first is committed")
def then_no_second(context):
    replica = led(context.simulation)
    assert replica.change_replicas(ReplicaSet(replica.log.replicas.voters)) is None
    run(context.simulation, 20)
    assert replica.change_replicas(ReplicaSet(replica.log.replicas.voters)) is not None
    run(context.simulation, 20)


@then("it refuses to change two voters at once")
def then_refuses_two(context):
    replica = led(context.simulation)
    assert len(replica.log.replicas.voters) == 3
    try:
        replica.change_replicas(ReplicaSet((replica.own,)))
    except ValueError:
        return
    raise AssertionError("two voters were removed at once")


@given_step("a simulated ledger leader with an entry of an older term on a majority")
def given_older(context):
    simulation = context.simulation = Simulation(("a", "b", "c"), 3)
    context.add_cleanup(simulation.close)
    run(simulation, 60)
    old = simulation.leaders()[0]
    others = [name for name in simulation.names if name != old.name]
    # The old leader's entry reaches one follower, and is not known to be committed.
    simulation.cut = {frozenset((old.name, others[1]))}
    context.item = old.propose(SHARD, old.codec.encode(AppendItem(7)))
    old.replicate(others[0])
    simulation.kill(old.name)
    simulation.cut.clear()
    follower = simulation.nodes[others[0]].node
    context.index = follower.replica(SHARD).log.last_index
    context.old_commit = follower.replica(SHARD).commit_index
    assert context.index > context.old_commit
    # It is elected with the other follower's vote, and its own new entry reaches nobody.
    replica, voter = follower.replica(SHARD), simulation.nodes[others[1]].node.replica(SHARD)
    elect = ElectNow(SHARD, 1, replica.term, replica.own)
    now_s = simulation.clock.monotonic_s()
    for request in replica.handle_elect_now(elect, now_s):
        if request.voter == voter.own:
            replica.handle_vote_answer(voter.handle_vote_request(request, now_s), now_s)
    assert simulation.leaders()[0] is follower
    context.follower, context.voter_replica = follower, voter


@then("that entry is committed only along with one of the leader's own term")
def then_along(context):
    replica, voter = context.follower.replica(SHARD), context.voter_replica
    context.follower.flush()
    now_s = context.simulation.clock.monotonic_s()
    held = ShardAppended(SHARD, 1, replica.term, True, context.index)
    replica.handle_appended(held, voter.own, 1, now_s)
    assert replica.commit_index == context.old_commit
    whole = ShardAppended(SHARD, 1, replica.term, True, replica.log.last_index)
    replica.handle_appended(whole, voter.own, 2, now_s)
    assert replica.commit_index == replica.log.last_index


@given_step("a simulated ledger of which one replica was made by its leader's first append")
def given_made_by_append(context):
    simulation = context.simulation = Simulation(("a", "b", "c"), 4)
    context.add_cleanup(simulation.close)
    late = simulation.nodes["c"]
    late.keeper.step = late.store.step = lambda: None
    run(simulation, 60)
    context.late = late.node
    assert simulation.leaders()[0] is not late.node
    assert late.keeper.placement is None


@then("that replica leads when the leader hands over to it")
def then_late_leads(context):
    leader = context.simulation.leaders()[0]
    assert leader.hand_over(leader.replica(SHARD), lambda name: name == context.late.name)
    run(context.simulation, 10)
    assert context.simulation.leaders() == [context.late]


@then("a log of large entries stays within its bound in memory and loses nothing")
def then_bounded_log(context):
    simulation = Simulation(NAMES[:3], 1, snapshot_entries=4096)
    context.add_cleanup(simulation.close)
    items, size = 200, 100_000
    most = 0
    futures = []
    while len(futures) < items:
        simulation.step()
        for leader in simulation.leaders():
            command = {"type": "AppendItem", "item": len(futures), "pad": b"x" * size}
            future = leader.propose(SHARD, cbor2.dumps(command))
            if future is not None:
                futures.append(future)
        held = [each.node.replica(SHARD) for each in simulation.nodes.values()]
        most = max([most, *(replica.log.payload_bytes for replica in held if replica)])
    for _ in range(HEALING_STEPS):
        simulation.step()
    assert most < LOG_BYTES + 20 * size, f"{most} bytes of payload in memory"
    assert all(future.done() for future in futures)
    [leader] = simulation.leaders()
    read = leader.read(SHARD, ReadItems())
    for _ in range(20):
        simulation.step()
    assert read.result(0).unwrap().items == tuple(range(items))


@then("a replica that does not answer gets heartbeats without entries")
def then_no_entries(context):
    simulation = Simulation(NAMES[:3], 1, snapshot_entries=4096)
    context.add_cleanup(simulation.close)
    for _ in range(HEALING_STEPS):
        simulation.step()
    [leader] = simulation.leaders()
    lost = next(name for name in simulation.names if name != leader.name)
    simulation.kill(lost)
    old_disk, simulation.disks[lost] = simulation.disks[lost], simulation.new_disk(lost)
    simulation.start(lost)
    for item in range(20):
        leader.propose(SHARD, cbor2.dumps({"type": "AppendItem", "item": item}))
    sent = []
    request = simulation.request

    def watch(origin, target, message):
        if isinstance(message, AppendRequest) and message.target.disk == old_disk.name:
            sent.append(sum(len(part.entries) for part in message.parts))
        return request(origin, target, message)

    simulation.request = watch
    for _ in range(40):
        leader.replicate(lost)
    assert len(sent) == 40, "the replica gets no heartbeats"
    assert sum(bool(entries) for entries in sent) <= 1, f"entries sent again and again: {sent}"
    assert not leader.has_news(lost), "a silent replica keeps the sender busy"
