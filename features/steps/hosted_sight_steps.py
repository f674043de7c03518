"""Steps for the shared statistics of workers: a model of the gossip, and simulated gateways."""

import math
from unittest import mock

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.support.sight_nodes import SERVICE, GossipNetwork
from hypothesis import given, settings

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.log_events import SIGHT_ALONE, SIGHT_SHARED
from bellweir.hosted.sight import monitor as monitor_module
from bellweir.hosted.sight.exchange import GOSSIP_INTERVAL_S, ISOLATED_AFTER_S
from bellweir.hosted.sight.gossip_ring import rounds_to_reach_all
from bellweir.hosted.sight.interface import ObservedOutcome
from bellweir.hosted.sight.monitor import SharedWorkerMonitor
from bellweir.hosted.sight.table import IN_FLIGHT_MAX_AGE_S, ObservationTable
from bellweir.hosted.sight.worker_load import WorkerLoad

WORKERS = [Incarnation("i-0"), Incarnation("i-1", 5)]
NODES = 3
ROUNDING = 0.006
"""Counts are sent in hundredths, in at most three buckets."""
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("request"), st.integers(0, NODES - 1), st.integers(0, 1)),
        st.tuples(st.just("send"), st.integers(0, NODES - 1), st.booleans()),
        st.tuples(st.just("deliver"), st.integers(0, NODES - 1), st.integers(0, 100)),
        st.tuples(st.just("lose"), st.integers(0, 100), st.none()),
        st.tuples(st.just("restart"), st.integers(0, NODES - 1), st.none()),
        st.tuples(st.just("wait"), st.floats(0.0, 9.0), st.none()),
    ),
    max_size=60,
)


class Model:
    """Tables whose messages may be delivered in any order, repeatedly, or lost."""

    def __init__(self):
        self.now_s = 0.0
        self.messages = []
        self.requests = {}
        """Requests by node and worker, restarts included."""
        self.starts = 0
        self.tables = [self._table(node) for node in range(NODES)]

    def _table(self, node):
        self.starts += 1
        return ObservationTable(f"g-{node}", f"z-{node % 2}", 1_000_000 * self.starts)

    def step(self, kind, first, second):
        match kind:
            case "request":
                worker = WORKERS[second]
                self.tables[first].record_start(worker, self.now_s)
                self.tables[first].record_end(worker, ObservedOutcome.SERVED, 0.1, self.now_s)
                self.requests[first, worker] = self.requests.get((first, worker), 0) + 1
            case "send":
                self.messages += self.tables[first].next_records(
                    self.now_s, 2, to_other_zone=second
                )
            case "deliver" if self.messages:
                record = self.messages[second % len(self.messages)]
                self.tables[first].receive(record, "z-0", self.now_s, 2)
            case "lose" if self.messages:
                self.messages.pop(first % len(self.messages))
            case "restart":
                self.tables[first] = self._table(first)
            case "wait":
                self.now_s += first


@then(
    "under any loss, duplication, delay and restart, no gateway counts more than its peers observed"
)
def then_never_counted_twice(context):
    @settings(max_examples=300, deadline=None)
    @given(steps=STEPS)
    def never_counted_twice(steps):
        model = Model()
        for step in steps:
            model.step(*step)
            for table in model.tables:
                for worker in WORKERS:
                    expected = sum(model.requests.get((node, worker), 0) for node in range(NODES))
                    found = table.merged(worker, model.now_s)
                    assert found.served <= expected + NODES * ROUNDING, (found.served, expected)
                    assert sum(found.buckets.values()) <= expected + NODES * ROUNDING

    never_counted_twice()


@then(
    "under any loss, duplication, delay and restart, one later message each makes all counts equal"
)
def then_convergence(context):
    @settings(max_examples=100, deadline=None)
    @given(steps=STEPS)
    def converge(steps):
        model = Model()
        for step in steps:
            model.step(*step)
        for node in range(NODES):
            for index in range(len(WORKERS)):
                model.step("request", node, index)
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
    context.network = GossipNetwork(gateways, zones)
    context.zones = zones


@given_step("{gateways:d} gateways in {zones:d} zones of which one does not support the messages")
def given_older_build(context, gateways, zones):
    given_gateways(context, gateways, zones)
    context.network.unsupporting = {f"g-{gateways - 1}"}


@when("one of them sees a worker fail")
def when_worker_fails(context):
    context.worker = context.network.workers[0]
    context.network.gateways["g-0"].observe(context.worker, ObservedOutcome.FAILED)


@when("{rounds:d} rounds pass")
def when_rounds(context, rounds):
    context.network.run(rounds)


def largest_zone(context):
    return math.ceil(len(context.network.gateways) / context.zones)


def rounds_to_reach_all_zones(context):
    return 2 * rounds_to_reach_all(largest_zone(context)) + context.zones


def know_failure(context, gateways):
    now_s = context.network.now_s
    return [one.table.merged(context.worker, now_s).failed > 0.5 for one in gateways]


@then("all gateways know of the failure after the rounds that reach all")
def then_all_know(context):
    rounds = rounds_to_reach_all_zones(context)
    context.network.run(rounds)
    context.rounds = rounds
    assert all(know_failure(context, context.network.all()))


@then("no gateway sent more than 2 messages per round or kept more than the documented connections")
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
    "workers, of which one fails every request"
)
def given_one_request_each(context, gateways, zones, workers):
    given_gateways(context, gateways, zones)
    network = context.network
    context.failing = network.workers[0]
    for number, one in enumerate(network.all()):
        worker = network.workers[number % workers]
        failed = worker == context.failing
        outcome = ObservedOutcome.FAILED if failed else ObservedOutcome.SERVED
        one.observe(worker, outcome, 0.001 if failed else 0.1)


@when("the rounds that reach all pass")
def when_rounds_pass(context):
    context.network.run(rounds_to_reach_all_zones(context))


@then("every gateway has ejected the failing worker and no other")
def then_ejected(context):
    for one in context.network.all():
        ejected = {each for each in context.network.workers if one.monitor.stats(each).is_ejected}
        assert ejected == {context.failing}, (one.transport.node, ejected)


@given_step("{gateways:d} gateways in {zones:d} zones that know each other's requests in flight")
def given_in_flight(context, gateways, zones):
    given_gateways(context, gateways, zones)
    network = context.network
    context.worker = network.workers[0]
    for one in network.all():
        one.monitor.record_start(SERVICE, context.worker)
    network.run(rounds_to_reach_all_zones(context))
    found = [one.monitor.stats(context.worker).in_flight for one in network.all()]
    assert all(1.0 < count <= gateways for count in found), found


@when("one of them is isolated and goes on sending requests")
def when_isolated(context):
    context.isolated = context.network.gateways["g-0"]
    context.network.isolated = {"g-0"}
    context.events = []
    with mock.patch.object(
        monitor_module, "emit", lambda event, **_fields: context.events.append(event)
    ):
        for _ in range(math.ceil(2 * (IN_FLIGHT_MAX_AGE_S + ISOLATED_AFTER_S) / GOSSIP_INTERVAL_S)):
            context.isolated.observe(context.network.workers[1], ObservedOutcome.SERVED, 0.1)
            context.network.run(1)


@then("it logs its isolation, and counts no requests of others in flight")
def then_isolated(context):
    assert context.isolated.monitor.is_isolated
    assert SIGHT_ALONE in context.events
    assert context.isolated.monitor.stats(context.worker).in_flight == 1
    assert not context.network.gateways["g-2"].monitor.is_isolated


@then("it logs the end of its isolation once it hears others again")
def then_not_isolated(context):
    context.network.isolated = set()
    with mock.patch.object(
        monitor_module, "emit", lambda event, **_fields: context.events.append(event)
    ):
        for _ in range(20):
            for one in context.network.all():
                one.observe(context.network.workers[1], ObservedOutcome.SERVED, 0.1)
            context.network.run(1)
    assert SIGHT_SHARED in context.events
    assert not context.isolated.monitor.is_isolated


@then(
    "the others all know of the failure, and the older one got at most one message from each "
    "in 30 s"
)
def then_older_build(context):
    network = context.network
    for _ in range(round(29 / GOSSIP_INTERVAL_S)):
        network.gateways["g-0"].observe(context.worker, ObservedOutcome.FAILED)
        network.run(1)
    supporting = [one for name, one in network.gateways.items() if name not in network.unsupporting]
    assert all(know_failure(context, supporting))
    for one in supporting:
        sent = [address for address, _ in one.transport.sent]
        assert sum(address in network.unsupporting for address in sent) <= 1, sent


@when("one of them receives a worker's load with an answer")
def when_load(context):
    context.worker = context.network.workers[0]
    first = context.network.gateways["g-0"]
    first.monitor.record_load(context.worker, WorkerLoad(5, 2, 6, 300))
    first.observe(context.worker, ObservedOutcome.SERVED, 0.1)
    context.reported_s = context.network.now_s


@then("all gateways know the load and its age after the rounds that reach all")
def then_load_known(context):
    context.network.run(rounds_to_reach_all_zones(context))
    age_s = context.network.now_s - context.reported_s
    for one in context.network.all():
        seen = one.monitor.stats(context.worker)
        assert (seen.load.requests, seen.load.slots, seen.load.pace) == (7, 6, 300)
        assert abs(seen.load_age_s - age_s) < 0.05, (seen.load_age_s, age_s)


def single_monitor(**switches):
    table = ObservationTable("g-0", "z-0", 1)
    return SharedWorkerMonitor(table, lambda: {SERVICE: WORKERS}, now_s=lambda: 0.0, **switches)


def fail_one_worker(monitor, times=20):
    for _ in range(times):
        for worker, outcome in zip(
            WORKERS, (ObservedOutcome.FAILED, ObservedOutcome.SERVED), strict=True
        ):
            monitor.record_retry(SERVICE, worker)
            monitor.record_end(worker, outcome, 0.1)
    monitor.refresh()


@then("with ejection disabled no failing worker is ejected")
def then_ejection_disabled(context):
    for ejects in (True, False):
        monitor = single_monitor(ejects=ejects)
        fail_one_worker(monitor)
        assert monitor.stats(WORKERS[0]).is_ejected == ejects


@then("without a retry budget any number of retries is allowed")
def then_no_retry_budget(context):
    for share in (0.5, 0.0):
        monitor = single_monitor(retry_share=share)
        fail_one_worker(monitor)
        assert monitor.may_retry(SERVICE) == (share == 0.0)


@then("with reported load disabled no worker's load is known")
def then_load_disabled(context):
    for enabled in (True, False):
        monitor = single_monitor(uses_worker_load=enabled)
        monitor.record_load(WORKERS[0], WorkerLoad(1, 0, 4))
        fail_one_worker(monitor, 1)
        assert (monitor.stats(WORKERS[0]).load is not None) == enabled
