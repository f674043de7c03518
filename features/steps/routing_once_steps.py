import threading
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from returns.result import Failure, Success

from bellweir.kernel.clock import SystemClock
from bellweir.ledger.interface import ClaimState, LedgerError, LedgerErrorKind
from bellweir.routing.outcome_recorder import ClaimHolder, OutcomeRecorder
from support.routing_claims import LedgerFault, NodeKilledError, RequestPoint
from support.routing_cluster import (
    body_of,
)
from support.routing_fakes import Fault
from support.routing_once_fixture import CLAIM_WINDOW_S, OnceFixture, recover
from support.routing_once_machine import bind_machine


@given("routing of once requests over 3 nodes and 3 application workers")
def step_once(context):
    context.once = OnceFixture(context.cleanup)
    context.cluster = context.once.cluster


@then(
    "routing runs each key at most once and reports its state correctly under losses, kills, pauses"
)
def step_at_most_once(context):
    run_state_machine_as_test(
        bind_machine(context.once), settings=settings(max_examples=200, stateful_step_count=20)
    )


def _order(context, node, description):
    """Send an order under the described conditions."""
    once = context.once
    if "a window later" in description:
        once.clock.offset_s += CLAIM_WINDOW_S * 1.5
    if "answer lost" in description:
        once.faults.append(Fault.LOST_ANSWER)
    if "ledger down" in description:
        once.ledger.faults[:] = [LedgerFault.UNAVAILABLE] * 8
    if "claim answers lost" in description:
        once.ledger.faults[:] = [LedgerFault.LOST_AFTER] * 6
    for application in once.cluster.applications:
        application.dead = "workers dead" in description
    context.cluster.configurations[node].ready = "not configured" not in description
    context.cluster.nodes[node]._admissions.draining = "draining" in description
    key = None if "without a key" in description else description.partition("key ")[2][:1]
    body = b"order 200" if "for another item" in description else b"order 100"
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
        other._kernel.executors.run_deferred()
        other._recorder.flush()
    return outcome


@given("routing's pool generates keys")
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


POINTS = {
    "after the claim": RequestPoint.CLAIMED,
    "after the run": RequestPoint.AFTER_RUN,
    "after the record": RequestPoint.RECORDED,
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
    description, _, place = f"{what} {point}".partition(" after ")
    once, second = context.once, []

    def run_fault():
        if description == "is killed":
            once.kill(0)
        once.clock.offset_s += float(description.split()[3]) * CLAIM_WINDOW_S
        second.append(_same_order(context, 1))

    once.hooks.at = {POINTS[f"after {place}"]: run_fault}
    first = _same_order(context, 0)
    once.restore()
    context.outcomes = [first, *(second or [_same_order(context, 1)])]


@then("routing's first answer is {first}, the second is {second} and the key ran {runs:d} times")
def step_both_answers(context, first, second, runs):
    described = [_describe(outcome) for outcome in context.outcomes]
    assert described == [first, second], described
    assert sum(len(found) for found in context.once.runs.values()) == runs


def _describe(outcome):
    match outcome:
        case None:
            return "none"
        case Success(answer):
            replayed = ("Idempotency-Replayed", "true") in answer.headers
            return "the first's" if replayed else "its own"
    refusal = outcome.failure()
    return f"{refusal.reason.value} {refusal.run_state.value}"


class BlockingClaims:
    """Claims of a ledger that blocks, then fails, every record."""

    def __init__(self):
        self.tries = 0
        self.record_called = threading.Event()
        self.release = threading.Event()

    def record(self, key, attempt_id, state, answer, timeout_s):
        self.tries += 1
        self.record_called.set()
        self.release.wait(60)
        return Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, "no majority"))


@given("routing holds {count:d} outcomes that a ledger without a majority cannot record")
def step_pending(context, count):
    context.claims = BlockingClaims()
    context.recorder = OutcomeRecorder(SystemClock())
    for number in range(count):
        holder = ClaimHolder(f"shop/{number}", "attempt", context.claims)
        context.recorder.record_later(holder, ClaimState.UNKNOWN)


@when("routing's recording task is stopped during an attempt to record")
def step_stop_recording(context):
    stopping = threading.Event()
    pool = ThreadPoolExecutor(1)
    context.cleanup.callback(pool.shutdown)
    context.cleanup.callback(context.claims.release.set)
    context.task = pool.submit(context.recorder.run, stopping)
    assert context.claims.record_called.wait(20)
    stopping.set()
    context.claims.release.set()


@then("routing's recording task ends after that attempt")
def step_recording_ended(context):
    context.task.result(20)
    assert context.claims.tries == 1
