"""API keys of tenants at a hosted gateway, and batch jobs owned by a tenant."""

import contextlib
import io
import json
from types import SimpleNamespace

import hypothesis.strategies as st
import msgspec
from behave import given as given_step
from behave import then, when
from features.steps.hosted_batch_calls_steps import call, job_document
from features.support.hosted_gateway import GatewayUnderTest, configuration
from features.support.hosted_jobs import HOST, MemoryLedger, make_job, make_leader
from features.support.waiting import wait_until
from hypothesis import given, settings

from bellweir.events.log import configure_logs
from bellweir.hosted.batches.api import BatchApi, assign_tenant
from bellweir.hosted.batches.state import AcceptJob, BatchJobs, EndJob, ItemResult, RecordResults
from bellweir.hosted.records import Route, RouteKind
from bellweir.hosted.serving.service import max_key_age_s
from bellweir.hosted.settings import TenantSettings
from bellweir.hosted.tenants.admission import KeyCheck
from bellweir.hosted.tenants.interface import Verdict
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir_platform.headers import HEADERS, PATHS
from bellweir_platform.object_store import PlatformStore
from bellweir_rehearsal.hosted.http_stand_in import StandInHandler, StandInServer
from bellweir_rehearsal.hosted.worker import WorkerStandIn

KEYS = {"dealers": ("key-of-dealers-1", "key-of-dealers-2"), "services": ("key-of-services-1",)}
UNKNOWN_KEY = "key-that-nobody-has"
PUBLIC = ("/single/",)
ROUTE = Route(host=HOST, path_prefix="/draft/", kind=RouteKind.ROLLOUT, max_attempts=3)


def bearer(key):
    return ("Authorization", f"Bearer {key}")


DEALERS, SERVICES = bearer(KEYS["dealers"][0]), bearer(KEYS["services"][0])
NAMES_DEALERS = ("x-bellweir-tenant", "dealers")
SENT = {
    'with a key of "dealers"': ("/idempotent/x", (DEALERS,)),
    'with another key of "dealers"': ("/idempotent/x", (bearer(KEYS["dealers"][1]),)),
    'with a key of "services"': ("/idempotent/x", (SERVICES,)),
    "without a key": ("/idempotent/x", ()),
    "with an unknown key": ("/idempotent/x", (bearer(UNKNOWN_KEY),)),
    "with a key of another scheme": ("/idempotent/x", (("Authorization", "Basic a2V5"),)),
    'of "services" with a tenant header': ("/idempotent/x", (SERVICES, NAMES_DEALERS)),
    "to a public route without a key": ("/single/x", ()),
    "to a public route with a tenant header": ("/single/x", (NAMES_DEALERS,)),
    "to a public route with a key": ("/single/x", (DEALERS,)),
}


@given_step('a gateway whose configuration has tenants "dealers" and "services"')
def given_gateway(context):
    context.workers = {name: WorkerStandIn(f"i-{name}") for name in "ab"}
    context.gateway = GatewayUnderTest(list(context.workers.values()))
    context.version = 1
    context.cleanup.callback(context.gateway.close)
    for worker in context.workers.values():
        context.cleanup.callback(worker.close)
    take(context, KEYS)


def take(context, keys):
    context.version += 1
    spec = configuration(context.version, tuple(keys.items()), PUBLIC)
    context.gateway.view.apply(spec, "test")


@given_step("a configuration without tenants is in force")
def given_no_tenants(context):
    take(context, {})


@given_step("the gateway's configuration may be {seconds:d} s old")
def given_old(context, seconds):
    context.gateway.configuration_age_s = float(seconds)


@when("a client sends a request {what}")
def when_sent(context, what):
    path, more = SENT[what]
    context.answer = context.gateway.send(path, more=more)


def seen_headers(context, request_id):
    found = [each.record.headers.get(request_id) for each in context.workers.values()]
    return next((headers for headers in found if headers is not None), None)


@then("it gets {status:d}, and the request ran for {tenant}")
def then_ran_for(context, status, tenant):
    assert context.answer.status == status, context.answer
    seen = seen_headers(context, context.answer.request_id)
    if tenant == "nobody":
        assert seen is None, "a worker ran it"
        assert context.answer.headers["WWW-Authenticate"] == "Bearer"
        return
    assert "authorization" not in seen
    assert seen.get("x-bellweir-tenant") == (None if tenant == "no tenant" else tenant.strip('"'))


@then("it gets {status:d}, and its worker saw what the client sent")
def then_untouched(context, status):
    assert context.answer.status == status
    seen = seen_headers(context, context.answer.request_id)
    assert seen["authorization"] == DEALERS[1]


@when('a configuration removes the first key of "dealers"')
def when_taken(context):
    take(context, {**KEYS, "dealers": KEYS["dealers"][1:]})


@when('a configuration gives "dealers" a new key')
def when_added(context):
    take(context, {**KEYS, "dealers": ("key-of-dealers-3",)})


@then("a request with it gets 401, and one with the other key 200")
def then_gone(context):
    send = context.gateway.send
    assert send("/idempotent/x", more=(DEALERS,)).status == 401
    assert send("/idempotent/x", more=(bearer(KEYS["dealers"][1]),)).status == 200


@then("a request with the new key gets 200")
def then_new(context):
    answer = context.gateway.send("/idempotent/x", more=(bearer("key-of-dealers-3"),))
    assert answer.status == 200


@then("a request with a known key is served, with an unknown one or without a key it gets 503")
def then_old(context):
    send = context.gateway.send
    assert send("/idempotent/x", more=(DEALERS,)).status == 200
    for more in ((bearer(UNKNOWN_KEY),), ()):
        unknown = send("/idempotent/x", more=more)
        assert unknown.status == 503
        assert float(unknown.headers["Retry-After"]) > 0
        assert seen_headers(context, unknown.request_id) is None


@then("once the configuration is proven, an unknown key and none get 401")
def then_proven(context):
    context.gateway.configuration_age_s = 0.0
    for more in ((bearer(UNKNOWN_KEY),), ()):
        refused = context.gateway.send("/idempotent/x", more=more)
        assert refused.status == 401
        assert seen_headers(context, refused.request_id) is None


@then("a known key is accepted up to the maximum age of the configuration, and undecided after it")
def then_strict(context):
    table = context.gateway.view.table()
    for strict, age_s, verdict in (
        (True, 4.9, Verdict.ALLOWED),
        (True, 5.0, Verdict.UNDECIDED),
        (True, 99.0, Verdict.UNDECIDED),
        (False, 99.0, Verdict.ALLOWED),
    ):
        limit_s = max_key_age_s(TenantSettings(strict, 5_000.0))
        check = KeyCheck(lambda age_s=age_s: age_s, max_age_s=limit_s)
        found = check.check(table, DEALERS[1], is_public=False, request_id="r")
        assert found.verdict is verdict, (strict, age_s)
        assert check.check(table, None, is_public=True, request_id="r").verdict is Verdict.ALLOWED


@then("keys are checked against the newest configuration received, in whatever order they arrive")
def then_newest(context):
    tenant_of_key = st.dictionaries(st.sampled_from("abcd"), st.sampled_from("xy"), max_size=4)

    @settings(max_examples=150)
    @given(
        versions=st.lists(tenant_of_key, min_size=1, max_size=5),
        order=st.randoms(use_true_random=False),
        age_s=st.sampled_from((0.0, 30.0)),
    )
    def newest(versions, order, age_s):
        view, check = ConfigurationView(), KeyCheck(lambda: age_s)
        arrivals = list(enumerate(versions, 1))
        order.shuffle(arrivals)
        newest_version = 0
        for version, owners in arrivals:
            # Each configuration has a tenant without keys, so that keys are always required.
            keys = {"z": (), **{name: [k for k in owners if owners[k] == name] for name in "xy"}}
            view.apply(configuration(version, tuple(keys.items())), "test")
            newest_version = max(newest_version, version)
            for key in "abcd":
                found = check.check(view.table(), f"Bearer {key}", is_public=False, request_id="r")
                owner = versions[newest_version - 1].get(key)
                assert found.tenant_name == (owner or "")
                refused = Verdict.REFUSED if age_s == 0.0 else Verdict.UNDECIDED
                assert found.verdict is (Verdict.ALLOWED if owner else refused)

    newest()


@when("clients send requests with keys, known and unknown, that succeed and fail")
def when_many(context):
    context.log = io.StringIO()
    configure_logs("debug", "json", context.log)
    context.cleanup.callback(configure_logs, "info", "json", io.StringIO())
    context.answers = []
    for fault in ("", "refuse", "lose_answer", "fail", "wrong_id"):
        for more in ((DEALERS,), (bearer(UNKNOWN_KEY),), (SERVICES, NAMES_DEALERS)):
            for worker in context.workers.values():
                if fault:
                    setattr(worker.faults, fault, 1)
            for path in ("/idempotent/x", "/single/x", "/nowhere/x"):
                context.answers.append(context.gateway.send(path, more=more))
    take(context, {**KEYS, "dealers": ()})


@then("no log line, metric, response or worker contains a key")
def then_secret(context):
    statuses = {answer.status for answer in context.answers}
    assert {200, 401, 404, 503} <= statuses, statuses
    metrics = context.gateway.metrics.render()
    seen = [msgspec.json.encode(each.record.headers) for each in context.workers.values()]
    answers = [answer.body + str(answer.headers).encode() for answer in context.answers]
    log = context.log.getvalue()
    assert "key_refused" in log
    for place in (log.encode(), metrics, *seen, *answers):
        for key in (*KEYS["dealers"], *KEYS["services"], UNKNOWN_KEY):
            assert key.encode() not in place, place


@then("its error detail contains nothing of the store's response")
def then_store_error(context):
    key = KEYS["dealers"][0]

    class Handler(StandInHandler):
        def do_GET(self):  # noqa: N802 - the name is that of http.server
            status = 500 if "config" in self.path else 200
            self.answer(status, json.dumps({"items": key}).encode())

    server = StandInServer(Handler, "127.0.0.1")
    context.cleanup.callback(server.close)
    store = PlatformStore(server.address)
    for kind in ("config", "servers"):
        error = store.list_kind(kind).failure()
        assert key not in error.detail, error


@given_step('a ledger with a job of "dealers"')
def given_job(context):
    context.ledger = MemoryLedger()
    context.api = BatchApi(context.ledger, HEADERS, PATHS)
    sent = call("POST", "/draft/job", job_document())
    assert context.api.accept(sent, ROUTE, "dealers").status == 202
    context.ledger.submit("", RecordResults("job", (ItemResult("item-0", True, "t"),)), 1.0)


READ, BODY = ("GET", "/api/lots/job", ""), ("GET", "/api/items/job", "id=item-1")
END = ("DELETE", "/api/lots/job", "")


def status_of(context, what, tenant):
    method, path, query = what
    return context.api.serve_job_request(call(method, path, query=query), tenant).status


@then('"dealers" can read the job and its items')
def then_own(context):
    assert [status_of(context, what, "dealers") for what in (READ, BODY)] == [200, 200]


@then('for "services" the job does not exist, before and after a snapshot')
def then_foreign(context):
    for _ in range(2):
        for what in (READ, BODY, END):
            assert status_of(context, what, "services") == 404
            assert status_of(context, what, "") == 404
        assert context.ledger.machine.jobs["job"].is_open
        saved, context.ledger.machine = context.ledger.machine.save(), BatchJobs()
        context.ledger.machine.load(saved)
    assert status_of(context, END, "dealers") == 200
    assert not context.ledger.machine.jobs["job"].is_open


@then('"services" can\'t submit a job with the same id')
def then_id_in_use(context):
    sent = call("POST", "/draft/job", job_document())
    assert context.api.accept(sent, ROUTE, "services").status == 409
    again = call("POST", "/draft/job", job_document())
    assert context.api.accept(again, ROUTE, "dealers").status == 202


@given_step('a leader with a job of "dealers" whose items\' headers contain keys and tenant names')
def given_leader(context):
    context.leader = make_leader(context)
    job = make_job("job", 4, 2)
    items = tuple(
        msgspec.structs.replace(item, headers=(*item.headers, SERVICES, NAMES_DEALERS))
        for item in job.items
    )
    job = assign_tenant(msgspec.structs.replace(job, items=items), "dealers", HEADERS)
    context.leader.ledger.submit("", AcceptJob(job), 1.0)
    state = context.leader.ledger.machine.jobs["job"]
    wait_until(lambda: len(state.results) == 4, "all items are listed")


@then('every item ran for "dealers" without a key, and all reward calls ran without a tenant')
def then_items(context):
    seen = {}
    for worker in (*context.leader.models, *context.leader.scorers):
        seen |= worker.record.headers
    texts = {name: headers for name, headers in seen.items() if name.startswith("job-")}
    scores = {name: headers for name, headers in seen.items() if name.startswith("score-")}
    assert len(texts) == 4
    assert len(scores) == 4
    for headers in texts.values():
        assert headers["x-bellweir-tenant"] == "dealers"
    for headers in scores.values():
        assert "x-bellweir-tenant" not in headers
    assert not any("authorization" in headers for headers in seen.values())


@then("a job stored without a tenant can be read and ended with any key")
def then_earlier(context):
    before = SimpleNamespace(ledger=MemoryLedger())
    before.api = BatchApi(before.ledger, HEADERS, PATHS)
    encoded = msgspec.to_builtins(AcceptJob(make_job("job", 2, 1)), builtin_types=(bytes,))
    del encoded["job"]["tenant"]
    before.ledger.machine.apply(msgspec.convert(encoded, AcceptJob))
    saved, before.ledger.machine = before.ledger.machine.save(), BatchJobs()
    before.ledger.machine.load(saved)
    page = before.api.serve_job_request(call(*READ[:2]), "dealers")
    assert json.loads(page.body)["total"] == 2
    ended = msgspec.to_builtins(EndJob("job", 1.0, "services"))
    before.ledger.machine.apply(msgspec.convert(ended, EndJob))
    assert not before.ledger.machine.jobs["job"].is_open
    with contextlib.suppress(KeyError):
        del ended["tenant"]
    before.ledger.machine.apply(msgspec.convert(ended, EndJob))
