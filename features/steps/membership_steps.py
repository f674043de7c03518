import json

from behave import given, then, when

from bellweir.membership.interface import MemberState
from support.membership_nodes import start_membership_node
from support.waiting import wait_until


def _start(context, count, **options):
    seed = start_membership_node("n0", context.cleanup, **options)
    context.membership_seed = seed.address
    context.membership = {"n0": seed}
    for number in range(1, count):
        context.membership[f"n{number}"] = start_membership_node(
            f"n{number}", context.cleanup, (seed.address,), **options
        )


def _live(context):
    return {name: node for name, node in context.membership.items() if not node.stopped}


def _all_hold(context, expected):
    return all(node.states() == expected for node in _live(context).values())


@given("a membership of {count:d} nodes joined through one seed")
def step_membership(context, count):
    _start(context, count)
    expected = dict.fromkeys(_live(context), MemberState.ALIVE)
    wait_until(lambda: _all_hold(context, expected), "all nodes have joined")


@given("a membership of {count:d} nodes with one cluster key")
def step_membership_with_key(context, count):
    key = context.folder / "cluster.key"
    key.write_text("a cluster key for the tests")
    _start(context, count, keys=(key,))
    expected = dict.fromkeys(_live(context), MemberState.ALIVE)
    wait_until(lambda: _all_hold(context, expected), "all nodes have joined")


@given("a membership of {count:d} nodes in 2 regions under a file of network faults")
def step_two_regions(context, count):
    context.faults = context.folder / "faults.json"
    context.membership = {}
    seeds = ()
    for number in range(count):
        node = start_membership_node(
            f"n{number}",
            context.cleanup,
            seeds,
            region=f"region-{number % 2}",
            faults=context.faults,
        )
        seeds = seeds or (node.address,)
        context.membership[f"n{number}"] = node
    expected = dict.fromkeys(context.membership, MemberState.ALIVE)
    wait_until(lambda: _all_hold(context, expected), "all nodes have joined")


@given("a membership listener at node {name} that raises")
def step_raising_listener(context, name):
    def listener(_member):
        raise ValueError("a failing listener")

    context.membership[name].membership.subscribe(listener)


@when("the regions of the membership are cut off from each other")
def step_cut(context):
    cut = {"source": {"region": "region-0"}, "target": {"region": "region-1"}, "cut": True}
    _write_faults(context, [cut])


@when("the cut between the regions of the membership heals")
def step_heal(context):
    _write_faults(context, [])


def _write_faults(context, rules):
    partial = context.faults.with_suffix(".partial")
    partial.write_text(json.dumps({"rules": rules}))
    partial.replace(context.faults)


@when("membership node {name} crashes")
def step_crash(context, name):
    context.membership[name].crash()


@when("membership node {name} stops")
def step_stop(context, name):
    context.membership[name].stop()


@when("membership node {name} announces that it leaves")
def step_leave(context, name):
    context.membership[name].membership.announce_leaving()


@when("membership node {name} starts again at another port")
def step_restart(context, name):
    context.membership[name] = start_membership_node(
        name, context.cleanup, (context.membership_seed,)
    )


@when("a membership node with another cluster key joins through the seed")
def step_stranger(context):
    key = context.folder / "other.key"
    key.write_text("another key, not of this cluster")
    context.stranger = start_membership_node(
        "stranger", context.cleanup, (context.membership["n0"].address,), keys=(key,)
    )


@then("every live node's membership holds exactly the live nodes as alive")
def step_exactly_live(context):
    expected = dict.fromkeys(_live(context), MemberState.ALIVE)
    wait_until(
        lambda: _all_hold(context, expected),
        f"all hold {sorted(expected)}; n0 holds {context.membership['n0'].states()}",
    )


@then("every membership node holds exactly the nodes of its region as alive")
def step_own_region(context):
    def parted():
        names = sorted(context.membership)
        return all(
            context.membership[name].states()
            == dict.fromkeys(names[index % 2 :: 2], MemberState.ALIVE)
            for index, name in enumerate(names)
        )

    wait_until(parted, "each region holds only its own nodes")


@then("every live node's membership holds {name} as leaving")
def step_leaving(context, name):
    wait_until(
        lambda: all(n.states().get(name) is MemberState.LEAVING for n in _live(context).values()),
        f"{name} is leaving everywhere",
    )


@then("every live node's membership refuses the stranger, which stays alone")
def step_refused(context):
    seed = context.membership["n0"].membership
    wait_until(lambda: seed.refused_datagrams() > 0, "the seed has refused the stranger")
    assert "stranger" not in context.membership["n0"].states()
    assert set(context.stranger.states()) == {"stranger"}
