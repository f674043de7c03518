import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from bellweir.routing.cancellations import Cancellations
from bellweir.routing.interface import RefusalReason, RunState
from support.routing_cluster import (
    body_of,
    chunks_of,
    held_generation,
    tokens_of,
)
from support.routing_fakes import STALL_DURATION_S, Fault
from support.routing_once_fixture import recover, stop_probes
from support.waiting import wait_until


@when("routing generates while all engines swap weights and one completes its swap after refusing")
def step_swapping(context):
    stop_probes(context.node.backend_views)
    engines = context.cluster.engines
    for engine in engines:
        engine.version = None
    pool = ThreadPoolExecutor(1)
    context.cleanup.callback(pool.shutdown)

    def end_swap():
        wait_until(lambda: sum(e.swap_refusals for e in engines) == 3, "every engine has refused")
        engines[0].version = 2
        recover(context.node.backend_views)

    pool.submit(end_swap)
    context.request = context.cluster.generation_request()
    context.outcome = context.node.generate(context.request)


@then("routing's answer is complete after at most one refusal by each engine")
def step_complete_after_swap(context):
    chunks = chunks_of(context.outcome.unwrap())
    assert sum((chunk.tokens for chunk in chunks), ()) == tokens_of(context.request)
    assert [engine.swap_refusals for engine in context.cluster.engines] == [1, 1, 1]


@when("routing generates while all engines are dead")
def step_dead_engines(context):
    stop_probes(context.node.backend_views)
    for engine in context.cluster.engines:
        engine.dead = True
    context.outcome = context.node.generate(context.cluster.generation_request())


@then("routing refuses it as no_backend and not run, with a retry delay")
def step_no_backend(context):
    refusal = context.outcome.failure()
    assert (refusal.reason, refusal.run_state) == (RefusalReason.NO_BACKEND, RunState.NOT_RUN)
    assert refusal.retry_after_s is not None


@when("routing generates while the first engine stalls after {tokens:d} tokens and {probes}")
def step_stalled(context, tokens, probes):
    engines = context.cluster.engines
    for engine in engines:
        engine.stall_after = tokens
    context.request = context.cluster.generation_request()
    generation = context.node.generate(context.request).unwrap()
    context.stalled_engine = next(engine for engine in engines if engine.started)
    context.stalled_engine.ignores_probes = probes == "answers no probes"
    for engine in engines:
        if engine is not context.stalled_engine:
            engine.stall_after = None
    started_s = time.monotonic()
    context.chunks = chunks_of(generation)
    context.elapsed_s = time.monotonic() - started_s


@then(
    "routing's answer is complete long before the stall ends, and the stalled attempt is cancelled"
)
def step_resumed_after_stall(context):
    tokens = sum((chunk.tokens for chunk in context.chunks), ())
    assert tokens == tokens_of(context.request)
    assert context.elapsed_s < STALL_DURATION_S / 2, context.elapsed_s
    attempt = context.stalled_engine.started[0].attempt_id
    wait_until(
        lambda: attempt in context.stalled_engine.cancelled,
        "the attempt is cancelled on the stalled engine",
    )


@when("routing generates while the first engine stalls and the others are dead")
def step_stalled_without_alternative(context):
    stop_probes(context.node.backend_views)
    for engine in context.cluster.engines:
        engine.stall_after = 3
    context.generation = context.node.generate(context.cluster.generation_request()).unwrap()
    views = context.node.backend_views
    for engine in context.cluster.engines:
        engine.dead = not engine.started
    recover(views)
    pool = ThreadPoolExecutor(1)
    context.cleanup.callback(pool.shutdown)
    pool.submit(list, context.generation)
    context.cleanup.callback(context.generation.cancel)
    wait_until(lambda: len(context.generation._generated) == 3, "the stream is stalled")


@then("routing's watchdog does not abort the stream")
def step_not_aborted(context):
    context.generation._reading_since_s -= 1000.0
    context.node._watch.check_streams()
    assert context.generation._timed_out_attempt_id is None


@when("routing's workers have all failed until their circuits opened and work again")
def step_circuits_open(context):
    for application in context.cluster.applications:
        application.faults = [Fault.LOST_ANSWER] * 3
    for pool in context.node.backend_views.pools().values():
        for backend in pool.backends:
            for _ in range(3):
                backend.record_start(time.monotonic())
                backend.record_end(time.monotonic(), False)
            assert not backend.permits(time.monotonic())
    for application in context.cluster.applications:
        application.faults = []


@then("routing serves a request at once")
def step_served(context):
    assert body_of(context.node.forward(context.cluster.application_request()).unwrap())


@when("routing's engines have open circuits and a long stream has started as the trial")
def step_trial(context):
    step_circuits_open(context)
    for engine in context.cluster.engines:
        engine.stall_after = 1
    generation = context.node.generate(context.cluster.generation_request()).unwrap()
    context.cleanup.callback(generation.cancel)
    context.chunks = iter(generation)
    context.trial = next(context.chunks).unwrap().worker


@then("routing's circuit of that engine is closed while the stream still runs")
def step_closed(context):
    backends = context.node.backend_views.pools()["engines"].backends
    trial = next(backend for backend in backends if backend.name == context.trial)
    assert trial.in_flight == 1
    assert trial.permits(time.monotonic())


@when("routing's caller reads a stream up to its finish reason only")
def step_stop_at_finish(context):
    chunks = iter(context.node.generate(context.cluster.generation_request()).unwrap())
    while next(chunks).unwrap().finish_reason is None:
        pass
    chunks.close()


@then("routing has read that stream to its end and cancelled nothing")
def step_read_to_end(context):
    engines = context.cluster.engines
    assert sum(engine.read_to_end for engine in engines) == 1
    assert not any(engine.cancelled for engine in engines)


@when("routing is drained and stopped with a stream that nobody reads")
def step_stopped(context):
    context.generation = held_generation(context)
    context.node.drain(0.1)
    context.node.stop()


@when("routing cancels {count:d} attempts on each of 3 engines that hang")
def step_cancel_hanging(context, count):
    release = threading.Event()
    context.cleanup.callback(release.set)
    context.release, context.calling = release, set()

    def hang(engine):
        cancel = engine.cancel

        def slow(attempt_id):
            context.calling.add(threading.get_ident())
            release.wait(60)
            return cancel(attempt_id)

        engine.cancel = slow

    context.count = count
    cancellations = Cancellations(context.node._kernel.executors)
    for engine in context.cluster.engines:
        hang(engine)
        for number in range(count):
            cancellations.cancel(engine.name, engine, f"attempt-{number}")
    wait_until(lambda: len(context.calling) == 3, "a cancellation is running on each engine")


@then(
    "routing uses at most {threads:d} background threads for it,"
    " and cancels all attempts when the engines respond again"
)
def step_few_threads(context, threads):
    assert len(context.calling) <= threads
    context.release.set()
    wait_until(
        lambda: all(len(e.cancelled) == context.count for e in context.cluster.engines),
        "all attempts are cancelled",
    )
