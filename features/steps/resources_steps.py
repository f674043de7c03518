import yaml
from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from returns.result import Failure

from bellweir.resources.interface import ResourceErrorKind
from support.memory_store import MemoryStore
from support.operators_machine import OperatorsMachine
from support.resource_node import ResourceNode

EXAMPLES = 300
STEPS_PER_EXAMPLE = 30


@given("a resource store whose answers are lost and whose requests come late")
def step_machine(context):
    context.machine = OperatorsMachine


@then("no run of the operators' state machine reports an outcome that is not true")
def step_run_machine(context):
    bounds = settings(max_examples=EXAMPLES, stateful_step_count=STEPS_PER_EXAMPLE)
    run_state_machine_as_test(context.machine, settings=bounds)


@given("a resource node")
def step_node(context):
    context.store = MemoryStore()
    context.node = ResourceNode(context.store)
    context.cleanup.callback(context.node.close)
    context.resources = context.node.resources


@given('a resource node with policy "{name}"')
def step_node_with_policy(context, name):
    step_node(context)
    document = {"kind": "Policy", "metadata": {"name": name}, "spec": {"model": "first"}}
    context.resources.create(document).unwrap()


@given('a resource pool "{name}" that serves "{policy}"')
def step_pool(context, name, policy):
    spec = {"kind": "engine", "policies": [policy]}
    document = {"kind": "Pool", "metadata": {"name": name}, "spec": spec}
    context.resources.create(document).unwrap()


@when("the resource document below is created")
def step_create(context):
    context.outcome = context.resources.create(yaml.safe_load(context.text))


@then("the resource findings are")
def step_findings(context):
    findings = {finding.path: finding for finding in context.outcome.failure().findings}
    assert sorted(findings) == sorted(row["path"] for row in context.table), sorted(findings)
    for row in context.table:
        finding = findings[row["path"]]
        assert row["found"] in finding.found, finding
        assert row["allowed"] in finding.allowed, finding


@then("the resource store holds nothing")
def step_empty(context):
    assert context.store.history[-1] == {}


@when('two operators replace resource policy "{name}" from the same version')
def step_two_replace(context, name):
    base = dict(context.resources.get("Policy", name).unwrap().document)
    context.outcomes = [
        context.resources.replace({**base, "spec": {"model": model}}) for model in ("a", "b")
    ]


@then("the first resource write succeeds with generation {generation:d}")
def step_first(context, generation):
    assert context.outcomes[0].unwrap().document["metadata"]["generation"] == generation


@then('the second resource write is a conflict that names "{path}"')
def step_second(context, path):
    error = context.outcomes[1].failure()
    assert error.kind is ResourceErrorKind.CONFLICT
    assert [finding.path for finding in error.findings] == [path], error
    assert path in error.detail


@when('resource policy "{name}" is deleted')
def step_delete(context, name):
    context.outcome = context.resources.delete("Policy", name, None)


@then('the resource deletion is refused as in use by "{user}"')
def step_in_use(context, user):
    error = context.outcome.failure()
    assert error.kind is ResourceErrorKind.IN_USE
    assert error.findings[0].path.startswith(user), error


@when('resource pool "{pool}" and then policy "{policy}" are deleted')
def step_delete_both(context, pool, policy):
    context.resources.delete("Pool", pool, None).unwrap()
    context.resources.delete("Policy", policy, None).unwrap()


@when('resource policy "{name}" is patched to model "{model}" as a dry run')
def step_dry_run(context, name, model):
    merge = {"spec": {"model": model}}
    context.outcome = context.resources.patch("Policy", name, merge, dry_run=True)


@then('the dry run shows resource model "{model}" and generation {generation:d}')
def step_dry_run_shows(context, model, generation):
    document = context.outcome.unwrap().document
    assert document["spec"]["model"] == model
    assert document["metadata"]["generation"] == generation


@then("the resource store is at revision {revision:d}")
def step_revision(context, revision):
    assert context.store.revision == revision


def _report(context, kind):
    condition = {"type": kind, "status": True, "reason": "Test"}
    return context.resources.report_status("Policy", "north", {"conditions": [condition]})


@when('resource conditions "{first}" and "{second}" are reported by two reporters')
def step_report_two(context, first, second):
    for kind in (first, second):
        assert not isinstance(_report(context, kind), Failure)


@then('resource policy "{name}" has both conditions and generation {generation:d}')
def step_both(context, name, generation):
    document = context.resources.get("Policy", name).unwrap().document
    assert [each["type"] for each in document["status"]["conditions"]] == ["InForce", "Ready"]
    assert document["metadata"]["generation"] == generation


@when('the same resource condition "{kind}" is reported again')
def step_report_again(context, kind):
    assert not isinstance(_report(context, kind), Failure)


def _policy(name, model, version=None):
    metadata = {"name": name}
    if version is not None:
        metadata["resourceVersion"] = version
    return {"kind": "Policy", "metadata": metadata, "spec": {"model": model}}


def _overtake(context, name, meanwhile):
    """What others do while the first operator waits for its answer."""
    if meanwhile == "stop the store":
        context.store.down = True
    elif meanwhile == "replace it":
        context.resources.patch("Policy", name, {"spec": {"model": "theirs"}}).unwrap()
    else:
        if "delete" in meanwhile:
            context.resources.delete("Policy", name, None).unwrap()
        if "create" in meanwhile:
            context.resources.create(_policy(name, "theirs")).unwrap()


@when("the answer to a {write} of a resource is lost and others {meanwhile} before it is read back")
def step_overtaken(context, write, meanwhile):
    name = "south" if write == "creation" else "north"
    context.store.fates = ["request lost" if write == "late write" else "answer lost"]
    # The calls of this write: read, write, then the read-back or second attempt.
    context.store.interruptions = [
        lambda: _overtake(context, name, meanwhile),
        lambda: None,
        lambda: None,
    ]
    if write == "creation":
        context.outcome = context.resources.create(_policy(name, "mine"))
    elif write == "deletion":
        context.outcome = context.resources.delete("Policy", name, 1)
    else:
        context.outcome = context.resources.replace(_policy(name, "mine", 1))


@then("that resource write is reported as {told}")
def step_told(context, told):
    if told == "done":
        context.outcome.unwrap()
        return
    assert context.outcome.failure().kind.value == told, context.outcome
