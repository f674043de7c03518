"""Counting of calls to the platform's store, tested against its stand-in."""

from behave import given, then, when
from returns.result import Success

from bellweir.hosted.serving.metrics import RequestMetrics
from bellweir.hosted.store_calls import CountingStore
from bellweir_platform.object_store import PlatformStore
from bellweir_rehearsal.hosted.object_store import Outage, PlatformStoreStandIn


@given("a counting store in front of a stand-in of the platform's store")
def given_counted(context):
    context.stand_in = PlatformStoreStandIn()
    context.cleanup.callback(context.stand_in.close)
    context.store = CountingStore(PlatformStore(context.stand_in.address))
    context.metrics = RequestMetrics()
    context.metrics.add_store_calls(context.store.counts)


@when("it lists, checks, watches, reads, creates, replaces and deletes")
def when_called(context):
    store = context.store
    made = store.create("own", "a", {"n": 1}).unwrap()
    listed = store.list_kind("own").unwrap()
    assert [record.name for record in listed.records] == ["a"]
    store.list_kind("own", stale=True).unwrap()
    replaced = store.replace("own", "a", {"n": 2}, made.revision).unwrap()
    assert not isinstance(store.replace("own", "a", {"n": 3}, made.revision), Success)
    assert store.watch("own", listed.revision, 1.0).unwrap().changes
    assert not store.watch("own", replaced.revision, 0.05).unwrap().changes
    store.read("own", "a").unwrap()
    assert not isinstance(store.read("own", "b"), Success)
    store.replace_status("own", "a", {"state": "running"}, replaced.revision).unwrap()
    store.delete("own", "a", None).unwrap()


EXPECTED = {
    ("own", "create", "done"): 1,
    ("own", "list", "done"): 1,
    ("own", "check", "done"): 1,
    ("own", "replace", "done"): 1,
    ("own", "replace", "conflict"): 1,
    ("own", "watch", "done"): 1,
    ("own", "watch", "idle"): 1,
    ("own", "read", "done"): 1,
    ("own", "read", "not_found"): 1,
    ("own", "status", "done"): 1,
    ("own", "delete", "done"): 1,
}


@then("each call type and outcome has its count")
def then_counted(context):
    assert context.store.counts.all() == EXPECTED, context.store.counts.all()
    shown = context.metrics.render().decode()
    for (kind, call, outcome), count in EXPECTED.items():
        labels = f'{{call="{call}",kind="{kind}",outcome="{outcome}"}}'
        assert f"bellweir_store_calls_total{labels} {float(count)}" in shown, shown


@then("a log line reports them once")
def then_told(context):
    told = context.store.counts.take_increments()
    assert told == {"/".join(key): count for key, count in EXPECTED.items()}
    assert context.store.counts.take_increments() == {}


@when("the stand-in refuses {count:d} lists")
def when_refused(context, count):
    context.stand_in.begin_outage(Outage.REFUSES)
    for _ in range(count):
        assert not isinstance(context.store.list_kind("own"), Success)


@then("{count:d} lists are counted as not done")
def then_not_done(context, count):
    assert context.store.counts.all() == {("own", "list", "not_done"): count}
