"""Replicas of two builds: a later command, and nodes that go back."""

import contextlib

from behave import given, then, when
from features.support.ledger_nodes import (
    AppendItem,
    HangingStore,
    ItemList,
    MemoryNetwork,
    MemoryNode,
    ReadItems,
)
from features.support.waiting import wait_until
from returns.result import Failure, Success

from bellweir.ledger.interface import Command, LedgerErrorKind
from bellweir.settings.models import LedgerSettings
from bellweir.wire.interface import FIRST_LEVEL, LEVEL

KEY = "key"
TIMEOUT_S = 20.0
REFUSED_TIMEOUT_S = 1.0
SETTINGS = LedgerSettings(
    shards=1, replicas=3, heartbeat_s=0.05, election_timeout_s=0.3, creation_wait_s=20.0
)


class AppendTwice(Command, frozen=True, tag=True):
    """Stands for a command that was added after a release."""

    since_level = LEVEL
    item: int


class LaterList(ItemList):
    def command_types(self):
        return (AppendItem, AppendTwice)

    def apply(self, command):
        if isinstance(command, AppendTwice):
            self.items.append(command.item)
        return super().apply(command)


LaterList.__name__ = ItemList.__name__
"""A state is saved under the name of its machine."""
MACHINES = {"older": ItemList, "later": LaterList}
LEVELS = {"older": FIRST_LEVEL, "later": LEVEL}


class MixedLedger:
    def __init__(self, folder):
        self.folder = folder
        self.network = MemoryNetwork()
        self.store = HangingStore()
        self.nodes = {}
        self.builds = {}

    def start(self, name, build):
        folder = self.folder / name if name < "n" else None
        self.network.levels[name] = LEVELS[build]
        self.builds[name] = build
        made = MACHINES[build]
        self.nodes[name] = MemoryNode(name, folder, self.network, self.store, SETTINGS, made)

    def stop(self, name):
        self.nodes.pop(name).stop()

    def close(self):
        for name in list(self.nodes):
            with contextlib.suppress(KeyError):
                self.stop(name)

    def leader(self):
        def found():
            return [name for name, node in self.nodes.items() if node.ledger.leads(KEY)]

        wait_until(lambda: len(found()) == 1, "the shard has one leader")
        return found()[0]

    def submit(self, command, node="a", timeout_s=TIMEOUT_S):
        return self.nodes[node].ledger.submit(KEY, command, timeout_s)

    def held(self, name):
        machine = self.nodes[name].ledger.local_machine(KEY, MACHINES[self.builds[name]])
        return list(machine.items) if machine is not None else None

    def await_held(self, items, *names):
        def reached():
            return all(self.held(name) == items for name in names)

        wait_until(reached, f"{names} hold {items}")


def make(context, **builds):
    ledger = context.mixed = MixedLedger(context.folder)
    context.cleanup.callback(ledger.close)
    for name, build in builds.items():
        ledger.start(name, build)
    ledger.leader()
    # All three are voters before anything is asked.
    assert isinstance(ledger.submit(AppendItem(1)), Success)
    ledger.await_held([1], *(name for name in builds if name < "n"))


@given("a ledger of replicas a, b and c of which c is of an older build")
def given_mixed(context):
    make(context, a="later", b="later", c="older")


@given("a ledger of replicas a, b and c of the later build")
def given_later(context):
    make(context, a="later", b="later", c="later")


@given("a ledger of replicas a, b and c of the older build, and a node z of the later one")
def given_older(context):
    make(context, a="older", b="older", c="older", z="later")


def is_refused(outcome):
    return isinstance(outcome, Failure) and outcome.failure().kind is LedgerErrorKind.UNAVAILABLE


@when("a command of the later build is submitted")
def when_submitted(context):
    context.outcome = context.mixed.submit(AppendTwice(2), timeout_s=REFUSED_TIMEOUT_S)


@when("z submits a command of the later build")
def when_z(context):
    context.outcome = context.mixed.submit(AppendTwice(2), "z", REFUSED_TIMEOUT_S)


@then("it is refused as surely not appended, and an older command is applied by all")
def then_refused(context):
    assert is_refused(context.outcome), context.outcome
    assert isinstance(context.mixed.submit(AppendItem(3)), Success)
    context.mixed.await_held([1, 3], "a", "b", "c")


@then("it is refused as surely not appended, and an older command of z is applied by all")
def then_z(context):
    assert is_refused(context.outcome), context.outcome
    assert isinstance(context.mixed.submit(AppendItem(3), "z"), Success)
    context.mixed.await_held([1, 3], "a", "b", "c")


@when("c goes on with the later build")
def when_forward(context):
    context.mixed.stop("c")
    context.mixed.start("c", "later")
    context.mixed.leader()


@when("c goes back to the older build")
def when_back(context):
    context.mixed.stop("c")
    context.mixed.start("c", "older")
    context.mixed.leader()


@given("a command of the later build is applied by all")
@then("a command of the later build is applied by all")
def then_applied(context):
    before = context.mixed.held("a")

    def taken():
        # Until c is known to be of the later build, it is refused and may be submitted again.
        return isinstance(context.mixed.submit(AppendTwice(5)), Success)

    wait_until(taken, "the command is taken")
    context.mixed.await_held([*before, 5, 5], "a", "b", "c")


@then("an older command is applied by a and b, and c holds what was before the later one")
def then_held_back(context):
    mixed = context.mixed
    assert isinstance(mixed.submit(AppendItem(7)), Success)
    mixed.await_held([1, 5, 5, 7], "a", "b")
    mixed.await_held([1], "c")


@then("c never leads, also when only c and one other are there")
def then_never_leads(context):
    mixed = context.mixed
    mixed.stop("a")
    assert mixed.leader() == "b"
    assert isinstance(mixed.submit(AppendItem(9), "b"), Success)
    mixed.await_held([1, 5, 5, 7, 9], "b")
    mixed.await_held([1], "c")
    answer = mixed.nodes["c"].ledger.ask(KEY, ReadItems(), TIMEOUT_S)
    assert answer.unwrap().items == (1, 5, 5, 7, 9), answer
    mixed.start("a", "later")


@then("all three hold the same")
def then_same(context):
    context.mixed.await_held([1, 5, 5, 7, 9], "a", "b", "c")
