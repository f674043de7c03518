"""Where replicas are placed, against what any spread could reach at best."""

from collections import Counter

import hypothesis.strategies as st
from behave import then
from hypothesis import given, settings

from bellweir.ledger.entries import ReplicaId, ReplicaSet
from bellweir.ledger.placement import PlacementCandidate, choose_voters, shared_region
from bellweir.ledger.reconfiguration import ShardView, next_replica_set

zones_of_machines = st.lists(st.sampled_from("abcd"), min_size=1, max_size=13)


def machines(zones):
    return [
        PlacementCandidate(ReplicaId(f"store-{number}", "disk"), zone)
        for number, zone in enumerate(zones)
    ]


def voters_by_zone(candidates, voters):
    zone_of = {one.replica: one.zone for one in candidates}
    return Counter(zone_of[voter] for voter in voters)


def assert_even(candidates, voters):
    held = voters_by_zone(candidates, voters)
    free = Counter(one.zone for one in candidates if one.replica not in voters)
    for count in held.values():
        for other in free:
            assert count <= held[other] + 1, (held, free)


@then("for any machines in any zones the first voters are as evenly spread as the machines allow")
def then_even(context):
    @settings(max_examples=200)
    @given(zones=zones_of_machines, shard=st.integers(0, 5), count=st.sampled_from([1, 3, 5, 7]))
    def even(zones, shard, count):
        candidates = machines(zones)
        voters = choose_voters(shard, candidates, count)
        assert len(voters) == len(set(voters)) == min(count, len(candidates))
        assert voters == choose_voters(shard, candidates[::-1], count), "order plays no part"
        assert_even(candidates, voters)

    even()


REGION_OF = {"a": "north", "b": "north", "c": "south", "d": "south"}


def with_regions(candidates):
    return [PlacementCandidate(one.replica, one.zone, REGION_OF[one.zone]) for one in candidates]


@then("the first voters and any replacement come from one region as long as it has machines left")
def then_one_region(context):
    @settings(max_examples=200)
    @given(zones=zones_of_machines, count=st.sampled_from([3, 5]), data=st.data())
    def together(zones, count, data):
        alive = with_regions(machines(zones))
        region = shared_region(alive, [])
        voters = choose_voters(0, alive, count)
        inside = {one.replica for one in alive if one.region == region}
        assert len(inside & set(voters)) == min(len(inside), len(voters))
        for _ in range(len(zones) - 1):
            # One voter is lost for good, and the next candidate takes its place.
            lost = data.draw(st.sampled_from(voters))
            alive = [one for one in alive if one.replica != lost]
            kept = [one for one in alive if one.replica in voters]
            free = [one for one in alive if one.replica not in voters]
            added = choose_voters(0, free, 1, kept)
            region = shared_region(alive, kept)
            inside = {one.replica for one in free if one.region == region}
            assert not inside or set(added) <= inside, (region, added)
            voters = (*(one.replica for one in kept), *added)

    together()


@then("in it they are as evenly spread over the zones as the machines allow")
def then_even_in_region(context):
    @settings(max_examples=200)
    @given(zones=zones_of_machines, count=st.sampled_from([3, 5]))
    def even(zones, count):
        candidates = with_regions(machines(zones))
        voters = choose_voters(0, candidates, count)
        region = shared_region(candidates, [])
        inside = [one for one in candidates if one.region == region]
        assert_even(inside, [one for one in voters if one in {each.replica for each in inside}])

    even()


@then("a replacement for a lost voter comes from a zone with the fewest voters left")
def then_replacement(context):
    @settings(max_examples=200)
    @given(zones=zones_of_machines.filter(lambda zones: len(zones) > 5), data=st.data())
    def replaced(zones, data):
        candidates = machines(zones)
        voters = choose_voters(0, candidates, 5)
        lost = data.draw(st.sampled_from(voters))
        alive = tuple(one for one in candidates if one.replica != lost)
        view = ShardView(
            shard=0,
            replicas=ReplicaSet(voters),
            own=next(one for one in voters if one != lost),
            caught_up=frozenset(),
            lost=frozenset({lost}),
            candidates=alive,
        )
        changed = next_replica_set(view, 5)
        assert changed.voters == voters, "the lost voter goes last"
        kept = voters_by_zone(candidates, [one for one in voters if one != lost])
        (learner,) = changed.learners
        zone = next(one.zone for one in alive if one.replica == learner)
        free = {one.zone for one in alive if one.replica not in voters}
        assert kept[zone] == min(kept[each] for each in free)

    replaced()
