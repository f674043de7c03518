"""What a suspended machine takes for current, held, or in time, on the clocks used in service."""

import random
import time
from types import SimpleNamespace

from behave import given as given_step
from behave import then, when
from features.steps.hosted_lease_steps import LEASE_S, OPERATION_S, SEPARATION_S, MemoryStore
from features.steps.hosted_tenants_steps import DEALERS, KEYS
from features.support.suspended_machine import SuspendedMachine
from returns.result import Success

from bellweir.hosted.interface import Listing, RecordKind, StoredRecord
from bellweir.hosted.records import Configuration, Route, TenantEntry
from bellweir.hosted.serving.client_request import read_client_request
from bellweir.hosted.serving.service import max_key_age_s
from bellweir.hosted.settings import TenantSettings
from bellweir.hosted.tenants.admission import KeyCheck
from bellweir.hosted.tenants.interface import Verdict
from bellweir.hosted.usage.wall_clock import StableWallClock
from bellweir.hosted.views.configuration import ConfigurationView, RouteTable
from bellweir.hosted.views.follower import KindFollower
from bellweir.hosted.weights.lease import Lease
from bellweir.http_server.http import Caller, Request
from bellweir.kernel.clock import SystemClock
from bellweir_platform.headers import HEADERS
from bellweir_rehearsal.hosted.records import ObjectRecords

TOLERANCE_S = 0.2


class OneListing:
    """A store that answers each list alike."""

    def list_kind(self, kind, *, stale=False):
        spec = {"version": 3, "routes": [], "services": []}
        return Success(Listing(7, (StoredRecord(kind, "main", 7, spec),)))


@given_step("a machine that can be suspended")
def given_machine(context):
    context.machine = context.cleanup.enter_context(SuspendedMachine())


@when("a holder of the lease is suspended until another node may hold it")
def when_holder_suspended(context):
    store = MemoryStore(ObjectRecords(), random.Random(1))
    context.lease = Lease(store, "duty", "node-0", LEASE_S, SEPARATION_S)
    context.lease.step()
    assert context.lease.begin_operation(OPERATION_S), "the node does not hold the lease"
    context.machine.suspend(LEASE_S + SEPARATION_S)


@then("it may begin no operation")
def then_no_operation(context):
    assert context.lease.begin_operation(OPERATION_S) == 0, context.lease.remaining_s()


@when("a machine with a current view is suspended for {seconds:d} s")
def when_view_suspended(context, seconds):
    view = ConfigurationView()
    store, kind = OneListing(), RecordKind.CONFIGURATION
    context.follower = KindFollower(store, kind, view.apply_listing, view.apply_change)
    context.follower._list()
    assert context.follower.age_s() < TOLERANCE_S
    context.machine.suspend(seconds)


@then("its view is at least {seconds:d} s old, and so is what it tells its peers")
def then_view_is_old(context, seconds):
    assert context.follower.age_s() >= seconds, context.follower.age_s()
    now_s = context.follower.age_s() + context.follower.state.current_as_of_s
    assert context.follower.state.update_since(None, now_s).age_s >= seconds
    assert not context.follower.is_relay_fresh()


@when("a machine with a request that has {left:d} s left is suspended for {seconds:d} s")
def when_request_suspended(context, left, seconds):
    environ = {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": "/r/",
        "QUERY_STRING": "",
        "REMOTE_ADDR": "127.0.0.1",
        "HTTP_" + HEADERS.request_id.upper().replace("-", "_"): "1",
        "HTTP_" + HEADERS.deadline_ms.upper().replace("-", "_"): str(1000 * left),
        "wsgi.input": SimpleNamespace(read=lambda *_: b""),
    }
    request = Request(environ, "1", Caller("127.0.0.1"))
    context.client = read_client_request(request, Route("h", "/r/", timeout_ms=60_000), HEADERS)
    assert context.client.left_s() > left - TOLERANCE_S
    context.machine.suspend(seconds)


@then("no time is left for the request")
def then_no_time(context):
    assert context.client.left_s() <= 0, context.client.left_s()


@when("a machine whose configuration is current is suspended for longer than keys are accepted")
def when_keys_suspended(context):
    when_view_suspended(context, 0)
    longest_s = max_key_age_s(TenantSettings(strict_revoke=True))
    context.check = KeyCheck(context.follower.age_s, max_age_s=longest_s)
    tenants = (TenantEntry("dealers", api_keys=KEYS["dealers"]),)
    context.routes = RouteTable(Configuration(3, (Route("h", "/r/"),), tenants=tenants))
    assert _verdict(context) is Verdict.ALLOWED
    context.machine.suspend(longest_s)


@then("a known key is undecided")
def then_undecided(context):
    assert _verdict(context) is Verdict.UNDECIDED


def _verdict(context):
    return context.check.check(context.routes, DEALERS[1], is_public=False, request_id="1").verdict


@when("a machine that counts usage is suspended for {seconds:d} s")
def when_usage_suspended(context, seconds):
    context.wall_clock = StableWallClock(lambda: time.time())
    context.machine.suspend(seconds)


@then("its wall clock says the true time")
def then_true_time(context):
    error_s = context.wall_clock.now_s() - time.time()
    assert abs(error_s) < TOLERANCE_S, error_s


@when("a node's clock is read before and after a suspension of {seconds:d} s")
def when_clock_read(context, seconds):
    clock = SystemClock()
    before_s = clock.monotonic_s()
    context.machine.suspend(seconds)
    context.passed_s = clock.monotonic_s() - before_s


@then("at least {seconds:d} s have passed on it")
def then_passed(context, seconds):
    assert context.passed_s >= seconds, context.passed_s
