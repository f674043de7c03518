import threading
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from bellweir.kernel.clock import SystemClock
from bellweir.resources.models import ClassLimits, RequestClass
from bellweir.routing.adaptive_limit import MIN_LIMIT_SHARE, AdaptiveLimit
from bellweir.routing.class_gate import ClassGate
from bellweir.routing.fair_queue import FairQueue
from bellweir.routing.interface import RefusalReason, RunState
from support.routing_claims import OffsetClock
from support.waiting import wait_until

CALLERS = "abc"
ACTIONS = st.lists(
    st.tuples(st.sampled_from(("push", "push", "pop", "displace")), st.sampled_from(CALLERS)),
    max_size=40,
)
LATENCIES = st.lists(st.floats(1e-4, 10.0), min_size=10, max_size=400)


@then("routing's fair queue serves callers in turn for any pushes, pops and displacements")
def step_fair_queue(context):
    @settings(max_examples=300)
    @drawn(actions=ACTIONS)
    def fair(actions):
        queue = FairQueue()
        waiting = defaultdict(list)
        served = dict.fromkeys(CALLERS, 0)
        """Time at which each caller was last served or began to wait."""
        for time, (action, caller) in enumerate(actions, 1):
            if action == "push":
                if not waiting[caller]:
                    served[caller] = time
                waiting[caller].append((caller, time))
                queue.push(caller, (caller, time))
            elif action == "pop":
                due = [name for name in CALLERS if waiting[name]]
                item = queue.pop()
                if not due:
                    assert item is None
                    continue
                expected = min(due, key=lambda name: served[name])
                assert item == waiting[expected].pop(0), "served out of turn"
                served[expected] = time
            else:
                item = queue.displace_for(caller)
                longest = max(len(items) for items in waiting.values()) if waiting else 0
                if item is None:
                    assert longest < len(waiting[caller]) + 2
                    continue
                assert len(waiting[item[0]]) == longest >= len(waiting[caller]) + 2
                assert item == waiting[item[0]].pop(), "the newest goes first"
            assert len(queue) == sum(len(items) for items in waiting.values())

    fair()


@given("a routing gate for {running:d} request at once and {queued:d} in the queue")
@given("a routing gate for {running:d} requests at once and {queued:d} in the queue")
def step_gate(context, running, queued):
    context.clock = OffsetClock()
    context.clock.wait = SystemClock().wait
    limits = ClassLimits(concurrency=running, queue=queued)
    context.gate = ClassGate(limits, context.clock)


def _deadline_s(context, left_s=30.0):
    return context.clock.monotonic_s() + left_s


@when(
    "one caller floods the routing gate with {flood:d} requests and another sends {few:d} in turn"
)
def step_flood(context, flood, few):
    pool = ThreadPoolExecutor(flood)
    context.cleanup.callback(pool.shutdown)
    stop = threading.Event()
    context.flood = []
    context.running = []

    def hold():
        while not stop.is_set():
            entered = context.gate.enter("flood", _deadline_s(context))
            context.flood.append(entered)
            if isinstance(entered, Success):
                context.running.append(context.gate.running)
                stop.wait(0.002)
                entered.unwrap().release()

    for _ in range(flood):
        pool.submit(hold)
    wait_until(lambda: context.gate.queued >= 8, "the flood fills the queue")
    context.few = []
    for _ in range(few):
        entered = context.gate.enter("other", _deadline_s(context))
        context.few.append(entered)
        if isinstance(entered, Success):
            entered.unwrap().release()
    stop.set()


@then("the routing gate has admitted all {few:d} and refused some of the flood as not run at once")
def step_not_starved(context, few):
    assert [isinstance(entered, Success) for entered in context.few] == [True] * few
    refused = [entered.failure() for entered in context.flood if isinstance(entered, Failure)]
    assert refused
    assert {(found.reason, found.run_state) for found in refused} == {
        (RefusalReason.OVERLOADED, RunState.NOT_RUN)
    }
    assert max(context.running) <= 2


@when("the routing gate is occupied by requests of {seconds:g} s each")
def step_held(context, seconds):
    for _ in range(80):
        permit = context.gate.enter("caller", _deadline_s(context)).unwrap()
        context.clock.offset_s += seconds
        permit.release()
    context.gate.enter("caller", _deadline_s(context)).unwrap()


@then("the routing gate refuses a request that has {left_s:g} s left as not run with a retry delay")
def step_too_late(context, left_s):
    refusal = context.gate.enter("caller", _deadline_s(context, left_s)).failure()
    assert (refusal.reason, refusal.run_state) == (RefusalReason.DEADLINE, RunState.NOT_RUN)
    assert 1.0 <= refusal.retry_after_s <= 30.0
    assert context.gate.queued == 0


@then("routing's adaptive limit stays within its bounds for any latencies")
def step_bounds(context):
    @settings(max_examples=100)
    @drawn(latencies=LATENCIES, maximum=st.integers(1, 200))
    def bounded(latencies, maximum):
        limit = AdaptiveLimit(maximum, 0.0)
        for number, latency_s in enumerate(latencies):
            limit.record_latency(latency_s, limit.value, 0.05 * number)
            assert max(1, int(maximum * MIN_LIMIT_SHARE)) <= limit.value <= maximum

    bounded()


@then("routing's adaptive limit shrinks while requests get slower and grows back after")
def step_adapts(context):
    limit = AdaptiveLimit(64, 0.0)
    now_s = 0.0

    def run(latency_s, windows):
        nonlocal now_s
        for _ in range(windows * 10):
            now_s += 0.02
            limit.record_latency(latency_s, limit.value, now_s)
        return limit.value

    assert run(0.010, 20) == 64
    slow = run(0.040, 10)
    assert slow < 48, slow
    assert run(0.010, 40) > slow


@when("routing's drafts occupy every slot of their class")
def step_drafts_hold(context):
    limits = {RequestClass.DRAFT: ClassLimits(concurrency=128, queue=0)}
    context.cluster.pool_options["engines"] = {"limits": limits}
    context.cluster.configure()
    for engine in context.cluster.engines:
        engine.maximum_batch = 1000
    wait_until(
        lambda: all(
            backend.report.maximum_batch == 1000
            for backend in context.node.backend_views.pools()["engines"].backends
        ),
        "the larger batch is reported",
    )
    while _start_draft(context) is not None:
        pass
    assert len(context.drafts) == 128


def _start_draft(context):
    """Start a draft that keeps running; if refused, store the refusal and return None."""
    if not hasattr(context, "drafts"):
        context.drafts = []
        for engine in context.cluster.engines:
            engine.gate = threading.Event()
    request = context.cluster.generation_request(request_class=RequestClass.DRAFT)
    started = context.node.generate(request)
    if isinstance(started, Failure):
        context.refusal = started.failure()
        return None
    context.drafts.append(started.unwrap())
    return started


@then("routing refuses another draft as overloaded and not run")
def step_draft_refused(context):
    assert _start_draft(context) is None
    refusal = context.refusal
    assert (refusal.reason, refusal.run_state) == (RefusalReason.OVERLOADED, RunState.NOT_RUN)
    assert refusal.retry_after_s is not None


@then("routing still serves an interactive generation")
def step_interactive(context):
    for engine in context.cluster.engines:
        engine.gate.set()
    chunks = list(context.node.generate(context.cluster.generation_request()).unwrap())
    assert all(isinstance(chunk, Success) for chunk in chunks)


@when("routing starts drafts until one is refused")
def step_fill(context):
    while _start_draft(context) is not None:
        pass


@then("routing's engine runs {count:d} drafts")
def step_count(context, count):
    assert len(context.drafts) == count, len(context.drafts)
    assert context.refusal.reason is RefusalReason.OVERLOADED


@when("routing serves a caller, all drafts end, and drafts are started until one is refused")
def step_share(context):
    step_interactive(context)
    for draft in context.drafts:
        draft.cancel()
    del context.drafts
    step_fill(context)
