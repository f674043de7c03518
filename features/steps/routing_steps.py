import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from bellweir.clients.interface import FinishReason
from bellweir.resources.models import RequestClass
from bellweir.routing.circuit import CircuitState
from bellweir.routing.interface import RefusalReason, RunState
from support.routing_cluster import (
    RoutingCluster,
    body_of,
    chunks_of,
    held_generation,
    tokens_of,
)
from support.routing_fakes import TYPED_FAULTS, Fault
from support.routing_once_fixture import recover, stop_probes
from support.waiting import wait_until

FAULTS = st.lists(st.sampled_from(TYPED_FAULTS), max_size=3)


def _cluster(context, engines=0, applications=0) -> RoutingCluster:
    cluster = RoutingCluster(context.cleanup)
    cluster.add_engines(engines)
    cluster.add_applications(applications)
    return cluster


@given("routing over {engines:d} engines and {applications:d} application workers")
def step_routing(context, engines, applications):
    context.cluster = _cluster(context, engines, applications)
    context.node = context.cluster.add_node()


@then("routing's streams are complete for any stream failures")
def step_streams_whole(context):
    cuts = st.lists(st.lists(st.integers(1, 4), max_size=2), min_size=3, max_size=3)

    @settings(max_examples=40)
    @drawn(cuts=cuts, tokens=st.integers(1, 20))
    def whole(cuts, tokens):
        _await_recovery(context)
        for engine, after in zip(context.cluster.engines, cuts, strict=True):
            engine.cut_after[:] = after
        request = context.cluster.generation_request(tokens)
        chunks = chunks_of(context.node.generate(request).unwrap())
        assert sum((chunk.tokens for chunk in chunks), ()) == tokens_of(request)
        assert [chunk.finish_reason for chunk in chunks].count(FinishReason.LENGTH) == 1
        assert chunks[-1].finish_reason is FinishReason.LENGTH
        for engine in context.cluster.engines:
            engine.cut_after.clear()

    whole()


@when(
    "routing generates {tokens:d} tokens while the first engine's stream fails after {cut:d}"
    " and the others hold version {version:d}"
)
def step_versions(context, tokens, cut, version):
    for engine in context.cluster.engines:
        engine.cut_after[:] = [cut]
    generation = iter(context.node.generate(context.cluster.generation_request(tokens)).unwrap())
    context.chunks = [next(generation).unwrap()]
    first = context.chunks[0].worker
    for engine in context.cluster.engines:
        if engine.name != first:
            engine.version = version
            engine.cut_after.clear()
    context.chunks += [item.unwrap() for item in generation]


@then("routing's answer has {old:d} tokens of version 1 and {new:d} of version 2")
def step_segments(context, old, new):
    versions = [chunk.weight_version for chunk in context.chunks for _ in chunk.tokens]
    assert versions == [1] * old + [2] * new, versions


@when("routing's caller cancels a stream that is running")
def step_cancel(context):
    generation = held_generation(context)
    pool = ThreadPoolExecutor(1)
    context.cleanup.callback(pool.shutdown)
    context.reading = pool.submit(list, generation)
    generation.cancel()
    generation.cancel()


@when("routing's callers stop reading {count:d} streams at their last chunks")
def step_stop_at_last(context, count):
    for _ in range(count):
        generation = context.node.generate(context.cluster.generation_request()).unwrap()
        for item in generation:
            if item.unwrap().finish_reason is not None:
                break


@then("routing cancels that attempt on its engine")
def step_cancelled(context):
    engine = next(engine for engine in context.cluster.engines if engine.started)
    attempt = engine.started[0].attempt_id
    wait_until(lambda: attempt in engine.cancelled, "the attempt is cancelled on its engine")
    if hasattr(context, "reading"):
        assert context.reading.result(20) == []


@then("routing has no request in flight")
def step_none_in_flight(context):
    views = context.node.backend_views.pools()
    held = [backend.in_flight for pool in views.values() for backend in pool.backends]
    assert sum(held) == 0, held
    gates = context.node._runtimes.of(views["engines"].pool).gates
    assert all(gate.running == 0 for gate in gates.values())


@when("routing drains while a stream is running")
def step_drain(context):
    context.generation = held_generation(context)
    pool = ThreadPoolExecutor(2)
    context.cleanup.callback(pool.shutdown)
    context.reading = pool.submit(chunks_of, context.generation)
    context.drain = pool.submit(context.node.drain, 60.0)
    wait_until(lambda: context.node._admissions.draining, "draining has begun")


@then("routing refuses a new request as draining and not run")
def step_refused_draining(context):
    refusal = context.node.forward(context.cluster.application_request()).failure()
    assert (refusal.reason, refusal.run_state) == (RefusalReason.DRAINING, RunState.NOT_RUN)
    assert refusal.retry_after_s is not None


@then("routing's running stream completes before the drain does")
def step_drained(context):
    assert not context.drain.done()
    context.gate.set()
    context.drain.result(20)
    chunks = context.reading.result(20)
    assert sum((chunk.tokens for chunk in chunks), ()) == tokens_of(context.request)


@then("routing answers lookups completely after one fault of any kind")
def step_lookups(context):
    for fault in TYPED_FAULTS:
        one_fault = [fault]
        for application in context.cluster.applications:
            application.faults = one_fault
        request = context.cluster.application_request(b"number 7")
        answer = context.node.forward(request).unwrap()
        assert body_of(answer) == b"answer to number 7"
        assert not one_fault
        _await_recovery(context)


def _set_faults(context, faults):
    for application, chosen in zip(context.cluster.applications, faults, strict=True):
        application.faults[:] = chosen


def _await_recovery(context):
    """Recover every worker and wait until all are ready."""
    recover(context.node.backend_views)
    context.cluster.await_ready(context.node.backend_views)


@then("routing's refusals of interactive posts state correctly whether they ran, for any faults")
def step_refusals_correct(context):
    @settings(max_examples=60)
    @drawn(faults=st.tuples(FAULTS, FAULTS, FAULTS))
    def truthful(faults):
        _await_recovery(context)
        _set_faults(context, faults)
        request = context.cluster.application_request(
            b"unique", request_class=RequestClass.INTERACTIVE
        )
        ran_before = _runs(context)
        outcome = context.node.forward(request)
        ran = _runs(context) - ran_before
        assert ran <= 1, "a post that may not be repeated ran twice"
        match outcome:
            case Success(answer):
                assert body_of(answer) == b"answer to unique"
                assert ran == 1
            case Failure(refusal):
                assert refusal.run_state is not RunState.NOT_RUN or ran == 0

    truthful()


def _runs(context):
    return sum(len(application.ran) for application in context.cluster.applications)


@given("routing's worker {name} is dead but not yet detected")
def step_dead_worker(context, name):
    stop_probes(context.node.backend_views)
    context.cluster.platform.applications[name].dead = True


@given("routing's workers are all dead but not yet detected")
def step_all_dead(context):
    stop_probes(context.node.backend_views)
    for application in context.cluster.applications:
        application.dead = True


@when("routing forwards {count:d} lookups")
def step_forward_many(context, count):
    context.before = context.node.statistics().attempts
    context.outcomes = [
        context.node.forward(context.cluster.application_request()) for _ in range(count)
    ]


@then("routing has answered all of them with at most {most:d} failed attempt each")
def step_few_failures(context, most):
    assert all(isinstance(outcome, Success) for outcome in context.outcomes)
    attempts = context.node.statistics().attempts - context.before
    assert attempts <= len(context.outcomes) * (1 + most)


@then("routing has refused all of them as not run with fewer than {most:g} attempts each")
def step_no_amplification(context, most):
    assert all(outcome.failure().run_state is RunState.NOT_RUN for outcome in context.outcomes)
    assert all(outcome.failure().retry_after_s for outcome in context.outcomes)
    attempts = context.node.statistics().attempts - context.before
    assert attempts < most * len(context.outcomes), attempts


@when("routing's worker {name} leaves by {source}")
def step_leaves(context, name, source):
    application = context.cluster.platform.applications[name]
    context.leaving_worker = application
    if source == "the operator":
        context.cluster.leaving.add(name)
        context.cluster.configure()
        return
    application.leaving = True
    if source == "its own answer":
        stop_probes(context.node.backend_views)
        while not application.attempts:
            body_of(context.node.forward(context.cluster.application_request()).unwrap())


@then("routing soon sends it no new requests")
def step_nothing_new(context):
    views = context.node.backend_views

    def is_marked_leaving():
        found = [view for view in views.views("shop") if view.worker == context.leaving_worker.name]
        return all(view.leaving for view in found)

    wait_until(is_marked_leaving, "the worker is marked as leaving")
    before = context.leaving_worker.attempts
    for _ in range(20):
        context.node.forward(context.cluster.application_request()).unwrap()
    assert context.leaving_worker.attempts == before


@when("routing's callers send each worker {count:d} requests with too short a deadline")
def step_short_deadlines(context, count):
    stop_probes(context.node.backend_views)
    context.outcomes = []
    for application in context.cluster.applications:
        application.on_run = lambda _: time.sleep(0.02)
        application.faults = [Fault.LOST_ANSWER] * (count * 3)
    for _ in range(count * len(context.cluster.applications)):
        deadline_s = time.monotonic() + 0.01
        request = context.cluster.application_request(deadline_monotonic_s=deadline_s)
        context.outcomes.append(context.node.forward(request))


@then("routing refuses them by their deadline and leaves all circuits closed")
def step_deadline_refusals(context):
    refusals = [outcome.failure() for outcome in context.outcomes]
    assert {(found.reason, found.run_state) for found in refusals} == {
        (RefusalReason.DEADLINE, RunState.UNKNOWN)
    }
    backends = context.node.backend_views.pools()["shop"].backends
    assert all(backend._circuit.state is CircuitState.CLOSED for backend in backends)
