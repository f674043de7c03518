"""Worker selection with shared statistics: one real gateway, and many on an in-memory network."""

import socket
import threading
import time

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.support.fake_monitor import FakeWorkerMonitor
from features.support.hosted_gateway import GatewayUnderTest
from features.support.sight_nodes import SERVICE, GossipNetwork
from hypothesis import given, settings

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import WorkerEntry
from bellweir.hosted.serving.attempt import AttemptState
from bellweir.hosted.serving.failed_attempt import FailedAttempt
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.sight.exchange import GOSSIP_INTERVAL_S
from bellweir.hosted.sight.interface import ObservedOutcome, WorkerStats
from bellweir.hosted.sight.retry_budget import RESERVE_RETRIES
from bellweir.hosted.sight.worker_load import WorkerLoad
from bellweir.hosted.views.workers import Worker
from bellweir.kernel.listeners import address_of
from bellweir_rehearsal.hosted.worker import WorkerStandIn

RETRY_SHARE = 0.5
PROPAGATION_S = 7.0
"""Time in which a retry becomes known to all 24 gateways: 14 gossip rounds."""


@given_step('workers "a" and "b" behind a gateway with shared worker statistics')
def given_workers(context):
    context.workers = {name: WorkerStandIn(f"i-{name}") for name in "ab"}
    context.monitor = FakeWorkerMonitor()
    context.gateway = GatewayUnderTest(list(context.workers.values()), context.monitor)
    context.cleanup.callback(context.gateway.close)
    for worker in context.workers.values():
        context.cleanup.callback(worker.close)


def incarnation_of(context, name):
    return context.gateway.workers.worker(f"i-{name}").incarnation


@given_step('worker "{name}" is ejected')
def given_ejected(context, name):
    one = incarnation_of(context, name)
    context.monitor.stats_by_worker[one] = WorkerStats(one, is_ejected=True)


@given_step('worker "{name}" may be probed')
def given_probe(context, name):
    context.monitor.probes.add(incarnation_of(context, name))


@given_step('the next request at worker "{name}" fails')
def given_failure(context, name):
    context.workers[name].faults.fail = 1


@given_step('other gateways have {count:d} requests in flight at worker "{name}"')
def given_others(context, count, name):
    for each in "ab":
        one = incarnation_of(context, each)
        in_flight = count if each == name else 0
        context.monitor.stats_by_worker[one] = WorkerStats(
            one, in_flight, median_s=0.5, p95_s=0.6, age_s=0.1
        )


@given_step(
    "an idle worker that takes {factor:d} times as long, and a healthy one with "
    "{count:d} of {slots:d} slots in use"
)
def given_slow_and_healthy(context, factor, count, slots):
    context.slow, context.healthy = (
        Worker(name, WorkerEntry("app", f"{name}:1", slots=slots)) for name in ("slow", "healthy")
    )
    context.local_monitor = FakeWorkerMonitor()
    context.loads = WorkerLoads("a", monitor=context.local_monitor)
    set_stats(context, context.slow, 0, 0.04 * factor)
    set_stats(context, context.healthy, count, 0.04)


def set_stats(context, worker, in_flight, usual_s):
    one = worker.incarnation
    context.local_monitor.stats_by_worker[one] = WorkerStats(
        one, in_flight, usual_s, 2 * usual_s, age_s=0.1
    )


def choose_repeatedly(context, count):
    """Return the workers of `count` choices, each released at once."""
    found = []
    for _ in range(count):
        found.append(context.loads.choose([context.slow, context.healthy], ()))
        context.loads.release(found[-1].incarnation)
    return found


@then("31 of 32 choices take the healthy worker, and the others take the slow one")
def then_healthy(context):
    found = choose_repeatedly(context, 320)
    assert found.count(context.healthy) == 310, found.count(context.healthy)


@then("a healthy worker with 4 times its slots in flight is not chosen")
def then_full(context):
    set_stats(context, context.healthy, 4 * context.healthy.entry.slots, 0.04)
    assert set(choose_repeatedly(context, 31)) == {context.slow}


@given_step('worker "{name}" reports the load "{text}"')
def given_load(context, name, text):
    context.workers[name].told_load = text


@then(
    "the monitor got {requests:d} requests, {slots:d} slots and a pace of {pace:d} "
    'for worker "{name}", and nothing for "{other}"'
)
def then_load(context, requests, slots, pace, name, other):
    reported = context.monitor.loads[f"i-{name}"]
    assert (reported.requests, reported.slots, reported.pace) == (requests, slots, pace)
    assert f"i-{other}" not in context.monitor.loads


@then(
    "of two equal workers the one that just reported a load is ranked last, and a "
    "report a minute old has no effect"
)
def then_by_age(context):
    def ranks(load, age_s):
        monitor = FakeWorkerMonitor()
        loads = WorkerLoads("a", monitor=monitor)
        workers = [worker_of(number) for number in range(2)]
        for worker in workers:
            loads.acquire(worker)
            loads.record_success(worker.incarnation, 0.1)
        first = workers[0].incarnation
        monitor.stats_by_worker[first] = WorkerStats(first, load=load, load_age_s=age_s)
        return [loads._rank(worker, time.monotonic(), None)[:-1] for worker in workers]

    for load in (WorkerLoad(3, 1, 4), WorkerLoad(0, 0, 4, 300)):
        reported, other = ranks(load, 0.0)
        assert reported > other, (reported, other)
        assert len(set(ranks(load, 60.0))) == 1, ranks(load, 60.0)


@given_step("the retry budget is spent")
def given_budget_spent(context):
    context.monitor.allows_retries = False


@given_step("the service's 95th percentile latency is {milliseconds:d} ms")
def given_service_latency(context, milliseconds):
    context.monitor.p95_s = milliseconds / 1000


@given_step('worker "{name}" accepts requests without responding, and is tried first')
def given_unresponsive(context, name):
    call = context.gateway._connections.call
    context.timeouts_s = []

    def recording_call(worker, sent, timeout_s, deadline_ms, cancellation):
        context.timeouts_s.append(timeout_s)
        return call(worker, sent, timeout_s, deadline_ms, cancellation)

    context.gateway._connections.call = recording_call
    listener = socket.create_server(("127.0.0.1", 0))
    context.cleanup.callback(listener.close)
    context.closed = threading.Event()
    entries = {f"i-{each}": worker.entry("app") for each, worker in context.workers.items()}
    entries[f"i-{name}"]["address"] = address_of(listener)
    context.gateway.show_workers(entries)
    for each in "ab":
        one = incarnation_of(context, each)
        usual_s = 0.01 if each == name else 0.5
        context.monitor.stats_by_worker[one] = WorkerStats(
            one, median_s=usual_s, p95_s=0.6, age_s=0.1
        )

    def swallow():
        connection, _ = listener.accept()
        with connection:
            while connection.recv(65_536):
                pass
        context.closed.set()

    threading.Thread(target=swallow, daemon=True).start()


@when("{count:d} requests are sent one after the other")
def when_sent(context, count):
    before = dict.fromkeys(context.workers, 0)
    del context.monitor.ends[:]
    context.answers = [context.gateway.send("/idempotent/x") for _ in range(count)]
    context.ran = before
    for instance, outcome in context.monitor.ends:
        context.ran[instance.removeprefix("i-")] += outcome is ObservedOutcome.SERVED


def then_all_answered(context):
    assert [one.status for one in context.answers] == [200] * len(context.answers)


@then('all were answered, and worker "{name}" ran {count:d} of them')
def then_ran(context, name, count):
    then_all_answered(context)
    assert context.ran[name] == count, context.ran


@then('all were answered, and worker "{name}" ran some of them')
def then_ran_some(context, name):
    then_all_answered(context)
    assert context.ran[name] > 0, context.ran


@then('the last response is {status:d}, and worker "{name}" ran {count:d} of them')
def then_status(context, status, name, count):
    assert context.answers[-1].status == status
    assert context.ran[name] == count, context.ran


@then("the last response is {status:d}, and 1 retry was refused")
def then_refused(context, status):
    assert context.answers[-1].status == status
    assert context.monitor.retries == {"refused": 1}, context.monitor.retries


@then(
    'all were answered, and the attempt at worker "{name}" timed out after twice '
    "that latency and its connection was closed"
)
def then_timed_out(context, name):
    then_all_answered(context)
    assert (f"i-{name}", ObservedOutcome.LATE) in context.monitor.ends, context.monitor.ends
    assert context.timeouts_s[0] == 2 * context.monitor.p95_s, context.timeouts_s
    assert context.closed.wait(5.0)
    assert context.monitor.retries == {"made": 1}


def worker_of(number):
    return Worker(f"i-{number}", WorkerEntry(SERVICE, f"h:{number}", zone="a", slots=4))


@then(
    "a gateway without shared statistics of any worker ranks workers as one without "
    "a monitor, at any local load"
)
def then_ranks_equally(context):
    @settings(max_examples=100, deadline=None)
    @given(loads=st.lists(st.tuples(st.integers(0, 6), st.floats(0.02, 2.0)), min_size=2))
    def ranks_equally(loads):
        plain, monitored = WorkerLoads("a"), WorkerLoads("a", monitor=FakeWorkerMonitor())
        workers = [worker_of(number) for number in range(len(loads))]
        ranks = []
        for each in (plain, monitored):
            for worker, (in_flight, seconds) in zip(workers, loads, strict=True):
                each.acquire(worker)
                each.record_success(worker.incarnation, seconds)
                for _ in range(in_flight):
                    each.acquire(worker)
            ranks.append([each._rank(worker, 0.0, None)[:-1] for worker in workers])
        assert ranks[0] == ranks[1]

    ranks_equally()


@then(
    "each outcome of an attempt is reported: success, failure, refusal and timeout, "
    "and unknown if the client left"
)
def then_reported(context):
    monitor = FakeWorkerMonitor()
    loads = WorkerLoads("a", monitor=monitor)
    worker = worker_of(1)

    def end(state, **more):
        loads.acquire(worker)
        FailedAttempt("r", 1, worker, state, "", 900, **more).record(loads)

    loads.acquire(worker)
    loads.record_success(worker.incarnation, 0.1)
    end(AttemptState.ANSWERED)
    end(AttemptState.REFUSED)
    end(AttemptState.NOT_SENT)
    end(AttemptState.UNKNOWN, is_timed_out=True)
    end(AttemptState.UNKNOWN, is_timed_out=True, is_cancelled=True)
    reported = [outcome for _, outcome in monitor.ends]
    failed = ObservedOutcome.FAILED
    expected = [ObservedOutcome.SERVED, failed, ObservedOutcome.REFUSED, failed]
    assert reported == [*expected, ObservedOutcome.LATE, ObservedOutcome.UNKNOWN], reported
    assert loads.in_flight(worker.incarnation) == 0


@given_step("{gateways:d} gateways in {zones:d} zones that share worker statistics")
def given_network(context, gateways, zones):
    context.network = network = GossipNetwork(gateways, zones, retry_share=RETRY_SHARE)
    context.loads = [WorkerLoads("a", monitor=one.monitor) for one in network.all()]
    context.entries = [worker_of(number) for number in range(len(network.workers))]


@when("all requests of these gateways fail at every worker for {seconds:d} s")
def when_all_fail(context, seconds):
    context.first_attempts = context.retries = 0
    context.seconds = seconds
    for _ in range(round(seconds / GOSSIP_INTERVAL_S)):
        for loads in context.loads:
            tried = []
            while (worker := loads.choose(context.entries, tried)) is not None:
                tried.append(worker.incarnation)
                loads.record_failure(worker.incarnation)
            context.first_attempts += 1
            context.retries += len(tried) - 1
        context.network.run(1)


@then("all retries stay within the budget, except for the reserve and the propagation time")
def then_within_budget(context):
    max_retries_per_request = len(context.entries) - 1
    before_propagation = (
        PROPAGATION_S * context.first_attempts / context.seconds * max_retries_per_request
    )
    limit = RETRY_SHARE * context.first_attempts + RESERVE_RETRIES + before_propagation
    assert context.retries <= limit, (context.retries, context.first_attempts)
    assert context.retries < 0.4 * max_retries_per_request * context.first_attempts, context.retries


@when("one worker of 4 takes ten times as long for {seconds:d} s")
def when_slow(context, seconds):
    network = context.network
    for number in range(round(seconds / GOSSIP_INTERVAL_S)):
        for place, one in enumerate(network.all()):
            if place % 4 == number % 4:
                worker = network.workers[(place // 4 + number) % 4]
                slow = worker == Incarnation("i-0")
                one.observe(worker, ObservedOutcome.SERVED, 0.8 if slow else 0.08)
        network.run(1)


@then("all gateways have ejected exactly that worker")
def then_only_that(context):
    for one in context.network.all():
        ejected = {each for each in context.network.workers if one.monitor.stats(each).is_ejected}
        assert ejected == {Incarnation("i-0")}, (one.transport.node, ejected)
