"""Views of the hosting platform's store, against its stand-in."""

import threading
import time
from types import SimpleNamespace

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from hypothesis import given, settings
from returns.result import Success

from bellweir.hosted.interface import Changes, Listing, RecordChange, RecordKind, StoredRecord
from bellweir.hosted.records import RouteKind
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.follower import MIN_OUTAGE_S, RECOVERY_GRACE_S, KindFollower
from bellweir.hosted.views.kind_state import KindState
from bellweir.hosted.views.peer_copy import ViewsAnswer, ViewsRequest, copy_views, register_views
from bellweir.hosted.views.workers import WorkersView
from bellweir_platform.object_store import PlatformStore
from bellweir_rehearsal.hosted.object_store import Outage, PlatformStoreStandIn

SETTLED_S = 0.6


def configuration(version):
    route = {"name": "r", "host": "h.example", "pathPrefix": f"/v{version}/", "service": "app"}
    return {"version": version, "routes": [route], "services": [{"name": "app"}]}


def entry(instance, state="ready"):
    address = f"127.0.0.1:{len(instance)}"
    return {"service": "app", "address": address, "zone": "a", "slots": 4, "state": state}


@given_step("a stand-in of the platform's store")
def given_store(context):
    context.store = PlatformStoreStandIn()
    context.cleanup.callback(context.store.close)


@given_step("a process that follows it")
def given_process(context):
    store = PlatformStore(context.store.address)
    view, workers = ConfigurationView(), WorkersView()
    followers = [
        KindFollower(store, RecordKind.CONFIGURATION, view.apply_listing, view.apply_change),
        KindFollower(
            store,
            RecordKind.WORKERS,
            workers.apply_listing,
            workers.apply_change,
            on_recovery=workers.keep_lapsed_until,
        ),
    ]
    stopping = threading.Event()
    for follower in followers:
        threading.Thread(target=follower.run, args=(stopping,), daemon=True).start()
    context.cleanup.callback(stopping.set)
    context.process = SimpleNamespace(view=view, workers=workers, followers=followers)
    for follower in followers:
        assert follower.listed.wait(5.0)


@given_step("the operator has written configuration {version:d}")
def given_configuration(context, version):
    when_written(context, version)
    then_routes_by(context, version)


@when("the operator writes configuration {version:d}")
def when_written(context, version):
    context.store.records.put("config", "main", configuration(version))


@then("the process routes by configuration {version:d}")
def then_routes_by(context, version):
    def reached():
        table = context.process.view.table()
        return table is not None and table.version == version

    context.wait_until(reached, f"configuration {version}")
    table = context.process.view.table()
    assert table.find("H.example:80", f"/v{version}/x").service == "app"
    assert table.find("h.example", "/other/") is None


@when("the store forgets its history while configuration {version:d} is written")
def when_compacted(context, version):
    context.store.begin_outage(Outage.SILENT)
    when_written(context, version)
    context.store.records.compact()
    context.store.end_outage()


@when("the store refuses for a while and configuration {version:d} is written at its end")
def when_refused(context, version):
    context.store.begin_outage(Outage.REFUSES)
    time.sleep(SETTLED_S)
    when_written(context, version)
    context.store.end_outage()


@when("the watches in hand go deaf and configuration {version:d} is written")
def when_deaf(context, version):
    waiting = context.process.followers[0]
    context.wait_until(lambda: waiting._watching_since_s is not None, "a watch")
    records = context.store.records
    hear, records.changes = records.changes, lambda *_: time.sleep(60.0)
    # The watch in hand still hears the next change: let it have one and begin a deaf one.
    records.put("config", "other", {})
    context.wait_until(lambda: (waiting._revision or 0) >= records.revision, "the change")
    time.sleep(SETTLED_S)
    when_written(context, version)
    records.changes = hear


@when("the process compares its view with a cheap reading")
def when_checked(context):
    for follower in context.process.followers:
        follower.check()


@given_step('workers {names} of service "app"')
def given_workers(context, names):
    instances = [name.strip(' "') for name in names.split(" and ")]
    for instance in instances:
        context.store.records.put("servers", instance, entry(instance))
    context.wait_until(lambda: len(context.process.workers.all()) == len(instances), "the workers")


@when('worker "{instance}" says that it is draining')
def when_draining(context, instance):
    context.store.records.put("servers", instance, entry(instance, "draining"))


@when('worker "{instance}" is gone from the store')
def when_gone(context, instance):
    context.store.records.delete("servers", instance)


@then('the process may send requests of "app" to nobody')
def then_nobody(context):
    context.wait_until(lambda: context.process.workers.ready("app") == [], "no ready worker")


@then('the process may send requests of "app" to "{names}"')
def then_ready(context, names):
    wanted = set(names.split(", "))
    context.wait_until(
        lambda: {worker.instance for worker in context.process.workers.ready("app")} == wanted,
        f"ready workers {names}",
    )


@given_step("a follower of retirements that nobody wants yet")
def given_unwanted(context):
    context.wanted = threading.Event()
    context.retirements = set()

    def on_list(listing):
        context.retirements = {record.name for record in listing.records}

    context.follower = KindFollower(
        PlatformStore(context.store.address),
        RecordKind.RETIREMENTS,
        on_list,
        lambda change: context.retirements.add(change.record.name),
        is_wanted=context.wanted.is_set,
    )
    stopping = threading.Event()
    threading.Thread(target=context.follower.run, args=(stopping,), daemon=True).start()
    context.cleanup.callback(stopping.set)


@when('retirement "{name}" is written')
def when_retirement(context, name):
    context.store.records.put("retirements", name, {"durationS": 8})


@then("the follower has not asked the store")
def then_not_asked(context):
    assert not context.follower.listed.wait(SETTLED_S)
    assert context.retirements == set()


@when("the follower is wanted")
def when_wanted(context):
    context.wanted.set()


@then('it knows the retirements "{names}"')
def then_knows_retirements(context, names):
    wanted = set(names.split(", "))
    context.wait_until(lambda: context.retirements == wanted, f"retirements {names}")


@when('it is not wanted any more, and retirements "{first}" and "{second}" are written')
def when_unwanted(context, first, second):
    follower = context.follower
    context.wait_until(lambda: follower._watching_since_s is not None, "a watch in hand")
    context.wanted.clear()
    # The watch in hand still tells of one change; the next is not asked for.
    when_retirement(context, first)
    context.wait_until(lambda: follower._revision is None, "the follower at rest")
    when_retirement(context, second)


@then('it knows no more than "{names}"')
def then_knows_at_most(context, names):
    time.sleep(SETTLED_S)
    assert context.retirements <= set(names.split(", ")), context.retirements


@when("the operator writes configuration {version:d} with a kind of route that nobody knows")
def when_unknown_kind(context, version):
    spec = configuration(version)
    spec["routes"][0] |= {"kind": "telepathic", "timeoutMs": None, "colour": "red"}
    context.store.records.put("config", "main", spec)


@then("the process routes by configuration {version:d}, and that route's requests run at most once")
def then_at_most_once(context, version):
    then_routes_by(context, version)
    route = context.process.view.table().find("h.example", f"/v{version}/x")
    assert route.kind is RouteKind.NON_IDEMPOTENT
    assert route.timeout_ms > 0


@then("in any order of tellings the configuration in force only rises")
def then_rises(context):
    telling = st.tuples(st.sampled_from(("list", "watch", "delete", "peer")), st.integers(1, 9))

    @settings(max_examples=100)
    @given(tellings=st.lists(telling, max_size=20))
    def only_rises(tellings):
        view = ConfigurationView()
        highest = 0
        for how, version in tellings:
            record = StoredRecord("config", "main", version, configuration(version))
            if how == "list":
                view.apply_listing(Listing(version, (record,)))
            elif how == "peer":
                view.apply(configuration(version), "peer")
            else:
                view.apply_change(RecordChange(record, deleted=how == "delete"))
            if how != "delete":
                highest = max(highest, version)
            table = view.table()
            assert (table.version if table else 0) == highest

    only_rises()


@then('a peer\'s copy gives configuration 3 and worker "i-1", until the store is read')
def then_copied(context):
    handlers = {}
    peer = SimpleNamespace(register=handlers.__setitem__)
    register_views(peer, context.process.view, context.process.workers)
    answer = handlers[ViewsRequest](None, ViewsRequest())
    transport = SimpleNamespace(request=lambda *_: Success(answer))
    view, workers = ConfigurationView(), WorkersView()
    assert copy_views(transport, "peer:1", view, workers, 1.0)
    assert view.table().version == 3
    assert [worker.instance for worker in workers.ready("app")] == ["i-1"]
    # The store's own listing counts from then on.
    workers.apply_listing(Listing(9, ()))
    assert copy_views(transport, "peer:1", view, workers, 1.0)
    assert workers.ready("app") == []
    nothing = SimpleNamespace(request=lambda *_: Success(ViewsAnswer(None, {})))
    assert not copy_views(nothing, "peer:1", view, workers, 1.0)


@when('the store is away for a while and the entries of "{first}" and "{second}" lapse meanwhile')
def when_lapsed(context, first, second):
    context.store.begin_outage(Outage.REFUSES)
    follower = context.process.followers[1]
    context.wait_until(lambda: follower._unreachable_since_s is not None, "the outage to be noted")
    time.sleep(MIN_OUTAGE_S + 0.2)
    for instance in (first, second):
        context.store.records.delete("servers", instance)
    context.before = context.store.records.revision
    context.store.end_outage()


@then('the store\'s return is seen, and "{names}" may still get requests of "app"')
def then_kept(context, names):
    follower = context.process.followers[1]
    context.wait_until(lambda: (follower._revision or 0) >= context.before, "the lapses")
    found = {worker.instance for worker in context.process.workers.ready("app")}
    assert found == set(names.split(", ")), found


@when('worker "{instance}" writes its entry again')
def when_back(context, instance):
    context.store.records.put("servers", instance, entry(instance))


@then('it knows worker "{instance}" from the store')
def then_from_store(context, instance):
    assert not context.process.workers.is_lapsed(instance)


@then('the view has dropped "{instance}" with the change itself')
def then_dropped(context, instance):
    follower = context.process.followers[1]
    gone_at = context.store.records.revision
    context.wait_until(lambda: (follower._revision or 0) >= gone_at, "the change")
    assert context.process.workers.worker(instance) is None


@then("in any order of outages, lapses and returns a worker is kept for the agreed time, no longer")
def then_model_holds(context):
    names = ("a", "b")
    steps = st.lists(
        st.tuples(
            st.sampled_from(("wait", "lapse", "back", "drain", "return")), st.sampled_from(names)
        ),
        max_size=25,
    )

    @settings(max_examples=200)
    @given(steps=steps)
    def holds(steps):
        now = [0.0]
        view = WorkersView(now_s=lambda: now[0])
        listed, kept, grace_until = {}, {}, 0.0
        view.apply_listing(Listing(0, ()))
        for number, (what, name) in enumerate(steps, start=1):
            record = StoredRecord("servers", name, number, entry(name))
            if what == "wait":
                now[0] += 0.7
            elif what == "return":
                grace_until = now[0] + RECOVERY_GRACE_S
                view.keep_lapsed_until(grace_until)
            elif what == "lapse" and name in listed:
                is_kept = listed.pop(name) == "ready" and now[0] < grace_until
                if is_kept:
                    kept[name] = grace_until
                view.apply_change(RecordChange(record, deleted=True))
            elif what in ("back", "drain"):
                listed[name] = "ready" if what == "back" else "draining"
                kept.pop(name, None)
                spec = entry(name, listed[name])
                view.apply_change(
                    RecordChange(StoredRecord("servers", name, number, spec), deleted=False)
                )
            expected = {one for one, state in listed.items() if state == "ready"}
            expected |= {one for one, until in kept.items() if now[0] < until}
            assert {worker.instance for worker in view.ready("app")} == expected, steps

    holds()


class LaggingStore:
    """A store whose stale reads and waiting watches show what was there at the beginning."""

    def __init__(self):
        self.record = StoredRecord(RecordKind.CONFIGURATION, "main", 7, configuration(1))
        self.newer = StoredRecord(RecordKind.CONFIGURATION, "main", 9, configuration(2))

    def list_kind(self, kind, *, stale=False):
        return Success(Listing(7, (self.record,)))

    def watch(self, kind, revision, wait_s):
        change = RecordChange(self.newer, deleted=False)
        return Success(Changes(9, (change,) if revision < 9 else ()))

    def interrupt_watches(self, kind):
        raise AssertionError("nothing shows that the watch is cut")


@given_step("a view of the configuration whose watch is silent")
def given_silent_watch(context):
    context.view = ConfigurationView()
    context.follower = KindFollower(
        LaggingStore(),
        RecordKind.CONFIGURATION,
        context.view.apply_listing,
        context.view.apply_change,
    )
    context.follower._list()
    context.follower._watching_since_s = context.follower.state.current_as_of_s


@when("stale reads that are as old as the view are compared with it for {seconds:g} s")
def when_compared(context, seconds):
    context.age_s = context.follower.age_s()
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        context.follower.check()
        time.sleep(0.1)


@then("the view's age has grown by {seconds:g} s")
def then_grown(context, seconds):
    grown_s = context.follower.age_s() - context.age_s
    assert grown_s >= seconds, grown_s


@then("a confirmation makes it current, with the change that the watch did not tell")
def then_confirmed(context):
    assert context.view.table().version == 1
    assert context.follower.confirm()
    assert context.view.table().version == 2
    assert context.follower.age_s() < 0.5, context.follower.age_s()


@then("whoever is told of a change, a list or a peer's update finds the age of before it")
def then_age_of_before(context):
    found = []
    state = KindState(
        "config",
        lambda _listing: found.append(state.current_as_of_s),
        lambda _change: found.append(state.current_as_of_s),
    )
    record = StoredRecord("config", "main", 1, configuration(1))
    state.apply_listing(Listing(1, (record,)), as_of_s=10.0)
    newer = StoredRecord("config", "main", 2, configuration(2))
    state.apply_changes(Changes(2, (RecordChange(newer, deleted=False),)), as_of_s=20.0)
    teller = KindState("config", lambda _listing: None, lambda _change: None)
    newest = StoredRecord("config", "main", 3, configuration(3))
    teller.apply_listing(Listing(3, (newest,)), as_of_s=30.0)
    state.apply_update(teller.update_since(None, now_s=30.0), now_s=30.0)
    assert found == [float("-inf"), 10.0, 20.0], found
    assert state.current_as_of_s == 30.0
