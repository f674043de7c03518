import dataclasses
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
from behave import given, then, when
from returns.pipeline import is_successful

from bellweir.wire.frames import decode_struct, encode_struct
from bellweir.wire.handshake import ClientHello, LocalNode, ServerHello
from bellweir.wire.interface import FIRST_LEVEL, LEVEL, Message, WireErrorKind
from support.waiting import wait_until
from support.wire_nodes import Question, QuestionAnswer, WireNode, start_wire_node

REQUEST_TIMEOUT_S = 20.0


class NestedQuestion(Message, frozen=True):
    depth: int
    home: str


class Unhandled(Message, frozen=True):
    pass


class Failing(Message, frozen=True):
    pass


class Slow(Message, frozen=True):
    pass


def _ask(node: WireNode, peer: WireNode, message: Message):
    return node.transport.request(peer.address, message, REQUEST_TIMEOUT_S)


@given("wire nodes alpha and beta with one cluster key")
def step_two_nodes(context):
    key = Path(context.folder) / "cluster.key"
    key.write_text("a cluster key for the tests")
    context.wire = {
        name: start_wire_node(name, (key,), context.cleanup) for name in ("alpha", "beta")
    }


@when("wire node alpha asks beta {count:d} numbered questions from {threads:d} threads")
def step_ask_many(context, count, threads):
    alpha, beta = context.wire["alpha"], context.wire["beta"]
    with ThreadPoolExecutor(threads) as pool:
        context.wire_answers = list(
            pool.map(lambda number: _ask(alpha, beta, Question(number)), range(count))
        )


@then("every wire answer carries the number of its own question")
def step_own_answers(context):
    numbers = [answer.unwrap().number for answer in context.wire_answers]
    assert numbers == list(range(len(numbers))), numbers


@then("the wire handler at beta saw alpha's name and address")
def step_sender(context):
    alpha = context.wire["alpha"]
    senders = context.wire["beta"].senders
    assert {(sender.node, sender.address) for sender in senders} == {("alpha", alpha.address)}


@when("{count:d} wire requests on each side are handled by asking the other side back")
def step_nested(context, count):
    alpha, beta = context.wire["alpha"], context.wire["beta"]
    for node in (alpha, beta):

        def handle(sender, message, node=node):
            if message.depth == 0:
                return QuestionAnswer(0)
            answer = node.transport.request(
                sender.address, NestedQuestion(message.depth - 1, node.address), REQUEST_TIMEOUT_S
            )
            return answer.unwrap()

        node.transport.register(NestedQuestion, handle)
    with ThreadPoolExecutor(2 * count) as pool:
        asked = [
            pool.submit(_ask, source, target, NestedQuestion(2, source.address))
            for source, target in [(alpha, beta), (beta, alpha)] * count
        ]
        context.wire_answers = [future.result() for future in asked]


@then("all of the nested wire requests are answered")
def step_nested_answered(context):
    failures = [answer for answer in context.wire_answers if not is_successful(answer)]
    assert not failures, failures[:3]


@when("wire node beta stops")
def step_beta_stops(context):
    context.wire["beta"].stop()


@then("a wire request from alpha to beta fails as not sent")
def step_not_sent(context):
    answer = _ask(context.wire["alpha"], context.wire["beta"], Question(1))
    assert answer.failure().kind is WireErrorKind.NOT_SENT, answer


@when("wire node beta stops while it handles alpha's request")
def step_stop_midway(context):
    alpha, beta = context.wire["alpha"], context.wire["beta"]
    handling, release = threading.Event(), threading.Event()

    def handle(_sender, _message):
        handling.set()
        release.wait(REQUEST_TIMEOUT_S)
        return QuestionAnswer(0)

    beta.transport.register(Slow, handle)
    with ThreadPoolExecutor(2) as pool:
        asked = pool.submit(_ask, alpha, beta, Slow())
        assert handling.wait(REQUEST_TIMEOUT_S)
        stopped = pool.submit(beta.transport.stop)
        context.wire_answer = asked.result()
        release.set()
        stopped.result()


@then("that wire request fails as without an answer")
def step_no_answer(context):
    assert context.wire_answer.failure().kind is WireErrorKind.NO_ANSWER, context.wire_answer


@when("wire node alpha sends beta a message that beta has no handler for")
def step_unhandled(context):
    alpha, beta = context.wire["alpha"], context.wire["beta"]
    _ask(alpha, beta, Question(0)).unwrap()
    context.wire_connections = beta.accepted_connections()
    context.wire_answer = _ask(alpha, beta, Unhandled())


@when("wire node alpha sends beta a message whose handler raises")
def step_raising(context):
    alpha, beta = context.wire["alpha"], context.wire["beta"]

    def handle(_sender, _message):
        raise ValueError("a failing handler")

    beta.transport.register(Failing, handle)
    _ask(alpha, beta, Question(0)).unwrap()
    context.wire_connections = beta.accepted_connections()
    context.wire_answer = _ask(alpha, beta, Failing())


@then("that wire request fails as refused")
def step_refused(context):
    assert context.wire_answer.failure().kind is WireErrorKind.REFUSED, context.wire_answer


@then("wire node alpha still gets answers from beta over the same connection")
def step_same_connection(context):
    alpha, beta = context.wire["alpha"], context.wire["beta"]
    assert _ask(alpha, beta, Question(7)).unwrap() == QuestionAnswer(7)
    assert beta.accepted_connections() == context.wire_connections


def without_threads(node, name):
    """Have a node's transport fail to start tasks of one name; returns what undoes it."""
    executors, plain = node.transport._executors, node.transport._executors.run_task

    def run_task(task, function):
        if task.startswith(name):
            raise RuntimeError("can't start new thread")
        return plain(task, function)

    executors.run_task = run_task
    return lambda: setattr(executors, "run_task", plain)


@when("wire node alpha asks beta while alpha can start no thread, and then while beta can't")
def step_no_threads(context):
    alpha, beta = context.wire["alpha"], context.wire["beta"]
    context.wire_answers = []
    for node, task in ((alpha, "peer "), (beta, "peer-connection")):
        undo = without_threads(node, task)
        context.wire_answers.append(alpha.transport.request(beta.address, Question(1), 2.0))
        undo()


@then("the first wire request was not sent and the second one has no answer")
def step_failed(context):
    first, second = context.wire_answers
    assert first.failure().kind is WireErrorKind.NOT_SENT, first
    assert not is_successful(second), second


@then("later wire requests between them are answered")
def step_later(context):
    alpha, beta = context.wire["alpha"], context.wire["beta"]
    wait_until(lambda: is_successful(_ask(alpha, beta, Question(2))), "alpha reaches beta")
    assert len(beta.transport._accepted) == 1, "a connection that nobody serves is kept"


class LaterQuestion(Message, frozen=True):
    """Stands for a message that was added after a release."""

    since_level = LEVEL
    number: int


class OldClientHello(msgspec.Struct, frozen=True, array_like=True, tag="client_hello"):
    """The connecting end's first frame as builds have it that tell no level."""

    protocol: str
    node: str
    address: str
    nonce: bytes


class OldServerHello(msgspec.Struct, frozen=True, array_like=True, tag="server_hello"):
    """The accepting end's, likewise."""

    node: str
    nonce: bytes
    proof: bytes


@given("wire node beta is of a build that tells no level")
def step_older(context):
    beta = context.wire["beta"]
    local = LocalNode("beta", beta.address, FIRST_LEVEL)
    parts = dataclasses.replace(beta.transport._parts, local=local)
    beta.transport._parts = parts


def _handle_later(context):
    context.later = []

    def handle(_sender, message):
        context.later.append(message.number)
        return QuestionAnswer(message.number)

    context.wire["beta"].transport.register(LaterQuestion, handle)


@when("wire node alpha sends beta a message of a later level, as a request and one way")
def step_send_later(context):
    _handle_later(context)
    alpha, beta = context.wire["alpha"], context.wire["beta"]
    assert alpha.transport.knows(beta.address, LaterQuestion) is None
    assert alpha.transport.knows(beta.address, Question) is True
    assert alpha.transport.send(beta.address, LaterQuestion(1))
    context.wire_answer = _ask(alpha, beta, LaterQuestion(2))
    context.wire_connections = beta.accepted_connections()


@then("wire node beta has seen nothing of it, and alpha knows that beta does not know it")
def step_not_seen(context):
    alpha, beta = context.wire["alpha"], context.wire["beta"]
    assert context.later == []
    assert alpha.transport.knows(beta.address, LaterQuestion) is False
    assert alpha.transport.knows(beta.address, Question) is True


@when("wire node alpha asks beta a question of a later level")
def step_ask_later(context):
    _handle_later(context)
    context.wire_answer = _ask(context.wire["alpha"], context.wire["beta"], LaterQuestion(7))


@then("it is answered, and alpha knows that beta knows it")
def step_later_answered(context):
    assert context.wire_answer.unwrap() == QuestionAnswer(7)
    alpha, beta = context.wire["alpha"], context.wire["beta"]
    assert alpha.transport.knows(beta.address, LaterQuestion) is True


@when("a peer sends beta a message whose name no build knows, as a request and one way")
def step_send_unknown(context):
    alpha, beta = context.wire["alpha"], context.wire["beta"]
    codec = alpha.transport._parts.codec
    to_plain = codec.to_plain
    codec.to_plain = lambda message: {**to_plain(message), "type": "OfNoBuildAtAll"}
    try:
        assert alpha.transport.send(beta.address, Question(1))
        context.wire_answer = _ask(alpha, beta, Question(2))
    finally:
        codec.to_plain = to_plain
    context.wire_connections = beta.accepted_connections()


@then("each kind of build reads the other's part of a handshake")
def step_handshakes(context):
    old = OldClientHello("bellweir/1", "n", "h:1", b"x" * 16)
    new = ClientHello("bellweir/1", "n", "h:1", b"x" * 16, LEVEL)
    assert decode_struct(encode_struct(old), ClientHello).level == FIRST_LEVEL
    assert decode_struct(encode_struct(new), ClientHello).level == LEVEL
    assert decode_struct(encode_struct(new), OldClientHello) == old
    old, new = OldServerHello("n", b"y", b"z"), ServerHello("n", b"y", b"z", LEVEL)
    assert decode_struct(encode_struct(old), ServerHello).level == FIRST_LEVEL
    assert decode_struct(encode_struct(new), OldServerHello) == old
