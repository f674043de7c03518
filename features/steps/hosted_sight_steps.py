"""Shared sight: the exchange against its model, and gateways over a network in memory."""

import math
from unittest import mock

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.support.sight_nodes import SERVICE, SightNetwork
from hypothesis import given, settings

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.log_events import SIGHT_ALONE, SIGHT_SHARED
from bellweir.hosted.sight import monitor
from bellweir.hosted.sight.exchange import GOSSIP_INTERVAL_S, ISOLATED_AFTER_S
from bellweir.hosted.sight.gossip_ring import rounds_to_reach_all
from bellweir.hosted.sight.interface import ObservedOutcome
from bellweir.hosted.sight.monitor import SharedWorkerMonitor
from bellweir.hosted.sight.table import IN_FLIGHT_MAX_AGE_S, ObservationTable
from bellweir.hosted.sight.worker_load import WorkerLoad

WORKERS = [Incarnation("i-0"), Incarnation("i-1", 5)]
NODES = 3
ROUNDING = 0.006
"""Counts travel in hundredths, of three buckets at most."""
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("see"), st.integers(0, NODES - 1), st.integers(0, 1)),
        st.tuples(st.just("tell"), st.integers(0, NODES - 1), st.booleans()),
        st.tuples(st.just("deliver"), st.integers(0, NODES - 1), st.integers(0, 100)),
        st.tuples(st.just("lose"), st.integers(0, 100), st.none()),
        st.tuples(st.just("restart"), st.integers(0, NODES - 1), st.none()),
        st.tuples(st.just("wait"), st.floats(0.0, 9.0), st.none()),
    ),
    max_size=60,
)


class Model:
    """Tables whose messages lie in a bag: any may be handed over, again and again, or lost."""

    def __init__(self):
        self.now_s = 0.0
        self.bag = []
        self.seen = {}
        """Requests that each node saw of each worker, over all of its starts."""
        self.starts = 0
        self.tables = [self._table(node) for node in range(NODES)]

    def _table(self, node):
        self.starts += 1
        return ObservationTable(f"g-{node}", f"z-{node % 2}", 1_000_000 * self.starts)

    def step(self, kind, first, second):
        match kind:
            case "see":
                worker = WORKERS[second]
                self.tables[first].record_start(worker, self.now_s)
                self.tables[first].record_end(worker, ObservedOutcome.SERVED, 0.1, self.now_s)
                self.seen[first, worker] = self.seen.get((first, worker), 0) + 1
            case "tell":
                self.bag += self.tables[first].next_records(self.now_s, 2, to_other_zone=second)
            case "deliver" if self.bag:
                record = self.bag[second % len(self.bag)]
                self.tables[first].receive(record, "z-0", self.now_s, 2)
            case "lose" if self.bag:
                self.bag.pop(first % len(self.bag))
            case "restart":
                self.tables[first] = self._table(first)
            case "wait":
                self.now_s += first


@then("whatever becomes of the messages, no gateway counts more of another than that one saw")
def then_never_double(context):
    @settings(max_examples=300, deadline=None)
    @given(steps=STEPS)
    def never_double(steps):
        model = Model()
        for step in steps:
            model.step(*step)
            for table in model.tables:
                for worker in WORKERS:
                    truth = sum(model.seen.get((node, worker), 0) for node in range(NODES))
                    found = table.merged(worker, model.now_s)
                    assert found.served <= truth + NODES * ROUNDING, (found.served, truth)
                    assert sum(found.buckets.values()) <= truth + NODES * ROUNDING

    never_double()


@then("whatever becomes of them, a later message brings all to what each saw last")
def then_convergence(context):
    @settings(max_examples=100, deadline=None)
    @given(steps=STEPS)
    def converge(steps):
        model = Model()
        for step in steps:
            model.step(*step)
        for node in range(NODES):
            for which in range(len(WORKERS)):
                model.step("see", node, which)
        for table in model.tables:
            records = table.next_records(model.now_s, 2)
            own = [each for each in records if each.origin == table._node]
            assert {each.incarnation for each in own} == set(WORKERS)
            for other in model.tables:
                for record in own:
                    other.receive(record, None, model.now_s, 2)
        for worker in WORKERS:
            found = [table.merged(worker, model.now_s).served for table in model.tables]
            assert max(found) - min(found) <= 2 * NODES * ROUNDING, found

    converge()


@given_step("{gateways:d} gateways in {zones:d} zones")
def given_gateways(context, gateways, zones):
    context.network = SightNetwork(gateways, zones)
    context.zones = zones


@given_step("{gateways:d} gateways in {zones:d} zones of which one does not know the messages")
def given_older(context, gateways, zones):
    given_gateways(context, gateways, zones)
    context.network.older = {f"g-{gateways - 1}"}


@when("one of them sees a worker fail")
def when_sees(context):
    context.worker = context.network.workers[0]
    context.network.gateways["g-0"].see(context.worker, ObservedOutcome.FAILED)


@when("{rounds:d} rounds pass")
def when_rounds(context, rounds):
    context.network.run(rounds)


def largest_zone(context):
    return math.ceil(len(context.network.gateways) / context.zones)


def rounds_that_tell_all(context):
    return 2 * rounds_to_reach_all(largest_zone(context)) + context.zones


def have_heard(context, gateways):
    now_s = context.network.now_s
    return [one.table.merged(context.worker, now_s).failed > 0.5 for one in gateways]


@then("all have heard of it after the rounds that tell all")
def then_all_heard(context):
    rounds = rounds_that_tell_all(context)
    context.network.run(rounds)
    context.rounds = rounds
    assert all(have_heard(context, context.network.all()))


@then("no gateway sent more than 2 messages a round, nor kept more than the stated connections")
def then_bounded(context):
    stated = rounds_to_reach_all(largest_zone(context)) + context.zones - 1
    for one in context.network.all():
        assert len(one.transport.sent) <= 2 * context.rounds
        assert len({address for address, _ in one.transport.sent}) <= stated


@then("no gateway sent anything")
def then_nothing(context):
    assert not any(one.transport.sent for one in context.network.all())


@given_step(
    "{gateways:d} gateways in {zones:d} zones that each sent one request to one of {workers:d} "
    "workers, of which one fails everything"
)
def given_each_one(context, gateways, zones, workers):
    given_gateways(context, gateways, zones)
    network = context.network
    context.bad = network.workers[0]
    for number, one in enumerate(network.all()):
        worker = network.workers[number % workers]
        failed = worker == context.bad
        outcome = ObservedOutcome.FAILED if failed else ObservedOutcome.SERVED
        one.see(worker, outcome, 0.001 if failed else 0.1)


@when("the rounds pass that tell all")
def when_tell_all(context):
    context.network.run(rounds_that_tell_all(context))


@then("every gateway has set it aside, and no other worker")
def then_set_aside(context):
    for one in context.network.all():
        aside = {each for each in context.network.workers if one.monitor.stats(each).is_ejected}
        assert aside == {context.bad}, (one.transport.node, aside)


@given_step(
    "{gateways:d} gateways in {zones:d} zones that have told each other of requests in hand"
)
def given_in_hand(context, gateways, zones):
    given_gateways(context, gateways, zones)
    network = context.network
    context.worker = network.workers[0]
    for one in network.all():
        one.monitor.record_start(SERVICE, context.worker)
    network.run(rounds_that_tell_all(context))
    found = [one.monitor.stats(context.worker).in_flight for one in network.all()]
    assert all(1.0 < count <= gateways for count in found), found


@when("one of them is cut off and goes on seeing requests")
def when_cut_off(context):
    context.cut = context.network.gateways["g-0"]
    context.network.cut = {"g-0"}
    context.events = []
    with mock.patch.object(monitor, "emit", lambda event, **_fields: context.events.append(event)):
        for _ in range(math.ceil(2 * (IN_FLIGHT_MAX_AGE_S + ISOLATED_AFTER_S) / GOSSIP_INTERVAL_S)):
            context.cut.see(context.network.workers[1], ObservedOutcome.SERVED, 0.1)
            context.network.run(1)


@then("it says that it is alone, and counts nothing in hand elsewhere")
def then_alone(context):
    assert context.cut.monitor.is_isolated
    assert SIGHT_ALONE in context.events
    assert context.cut.monitor.stats(context.worker).in_flight == 1
    assert not context.network.gateways["g-2"].monitor.is_isolated


@then("it says that it is no longer so once it hears others again")
def then_shared(context):
    context.network.cut = set()
    with mock.patch.object(monitor, "emit", lambda event, **_fields: context.events.append(event)):
        for _ in range(20):
            for one in context.network.all():
                one.see(context.network.workers[1], ObservedOutcome.SERVED, 0.1)
            context.network.run(1)
    assert SIGHT_SHARED in context.events
    assert not context.cut.monitor.is_isolated


@then(
    "the others have all heard of it, and the older one got no more than one message of each "
    "in half a minute"
)
def then_older(context):
    network = context.network
    for _ in range(round(29 / GOSSIP_INTERVAL_S)):
        network.gateways["g-0"].see(context.worker, ObservedOutcome.FAILED)
        network.run(1)
    speakers = [one for name, one in network.gateways.items() if name not in network.older]
    assert all(have_heard(context, speakers))
    for one in speakers:
        sent = [address for address, _ in one.transport.sent]
        assert sum(address in network.older for address in sent) <= 1, sent


@when("one of them is told a worker's load with an answer")
def when_load(context):
    context.worker = context.network.workers[0]
    first = context.network.gateways["g-0"]
    first.monitor.record_load(context.worker, WorkerLoad(5, 2, 6, 300))
    first.see(context.worker, ObservedOutcome.SERVED, 0.1)
    context.last_report_s = context.network.now_s


@then("all know the load after the rounds that tell all, as old as it is")
def then_load_known(context):
    context.network.run(rounds_that_tell_all(context))
    age_s = context.network.now_s - context.last_report_s
    for one in context.network.all():
        seen = one.monitor.stats(context.worker)
        assert (seen.load.requests, seen.load.slots, seen.load.pace) == (7, 6, 300)
        assert abs(seen.load_age_s - age_s) < 0.05, (seen.load_age_s, age_s)


def lone_sight(**switches):
    table = ObservationTable("g-0", "z-0", 1)
    return SharedWorkerMonitor(table, lambda: {SERVICE: WORKERS}, now_s=lambda: 0.0, **switches)


def see_one_fail(sight, times=20):
    for _ in range(times):
        for worker, outcome in zip(
            WORKERS, (ObservedOutcome.FAILED, ObservedOutcome.SERVED), strict=True
        ):
            sight.record_retry(SERVICE, worker)
            sight.record_end(worker, outcome, 0.1)
    sight.refresh()


@then("a sight that sets nobody aside does not, whatever fails")
def then_nobody_aside(context):
    for ejects in (True, False):
        sight = lone_sight(ejects=ejects)
        see_one_fail(sight)
        assert sight.stats(WORKERS[0]).is_ejected == ejects


@then("a sight without a bound allows any number of further tries")
def then_unbound(context):
    for share in (0.5, 0.0):
        sight = lone_sight(retry_share=share)
        see_one_fail(sight)
        assert sight.may_retry(SERVICE) == (share == 0.0)


@then("a sight that does not use workers' own load knows none")
def then_no_load(context):
    for uses in (True, False):
        sight = lone_sight(uses_worker_load=uses)
        sight.record_load(WORKERS[0], WorkerLoad(1, 0, 4))
        see_one_fail(sight, 1)
        assert (sight.stats(WORKERS[0]).load is not None) == uses
