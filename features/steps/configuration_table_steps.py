from behave import given, then, when
from hypothesis import given as given_property
from hypothesis import settings
from hypothesis import strategies as st

from bellweir.clients.interface import Machine, MachineSnapshot, MachineState
from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.configuration.machine_reader import MachineListReader
from bellweir.configuration.messages import TableName
from bellweir.configuration.state import ConfigurationState
from bellweir.configuration.subscription import Subscription
from bellweir.configuration.table import ApplyOutcome
from bellweir.kernel.clock import ManualClock
from support.configuration_tables import (
    HISTORIES,
    changes_between,
    entries_of,
    loaded_table,
    position_of,
    states_of,
)


@given("a configuration table and any history of changes")
def step_histories(context):
    context.histories = HISTORIES


def _feed(table, history, states, how, after, upto):
    """Feed the table something true of the history; whether it may advance to `upto`."""
    if how == "adopt":
        table.adopt(upto, states[upto].values())
        return True
    if how == "append":
        changes = changes_between(history, upto - 1, upto)
        if table.revision != upto - 1 and table.revision < upto:
            return False
        table.append(upto, changes)
        return True
    changes = changes_between(history, after, upto)
    return table.apply(after, position_of(states, upto), changes)


@then("every mix of lists, watch changes and updates leaves it as the history was at its revision")
def step_table_property(context):
    feeds = st.lists(
        st.tuples(st.sampled_from(["adopt", "append", "apply"]), st.integers(0, 8)), max_size=12
    )

    @settings(max_examples=400)
    @given_property(context.histories, feeds, st.data())
    def run(history, feeds, data):
        states = states_of(history)
        table = loaded_table()
        for how, number in feeds:
            upto = min(number, len(history))
            after = data.draw(st.integers(0, upto)) if how == "apply" else upto
            before = table.revision
            outcome = _feed(table, history, states, how, after, upto)
            assert table.position == position_of(states, table.revision)
            if how == "apply":
                assert outcome is _expected(before, after, upto), (before, after, upto, outcome)
            elif outcome:
                assert table.revision == max(before, upto)
            assert table.revision >= before
            assert entries_of(table) == states[table.revision]

    run()


def _expected(before, after, upto):
    if upto <= before:
        return ApplyOutcome.OLD
    return ApplyOutcome.GAP if after > before else ApplyOutcome.APPLIED


@then("the changes it passes on lead any earlier revision to its own")
def step_pass_on(context):
    @settings(max_examples=200)
    @given_property(context.histories, st.integers(0, 8), st.integers(0, 8))
    def run(history, jump, start):
        states = states_of(history)
        sender, receiver = loaded_table(), loaded_table()
        jump, start = min(jump, len(history)), min(start, len(history))
        sender.adopt(jump, states[jump].values())
        for revision in range(jump + 1, len(history) + 1):
            sender.append(revision, changes_between(history, revision - 1, revision))
        receiver.adopt(start, states[start].values())
        changes = sender.changes_after(receiver.revision)
        if changes is None:
            assert 0 < start < jump, "only what a whole table stepped over is not passed on"
            return
        outcome = receiver.apply(receiver.revision, sender.position, changes)
        assert outcome is not ApplyOutcome.DIVERGED
        assert entries_of(receiver) == states[len(history)]

    run()


@given("a configuration subscription that was given revision {revision:d}")
def step_subscription(context, revision):
    context.heard = []
    context.subscription = Subscription("node", lambda each: context.heard.append(each.revision))
    context.subscription.deliver(ConfigurationSnapshot(revision))


@when("the configuration subscription is given revisions 4, 5, 6 and 3")
def step_deliver(context):
    for revision in (4, 5, 6, 3):
        context.subscription.deliver(ConfigurationSnapshot(revision))


@then("the configuration listener saw revisions 5, 5, 6")
def step_heard(context):
    assert context.heard == [5, 5, 6], context.heard


@given("any history of configuration machine lists and two readers of parts of it")
def step_machine_histories(context):
    presence = st.dictionaries(st.sampled_from(["a", "b"]), st.integers(1, 2), max_size=2)
    context.lists = st.lists(presence, min_size=3, max_size=6)


def _machine_list(addresses):
    return {
        name: Machine(name, f"127.0.0.1:{port}", "z", "r", "engine", "p", MachineState.LIVE)
        for name, port in addresses.items()
    }


@then("a configuration update between them is applied right or refused")
def step_machine_updates(context):
    revisions = st.sets(st.integers(0, 5), min_size=1)

    @settings(max_examples=600)
    @given_property(context.lists, revisions, revisions, st.integers(0, 5))
    def run(lists, seen_by_sender, seen_by_receiver, after):
        history = [_machine_list(addresses) for addresses in lists]
        sender, receiver = ConfigurationState("sender"), ConfigurationState("receiver")
        for state, seen in ((sender, seen_by_sender), (receiver, seen_by_receiver)):
            reader = MachineListReader(state.node, None, state, ManualClock(), None, None)
            for revision in sorted(seen & set(range(len(lists)))) or [0]:
                machines = tuple(history[revision].values())
                reader._take_over(MachineSnapshot(revision, machines))
        update = sender.update_after(TableName.MACHINES, after)
        if update is not None:
            receiver.apply(update)
        snapshot = receiver.current()
        assert snapshot.machines == history[snapshot.machines_revision], (update, snapshot)

    run()
