"""Final refusals of a gateway whose configuration may be old."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given as given_step
from behave import then, when
from features.support.hosted_gateway import HOST, GatewayUnderTest, configuration

from bellweir_rehearsal.hosted.worker import WorkerStandIn

OLD_S = 30.0
WITHOUT_KEYS = (("dealers", ()),)
KEY = "key-of-dealers"


@given_step("a gateway whose configuration may be 30 s old")
def given_old(context):
    worker = WorkerStandIn("i-1")
    context.cleanup.callback(worker.close)
    context.gateway = GatewayUnderTest([worker])
    context.cleanup.callback(context.gateway.close)
    context.gateway.configuration_age_s = OLD_S


@given_step("the gateway's configuration has tenants without keys")
def given_tenants(context):
    context.gateway.view.apply(configuration(2, WITHOUT_KEYS), "test")


@when('the store has a configuration with the route "{prefix}"')
def when_route(context, prefix):
    found = configuration(5)
    found["routes"].append({**found["routes"][0], "host": HOST, "pathPrefix": prefix})
    context.gateway.store_configuration = found


@when("the store has the gateway's configuration")
def when_same(context):
    context.gateway.store_configuration = configuration()


@when("the store does not answer for {seconds:g} s")
def when_silent(context, seconds):
    def confirm():
        time.sleep(seconds)
        return False

    context.gateway.confirm = confirm


@when('the store has a configuration in which "dealers" have their keys')
def when_keys(context):
    context.gateway.store_configuration = configuration(5, (("dealers", (KEY,)),))


@when('the store has a configuration in which "{prefix}" is public')
def when_public(context, prefix):
    context.gateway.store_configuration = configuration(5, WITHOUT_KEYS, (prefix,))


@when("the store has a configuration that can't be decoded")
def when_undecodable(context):
    context.gateway.store_configuration = {"version": "five", "routes": 7}


@when("the store has a configuration with a route that has no name")
def when_nameless(context):
    found = configuration(5)
    found["routes"].append({"pathPrefix": 7})
    context.gateway.store_configuration = found


def _send(context, path, *more):
    context.began_s = time.monotonic()
    return context.gateway.send(path, more=more)


@then('a request to "{path}" gets {status:d} at its first try')
def then_gets(context, path, status):
    answer = _send(context, path)
    assert answer.status == status, (answer.status, answer.body)


@then('a request with a key of "dealers" to "{path}" gets {status:d} at its first try')
def then_gets_with_key(context, path, status):
    answer = _send(context, path, ("Authorization", f"Bearer {KEY}"))
    assert answer.status == status, (answer.status, answer.body)


@then('a request without a key to "{path}" gets {status:d} at its first try')
def then_gets_without(context, path, status):
    then_gets(context, path, status)


@then('a request to "{path}" gets 503 with Retry-After within {seconds:g} s')
def then_deferred(context, path, seconds):
    answer = _send(context, path)
    took_s = time.monotonic() - context.began_s
    assert answer.status == 503, (answer.status, answer.body)
    assert float(answer.headers["Retry-After"]) > 0
    assert took_s < seconds, took_s


@then('the next {count:d} requests to "{path}" get 503 within {seconds:g} s')
def then_next(context, count, path, seconds):
    for _ in range(count):
        then_deferred(context, path, seconds)


@then('{count:d} requests at once to "{path}" get 404, for one call to the store')
def then_one_call(context, count, path):
    gateway = context.gateway
    gateway.configuration_age_s = OLD_S
    gateway.confirmations = 0
    with ThreadPoolExecutor(count) as pool:
        answers = list(pool.map(lambda _: gateway.send(path), range(count)))
    assert [answer.status for answer in answers] == [404] * count
    assert gateway.confirmations == 1, gateway.confirmations
