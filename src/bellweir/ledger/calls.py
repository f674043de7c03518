"""Calls to the ledger: taken up by the leader of a shard, sent to it from anywhere else.

A call is one short request that the leader accepts or refuses at once, and a one-way message
with the outcome. So no handler waits for a majority: handlers that wait for each other's nodes
would fill the peer executors of all nodes and then wait for nobody.
"""

import threading
import uuid
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from bellweir.kernel.clock import Clock
from bellweir.ledger.interface import Command, LedgerError, LedgerErrorKind, Query, Reply
from bellweir.ledger.leadership import Outcome, OutcomeFuture
from bellweir.ledger.machines import Codec
from bellweir.ledger.messages import CallAccepted, CallOutcome, CallRefused, CallRequest
from bellweir.ledger.node import LedgerNode
from bellweir.wire.interface import FIRST_LEVEL, Sender, Transport, WireErrorKind

RETRY_PAUSE_S = 0.02
"""Pause before the leader of a shard is looked for again."""
MAXIMUM_CALL_BYTES = 1 << 20
"""A larger command would not fit into a message between replicas; bulk goes to segments."""
ACCEPT_TIMEOUT_S = 1.0
"""A leader accepts or refuses at once; longer silence is treated as a lost answer."""

Candidates = Callable[[int], list[str]]
"""Names of the nodes that may lead a shard, the likeliest first."""


@dataclass(frozen=True)
class _Call:
    shard: int
    value: Command | Query
    payload: bytes


class CallServer:
    """Takes up calls from other nodes for the shards led here."""

    def __init__(self, node: LedgerNode, transport: Transport) -> None:
        self._node = node
        self._transport = transport
        transport.register(CallRequest, self.handle_call)

    def handle_call(self, sender: Sender, request: CallRequest) -> CallAccepted | CallRefused:
        """Accept a call and send its outcome later, or refuse it when this node does not lead."""
        if len(request.payload) > MAXIMUM_CALL_BYTES:
            return CallRefused(None)
        if request.is_query:
            query = self._node.codec.decode(request.payload, Query)
            future = self._node.read(request.shard, query)
        else:
            future = self._node.propose(request.shard, request.payload)
        if future is None:
            return CallRefused(self._leader_node(request.shard))
        future.add_done_callback(lambda done: self._send_outcome(sender, request.call_id, done))
        return CallAccepted()

    def _leader_node(self, shard: int) -> str | None:
        replica = self._node.replica(shard)
        leader = replica.leader if replica else None
        return leader.node if leader and leader != self._node.own else None

    def _send_outcome(self, sender: Sender, call_id: str, done: OutcomeFuture) -> None:
        match done.result():
            case Success(reply):
                message = CallOutcome(call_id, self._node.codec.encode(reply), None, "")
            case Failure(error):
                message = CallOutcome(call_id, None, error.kind.value, error.detail)
        self._transport.send(sender.address, message)


class OutcomeInbox:
    """Outcomes that come as messages, for the calls that wait for them."""

    def __init__(self, codec: Codec, transport: Transport) -> None:
        self._codec = codec
        self._lock = threading.Lock()
        self._waiting: dict[str, OutcomeFuture] = {}
        transport.register(CallOutcome, self.handle_outcome)

    def expect(self, call_id: str) -> OutcomeFuture:
        """Return what will hold the outcome of a call; `forget` it in the end."""
        future: OutcomeFuture = Future()
        with self._lock:
            self._waiting[call_id] = future
        return future

    def forget(self, call_id: str) -> None:
        """Drop a call's outcome, whether it has come or not."""
        with self._lock:
            self._waiting.pop(call_id, None)

    def handle_outcome(self, sender: Sender, message: CallOutcome) -> None:
        """Complete the call that waits; an outcome that nobody waits for any more is dropped."""
        with self._lock:
            future = self._waiting.pop(message.call_id, None)
        if future is not None:
            future.set_result(self._decode(message))

    def _decode(self, message: CallOutcome) -> Result[Reply, LedgerError]:
        if message.reply is not None:
            return Success(self._codec.decode(message.reply, Reply))
        kind = LedgerErrorKind(message.error_kind or LedgerErrorKind.UNKNOWN.value)
        return Failure(LedgerError(kind, message.detail))


class CallClient:
    """Brings a call to the leader of its shard, from a node with or without replicas."""

    def __init__(
        self,
        node: LedgerNode | None,
        codec: Codec,
        transport: Transport,
        address_of: Callable[[str], str | None],
        candidates: Candidates,
        clock: Clock,
        answered: Callable[[], None] = lambda: None,
    ) -> None:
        """`answered` is called whenever a node that may lead has answered."""
        self._node = node
        self._codec = codec
        self._transport = transport
        self._address_of = address_of
        self._candidates = candidates
        self._clock = clock
        self._answered = answered
        self._leaders: dict[int, str] = {}
        self._pause = threading.Event()
        self.outcomes = OutcomeInbox(codec, transport)

    def call(
        self,
        shard: int,
        value: Command | Query,
        timeout_s: float,
        search_s: float = float("inf"),
    ) -> Outcome:
        """Bring a call to its leader, found within `search_s`, and wait for the outcome."""
        call = _Call(shard, value, self._codec.encode(value))
        if len(call.payload) > MAXIMUM_CALL_BYTES:
            detail = f"a command or query has at most {MAXIMUM_CALL_BYTES} bytes"
            return Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, detail))
        began_s = self._clock.monotonic_s()
        deadline_s = began_s + timeout_s
        search_until_s = began_s + min(search_s, timeout_s)
        tried: set[str] = set()
        while (search_left_s := search_until_s - self._clock.monotonic_s()) > 0:
            left_s = deadline_s - self._clock.monotonic_s()
            outcome = self._try_here(call, left_s) or self._try_elsewhere(
                call, left_s, search_left_s, tried
            )
            if outcome is not None and not _may_try_again(call, outcome):
                return outcome
            if not tried:
                self._clock.wait(self._pause, min(RETRY_PAUSE_S, search_left_s))
        return Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, "no leader found in time"))

    def leader_node(self, shard: int) -> str | None:
        """Node that leads a shard, as last heard."""
        replica = self._node.replica(shard) if self._node else None
        if replica is not None and replica.leader is not None:
            return replica.leader.node
        return self._leaders.get(shard)

    def _try_here(self, call: _Call, left_s: float) -> Outcome | None:
        if self._node is None:
            return None
        if isinstance(call.value, Query):
            future = self._node.read(call.shard, call.value)
        else:
            future = self._node.propose(call.shard, call.payload)
        return None if future is None else _wait(future, left_s)

    def _try_elsewhere(
        self, call: _Call, left_s: float, search_left_s: float, tried: set[str]
    ) -> Outcome | None:
        """Try the next candidate; None when it surely did not take the call up."""
        target = self._next_candidate(call.shard, tried)
        address = self._address_of(target) if target else None
        if target is None or address is None:
            return None
        tried.add(target)
        call_id = uuid.uuid4().hex
        future = self.outcomes.expect(call_id)
        try:
            accept_s = min(search_left_s, ACCEPT_TIMEOUT_S)
            return self._request(call, call_id, target, address, left_s, accept_s, future)
        finally:
            self.outcomes.forget(call_id)

    def _request(
        self,
        call: _Call,
        call_id: str,
        target: str,
        address: str,
        left_s: float,
        accept_s: float,
        future: OutcomeFuture,
    ) -> Outcome | None:
        is_query = isinstance(call.value, Query)
        level = call.value.since_level if isinstance(call.value, Command) else FIRST_LEVEL
        request = CallRequest(call_id, call.shard, is_query, call.payload, left_s, level)
        started_s = self._clock.monotonic_s()
        answer = self._transport.request(address, request, accept_s)
        if isinstance(answer, Success):
            self._answered()
        match answer:
            case Success(CallAccepted()):
                self._leaders[call.shard] = target
                return _wait(future, left_s - (self._clock.monotonic_s() - started_s))
            case Success(CallRefused(leader_node)):
                self._note_refusal(call.shard, target, leader_node)
                return None
            case Failure(error) if error.kind is WireErrorKind.NO_ANSWER:
                self._leaders.pop(call.shard, None)
                # The outcome may overtake a lost acceptance.
                return _wait(future, 0.0)
            case _:
                self._leaders.pop(call.shard, None)
                return None

    def _note_refusal(self, shard: int, target: str, leader_node: str | None) -> None:
        if leader_node is not None and leader_node != target:
            self._leaders[shard] = leader_node
        elif self._leaders.get(shard) == target:
            self._leaders.pop(shard, None)

    def _next_candidate(self, shard: int, tried: set[str]) -> str | None:
        known = self.leader_node(shard)
        names = ([known] if known else []) + self._candidates(shard)
        own = self._node.name if self._node else None
        for name in names:
            if name not in tried and name != own:
                return name
        # Everyone was asked: begin again after a pause.
        tried.clear()
        return None


def _wait(future: OutcomeFuture, timeout_s: float) -> Outcome:
    try:
        return future.result(max(0.0, timeout_s))
    except FutureTimeoutError:
        future.cancel()
        return Failure(LedgerError(LedgerErrorKind.UNKNOWN, "no outcome in time"))


def _may_try_again(call: _Call, outcome: Outcome) -> bool:
    """Whether a call that failed surely had, or can have, no effect."""
    match outcome:
        case Success(_):
            return False
        case Failure(error):
            is_query = isinstance(call.value, Query)
            return is_query or error.kind is LedgerErrorKind.UNAVAILABLE
    return False
