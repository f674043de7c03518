from behave import given, then, when
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from bellweir.membership.interface import MemberState
from support.simulated_members import STEP_S, SimulatedNetwork

HEAL_LIMIT_S = 120.0
NAMES = [f"n{number}" for number in range(5)]


class MembershipMachine(RuleBasedStateMachine):
    """The oracle is the network itself: it knows which processes live."""

    @initialize()
    def start(self):
        self.network = SimulatedNetwork()
        for name in NAMES:
            self.network.start(name)
        # Nodes that know only two seeds, which die before they answered, can never meet.
        self.network.heal_and_wait(HEAL_LIMIT_S)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 8.0, 20.0]))
    def run(self, seconds):
        self.network.run(seconds)

    @precondition(lambda self: len(self.network.live()) > 2)
    @rule(name=st.sampled_from(NAMES))
    def crash(self, name):
        self.network.by_name[name].alive = False

    @rule(name=st.sampled_from(NAMES), same_address=st.booleans())
    def start_again(self, name, same_address):
        if not self.network.by_name[name].alive:
            self.network.start(name, same_address)

    @rule(name=st.sampled_from(NAMES))
    def leave(self, name):
        node = self.network.by_name[name]
        if node.alive and not node.paused:
            node.leaving = True
            node.protocol.leave(self.network.now_s)

    @rule(name=st.sampled_from(NAMES), seconds=st.sampled_from([1.0, 4.0, 15.0]))
    def pause(self, name, seconds):
        node = self.network.by_name[name]
        node.paused = True
        self.network.run(seconds)
        node.paused = False

    @rule(sides=st.lists(st.booleans(), min_size=len(NAMES), max_size=len(NAMES)))
    def part(self, sides):
        self.network.side = dict(zip(NAMES, sides, strict=True))

    @rule(loss=st.sampled_from([0.0, 0.05, 0.5]))
    def lose(self, loss):
        self.network.loss = loss

    @rule()
    def heal(self):
        self.network.heal_and_wait(HEAL_LIMIT_S)
        self.network.run(15.0)
        assert self.network.agrees(), "the views were right and then went wrong again"

    def teardown(self):
        if hasattr(self, "network"):
            self.heal()


@then("the membership state machine always heals to exactly the live members")
def step_machine(context):
    run_state_machine_as_test(
        MembershipMachine,
        settings=settings(
            max_examples=25, stateful_step_count=12, derandomize=True, database=None, deadline=None
        ),
    )


@given("a simulated membership of {count:d} nodes")
def step_simulated(context, count, keep_seeds=True):
    context.network = SimulatedNetwork(keep_seeds)
    for number in range(count):
        context.network.start(f"n{number}")
    context.network.heal_and_wait(HEAL_LIMIT_S)
    for node in context.network.live():
        node.protocol.take_changes()


@given("a simulated membership of {count:d} nodes that have no seeds left")
def step_without_seeds(context, count):
    step_simulated(context, count, keep_seeds=False)


@when("the simulated membership is parted into halves for {seconds:d} seconds")
def step_parted(context, seconds):
    network = context.network
    network.side = {node.name: index % 2 for index, node in enumerate(network.live())}
    network.run(seconds)
    sizes = {len(node.states()) for node in network.live()}
    assert sizes == {len(network.live()) // 2}, sizes


@when("the simulated membership loses {loss:f} of its datagrams for {seconds:d} seconds")
def step_loss(context, loss, seconds):
    context.network.loss = loss
    context.network.run(seconds)


@when("a simulated member pauses for {seconds:f} seconds")
def step_pauses(context, seconds):
    node = context.network.by_name["n3"]
    while not node.protocol._book.probes:
        context.network.run(STEP_S)
    node.paused = True
    context.network.run(seconds)
    # The worst case: its socket's buffer was full, so no answer to its probes is left.
    node.inbox.clear()
    node.paused = False
    context.network.run(20.0)


@when("a simulated member's process is replaced by one of another name at its address")
def step_replaced(context):
    network = context.network
    gone = network.by_name["n3"]
    gone.alive = False
    heir = network.start("heir")
    network.by_address[gone.address] = heir
    heir.address = gone.address


@then("no simulated member but the paused one was suspected")
def step_none_suspected(context):
    changes = [c for node in context.network.live() for c in node.protocol.take_changes()]
    states = {(change.node, change.state) for change in changes}
    assert not {node for node, state in states if state is MemberState.DEAD}, states
    assert {node for node, state in states if state is MemberState.SUSPECT} <= {"n3"}, states


@then("after healing the simulated membership is whole within {seconds:d} seconds")
def step_whole(context, seconds):
    for node in context.network.live():
        node.protocol.take_changes()
    context.network.heal_and_wait(float(seconds))


@then("no simulated member was declared dead while it healed")
def step_none_dead_on_healing(context):
    changes = [c for node in context.network.live() for c in node.protocol.take_changes()]
    assert not {change.node for change in changes if change.state is MemberState.DEAD}


@then("no simulated member was declared dead")
def step_none_dead(context):
    changes = [c for node in context.network.live() for c in node.protocol.take_changes()]
    dead = {change.node for change in changes if change.state is MemberState.DEAD}
    assert not dead, dead
    assert context.network.heal_and_wait(HEAL_LIMIT_S) < HEAL_LIMIT_S
