"""Steps of the gateway's thread shares."""

import http.client
import json
import threading
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings, strategies

from bellweir.gateway.admission import (
    LARGEST_SHARES,
    LARGEST_TOTAL,
    ThreadShare,
    ThreadShares,
)
from bellweir.kernel.clock import ManualClock, SystemClock
from support.gateway_calls import (
    gateway_call,
    gateway_json,
)
from support.gateway_fakes import FakeGeneration


@when("streams and drafts are asked for until the gateway refuses them")
def step_fill(context):
    node = context.gateway
    node.dispatcher.make = lambda _: FakeGeneration(("one ", "two"), (3, 3), pause_at=1)
    context.refused = []
    context.open_answers = []
    for headers, streamed in (({}, True), ({"X-Bellweir-Class": "draft"}, False)):
        for _ in range(64):
            refused = gateway_start_completion(context, headers, streamed)
            if refused is not None:
                context.refused.append(refused)
                break
        else:
            raise AssertionError("nothing was refused")


def gateway_start_completion(context, headers, streamed):
    """Start a completion; its answer when it is refused, None when it runs."""
    dispatcher = context.gateway.dispatcher
    before = len(dispatcher.generations)
    body = json.dumps({"model": "policy-1", "prompt": "x", "stream": streamed}).encode()
    connection = http.client.HTTPConnection("127.0.0.1", context.gateway.port, timeout=30)
    context.cleanup.callback(connection.close)
    connection.request("POST", "/v1/completions", body, headers)
    answered = threading.Event()

    def read():
        answer = connection.getresponse()
        context.open_answers.append(answer)  # dropping it would close the connection
        if answer.status != 200:
            context.last_refusal = (answer.status, answer.headers, json.loads(answer.read()))
            answered.set()

    pool = ThreadPoolExecutor(1)
    context.cleanup.callback(pool.shutdown, wait=True)
    context.cleanup.callback(lambda: [each.cancel() for each in dispatcher.generations])
    pool.submit(read)
    context.wait_until(
        lambda: answered.is_set() or len(dispatcher.generations) > before, "started or refused"
    )
    return context.last_refusal if answered.is_set() else None


@then("gateway refusals are immediate, say not_run and when to come back")
def step_fill_refused(context):
    assert len(context.refused) == 2
    for status, headers, body in context.refused:
        assert (status, headers["Retry-After"]) == (429, "1")
        assert body["error"]["run_state"] == "not_run"


@then("an interactive request at the gateway is still served")
def step_fill_interactive(context):
    assert gateway_call(context, "POST", "/apps/web/items", b"x")[0] == 200
    context.gateway.dispatcher.make = lambda _: FakeGeneration(("one",), (3,))
    assert (
        gateway_json(context, "POST", "/v1/completions", {"model": "policy-1", "prompt": "x"})[0]
        == 200
    )


@then("gateway thread shares hold their bounds and are empty at the end, for any sequence")
def step_shares(context):
    moves = strategies.tuples(
        strategies.sampled_from(["enter", "move", "leave"]),
        strategies.sampled_from(ThreadShare),
        strategies.sampled_from(["a", "b", "c"]),
        strategies.integers(0, 40),
    )

    @property_given(threads=strategies.integers(4, 40), sequence=strategies.lists(moves))
    @settings(max_examples=200)
    def property_of_shares(threads, sequence):
        shares = ThreadShares(threads, SystemClock())
        held = []
        for action, share, caller, position in sequence:
            if action == "enter":
                permit = shares.enter(share, caller)
                held += [permit] if permit else []
                assert permit or share is not ThreadShare.SYSTEM
            elif held and action == "move":
                shares.move(held[position % len(held)], share)
            elif held:
                permit = held.pop(position % len(held))
                permit.release()
                permit.release()
            use = shares.use().by_share
            for kind, part in LARGEST_SHARES.items():
                assert use[kind.label] == sum(each.share is kind for each in held)
                assert use[kind.label] <= max(1, int(threads * part))
            assert shares.held() <= max(1, int(threads * LARGEST_TOTAL))
        for permit in held:
            permit.release()
        assert not any(shares.use().by_share.values())

    property_of_shares()


@given("gateway thread shares whose drafts held their places for 40 s and lookups for 0.1 s")
def step_shares_held(context):
    context.clock = clock = ManualClock()
    context.shares = ThreadShares(16, clock)
    for share, seconds in ((ThreadShare.DRAFT, 40.0), (ThreadShare.LOOKUP, 0.1)):
        for _ in range(60):
            with context.shares.enter(share, "a"):
                clock.advance(seconds)


@then("refused gateway drafts are told to come back in 20 s, and lookups in 1 s")
def step_shares_retry(context):
    assert round(context.shares.retry_after_s(ThreadShare.DRAFT)) == 20
    assert context.shares.retry_after_s(ThreadShare.LOOKUP) == 1.0


@then("refused gateway streams are told to come back after half the age of those that run")
def step_shares_age(context):
    permits = [context.shares.enter(ThreadShare.STREAM, "a") for _ in range(2)]
    context.clock.advance(10.0)
    assert round(context.shares.retry_after_s(ThreadShare.STREAM), 3) == 5.0
    for permit in permits:
        permit.release()
