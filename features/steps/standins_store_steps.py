"""Steps of `standins_store.feature`."""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test
from returns.result import Success

from bellweir.clients.interface import (
    ErrorKind,
    Machine,
    MachineState,
    ScoreCall,
    StoredObject,
)
from bellweir.clients.pool import ConnectionPool, HttpCall
from bellweir.clients.service import HttpPlatformClients
from bellweir.settings.models import PlatformSettings
from bellweir_rehearsal.standins.faults import FaultKind, FaultOrder
from bellweir_rehearsal.standins.machine_list import MachineListOptions, MachineListStandin
from bellweir_rehearsal.standins.object_api import ObjectApiOptions, ObjectApiStandin
from bellweir_rehearsal.standins.object_state import ObjectStoreState
from bellweir_rehearsal.standins.scorer import ScorerOptions, ScorerStandin
from bellweir_rehearsal.standins.weight_store import (
    PublishedVersion,
    WeightStoreOptions,
    WeightStoreStandin,
)
from support.store_machine import KIND, StoreMachine

WATCH_S = 0.3
FETCH_SIZE_BYTES = 1_000_000
FETCH_BYTES_PER_S = 4_000_000.0


@then(
    "any sequence of racing, lost, refused and repeated stand-in store writes agrees with an oracle"
)
def step_machine(context):
    run_state_machine_as_test(
        StoreMachine, settings=settings(max_examples=12, stateful_step_count=20)
    )


def run(context, standin):
    standin.start()
    context.cleanup.callback(standin.stop)
    context.standin = standin
    return standin


def clients(context, **addresses):
    found = HttpPlatformClients(PlatformSettings(**addresses))
    context.cleanup.callback(found.close)
    return found


def start_store(context, **options):
    standin = run(context, ObjectApiStandin(ObjectApiOptions(**options)))
    context.store = clients(context, object_api=standin.address).object_store()
    context.numbers = itertools.count()


def write(context, count):
    for _ in range(count):
        name = f"object-{next(context.numbers)}"
        written = context.store.put({"kind": KIND, "metadata": {"name": name}}, 0, "m")
        assert isinstance(written, Success)


@given("a running stand-in object API")
def step_store(context):
    start_store(context)


@given("a running stand-in object API that keeps {count:d} changes")
def step_store_keeps(context, count):
    start_store(context, kept_changes=count)


@given("a running stand-in object API that serves {count:d} watches")
def step_store_watches(context, count):
    start_store(context, maximum_watches=count)


@given("{count:d} stand-in objects were written")
def step_written(context, count):
    write(context, count)


@given("the stand-in store is compacted")
def step_compact(context):
    context.standin.inject(FaultOrder(FaultKind.COMPACT))


@when(
    "a stand-in watch from revision {revision:d} runs while {count:d} more objects are written "
    "and one is deleted"
)
def step_watch(context, revision, count):
    watch = iter(context.store.watch(revision, WATCH_S))
    context.seen = [next(watch).unwrap()]
    write(context, count)
    assert isinstance(context.store.delete(KIND, "object-0", 1), Success)
    context.seen += [result.unwrap() for result in watch]


@then("the stand-in watch has seen the revisions {revisions} and the last one as a deletion")
def step_watch_seen(context, revisions):
    expected = [int(number) for number in revisions.split(",")]
    assert [change.revision for change in context.seen] == expected
    assert [change.deleted for change in context.seen] == [False] * (len(expected) - 1) + [True]


@then("a stand-in watch from revision {revision:d} ends as compacted")
def step_watch_compacted(context, revision):
    results = list(context.store.watch(revision, WATCH_S))
    assert [result.failure().kind for result in results] == [ErrorKind.COMPACTED]


@then("a stand-in watch from the list's revision sees the next write")
def step_watch_from_list(context):
    revision = context.store.list_objects().unwrap().revision
    write(context, 1)
    changes = [result.unwrap() for result in context.store.watch(revision, WATCH_S)]
    assert [change.revision for change in changes] == [revision + 1]


@when("a stand-in watch that lags behind is overtaken by {count:d} writes")
def step_overtaken(context, count):
    watch = context.store.watch(0, WATCH_S)
    write(context, 1)
    context.results = [next(watch)]
    write(context, count)
    context.results += list(watch)
    context.written = count + 1


@then("the stand-in watch has seen every revision or ends as compacted")
def step_all_or_compacted(context):
    changes = [result.unwrap() for result in context.results if isinstance(result, Success)]
    seen = [change.revision for change in changes]
    assert seen == list(range(1, len(seen) + 1)), "no gap goes unnoticed"
    if len(seen) < context.written:
        assert context.results[-1].failure().kind is ErrorKind.COMPACTED


@when("{count:d} stand-in watches are open")
def step_open_watches(context, count):
    write(context, 1)
    context.watches = [context.store.watch(0, 30.0) for _ in range(count)]
    for watch in context.watches:
        assert isinstance(next(watch), Success)
        context.cleanup.callback(watch.close)


@then("one more stand-in watch is refused as overloaded")
def step_watch_refused(context):
    refused = next(context.store.watch(0, 30.0)).failure()
    assert refused.kind is ErrorKind.OVERLOADED
    assert refused.retry_after_s is not None


@then("once a stand-in watch is closed by its reader another one is served")
def step_watch_closed(context):
    context.watches[0].close()

    def served():
        watch = context.store.watch(0, 30.0)
        first = next(watch)
        watch.close()
        return isinstance(first, Success)

    context.wait_until(served, "the closed watch is noticed")


@when("stand-in lists lag by {seconds:d} seconds")
def step_lag(context, seconds):
    context.standin.inject(FaultOrder(FaultKind.LAGGING_READS, duration_s=60.0, delay_s=seconds))


@then("the stand-in list shows none of the objects while a single read shows them")
def step_lagging(context):
    assert context.store.list_objects().unwrap().objects == ()
    assert isinstance(context.store.get(KIND, "object-1"), Success)
    assert list(context.store.watch(0, 0.0)) == []


@then("cutting the stand-in store's file at any byte leaves a prefix of its whole changes")
def step_cut_file(context):
    path = context.folder / "store.jsonl"
    state = ObjectStoreState(10, path)
    states = [{}]
    for number in range(4):
        state.put(KIND, f"name-{number % 2}", {"text": "line\nend"}, None)
        states.append(objects_of(state))
    state.delete(KIND, "name-0", None)
    states.append(objects_of(state))
    state.close()
    whole = path.read_bytes()

    @settings(max_examples=60)
    @for_all(length=st.integers(0, len(whole)))
    def check(length):
        path.write_bytes(whole[:length])
        again = ObjectStoreState(10, path)
        revision = again.revision
        assert revision == whole[:length].count(b"\n")
        assert objects_of(again) == states[revision]
        again.put(KIND, "after", {}, 0)
        again.close()
        last = ObjectStoreState(10, path)
        assert last.get(KIND, "after") == StoredObject(KIND, "after", revision + 1, {})
        last.close()

    check()


def objects_of(state):
    return {found.name: found.version for found in state.list_objects(0.0).objects}


# --- machine list ---


@given("a running stand-in machine list with a lag of {seconds:g} seconds")
def step_machine_list(context, seconds):
    standin = run(context, MachineListStandin(MachineListOptions(lag_s=seconds)))
    context.machines = clients(context, machine_list=standin.address).machine_list()


@when("a stand-in machine is added and marked as leaving")
def step_machine_added(context):
    for state in (MachineState.LIVE, MachineState.LEAVING):
        context.standin.set_machine(
            Machine("m", "127.0.0.1:1", "zone-1", "region-1", "engine", "pool", state)
        )
    context.first = context.machines.read().unwrap()


@then("the stand-in list shows no machine at first, and the leaving one in the end")
def step_machine_shown(context):
    assert context.first.machines == ()

    def shown():
        machines = context.machines.read().unwrap().machines
        return [machine.state for machine in machines] == [MachineState.LEAVING]

    context.wait_until(shown, "the list shows the machine")
    assert context.machines.read().unwrap().revision == 3


@then("two more stand-in list readings carry the list 0 times and give it both times")
def step_not_sent_again(context):
    lists = []
    make_shown = context.standin.shown
    context.standin.shown = lambda: lists.append(make_shown()) or lists[-1]
    first = context.machines.read().unwrap()
    with mock.patch.object(msgspec.json, "encode", side_effect=AssertionError("list sent again")):
        again = [context.machines.read().unwrap() for _ in range(2)]
    assert again == [first, first]
    assert len(lists) == 3, "the service was asked each time"


@then("a stand-in list reading after one more machine was added shows it")
def step_changed_list(context):
    context.standin.set_machine(
        Machine("n", "127.0.0.1:2", "zone-1", "region-1", "engine", "pool", MachineState.LIVE)
    )
    assert [machine.name for machine in context.machines.read().unwrap().machines] == ["m", "n"]


# --- weight store ---


@given("a running stand-in weight store with {count:d} fetches at once")
def step_weight_store(context, count):
    published = PublishedVersion("model", 1, FETCH_SIZE_BYTES)
    options = WeightStoreOptions(
        bytes_per_s=FETCH_BYTES_PER_S, maximum_fetches=count, versions=(published,)
    )
    run(context, WeightStoreStandin(options))


def fetch(context):
    pool = ConnectionPool(context.standin.address)
    context.cleanup.callback(pool.close)
    return pool.open(HttpCall("GET", "/weights/model/1", 10.0), None).unwrap()


@when("two stand-in fetches of the same version run together")
def step_fetches(context):
    context.started_s = time.monotonic()
    context.fetches = [fetch(context), fetch(context)]


@then("a third stand-in fetch is refused as overloaded")
def step_third_fetch(context):
    third = fetch(context)
    assert third.status == 503
    assert b"overloaded" in third.read_all()


@then("both stand-in fetches together took at least the time of the bytes at the store's bandwidth")
def step_bandwidth(context):
    with ThreadPoolExecutor(2) as pool:
        bodies = list(pool.map(lambda answer: answer.read_all(), context.fetches))
    assert all(b"checksum" in body.splitlines()[-1] for body in bodies)
    least_s = 2 * FETCH_SIZE_BYTES / FETCH_BYTES_PER_S
    # Not a bound on the machine's speed: a rate limit may only ever be slower than this. The
    # first fetch had the bandwidth alone until the second one came, hence the margin.
    assert time.monotonic() - context.started_s >= 0.9 * least_s


# --- scorer ---


@given("a running stand-in scorer that scores one sample at once and hangs on the first")
def step_scorer(context):
    options = ScorerOptions(concurrency=1, service_time_s=60.0)
    standin = run(context, ScorerStandin(options))
    context.scorer = clients(context).scorer(standin.address)
    pool = ThreadPoolExecutor(1)
    context.cleanup.callback(pool.shutdown)
    pool.submit(context.scorer.score, ScoreCall("first", "p", "t"), 60.0)
    context.cleanup.callback(standin.stop)
    context.wait_until(lambda: not standin.has_free_slot(), "the first sample is being scored")


@then("a second stand-in score is refused as overloaded")
def step_score_refused(context):
    refused = context.scorer.score(ScoreCall("second", "p", "t"), 5.0)
    assert refused.failure().kind is ErrorKind.OVERLOADED


@then("the same stand-in sample scored twice gets the same score")
def step_score_same(context):
    other = ScorerStandin(ScorerOptions())
    run(context, other)
    scorer = clients(context).scorer(other.address)
    scores = [scorer.score(ScoreCall("s", "p", "t"), 5.0).unwrap() for _ in range(2)]
    assert scores[0] == scores[1]
    assert 0.0 <= scores[0] < 1.0
    assert scorer.score(ScoreCall("s", "p", "another"), 5.0).unwrap() != scores[0]
