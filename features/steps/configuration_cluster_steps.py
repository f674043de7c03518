from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from returns.result import Success

from bellweir.configuration import placement
from bellweir.resources.interface import ResourceErrorKind
from bellweir_rehearsal.standins.faults import FaultKind
from bellweir_rehearsal.standins.object_api import ObjectWrite
from support.control_cluster import ControlCluster

ROUNDS = 12


def policy(name, model="model", version=None):
    metadata = {"name": name}
    if version is not None:
        metadata["resourceVersion"] = version
    return {"kind": "Policy", "metadata": metadata, "spec": {"model": model}}


def any_node(context):
    return context.control.alive()[0]


@given("a control cluster of {count:d} nodes in {zones:d} zones")
def step_cluster(context, count, zones):
    context.control = ControlCluster(context.cleanup, context.wait_until)
    for index in range(count):
        context.control.start(f"node-{index}", f"zone-{index % zones}")
    context.control.wait_for_members()
    for node in context.control.alive():
        context.wait_until(node.configuration.is_ready, f"{node.name} has a configuration")


@when("{count:d} policies are created through all control nodes in turn")
def step_create_many(context, count):
    nodes = context.control.alive()
    for index in range(count):
        nodes[index % len(nodes)].resources.create(policy(f"policy-{index}")).unwrap()


@then("the newest revision comes into force on every control node")
def step_in_force(context):
    context.control.wait_in_force(context.control.store.state.revision)
    for node in context.control.alive():
        found = set(node.configuration.current().policies)
        stored = {each.name for each in context.control.store.state.list_objects(0.0).objects}
        assert found == stored, (node.name, found, stored)


@then("the object API never had more than {count:d} watches of control nodes at once")
def step_watches(context, count):
    most = max(record.watches for record in context.control.watches_opened())
    assert 1 <= most <= count, most


@then("no control node's listener saw a revision go back")
def step_never_back(context):
    for node in context.control.nodes.values():
        assert node.seen == sorted(node.seen), (node.name, node.seen)


@given("every control node has a policy in force")
def step_one_policy(context):
    created = any_node(context).resources.create(policy("first")).unwrap()
    context.control.wait_in_force(created.version)


@when("the control node that reads ends and another policy is created")
def step_end_reader(context):
    members = any_node(context).membership.members()
    reader = placement.reader_of(members, any_node(context).zone)
    context.control.nodes[reader.node].stop()
    any_node(context).resources.create(policy("second")).unwrap()


@given("the control cluster's store is down")
def step_store_down(context):
    context.control.store_down()


@when("a fresh control node starts with the others as seeds")
def step_fresh(context):
    context.fresh = context.control.start("fresh", "zone-9")


@then("a write through the fresh control node is refused as without effect")
def step_refused(context):
    error = context.fresh.resources.create(policy("late")).failure()
    assert error.kind is ResourceErrorKind.UNAVAILABLE, error


@when("a lone control node starts that knows nobody")
def step_lone(context):
    lone = ControlCluster(context.cleanup, context.wait_until)
    lone.store_down()
    context.lone = lone.start("lone", "zone-0")


@then("the lone control node is not ready")
def step_lone_not_ready(context):
    assert not context.lone.configuration.wait_for(0, 1.0)
    assert not context.lone.configuration.is_ready()
    assert context.lone.seen == []


@when("the control cluster's store loses the answer to the next write and a policy is created")
def step_lose_answer(context):
    context.control.fault(FaultKind.ANSWER_LOST, count=1, method="PUT", duration_s=60.0)
    context.outcome = any_node(context).resources.create(policy("lost"))


@then("the creation is reported as done and has taken effect once")
def step_taken_once(context):
    assert context.outcome.unwrap().name == "lost"
    assert len(context.control.store.log.records(ObjectWrite)) == 1


@when("{count:d} operators on all control nodes race to replace one policy while answers are lost")
def step_race(context, count):
    nodes = context.control.alive()
    created = any_node(context).resources.create(policy("contended", "start")).unwrap()
    context.control.wait_in_force(created.version)
    context.control.fault(FaultKind.ANSWER_LOST, count=20, method="PUT", duration_s=120.0)

    def operate(number):
        resources = nodes[number % len(nodes)].resources
        outcomes = {}
        version = 1
        for attempt in range(ROUNDS):
            model = f"operator-{number}-{attempt}"
            outcome = resources.replace(policy("contended", model, version))
            outcomes[model] = outcome
            newest = (
                outcome if isinstance(outcome, Success) else resources.get("Policy", "contended")
            )
            version = newest.unwrap().version
        return outcomes

    with ThreadPoolExecutor(count) as pool:
        context.outcomes = list(pool.map(operate, range(count)))


@then("every reported outcome agrees with the store's own record")
def step_agrees(context):
    writes = context.control.store.log.records(ObjectWrite)
    written = [write.document["spec"]["model"] for write in writes]
    kinds = set()
    for outcomes in context.outcomes:
        for model, outcome in outcomes.items():
            taken = written.count(model)
            if isinstance(outcome, Success):
                assert taken == 1, (model, taken)
                kinds.add("done")
            else:
                kind = outcome.failure().kind
                assert taken <= (kind is ResourceErrorKind.UNKNOWN), (model, taken, outcome)
                kinds.add(kind)
    assert {"done", ResourceErrorKind.CONFLICT} <= kinds, kinds
