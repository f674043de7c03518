from behave import given, then, when
from hypothesis import given as given_property
from hypothesis import settings as run_settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test
from returns.result import Failure

from bellweir.resources.interface import ResourceErrorKind
from support.memory_store import MemoryStore
from support.operators_machine import OperatorsMachine
from support.resource_node import ResourceNode


def _policy(name, model, version=None):
    metadata = {"name": name}
    if version is not None:
        metadata["resourceVersion"] = version
    return {"kind": "Policy", "metadata": metadata, "spec": {"model": model}}


EXAMPLES = 150


STEPS_PER_EXAMPLE = 30


@given("a resource store whose answers are lost and whose requests come late")
def step_machine(context):
    context.machine = OperatorsMachine


@then("no run of the operators' state machine reports an outcome that is not true")
def step_run_machine(context):
    bounds = run_settings(max_examples=EXAMPLES, stateful_step_count=STEPS_PER_EXAMPLE)
    run_state_machine_as_test(context.machine, settings=bounds)


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
