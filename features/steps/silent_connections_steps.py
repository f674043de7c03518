"""Steps of `silent_connections.feature`."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from returns.result import Success

from bellweir.clients.pool import ConnectionPool, HttpCall
from bellweir.hosted.batches.attempts import ItemRunner
from bellweir.hosted.batches.progress import ItemProgress
from bellweir.hosted.interface import RecordKind
from bellweir.hosted.records import Route, RouteKind
from bellweir.hosted.serving.attempt import (
    AttemptState,
    Cancellation,
    WorkerCall,
    WorkerConnections,
)
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.follower import KindFollower
from bellweir.hosted.views.service import CHECK_INTERVAL_S
from bellweir.hosted.views.workers import Worker, WorkerEntry
from bellweir_platform.headers import HEADERS
from bellweir_platform.object_store import PlatformStore
from bellweir_rehearsal.hosted.object_store import PlatformStoreStandIn
from bellweir_rehearsal.hosted.worker import WorkerStandIn
from support.hosted_gateway import GatewayUnderTest
from support.hosted_jobs import HOST, make_job
from support.lossy_server import LossPoint, LossyServer
from support.silencing_relay import SilencingRelay

TIMEOUT_S = 5.0
MANY_CALLS = 1000


class SlowServer(LossyServer):
    """Waits before each answer."""

    pause_s = 0.0

    def _answer(self):
        time.sleep(self.pause_s)
        return super()._answer()


def call(timeout_s=TIMEOUT_S):
    return HttpCall("POST", "/x", timeout_s, {}, b"body")


def make_relayed_server(context):
    server = SlowServer(LossPoint.NOWHERE, healthy_calls=MANY_CALLS)
    context.cleanup.callback(server.stop)
    relay = SilencingRelay(server.address)
    context.cleanup.callback(relay.stop)
    return server, relay


def open_at_once(pool, count):
    """Leave `count` idle connections in a pool."""
    opened = [pool.open(call(), b"body").unwrap() for _ in range(count)]
    for answer in opened:
        answer.read_all()
        answer.finish()


@given("a server behind a relay, with {count:d} idle connections to it")
def given_server(context, count):
    context.server, context.relay = make_relayed_server(context)
    context.pool = ConnectionPool(context.relay.address)
    context.cleanup.callback(context.pool.close)
    open_at_once(context.pool, count)
    assert context.relay.connections_seen == count
    context.requests_before = context.server.requests_read


@when("the open connections of the relay go silent")
def when_silent(context):
    context.relay.silence()


@when("a call that must not be repeated is made with a time-out of {seconds:g} s")
def when_called_once(context, seconds):
    context.result = context.pool.call(call(seconds))


@then('that call\'s outcome is "{outcome}" and the server has not read it')
def then_outcome(context, outcome):
    assert context.result.failure().kind.value == outcome, context.result
    assert context.server.requests_read == context.requests_before


@then("the next call is answered")
def then_next(context):
    result = context.pool.call(call())
    assert isinstance(result, Success), result


@when("a call waits on one of them until the idle ones are closed")
def when_waiting(context):
    executor = context.cleanup.enter_context(ThreadPoolExecutor(1))
    context.waiting = executor.submit(context.pool.call, call(2.0))
    context.wait_until(lambda: not context.pool.has_idle(), "no idle connection")


@then("the next call is answered before that one has ended")
def then_next_beside(context):
    then_next(context)
    assert not context.waiting.done()


@then("a repeatable call with a time-out of {timeout_s:g} s is answered")
def then_repeatable(context, timeout_s):
    result = context.pool.call_repeatable(call(timeout_s))
    assert isinstance(result, Success), result


@when("the server takes {seconds:g} s for a call")
def when_slow(context, seconds):
    context.server.pause_s = seconds
    context.result = context.pool.call_repeatable(call())
    context.server.pause_s = 0.0


@then("that call is answered over a connection of before")
def then_answered(context):
    assert isinstance(context.result, Success), context.result
    context.connections = context.relay.connections_seen
    assert context.connections == 4


@then("the other idle connections are kept")
def then_kept(context):
    open_at_once(context.pool, 4)
    assert context.relay.connections_seen == context.connections


@given("{count:d} workers behind relays, with an idle connection to each")
def given_workers(context, count):
    context.connections = WorkerConnections(HEADERS)
    context.cleanup.callback(context.connections.retain, set())
    context.relays, context.workers = [], []
    for number in range(count):
        _, relay = make_relayed_server(context)
        entry = WorkerEntry("app", relay.address, "a", 4, "ready")
        context.relays.append(relay)
        context.workers.append(Worker(f"i-{number}", entry))
        open_at_once(context.connections.pool(relay.address), 1)


@when("all open connections of the relays go silent")
def when_all_silent(context):
    when_some_silent(context, len(context.relays))


@when("the open connections of {count:d} relays go silent")
def when_some_silent(context, count):
    for relay in context.relays[:count]:
        relay.silence()


@when("calls to {count:d} of the workers have ended")
def when_ended(context, count):
    executor = context.cleanup.enter_context(ThreadPoolExecutor(count))
    sent = WorkerCall("POST", "/x", "h.example", "r", [], b"body")
    calls = [
        executor.submit(context.connections.call, worker, sent, 2.0, 2000.0, Cancellation())
        for worker in context.workers[:count]
    ]
    for each in calls:
        assert each.result().state is AttemptState.UNKNOWN


@then("no idle connection to any worker is left")
def then_none_left(context):
    left = [one.address for one in context.workers if context.connections.has_idle(one.address)]
    assert not left, left


@then("a connection that is used after that is kept")
def then_used_kept(context):
    address = context.workers[-1].address
    open_at_once(context.connections.pool(address), 1)
    assert context.connections.has_idle(address)


@then("the idle connections to the other {count:d} workers are kept")
def then_others_kept(context, count):
    others = context.workers[-count:]
    assert all(context.connections.has_idle(one.address) for one in others)


@given("a process that follows the store through a relay and reads another kind there each second")
def given_follower(context):
    standin = PlatformStoreStandIn()
    context.cleanup.callback(standin.close)
    context.records = standin.records
    # Ends the watches that the stand-in still answers.
    context.cleanup.callback(write_configuration, context, 3)
    context.relay = SilencingRelay(standin.address)
    context.cleanup.callback(context.relay.stop)
    context.store = PlatformStore(context.relay.address)
    context.view = ConfigurationView()
    context.follower = KindFollower(
        context.store,
        RecordKind.CONFIGURATION,
        context.view.apply_listing,
        context.view.apply_change,
        is_relayable=False,
    )
    write_configuration(context, 1)
    stopping = threading.Event()
    executor = context.cleanup.enter_context(ThreadPoolExecutor(2))
    context.cleanup.callback(context.store.interrupt_watches, RecordKind.CONFIGURATION)
    context.cleanup.callback(stopping.set)
    executor.submit(context.follower.run, stopping)
    context.wait_until(lambda: context.follower._watching_since_s is not None, "a watch")
    context.store.list_kind(RecordKind.CONFIGURATION, stale=True).unwrap()
    executor.submit(read_other_kind, context.store, stopping)


def read_other_kind(store, stopping):
    """Read as the checks do, which take turns with the kinds."""
    while not stopping.wait(CHECK_INTERVAL_S):
        store.list_kind(RecordKind.WORKERS, stale=True)


def write_configuration(context, version):
    route = {"name": "r", "host": "h.example", "pathPrefix": "/", "service": "app"}
    content = {"version": version, "routes": [route], "services": [{"name": "app"}]}
    context.records.put("config", "main", content)


@when("the relay's connections go silent and the operator writes another configuration")
def when_silent_and_written(context):
    context.relay.silence()
    write_configuration(context, 2)


@then("the process routes by it within {seconds:g} s")
def then_routes(context, seconds):
    def is_known():
        table = context.view.table()
        return table is not None and table.version == 2

    context.wait_until(is_known, "the new configuration", timeout_s=seconds)


@when("the store is read {count:d} times")
def when_read(context, count):
    context.watching_since_s = context.follower._watching_since_s
    for _ in range(count):
        context.store.list_kind(RecordKind.CONFIGURATION, stale=True).unwrap()


@then("its watch is still the one of before")
def then_same_watch(context):
    assert context.follower._watching_since_s == context.watching_since_s


@given("a gateway and two model workers behind relays, with idle connections to both")
def given_gateway(context):
    standins = [WorkerStandIn(f"i-{name}", model="m", events=3) for name in "ab"]
    context.gateway = GatewayUnderTest(standins)
    entries = {}
    context.relays = []
    for standin in standins:
        relay = SilencingRelay(standin.address)
        context.relays.append(relay)
        entries[standin.instance] = standin.entry("app") | {"address": relay.address}
        context.cleanup.callback(standin.close)
        context.cleanup.callback(relay.stop)
    context.cleanup.callback(context.gateway.close)
    context.gateway.show_workers(entries)
    context.pools = [context.gateway._connections.pool(relay.address) for relay in context.relays]
    for pool in context.pools:
        answer = pool.open(call(), b"body").unwrap()
        answer.read_all()
        answer.finish()
        assert pool.has_idle()


@when("the open connections to one worker go silent")
def when_one_silent(context):
    context.relays[0].silence()


@then("each of {count:d} resumable streams with {seconds:d} s left is answered whole")
def then_streams(context, count, seconds):
    for _ in range(count):
        answer = context.gateway.send("/resumable/x", deadline_ms=1000 * seconds)
        assert (answer.status, answer.whole) == (200, True), (answer.status, answer.body)


@then("the generation of an item at that worker ends within {seconds:g} s, to be tried again")
def then_given_back(context, seconds):
    job = make_job("job", 1, 1)
    route = Route(host=HOST, path_prefix="/draft/", kind=RouteKind.ROLLOUT)
    loads = WorkerLoads("a")
    attempts = ItemRunner(context.gateway._connections, loads)
    worker = context.gateway.workers.worker("i-a")
    progress = ItemProgress(job, route, job.items[0])
    loads.acquire(worker)
    began_s = time.monotonic()
    attempts.run_generation(progress, worker, Cancellation())
    taken_s = time.monotonic() - began_s
    assert progress.events == 0
    assert progress.not_before_s > 0
    assert taken_s <= seconds, taken_s
