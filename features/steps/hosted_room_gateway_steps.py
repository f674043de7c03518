"""Steps for admission control at a hosted gateway in this process, with simulated workers."""

import io

from behave import given as given_step
from behave import then, when
from features.support.hosted_gateway import HOST, GatewayUnderTest

from bellweir.events.log import configure_logs
from bellweir.explanation.lines import read_lines
from bellweir.explanation.summary import summarize
from bellweir.hosted.settings import RoomSettings
from bellweir.hosted.sight.interface import WorkerStats
from bellweir.hosted.sight.worker_load import WorkerLoad
from bellweir_rehearsal.hosted.worker import WorkerStandIn

LATENCY_S = 0.1
URGENCY = "X-Bellweir-Urgency-Class"
TENANTS = {"of priority 0": 0, "of priority 12": 12, "without a priority": None}
DISABLED = RoomSettings(
    queue=False,
    refuse_hopeless=False,
    shed=False,
    reserve=False,
    return_from_room=False,
    send_urgency=False,
)


def start(context, in_flight, room_settings=None):
    context.workers = {name: WorkerStandIn(f"i-{name}") for name in "ab"}
    context.gateway = GatewayUnderTest(list(context.workers.values()), room_settings=room_settings)
    context.cleanup.callback(context.gateway.close)
    for worker in context.workers.values():
        context.cleanup.callback(worker.close)
    set_stats(context, 0)
    # Service times are learnt while no request waits at the workers.
    assert context.gateway.send("/idempotent/x").status == 200
    set_stats(context, in_flight)
    context.log = io.StringIO()
    configure_logs("debug", "json", context.log)
    context.cleanup.callback(configure_logs, "info", "json", io.StringIO())


def set_stats(context, in_flight, names="ab", age_s=0.05, **more):
    for name in names:
        incarnation = context.gateway.workers.worker(f"i-{name}").incarnation
        context.gateway.shared_stats.stats_by_worker[incarnation] = WorkerStats(
            incarnation, in_flight, LATENCY_S, LATENCY_S, age_s, **more
        )


def lines_of(context, request_id):
    lines = read_lines([context.log.getvalue().splitlines()])
    return [line for line in lines if line.fields.get("request_id") == request_id]


def run_count(context, request_id):
    return sum(worker.record.ran[request_id] for worker in context.workers.values())


@given_step(
    "a gateway with known workers, each with {number:d} requests of other gateways in flight"
)
def given_known(context, number):
    start(context, number)


@given_step(
    "a gateway without admission control, its workers each with {number:d} requests in flight"
)
def given_disabled(context, number):
    start(context, number, DISABLED)


@given_step("it received nothing from other gateways for {seconds:d} s")
def given_isolated(context, seconds):
    set_stats(context, 60, age_s=float(seconds))


@given_step("one worker without requests is ejected")
def given_ejected(context):
    set_stats(context, 0, "a", is_ejected=True)


@given_step("each of them reported {number:d} requests {before:d} ms ago")
def given_reported_load(context, before, number):
    set_stats(context, 0, load=WorkerLoad(8, number - 8, 8), load_age_s=before / 1000)


@given_step("a gateway before {service} whose tenants have priorities")
def given_tenants(context, service):
    start(context, 0)
    spec = {
        "version": 2,
        "routes": [
            {"host": HOST, "pathPrefix": "/single/", "service": "app", "priority": 3},
            {"host": HOST, "pathPrefix": "/idempotent/", "service": "app", "priority": 3},
        ],
        "services": [{"name": "app"}],
        "tenants": [
            {"name": name, "apiKeys": [f"key {name}"]}
            | ({} if priority is None else {"priority": priority})
            for name, priority in TENANTS.items()
        ],
    }
    spec["routes"][0]["public"] = True
    if service == "engines":
        spec["services"][0]["engine"] = {"slots": 8}
    context.gateway.view.apply(spec, "test")


@when("a client sends a request that must be answered within 300 ms")
def when_sent(context):
    context.answer = context.gateway.send("/short/x")


@when("a client sends a request that may take 2 s")
def when_waiting(context):
    def send():
        context.answer = context.gateway.send("/idempotent/x")

    context.sending = context.gateway.executors.run_task("client", lambda _stopping: send())


@when("a client sends a request that may take 2 s, and leaves")
def when_client_leaves(context):
    context.request_id = context.gateway.send_and_leave("/idempotent/x")


@when("the other gateways' requests at one worker end")
def when_ended(context):
    set_stats(context, 1, "b")
    context.sending.result(10.0)


@when("{who} sends a request to a route of priority 3")
def when_priority(context, who):
    if who.startswith("a client"):
        context.answer = context.gateway.send("/single/x", more=((URGENCY, "1"),))
        return
    name = who.removeprefix("a tenant ")
    authorization = ("Authorization", f"Bearer key {name}")
    context.answer = context.gateway.send("/idempotent/x", more=(authorization,))


@then("it is queued at the gateway")
def then_waits(context):
    context.wait_until(lambda: context.gateway.gate.queue_length() == 1, "a queued request")


@then("the queue is empty, and no worker ran it")
def then_queue_empty(context):
    context.wait_until(
        lambda: any(
            line.event == "request_given_up" for line in lines_of(context, context.request_id)
        ),
        "the end of a request whose client left",
    )
    assert context.gateway.gate.queue_length() == 0
    assert run_count(context, context.request_id) == 0


@then("it gets 503, no worker ran it, and Retry-After is within a third of its time")
def then_refused(context):
    answer = context.answer
    assert answer.status == 503, answer
    assert run_count(context, answer.request_id) == 0
    assert 0 < float(answer.headers["Retry-After"]) <= 0.1, answer.headers["Retry-After"]


@then("a worker ran it, and it gets 200")
def then_ran(context):
    assert context.answer.status == 200, context.answer
    assert run_count(context, context.answer.request_id) == 1


@then("its log line and the explanation of its id give the figures of the decision")
def then_explained(context):
    lines = lines_of(context, context.answer.request_id)
    refused = next(line for line in lines if line.event == "request_refused")
    assert refused.fields["in_hand"] == 120, refused.fields
    assert refused.fields["slots"] == 16, refused.fields
    assert refused.fields["age_ms"] == 50, refused.fields
    told = summarize(context.answer.request_id, lines)
    assert "could not answer in time" in told, told
    assert "120 requests at 16 slots as of 50 ms before" in told, told


@then("it is counted as refused")
def then_counted(context):
    assert context.gateway.refused == ["at_once"], context.gateway.refused


@then("the explanation of its id mentions the wait")
def then_wait_explained(context):
    told = summarize(context.answer.request_id, lines_of(context, context.answer.request_id))
    assert "it waited" in told, told
    assert "(room)" in told, told


@then("its worker received the urgency {urgency}")
def then_urgency(context, urgency):
    assert context.answer.status == 200, context.answer
    request_id = context.answer.request_id
    found = [worker.record.headers.get(request_id) for worker in context.workers.values()]
    (headers,) = [each for each in found if each is not None]
    wanted = None if urgency == "none" else urgency
    assert headers.get(URGENCY.lower()) == wanted, headers
