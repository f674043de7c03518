import threading
from concurrent.futures import ThreadPoolExecutor
from itertools import pairwise

from behave import given, then, when
from returns.result import Success

from bellweir.clients.interface import Machine, MachineState
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
    writes = sorted(context.control.store.log.records(ObjectWrite), key=lambda each: each.version)
    models = [write.document["spec"]["model"] for write in writes]
    # A report of status writes the same spec again: only what differs from before counts.
    written = [model for before, model in pairwise(["", *models]) if model != before]
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


def _condition(context, name="first"):
    document = any_node(context).resources.get("Policy", name).unwrap().document
    for condition in document.get("status", {}).get("conditions", ()):
        if condition["type"] == "InForce":
            current = condition["observedGeneration"] == document["metadata"]["generation"]
            return condition if current else {}
    return {}


@then("the policy's status says that it is in force on {count:d} of {total:d} control nodes")
def step_status(context, count, total):
    wanted = f"in force on {count} of {total} nodes"
    context.wait_until(
        lambda: _condition(context).get("message") == wanted and _condition(context)["status"],
        wanted,
    )


@when("one control node is cut off and the policy is changed")
def step_cut(context):
    nodes = context.control.alive()
    reader = placement.reader_of(nodes[0].membership.members(), nodes[1].zone)
    context.cut = next(
        node for node in nodes if node.zone == nodes[1].zone and node.name != reader.node
    )
    context.cut.hold(True)
    nodes[0].resources.patch("Policy", "first", {"spec": {"model": "changed"}}).unwrap()


@then("the policy's status says that the cut-off control node is missing")
def step_missing(context):
    context.wait_until(
        lambda: (
            f"3 of 4 nodes; waiting for {context.cut.name}"
            in _condition(context).get("message", "")
        ),
        "the missing node is named",
    )
    assert _condition(context)["status"] is False


@when("the control node's cut is over")
def step_cut_over(context):
    context.cut.hold(False)


@then("the store has settled: no control node writes any more")
def step_settled(context):
    before = context.control.store.state.revision
    assert before <= 6, f"{before} writes for two generations"
    any_node(context).configuration.wait_for(before + 1, 1.5)
    assert context.control.store.state.revision == before


def _machine(name, address, role, state=MachineState.LIVE):
    return Machine(name, address, "zone-0", "region-1", role, "pool", state)


@when("the platform lists the control nodes and {count:d} workers")
def step_list_machines(context, count):
    machines = context.control.machine_list
    for node in context.control.alive():
        machines.set_machine(_machine(node.name, node.peer_address, "node"))
    for index in range(count):
        machines.set_machine(_machine(f"worker-{index}", f"127.0.0.1:{index + 1}", "engine"))


@when("the platform changes one machine and removes another")
def step_change_machines(context):
    leaving = _machine("worker-1", "127.0.0.1:2", "engine", MachineState.LEAVING)
    context.control.machine_list.set_machine(leaving)
    context.control.machine_list.remove_machine("worker-2")


@then("every control node has the platform's machine list in force")
def step_machines_in_force(context):
    listed = context.control.machine_list.shown()
    wanted = {machine.name: machine for machine in listed.machines}

    def has(node):
        snapshot = node.configuration.current()
        return snapshot.machines_revision == listed.revision and snapshot.machines == wanted

    for node in context.control.alive():
        context.wait_until(lambda node=node: has(node), f"{node.name} has the machine list")


@when("a control node starts that knows nobody but the machine list")
def step_start_lone(context):
    context.control.start("found", "zone-7", knows_others=False)


@then("every control node sees {count:d} members")
def step_members(context, count):
    context.control.wait_for_members()
    assert len(any_node(context).membership.members()) == count


@given("a listener of every control node that waits until it is let go")
def step_slow_listeners(context):
    context.let_go = threading.Event()
    context.cleanup.callback(context.let_go.set)
    context.waiting = []

    def listen(snapshot):
        if snapshot.policies:
            context.waiting.append(snapshot.revision)
            context.let_go.wait(60.0)

    for node in context.control.alive():
        node.configuration.subscribe(listen)


@when("a policy is created, the control listeners wait, and another policy is created")
def step_create_two(context):
    any_node(context).resources.create(policy("first")).unwrap()
    context.wait_until(lambda: len(context.waiting) == 3, "every listener waits")
    any_node(context).resources.create(policy("second")).unwrap()


@when("the control nodes' listeners are let go")
def step_let_go(context):
    context.let_go.set()
