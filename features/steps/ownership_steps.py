from dataclasses import replace

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from bellweir.membership.hashing import highest
from bellweir.membership.interface import Member, MemberState
from bellweir.membership.owner_choice import SETTLE_S, OwnerChoice, WorkerPlace
from bellweir.membership.owner_tracker import OwnerTracker

START_S = 1_000.0
SETTLED_S = START_S + 2 * SETTLE_S
REGIONS = {"zone-0": "east", "zone-1": "east", "zone-2": "west"}


def _member(number, state=MemberState.ALIVE, zone=None):
    zone = zone or f"zone-{number % 3}"
    address = f"10.0.0.{number}:1"
    return Member(f"node-{number}", address, address, zone, REGIONS[zone], False, state, 1)


def _worker_places(count):
    zones = [f"zone-{number % 3}" for number in range(count)]
    return {
        f"worker-{number}": WorkerPlace(zone, REGIONS[zone]) for number, zone in enumerate(zones)
    }


def _owners(tracker, places, now_s):
    return {worker: tracker.owner_of(worker, now_s) for worker in places}


@given("an ownership view of {members:d} members in 3 zones and {workers:d} workers")
def step_view(context, members, workers):
    context.tracker = OwnerTracker("node-0", START_S)
    context.members = {f"node-{number}": _member(number) for number in range(members)}
    context.places = _worker_places(workers)
    context.tracker.take_places(context.places)
    for member in context.members.values():
        context.tracker.see(member, START_S)
    context.owners = _owners(context.tracker, context.places, SETTLED_S)


def _see(context, member):
    context.members[member.node] = member
    context.tracker.see(member, SETTLED_S)


def _moved(context, now_s=SETTLED_S):
    after = _owners(context.tracker, context.places, now_s)
    return {w: (context.owners[w], after[w]) for w in after if after[w] != context.owners[w]}


@when("an ownership member dies")
def step_dies(context):
    context.chosen = context.members["node-4"]
    _see(context, replace(context.chosen, state=MemberState.DEAD))


@when("an ownership member is suspected")
def step_suspected(context):
    context.chosen = context.members["node-4"]
    _see(context, replace(context.chosen, state=MemberState.SUSPECT))


@when("that ownership member is leaving")
def step_leaving(context):
    _see(context, replace(context.chosen, state=MemberState.LEAVING))


@then("only workers owned by that member have a new owner, spread over its zone")
def step_moved(context):
    moved = _moved(context)
    before = {worker for worker, owner in context.owners.items() if owner == context.chosen.node}
    assert set(moved) == before
    heirs = {new for _, new in moved.values()}
    assert {context.members[heir].zone for heir in heirs} == {context.chosen.zone}
    assert len(heirs) == 3, heirs


@then("no worker has a new owner")
def step_none_moved(context):
    assert _moved(context) == {}


@when("an ownership member joins {zone}")
def step_joins(context, zone):
    _see(context, _member(99, zone=zone))


@when("the ownership settling time is over")
def step_settled(context):
    context.now_s = SETTLED_S + SETTLE_S


@then("workers moved only to the member that joined, from its zone")
def step_moved_to_joined(context):
    moved = _moved(context, context.now_s)
    assert moved
    assert {new for _, new in moved.values()} == {"node-99"}
    assert {context.members[old].zone for old, _ in moved.values()} == {"zone-0"}


@when("all ownership members of {zone} die")
def step_zone_dies(context, zone):
    for member in [member for member in context.members.values() if member.zone == zone]:
        _see(context, replace(member, state=MemberState.DEAD))


@then("every worker of {zone} is owned within its region")
def step_owned_within_region(context, zone):
    owners = _owners(context.tracker, context.places, SETTLED_S)
    inside = [owner for worker, owner in owners.items() if context.places[worker].zone == zone]
    assert {context.members[owner].zone for owner in inside} == {"zone-1"}


CHANGES = st.lists(
    st.tuples(
        st.integers(0, 7), st.sampled_from(MemberState), st.floats(0, 2 * SETTLE_S), st.booleans()
    ),
    max_size=30,
)


class _Oracle:
    """Places every worker anew among the members that have settled."""

    def __init__(self, own_node):
        self._own_node = own_node
        self._since = {}

    def see(self, member, now_s):
        if member.state not in (MemberState.ALIVE, MemberState.SUSPECT):
            self._since.pop(member.node, None)
            return
        settled = now_s < START_S + SETTLE_S or member.node == self._own_node
        eligible_s = now_s if settled else now_s + SETTLE_S
        self._since.setdefault(member.node, (eligible_s, member))

    def owner_of(self, worker, place, now_s):
        known = [member for _, member in self._since.values()]
        settled = [member for eligible_s, member in self._since.values() if eligible_s <= now_s]
        candidates = settled or known
        near = [m for m in candidates if m.zone == place.zone]
        near = near or [m for m in candidates if m.region == place.region] or candidates
        return highest(worker, [member.node for member in near])


@then("ownership answers as an oracle that places every worker anew, through any changes")
def step_oracle(context):
    @settings(max_examples=150)
    @given_values(CHANGES)
    def run(changes):
        places = _worker_places(12)
        choice, oracle, now_s = OwnerChoice("node-0", START_S), _Oracle("node-0"), START_S
        for number, state, pause_s, ask in changes:
            now_s += pause_s
            choice.see(_member(number, state), now_s)
            oracle.see(_member(number, state), now_s)
            if ask:
                answers = {w: choice.owner_of(w, place, now_s) for w, place in places.items()}
                expected = {w: oracle.owner_of(w, place, now_s) for w, place in places.items()}
                assert answers == expected

    run()


@then("ownership views that saw the same members in another order agree after settling")
def step_agree(context):
    @settings(max_examples=60)
    @given_values(
        st.lists(st.tuples(st.integers(0, 7), st.sampled_from(MemberState)), max_size=12),
        st.permutations(range(8)),
    )
    def run(changes, order):
        final = dict.fromkeys(range(8), MemberState.ALIVE) | dict(changes)
        places = _worker_places(20)
        views = []
        for own, numbers in (("node-0", list(range(8))), ("node-1", order)):
            tracker = OwnerTracker(own, START_S)
            tracker.take_places(places)
            for number, state in [*changes, *((n, final[n]) for n in numbers)]:
                tracker.see(_member(number, state), START_S + SETTLE_S + 1)
            views.append(_owners(tracker, places, START_S + 3 * SETTLE_S))
        assert views[0] == views[1]

    run()
