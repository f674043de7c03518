from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Failure

from bellweir.routing.backend import BackendReport
from bellweir.routing.messages import SubscribeReports
from bellweir.routing.report_publisher import (
    ENTRY_BYTES,
    HEARTBEAT_INTERVAL_S,
    MAX_PUSH_INTERVAL_S,
    PUSH_BYTES_PER_S,
    ReportPublisher,
)
from bellweir.routing.report_subscriber import RENEWAL_INTERVAL_S
from bellweir.routing.views_service import MAX_REPORT_AGE_S
from support.routing_claims import InlineExecutors, OffsetClock
from support.routing_cluster import APPLICATION_POOL, RoutingCluster
from support.routing_fakes import Fault, error_of

PERIOD_S = 0.5
NODES = 4
CONVERGENCE_S = MAX_REPORT_AGE_S + RENEWAL_INTERVAL_S + HEARTBEAT_INTERVAL_S
WORKERS = st.integers(0, NODES - 1)
CHANGES = st.lists(
    st.one_of(
        st.tuples(st.just("load"), WORKERS, st.integers(0, 9)),
        st.tuples(st.just("leaving"), WORKERS, st.booleans()),
        st.tuples(st.just("ready"), WORKERS, st.booleans()),
        st.tuples(st.just("owner"), WORKERS, WORKERS),
        st.tuples(st.just("lose"), WORKERS, WORKERS),
        st.tuples(st.just("tick"), WORKERS, st.integers(1, 12)),
    ),
    max_size=25,
)


@given("routing nodes 0 to 3 over 4 application workers that node 0 to 3 own in turn")
def step_nodes(context):
    clock = OffsetClock()
    cluster = RoutingCluster(context.cleanup, clock=clock, make_executors=InlineExecutors)
    cluster.add_applications(NODES)
    _own_in_turn(cluster)
    for _ in range(NODES):
        cluster.add_node()
    context.cluster = cluster
    _tick(context, range(NODES), RENEWAL_INTERVAL_S + PERIOD_S)  # the first nodes asked too early


def _own_in_turn(cluster):
    cluster.owners.update({f"app-{number}": number for number in range(NODES)})


def _tick(context, nodes, seconds):
    for _ in range(int(seconds / PERIOD_S)):
        context.cluster.clock.offset_s += PERIOD_S
        for node in nodes:
            views = context.cluster.nodes[node].backend_views
            views._tick(context.cluster.clock.monotonic_s())


def _views(context, node):
    views = context.cluster.nodes[node].backend_views.views(APPLICATION_POOL)
    return {view.worker: view for view in views}


@when("routing's nodes tick for {seconds:d} s")
def step_tick(context, seconds):
    context.rounds = int(seconds / PERIOD_S)
    for application in context.cluster.applications:
        application.probes = 0
    _tick(context, range(NODES), seconds)


@then("routing's workers were probed once a round")
def step_probed_once(context):
    probes = [application.probes for application in context.cluster.applications]
    assert probes == [context.rounds] * NODES, probes


@when("routing's worker {name} says that it leaves and node {node:d} ticks once")
def step_says_leaving(context, name, node):
    context.cluster.platform.applications[name].leaving = True
    _tick(context, [node], PERIOD_S)


@then("all routing nodes know that {name} leaves")
def step_know_leaving(context, name):
    assert all(_views(context, node)[name].leaving for node in range(NODES))


@when("routing's node {node:d} falls silent and {name} stops being ready")
def step_silent(context, node, name):
    context.cluster.bus.loses = lambda source, target: f"peer-{node}" in (source, target)
    context.cluster.platform.applications[name].ready = False


@when("routing's nodes but {node:d} tick for {seconds:d} s")
def step_tick_but(context, node, seconds):
    _tick(context, [other for other in range(NODES) if other != node], seconds)


@then("routing's nodes but {node:d} know that {name} is not ready")
def step_know_unready(context, node, name):
    known = [_views(context, other)[name].ready for other in range(NODES) if other != node]
    assert known == [False] * (NODES - 1)


@when("routing's node {node:d} can't reach {name}")
def step_unreachable(context, node, name):
    views = context.cluster.nodes[node].backend_views
    clients = views._clients

    class Unreachable:
        def application(self, address):
            return self if address == name else clients.application(address)

        def engine(self, address):
            return clients.engine(address)

        def read_ready(self, timeout_s):
            return Failure(error_of(Fault.REFUSED))

    views._clients = Unreachable()


@then("routing's nodes but {node:d} find {name} ready")
def step_find_ready(context, node, name):
    assert not _views(context, node)[name].ready
    assert all(_views(context, other)[name].ready for other in range(NODES) if other != node)


@then("routing's views converge after any losses, changes and moves of ownership")
def step_converge(context):
    cluster = context.cluster

    @settings(max_examples=40)
    @drawn(changes=CHANGES)
    def converge(changes):
        lost = set()
        cluster.bus.loses = lambda source, target: (source, target) in lost
        _own_in_turn(cluster)
        for what, worker, value in changes:
            application = cluster.applications[worker]
            if what == "owner":
                cluster.owners[application.name] = value
            elif what == "lose":
                lost.add((f"peer-{worker}", f"peer-{value}"))
            elif what == "tick":
                _tick(context, [worker], value * PERIOD_S)
            else:
                setattr(application, what, value)
        lost.clear()
        _tick(context, range(NODES), CONVERGENCE_S)
        for node in range(NODES):
            for application in cluster.applications:
                view = _views(context, node)[application.name]
                truth = (application.ready, application.leaving, application.load)
                assert (view.ready, view.leaving, view.reported_load) == truth, (node, view)

    converge()


@when("routing's node {node:d} uses {name} for a caller and the nodes tick for {seconds:d} s")
def step_uses(context, node, name, seconds):
    backend = context.cluster.nodes[node].backend_views._table.by_key()[f"shop/{name}"]
    now_s = context.cluster.clock.monotonic_s()
    backend.start_request(now_s, interactive=True)
    backend.finish_request(now_s, True)
    _tick(context, range(NODES), seconds)


@then("all routing nodes know that callers use {name}")
def step_know_use(context, name):
    for node in context.cluster.nodes:
        backend = node.backend_views._table.by_key()[f"shop/{name}"]
        used = backend.used_by_callers(context.cluster.clock.monotonic_s())
        assert used or backend.report.interactive > 0, backend.report


@then("routing's owner stays within its bytes for any number of subscriptions")
def step_bounded(context):
    @settings(max_examples=50)
    @drawn(nodes=st.integers(1, 60), workers=st.integers(1, 20))
    def bounded(nodes, workers):
        entries = []
        publisher = ReportPublisher(
            lambda _, message: entries.extend(message.entries) or True, PERIOD_S
        )
        names = tuple(f"pool/worker-{number}" for number in range(workers))
        for node in range(nodes):
            publisher.subscribe(f"node-{node}", SubscribeReports(names, (), ()), 0.0)
        for name in names:
            publisher.publish(name, BackendReport(True, False, 0, 0.0), 0.0)
        entries.clear()
        ticks = 20
        for tick in range(1, ticks + 1):
            now_s = tick * PERIOD_S
            for name in names:
                publisher.publish(name, BackendReport(True, False, tick, now_s), now_s)
            publisher.push(now_s)
        assert entries
        pairs = nodes * workers
        allowed_per_s = max(PUSH_BYTES_PER_S / ENTRY_BYTES, pairs / MAX_PUSH_INTERVAL_S)
        assert len(entries) <= allowed_per_s * ticks * PERIOD_S + pairs

    bounded()
