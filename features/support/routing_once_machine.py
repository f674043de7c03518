"""State machine of requests that must not be repeated, against what the back ends ran."""

import itertools

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from returns.result import Failure, Success

from bellweir.resources.models import RequestClass
from bellweir.routing.interface import RunState
from support.routing_claims import LedgerFault, NodeKilledError, Point
from support.routing_cluster import body_of
from support.routing_fakes import Fault, UnexpectedError
from support.routing_once_setting import CLAIM_WINDOW_S, KEPT_WINDOWS

IN_FLIGHT_S = CLAIM_WINDOW_S * (KEPT_WINDOWS - 0.5)
"""A pause beyond the window, but shorter than a key is kept."""
EXAMPLES = itertools.count()
KEYS = st.integers(0, 2)
BODIES = st.sampled_from((b"order 100", b"order 200"))
NODES = st.integers(0, 2)
FAULTS = st.lists(st.sampled_from(Fault), max_size=3)
LEDGER_FAULTS = st.one_of(
    st.lists(st.none() | st.sampled_from(LedgerFault), max_size=4),
    st.integers(1, 7).map(lambda count: [LedgerFault.LOST_AFTER] * count),
)
PAUSES_S = st.sampled_from((CLAIM_WINDOW_S * 0.6, IN_FLIGHT_S, CLAIM_WINDOW_S * 9))
PATHS = st.sampled_from(("/orders", "/orders/item-7?x=1", "/%6frders", "//orders/../orders"))


class OnceMachine(RuleBasedStateMachine):
    """Requests with few keys through three nodes, with losses, kills, pauses and repeats."""

    setting = None
    """Set by the step: nodes, back ends, claims and clock that all examples share."""

    def __init__(self):
        super().__init__()
        self.example = next(EXAMPLES)

    @initialize()
    def begin(self):
        self.setting.reset()

    @rule(
        key=KEYS, body=BODIES, node=NODES, path=PATHS, faults=FAULTS, ledger=LEDGER_FAULTS,
        point=st.sampled_from(Point), what=st.sampled_from(("kill", "pause", "repeat", "nothing")),
        other=NODES, pause_s=PAUSES_S,
    )  # fmt: skip
    def send(self, key, body, node, path, faults, ledger, point, what, other, pause_s):
        self.setting.faults[:] = faults
        self.setting.ledger.faults[:] = ledger
        if point in (Point.BEFORE_RUN, Point.AFTER_RUN):
            # What is on the wire for longer than a key is kept can't be called back.
            pause_s = min(pause_s, IN_FLIGHT_S)
        actions = {
            "kill": lambda: self.setting.kill(node),
            "pause": lambda: self._pause_and_repeat(key, body, other, path, pause_s),
            "repeat": lambda: self._late_and_repeat(key, body, other, path),
        }
        if what in actions:
            self.setting.happenings.at = {point: actions[what]}
        self._submit(key, body, node, path)
        self.setting.end_step()

    @rule(key=KEYS, body=BODIES, node=NODES, path=PATHS)
    def repeat_undisturbed(self, key, body, node, path):
        self._submit(key, body, node, path)

    def _pause_and_repeat(self, key, body, node, path, pause_s):
        """The node under way is paused; another one gets the same key; then it wakes up."""
        self.setting.clock.offset_s += pause_s
        self._late_and_repeat(key, body, node, path)

    def _late_and_repeat(self, key, body, node, path):
        """What nodes have put off is done now, and another node gets the same key."""
        self.setting.ledger.faults.clear()
        self.setting.run_late()
        self._submit(key, body, node, path)

    def _submit(self, key, body, node, path):
        if self.setting.is_killed(node):
            return
        name = f"key-{self.example}-{key}"
        request = self.setting.cluster.application_request(
            body, request_class=RequestClass.INTERACTIVE, path=path, idempotency_key=name,
            headers=(("Idempotency-Key", name),), deadline_monotonic_s=self.setting.deadline_s(),
        )  # fmt: skip
        try:
            outcome = self.setting.cluster.nodes[node].forward(request)
        except (NodeKilledError, UnexpectedError):
            return
        match outcome:
            case Success(answer):
                self._check_answer(name, body, path, body_of(answer))
            case Failure(refusal):
                if refusal.run_state is RunState.NOT_RUN:
                    since_s = CLAIM_WINDOW_S * KEPT_WINDOWS
                    runs = self.setting.runs_of(name, path, body, since_s)
                    number = int(request.request_id.rpartition("-")[2])
                    # Neither this request nor an earlier one with its key has run; one that was
                    # sent while this one was under way may have.
                    assert all(run.request_number > number for run in runs), refusal

    def _check_answer(self, name, body, path, answer):
        assert answer == b"answer to " + body
        assert self.setting.runs_of(name, path, body, float("inf")), "answered, but never run"

    @invariant()
    def no_key_ran_twice(self):
        for runs in self.setting.runs.values():
            for earlier, later in itertools.pairwise(runs):
                assert later.at_s - earlier.at_s > CLAIM_WINDOW_S, (earlier, later)


def use(setting):
    """Bind the machine to a setting."""
    return type("BoundOnceMachine", (OnceMachine,), {"setting": setting})
