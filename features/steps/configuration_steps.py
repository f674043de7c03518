from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from bellweir.configuration import placement
from bellweir.membership.interface import MemberState
from support.configuration_machine import ConfigurationMachine, policy
from support.configuration_network import ConfigurationNode, MemoryNetwork, member
from support.configuration_spread import SpreadCluster
from support.memory_store import MemoryStore

ZONE = "zone-a"
EXAMPLES = 120
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
