import yaml
from behave import given, then, when
from hypothesis import given as given_property
from hypothesis import settings as run_settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test
from returns.result import Failure

from bellweir.configuration.interface import RevisionSpread
from bellweir.kernel.clock import ManualClock
from bellweir.resources.deletion import MARK_LASTS_S, Deletion
from bellweir.resources.documents import operator_version_of
from bellweir.resources.interface import ResourceErrorKind
from bellweir.resources.models import KINDS
from bellweir.resources.reference import all_fields, explain, render_reference
from bellweir.resources.retention import PERIOD_S as RETENTION_PERIOD_S
from bellweir.resources.retention import VersionRetention
from bellweir.resources.writer import CompareAndSetWriter
from support.memory_store import MemoryStore
from support.operators_machine import OperatorsMachine
from support.resource_node import ResourceNode

EXAMPLES = 200
STEPS_PER_EXAMPLE = 30


@given("a resource store whose answers are lost and whose requests come late")
def step_machine(context):
    context.machine = OperatorsMachine


@then("no run of the operators' state machine reports an outcome that is not true")
def step_run_machine(context):
    bounds = run_settings(max_examples=EXAMPLES, stateful_step_count=STEPS_PER_EXAMPLE)
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
    step_look(context, name)
    for order in ("first", "second"):
        step_replace_seen(context, order)


@given('resource policy "{name}" is looked at by two operators')
def step_look(context, name):
    context.seen = dict(context.resources.get("Policy", name).unwrap().document)
    context.outcomes = []


@when("the {order} resource operator replaces what they looked at")
def step_replace_seen(context, order):
    document = {**context.seen, "spec": {"model": f"by the {order}"}}
    context.outcomes.append(context.resources.replace(document))


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
    # The calls of a write: read, (mark, watch the mark,) write; then the second attempt.
    calls_before = {"deletion": 4, "repetition": 3}.get(write, 2)
    fates = {"late write": "request lost", "repetition": "late"}
    context.store.fates = [fates.get(write, "answer lost")]
    context.store.fates += ["taken"] if write == "deletion" else []
    context.store.interruptions = [lambda: _overtake(context, name, meanwhile)]
    context.store.interruptions += [lambda: None] * calls_before
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


@then('the resource reference is the page "{page}"')
def step_reference(context, page):
    assert (context.repository / page).read_text() == render_reference()


@then("every resource field has a meaning")
def step_meanings(context):
    fields = [field for kind in KINDS for field in all_fields(kind)]
    assert not [field.path for field in fields if not field.description]


@then('the resource path "{path}" is explained as "{text}"')
def step_explained(context, path, text):
    [field] = explain(path)
    assert text in field.description, field


@given("two resource nodes before one store")
def step_two_nodes(context):
    context.store = MemoryStore()
    context.nodes = [ResourceNode(context.store) for _ in range(2)]
    for node in context.nodes:
        context.cleanup.callback(node.close)


def _reference_action(node, action):
    resources = node.resources
    node.configuration.follow()
    if action == "create policy":
        return resources.create(_policy("north", "model"))
    if action == "delete policy":
        return resources.delete("Policy", "north", None)
    if action == "delete pool":
        return resources.delete("Pool", "pool", None)
    spec = {"kind": "engine", "policies": ["north"] if action == "pool uses policy" else []}
    document = {"kind": "Pool", "metadata": {"name": "pool"}, "spec": spec}
    outcome = resources.create(document)
    if isinstance(outcome, Failure) and outcome.failure().kind is ResourceErrorKind.CONFLICT:
        return resources.patch("Pool", "pool", {"spec": spec})
    return outcome


REFERENCE_ACTIONS = st.sampled_from(
    ["create policy", "delete policy", "pool uses policy", "pool uses none", "delete pool"]
)


@then("no resource race of deletions and references leaves a name that nothing has")
def step_no_dangling(context):
    steps = st.lists(
        st.tuples(REFERENCE_ACTIONS, st.lists(st.none() | REFERENCE_ACTIONS, max_size=6)),
        max_size=6,
    )

    @run_settings(max_examples=300)
    @given_property(steps)
    def run(steps):
        for node in context.nodes:
            node.resources.delete("Pool", "pool", None)
        context.nodes[0].resources.delete("Policy", "north", None)
        for action, between in steps:
            context.store.interruptions = [
                (lambda other=other: other and _reference_action(context.nodes[1], other))
                for other in between
            ]
            _reference_action(context.nodes[0], action)
            context.store.interruptions = []
            newest = context.store.history[-1]
            pool = newest.get(("Pool", "pool"))
            named = pool.document["spec"].get("policies", ()) if pool else ()
            assert not named or ("Policy", "north") in newest, (action, between)

    run()


@given('resource policy "{name}" is marked as being deleted')
def step_mark(context, name):
    node = context.node
    writer = CompareAndSetWriter(context.store)
    deletion = Deletion(writer, node.configuration, node.kernel.clock)
    deletion._mark(context.store.get("Policy", name).unwrap()).unwrap()
    node.configuration.follow()


def _create_pool(context, policy):
    spec = {"kind": "engine", "policies": [policy]}
    document = {"kind": "Pool", "metadata": {"name": "pool"}, "spec": spec}
    return context.resources.create(document)


@then('a resource pool that serves "{policy}" is refused')
def step_pool_refused(context, policy):
    error = _create_pool(context, policy).failure()
    assert [finding.path for finding in error.findings] == ["spec.policies[0]"], error
    assert ("Pool", "pool") not in context.store.history[-1]


@when("the resource mark has expired")
def step_mark_expired(context):
    context.node.kernel.clock.advance(MARK_LASTS_S + 1)


@then('a resource pool that serves "{policy}" is created')
def step_pool_created(context, policy):
    _create_pool(context, policy).unwrap()


KEYS = st.sampled_from(
    ["kind", "apiVersion", "metadata", "name", "spec", "status", "model", "arms", "labels"]
)
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5) | st.dates()
VALUES = st.recursive(
    SCALARS | st.sampled_from(["Policy", "Pool", "Comparison", "north", "engine"]),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(KEYS | st.integers(), inner, max_size=4)
    ),
    max_leaves=12,
)
ANYTHING = st.fixed_dictionaries(
    {},
    optional={
        "kind": st.sampled_from(["Policy", "Pool", "Comparison", "WeightVersion"]) | VALUES,
        "metadata": st.just({"name": "north"}) | VALUES,
        "spec": st.just({"model": "m"}) | VALUES,
        "status": VALUES,
        "other": VALUES,
    },
)


@then("any document and any merge patch gets a resource or findings with paths")
def step_any_document(context):
    @run_settings(max_examples=400)
    @given_property(ANYTHING)
    def run(document):
        for outcome in (
            context.resources.create(document, dry_run=True),
            context.resources.replace(document, dry_run=True),
            context.resources.patch("Policy", "north", document, dry_run=True),
        ):
            if isinstance(outcome, Failure):
                error = outcome.failure()
                invalid = error.kind is ResourceErrorKind.INVALID
                assert bool(error.findings) == invalid or not invalid, error
                assert all(finding.allowed for finding in error.findings), error

    run()


@then("the resource in force was last written by an operator at version {version:d}")
def step_operator_version(context, version):
    context.node.configuration.follow()
    policy = context.node.configuration.current().policies["north"]
    assert operator_version_of(policy) == version, policy.metadata


@given("a resource node that reports for its cluster and a policy that keeps {count:d} versions")
def step_reporting_node(context, count):
    step_node(context)
    spec = {"model": "m", "keepVersions": count}
    document = {"kind": "Policy", "metadata": {"name": "north"}, "spec": spec}
    context.resources.create(document).unwrap()


@given(
    "weight versions 1 to {count:d} of the resource policy, of which it wants {wanted:d} "
    "and a comparison {compared:d}"
)
def step_versions(context, count, wanted, compared):
    for version in range(1, count + 1):
        spec = {"policy": "north", "version": version}
        document = {"kind": "WeightVersion", "metadata": {"name": f"v{version}"}, "spec": spec}
        context.resources.create(document).unwrap()
    context.resources.patch("Policy", "north", {"spec": {"version": wanted}}).unwrap()
    arms = [
        {"name": "a", "policy": "north", "version": compared, "share": 1},
        {"name": "b", "policy": "north", "share": 1},
    ]
    spec = {"policy": "north", "arms": arms}
    document = {"kind": "Comparison", "metadata": {"name": "c"}, "spec": spec}
    context.resources.create(document).unwrap()


@when("the resource node looks for superseded versions twice")
def step_retention(context):
    node = context.node
    clock = ManualClock()
    node.configuration.counted = RevisionSpread(1, {}, ())
    retention = VersionRetention(node.configuration, node.configuration, node.resources, clock)
    for _ in range(2):
        clock.advance(RETENTION_PERIOD_S)
        retention.look()


@then("the resource store holds the weight versions {versions}")
def step_versions_left(context, versions):
    left = [name for kind, name in context.store.history[-1] if kind == "WeightVersion"]
    assert sorted(left) == [f"v{version.strip()}" for version in versions.split(",")], left
