import yaml
from behave import given, then, when
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
from support.resource_node import ResourceNode


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
