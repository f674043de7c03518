"""Steps of `weights.feature`."""

from behave import given, then, when

from support.waiting import wait_until
from support.weights_cluster import WeightsCluster


@given("a weights pool of {engines:d} engines with floor {floor:g}, owned by {nodes:d} nodes")
def step_pool(context, engines, floor, nodes):
    context.weights = WeightsCluster(nodes, engines, floor)
    context.add_cleanup(context.weights.stop)
    context.frozen = []


@given("weights {engine} fails its next {count:d} swaps")
def step_fail(context, engine, count):
    context.weights.engines[engine].fail_swaps = count


@given("a weights store without version {version:d}")
def step_missing(context, version):
    context.weights.store.missing.add(version)


@given("node-1 believes that it owns all weights engines and hears of no newer configuration")
def step_paused(context):
    cluster = context.weights
    cluster.nodes[0].ownership.also.update(cluster.engines)
    context.frozen = [cluster.nodes[0]]
    cluster.alive.remove("node-1")


def declare(context, version):
    for node in context.weights.nodes:
        if node not in context.frozen:
            node.configuration.publish("writer", version)


@when("weights version {version:d} is declared")
def step_declare(context, version):
    declare(context, version)


@then("all weights engines hold version {version:d}")
def step_hold(context, version):
    wait_until(lambda: context.weights.all_hold(version), f"all hold version {version}")


@then("weights version {version:d} being declared, all engines hold it")
def step_next(context, version):
    declare(context, version)
    step_hold(context, version)


@then("at least {count:d} weights engines served all the time")
def step_floor(context, count):
    assert context.weights.fewest_serving >= count, context.weights.fewest_serving


@then("at most {count:d} weights were read from the store")
def step_store_reads(context, count):
    assert context.weights.store_reads() <= count, context.weights.store_reads()


def orders(context, engine, version):
    accepted = context.weights.engines[engine].accepted
    return [order for order in accepted if order.weight_version == version]


@then("weights {engine} has been ordered {count:d} times")
def step_ordered(context, engine, count):
    assert len(orders(context, engine, 2)) == count


@then("no weights engine is ordered to hold version {version:d}")
def step_not_ordered(context, version):
    context.weights.wait_for_rounds(5)
    assert not any(orders(context, engine, version) for engine in context.weights.engines)


@then("no weights engine is ordered back to version {version:d}")
def step_not_back(context, version):
    # The paused owner and the present one both read each engine in their rounds.
    context.weights.wait_for_rounds(20)
    for engine in context.weights.engines.values():
        versions = [order.weight_version for order in engine.accepted]
        assert versions == sorted(versions), versions
        assert engine.state.weight_version == 2
