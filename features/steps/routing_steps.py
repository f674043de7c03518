import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test
from returns.result import Failure, Success

from bellweir.kernel.clock import SystemClock
from bellweir.ledger.interface import ClaimState, LedgerError, LedgerErrorKind
from bellweir.platform.interface import FinishReason
from bellweir.resources.models import RequestClass
from bellweir.routing.cancellations import Cancellations
from bellweir.routing.circuit import CircuitState
from bellweir.routing.interface import RefusalReason, RunState
from bellweir.routing.outcome_recorder import ClaimHolder, OutcomeRecorder
from support.routing_claims import LedgerFault, NodeKilledError, Point
from support.routing_cluster import RoutingCluster, body_of
from support.routing_fakes import SILENCE_S, TYPED_FAULTS, Fault, token_of
from support.routing_once_machine import use
from support.routing_once_setting import CLAIM_WINDOW_S, OnceSetting, recover, stop_probes
from support.waiting import wait_until

FAULTS = st.lists(st.sampled_from(TYPED_FAULTS), max_size=3)


def _cluster(context, engines=0, applications=0) -> RoutingCluster:
    cluster = RoutingCluster(context.cleanup)
    cluster.add_engines(engines)
    cluster.add_applications(applications)
    return cluster


def _tokens(request):
    return tuple(token_of(request.prompt, position) for position in range(request.max_tokens))


def _chunks(generation):
    return [item.unwrap() for item in generation]


@given("routing over {engines:d} engines and {applications:d} application workers")
def step_routing(context, engines, applications):
    context.cluster = _cluster(context, engines, applications)
    context.node = context.cluster.add_node()


@then("routing streams stay whole for any cuts")
def step_streams_whole(context):
    cuts = st.lists(st.lists(st.integers(1, 4), max_size=2), min_size=3, max_size=3)

    @settings(max_examples=40)
    @drawn(cuts=cuts, tokens=st.integers(1, 20))
    def whole(cuts, tokens):
        _await_recovery(context)
        for engine, after in zip(context.cluster.engines, cuts, strict=True):
            engine.cut_after[:] = after
        request = context.cluster.generation_request(tokens)
        chunks = _chunks(context.node.generate(request).unwrap())
        assert sum((chunk.tokens for chunk in chunks), ()) == _tokens(request)
        assert [chunk.finish_reason for chunk in chunks].count(FinishReason.LENGTH) == 1
        assert chunks[-1].finish_reason is FinishReason.LENGTH
        for engine in context.cluster.engines:
            engine.cut_after.clear()

    whole()


@when(
    "routing generates {tokens:d} tokens while the first engine breaks after {cut:d}"
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


def _held_generation(context):
    context.gate = threading.Event()
    for engine in context.cluster.engines:
        engine.gate = context.gate
    context.request = context.cluster.generation_request()
    return context.node.generate(context.request).unwrap()


@when("routing's caller cancels a stream that is running")
def step_cancel(context):
    generation = _held_generation(context)
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
    wait_until(lambda: attempt in engine.cancelled, "the engine has been told")
    if hasattr(context, "reading"):
        assert context.reading.result(20) == []


@then("routing has nothing in hand")
def step_nothing_in_hand(context):
    views = context.node.backend_views.pools()
    held = [backend.in_flight for pool in views.values() for backend in pool.backends]
    assert sum(held) == 0, held
    gates = context.node._runtimes.of(views["engines"].pool).gates
    assert all(gate.running == 0 for gate in gates.values())


@when("routing drains while a stream is running")
def step_drain(context):
    context.generation = _held_generation(context)
    pool = ThreadPoolExecutor(2)
    context.cleanup.callback(pool.shutdown)
    context.reading = pool.submit(_chunks, context.generation)
    context.drain = pool.submit(context.node.drain, 60.0)
    wait_until(lambda: context.node._admissions.draining, "draining has begun")


@then("routing refuses a new request as draining and not run")
def step_refused_draining(context):
    refusal = context.node.forward(context.cluster.application_request()).failure()
    assert (refusal.reason, refusal.run_state) == (RefusalReason.DRAINING, RunState.NOT_RUN)
    assert refusal.retry_after_s is not None


@then("routing's running stream ends whole before the drain does")
def step_drained(context):
    assert not context.drain.done()
    context.gate.set()
    context.drain.result(20)
    chunks = context.reading.result(20)
    assert sum((chunk.tokens for chunk in chunks), ()) == _tokens(context.request)


@then("routing answers lookups whole after one fault of any kind")
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
    """Let probes and half-open trials bring every worker back."""
    recover(context.node.backend_views)
    context.cluster.await_ready(context.node.backend_views)


@then("routing's refusals of interactive posts tell the truth for any faults")
def step_truth(context):
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


@given("routing's worker {name} is dead but not yet noticed")
def step_dead_worker(context, name):
    stop_probes(context.node.backend_views)
    context.cluster.platform.applications[name].dead = True


@given("routing's workers are all dead but not yet noticed")
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
    context.leaver = application
    if source == "the operator":
        context.cluster.leaving.add(name)
        context.cluster.configure()
        return
    application.leaving = True
    if source == "its own answer":
        stop_probes(context.node.backend_views)
        while not application.attempts:
            body_of(context.node.forward(context.cluster.application_request()).unwrap())


@then("routing soon sends it nothing new")
def step_nothing_new(context):
    views = context.node.backend_views

    def is_out():
        found = [view for view in views.views("shop") if view.worker == context.leaver.name]
        return all(view.leaving for view in found)

    wait_until(is_out, "the leaving worker is known to leave")
    before = context.leaver.attempts
    for _ in range(20):
        context.node.forward(context.cluster.application_request()).unwrap()
    assert context.leaver.attempts == before


@given("routing of once requests over 3 nodes and 3 application workers")
def step_once(context):
    context.once = OnceSetting(context.cleanup)
    context.cluster = context.once.cluster


@then("routing runs each key at most once and tells the truth, whatever is lost, killed or paused")
def step_at_most_once(context):
    run_state_machine_as_test(
        use(context.once), settings=settings(max_examples=200, stateful_step_count=20)
    )


def _order(context, node, words):
    """Send an order in the manner that the words say."""
    once = context.once
    if "a window later" in words:
        once.clock.offset_s += CLAIM_WINDOW_S * 1.5
    if "answer lost" in words:
        once.faults.append(Fault.LOST_ANSWER)
    if "ledger down" in words:
        once.ledger.faults[:] = [LedgerFault.UNAVAILABLE] * 8
    if "claim answers lost" in words:
        once.ledger.faults[:] = [LedgerFault.LOST_AFTER] * 6
    for application in once.cluster.applications:
        application.dead = "workers dead" in words
    context.cluster.configurations[node].ready = "not configured" not in words
    context.cluster.nodes[node]._admissions.draining = "draining" in words
    key = None if "without a key" in words else words.partition("key ")[2][:1]
    body = b"order 200" if "for another item" in words else b"order 100"
    request = once.cluster.application_request(
        body, path="/orders", idempotency_key=key, deadline_monotonic_s=once.deadline_s(),
        headers=(("Idempotency-Key", key),) if key else (),
    )  # fmt: skip
    outcome = once.cluster.nodes[node].forward(request)
    once.ledger.faults.clear()
    for application in once.cluster.applications:
        application.dead = False
    for other in once.cluster.nodes:
        recover(other.backend_views)
        other._kernel.executors.run_later()
        other._recorder.flush()
    return outcome


@given("routing's pool makes keys")
def step_makes_keys(context):
    context.cluster.pool_options["shop"]["generate_keys"] = True
    context.cluster.configure()


@when("routing is sent an order {first}, and then through another node {second}")
def step_two_orders(context, first, second):
    context.outcomes = [_order(context, 0, first), _order(context, 1, second)]


@then("routing's second answer is {answer} and the orders ran {runs:d} times")
def step_second_answer(context, answer, runs):
    match context.outcomes[1]:
        case Success(found) if answer == "its own":
            assert ("Idempotency-Replayed", "true") not in found.headers
        case Success(found):
            assert answer == "the first's, replayed", found
            assert ("Idempotency-Replayed", "true") in found.headers
            assert body_of(found) == body_of(context.outcomes[0].unwrap())
        case Failure(refusal):
            assert answer == f"{refusal.reason.value} {refusal.run_state.value}", refusal
    assert sum(len(found) for found in context.once.runs.values()) == runs


@when("routing generates while all engines swap and one ends its swap after refusing")
def step_swapping(context):
    stop_probes(context.node.backend_views)
    engines = context.cluster.engines
    for engine in engines:
        engine.version = None
    pool = ThreadPoolExecutor(1)
    context.cleanup.callback(pool.shutdown)

    def end_swap():
        wait_until(lambda: sum(e.swap_refusals for e in engines) == 3, "all have refused")
        engines[0].version = 2
        recover(context.node.backend_views)

    pool.submit(end_swap)
    context.request = context.cluster.generation_request()
    context.outcome = context.node.generate(context.request)


@then("routing's answer is whole and cost each engine at most one refusal")
def step_waited(context):
    chunks = _chunks(context.outcome.unwrap())
    assert sum((chunk.tokens for chunk in chunks), ()) == _tokens(context.request)
    assert [engine.swap_refusals for engine in context.cluster.engines] == [1, 1, 1]


@when("routing generates while all engines are dead")
def step_dead_engines(context):
    stop_probes(context.node.backend_views)
    for engine in context.cluster.engines:
        engine.dead = True
    context.outcome = context.node.generate(context.cluster.generation_request())


@then("routing refuses it as no_backend and not run, with a time to return")
def step_no_backend(context):
    refusal = context.outcome.failure()
    assert (refusal.reason, refusal.run_state) == (RefusalReason.NO_BACKEND, RunState.NOT_RUN)
    assert refusal.retry_after_s is not None


@when("routing generates while the first engine falls silent after {tokens:d} tokens and {probes}")
def step_silent(context, tokens, probes):
    engines = context.cluster.engines
    for engine in engines:
        engine.silent_after = tokens
    context.request = context.cluster.generation_request()
    generation = context.node.generate(context.request).unwrap()
    context.silent = next(engine for engine in engines if engine.started)
    context.silent.frozen = probes == "answers no probes"
    for engine in engines:
        if engine is not context.silent:
            engine.silent_after = None
    began_s = time.monotonic()
    context.chunks = _chunks(generation)
    context.took_s = time.monotonic() - began_s


@then("routing's answer is whole long before the silence ends, and the silent attempt is cancelled")
def step_silence_mended(context):
    tokens = sum((chunk.tokens for chunk in context.chunks), ())
    assert tokens == _tokens(context.request)
    assert context.took_s < SILENCE_S / 2, context.took_s
    attempt = context.silent.started[0].attempt_id
    wait_until(lambda: attempt in context.silent.cancelled, "the silent engine has been told")


@when("routing generates while the first engine falls silent and the others are dead")
def step_silent_alone(context):
    stop_probes(context.node.backend_views)
    for engine in context.cluster.engines:
        engine.silent_after = 3
    context.generation = context.node.generate(context.cluster.generation_request()).unwrap()
    views = context.node.backend_views
    for engine in context.cluster.engines:
        engine.dead = not engine.started
    recover(views)
    pool = ThreadPoolExecutor(1)
    context.cleanup.callback(pool.shutdown)
    pool.submit(list, context.generation)
    context.cleanup.callback(context.generation.cancel)
    wait_until(lambda: len(context.generation._had) == 3, "the stream is silent")


@then("routing's watch leaves the stream alone")
def step_left_alone(context):
    context.generation._reading_since_s -= 1000.0
    context.node._watch.look()
    assert context.generation._silenced is None


@when("routing's workers have all failed until their circuits opened and work again")
def step_circuits_open(context):
    for application in context.cluster.applications:
        application.faults = [Fault.LOST_ANSWER] * 3
    for pool in context.node.backend_views.pools().values():
        for backend in pool.backends:
            for _ in range(3):
                backend.start_request(time.monotonic())
                backend.finish_request(time.monotonic(), False)
            assert not backend.permits(time.monotonic())
    for application in context.cluster.applications:
        application.faults = []


@then("routing serves a request at once")
def step_served(context):
    assert body_of(context.node.forward(context.cluster.application_request()).unwrap())


@when("routing's engines have open circuits and a long stream has begun as the trial")
def step_trial(context):
    step_circuits_open(context)
    for engine in context.cluster.engines:
        engine.silent_after = 1
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
    context.generation = _held_generation(context)
    context.node.drain(0.1)
    context.node.stop()


POINTS = {
    "after the claim": Point.CLAIMED,
    "after the run": Point.AFTER_RUN,
    "after the record": Point.RECORDED,
}


def _same_order(context, node):
    request = context.cluster.application_request(
        b"order 100", path="/orders", idempotency_key="k",
        headers=(("Idempotency-Key", "k"),), deadline_monotonic_s=context.once.deadline_s(),
    )  # fmt: skip
    try:
        return context.cluster.nodes[node].forward(request)
    except NodeKilledError:
        return None


@when("routing's node 0 {what} {point}, and node 1 gets the same key {when}")
def step_on_the_way(context, what, point, when):
    words, _, place = f"{what} {point}".partition(" after ")
    once, second = context.once, []

    def happen():
        if words == "is killed":
            once.kill(0)
        once.clock.offset_s += float(words.split()[3]) * CLAIM_WINDOW_S
        second.append(_same_order(context, 1))

    once.happenings.at = {POINTS[f"after {place}"]: happen}
    first = _same_order(context, 0)
    once.end_step()
    context.outcomes = [first, *(second or [_same_order(context, 1)])]


@then("routing's first answer is {first}, the second is {second} and the key ran {runs:d} times")
def step_both_answers(context, first, second, runs):
    told = [_told(outcome) for outcome in context.outcomes]
    assert told == [first, second], told
    assert sum(len(found) for found in context.once.runs.values()) == runs


def _told(outcome):
    match outcome:
        case None:
            return "none"
        case Success(answer):
            replayed = ("Idempotency-Replayed", "true") in answer.headers
            return "the first's" if replayed else "its own"
    refusal = outcome.failure()
    return f"{refusal.reason.value} {refusal.run_state.value}"


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
    wait_until(lambda: len(context.calling) == 3, "each engine is called")


@then(
    "routing holds at most {threads:d} background threads for it,"
    " and tells the engines all when they come back"
)
def step_few_threads(context, threads):
    assert len(context.calling) <= threads
    context.release.set()
    wait_until(
        lambda: all(len(e.cancelled) == context.count for e in context.cluster.engines),
        "all attempts are cancelled",
    )


@when("routing's callers give each worker {count:d} times less time than it takes")
def step_hurry(context, count):
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
def step_hurried(context):
    refusals = [outcome.failure() for outcome in context.outcomes]
    assert {(found.reason, found.run_state) for found in refusals} == {
        (RefusalReason.DEADLINE, RunState.UNKNOWN)
    }
    backends = context.node.backend_views.pools()["shop"].backends
    assert all(backend._circuit.state is CircuitState.CLOSED for backend in backends)


class HangingClaims:
    """Claims of a ledger that takes nothing."""

    def __init__(self):
        self.tries = 0
        self.trying = threading.Event()
        self.go_on = threading.Event()

    def record(self, key, attempt_id, state, answer, timeout_s):
        self.tries += 1
        self.trying.set()
        self.go_on.wait(60)
        return Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, "no majority"))


@given("routing holds {count:d} outcomes that a ledger without a majority does not take")
def step_pending(context, count):
    context.claims = HangingClaims()
    context.recorder = OutcomeRecorder(SystemClock())
    for number in range(count):
        holder = ClaimHolder(f"shop/{number}", "attempt", context.claims)
        context.recorder.record_later(holder, ClaimState.UNKNOWN)


@when("routing's recording task is told to stop during a try")
def step_stop_recording(context):
    stopping = threading.Event()
    pool = ThreadPoolExecutor(1)
    context.cleanup.callback(pool.shutdown)
    context.cleanup.callback(context.claims.go_on.set)
    context.task = pool.submit(context.recorder.run, stopping)
    assert context.claims.trying.wait(20)
    stopping.set()
    context.claims.go_on.set()


@then("routing's recording task ends after that try")
def step_recording_ended(context):
    context.task.result(20)
    assert context.claims.tries == 1
