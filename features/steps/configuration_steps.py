import threading
from collections import Counter

from behave import given, then, when
from hypothesis import given as given_property
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test

from bellweir.configuration import placement
from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.configuration.machine_reader import MachineListReader
from bellweir.configuration.messages import TableName
from bellweir.configuration.reader import StoreReader
from bellweir.configuration.state import ConfigurationState
from bellweir.configuration.subscription import Subscription
from bellweir.configuration.table import ApplyOutcome
from bellweir.kernel.clock import ManualClock
from bellweir.membership.interface import MemberState
from bellweir.platform.interface import Machine, MachineSnapshot, MachineState
from support.configuration_machine import ConfigurationMachine, policy
from support.configuration_network import ConfigurationNode, MemoryNetwork, member
from support.configuration_tables import (
    HISTORIES,
    changes_between,
    entries_of,
    loaded_table,
    position_of,
    states_of,
)
from support.memory_store import MemoryStore

ZONE = "zone-a"
EXAMPLES = 150
STEPS_PER_EXAMPLE = 40


@given("configuration nodes in 3 zones of 2 regions over a faulty network and store")
def step_machine(context):
    context.machine = ConfigurationMachine


@then("no run of the configuration state machine breaks a promise")
def step_run_machine(context):
    bounds = settings(max_examples=EXAMPLES, stateful_step_count=STEPS_PER_EXAMPLE)
    run_state_machine_as_test(context.machine, settings=bounds)


def _zone(context, count):
    context.network = MemoryNetwork()
    context.store = MemoryStore()
    context.everyone = {f"n{index}": member(f"n{index}", ZONE) for index in range(count)}
    context.nodes = {
        name: ConfigurationNode(own, context.everyone, context.network, context.store)
        for name, own in context.everyone.items()
    }


def _write(context, name, model="m"):
    context.store.put(policy(name, model), 0, "m").unwrap()


def _settle(context):
    for _ in range(8):
        for node in context.nodes.values():
            node.read()
            node.step()
        context.network.deliver_all()


@given("a configuration zone of {count:d} nodes")
def step_zone(context, count):
    _zone(context, count)
    if count > 1:
        _settle(context)
        assert {node.revision for node in context.nodes.values()} == {0}
    context.silent = set()


@given("a configuration zone of {count:d} nodes with a revision in force")
def step_zone_with_revision(context, count):
    _zone(context, count)
    _write(context, "north")
    _settle(context)
    assert {node.revision for node in context.nodes.values()} == {1}


@given("a configuration zone of {count:d} nodes with {policies:d} policies in force")
def step_zone_with_policies(context, count, policies):
    _zone(context, count)
    for index in range(policies):
        _write(context, f"policy-{index}", "model-" + "x" * 200)
    _settle(context)
    context.network.largest = 0


@given("a configuration node with children in the push tree is silent and suspected")
def step_silent(context):
    order = placement.zone_order(context.everyone.values(), ZONE)
    silent = order[1].node
    assert placement.children(order, silent, 2)
    context.everyone[silent] = member(silent, ZONE, state=MemberState.SUSPECT)
    del context.network.transports[silent]
    del context.nodes[silent]


@given("the configuration's store is down")
def step_store_down(context):
    context.store.down = True


@when("the zone's reader reads a new revision and each pushed message arrives once")
def step_push(context):
    _write(context, "north")
    context.sent = dict.fromkeys(context.nodes, 0)
    for node in context.nodes.values():
        node.read()
    while context.network.queue:
        context.sent[context.network.queue[0].source] += 1
        context.network.deliver()


@when("the zone's reader reads a new revision while no configuration task runs")
def step_push_without_tasks(context):
    _write(context, "north")
    for node in context.nodes.values():
        node.read()
    context.network.deliver_all()


@then("the revision is in force on all of the zone's nodes")
def step_in_force(context):
    behind = {name for name, node in context.nodes.items() if node.revision != 1}
    assert not behind, behind


@then("each configuration node sent at most its fan-out and one announcement")
def step_flat(context):
    assert max(context.sent.values()) <= 2 + 1, context.sent


@when("a fresh configuration node joins the zone")
def step_fresh(context):
    context.everyone["fresh"] = member("fresh", ZONE)
    context.fresh = ConfigurationNode(
        context.everyone["fresh"], context.everyone, context.network, context.store
    )
    context.fresh.step()


@when("the configuration node reads and steps")
def step_read_alone(context):
    for node in context.nodes.values():
        node.read()
        node.step()


@then("the fresh configuration node has that revision in force")
def step_fresh_in_force(context):
    assert context.fresh.revision == context.store.revision
    assert len(context.fresh.names_in_force()) == len(context.store.history[-1])


@then("the configuration node says that it has no configuration")
def step_not_ready(context):
    assert not any(node.core.state.loaded for node in context.nodes.values())
    assert not any(node.seen for node in context.nodes.values())


@then("no configuration message was longer than {limit:d} bytes")
def step_message_size(context, limit):
    assert 0 < context.network.largest <= limit, context.network.largest


@given("a configuration table and any history of changes")
def step_histories(context):
    context.histories = HISTORIES


def _feed(table, history, states, how, after, upto):
    """Feed the table something true of the history; whether it may advance to `upto`."""
    if how == "adopt":
        table.adopt(upto, states[upto].values())
        return True
    if how == "append":
        changes = changes_between(history, upto - 1, upto)
        if table.revision != upto - 1 and table.revision < upto:
            return False
        table.append(upto, changes)
        return True
    changes = changes_between(history, after, upto)
    return table.apply(after, position_of(states, upto), changes)


@then("every mix of lists, watch changes and updates leaves it as the history was at its revision")
def step_table_property(context):
    feeds = st.lists(
        st.tuples(st.sampled_from(["adopt", "append", "apply"]), st.integers(0, 8)), max_size=12
    )

    @settings(max_examples=400)
    @given_property(context.histories, feeds, st.data())
    def run(history, feeds, data):
        states = states_of(history)
        table = loaded_table()
        for how, number in feeds:
            upto = min(number, len(history))
            after = data.draw(st.integers(0, upto)) if how == "apply" else upto
            before = table.revision
            outcome = _feed(table, history, states, how, after, upto)
            assert table.position == position_of(states, table.revision)
            if how == "apply":
                assert outcome is _expected(before, after, upto), (before, after, upto, outcome)
            elif outcome:
                assert table.revision == max(before, upto)
            assert table.revision >= before
            assert entries_of(table) == states[table.revision]

    run()


def _expected(before, after, upto):
    if upto <= before:
        return ApplyOutcome.OLD
    return ApplyOutcome.GAP if after > before else ApplyOutcome.APPLIED


@then("the changes it passes on lead any earlier revision to its own")
def step_pass_on(context):
    @settings(max_examples=200)
    @given_property(context.histories, st.integers(0, 8), st.integers(0, 8))
    def run(history, jump, start):
        states = states_of(history)
        sender, receiver = loaded_table(), loaded_table()
        jump, start = min(jump, len(history)), min(start, len(history))
        sender.adopt(jump, states[jump].values())
        for revision in range(jump + 1, len(history) + 1):
            sender.append(revision, changes_between(history, revision - 1, revision))
        receiver.adopt(start, states[start].values())
        changes = sender.changes_after(receiver.revision)
        if changes is None:
            assert 0 < start < jump, "only what a whole table stepped over is not passed on"
            return
        outcome = receiver.apply(receiver.revision, sender.position, changes)
        assert outcome is not ApplyOutcome.DIVERGED
        assert entries_of(receiver) == states[len(history)]

    run()


@given("a configuration subscription that was given revision {revision:d}")
def step_subscription(context, revision):
    context.heard = []
    context.subscription = Subscription("node", lambda each: context.heard.append(each.revision))
    context.subscription.deliver(ConfigurationSnapshot(revision))


@when("the configuration subscription is given revisions 4, 5, 6 and 3")
def step_deliver(context):
    for revision in (4, 5, 6, 3):
        context.subscription.deliver(ConfigurationSnapshot(revision))


@then("the configuration listener saw revisions 5, 5, 6")
def step_heard(context):
    assert context.heard == [5, 5, 6], context.heard


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


@given("configuration clusters of 32 and of 340 nodes in {zones:d} zones of {regions:d} regions")
def step_two_clusters(context, zones, regions):
    context.clusters = [SpreadCluster(count, zones, regions) for count in (32, 340)]


@when("{changes:d} changes of {size:d} bytes are spread in both configuration clusters")
def step_spread(context, changes, size):
    context.costs = [cluster.spread(changes, size) for cluster in context.clusters]


@then("no configuration node sends more than {most:d} messages for a change in either cluster")
def step_messages(context, most):
    assert all(messages <= most for messages, _ in context.costs), context.costs


@then("the mean configuration bytes for a change and node differ by less than a fifth")
def step_bytes(context):
    (_, small), (_, large) = context.costs
    print(f"bytes sent for a change and node: {small:.0f} at 32 nodes, {large:.0f} at 340")
    assert abs(large - small) < small / 5, context.costs


@then("every node of both configuration clusters has the last change in force")
def step_all_in_force(context):
    for cluster in context.clusters:
        behind = [name for name, node in cluster.nodes.items() if node.revision < 5]
        assert not behind, behind


class SlowStore(MemoryStore):
    """Opening a watch takes time, on a clock that a test moves."""

    def __init__(self, clock, opening_s):
        super().__init__()
        self.clock, self.opening_s = clock, opening_s
        self.asked = []

    def watch(self, from_revision, timeout_s):
        self.asked.append(timeout_s)
        self.clock.advance(self.opening_s + timeout_s)
        yield from super().watch(from_revision, timeout_s)


@given("a configuration reader before a store that takes {seconds:g} seconds to open a watch")
def step_slow_store(context, seconds):
    clock = ManualClock()
    context.store = SlowStore(clock, seconds)
    state = ConfigurationState("node")
    context.reader = StoreReader("node", "zone", context.store, state, clock, lambda: True)
    context.reader.read_once(threading.Event())


@when("the configuration reader watches the quiet store {times:d} times")
def step_watch(context, times):
    context.store.asked.clear()
    for _ in range(times):
        assert context.reader.read_once(threading.Event())


@when("the configuration's store is fast again and the reader watches it {times:d} times")
def step_fast(context, times):
    context.store.opening_s = 0.0
    step_watch(context, times)


@then("the configuration reader's watches were meant to last {first:g} and {second:g} seconds")
def step_lasted(context, first, second):
    assert context.store.asked == [first, second], context.store.asked


@given("any history of configuration machine lists and two readers of parts of it")
def step_machine_histories(context):
    presence = st.dictionaries(st.sampled_from(["a", "b"]), st.integers(1, 2), max_size=2)
    context.lists = st.lists(presence, min_size=3, max_size=6)


def _machine_list(addresses):
    return {
        name: Machine(name, f"127.0.0.1:{port}", "z", "r", "engine", "p", MachineState.LIVE)
        for name, port in addresses.items()
    }


@then("a configuration update between them is applied right or refused")
def step_machine_updates(context):
    revisions = st.sets(st.integers(0, 5), min_size=1)

    @settings(max_examples=600)
    @given_property(context.lists, revisions, revisions, st.integers(0, 5))
    def run(lists, seen_by_sender, seen_by_receiver, after):
        history = [_machine_list(addresses) for addresses in lists]
        sender, receiver = ConfigurationState("sender"), ConfigurationState("receiver")
        for state, seen in ((sender, seen_by_sender), (receiver, seen_by_receiver)):
            reader = MachineListReader(state.node, None, state, ManualClock(), None, None)
            for revision in sorted(seen & set(range(len(lists)))) or [0]:
                machines = tuple(history[revision].values())
                reader._take_over(MachineSnapshot(revision, machines))
        update = sender.update_after(TableName.MACHINES, after)
        if update is not None:
            receiver.apply(update)
        snapshot = receiver.current()
        assert snapshot.machines == history[snapshot.machines_revision], (update, snapshot)

    run()


def _spread(context):
    spreads = [node.core.reports.spread() for node in context.nodes.values()]
    [found] = [spread for spread in spreads if spread is not None]
    return found


@then("the configuration's reporter counts {count:d} of {total:d} nodes at revision {revision:d}")
def step_count(context, count, total, revision):
    spread = _spread(context)
    assert (spread.nodes_with(revision), spread.nodes) == (count, total), spread


@when("the configuration zone's reader goes and each node steps for half a second")
def step_reader_goes(context):
    reader = placement.reader_of(context.everyone.values(), ZONE).node
    del context.everyone[reader], context.nodes[reader], context.network.transports[reader]
    for _ in range(2):
        for node in context.nodes.values():
            node.clock.advance(0.25)
            node.core.step()
        context.network.deliver_all()
