"""Steps of `platform_clients.feature`."""

from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from returns.result import Success

from bellweir.clients import pool
from bellweir.clients.interface import ErrorKind, ScoreCall
from bellweir.clients.service import SWEEP_PERIOD_S, NoAddressError, PlatformService
from bellweir.kernel.clock import ManualClock
from bellweir.kernel.listeners import bind_listeners
from bellweir.kernel.node import Kernel
from bellweir.settings.models import NodeIdentity, Settings
from support.lossy_server import LossPoint, LossyServer

TIMEOUT_S = 10.0


@given("a started platform service and a platform server that answers")
def step_service(context):
    listeners = bind_listeners("127.0.0.1", 0, 0)
    context.cleanup.callback(listeners.close)
    context.clock = ManualClock()
    kernel = Kernel(listeners, clock=context.clock)
    context.cleanup.callback(kernel.executors.stop)
    context.service = PlatformService(kernel, Settings(node=NodeIdentity(name="node")))
    context.service.start()
    context.cleanup.callback(context.service.stop)
    context.server = LossyServer(LossPoint.NOWHERE, healthy_calls=1000)
    context.cleanup.callback(context.server.stop)


def call(context, _number=0):
    scorer = context.service.scorer(context.server.address)
    return scorer.score(ScoreCall("sample", "prompt", "text"), TIMEOUT_S)


@when("{count:d} platform calls are made one after the other, each with a new client")
def step_in_turn(context, count):
    assert all(isinstance(call(context), Success) for _ in range(count))


@when("{count:d} platform calls are made at once, three times")
def step_at_once(context, count):
    with ThreadPoolExecutor(count) as executor:
        for _ in range(3):
            results = list(executor.map(lambda number: call(context, number), range(count)))
            assert all(isinstance(result, Success) for result in results)


@then("the platform server has seen {count:d} connection")
def step_seen(context, count):
    assert context.server.connections_seen == count


@then("the platform server has seen at most {count:d} connections")
def step_seen_at_most(context, count):
    assert 1 <= context.server.connections_seen <= count


@when("every idle platform connection has reached the end of its lifetime")
def step_aged(context):
    lifetime_s, pool.IDLE_LIFETIME_S = pool.IDLE_LIFETIME_S, 0.0
    context.cleanup.callback(setattr, pool, "IDLE_LIFETIME_S", lifetime_s)
    context.clock.advance(SWEEP_PERIOD_S)


@then("the platform server has no open connections")
def step_none_open(context):
    context.wait_until(lambda: context.server.connections_open == 0, "no connection is open")


@then("one more platform call succeeds")
def step_one_more(context):
    assert isinstance(call(context), Success)


@when('a platform call is made to the address "{address}"')
def step_bad_address(context, address):
    context.result = context.service.application(address).read_ready(TIMEOUT_S)


@then("that platform call ends as not run")
def step_not_run(context):
    assert context.result.failure().kind is ErrorKind.NOT_RUN, context.result


@then("asking for each platform client without an address names its setting")
def step_no_address(context):
    service = context.service
    named = []
    for make in (service.object_store, service.machine_list, service.weight_store):
        try:
            make()
        except NoAddressError as failure:
            named.append(str(failure).split()[0])
    assert named == ["platform.object_api", "platform.machine_list", "platform.weight_store"]


@when("the platform service is stopped")
def step_stop(context):
    context.service.stop()


@then("a platform call made later ends as not run")
def step_later(context):
    assert call(context).failure().kind is ErrorKind.NOT_RUN
