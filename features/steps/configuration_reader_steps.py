import threading

from behave import given, then, when

from bellweir.configuration.reader import StoreReader
from bellweir.configuration.state import ConfigurationState
from bellweir.kernel.clock import ManualClock
from support.memory_store import MemoryStore


class SlowStore(MemoryStore):
    """Opening a watch takes time, on a clock that a test moves."""

    def __init__(self, clock, opening_s):
        super().__init__()
        self.clock, self.opening_s = clock, opening_s
        self.asked = []

    def watch(self, from_revision, timeout_s):
        self.asked.append(timeout_s)
        self.clock.advance(self.opening_s + timeout_s)
        yield from super().watch(from_revision, timeout_s)


@given("a configuration reader before a store that takes {seconds:g} seconds to open a watch")
def step_slow_store(context, seconds):
    clock = ManualClock()
    context.store = SlowStore(clock, seconds)
    state = ConfigurationState("node")
    context.reader = StoreReader("node", "zone", context.store, state, clock, lambda: True)
    context.reader.read_once(threading.Event())


@when("the configuration reader watches the quiet store {times:d} times")
def step_watch(context, times):
    context.store.asked.clear()
    for _ in range(times):
        assert context.reader.read_once(threading.Event())


@when("the configuration's store is fast again and the reader watches it {times:d} times")
def step_fast(context, times):
    context.store.opening_s = 0.0
    step_watch(context, times)


@then("the configuration reader's watches were meant to last {first:g} and {second:g} seconds")
def step_lasted(context, first, second):
    assert context.store.asked == [first, second], context.store.asked
