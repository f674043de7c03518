"""Usage metering: counted at gateways, added up in the log, reported by the lease holder."""

import json
from types import SimpleNamespace

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.support.hosted_gateway import GatewayUnderTest, configuration
from hypothesis import given, settings
from returns.result import Failure, Success

from bellweir.hosted.interface import DutyOutcome, UsageReport
from bellweir.hosted.settings import UsageSettings
from bellweir.hosted.usage import reporter as reporter_module
from bellweir.hosted.usage.counter import UsageCounter
from bellweir.hosted.usage.reporter import UsageReporter
from bellweir.hosted.usage.sender import UsageSender
from bellweir.hosted.usage.state import (
    AddUsage,
    SettleUsage,
    UsageSettled,
    UsageWindows,
    WindowCounts,
)
from bellweir.hosted.usage.wall_clock import JUMP_CONFIRMATION_S, StableWallClock
from bellweir.ledger.interface import LedgerError, LedgerErrorKind
from bellweir.ledger.machines import Codec
from bellweir_platform.duties import PlatformDuties
from bellweir_rehearsal.hosted.http_stand_in import StandInHandler, StandInServer
from bellweir_rehearsal.hosted.worker import WorkerStandIn

SETTINGS = UsageSettings("127.0.0.1:1", window_s=5.0, late_s=10.0)


class UsageLedger:
    """Applies commands synchronously, encoded and decoded, unless it is unavailable."""

    def __init__(self):
        self.machine = UsageWindows()
        self.codec = Codec([UsageWindows])
        self.is_unavailable = False
        self.loses_answers = False

    def submit(self, key, command, timeout_s):
        if self.is_unavailable:
            return Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, "test"))
        reply = self.machine.apply(self.codec.decode(self.codec.encode(command), type(command)))
        if self.loses_answers:
            return Failure(LedgerError(LedgerErrorKind.UNKNOWN, "test"))
        return Success(reply)


class FakeLease:
    def __init__(self, fence=1):
        self.fence = fence

    def remaining_s(self):
        return 1.0 if self.fence else 0.0

    def begin_operation(self, seconds):
        return self.fence


class FakePlatform:
    """Accepts reports; `answers` holds the outcomes of the next calls."""

    def __init__(self):
        self.taken = []
        self.answers = []
        self.calls = 0

    def report_usage(self, report, timeout_s):
        self.calls += 1
        answer = self.answers.pop(0) if self.answers else DutyOutcome.DONE
        if answer in (DutyOutcome.DONE, DutyOutcome.UNKNOWN):
            self.taken.append(report)
        return answer


def make_reporter(ledger, lease, platform, clock, node="node"):
    wall_clock = StableWallClock(clock, clock)
    return UsageReporter(lease, ledger, platform, SETTINGS, node, wall_clock, lambda: True)


@given_step("a gateway that counts usage of tenants, with two workers")
def given_gateway(context):
    context.workers = {name: WorkerStandIn(f"i-{name}") for name in "ab"}
    context.gateway = GatewayUnderTest(list(context.workers.values()))
    context.cleanup.callback(context.gateway.close)
    for worker in context.workers.values():
        context.cleanup.callback(worker.close)
    context.gateway.view.apply(configuration(2, (("dealers", ("k",)),), ("/short/",)), "test")


@then("a request is counted once for its tenant, even if it runs twice, and not if it is refused")
def then_counted(context):
    key = (("Authorization", "Bearer k"),)

    by_window = {}

    def counted(path="/idempotent/x", more=key, **faults):
        """Return the number of requests counted so far, and whether this one was counted."""
        for worker in context.workers.values():
            for name, value in faults.items():
                setattr(worker.faults, name, value)
        context.gateway.send(path, more=more)
        unsent = context.gateway.usage.take_unsent()
        # A window may end at any moment, and the counts of the next one start at zero.
        by_window.update({each.window: each.counts.get("dealers", 0) for each in unsent})
        return sum(by_window.values()), bool(unsent)

    assert counted() == (1, True)
    assert counted("/single/x") == (2, True)
    assert counted(fail=1) == (3, True)
    assert counted(lose_answer=1) == (4, True)
    assert counted(refuse=1) == (4, False)
    assert counted(more=()) == (4, False)
    assert counted("/short/x", more=()) == (4, False)
    assert counted() == (5, True)


@then("a window's total is what its gateways had sent when it was settled, and never changes")
def then_sums(context):
    window = st.one_of(st.integers(0, 2), st.integers(0, 30))
    step = st.one_of(
        st.tuples(st.just("begin"), st.integers(0, 2), window),
        st.tuples(st.just("send"), st.integers(0, 2), st.sampled_from(("", "away", "lost"))),
        st.tuples(st.just("settle"), window, st.none()),
        st.tuples(st.just("snapshot"), st.none(), st.none()),
    )

    @settings(max_examples=200)
    @given(steps=st.lists(step, max_size=60))
    def sums(steps):
        ledger = UsageLedger()
        counters = [UsageCounter(1.0, StableWallClock(lambda: 0.0, lambda: 0.0)) for _ in range(3)]
        senders = [UsageSender(counters[at], ledger, f"gateway-{at}") for at in range(3)]
        begun, sent, settled = [{}, {}, {}], {}, {}
        for what, number, detail in steps:
            if what == "begin":
                counters[number].record_start("t", detail + 0.5)
                begun[number][detail] = begun[number].get(detail, 0) + 1
            elif what == "send":
                ledger.is_unavailable, ledger.loses_answers = detail == "away", detail == "lost"
                kept = sorted(begun[number])[-8:]
                begun[number] = {window: begun[number][window] for window in kept}
                senders[number].send(1.0)
                if detail != "away":
                    sent.update({(number, w): n for w, n in begun[number].items()})
                ledger.is_unavailable = ledger.loses_answers = False
            elif what == "settle":
                if number not in settled and number <= max(settled, default=0) - 24:
                    continue
                reply = ledger.submit("", SettleUsage(number), 1.0).unwrap()
                wanted = sum(n for (_, window), n in sent.items() if window == number)
                if number not in settled:
                    settled[number] = {"t": wanted} if wanted else {}
                if number > max(settled) - 24:
                    assert reply.counts == settled[number], (reply, settled[number])
            else:
                saved, ledger.machine = ledger.machine.save(), UsageWindows()
                ledger.machine.load(saved)

    sums()


@given_step("a ledger that is unavailable for a while")
def given_unavailable(context):
    context.ledger = UsageLedger()
    context.ledger.is_unavailable = True


@then("counts are sent again until they are stored, and none is counted twice")
def then_resent(context):
    counter = UsageCounter(5.0, StableWallClock(lambda: 0.0, lambda: 0.0))
    sender = UsageSender(counter, context.ledger, "gateway")
    counter.record_start("t", 1.0)
    assert not sender.send(1.0)
    counter.record_start("t", 2.0)
    context.ledger.is_unavailable, context.ledger.loses_answers = False, True
    assert not sender.send(1.0)
    context.ledger.loses_answers = False
    assert sender.send(1.0)
    counter.record_start("t", 3.0)
    assert sender.send(1.0)
    reply = context.ledger.submit("", SettleUsage(0), 1.0).unwrap()
    assert reply == UsageSettled({"t": 3})
    late = context.ledger.submit("", AddUsage("g", (WindowCounts(0, {"t": 9}),)), 1.0).unwrap()
    assert late.too_late == (0,)
    assert context.ledger.submit("", SettleUsage(0), 1.0).unwrap().counts == {"t": 3}


@then("every report of a window has the same counts, and fencing tokens never decrease")
def then_same(context):
    step = st.one_of(
        st.tuples(st.just("count"), st.integers(0, 3)),
        st.tuples(st.just("pass"), st.sampled_from((0.3, 1.1, 5.0))),
        st.tuples(st.just("hand over"), st.integers(0, 1)),
        st.tuples(st.just("answer"), st.sampled_from(list(DutyOutcome))),
        st.tuples(st.just("ledger"), st.sampled_from(("away", "lost", "there"))),
    )

    @settings(max_examples=200)
    @given(steps=st.lists(step, max_size=60))
    def same(steps):
        clock = SimpleNamespace(now_s=1_000.0)
        ledger, platform = UsageLedger(), FakePlatform()
        leases = [FakeLease(1), FakeLease(0)]
        reporters = [
            make_reporter(ledger, lease, platform, lambda: clock.now_s, f"node-{at}")
            for at, lease in enumerate(leases)
        ]
        fence = 1
        for what, value in steps:
            if what == "count":
                window = int(clock.now_s // 5)
                command = AddUsage(f"gateway-{value}", (WindowCounts(window, {"t": fence}),))
                ledger.submit("", command, 1.0)
            elif what == "pass":
                clock.now_s += value
            elif what == "hand over":
                fence += 1
                leases[value].fence, leases[1 - value].fence = fence, 0
            elif what == "answer":
                platform.answers.append(value)
            else:
                ledger.is_unavailable, ledger.loses_answers = value == "away", value == "lost"
            for each in reporters:
                each.step()
        first = {}
        for report in platform.taken:
            assert first.setdefault(report.window, report.counts) == report.counts
        fences = [report.fencing_token for report in platform.taken]
        assert fences == sorted(fences)

    same()


@given_step("a reporter that holds the lease")
def given_reporter(context):
    context.now_s = 1_000.0
    context.platform, context.lines = FakePlatform(), []
    context.reporter = make_reporter(
        UsageLedger(), FakeLease(), context.platform, lambda: context.now_s
    )

    def emit(event, **fields):
        context.lines.append((event.name, fields))

    original, reporter_module.emit = reporter_module.emit, emit
    context.cleanup.callback(setattr, reporter_module, "emit", original)


def let_pass(context, seconds):
    for _ in range(round(seconds / 0.2)):
        context.now_s += 0.2
        before = len(context.platform.taken)
        context.reporter.step()
        for report in context.platform.taken[before:]:
            end_s = (report.window + 1) * SETTINGS.window_s
            assert end_s < context.now_s < end_s + SETTINGS.late_s
    return [report.window for report in context.platform.taken]


@when("windows end one after the other")
def when_windows(context):
    let_pass(context, 30.0)


@then("each is reported once, in order, before it is due")
def then_each(context):
    windows = [report.window for report in context.platform.taken]
    assert windows == list(range(windows[0], windows[0] + len(windows)))
    assert len(windows) >= 6
    assert context.platform.calls == len(windows)


@when("the platform takes no reports for a while")
def when_no_reports(context):
    context.before = len(context.platform.taken)
    context.platform.answers = [DutyOutcome.NOT_DONE] * 15
    let_pass(context, 15.0)


@then("the windows of that time are reported as soon as it takes reports again")
def then_caught_up(context):
    windows = [report.window for report in context.platform.taken]
    assert windows == list(range(windows[0], windows[0] + len(windows)))
    assert len(windows) == context.before + 3
    assert not any(name == "usage_missed" for name, _ in context.lines)


@when("the platform takes no reports until windows are overdue")
def when_long(context):
    context.platform.answers = [DutyOutcome.NOT_DONE] * 75
    let_pass(context, 30.0)


@then("those are skipped and logged as missed")
def then_skipped(context):
    reported = {report.window for report in context.platform.taken}
    missed = {fields["window"] for name, fields in context.lines if name == "usage_missed"}
    assert missed
    assert not missed & reported
    first = min(reported)
    assert missed | reported == set(range(first, max(reported) + 1))


@then("the stable clock ignores a jump that does not last, and adopts one that does")
def then_stable_clock(context):
    clocks = SimpleNamespace(monotonic_s=0.0, jump_s=0.0)
    wall_clock = StableWallClock(
        lambda: 100.0 + clocks.monotonic_s + clocks.jump_s, lambda: clocks.monotonic_s
    )

    def after(seconds, jump_s):
        clocks.jump_s = jump_s
        for _ in range(round(seconds / 0.5)):
            clocks.monotonic_s += 0.5
            found_s = wall_clock.now_s()
        return round(found_s - clocks.monotonic_s, 6)

    assert after(10.0, 0.0) == 100.0
    assert after(6.0, 3.0) == 100.0
    assert after(5.0, 0.0) == 100.0
    assert after(6.0, -2.0) == 100.0
    assert after(5.0, 0.01) == 100.01
    assert after(JUMP_CONFIRMATION_S + 1.0, 2.0) == 102.0


@given_step("a platform that takes usage reports")
def given_platform(context):
    context.seen, context.status = [], 200

    class Handler(StandInHandler):
        def do_POST(self):  # noqa: N802 - the name is that of http.server
            body = json.loads(self.read_body())
            context.seen.append((self.path, dict(self.headers), body))
            self.answer(context.status)

    server = StandInServer(Handler, "127.0.0.1")
    context.cleanup.callback(server.close)
    context.duties = PlatformDuties(server.address)


@then("a report has its window, counts, holder and fencing token, and all statuses are understood")
def then_wire(context):
    report = UsageReport(7, {"dealers": 3}, "store-1", 12)
    assert context.duties.report_usage(report, 1.0) is DutyOutcome.DONE
    path, headers, body = context.seen[0]
    assert (path, body) == ("/usage", {"windowId": 7, "counts": {"dealers": 3}})
    assert headers["X-Bellweir-Duty-Holder"] == "store-1"
    assert headers["X-Bellweir-Fencing-Token"] == "12"
    wanted = {429: DutyOutcome.NOT_DONE, 503: DutyOutcome.NOT_DONE, 412: DutyOutcome.FENCED}
    wanted |= {400: DutyOutcome.INVALID, 500: DutyOutcome.UNKNOWN}
    for context.status, answer in wanted.items():
        assert context.duties.report_usage(report, 1.0) is answer
    assert PlatformDuties("127.0.0.1:1").report_usage(report, 0.3) is DutyOutcome.NOT_DONE


@then("usage of the next 30 windows is settled as it was counted")
def then_still_counted(context):
    machine = context.ledger.machine
    current = context.window
    for window in range(current - 1, current + 30):
        reply = machine.apply(AddUsage("g/1", (WindowCounts(window, {"dealers": window}),)))
        assert not reply.too_late, f"counts of window {window} are refused"
        assert machine.apply(SettleUsage(window)).counts == {"dealers": window}


@given_step("usage of {count:d} windows that was reported")
def given_reported(context, count):
    context.ledger, context.platform = UsageLedger(), FakePlatform()
    context.now_s = 1_000_000.0
    context.window = int(context.now_s // SETTINGS.window_s)
    for window in range(context.window - count, context.window - 1):
        context.ledger.machine.apply(AddUsage("g/1", (WindowCounts(window, {"dealers": window}),)))
        counts = context.ledger.machine.apply(SettleUsage(window)).counts
        context.platform.taken.append(UsageReport(window, counts, "first", 1))


@when("a holder starts whose time of day is {ahead:d} s ahead, and reports for 10 s")
def when_holder_off(context, ahead):
    clock = SimpleNamespace(now_s=context.now_s + ahead)
    for _ in range(10):
        make_reporter(
            context.ledger, FakeLease(2), context.platform, lambda: clock.now_s, "second"
        ).step()
        clock.now_s += 1.0


@then("no window was reported with other counts than before")
def then_same_counts(context):
    first = {}
    for report in context.platform.taken:
        assert first.setdefault(report.window, report.counts) == report.counts, report
