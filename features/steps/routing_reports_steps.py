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
    MAX_SUBSCRIPTIONS,
    PUSH_BYTES_PER_S,
    SUBSCRIPTION_TTL_S,
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


@given("4 routing nodes and 4 application workers, where node N owns worker app-N")
def step_nodes(context):
    clock = OffsetClock()
    cluster = RoutingCluster(context.cleanup, clock=clock, make_executors=InlineExecutors)
    cluster.add_applications(NODES)
    _reset_owners(cluster)
    for _ in range(NODES):
        cluster.add_node()
    context.cluster = cluster
    # Renews subscriptions sent before all nodes were up.
    _tick(context, range(NODES), RENEWAL_INTERVAL_S + PERIOD_S)


def _reset_owners(cluster):
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


@when("the routing nodes tick for {seconds:d} s")
def step_tick(context, seconds):
    context.rounds = int(seconds / PERIOD_S)
    for application in context.cluster.applications:
        application.probes = 0
    _tick(context, range(NODES), seconds)


@then("each application worker was probed once per round")
def step_probed_once(context):
    probes = [application.probes for application in context.cluster.applications]
    assert probes == [context.rounds] * NODES, probes


@when("application worker {name} reports that it is leaving and node {node:d} ticks once")
def step_says_leaving(context, name, node):
    context.cluster.platform.applications[name].leaving = True
    _tick(context, [node], PERIOD_S)


@then("all routing nodes see {name} as leaving")
def step_see_leaving(context, name):
    assert all(_views(context, node)[name].leaving for node in range(NODES))


@when("routing node {node:d} is disconnected from its peers and {name} becomes unready")
def step_disconnected(context, node, name):
    context.cluster.bus.drops = lambda source, target: f"peer-{node}" in (source, target)
    context.cluster.platform.applications[name].ready = False


@when("all routing nodes except {node:d} tick for {seconds:d} s")
def step_tick_but(context, node, seconds):
    _tick(context, [other for other in range(NODES) if other != node], seconds)


@then("all routing nodes except {node:d} see {name} as not ready")
def step_see_unready(context, node, name):
    known = [_views(context, other)[name].ready for other in range(NODES) if other != node]
    assert known == [False] * (NODES - 1)


@when("routing node {node:d} cannot reach {name}")
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


@then("only routing node {node:d} sees {name} as not ready")
def step_only_unready(context, node, name):
    assert not _views(context, node)[name].ready
    assert all(_views(context, other)[name].ready for other in range(NODES) if other != node)


@then("the routing views converge after any message loss, state change and ownership change")
def step_converge(context):
    cluster = context.cluster

    @settings(max_examples=40)
    @drawn(changes=CHANGES)
    def converge(changes):
        lost = set()
        cluster.bus.drops = lambda source, target: (source, target) in lost
        _reset_owners(cluster)
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


@when("node {node:d} sends an interactive request to {name} and the nodes tick for {seconds:d} s")
def step_interactive_request(context, node, name, seconds):
    backend = context.cluster.nodes[node].backend_views._table.by_key()[f"shop/{name}"]
    now_s = context.cluster.clock.monotonic_s()
    backend.record_start(now_s, interactive=True)
    backend.record_end(now_s, True)
    _tick(context, range(NODES), seconds)


@then("all routing nodes see interactive use of {name}")
def step_see_use(context, name):
    for node in context.cluster.nodes:
        backend = node.backend_views._table.by_key()[f"shop/{name}"]
        used = backend.has_recent_interactive_request(context.cluster.clock.monotonic_s())
        assert used or backend.report.interactive > 0, backend.report


@then("an owner's reports stay within the bandwidth limit for any number of subscriptions")
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


@given('an owner with as many subscriptions as it may have, some of them of node "n"')
def step_full_owner(context):
    context.publisher = ReportPublisher(lambda _address, _message: True, PERIOD_S)
    context.known = ("app-0", "app-1", "app-2")
    context.publisher.subscribe("n", SubscribeReports(context.known, (), ()), 0.0)
    others = tuple(f"other-{number}" for number in range(MAX_SUBSCRIPTIONS - len(context.known)))
    context.publisher.subscribe("m", SubscribeReports(others, (), ()), 0.0)


@when('node "n" renews them in any order, beside new ones')
def step_renew_beside_new(context):
    named = ("new-0", "app-0", "new-1", "app-1", "app-2", "new-2")
    context.publisher.subscribe("n", SubscribeReports(named, (), ()), SUBSCRIPTION_TTL_S / 2)


@then('all subscriptions that node "n" had are alive when they would have lapsed')
def step_all_alive(context):
    alive = context.publisher.workers(1.25 * SUBSCRIPTION_TTL_S)
    assert sorted(alive) == sorted(context.known), alive
