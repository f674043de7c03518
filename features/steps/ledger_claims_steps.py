"""Steps of claims: properties of their state machine, and whole nodes."""

import threading
import time
import uuid
from dataclasses import dataclass
from dataclasses import field as dataclass_field

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.steps.ledger_steps import set_state
from features.support.waiting import wait_until
from hypothesis import given, settings
from returns.pipeline import is_successful
from returns.result import Failure

from bellweir.ledger.claims import (
    TOMBSTONE_WINDOWS,
    ClaimKey,
    ClaimsMachine,
    RecordOutcome,
    ReleaseClaim,
)
from bellweir.ledger.claims_service import RELEASE_TIMEOUT_S
from bellweir.ledger.interface import ClaimState, LedgerError, LedgerErrorKind, RecordedAnswer
from bellweir.ledger.placement import PlacementStore
from bellweir.ledger.recovery import RecoveryRefusal, call_for_recovery
from bellweir.membership.interface import MemberState

WINDOW_S = 100.0
KEPT_S = WINDOW_S * (1 + TOMBSTONE_WINDOWS)
TIMEOUT_S = 20.0
ANSWER = RecordedAnswer(200, (("x", "y"),), b"done")
BOUNDED = settings(derandomize=True, database=None, deadline=None, max_examples=150)


@dataclass
class Attempt:
    """What one caller does with a key; it runs only when told that it holds the claim."""

    key: str
    attempt_id: str
    ran: bool = False
    ran_s: float = 0.0
    given_up: bool = False
    sent: list = dataclass_field(default_factory=list)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("claim", "lost claim", "record", "not run", "release", "repeat", "wait")),
        st.integers(0, 1),
        st.integers(0, 30),
    ),
    min_size=20,
    max_size=60,
)


class ClaimsOracle:
    """Drives one machine; a key may run once until its tombstone is gone, whatever comes again."""

    def __init__(self):
        self.machine = ClaimsMachine()
        self.now_s = 1000.0
        self.attempts = []
        self.runs = {}

    def claim(self, key, choice):
        attempt = Attempt(key, f"attempt-{len(self.attempts)}")
        self.attempts.append(attempt)
        command = self._send(attempt, ClaimKey(key, "f", attempt.attempt_id, "n", *self._times()))
        if command.state is ClaimState.CLAIMED:
            self._run(attempt)

    def lost_claim(self, key, choice):
        attempt = Attempt(key, f"attempt-{len(self.attempts)}", given_up=True)
        self.attempts.append(attempt)
        attempt.sent.append(ClaimKey(key, "f", attempt.attempt_id, "n", *self._times()))
        if choice % 2:
            self.machine.apply(attempt.sent[0])

    def record(self, key, choice):
        attempt = self._chosen(key, choice)
        if attempt is not None and attempt.ran:
            self._send(
                attempt,
                RecordOutcome(key, attempt.attempt_id, ClaimState.COMPLETED, ANSWER, self.now_s),
            )

    def not_run(self, key, choice):
        """The back end refused: proved not run, so the key may run again."""
        attempt = self._chosen(key, choice)
        if attempt is not None and attempt.ran and not self._recorded(attempt):
            self.runs[key].remove(attempt.ran_s)
            self._send(
                attempt,
                RecordOutcome(key, attempt.attempt_id, ClaimState.NOT_RUN, None, self.now_s),
            )

    def release(self, key, choice):
        attempt = self._chosen(key, choice)
        if attempt is not None and attempt.given_up:
            self._send(attempt, ReleaseClaim(key, "f", attempt.attempt_id, "n", *self._times()))

    def repeat(self, key, choice):
        """A command comes again, late, after others; its reply goes to nobody."""
        attempt = self._chosen(key, choice)
        if attempt is not None and attempt.sent:
            self.machine.apply(attempt.sent[choice % len(attempt.sent)])

    def wait(self, key, choice):
        self.now_s += choice * 4

    def _times(self):
        return (self.now_s, WINDOW_S)

    def _send(self, attempt, command):
        attempt.sent.append(command)
        return self.machine.apply(command)

    def _run(self, attempt):
        attempt.ran = True
        attempt.ran_s = self.now_s
        runs = self.runs.setdefault(attempt.key, [])
        assert not any(self.now_s - ran_s <= KEPT_S for ran_s in runs), f"{attempt.key} ran twice"
        runs.append(self.now_s)

    def _recorded(self, attempt):
        return any(isinstance(command, RecordOutcome) for command in attempt.sent)

    def _chosen(self, key, choice):
        mine = [attempt for attempt in self.attempts if attempt.key == key]
        return mine[choice % len(mine)] if mine else None


@then("claims let no key run twice, in any order of commands, over {examples:d} runs")
def then_once(context, examples):
    @settings(parent=BOUNDED, max_examples=examples)
    @given(events=EVENTS)
    def once(events):
        oracle = ClaimsOracle()
        for kind, key, choice in events:
            getattr(oracle, kind.replace(" ", "_"))(f"key-{key}", choice)

    once()


@then("two replicas of claims give the same replies though one is saved and loaded")
def then_same(context):
    @BOUNDED
    @given(events=EVENTS, saves=st.sets(st.integers(0, 60)))
    def same(events, saves):
        oracle = ClaimsOracle()
        other = ClaimsMachine()
        real_apply = oracle.machine.apply

        def apply(command):
            nonlocal other
            if len(oracle.attempts) in saves:
                loaded = ClaimsMachine()
                loaded.load(other.save())
                other = loaded
            reply = real_apply(command)
            assert other.apply(command) == reply
            return reply

        oracle.machine.apply = apply
        for kind, key, choice in events:
            getattr(oracle, kind.replace(" ", "_"))(f"key-{key}", choice)

    same()


@given_step("claims where a release came before its claim")
def given_release_first(context):
    context.machine = ClaimsMachine()
    context.machine.apply(ReleaseClaim("key", "f", "late", "n", 1.0, WINDOW_S))


@then("the late claim permits no attempt, and another one is permitted")
def then_late(context):
    late = context.machine.apply(ClaimKey("key", "f", "late", "n", 1.0, WINDOW_S))
    assert late.state is ClaimState.NOT_RUN
    other = context.machine.apply(ClaimKey("key", "f", "other", "n", 2.0, WINDOW_S))
    assert other.state is ClaimState.CLAIMED


@given_step("claims where two attempts of a key did not run")
def given_not_run(context):
    context.machine = ClaimsMachine()
    for attempt in ("first", "second"):
        claimed = context.machine.apply(ClaimKey("key", "f", attempt, "n", 1.0, WINDOW_S))
        assert claimed.state is ClaimState.CLAIMED
        context.machine.apply(RecordOutcome("key", attempt, ClaimState.NOT_RUN, None, 1.0))


@then("a late repeat of either claim permits no attempt and leaves the key free")
def then_free(context):
    for attempt in ("first", "second", "first"):
        late = context.machine.apply(ClaimKey("key", "f", attempt, "n", 2.0, WINDOW_S))
        assert late.state is ClaimState.NOT_RUN
    other = context.machine.apply(ClaimKey("key", "f", "third", "n", 2.0, WINDOW_S))
    assert other.state is ClaimState.CLAIMED


# --- whole nodes ----------------------------------------------------------------------------------


def claim(node, key, attempt):
    result = node.claims.claim(key, "f", attempt, WINDOW_S, TIMEOUT_S)
    assert is_successful(result), result
    return result.unwrap()


@when("a claim through node {name} gets no answer, though it was appended")
def when_unanswered(context, name):
    context.node = context.cluster.nodes[name]
    claim(context.node, "warm-up", "a")
    handlers = context.cluster.network.transports[name].handlers
    outcome = next(known for known in handlers if known.__name__ == "CallOutcome")
    real = handlers[outcome]
    handlers[outcome] = lambda *_lost: None
    result = context.node.claims.claim("key", "f", "lost", WINDOW_S, 0.5)
    handlers[outcome] = real
    assert not is_successful(result)


@then("the claimed key can be claimed again and runs once")
def then_again(context):
    number = iter(range(10**6))
    replies = []

    def claimed():
        replies.append(claim(context.node, "key", f"again-{next(number)}").state)
        return replies[-1] is ClaimState.CLAIMED

    wait_until(claimed, "the lost claim was released")
    assert set(replies[:-1]) <= {ClaimState.IN_PROGRESS}
    assert claim(context.node, "key", "more").state is ClaimState.IN_PROGRESS


@when("a claim through node {name} is left undecided")
def when_undecided(context, name):
    context.node = context.cluster.nodes[name]
    context.released = threading.Event()
    real = context.node.claims._release

    def release(command):
        real(command)
        context.released.set()

    context.node.claims._release = release
    lost = LedgerError(LedgerErrorKind.UNKNOWN, "lost")
    context.node.claims._submit = lambda *_command: Failure(lost)
    result = context.node.claims.claim("undecided", "f", "lost", WINDOW_S, 1.0)
    assert result == Failure(lost)


@then("the claims of node z end their releases when they stop")
def then_releases_end(context):
    assert not context.released.is_set(), "without a majority nothing can be released"
    context.node.claims.stop()
    # Far below the time for which a release is tried otherwise.
    assert context.released.wait(RELEASE_TIMEOUT_S / 2)


def uuid7(at_s):
    milliseconds = int(at_s * 1000)
    value = (milliseconds << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    value = (value & ~(0xF << 76)) | (7 << 76)
    return str(uuid.UUID(int=(value & ~(3 << 62)) | (2 << 62)))


@given_step("a claim of each kind made through node {name}")
def given_claims(context, name):
    context.node = context.cluster.nodes[name]
    assert claim(context.node, "completed", "a").state is ClaimState.CLAIMED
    context.node.claims.record("completed", "a", ClaimState.COMPLETED, ANSWER, TIMEOUT_S).unwrap()
    assert claim(context.node, "unfinished", "a").state is ClaimState.CLAIMED


def held_everywhere(cluster):
    """Whether every data node has applied all that was acknowledged."""
    for name in cluster.data_names:
        machine = [
            cluster.nodes[name].ledger.local_machine(key, ClaimsMachine)
            for key in ("completed", "unfinished")
        ]
        if any(one is None for one in machine):
            return False
        completed = machine[0]._state.records.get("completed")
        unfinished = machine[1]._state.records.get("unfinished")
        if unfinished is None or completed is None or completed.state is not ClaimState.COMPLETED:
            return False
    return True


@when("all ledger data nodes but one are lost for good")
def when_lost(context):
    cluster = context.cluster
    wait_until(lambda: held_everywhere(cluster), "the replica that is left holds the claims")
    context.left, *context.lost = cluster.data_names
    for name in context.lost:
        cluster.stop(name)
        set_state(cluster, name, MemberState.DEAD)


@when("an operator recovers every shard of the ledger with the node that is left")
def when_recovered(context):
    cluster = context.cluster
    shards = range(cluster.settings.shards)
    store = PlacementStore(cluster.store)
    assert isinstance(call_for_recovery(store, shards, "nobody"), RecoveryRefusal)
    assert not isinstance(call_for_recovery(store, shards, context.left), RecoveryRefusal)
    ledger = cluster.nodes[context.left].ledger
    keys = [f"key-{number}" for number in range(20)]
    wait_until(lambda: all(ledger.leads(key) for key in keys), "the node that is left leads")
    context.recovered_s = time.time()


@then("a completed claim of before is answered with its recorded answer")
def then_completed(context):
    found = claim(context.node, "completed", "b")
    assert (found.state, found.answer) == (ClaimState.COMPLETED, ANSWER)


@then("an unfinished claim of before is unknown through every node that is left")
def then_unfinished(context):
    for node in context.cluster.nodes.values():
        assert claim(node, "unfinished", "b").state is ClaimState.UNKNOWN


@then("a key that may come from before is unknown and never runs")
def then_maybe_before(context):
    for key in ("any key", uuid7(context.recovered_s - 3600), f"pool/{uuid7(1000.0)}"):
        for attempt in ("b", "c"):
            assert claim(context.node, key, attempt).state is ClaimState.UNKNOWN


@then("a key made after the recovery is claimed")
def then_after(context):
    key = uuid7(context.recovered_s + 3600)
    assert claim(context.node, key, "b").state is ClaimState.CLAIMED
    assert claim(context.node, key, "c").state is ClaimState.IN_PROGRESS


@when("a lost ledger node comes back with its old disk")
def when_back(context):
    context.back = context.lost[0]
    context.cluster.start(context.back)


@then("it drops what it held and becomes a ledger voter again")
def then_dropped(context):
    cluster = context.cluster

    def is_voter():
        node = cluster.nodes[context.back].ledger
        replica = node._node.replica(node.shard_of("completed")) if node._node else None
        if replica is None or replica.generation != 2:
            return False
        return replica.own in replica.log.replicas.voters and replica.leader is not None

    wait_until(is_voter, "the node is a voter of the new generation")
    then_unfinished(context)
