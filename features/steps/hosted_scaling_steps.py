"""Autoscaling against an in-memory platform that starts workers as ordered."""

import json
from itertools import pairwise

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from hypothesis import given, settings

from bellweir.hosted.interface import DutyOutcome, Listing, StoredRecord, WorkerCountOrder
from bellweir.hosted.scaling.controller import ScalingController
from bellweir.hosted.scaling.service import POLICIES
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.workers import WorkersView
from bellweir_platform.duties import PlatformDuties
from bellweir_rehearsal.hosted.http_stand_in import StandInHandler, StandInServer

STEP_S = 0.5
BOOT_S = 4.0
MINIMUM, MAXIMUM = 1, 5
PRICES = {"a": 1.0, "b": 0.5}


class Lease:
    def __init__(self, fence):
        self.fence = fence

    def remaining_s(self):
        return 1.0 if self.fence else 0.0

    def begin_operation(self, seconds):
        return self.fence


class Fleet:
    """Platform with workers in zones; workers are ready `BOOT_S` after their order."""

    def __init__(self, zones=PRICES, each=3, policy="replace", holders=1):
        self.now_s = 0.0
        self.live = dict.fromkeys(zones, each)
        self.wanted = dict(self.live)
        self.due = []
        self.exhausted = set()
        self.answers = []
        self.orders = []
        self.age_s = 0.0
        self.number = 0
        self.workers, self.view = WorkersView(lambda: self.now_s), ConfigurationView()
        scale = {"min": MINIMUM, "max": MAXIMUM, "bootS": BOOT_S, "zonePrices": PRICES}
        services = [{"name": "llm", "autoscale": scale}, {"name": "app"}]
        self.view.apply({"version": 1, "services": services}, "test")
        self.leases = [Lease(1 if at == 0 else 0) for at in range(holders)]
        self.controllers = [
            ScalingController(
                lease,
                self,
                self.view,
                self.workers,
                POLICIES[policy](),
                f"node-{at}",
                lambda: self.age_s,
                lambda: self.now_s,
            )
            for at, lease in enumerate(self.leases)
        ]

    def order_workers(self, order, timeout_s):
        self.orders.append((self.now_s, order))
        answer = self.answers.pop(0) if self.answers else DutyOutcome.DONE
        if order.zone in self.exhausted:
            return DutyOutcome.REFUSED
        if answer in (DutyOutcome.DONE, DutyOutcome.UNKNOWN):
            self.wanted[order.zone] = order.count
            self.due.append((self.now_s + BOOT_S, order.zone, order.count))
        return answer

    def pass_time(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            for due in [due for due in self.due if due[0] <= self.now_s]:
                self.due.remove(due)
                self.live[due[1]] = max(self.live[due[1]], due[2])
            self.show()
            for controller in self.controllers:
                controller.step()

    def show(self):
        entries = [
            {"service": "llm", "address": "127.0.0.1:1", "zone": zone, "slots": 8, "state": "ready"}
            for zone, count in self.live.items()
            for _ in range(count)
        ]
        records = (StoredRecord("servers", f"i-{at}", 1, one) for at, one in enumerate(entries))
        self.workers.apply_listing(Listing(1, tuple(records)))


@given_step("a service with {each:d} stable workers in each of 2 zones")
def given_fleet(context, each, policy="replace"):
    context.fleet = Fleet(each=each, policy=policy)
    context.fleet.pass_time(15.0)


@given_step('a service with {each:d} stable workers in each of 2 zones and the policy "{policy}"')
def given_policy(context, each, policy):
    given_fleet(context, each, policy)


@given_step('zone "{zone}" has no capacity for workers')
def given_exhausted(context, zone):
    context.fleet.exhausted.add(zone)


@given_step("the list of workers may be {seconds:d} seconds out of date")
def given_old(context, seconds):
    context.fleet.age_s = float(seconds)


@when('a worker of zone "{zone}" is gone for {seconds:d} seconds')
def when_gone(context, zone, seconds):
    before = context.fleet.live[zone]
    context.fleet.live[zone] = before - 1
    context.fleet.pass_time(float(seconds))
    context.fleet.live[zone] = max(before, context.fleet.live[zone])
    context.fleet.pass_time(1.0)


@when('a worker of zone "{zone}" is gone for good')
def when_gone_for_good(context, zone):
    context.fleet.live[zone] -= 1
    context.fleet.pass_time(20.0)


@when(
    'each worker of zone "{zone}" is replaced, with the old and the new one ready '
    "for {seconds:d} seconds"
)
def when_replaced(context, zone, seconds):
    for _ in range(context.fleet.live[zone]):
        context.fleet.live[zone] += 1
        context.fleet.pass_time(float(seconds))
        context.fleet.live[zone] -= 1
        context.fleet.pass_time(1.0)
    context.fleet.pass_time(20.0)


@then("nothing was ordered")
def then_nothing(context):
    assert context.fleet.orders == []


@then(
    'zone "{zone}" was ordered to have {count:d} workers, again only after those had time to start'
)
def then_ordered(context, zone, count):
    orders = context.fleet.orders
    assert {(order.zone, order.count) for _, order in orders} == {(zone, count)}
    times = [at_s for at_s, _ in orders]
    assert all(after - before > BOOT_S for before, after in pairwise(times))


@then('zone "{zone}" was ordered to have {count:d} workers')
def then_ordered_elsewhere(context, zone, count):
    assert (zone, count) in {(order.zone, order.count) for _, order in context.fleet.orders}


@then("no zone was ordered to have more")
def then_no_more(context):
    context.fleet.pass_time(60.0)
    assert max(order.count for _, order in context.fleet.orders) == 4
    assert sum(context.fleet.live.values()) == 6, context.fleet.live


@then("orders stay within the limits, come from one holder at a time and restore all workers")
def then_any(context):
    step = st.one_of(
        st.tuples(st.just("pass"), st.sampled_from((0.5, 3.0, 12.0))),
        st.tuples(st.just("lose"), st.sampled_from("ab")),
        st.tuples(st.just("answer"), st.sampled_from(list(DutyOutcome))),
        st.tuples(st.just("hand over"), st.integers(0, 1)),
        st.tuples(st.just("age"), st.sampled_from((0.0, 9.0))),
    )

    @settings(max_examples=100)
    @given(steps=st.lists(step, max_size=25))
    def any_losses(steps):
        fleet, fence = Fleet(holders=2), 1
        fleet.pass_time(15.0)
        for what, value in steps:
            if what == "pass":
                fleet.pass_time(value)
            elif what == "lose":
                fleet.live[value] = max(0, fleet.live[value] - 1)
            elif what == "answer":
                fleet.answers.append(value)
            elif what == "age":
                fleet.age_s = value
            else:
                fence += 1
                fleet.leases[value].fence, fleet.leases[1 - value].fence = fence, 0
        fleet.age_s, fleet.answers = 0.0, []
        fleet.pass_time(60.0)
        assert all(MINIMUM <= order.count <= MAXIMUM for _, order in fleet.orders)
        fences = [order.fencing_token for _, order in fleet.orders]
        assert fences == sorted(fences)
        assert sum(fleet.live.values()) >= 6, fleet.live
        quiet = len(fleet.orders)
        fleet.pass_time(60.0)
        assert len(fleet.orders) == quiet, "orders continue although no worker is missing"

    any_losses()


@then("an order has its service, zone, count, holder and fencing token")
def then_wire(context):
    seen, statuses = [], [200, 409]

    class Handler(StandInHandler):
        def do_POST(self):  # noqa: N802 - the name is that of http.server
            seen.append((self.path, dict(self.headers), json.loads(self.read_body())))
            self.answer(statuses.pop(0))

    server = StandInServer(Handler, "127.0.0.1")
    context.cleanup.callback(server.close)
    duties, order = PlatformDuties(server.address), WorkerCountOrder("llm", "a", 6, "store-1", 9)
    assert duties.order_workers(order, 1.0) is DutyOutcome.DONE
    assert duties.order_workers(order, 1.0) is DutyOutcome.REFUSED
    path, headers, body = seen[0]
    assert (path, body) == ("/scaling", {"service": "llm", "zone": "a", "wantedGroups": 6})
    assert headers["X-Bellweir-Duty-Holder"] == "store-1"
    assert headers["X-Bellweir-Fencing-Token"] == "9"
