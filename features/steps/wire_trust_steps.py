import os
import socket
from unittest.mock import patch

import cbor2
from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from bellweir.wire import handshake, keys
from bellweir.wire.codec import MessageCodec
from bellweir.wire.frames import (
    LENGTH_PREFIX,
    Answer,
    FrameError,
    OneWay,
    Refusal,
    Request,
    decode_struct,
    encode_struct,
    with_length,
)
from bellweir.wire.interface import Message, WireErrorKind
from bellweir.wire.sockets import split_address
from support.waiting import wait_until
from support.wire_nodes import Question, QuestionAnswer, start_wire_node

ANY_FRAME = Request | OneWay | Answer | Refusal
SOCKET_TIMEOUT_S = 20.0
DEEP = b"\x81" * 500 + b"\x00"


class Assorted(Message, frozen=True):
    text: str
    data: bytes
    number: int
    ratio: float
    names: tuple[str, ...]
    counts: dict[int, int]


ASSORTED = st.builds(
    Assorted,
    text=st.text(),
    data=st.binary(),
    number=st.integers(-(2**63), 2**63 - 1),
    ratio=st.floats(allow_nan=False),
    names=st.lists(st.text()).map(tuple),
    counts=st.dictionaries(st.integers(-(2**31), 2**31), st.integers(0, 2**31)),
)
PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: (
        st.lists(inner)
        | st.dictionaries(st.integers() | st.text(), inner)
        | st.builds(cbor2.CBORTag, st.integers(0, 2**32), inner)
    ),
    max_leaves=30,
)
HEADS = st.builds(
    lambda major, length: bytes([major << 5 | 27]) + length.to_bytes(8, "big"),
    st.integers(0, 7),
    st.integers(0, 2**64 - 1),
)


def _decodes_or_is_refused(payload):
    try:
        frame = decode_struct(payload, ANY_FRAME)
    except FrameError:
        return
    assert isinstance(frame, ANY_FRAME)


@then("wire frames decode to a frame or are refused, for random bytes")
def step_random_bytes(context):
    @settings(max_examples=400)
    @given_values(st.binary(max_size=200))
    def run(payload):
        _decodes_or_is_refused(payload)

    run()


@then("wire frames decode to a frame or are refused, for cbor with any nesting, tags and lengths")
def step_random_cbor(context):
    @settings(max_examples=400)
    @given_values(PLAIN, st.integers(0, 60), HEADS, st.binary(max_size=20))
    def run(plain, depth, head, tail):
        _decodes_or_is_refused(b"\x81" * depth + cbor2.dumps(plain))
        _decodes_or_is_refused(head + tail)
        _decodes_or_is_refused(b"\x84\x67request\x01" + head + tail)

    run()


@then("wire messages survive encoding and decoding")
def step_round_trip(context):
    codec = MessageCodec()

    @settings(max_examples=200)
    @given_values(ASSORTED, st.integers(0, 2**63 - 1))
    def run(message, number):
        frame = decode_struct(encode_struct(Answer(number, codec.to_plain(message))), ANY_FRAME)
        assert frame.number == number
        assert codec.from_plain(frame.body) == message

    run()


@given("wire nodes alpha and beta without a cluster key")
def step_open_nodes(context):
    context.wire = {name: start_wire_node(name, (), context.cleanup) for name in ("alpha", "beta")}


def _connect(context):
    connection = socket.create_connection(
        split_address(context.wire["beta"].address), SOCKET_TIMEOUT_S
    )
    context.cleanup.callback(connection.close)
    return connection


def _hello(protocol):
    nonce = os.urandom(handshake.NONCE_BYTES)
    return handshake.ClientHello(protocol, "stranger", "127.0.0.1:1", nonce)


def _frame(struct):
    return with_length(encode_struct(struct))


def _prove_wrongly(connection):
    connection.sendall(_frame(_hello(handshake.PROTOCOL)))
    handshake.read_frame(connection, 1024)
    connection.sendall(_frame(handshake.ClientProof(os.urandom(keys.PROOF_BYTES))))


STRANGE_BYTES = {
    "random bytes": b"\x00\x00\x00\x40" + bytes(range(64)),
    "a huge length": LENGTH_PREFIX.pack(2**32 - 1) + b"\x00" * 64,
    "a deeply nested frame": with_length(DEEP),
    "an HTTP request": b"GET / HTTP/1.1\r\nHost: beta\r\n\r\n",
    "a hello of another protocol": _frame(_hello("bellweir/0")),
    "a valid message frame without a handshake": _frame(
        Request(1, 0, 1.0, MessageCodec().to_plain(Question(1)))
    ),
}


@when("a wire stranger sends beta {what}")
def step_stranger(context, what):
    with capture_logs() as logs:
        connection = _connect(context)
        if what == "a hello and a proof by another key":
            _prove_wrongly(connection)
        else:
            connection.sendall(STRANGE_BYTES[what])
        _wait_until_closed(connection)
        wait_until(lambda: bool(logs), "the node has logged the stranger")
    context.wire_logs, context.wire_code = logs, "BW0200"


@given("a wire handshake time of {seconds:f} seconds")
def step_handshake_time(context, seconds):
    context.cleanup.enter_context(patch.object(handshake, "HANDSHAKE_TIMEOUT_S", seconds))


@when("a slow wire stranger sends beta a byte each {seconds:f} seconds")
def step_slow_stranger(context, seconds):
    connection = _connect(context)
    connection.settimeout(seconds)
    context.wire_bytes = 0
    data = _frame(_hello(handshake.PROTOCOL))
    assert len(data) > 60
    for byte in data:
        try:
            connection.sendall(bytes([byte]))
            context.wire_bytes += 1
            if not connection.recv(1):
                return
        except TimeoutError:
            continue
        except ConnectionError:
            return


@then("that wire stranger's connection is closed before its 60th byte")
def step_closed_early(context):
    assert context.wire_bytes < 60, context.wire_bytes


@when("an authenticated wire peer sends beta {what}")
def step_authenticated(context, what):
    cluster_keys = keys.ClusterKeys([context.folder / "cluster.key"])
    local = handshake.LocalNode("gamma", "127.0.0.1:1")
    with capture_logs() as logs:
        connection = _connect(context)
        assert handshake.connect_handshake(connection, local, cluster_keys).node == "beta"
        connection.sendall(STRANGE_BYTES[what])
        _wait_until_closed(connection)
        wait_until(lambda: bool(logs), "the node has logged the broken frame")
    context.wire_logs, context.wire_code = logs, "BW0202"


def _wait_until_closed(connection):
    connection.settimeout(SOCKET_TIMEOUT_S)
    try:
        while connection.recv(4096):
            pass
    except ConnectionError:
        return


@then("that wire stranger's connection is closed and beta logged one event")
@then("that wire peer's connection is closed and beta logged one event")
def step_one_event(context):
    assert [log["code"] for log in context.wire_logs] == [context.wire_code], context.wire_logs


@then("wire node alpha still gets answers from beta")
def step_still_answers(context):
    answer = context.wire["alpha"].transport.request(
        context.wire["beta"].address, Question(3), SOCKET_TIMEOUT_S
    )
    assert answer.unwrap() == QuestionAnswer(3)


@then("wire node beta stays whole through random bytes from strangers")
def step_live_fuzz(context):
    @settings(max_examples=60)
    @given_values(st.binary(min_size=1, max_size=300))
    def run(data):
        connection = _connect(context)
        try:
            connection.sendall(data)
            # Ends the wait for the rest of a frame, so that the node decides on what it has.
            connection.shutdown(socket.SHUT_WR)
            _wait_until_closed(connection)
        except OSError:
            pass  # Closed by the node while bytes were still on their way.
        connection.close()
        step_still_answers(context)

    run()
    wait_until(
        lambda: len(context.wire["beta"].accepted_connections()) == 1,
        "only alpha's connection is left",
    )


@when("the wire cluster key is replaced step by step at one node after the other")
def step_replace_key(context):
    old, new = "a cluster key for the tests", "the next cluster key for tests"
    context.wire_outcomes = []
    files = {name: context.folder / f"{name}.key" for name in context.wire}
    for name, file in files.items():
        file.write_text(old)
        context.wire[name].stop()
        context.wire[name] = start_wire_node(name, (file,), context.cleanup)
    for keys_in_order in ((old, new), (new, old), (new,)):
        for name, file in files.items():
            node_keys = context.wire[name].transport.keys
            readings = node_keys.readings
            partial = file.with_suffix(".partial")
            partial.write_text("\n".join(keys_in_order))
            partial.replace(file)
            wait_until(lambda: _reads_again(node_keys, readings), "the node has read its keys")  # noqa: B023
            context.wire_outcomes.append(_fresh_request(context))


def _reads_again(node_keys, readings):
    node_keys.verify(b"")
    return node_keys.readings > readings


def _fresh_request(context):
    alpha, beta = context.wire["alpha"], context.wire["beta"]
    alpha.transport.close_links()
    return alpha.transport.request(beta.address, Question(5), SOCKET_TIMEOUT_S)


@then("wire node alpha could reach beta after every step")
def step_reached(context):
    assert [outcome.unwrap().number for outcome in context.wire_outcomes] == [5] * 6


@then("a wire node with the old key only is refused")
def step_old_key(context):
    old = start_wire_node("gamma", (context.folder / "cluster.key",), context.cleanup)
    outcome = old.transport.request(context.wire["beta"].address, Question(6), SOCKET_TIMEOUT_S)
    assert outcome.failure().kind is WireErrorKind.NOT_SENT
    assert "proved no cluster key" in outcome.failure().detail
