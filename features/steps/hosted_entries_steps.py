"""An invalid store entry of another writer must not affect the valid ones."""

import json
from itertools import pairwise
from types import SimpleNamespace

import hypothesis.strategies as st
import msgspec
from behave import given as given_step
from behave import then, when
from features.steps.hosted_lease_steps import Machines
from features.steps.hosted_views_steps import configuration, entry
from features.support.hosted_gateway import GatewayUnderTest
from features.support.hosted_gateway import configuration as gateway_configuration
from hypothesis import assume, given, settings
from returns.result import Failure, Success
from structlog.testing import capture_logs

from bellweir.clients.pool import HttpAnswer
from bellweir.hosted.entries import EntryValidator, invalid_reason
from bellweir.hosted.interface import Listing, RecordChange, StoredRecord, StoreErrorKind
from bellweir.hosted.serving.metrics import RequestMetrics
from bellweir.hosted.validating_store import ValidatingStore
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.follower import KindFollower
from bellweir.hosted.views.kind_state import KindState, KindUpdate
from bellweir.hosted.views.workers import WorkersView
from bellweir.hosted.weights.versions import VersionsView
from bellweir_platform.object_store import PlatformStore
from bellweir_rehearsal.hosted.worker import WorkerStandIn

VALID_NAMES = ("a", "c", "e")
INVALID_NAME = "d"
MALFORMED_TEXTS = (
    b'"\xff\xfe"',
    b'"\\ud800"',
    b'{"metadata":{"name":"d","revision":4},"spec":"\\udfff"}',
    b'{"metadata":{"name":"\\ud800","revision":4},"spec":{}}',
    b'{"metadata":{"name":"d","revision":1e999},"spec":{}}',
    b"1e999",
    b"-0",
    b"null",
    b"7",
    b"123456789012345678901234567890",
    b"nope",
    b"01",
    b'"\x01"',
    b"{]",
    b"[" * 3_000 + b"]" * 3_000,
    b'{"metadata":{"name":"d","revision":4},"spec":' + b"[" * 3_000 + b"]" * 3_000 + b"}",
    b'{"metadata":{"name":"d","revision":4},"spec":' + b"[" * 400 + b"]" * 400 + b"}",
    b'{"spec":{}}',
    b'{"metadata":7,"spec":{}}',
    b'{"metadata":{"name":7,"revision":4},"spec":{}}',
    b'{"metadata":{"name":"d","revision":"4"},"spec":{}}',
)
MALFORMED_VALUES = (
    None,
    True,
    -1,
    0,
    1.5,
    10**30,
    "",
    "x",
    "h",
    "h:",
    ":1",
    "h:0",
    "h:99999",
    "h:x",
    [],
    {},
)
PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(("name", "spec", "metadata", "slots", "x")), inner, max_size=3
        )
    ),
    max_leaves=6,
)


def stored(name, revision, spec):
    return {"metadata": {"name": name, "revision": revision}, "spec": spec, "status": None}


def text_of(plain):
    return json.dumps(plain).encode()


@st.composite
def wrong_specs(draw):
    """A valid entry with one field missing or replaced."""
    spec = entry(INVALID_NAME)
    field = draw(st.sampled_from((*spec, "born", "models", "coldLeftMs", "seq")))
    value = draw(st.sampled_from((*MALFORMED_VALUES, "missing")) | PLAIN)
    if value == "missing":
        spec.pop(field, None)
    else:
        spec[field] = value
    return spec


TEXTS = (
    st.sampled_from(MALFORMED_TEXTS)
    | PLAIN.map(text_of)
    | PLAIN.map(lambda spec: text_of(stored(INVALID_NAME, 4, spec)))
    | wrong_specs().map(lambda spec: text_of(stored(INVALID_NAME, 4, spec)))
    | st.binary(max_size=12)
    | st.binary(max_size=12).map(
        lambda raw: b'{"metadata":{"name":"d","revision":4},"spec":' + raw + b"}"
    )
)


def store_answering(*bodies):
    """A platform store that returns these bodies in order, repeating the last."""
    store = PlatformStore("127.0.0.1:9")
    left = list(bodies)
    calls = []

    def call(request):
        calls.append(request.path)
        return Success(HttpAnswer(200, {}, left.pop(0) if len(left) > 1 else left[0]))

    pool = SimpleNamespace(call=call, call_repeatable=call, abort_calls=lambda: None)
    store._pool = pool
    store._watches["servers"] = pool
    store.calls_made = calls
    return store


def list_body(texts, more=False, at=9):
    tail = b'],"hasMore":%s,"at":%d}' % (b"true" if more else b"false", at)
    return b'{"items":[' + b",".join(texts) + tail


def events_body(texts, at=9):
    return b'{"events":[' + b",".join(texts) + b'],"at":%d}' % at


def event_text(text, deleted=b"false"):
    return b'{"deleted":%s,"object":%s}' % (deleted, text)


def valid_texts():
    return [text_of(stored(name, at, entry(name))) for at, name in enumerate(VALID_NAMES, start=1)]


def usable_address(address):
    host, _, port = address.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65_536


def check_workers_valid(view):
    """Check that all workers offered for use are valid."""
    for worker in view.ready("app"):
        assert usable_address(worker.address), worker
        assert worker.entry.slots >= 1, worker
        assert isinstance(worker.entry.zone, str), worker


def known(view):
    return {worker.instance for worker in view.all()}


@then("with any value in place of one worker's entry, the others stay available for requests")
def then_list_holds(context):
    outcomes = {"read": 0, "failed": 0}

    @settings(max_examples=600)
    @given(text=TEXTS, place=st.integers(0, 3))
    def holds(text, place):
        texts = valid_texts()
        texts.insert(place, text)
        view = WorkersView()
        view.apply_listing(
            Listing(1, tuple(StoredRecord("servers", n, 1, entry(n)) for n in VALID_NAMES))
        )
        store = ValidatingStore(store_answering(list_body(texts)), EntryValidator())
        found = store.list_kind("servers")
        outcomes["read" if isinstance(found, Success) else "failed"] += 1
        if isinstance(found, Success):
            view.apply_listing(found.unwrap())
        else:
            # The response itself is malformed: the known entries stay.
            assert found.failure().kind is StoreErrorKind.UNKNOWN
            assert is_torn(text), text
        assert set(VALID_NAMES) <= known(view), text
        check_workers_valid(view)

    holds()
    assert outcomes["read"] > 5 * outcomes["failed"], outcomes


def is_torn(text):
    """Whether a text can break the syntax of the surrounding document."""
    return any(mark in text for mark in b'"[]{},\\')


@then(
    "with any value in place of one change, the others are applied, and the kind is listed again"
    " if its name is unknown"
)
def then_changes_hold(context):
    @settings(max_examples=600)
    @given(text=TEXTS, place=st.integers(0, 3), as_event=st.booleans())
    def holds(text, place, as_event):
        texts = [event_text(each) for each in valid_texts()]
        texts.insert(place, event_text(text) if as_event else text)
        store = ValidatingStore(store_answering(events_body(texts)), EntryValidator())
        found = store.watch("servers", 1, 1.0)
        if not isinstance(found, Success):
            assert is_torn(text), text
            return
        view = WorkersView()
        good = StoredRecord("servers", INVALID_NAME, 1, entry(INVALID_NAME))
        view.apply_listing(Listing(1, (good,)))
        changes = found.unwrap()
        for change in changes.changes:
            view.apply_change(change)
        assert set(VALID_NAMES) <= known(view), text
        check_workers_valid(view)
        reported = {change.record.name for change in changes.changes}
        # Either the change of the entry is reported, or a list is needed.
        assert (
            INVALID_NAME in reported or not changes.is_complete or len(reported) > len(VALID_NAMES)
        ), text

    holds()
    deletion = event_text(text_of(stored(INVALID_NAME, 4, {"slots": 0})), b"true")
    changes = store_answering(events_body([deletion])).watch("servers", 1, 1.0).unwrap()
    assert [(one.record.name, one.deleted) for one in changes.changes] == [(INVALID_NAME, True)]
    assert changes.unreadable == (), "the deletion of an invalid entry was not read"
    check_lists_again()


def check_lists_again():
    """A change with an unknown name makes the follower list again."""
    store = store_answering(list_body(valid_texts()), events_body([event_text(b"null")], at=10))
    follower = KindFollower(store, "servers", lambda _: None, lambda _: None)
    stopping = SimpleNamespace(wait=lambda _s: False, is_set=lambda: False)
    for _ in range(3):
        follower._step(stopping)
    assert ["watch=" in path for path in store.calls_made] == [False, True, False], store.calls_made


@then("with any value in place of one record sent by a peer, the others are applied")
def then_news_hold(context):
    reported = PLAIN | wrong_specs().map(
        lambda spec: {"kind": "servers", "name": INVALID_NAME, "revision": 4, "spec": spec}
    )

    @settings(max_examples=300)
    @given(bad=reported, is_whole=st.booleans(), place=st.integers(0, 3))
    def holds(bad, is_whole, place):
        records = [
            {"kind": "servers", "name": name, "revision": 5, "spec": entry(name)}
            for name in VALID_NAMES
        ]
        records.insert(place, bad)
        plain = {"kind": "servers", "base": None if is_whole else 3, "revision": 9}
        plain |= {"records": records, "gone": [], "age_s": 0.0}
        view = WorkersView()
        state = KindState("servers", view.apply_listing, view.apply_change)
        state.apply_listing(
            Listing(3, (StoredRecord("servers", INVALID_NAME, 2, entry(INVALID_NAME)),)), 0.0
        )
        news = msgspec.convert(plain, KindUpdate)
        assert state.apply_update(news, 1.0)
        assert set(VALID_NAMES) <= known(view), bad
        check_workers_valid(view)
        # It forwards no invalid record.
        for record in state.update_since(None, 1.0).records:
            assert invalid_reason(record) is None, record

    holds()


@then("a record sent by a peer that can't be read never leaves the former one in effect")
def then_former_replaced(context):
    reported = PLAIN | wrong_specs().map(
        lambda spec: {"kind": "servers", "name": INVALID_NAME, "revision": 4, "spec": spec}
    )
    unnamed = PLAIN.map(lambda name: {"kind": "servers", "name": name, "revision": "4", "spec": {}})

    @settings(max_examples=300)
    @given(bad=reported | unnamed | st.just({"name": INVALID_NAME}))
    def holds(bad):
        named = bad.get("name") if isinstance(bad, dict) else None
        assume(named == INVALID_NAME or not isinstance(named, str))
        view = WorkersView()
        state = KindState("servers", view.apply_listing, view.apply_change)
        former = StoredRecord("servers", INVALID_NAME, 2, entry(INVALID_NAME))
        state.apply_listing(Listing(3, (former,)), 0.0)
        news = KindUpdate("servers", 3, 9, (bad,), (), 0.0)
        assert state.apply_update(news, 1.0)
        if state.complete_revision is None:
            # Its name can't be read: the next subscription asks for the whole list.
            assert state.apply_update(KindUpdate("servers", None, 9, (bad,), (), 0.0), 2.0)
            assert state.complete_revision == 9
        shown = {record.name: record for record in state.update_since(None, 2.0).records}
        assert shown.get(INVALID_NAME) != former, bad
        assert (INVALID_NAME in known(view)) == (INVALID_NAME in shown), bad

    holds()


VALID_SPECS = {
    "servers": entry("x"),
    "versions": {"model": "m", "version": 3},
    "retirements": {"durationS": 10},
    "bellweir-nodes": {"peerAddress": "h:1", "zone": "a"},
    "bellweir-leases": {"holder": "n", "count": 3},
    "bellweir-ledgers": {"kind": "LedgerPlacement", "metadata": {"name": "x"}, "spec": {}},
    "config": {"version": 3},
}
WRONG_FIELDS = {
    "servers": {
        "service": ("", 7, None),
        "address": ("", "h", "h:", ":1", "h:0", "h:65536", "h:-1", "h:1x", "h h:1", 7, None),
        "zone": (7, None),
        "slots": (0, -1, "8", 1.5, True, None),
        "state": ("starting", "", 7, None),
        "born": (-1, "now", 1.5),
        "models": ("m", [{"name": "m"}], [{"name": "m", "version": "1"}], {}),
        "version": (7,),
        "coldLeftMs": ("soon", -1),
        "seq": ("1", -1),
    },
    "versions": {"model": ("", 7, None), "version": (0, -1, "3", 2.5, None)},
    "retirements": {"durationS": ("10", -1, None)},
    "bellweir-nodes": {"peerAddress": ("h", 7, None), "zone": (7, None)},
    "bellweir-leases": {"holder": (7, None), "count": ("3", None)},
    "bellweir-ledgers": {"kind": ("", None), "spec": ([], None)},
}


@then("entries of any kind with a missing, mistyped or out-of-range field are rejected")
def then_kinds(context):
    for kind, sound in VALID_SPECS.items():
        assert invalid_reason(StoredRecord(kind, "x", 1, sound)) is None, kind
        for spec in (None, 7, "x", [sound], nested(400)):
            assert invalid_reason(StoredRecord(kind, "x", 1, spec)), (kind, spec)
        for field, values in WRONG_FIELDS.get(kind, {}).items():
            for value in values:
                record = StoredRecord(kind, "x", 1, sound | {field: value})
                assert invalid_reason(record), (kind, field, value)
    versions = VersionsView()
    versions.apply_listing(
        Listing(1, (StoredRecord("versions", "m", 1, {"model": "m", "version": 3}),))
    )
    for value in WRONG_FIELDS["versions"]["version"]:
        spec = {"model": "m", "version": value}
        versions.apply_change(RecordChange(StoredRecord("versions", "m", 2, spec), deleted=False))
    assert dict(versions.all()) == {"m": 3}


def nested(depth):
    value = 1
    for _ in range(depth):
        value = [value]
    return value


@then("all pages of a list are read even if entries can't be read")
def then_pages(context):
    first, second, third = valid_texts()
    named = text_of(stored("b", 4, {})).replace(b"{}", b'"\xff"')
    for bad, after in ((named, "b"), (b"null", "a"), (b'"\\ud800"', "a")):
        store = store_answering(list_body([first, bad], more=True), list_body([second, third]))
        listing = store.list_kind("servers").unwrap()
        assert [record.name for record in listing.records] == list(VALID_NAMES)
        assert [one.name for one in listing.unreadable] == ["b" if after == "b" else None]
        assert f"after={after}" in store.calls_made[1], store.calls_made
    # Without a name to continue after, the list is incomplete: nothing may be treated as absent.
    store = store_answering(list_body([b"null", b"7"], more=True))
    assert isinstance(store.list_kind("servers"), Failure)
    again = list_body([first, b"null"], more=True)
    assert isinstance(store_answering(again, again, again).list_kind("servers"), Failure)


@when('another writer replaces the entry of "{instance}"')
def when_replaced(context, instance):
    context.store.records.put("servers", instance, {"service": "app", "slots": "many"})


@then("an invalid entry is logged once per revision without its contents, and counted")
def then_logged(context):
    secret = "key-of-a-tenant"
    bad = [
        text_of(stored("d", 4, {**entry("d"), "state": secret})),
        text_of(stored("f", 5, secret)).replace(b'"spec": "', b'"spec": "\xff'),
        b'{"metadata":{},"spec":"%s"}' % secret.encode(),
    ]
    entries = EntryValidator()
    metrics = RequestMetrics()
    metrics.add_unreadable_entries(entries)
    store = ValidatingStore(store_answering(list_body([*valid_texts(), *bad])), entries)
    with capture_logs() as logs:
        for _ in range(3):
            store.list_kind("servers").unwrap()
            store.list_kind("servers", stale=True).unwrap()
    lines = [line for line in logs if line["event"] == "entry_unreadable"]
    assert {line["name"] for line in lines} == {"d", "f", None}, lines
    assert len(lines) == len(bad), lines
    assert all(line["kind"] == "servers" and line["cause"] for line in lines)
    assert {line["revision"] for line in lines} == {4, 5, None}
    assert secret not in repr(logs), logs
    assert b'bellweir_entries_unreadable_total{kind="servers"} 3.0' in metrics.render()
    store = ValidatingStore(store_answering(list_body([bad[0].replace(b": 4}", b": 6}")])), entries)
    with capture_logs() as logs:
        store.list_kind("servers").unwrap()
    assert [line["revision"] for line in logs] == [6], logs


def route(prefix, service="app", **fields):
    return {"host": "h.example", "pathPrefix": prefix, "service": service, **fields}


def routes_of(version, *routes, **fields):
    return {"version": version, "routes": list(routes), "services": [{"name": "app"}], **fields}


def view_with(spec):
    view = ConfigurationView()
    view.apply(spec, "test")
    assert view.table() is not None
    return view


@then("an invalid configuration never replaces the one in effect")
def then_configuration_holds(context):
    view = view_with(configuration(3))
    unreadable = (
        None,
        7,
        [],
        {},
        {"version": "9"},
        {**configuration(9), "version": None},
        {**configuration(9), "version": 9.5},
        {**configuration(9), "routes": {}},
        {**configuration(9), "routes": [7]},
        {**configuration(9), "routes": [{"pathPrefix": "/a/"}]},
        {**configuration(9), "services": 7},
        {**configuration(9), "services": [{}]},
        {**configuration(9), "tenants": "all"},
        {**configuration(9), "tenants": [{"name": "t", "apiKeys": 7}]},
        {**configuration(9), "x": nested(400)},
    )
    for number, spec in enumerate(unreadable, start=10):
        with capture_logs() as logs:
            view.apply_listing(Listing(number, (StoredRecord("config", "main", number, spec),)))
            view.apply_listing(Listing(number, (StoredRecord("config", "main", number, spec),)))
        assert view.table().version == 3, spec
        assert [line["event"] for line in logs] == ["configuration_refused"], (spec, logs)
    view.apply(configuration(4), "test")
    assert view.table().version == 4


@then("an invalid route keeps its former settings or is closed, and never gets those of another")
def then_routes(context):
    former = (route("/", "other"), route("/a/", timeoutMs=700, maxAttempts=3))
    cases = (
        (route("/a/", timeoutMs="soon", maxAttempts=3), "app"),
        (route("/a/", priority=[], maxAttempts=3, timeoutMs=900), "app"),
        (route("/a/", "new", timeoutMs="soon", maxAttempts=3), None),
        (route("/a/", timeoutMs="soon", maxAttempts=1), None),
        (route("/a/", timeoutMs="soon", maxAttempts=3, kind="idempotent"), None),
        (route("/a/", timeoutMs="soon", maxAttempts=3, public=True), None),
        (route("/a/", service=7, maxAttempts=3), None),
    )
    for bad, service in cases:
        view = view_with(routes_of(3, *former))
        with capture_logs() as logs:
            view.apply(routes_of(4, route("/", "other"), bad), "test")
        table = view.table()
        assert table.version == 4
        found = table.find("h.example", "/a/x")
        assert (found.service if found else None) == service, bad
        assert table.is_closed("h.example", "/a/x") == (service is None)
        assert table.find("h.example", "/b").service == "other"
        assert not table.is_closed("h.example", "/b")
        part = next(line for line in logs if line["event"] == "configuration_part_unreadable")
        assert part["instead"] == ("former" if service else "closed"), part
        # This holds while the route is invalid, and ends with the next valid configuration.
        view.apply(routes_of(5, route("/", "other"), bad), "test")
        found = view.table().find("h.example", "/a/x")
        assert (found.service if found else None) == service, bad
        view.apply(routes_of(6, route("/", "other")), "test")
        assert view.table().find("h.example", "/a/x").service == "other"


@then("an invalid tenant, service or limits entry keeps its former value")
def then_parts(context):
    tenants = [{"name": "t", "apiKeys": ["k"]}, {"name": "u", "apiKeys": ["l"]}]
    services = [{"name": "app", "healthPath": "/up", "maxConns": 5}]
    limits = {"maxBodyBytes": 77}
    view = view_with(
        routes_of(3, route("/")) | {"services": services, "limits": limits, "tenants": tenants}
    )
    bad = {
        "services": [{"name": "app", "maxConns": "five"}, {"name": "new", "healthPath": 7}],
        "limits": {"maxBodyBytes": "many"},
        "tenants": [{"name": "t", "apiKeys": "k"}, tenants[1], {"name": "v", "apiKeys": 7}],
    }
    view.apply(routes_of(4, route("/")) | bad, "test")
    table = view.table()
    assert table.version == 4
    assert table.services["app"].health_path == "/up"
    assert table.services["new"].health_path == "/health"
    assert table.configuration.limits.max_body_bytes == 77
    assert table.keys.tenant_of("k").name == "t"
    assert table.keys.tenant_of("l").name == "u"
    assert [each.name for each in table.configuration.tenants] == ["t", "u"]


@then("with any value in place of one route, the others serve and no other route serves its paths")
def then_any_part(context):
    @settings(max_examples=400)
    @given(
        field=st.sampled_from(("timeoutMs", "service", "backends", "kind", "maxAttempts", "name")),
        value=st.sampled_from(MALFORMED_VALUES) | PLAIN,
        is_known=st.booleans(),
    )
    def holds(field, value, is_known):
        around = (route("/", "other"), route("/b/", "side"))
        former = (*around, route("/a/")) if is_known else around
        view = view_with(routes_of(3, *former))
        view.apply(routes_of(4, *around, route("/a/") | {field: value}), "test")
        table = view.table()
        assert table.version == 4
        assert table.find("h.example", "/b/x").service == "side"
        assert table.find("h.example", "/c").service == "other"
        found = table.find("h.example", "/a/x")
        assert found is None or found.path_prefix == "/a/"
        assert (found is None) == table.is_closed("h.example", "/a/x")

    holds()


@given_step("a gateway with workers of its service")
def given_gateway(context):
    worker = WorkerStandIn("i-a")
    context.cleanup.callback(worker.close)
    context.gateway = GatewayUnderTest([worker])
    context.cleanup.callback(context.gateway.close)


@when('a configuration arrives in which the route "{prefix}" is invalid')
def when_route_bad(context, prefix):
    spec = gateway_configuration(2)
    for each in spec["routes"]:
        if each["pathPrefix"] == prefix:
            each["maxAttempts"] = "two"
    context.gateway.view.apply(spec, "test")
    assert context.gateway.view.table().version == 2


@then('a request of "{closed}" is answered 503 and one of "{open_}" is served')
def then_closed(context, closed, open_):
    refused = context.gateway.send(f"{closed}x")
    assert refused.status == 503, refused
    assert float(refused.headers["Retry-After"]) > 0
    assert context.gateway.send(f"{open_}x").status == 200


@then("an unreadable lease is acquired only after its holder's term has expired")
def then_lease(context):
    acted = {"handovers": 0, "garbled": 0}

    @settings(max_examples=120)
    @given(
        seed=st.integers(0, 10_000),
        specs=st.lists(
            st.sampled_from((None, 7, {}, {"holder": 7}, {"holder": "node-0"})),
            min_size=2,
            max_size=8,
        ),
    )
    def separate(seed, specs):
        machines = Machines(3, seed)
        for spec in specs:
            for _ in range(machines.rng.randrange(5, 90)):
                machines.step()
            machines.store.records.put("bellweir-leases", "duty", spec)
            acted["garbled"] += 1
        for _ in range(200):
            machines.step()
        machines.check()
        holders = [number for _, _, number, _ in machines.operations]
        assert holders, "no machine acts any more"
        acted["handovers"] += sum(a != b for a, b in pairwise(holders))

    separate()
    assert acted["handovers"] > 20, acted
