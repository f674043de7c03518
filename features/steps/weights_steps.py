"""Steps of `weights.feature`."""

from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from bellweir.clients.interface import EngineRole
from bellweir.weights.messages import PoolReport, WorkerReport
from bellweir.weights.plan import ROLE_LABEL
from bellweir.weights.rollout import PoolRollout, RolloutLimits
from support.orders_oracle import OrdersAgainstEngines
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


@given("weights {engine} never finishes a swap")
def step_hang(context, engine):
    context.weights.engines[engine].is_frozen = True


@then("all weights engines but {engine} hold version {version:d}")
def step_others_hold(context, engine, version):
    others = [e for name, e in context.weights.engines.items() if name != engine]
    wait_until(
        lambda: all(e.serves and e.state.weight_version == version for e in others),
        f"the others hold version {version}",
    )


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


@then("each weights engine was ordered to hold version {version:d} once")
def step_ordered_once(context, version):
    for engine in context.weights.engines:
        assert len(orders(context, engine, version)) == 1


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


@then("weights orders and engines agree whatever happens")
def step_oracle(context):
    limits = settings(max_examples=100, stateful_step_count=30)
    run_state_machine_as_test(OrdersAgainstEngines, settings=limits)


@given("a weights rollout of {engines:d} engines with floor {floor:g} waiting {wait:d} s at most")
def step_rollout(context, engines, floor, wait):
    limits = RolloutLimits(
        floor=floor,
        pool_size=engines,
        targets=engines,
        store_readers=3,
        fanout=2,
        permit_s=20,
        patience_s=wait,
        forget_s=60,
    )
    context.rollout = PoolRollout(limits, "store:1")


@when("{count:d} weights engines are leaving")
def step_leaving(context, count):
    context.present = [f"engine-{n}" for n in range(context.rollout.limits.pool_size - count)]


def report(context, now_s, held=()):
    workers = tuple(
        WorkerReport(
            name,
            f"{name}:1",
            "zone-1",
            True,
            "m",
            2 if name in held else 1,
            "m",
            2,
            wants_swap=name not in held,
        )
        for name in context.present
    )
    permits = context.rollout.take_report(PoolReport("writers", "node-1", workers), now_s)
    return [permit.worker for permit in permits]


@then("no weights swap is permitted before {wait:d} s have passed")
def step_no_swap(context, wait):
    for now_s in range(wait):
        assert report(context, now_s) == []


@then("after that one weights swap at a time is permitted")
def step_one_swap(context):
    wait_s = context.rollout.limits.patience_s
    assert report(context, wait_s) == ["engine-0"]
    assert report(context, wait_s + 1) == ["engine-0"]
    assert report(context, wait_s + 2, held=["engine-0"]) == []
    assert report(context, 2 * wait_s + 2, held=["engine-0"]) == ["engine-1"]


def names_in(text):
    return tuple(text.split(", "))


@when('weights adapters "{adapters}" and the role "{role}" are declared')
def step_adapters(context, adapters, role):
    cluster = context.weights
    metadata = cluster.pool.metadata.model_copy(update={"labels": {ROLE_LABEL: role}})
    pool = cluster.pool.model_copy(update={"metadata": metadata})
    for node in cluster.nodes:
        node.configuration.publish("writer", 1, (pool,), names_in(adapters))


@then('all weights engines have the adapters "{adapters}" and the role "{role}"')
def step_have_adapters(context, adapters, role):
    wanted = (names_in(adapters), EngineRole(role))
    engines = context.weights.engines.values()
    wait_until(
        lambda: all((e.state.adapters, e.state.role) == wanted for e in engines),
        "all have the adapters and the role",
    )


@then("no weights were read from anywhere")
def step_no_reads(context):
    assert not any(engine.swaps_from for engine in context.weights.engines.values())


@given("a resource store that refuses the next {count:d} weights reports")
def step_refuse_reports(context, count):
    context.weights.resources.refusals_left = count


def rolled_out(context):
    reports = context.weights.resources.reports
    return [status["conditions"][0]["status"] for _, _, status in reports]


@then("the weights pool's condition RolledOut becomes true")
def step_rolled_out(context):
    wait_until(lambda: rolled_out(context)[-1:] == [True], "the condition is true")
    message = context.weights.resources.reports[-1][2]["conditions"][0]["message"]
    assert message == "6 of 6 engines hold what is declared"


@then("at most {count:d} weights reports were written")
def step_few_reports(context, count):
    assert len(context.weights.resources.reports) <= count


@when("weights version {version:d} is declared, and the policy's status is written again and again")
def step_declare_with_status(context, version):
    cluster = context.weights
    declare(context, version)

    def write_and_look():
        for node in cluster.nodes:
            node.configuration.write_status("writer")
        return cluster.all_hold(version)

    wait_until(write_and_look, f"all hold version {version}")


@then("each weights engine has begun {count:d} swap")
def step_swaps(context, count):
    for engine in context.weights.engines.values():
        assert len(engine.swaps_from) == count
