import threading

from behave import given, then, when
from returns.result import Success

from bellweir.clients.interface import Machine, MachineList, MachineSnapshot, MachineState
from bellweir.configuration.machine_reader import MachineListReader
from bellweir.configuration.messages import TableName
from bellweir.configuration.reader import StoreReader
from bellweir.configuration.state import ConfigurationState
from bellweir.configuration.views import machine_of
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


class ChangingList(MachineList):
    """Shows a leaving machine from the second reading on; `clock` tells when it was read."""

    def __init__(self, clock):
        self.clock = clock
        self.read_s = []

    def read(self):
        self.read_s.append(self.clock.monotonic_s())
        state = MachineState.LEAVING if len(self.read_s) > 1 else MachineState.LIVE
        machine = Machine("worker", "127.0.0.1:1", "zone", "region", "engine", "pool", state)
        return Success(MachineSnapshot(len(self.read_s), (machine,)))


class SkippingClock(ManualClock):
    """Waits by moving itself; `ended` is set after the second wait."""

    def __init__(self, ended):
        super().__init__()
        self.ended = ended
        self.waits_s = []

    def wait(self, event, timeout_s):
        self.waits_s.append(timeout_s)
        self.advance(timeout_s)
        if len(self.waits_s) == 2:
            self.ended.set()
        return event.is_set()


@given("configuration readers of the machine list in {zones:d} zones with a period of 1 second")
def step_machine_readers(context, zones):
    context.readers = []
    for zone in range(zones):
        ended = threading.Event()
        clock = SkippingClock(ended)
        machines, state = ChangingList(clock), ConfigurationState(f"node-{zone}")
        reader = MachineListReader(f"node-{zone}", machines, state, clock, lambda: True, 1.0)
        context.readers.append((reader, machines, state, ended))


@when("{count:d} of the machine list's readers are lost and the list shows a leaving machine")
def step_readers_lost(context, count):
    del context.readers[:count]


@then("the last configuration reader notes the leaving machine within {periods:g} periods")
def step_noted(context, periods):
    ((reader, machines, state, ended),) = context.readers
    reader.run(ended)
    first_s, second_s = machines.read_s
    assert second_s - first_s <= periods, machines.read_s
    _, entries = state.entries(TableName.MACHINES)
    assert [machine_of(entry).state for entry in entries] == [MachineState.LEAVING], entries
