import dataclasses
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when
from returns.pipeline import is_successful

from bellweir.hosted.settings import BoundSettings
from bellweir.wire.handshake import LocalNode
from bellweir.wire.interface import LEVEL, Message, WireErrorKind
from bellweir.wire.link_silence import LinkSilence, SilenceBounds, Step
from support.silent_relay import SilentRelay
from support.waiting import wait_until
from support.wire_nodes import Question, QuestionAnswer, start_wire_node

CONTACT_S = BoundSettings().contact_ms / 1000
CALL_TIMEOUT_S = CONTACT_S / 10
"""Time-out of each of a row of requests."""
LONG_S = 10 * CONTACT_S
NARROW_BYTES_PER_S = 1_000_000
LONGEST_BYTES = 16_000_000


class LongQuestion(Message, frozen=True):
    pass


class Notice(Message, frozen=True):
    number: int


class Bulk(Message, frozen=True):
    data: bytes


@given("wire nodes alpha and beta with one cluster key, beta behind a relay")
def step_behind_relay(context, level=LEVEL):
    key = Path(context.folder) / "cluster.key"
    key.write_text("a cluster key for the tests")
    context.wire = {
        name: start_wire_node(name, (key,), context.cleanup) for name in ("alpha", "beta")
    }
    beta = context.wire["beta"].transport
    local = LocalNode("beta", context.wire["beta"].address, level)
    beta._parts = dataclasses.replace(beta._parts, local=local)
    context.relay = SilentRelay(context.wire["beta"].address)
    context.cleanup.callback(context.relay.stop)
    _ask(context, Question(0), LONG_S).unwrap()


@given("wire nodes alpha and beta with one cluster key, beta behind a relay and of level 3")
def step_behind_relay_older(context):
    step_behind_relay(context, level=3)


def _ask(context, message, timeout_s):
    return context.wire["alpha"].transport.request(context.relay.address, message, timeout_s)


@when("the relay's connections go silent while alpha asks beta every so often")
def step_silent(context):
    assert is_successful(_ask(context, Question(1), LONG_S))
    context.attempts_before = context.relay.attempts
    context.relay.silence()
    context.silent_since_s = time.monotonic()


@then("wire requests are answered again within contactMs")
def step_answered_again(context):
    deadline_s = context.silent_since_s + CONTACT_S
    while time.monotonic() < deadline_s:
        if is_successful(_ask(context, Question(2), CALL_TIMEOUT_S)):
            return
    raise AssertionError(f"no request was answered for {CONTACT_S:g} s")


@then("each silence cost one connection")
def step_one_each(context):
    assert context.relay.attempts == 3, context.relay.attempts


@when("the relay's connections go silent while alpha only sends one-way messages")
def step_silent_one_way(context):
    context.notices = []
    beta = context.wire["beta"]
    beta.transport.register(Notice, lambda _, message: context.notices.append(message.number))
    context.wire["alpha"].transport.send(context.relay.address, Notice(0))
    wait_until(lambda: context.notices, "a notice arrives")
    context.relay.silence()
    context.silent_since_s = time.monotonic()


@then("one-way messages arrive again within contactMs")
def step_one_way_again(context):
    number = 0
    while time.monotonic() < context.silent_since_s + CONTACT_S:
        number += 1
        context.wire["alpha"].transport.send(context.relay.address, Notice(number))
        time.sleep(CALL_TIMEOUT_S / 4)
        if len(context.notices) > 1:
            return
    raise AssertionError(f"no notice arrived for {CONTACT_S:g} s")


@when("the relay's connections go silent while beta handles a request that takes long")
def step_silent_waiting(context):
    handling, release = threading.Event(), threading.Event()
    context.cleanup.callback(release.set)

    def handle(_sender, _message):
        handling.set()
        release.wait(LONG_S)
        return QuestionAnswer(0)

    context.wire["beta"].transport.register(LongQuestion, handle)
    pool = context.cleanup.enter_context(ThreadPoolExecutor(1))
    context.asked = pool.submit(_ask, context, LongQuestion(), LONG_S)
    assert handling.wait(LONG_S)
    context.relay.silence()
    context.silent_since_s = time.monotonic()


@then("the waiting wire request fails as without an answer within contactMs")
def step_waiting_fails(context):
    left_s = context.silent_since_s + CONTACT_S - time.monotonic()
    answer = context.asked.result(left_s)
    assert answer.failure().kind is WireErrorKind.NO_ANSWER, answer


@when(
    "the relay's connections go silent while alpha writes a long {kind} and a request waits behind"
)
def step_silent_long(context, kind):
    alpha, beta = context.wire["alpha"].transport, context.wire["beta"].transport
    context.arrived = []

    def handle(_sender, message):
        context.arrived.append(len(message.data))
        return QuestionAnswer(9)

    beta.register(Bulk, handle)
    # Longer than what the system holds for a connection that nobody reads.
    bulk = Bulk(bytes(LONGEST_BYTES))
    pool = context.cleanup.enter_context(ThreadPoolExecutor(2))
    context.relay.silence()
    context.silent_since_s = time.monotonic()
    if kind == "request":
        context.long_asked = pool.submit(_ask, context, bulk, LONG_S)
    else:
        assert alpha.send(context.relay.address, bulk)
    link = alpha._links[context.relay.address]
    wait_until(lambda: _is_being_written(link, kind), "it is being written")
    context.asked = pool.submit(_ask, context, Question(4), LONG_S)


def _is_being_written(link, kind):
    if kind == "request":
        return any(pending.is_sent for pending in list(link._pending.values()))
    return not link._queue._frames


@then("what waited behind is answered within contactMs")
def step_behind_answered(context):
    left_s = context.silent_since_s + CONTACT_S - time.monotonic()
    assert context.asked.result(left_s).unwrap() == QuestionAnswer(4)


@then("of the long request the truth is told")
def step_long_request_lost(context):
    assert context.long_asked.result(LONG_S).failure().kind is WireErrorKind.NO_ANSWER
    assert not context.arrived


@then("of the long one-way message the truth is told")
def step_long_notice_once(context):
    wait_until(lambda: context.arrived, "it arrives")
    _ask(context, Question(8), LONG_S).unwrap()
    assert context.arrived == [LONGEST_BYTES], context.arrived


@when("beta stands still for twice contactMs while alpha asks it")
def step_frozen(context):
    context.accepted = context.wire["beta"].accepted_connections()
    context.attempts_before = context.relay.attempts
    context.relay.freeze()
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(_ask, context, Question(5), LONG_S)
        time.sleep(2 * CONTACT_S)
        context.attempts_meanwhile = context.relay.attempts - context.attempts_before
        context.relay.thaw()
        context.answer = asked.result()


@then("that request is answered over the connection of before")
def step_kept(context):
    assert context.answer.unwrap() == QuestionAnswer(5)
    assert _ask(context, Question(6), LONG_S).unwrap() == QuestionAnswer(6)
    beta = context.wire["beta"]
    wait_until(lambda: beta.accepted_connections() == context.accepted, "only the first is left")


@then("alpha has opened few connections meanwhile")
def step_few(context):
    # One at a time, each tried for half of contactMs at least.
    assert context.attempts_meanwhile <= 4, context.attempts_meanwhile


@when("alpha asks beta with a message that takes longer than contactMs to arrive")
def step_narrow(context):
    context.wire["beta"].transport.register(Bulk, lambda *_: QuestionAnswer(9))
    context.relay.narrow(NARROW_BYTES_PER_S)
    began_s = time.monotonic()
    size = int(1.5 * CONTACT_S * NARROW_BYTES_PER_S)
    context.answer = _ask(context, Bulk(bytes(size)), LONG_S)
    assert time.monotonic() - began_s > CONTACT_S


@then("it is answered, and alpha has opened no further connection")
def step_narrow_kept(context):
    assert context.answer.unwrap() == QuestionAnswer(9)
    assert context.relay.attempts == 1, context.relay.attempts


@when("alpha asks beta once and nothing is sent for contactMs")
def step_idle(context):
    _ask(context, Question(3), LONG_S).unwrap()
    context.sent = _messages_sent(context)
    time.sleep(CONTACT_S)


@then("neither node has sent anything meanwhile")
def step_nothing_sent(context):
    assert _messages_sent(context) == context.sent


def _messages_sent(context):
    return [node.transport.traffic().messages_sent for node in context.wire.values()]


@when("beta handles a request of alpha for twice contactMs")
def step_long_request(context):
    def handle(_sender, _message):
        time.sleep(2 * CONTACT_S)
        return QuestionAnswer(9)

    context.wire["beta"].transport.register(LongQuestion, handle)
    context.sent = context.wire["alpha"].transport.traffic().messages_sent
    context.answer = _ask(context, LongQuestion(), LONG_S)


@then("alpha has sent nothing else")
def step_nothing_else(context):
    assert context.wire["alpha"].transport.traffic().messages_sent == context.sent + 1


@then("long gaps between looks raise no doubt before two more looks")
def step_suspended(_context):
    for contact_s in (0.5, CONTACT_S, 20.0):
        bounds = SilenceBounds(contact_s)
        silence = LinkSilence(bounds)
        silence.note_written()
        steps = [silence.look(100 * contact_s, False) for _ in range(2)]
        assert Step.TRY_ANOTHER not in steps, steps
        silence.note_received()
        assert silence.look(100 * contact_s, True) is Step.NOTHING


def _attempts(silence, bounds, duration_s, now_s):
    """Moments in which one node tries a peer of which nothing comes and every attempt fails."""
    silence.note_written()
    attempts = []
    while now_s < duration_s:
        if attempts and silence._is_trying and now_s >= attempts[-1] + bounds.attempt_s:
            silence.attempt_failed()
        if silence.look(bounds.look_period_s, False) is Step.TRY_ANOTHER:
            attempts.append(now_s)
        now_s += bounds.look_period_s
    return attempts


@then("339 nodes try it at most every contactMs each on average, at moments of their own")
def step_many(_context):
    bounds = SilenceBounds(CONTACT_S)
    drawn = random.Random(5)
    duration_s = 20 * CONTACT_S
    moments = []
    for _ in range(339):
        silence = LinkSilence(bounds)
        silence._random.seed(drawn.random())
        attempts = _attempts(silence, bounds, duration_s, drawn.uniform(0, bounds.look_period_s))
        assert len(attempts) <= duration_s / CONTACT_S, len(attempts)
        moments += attempts
    later = [moment for moment in moments if moment > 2 * CONTACT_S]
    periods = [int(moment / bounds.look_period_s) for moment in later]
    busiest = max(periods.count(one) for one in set(periods))
    assert busiest < 339 / 4, busiest
