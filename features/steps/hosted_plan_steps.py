"""Rollouts of weight versions: the plan with an oracle, the controller with simulated workers."""

import math
import time
from types import SimpleNamespace

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.support.hosted_jobs import make_job
from hypothesis import given, settings

from bellweir.hosted.interface import Listing, OrderOutcome, StoredRecord
from bellweir.hosted.records import WorkerEntry
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.workers import Worker, WorkersView
from bellweir.hosted.weights.controller import RolloutController
from bellweir.hosted.weights.job_messages import JobAnnouncer, JobNews, JobReceiver, NewestJob
from bellweir.hosted.weights.lags import VersionLags
from bellweir.hosted.weights.plan import ModelTarget, plan_weight_loads, target_worker_count
from bellweir.hosted.weights.versions import VersionsView
from bellweir.hosted.weights.weight_load_limit import MIN_CONCURRENT, WeightLoadLimit
from bellweir.wire.interface import Sender
from bellweir_platform.workers import PlatformWorkers
from bellweir_rehearsal.hosted.worker import WorkerStandIn

MODEL = "m"


@then("for any workers, models and lags enough workers hold a usable version and loads are bounded")
def then_bounded(context):
    @settings(max_examples=120)
    @given(
        worker_count=st.integers(1, 9),
        model_count=st.integers(1, 4),
        lag=st.integers(0, 1),
        rounds=st.integers(1, 8),
    )
    def bounded(worker_count, model_count, lag, rounds):
        workers = [Worker(f"i-{n}", WorkerEntry("s", f"h:{n}")) for n in range(worker_count)]
        models = [f"m-{number}" for number in range(model_count)]
        held = {(worker.incarnation, model): 1 for worker in workers for model in models}
        loads = 0
        for version in range(2, 2 + rounds):
            targets = [ModelTarget(model, version, lag) for model in models]
            for planned in plan_weight_loads(targets, workers, held):
                assert held[planned.worker.incarnation, planned.model] < version
                held[planned.worker.incarnation, planned.model] = version
                loads += 1
            assert plan_weight_loads(targets, workers, held) == [], "it never comes to rest"
            for target in targets:
                fitting = sum(
                    held[worker.incarnation, target.model] >= target.oldest_usable
                    for worker in workers
                )
                assert fitting >= target_worker_count(worker_count, model_count, lag)
        wanted = target_worker_count(worker_count, model_count, lag)
        most = model_count * (wanted + (rounds - 1) * math.ceil(wanted / (1 + lag)) + rounds * lag)
        assert loads <= most, f"{loads} loads, at most {most}"

    bounded()


@given_step(
    "{count:d} workers that serve {models:d} models, "
    "whose versions are published faster than {max_concurrent:d} concurrent loads can follow"
)
def given_scarce_loads(context, count, models, max_concurrent):
    workers = [Worker(f"i-{n}", WorkerEntry("s", f"h:{n}")) for n in range(count)]
    names = [f"m-{number}" for number in range(models)]
    held = {(worker.incarnation, model): 1 for worker in workers for model in names}
    context.fitting = []
    for version in range(2, 30):
        targets = [ModelTarget(model, version, 1) for model in names]
        # Time for three waves of loads between two versions.
        for _ in range(3):
            for planned in plan_weight_loads(targets, workers, held)[:max_concurrent]:
                held[planned.worker.incarnation, planned.model] = planned.version
        context.fitting.append(
            [
                sum(held[one.incarnation, target.model] >= target.oldest_usable for one in workers)
                for target in targets
            ]
        )


@then("after each round no model has fewer than half as many usable workers as another one")
def then_fair(context):
    for fitting in context.fitting[1:]:
        assert 2 * min(fitting) + 1 >= max(fitting) > 0, context.fitting


@given_step(
    "loads from one shared source of weights, which {width:d} of {count:d} workers saturate"
)
def given_shared_source(context, width, count):
    context.limit, context.count = WeightLoadLimit(), count

    def load_s(max_concurrent, width=width):
        return 0.9 * max(1.0, max_concurrent / width)

    context.load_s = load_s
    for _ in range(60):
        max_concurrent = context.limit.max_concurrent(count)
        # The first load of a wave runs alone.
        context.limit.record_duration(load_s(1), count)
        for _ in range(max_concurrent - 1):
            context.limit.record_duration(load_s(max_concurrent), count)


@then("the limit decreases until loads are fast again, but not below 2")
def then_limit_falls(context):
    max_concurrent = context.limit.max_concurrent(context.count)
    assert MIN_CONCURRENT <= max_concurrent < WeightLoadLimit().max_concurrent(context.count)
    assert context.load_s(max_concurrent) < 1.6 * context.load_s(1), max_concurrent


@then("it increases to its initial value once the source has more bandwidth")
def then_limit_rises(context):
    for _ in range(60):
        context.limit.record_duration(context.load_s(1), context.count)
    assert (
        context.limit.max_concurrent(context.count)
        == WeightLoadLimit().max_concurrent(context.count)
        == 7
    )


@then("the lag is the one that the newest job allowed on its arrival, at most 1")
def then_lag(context):
    jobs = []
    lags = VersionLags(lambda: jobs)
    assert lags.lag_of(MODEL, 1) == 0
    jobs.append(make_job("a", 1, 1, minimum_version=1))
    assert lags.lag_of(MODEL, 2) == 1
    # The next version is published before its job arrives.
    assert lags.lag_of(MODEL, 3) == 1
    jobs.append(make_job("b", 1, 1, minimum_version=3))
    assert lags.lag_of(MODEL, 3) == 0
    jobs.append(make_job("c", 1, 1, minimum_version=4))
    assert lags.lag_of(MODEL, 9) == 1


class RecordedTransport:
    """Records each message and passes it to its handler at once."""

    def __init__(self):
        self.sent = []
        self.handlers = {}

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, address, message):
        self.sent.append((address, message))
        self.handlers[type(message)](Sender("leader", "leader:1"), message)
        return True


@given_step("a leader of the jobs and a lease holder without a replica of them")
def given_remote_holder(context):
    context.now_s = 0.0
    context.transport = RecordedTransport()
    context.job_receiver = JobReceiver(context.transport, lambda: context.now_s)
    context.announcer = JobAnnouncer(context.transport, lambda: "holder:1", lambda: context.now_s)
    context.jobs = []


@when("a trainer's job that allows the previous version is accepted")
def when_lagging_job(context):
    context.announcer.announce(context.jobs)
    context.jobs.append(NewestJob("job", MODEL, 4, 1.0))
    context.announcer.announce(context.jobs)


@then("the holder knows that the trainer allows the previous version")
def then_holder_knows(context):
    assert VersionLags(lambda: context.job_receiver.newest).lag_of(MODEL, 5) == 1
    assert context.job_receiver.leader_address == "leader:1"


@then("it receives the newest jobs only once a second and with each new job")
def then_announced_rarely(context):
    del context.transport.sent[:]
    for _ in range(100):
        context.now_s += 0.1
        context.announcer.announce(context.jobs)
    assert 9 <= len(context.transport.sent) <= 10, len(context.transport.sent)
    context.jobs.append(NewestJob("next", MODEL, 5, 2.0))
    context.announcer.announce(context.jobs)
    (_, news) = context.transport.sent[-1]
    assert [job.id for job in news.newest] == ["next"]
    context.now_s += 60.0
    assert context.job_receiver.leader_address is None, "a leader without a message for a minute"


@then("a holder never replaces a model's job by an older one")
def then_no_older_job(context):
    job = st.builds(
        NewestJob,
        st.text("ab", min_size=1, max_size=2),
        st.sampled_from((MODEL, "other")),
        st.integers(1, 5),
        st.floats(0.0, 9.0),
    )

    @settings(max_examples=200)
    @given(announced=st.lists(st.lists(job, max_size=3), max_size=12))
    def never_older(announced):
        transport = RecordedTransport()
        job_receiver = JobReceiver(transport)
        known = {}
        for jobs in announced:
            job_receiver.handle(Sender("leader", "leader:1"), JobNews(tuple(jobs)))
            for each in job_receiver.newest:
                before = known.get(each.model, each)
                rank = (each.minimum_version, each.accepted_at_s)
                assert rank >= (before.minimum_version, before.accepted_at_s)
                known[each.model] = each
            for each in jobs:
                assert known[each.model].minimum_version >= each.minimum_version

    never_older()


class FixedLease:
    def __init__(self, fence):
        self.fence = fence

    def remaining_s(self):
        return 10.0 if self.fence else 0.0

    def begin_operation(self, seconds):
        return self.fence


def make_controller(context, count, fence):
    context.workers = [WorkerStandIn(f"i-{number}", model=MODEL) for number in range(count)]
    for worker in context.workers:
        context.cleanup.callback(worker.close)
    view = WorkersView()
    context.versions = VersionsView()
    configuration = ConfigurationView()
    engine = {"slots": 8, "models": [{"name": MODEL}]}
    configuration.apply(
        {"version": 1, "routes": [], "services": [{"name": "llm", "engine": engine}]}, "test"
    )
    context.jobs = []
    context.controller = RolloutController(
        FixedLease(fence),
        context.versions,
        view,
        configuration,
        PlatformWorkers(),
        VersionLags(lambda: context.jobs),
        "node-1",
        announce_weight_load=lambda worker, model, for_s: record_announcement(
            context, worker, model, for_s
        ),
    )
    context.announced = []
    records = tuple(
        StoredRecord("servers", worker.instance, 1, worker.entry("llm"))
        for worker in context.workers
    )
    view.apply_listing(Listing(1, records))


def record_announcement(context, worker, model, for_s):
    """Record an announcement with the number of orders that the worker has received by then."""
    orders = next(
        len(one.record.orders) for one in context.workers if one.instance == worker.instance
    )
    context.announced.append((worker.instance, model, for_s > 0, orders))


@then("each worker's load is announced before its order arrives, and its end afterwards")
def then_announced(context):
    step_until(context, lambda: not context.controller._loads)
    for worker in context.workers:
        announced = [one for one in context.announced if one[0] == worker.instance]
        assert announced == [
            (worker.instance, MODEL, True, 0),
            (worker.instance, MODEL, False, 1),
        ], announced


class BusyWorkers(PlatformWorkers):
    """Workers that report as usual and accept no order."""

    def order(self, address, instance, order, timeout_s):
        return OrderOutcome.CONFLICT


@given_step("no worker accepts an order")
def given_refused_orders(context):
    context.controller._control = BusyWorkers()


@then("the end of every announced load is announced")
def then_all_ended(context):
    newest = {worker: is_loading for worker, _, is_loading, _ in context.announced}
    assert newest, "no load was announced"
    assert not any(newest.values()), newest


@given_step("{count:d} workers of a model with version 1 and a controller that holds the lease")
def given_holder(context, count):
    make_controller(context, count, 17)


@given_step("{count:d} workers of a model with version 1 and a controller without the lease")
def given_no_holder(context, count):
    make_controller(context, count, 0)


@given_step("the trainer's jobs allow the previous version")
def given_lag(context):
    context.allows_before = True


def publish(context, version):
    context.versions.apply_listing(
        Listing(
            1, (StoredRecord("versions", MODEL, version, {"model": MODEL, "version": version}),)
        )
    )


def step_until(context, done, timeout_s=20.0):
    context.most_loading = 0
    deadline_s = time.monotonic() + timeout_s
    while not done() and time.monotonic() < deadline_s:
        context.controller.step()
        context.most_loading = max(context.most_loading, len(context.controller._loads))
        time.sleep(0.02)
    assert done(), [worker.version for worker in context.workers]


@when("version {version:d} is published")
def when_published(context, version):
    publish(context, version)
    for _ in range(3):
        context.controller.step()


@then("all {count:d} workers hold version {version:d}, each after one order with the fencing token")
def then_all_hold(context, count, version):
    step_until(context, lambda: all(each.version == version for each in context.workers))
    for worker in context.workers:
        orders = [(each.holder, each.fence, each.version) for each in worker.record.orders]
        assert orders == [("node-1", 17, version)]


@then("at most {most:d} of them loaded concurrently")
def then_concurrent(context, most):
    assert context.most_loading <= most == WeightLoadLimit().max_concurrent(len(context.workers))


@when("versions {first:d} to {last:d} are published, each after the loads of the previous one")
def when_several(context, first, last):
    for version in range(first, last + 1):
        publish(context, version)
        context.jobs.append(make_job(f"job-{version}", 1, 1, minimum_version=version - 1))
        step_until(
            context,
            lambda version=version: (
                min(each.version for each in context.workers) >= version - 1
                and sum(each.version == version for each in context.workers) >= 2
                and not context.controller._loads
            ),
        )


@then("every worker holds version 4 or 5 and at most {most:d} orders were sent")
def then_few_orders(context, most):
    assert {worker.version for worker in context.workers} <= {4, 5}
    assert sum(len(worker.record.orders) for worker in context.workers) <= most


@then("no order is sent")
def then_no_order(context):
    assert SimpleNamespace(orders=[each.record.orders for each in context.workers]).orders == [
        [] for _ in context.workers
    ]


@given_step("each worker leaves its next order unanswered and executes it late")
def given_late(context):
    for worker in context.workers:
        worker.faults.late_orders = 1
        worker.faults.late_s = 1.2


@when("versions {first:d} to {last:d} are published, one every half second")
def when_published_quickly(context, first, last):
    context.seen = {worker.instance: [] for worker in context.workers}
    for version in range(first, last + 1):
        publish(context, version)
        until_s = time.monotonic() + 0.5
        while time.monotonic() < until_s:
            step_and_record(context)


def step_and_record(context):
    context.controller.step()
    for worker in context.workers:
        context.seen[worker.instance].append(worker.version)
    time.sleep(0.02)


@then("all workers reach version {version:d}, and none ever returned to an older one")
def then_never_older(context, version):
    deadline_s = time.monotonic() + 20.0
    while time.monotonic() < deadline_s:
        step_and_record(context)
        if all(each.version == version for each in context.workers):
            break
    # Wait for the orders that are still to be executed late.
    until_s = time.monotonic() + 1.5
    while time.monotonic() < until_s:
        step_and_record(context)
    for worker in context.workers:
        seen = context.seen[worker.instance]
        assert seen == sorted(seen), f"{worker.instance} returned to an older version: {seen}"
        assert worker.version == version
