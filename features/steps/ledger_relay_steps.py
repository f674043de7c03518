"""Calls to the ledger through another node: real nodes over a transport in memory, and a model."""

import itertools
from concurrent.futures import Future
from dataclasses import replace
from types import SimpleNamespace

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.support.ledger_nodes import (
    AppendItem,
    HangingStore,
    ItemList,
    Items,
    MemoryNetwork,
    MemoryNode,
    ReadItems,
)
from features.support.waiting import wait_until
from hypothesis import given, settings
from returns.result import Failure, Success

from bellweir.kernel.clock import ManualClock
from bellweir.ledger.calls import OutcomeInbox
from bellweir.ledger.interface import LedgerError, LedgerErrorKind
from bellweir.ledger.machines import Codec
from bellweir.ledger.relayed_calls import ReachWatch, RelayedCalls
from bellweir.membership.interface import Member, MemberState
from bellweir.settings.models import LedgerSettings
from bellweir.wire.interface import Sender, WireError, WireErrorKind

KEY = "items"
DATA = ("data-0", "data-1", "data-2")
OTHERS = ("node-0", "node-1", "node-2", "node-3")


@given_step("a ledger on three nodes with data folders, and four nodes without")
def given_ledger(context):
    context.network, store = MemoryNetwork(), HangingStore()
    ledger = LedgerSettings(shards=1, replicas=3, creation_wait_s=0.1)
    context.nodes = {}
    for name in (*DATA, *OTHERS):
        folder = context.folder / name if name in DATA else None
        node = MemoryNode(name, folder, context.network, store, ledger)
        context.nodes[name] = node
        context.cleanup.callback(node.stop)
    context.items = itertools.count(1)
    for name in OTHERS:
        wait_until(lambda name=name: append(context, name) is not None, f"{name} appends")


def append(context, name, timeout_s=3.0):
    item = next(context.items)
    outcome = context.nodes[name].ledger.submit(KEY, AppendItem(item), timeout_s)
    return item if isinstance(outcome, Success) else None


def cut(context, names):
    context.network.cut_pairs |= {frozenset((name, data)) for name in names for data in DATA}


@when("two of the nodes without data folders are cut off from the ledger")
def when_two(context):
    context.cut = OTHERS[:2]
    cut(context, context.cut)


@when("another one leaves, and the others {know} it")
def when_leaves(context, know):
    name = OTHERS[2]
    leaving = replace(context.network.members[name], state=MemberState.LEAVING)
    if know == "know":
        context.network.members[name] = leaving
    relayed = context.nodes[name].ledger._relayed
    relayed._membership = SimpleNamespace(self_member=lambda: leaving, members=lambda: ())
    context.taken_on = []
    relayed._make_for = lambda *call: context.taken_on.append(call)


@then("the one that leaves has taken on no call")
def then_none_taken(context):
    assert not context.taken_on, context.taken_on


@when("all nodes without data folders are cut off from the ledger")
def when_all(context):
    context.cut = OTHERS
    cut(context, context.cut)


@then("each of them appends commands and reads them, each applied once")
def then_applied(context):
    for name in context.cut:
        made = [append(context, name) for _ in range(5)]
        assert None not in made, made
        found = context.nodes[name].ledger.ask(KEY, ReadItems(), 3.0).unwrap().items
        assert [item for item in found if item in made] == made, (made, found)
        assert context.nodes[name].ledger._reach.is_cut_off


@then("their calls go their own way again once the cut has healed")
def then_healed(context):
    context.network.cut_pairs.clear()
    for name in context.cut:

        def direct(name=name):
            append(context, name)
            return not context.nodes[name].ledger._reach.is_cut_off

        wait_until(direct, f"{name} notices that the cut has healed")


@then("a command is surely not appended, and that is said within its time")
def then_said(context):
    item = next(context.items)
    outcome = context.nodes["node-0"].ledger.submit(KEY, AppendItem(item), 4.0)
    assert outcome.failure().kind is LedgerErrorKind.UNAVAILABLE, outcome
    found = context.nodes["data-0"].ledger.ask(KEY, ReadItems(), 3.0).unwrap().items
    assert item not in found


@given_step("outcomes of calls come {seconds:g} seconds late")
def given_late(context, seconds):
    context.network.delays["CallOutcome"] = seconds


@then("a command is applied once, on its own way, and its caller is told so")
def then_late(context):
    item = append(context, "node-0", 6.0)
    assert item is not None
    assert not context.nodes["node-0"].ledger._reach.is_cut_off
    found = context.nodes["data-0"].ledger.ask(KEY, ReadItems(), 6.0).unwrap().items
    assert found.count(item) == 1


class Fleet:
    """Nodes without data folders around one list; each way of a call may fail as drawn."""

    def __init__(self):
        self.list = ItemList()
        self.codec = Codec([ItemList])
        self.clock = ManualClock()
        self.cut, self.lossy = set(), set()
        self.reaches, self.nodes = {}, {}
        for name in OTHERS:
            self.add(name)

    def add(self, name):
        inbox = OutcomeInbox(self.codec, SimpleNamespace(register=lambda *_: None))
        reach = self.reaches[name] = ReachWatch(self.clock)
        transport = SimpleNamespace(
            register=lambda *_: None,
            request=lambda address, message, _s: self.request(name, address, message),
            send=lambda address, message: self.nodes[address]._outcomes.handle_outcome(
                None, message
            ),
        )
        members = SimpleNamespace(
            self_member=lambda: _member(name), members=lambda: [_member(one) for one in OTHERS]
        )
        self.nodes[name] = RelayedCalls(
            transport,
            members,
            SimpleNamespace(submit=_run_at_once),
            self.codec,
            self.clock,
            reach,
            lambda _key, value, _timeout_s, search_s: self.direct(name, value, search_s),
            lambda: name not in self.cut,
            inbox,
        )

    def request(self, origin, target, message):
        if target in self.lossy:
            self.nodes[target].handle_call(Sender("gone", "gone"), message)
            return Failure(WireError(WireErrorKind.NO_ANSWER, "lost"))
        return Success(self.nodes[target].handle_call(Sender(origin, origin), message))

    def direct(self, name, value, seconds):
        if name in self.cut:
            self.clock.advance(seconds)
            return Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, "no leader found in time"))
        self.reaches[name].answered()
        if isinstance(value, ReadItems):
            return Success(self.list.answer(value))
        return Success(self.list.apply(value))


def _member(name):
    return Member(name, name, name, "zone", "region", False, MemberState.ALIVE, 1)


def _run_at_once(_kind, function, *arguments):
    done = Future()
    done.set_result(function(*arguments))
    return done


@then("a command whose outcome is known was applied once or not at all, as it says")
def then_known(context):
    step = st.one_of(
        st.tuples(st.just("cut"), st.sampled_from(OTHERS)),
        st.tuples(st.just("heal"), st.sampled_from(OTHERS)),
        st.tuples(st.just("lossy"), st.sampled_from(OTHERS)),
        st.tuples(st.just("append"), st.sampled_from(OTHERS)),
        st.tuples(st.just("read"), st.sampled_from(OTHERS)),
    )

    @settings(max_examples=200)
    @given(steps=st.lists(step, max_size=30))
    def known(steps):
        fleet, numbers = Fleet(), itertools.count()
        fleet.nodes["gone"] = SimpleNamespace(
            _outcomes=SimpleNamespace(handle_outcome=lambda *_: None)
        )
        for what, name in steps:
            if what == "cut":
                fleet.cut.add(name)
            elif what == "heal":
                fleet.cut.discard(name)
                fleet.lossy.discard(name)
            elif what == "lossy":
                fleet.lossy.add(name)
            elif what == "read":
                outcome = fleet.nodes[name].call(KEY, ReadItems(), 3.0)
                if isinstance(outcome, Success):
                    assert outcome.unwrap() == Items(tuple(fleet.list.items))
            else:
                item = next(numbers)
                outcome = fleet.nodes[name].call(KEY, AppendItem(item), 3.0)
                applied = fleet.list.items.count(item)
                assert applied <= 1, "applied twice"
                if isinstance(outcome, Success):
                    assert applied == 1
                elif outcome.failure().kind is LedgerErrorKind.UNAVAILABLE:
                    assert applied == 0, "said to be not appended"
                    assert name in fleet.cut, "a node that reaches the ledger must be served"
            fleet.clock.advance(0.1)

    known()
