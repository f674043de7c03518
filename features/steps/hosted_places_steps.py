"""Evacuated zones and cold workers: the rules, a gateway and a leader of jobs that follow them."""

import ast
import bisect
import random
import threading
import time
from dataclasses import replace
from pathlib import Path

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.support.hosted_gateway import GatewayUnderTest, configuration
from features.support.hosted_jobs import make_job, make_leader
from features.support.places import BOUND, COLD_START_S, REGIONS, NoShare, Places
from features.support.relay_zone import member
from hypothesis import given, settings

from bellweir.hosted.batches.state import AcceptJob
from bellweir.hosted.eligibility.cold_rates import (
    SEEN_FOR_S,
    WINDOW_S,
    ColdLimit,
    CoordinatorShare,
    GatewayShare,
)
from bellweir.hosted.eligibility.cold_workers import ENTRY_DELAY_S
from bellweir.hosted.eligibility.evacuated_zones import EvacuatedZones
from bellweir.hosted.eligibility.homes import Regions
from bellweir.hosted.entries import worker_entry
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import Listing, RecordChange, StoredRecord
from bellweir.hosted.records import Configuration, Route, TenantEntry
from bellweir.hosted.serving.directory import choose_gateways
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.sight.interface import ObservedOutcome
from bellweir.hosted.sight.monitor import SharedWorkerMonitor
from bellweir.hosted.sight.table import ObservationTable
from bellweir.hosted.views.configuration import RouteTable
from bellweir.hosted.views.follower import KindFollower
from bellweir.hosted.views.kind_state import KindState
from bellweir.hosted.views.relay import ViewsNews, ViewsRelay
from bellweir.hosted.views.workers import Worker
from bellweir_rehearsal.hosted.worker import WorkerStandIn

SOURCE = Path(__file__).resolve().parents[2] / "src" / "bellweir" / "hosted"
SENDERS = {
    "serving/next_attempt.py": {"choose"},
    "batches/worker_selection.py": {"choose", "acquire"},
}
"""Modules that take workers to send to, and by which methods of `WorkerLoads`."""
SENDING = {"serving/forwarding.py", "serving/streams.py", "batches/attempts.py"}
"""Modules that send requests or items to workers."""


# A gateway with two workers ---------------------------------------------------------------------


@given_step('a gateway with a worker in zone "a" and one in zone "b"')
def given_gateway(context):
    context.workers = {zone: WorkerStandIn(f"i-{zone}", model="m") for zone in "ab"}
    context.places = Places()
    build_gateway(context)
    for worker in context.workers.values():
        context.cleanup.callback(worker.close)


def build_gateway(context):
    workers = context.workers
    context.gateway = GatewayUnderTest(list(workers.values()), eligibility=context.places.rules)
    entries = {f"i-{zone}": one.entry("app", zone) for zone, one in workers.items()}
    context.gateway.show_workers(entries)
    context.cleanup.callback(context.gateway.close)


@when('zone "{zone}" is evacuated')
def when_evacuated(context, zone):
    context.places.evacuate(zone)


@when('zones "a" and "b" are evacuated')
def when_both_evacuated(context):
    context.places.evacuate("a", "b")


@when('zone "a" is given back')
def when_given_back(context):
    context.places.give_back("a")


@when('the worker of zone "b" fails a request amid which zone "a" is evacuated')
def when_fails_amid(context):
    failing = context.workers["b"]
    failing.faults.fail = 1
    failing._on_run = lambda _request_id: context.places.evacuate("a")
    # A refusal just before makes the gateway try zone "b" first.
    other = context.gateway.workers.worker("i-a")
    context.gateway.loads.acquire(other)
    context.gateway.loads.record_refusal(other.incarnation)
    context.answer = context.gateway.send("/idempotent/x")


@then('the request is not tried again in zone "a"')
def then_not_tried(context):
    assert context.answer.status == 500, context.answer.status
    assert sum(context.workers["b"].record.ran.values()) == 1
    assert not context.workers["a"].record.ran


@when('the worker of zone "a" is cold')
def when_one_cold(context):
    context.places.tell_entry("i-a", context.workers["a"].entry("app", "a"), 60_000)
    context.places.tell_entry("i-b", context.workers["b"].entry("app", "b"), 0)


@when("both workers are cold and this gateway is not one of their senders")
def when_others_send(context):
    context.gateway.close()
    context.places = Places(NoShare())
    for zone, cold_left_ms in (("a", 60_000), ("b", 40_000)):
        entry = context.workers[zone].entry("app", zone)
        context.places.tell_entry(f"i-{zone}", entry, cold_left_ms)
    build_gateway(context)


@then('{requests:d} requests and {streams:d} streams run at the worker of zone "{zone}" alone')
def then_run_alone(context, requests, streams, zone):
    answers = [context.gateway.send("/idempotent/x") for _ in range(requests)]
    answers += [context.gateway.send("/resumable/x") for _ in range(streams)]
    assert {answer.status for answer in answers} == {200}
    for each, worker in context.workers.items():
        ran = sum(worker.record.ran.values())
        assert ran == (requests + streams if each == zone else 0), (each, ran)


@then('a request and a stream are refused at once as "{cause}" and have not run')
def then_refused(context, cause):
    context.answers = [context.gateway.send(path) for path in ("/idempotent/x", "/resumable/x")]
    for answer in context.answers:
        assert answer.status == 503, answer.status
        assert cause.encode() in answer.body, answer.body
        assert float(answer.headers["Retry-After"]) > 0
    assert not any(worker.record.ran for worker in context.workers.values())


@then("they may come back when the first of them is warm")
def then_come_back(context):
    for answer in context.answers:
        assert 35 < float(answer.headers["Retry-After"]) <= 40


# A leader of jobs -------------------------------------------------------------------------------


@given_step('a leader of jobs with model workers in zones "a" and "b"')
def given_leader(context):
    context.places = Places(CoordinatorShare())
    context.leader = make_leader(
        context, workers_each=4, eligibility=context.places.rules, zones="ab"
    )
    context.begun = []
    context.begun_lock = threading.Lock()
    for worker in context.leader.models:
        worker._on_run = lambda _id, name=worker.instance: begin(context, name)


def begin(context, name):
    with context.begun_lock:
        context.begun.append((time.monotonic(), name))


def in_zone(context, zone):
    return context.leader.models["ab".index(zone) :: 2]


def hand_in(context, items):
    context.leader.ledger.machine.apply(AcceptJob(make_job("job", items, items)))


def wait_for_end(context, items):
    machine = context.leader.ledger.machine
    context.wait_until(lambda: len(machine.jobs["job"].results) == items, "results", 60.0)


@when('zone "a" is evacuated and a job of {items:d} items is handed in')
def when_job_after(context, items):
    context.places.evacuate("a")
    hand_in(context, items)
    context.items = items


@then('the job ends and no item has run in zone "a"')
def then_none_in_zone(context):
    wait_for_end(context, context.items)
    assert not any(worker.record.ran for worker in in_zone(context, "a"))
    assert all(worker.record.ran for worker in in_zone(context, "b"))


@when('a job of {items:d} items runs in both zones and zone "a" is evacuated')
def when_evacuated_amid(context, items):
    for worker in context.leader.models:
        worker.event_pause_s = 0.05
    context.items = items
    hand_in(context, items)
    context.wait_until(lambda: len(context.begun) == items, "items that run")
    context.places.evacuate("a")


@then("the job ends, and each item ran once")
def then_ran_once(context):
    wait_for_end(context, context.items)
    runs = [count for worker in context.leader.models for count in worker.record.ran.values()]
    assert len(runs) == context.items
    assert set(runs) == {1}
    assert any(worker.record.ran for worker in in_zone(context, "a"))


@when("both workers are cold and a job of {items:d} items is handed in")
def when_cold_job(context, items):
    for number, worker in enumerate(context.leader.models):
        entry = worker.entry("llm", "ab"[number % 2])
        context.places.tell_entry(worker.instance, entry, 60_000)
    context.items = items
    hand_in(context, items)


@then("the job ends, and in no second more items begin at a worker than its share")
def then_filled_slowly(context):
    wait_for_end(context, context.items)
    share = ColdLimit(7.9, BOUND).for_jobs(has_engines=True)
    for worker in context.leader.models:
        times_s = sorted(at_s for at_s, name in context.begun if name == worker.instance)
        # Threads that send begin a moment behind the count: two windows may overlap by that.
        assert most_in_window(times_s, 0.8 * WINDOW_S) <= share, times_s


def most_in_window(times_s, window_s):
    return max(
        (bisect.bisect_left(times_s, since_s + window_s) - first)
        for first, since_s in enumerate(times_s)
    )


# Regions ----------------------------------------------------------------------------------------


@when('the routes allow "{of_route}" and the tenant allows "{of_tenant}"')
def when_regions(context, of_route, of_tenant):
    allow_regions(context, of_route.split(), of_tenant.split())


@when('the routes allow "" and the tenant allows "{of_tenant}"')
def when_tenant_regions(context, of_tenant):
    allow_regions(context, [], of_tenant.split())


@when('the routes allow "{of_route}" and the tenant allows ""')
def when_route_regions(context, of_route):
    allow_regions(context, of_route.split(), [])


def allow_regions(context, of_route, of_tenant):
    found = configuration(2, tenants=[("t", ["key"])])
    for route in found["routes"]:
        route["allowedRegions"] = of_route
    found["tenants"][0]["allowedRegions"] = of_tenant
    context.gateway.view.apply(found, "test")


def send_as_tenant(context, path):
    return context.gateway.send(path, more=[("Authorization", "Bearer key")])


@then(
    "{requests:d} requests and {streams:d} streams of the tenant run at the worker of "
    'zone "{zone}" alone'
)
def then_tenant_runs(context, requests, streams, zone):
    answers = [send_as_tenant(context, "/idempotent/x") for _ in range(requests)]
    answers += [send_as_tenant(context, "/resumable/x") for _ in range(streams)]
    assert {answer.status for answer in answers} == {200}
    ran = {each: sum(worker.record.ran.values()) for each, worker in context.workers.items()}
    assert ran == {"a": 0, "b": 0} | {zone: requests + streams}, ran


@then('a request and a stream of the tenant are refused at once as "{cause}"')
def then_tenant_refused(context, cause):
    for path in ("/idempotent/x", "/resumable/x"):
        answer = send_as_tenant(context, path)
        assert answer.status == 503, answer.status
        assert cause.encode() in answer.body, answer.body
    assert not any(worker.record.ran for worker in context.workers.values())


@when('the worker of zone "b" fails a request of the tenant')
def when_fails(context):
    context.workers["b"].faults.fail = 1
    context.answer = send_as_tenant(context, "/idempotent/x")


@given_step('a leader of jobs whose route allows region "south" alone')
def given_bound_leader(context):
    context.places = Places(CoordinatorShare())
    context.leader = make_leader(
        context,
        workers_each=4,
        eligibility=context.places.rules,
        zones="ab",
        regions=("south",),
    )


@when("a job of {items:d} items is handed in")
def when_job(context, items):
    hand_in(context, items)
    context.items = items


@then("whatever is allowed, usable workers stand where route and tenant both allow")
def then_any_regions(context):
    regions = st.lists(st.sampled_from(("north", "south", "east")), max_size=3, unique=True)

    @settings(max_examples=200)
    @given(of_route=regions, of_tenant=regions, evacuated=st.lists(st.sampled_from("ab")))
    def hold(of_route, of_tenant, evacuated):
        places = Places()
        places.evacuate(*evacuated)
        workers = [worker_of(f"i-{zone}", zone=zone)[0] for zone in ("a", "b", "unknown")]
        route = Route("h", "/", allowed_regions=tuple(of_route))
        tenant = TenantEntry("t", allowed_regions=tuple(of_tenant))
        table = RouteTable(Configuration(1, (route,), tenants=(tenant,)))
        found = places.rules.usable(workers, table.allowed_regions(route, "t"))
        for worker in workers:
            zone = worker.entry.zone
            wanted = zone not in evacuated and all(
                REGIONS.get(zone) in bound for bound in (of_route, of_tenant) if bound
            )
            assert (worker in found) == wanted, (zone, of_route, of_tenant, evacuated)

    hold()


@then("it names gateways of the client's region, else of regions that the host's routes allow")
def then_directory(context):
    live = [member(f"{region}-{n}") for region in ("north", "south", "east") for n in range(3)]
    live = [
        replace(one, region=one.node[:-2], zone=one.node[:-2], gateway_address=one.node)
        for one in live
    ]

    def regions_of(addresses):
        return {one.region for one in live if one.gateway_address in addresses}

    south = frozenset({"south"})
    assert regions_of(choose_gateways(live, "north", "north", south)) == {"north"}
    assert regions_of(choose_gateways(live, "west", "west", south)) == {"south"}
    assert regions_of(choose_gateways(live, "west", "west")) == {"north", "south", "east"}
    table = RouteTable(Configuration(1, (Route("h", "/", allowed_regions=("south",)),)))
    assert table.allowed_regions_of_host("h") == south
    assert table.allowed_regions_of_host("other") is None


@then("requests stay in the region while its workers take them as soon, and spill over beyond that")
def then_distance(context):
    regions = Regions(REGIONS)
    loads = WorkerLoads(
        "a", distance_s=lambda zone: 0.016 if regions.are_different(zone, "a") else 0.0
    )
    near, far = (worker_of(f"i-{zone}", zone=zone)[0] for zone in "ab")
    for worker in (near, far):
        loads.acquire(worker)
        loads.record_success(worker.incarnation, 0.04)
    chosen = [loads.choose([near, far], ()) for _ in range(16)]
    at_far = [number for number, worker in enumerate(chosen) if worker is far]
    # With 8 slots each, the fourth request at once is expected 0.02 s later than the first.
    assert at_far, "nothing spilled over"
    assert at_far[0] >= 3, at_far
    assert len(at_far) < 8, at_far


@then("of two workers left by an evacuation one at most is ejected, and a slow cold one is not")
def then_ejected(context):
    workers = [Incarnation(f"i-{number}") for number in range(4)]
    kept_out, left = workers[:2], workers[2:]

    def ejected(slow, excluded):
        """Those ejected when `slow` workers fail everything and the others nothing."""
        table = ObservationTable("g", "a", 1)
        monitor = SharedWorkerMonitor(
            table,
            lambda: {"app": workers},
            now_s=lambda: 0.0,
            is_comparable=lambda worker: worker not in excluded,
        )
        for worker in workers:
            for _ in range(30):
                monitor.record_start("app", worker)
                outcome = ObservedOutcome.FAILED if worker in slow else ObservedOutcome.SERVED
                monitor.record_end(worker, outcome, 0.1)
        monitor.refresh()
        return [worker for worker in workers if monitor.stats(worker).is_ejected]

    assert ejected(left, ()) == left, "half of the service, with the evacuated ones counted"
    assert len(ejected(left, kept_out)) <= 1
    assert ejected(left[:1], kept_out) == left[:1]
    assert ejected(left[:1], left[:1]) == [], "a cold worker"


# What is known of evacuations -------------------------------------------------------------------


@then("an evacuation is in force whatever its contents, from lists, watches and peers")
def then_any_contents(context):
    for contents in ({}, None, [], "x", {"zone": 5}):
        record = StoredRecord("evacuations", "a", 3, contents)
        source, listed, watched, told = (EvacuatedZones() for _ in range(4))
        state = KindState("evacuations", source.apply_listing, source.apply_change)
        state.apply_listing(Listing(3, (record,)), 0.0)
        listed.apply_listing(Listing(3, (record,)))
        watched.apply_change(RecordChange(record, False))
        peer = KindState("evacuations", told.apply_listing, told.apply_change)
        assert peer.apply_update(state.update_since(None, 0.0), 0.0)
        assert all(one.is_evacuated("a") for one in (source, listed, watched, told)), contents


@when('the store turns away all nodes of the first zone and zone "a" is evacuated')
def when_turned_away(context):
    for node in context.zone.of_zone("a"):
        node.turn_away()
    context.store.records.put("evacuations", "a", {})


@when('zone "a" is given back in the store')
def when_given_back_in_store(context):
    context.store.records.delete("evacuations", "a")


@then('all nodes know that zone "a" is evacuated')
def then_all_know(context):
    nodes = context.zone.nodes.values()
    known = lambda: all(node.evacuated.is_evacuated("a") for node in nodes)  # noqa: E731
    context.wait_until(known, "nodes that know of the evacuation")


@then("all nodes know that no zone is evacuated")
def then_none_know(context):
    nodes = context.zone.nodes.values()
    context.wait_until(lambda: not any(node.evacuated.zones() for node in nodes), "zones back")


class SilentTransport:
    def register(self, kind, handler):
        pass


@then("a node whose peers relay the older kinds alone is fresh, and follows evacuations itself")
def then_older_peers(context):
    unused = lambda _change: None  # noqa: E731
    older = KindFollower(None, "servers", unused, unused)
    newer = KindFollower(None, "evacuations", unused, unused, is_known_to_all=False)
    relay = ViewsRelay(SilentTransport(), None, (older, newer))
    source = KindState("servers", unused, unused)
    source.apply_listing(Listing(4, ()), time.monotonic())
    relay._apply(ViewsNews((source.update_since(None, time.monotonic()),)))
    older.has_readers = newer.has_readers = True
    assert relay.is_fresh()
    assert older._update_relayed()
    assert not newer._update_relayed()


# What is known of cold workers ------------------------------------------------------------------


def worker_of(instance, born=1, zone="a"):
    spec = {"service": "llm", "address": "h:1", "zone": zone, "slots": 8, "state": "ready"}
    return Worker(instance, worker_entry({**spec, "born": born})), {**spec, "born": born}


@then(
    "entries, starts, failed connections and returned zones make workers cold for as long as "
    "they tell"
)
def then_cold_times(context):
    now_s = [100.0]
    places = Places(now_s=lambda: now_s[0])
    worker, entry = worker_of("i-1")

    def is_cold_after(seconds, of=worker):
        now_s[0] += seconds
        return places.rules.is_cold(of)

    assert not is_cold_after(0.0), "a worker of which nothing is known"
    places.tell_entry("i-1", entry, 2_000)
    assert is_cold_after(1.9)
    assert not is_cold_after(0.2), "the time that it told is over"
    places.tell_entry("i-1", entry, 2_000)
    places.tell_entry("i-1", entry, 0)
    assert not is_cold_after(0.0), "its newest entry says warm"
    again, entry_again = worker_of("i-1", born=2)
    places.tell_entry("i-1", entry_again)
    assert is_cold_after(COLD_START_S - 0.1, again), "a start without a word of it"
    assert not is_cold_after(0.2, again)
    places.rules.note_unanswered(again)
    assert is_cold_after(ENTRY_DELAY_S - 0.1, again)
    assert not is_cold_after(0.2, again)
    places.rules.note_unanswered(again)
    places.rules.note_answer(again, now_s[0] + 0.1)
    assert is_cold_after(0.0, again), "an answer to a request sent after the doubt"
    places.rules.note_answer(again, now_s[0] - 0.1)
    assert not is_cold_after(0.0, again), "an answer to a request sent before the doubt"
    places.evacuate("a")
    places.give_back("a")
    assert is_cold_after(ENTRY_DELAY_S - 0.1, again)
    places.tell_entry("i-1", entry_again, 1_000)
    assert is_cold_after(0.9, again), "its zone is back and it says that it is cold"
    assert not is_cold_after(0.2, again)


@then(
    "a gateway that is no sender of it tries it once a second, and none that its entry calls cold"
)
def then_doubted(context):
    now_s = [100.0]
    places = Places(NoShare(), now_s=lambda: now_s[0])
    worker, entry = worker_of("i-1")
    places.rules.note_unanswered(worker)
    assert places.rules.usable([worker])
    assert [places.rules.try_start(worker) for _ in range(3)] == [True, False, False]
    now_s[0] += WINDOW_S + 0.1
    assert places.rules.try_start(worker)
    places.tell_entry("i-1", entry, 2_000)
    now_s[0] += WINDOW_S + 0.1
    assert not places.rules.usable([worker])


@when('both have answered requests and the worker of zone "a" starts again')
def when_starts_again(context):
    gateway = context.gateway
    gateway._connections.on_stale = lambda address: context.places.rules.note_closed(
        gateway.workers.at(address)
    )
    for worker in context.workers.values():
        # Plain answers leave their connections open.
        worker.model = ""
    for _ in range(8):
        gateway.send("/idempotent/x")
    context.workers["a"].crash()
    context.workers["a"].start_again()


@then("a request finds its connection closed, and the worker is in doubt")
def then_found_closed(context):
    worker = context.gateway.workers.worker("i-a")
    context.wait_until(
        lambda: context.gateway.send("/idempotent/x") and context.places.rules.is_cold(worker),
        "a worker in doubt",
    )


class SplitMembership:
    """Members as one side of a split sees them."""

    def __init__(self, own, sides):
        self.own = own
        self.sides = sides

    def self_member(self):
        return self.own

    def members(self):
        return next(side for side in self.sides[0] if self.own in side)


@then("with any splits, healed links and hand-overs no second has more requests than the bound")
def then_bound_kept(context):
    most = [most_sent(random.Random(seed)) for seed in range(60)]
    assert max(most) <= BOUND, most
    assert max(most) > ColdLimit(7.9, BOUND).for_jobs(has_engines=True), "no gateway sent"


def most_sent(rng):
    """Most requests of any second to one cold worker, whose senders all want to send always."""
    nodes = [
        replace(member(f"n-{number}"), gateway_address=f"n-{number}")
        for number in range(rng.choice((1, 2, 7, 20, 20, 60)))
    ]
    now_s, sides = [0.0], [[list(nodes)]]
    gateways = [
        Places(GatewayShare(SplitMembership(one, sides), lambda: now_s[0]), lambda: now_s[0])
        for one in nodes
    ]
    leaders = [Places(CoordinatorShare(), lambda: now_s[0]) for _ in range(2)]
    worker, entry = worker_of("i-1")
    for places in (*gateways, *leaders):
        places.tell_entry("i-1", entry, 3_600_000)
        places.rules.usable([worker])
    sent, leading = [], [leaders[0]]
    while now_s[0] < 2 * SEEN_FOR_S:
        now_s[0] += rng.choice((0.01, 0.1, 0.3))
        if rng.random() < 0.05:
            # Both leaders act for a moment while one takes over from the other.
            leading = rng.choice(([leaders[0]], [leaders[1]], leaders))
        if rng.random() < 0.05:
            cut = rng.randrange(len(nodes) + 1)
            rng.shuffle(nodes)
            sides[0] = [side for side in (nodes[:cut], nodes[cut:]) if side]
        for places in (*rng.sample(gateways, len(gateways)), *leading):
            while places.rules.try_start(worker):
                sent.append(now_s[0])
    return most_in_window(sent, WINDOW_S)


# Senders ----------------------------------------------------------------------------------------


@then("workers are chosen in the known places alone, and each asks")
def then_senders(context):
    choosing, sending = {}, set()
    for path in SOURCE.rglob("*.py"):
        name = str(path.relative_to(SOURCE))
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            on = ast.unparse(node.func.value)
            if on == "self._loads" and node.func.attr in ("choose", "acquire"):
                choosing.setdefault(name, set()).add(node.func.attr)
            if on == "self._connections" and node.func.attr in ("open", "call"):
                sending.add(name)
    assert choosing == SENDERS, choosing
    assert sending == SENDING, sending
