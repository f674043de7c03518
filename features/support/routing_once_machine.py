"""State machine test of at-most-once requests, checked against the runs on the back ends."""

import itertools

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from returns.result import Failure, Success

from bellweir.resources.models import RequestClass
from bellweir.routing.interface import RunState
from support.routing_claims import LedgerFault, NodeKilledError, RequestPoint
from support.routing_cluster import body_of
from support.routing_fakes import Fault, UnexpectedError
from support.routing_once_fixture import CLAIM_WINDOW_S, KEY_RETENTION_WINDOWS

MAX_IN_FLIGHT_PAUSE_S = CLAIM_WINDOW_S * (KEY_RETENTION_WINDOWS - 0.5)
"""Longer than the claim window, but within the retention of keys."""
EXAMPLES = itertools.count()
KEYS = st.integers(0, 2)
BODIES = st.sampled_from((b"order 100", b"order 200"))
NODES = st.integers(0, 2)
FAULTS = st.lists(st.sampled_from(Fault), max_size=3)
LEDGER_FAULTS = st.one_of(
    st.lists(st.none() | st.sampled_from(LedgerFault), max_size=4),
    st.integers(1, 7).map(lambda count: [LedgerFault.LOST_AFTER] * count),
)
PAUSES_S = st.sampled_from((CLAIM_WINDOW_S * 0.6, MAX_IN_FLIGHT_PAUSE_S, CLAIM_WINDOW_S * 9))
PATHS = st.sampled_from(("/orders", "/orders/item-7?x=1", "/%6frders", "//orders/../orders"))


class OnceMachine(RuleBasedStateMachine):
    """Sends requests with few keys through three nodes under losses, kills, pauses and repeats."""

    fixture = None
    """Nodes, back ends, claims and clock shared by all examples; set by `bind_machine`."""

    def __init__(self):
        super().__init__()
        self.example = next(EXAMPLES)

    @initialize()
    def begin(self):
        self.fixture.reset()

    @rule(
        key=KEYS, body=BODIES, node=NODES, path=PATHS, faults=FAULTS, ledger=LEDGER_FAULTS,
        point=st.sampled_from(RequestPoint),
        what=st.sampled_from(("kill", "pause", "repeat", "nothing")),
        other=NODES, pause_s=PAUSES_S,
    )  # fmt: skip
    def send(self, key, body, node, path, faults, ledger, point, what, other, pause_s):
        self.fixture.faults[:] = faults
        self.fixture.ledger.faults[:] = ledger
        if point in (RequestPoint.BEFORE_RUN, RequestPoint.AFTER_RUN):
            # A request that was sent cannot be revoked once its key is no longer retained.
            pause_s = min(pause_s, MAX_IN_FLIGHT_PAUSE_S)
        actions = {
            "kill": lambda: self.fixture.kill(node),
            "pause": lambda: self._pause_and_repeat(key, body, other, path, pause_s),
            "repeat": lambda: self._run_deferred_and_repeat(key, body, other, path),
        }
        if what in actions:
            self.fixture.hooks.at = {point: actions[what]}
        self._submit(key, body, node, path)
        self.fixture.restore()

    @rule(key=KEYS, body=BODIES, node=NODES, path=PATHS)
    def repeat_undisturbed(self, key, body, node, path):
        self._submit(key, body, node, path)

    def _pause_and_repeat(self, key, body, node, path, pause_s):
        """Pause the current node while another one receives the same key."""
        self.fixture.clock.offset_s += pause_s
        self._run_deferred_and_repeat(key, body, node, path)

    def _run_deferred_and_repeat(self, key, body, node, path):
        """Run the deferred calls, then send the same key through another node."""
        self.fixture.ledger.faults.clear()
        self.fixture.run_deferred_calls()
        self._submit(key, body, node, path)

    def _submit(self, key, body, node, path):
        if self.fixture.is_killed(node):
            return
        name = f"key-{self.example}-{key}"
        request = self.fixture.cluster.application_request(
            body, request_class=RequestClass.INTERACTIVE, path=path, idempotency_key=name,
            headers=(("Idempotency-Key", name),), deadline_monotonic_s=self.fixture.deadline_s(),
        )  # fmt: skip
        try:
            outcome = self.fixture.cluster.nodes[node].forward(request)
        except (NodeKilledError, UnexpectedError):
            return
        match outcome:
            case Success(answer):
                self._check_answer(name, body, path, body_of(answer))
            case Failure(refusal):
                if refusal.run_state is RunState.NOT_RUN:
                    since_s = CLAIM_WINDOW_S * KEY_RETENTION_WINDOWS
                    runs = self.fixture.runs_of(name, path, body, since_s)
                    number = int(request.request_id.rpartition("-")[2])
                    # Neither this request nor an earlier one with its key may have run; requests
                    # sent while this one was in progress may have.
                    assert all(run.request_number > number for run in runs), refusal

    def _check_answer(self, name, body, path, answer):
        assert answer == b"answer to " + body
        assert self.fixture.runs_of(name, path, body, float("inf")), "answered, but never run"

    @invariant()
    def no_key_ran_twice(self):
        for runs in self.fixture.runs.values():
            for earlier, later in itertools.pairwise(runs):
                assert later.at_s - earlier.at_s > CLAIM_WINDOW_S, (earlier, later)


def bind_machine(fixture):
    """Return the state machine class bound to a fixture."""
    return type("BoundOnceMachine", (OnceMachine,), {"fixture": fixture})
