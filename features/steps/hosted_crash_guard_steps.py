"""What counts as the end of a worker under a request, who knows of it, and what follows."""

import random
import threading
import time
from types import SimpleNamespace
from typing import NamedTuple

import hypothesis.strategies as st
import msgspec
from behave import given, then, when
from features.support.hosted_gateway import HOST, GatewayUnderTest
from features.support.hosted_jobs import make_job, make_leader
from features.support.waiting import wait_until
from hypothesis import given as drawn
from hypothesis import settings
from returns.result import Failure, Success

from bellweir.hosted.batches.state import JOBS_KEY, AcceptJob
from bellweir.hosted.crashes.exchange import ROUND_S, CrashExchange
from bellweir.hosted.crashes.fingerprint import fingerprint
from bellweir.hosted.crashes.guard import MAX_DELAY_S, SharedCrashGuard
from bellweir.hosted.crashes.interface import RunEnd
from bellweir.hosted.crashes.suspect import HOLD_S, MAX_ENDS, MAX_TRIALS
from bellweir.hosted.crashes.table import MAX_REQUESTS, CrashTable
from bellweir.hosted.crashes.worker_ends import ProbeResult
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import Listing, StoredRecord
from bellweir.hosted.serving.next_attempt import NextAttempt
from bellweir.hosted.views.workers import WorkersView
from bellweir.membership.interface import Member, MemberState
from bellweir.wire.interface import Sender, WireError, WireErrorKind
from bellweir_rehearsal.hosted.worker import WorkerStandIn

REQUEST = fingerprint("POST", "h", "/crash", "t", b"body")
HELD_ENDS = MAX_ENDS + MAX_TRIALS
"""Ends after which a request has no trial left."""
KB = 1024


class Sent(NamedTuple):
    """A request as the guard sees it."""

    fingerprint: bytes
    request_id: str = "r-1"
    is_owed: bool = False


def digest(name):
    return fingerprint("POST", "h", f"/{name}", "t", b"")


# Merging


@then("records in any order, doubled and late, lead all nodes to the same counts")
def then_merged(context):
    ends = st.lists(st.integers(0, 5), min_size=1, max_size=8)

    @settings(max_examples=150)
    @drawn(reports=st.lists(ends, min_size=1, max_size=4), order=st.randoms(use_true_random=False))
    def merged(reports, order):
        clock = SimpleNamespace(now_s=100.0)
        tables = [CrashTable(now_s=lambda: clock.now_s) for _ in reports]
        for table, workers in zip(tables, reports, strict=True):
            for worker in workers:
                clock.now_s += 0.1
                table.add_end(REQUEST, "app", Incarnation(f"i-{worker}"))
        told = [record for table in tables for record in table.records()] * 2
        order.shuffle(told)
        for table in tables:
            for record in told:
                clock.now_s += 0.01
                table.receive(record)
        distinct = {worker for workers in reports for worker in workers}
        assert {table.ends(REQUEST) for table in tables} == {len(distinct)}

    merged()


# Requests beside a crashing one


class Service:
    """Workers that end under one request, and gateways that share what they know at once."""

    def __init__(self, seed, workers=4, gateways=2):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.table = CrashTable(now_s=lambda: self.now_s)
        view = WorkersView()
        self.guards = [
            SharedCrashGuard(
                self.table,
                view,
                lambda: True,
                probe_address=self.probe,
                now_s=lambda: self.now_s,
            )
            for _ in range(gateways)
        ]
        self.born = dict.fromkeys(range(workers), 1)
        self.running = {number: [] for number in range(workers)}
        self.down = set()
        self.unique = 0

    def probe(self, address):
        return ProbeResult.REFUSED if int(address) in self.down else ProbeResult.ACCEPTED

    def worker(self, number):
        entry = SimpleNamespace(service="app")
        incarnation = Incarnation(f"i-{number}", self.born[number])
        return SimpleNamespace(
            instance=f"i-{number}", incarnation=incarnation, address=str(number), entry=entry
        )

    def send(self, request):
        """Start a run; False if it is refused or no worker may take it."""
        guard = self.rng.choice(self.guards)
        if guard.quarantine_left_s(Sent(request)) > 0:
            return False
        permitted = guard.permitted(Sent(request), [self.worker(number) for number in self.running])
        if not permitted:
            return False
        worker = self.rng.choice(list(permitted))
        if not guard.begin_run(Sent(request), worker):
            return False
        self.running[int(worker.address)].append((guard, request, worker))
        return True

    def end(self, number):
        """End all that a worker runs: by its end if it runs the crashing request."""
        runs, self.running[number] = self.running[number], []
        if any(request == REQUEST for _, request, _ in runs):
            self.down.add(number)
            for guard, request, worker in runs:
                guard.record_end(Sent(request), worker, RunEnd.BROKEN)
            self.down.discard(number)
            self.born[number] += 1
        else:
            for guard, request, worker in runs:
                guard.record_end(Sent(request), worker, RunEnd.SURVIVED)

    def play(self, rounds=60):
        """Send popular requests, unique ones and the crashing one."""
        popular = [digest(f"popular-{number}") for number in range(3)]
        for _ in range(rounds):
            self.now_s += 0.1
            for request in (REQUEST, *popular):
                if self.rng.random() < 0.5:
                    self.send(request)
            self.unique += 1
            self.send(digest(f"unique-{self.unique}"))
            self.end(self.rng.choice(list(self.running)))
        return popular


@then("over {count:d} drawn courses the crashing request is quarantined after 3 to 6 ends")
def then_quarantined(context, count):
    context.courses = []
    for seed in range(count):
        service = Service(seed)
        service.play()
        context.courses.append(service)
        assert service.table.is_quarantined(REQUEST), seed
        ends = sum(born - 1 for born in service.born.values())
        assert MAX_ENDS <= ends <= 6, (seed, ends)


@then("no request that ran beside it is quarantined, popular ones included")
def then_innocent(context):
    for seed, service in enumerate(context.courses):
        found = [request for request, _ in service.table.quarantined() if request != REQUEST]
        assert not found, (seed, len(found))


@then("{count:d} requests with one end each do not evict a quarantined one")
def then_kept(context, count):
    clock = SimpleNamespace(now_s=100.0)
    table = CrashTable(now_s=lambda: clock.now_s)
    for number in range(MAX_ENDS):
        table.add_end(REQUEST, "app", Incarnation(f"i-{number}"))
    # Ends at the same moment would show that the workers end by themselves.
    clock.now_s += 1.0
    for number in range(count):
        table.add_end(digest(f"flood-{number}"), "app", Incarnation(f"w-{number}"))
    assert table.is_quarantined(REQUEST)
    assert len(table.records()) <= MAX_REQUESTS


# Ends of workers


class WorkerBefore:
    """A view with one worker, and a guard that looks at it."""

    def __init__(self):
        self.view = WorkersView()
        self.is_current = True
        self.probed = ProbeResult.ACCEPTED
        self.show(state="ready", born=1, revision=1)
        self.worker = self.view.worker("i-1")
        self.table = CrashTable()
        self.guard = SharedCrashGuard(
            self.table, self.view, lambda: self.is_current, probe_address=lambda _: self.probed
        )

    def show(self, state, born, revision):
        entry = {"service": "app", "address": "127.0.0.1:1", "zone": "a", "slots": 4}
        entry |= {"state": state, "born": born}
        spec = msgspec.json.decode(msgspec.json.encode(entry))
        record = StoredRecord("servers", "i-1", revision, spec)
        self.view.apply_listing(Listing(revision, (record,)))

    def hide(self):
        self.view.apply_listing(Listing(9, ()))


@when("a run breaks off and then {sign}")
def when_sign(context, sign):
    before = context.before = WorkerBefore()
    if sign == "nobody listens at the worker's address":
        before.probed = ProbeResult.REFUSED
    before.guard.record_end(Sent(REQUEST), before.worker, RunEnd.BROKEN)
    if sign == "the worker's entry goes":
        before.hide()
    elif sign == "the worker starts again under its id":
        before.show(state="ready", born=2, revision=2)
    elif sign == "the worker drains and goes":
        before.show(state="draining", born=1, revision=2)
        before.guard.resolve()
        before.hide()
    elif sign == "the entry goes while the store is away":
        before.is_current = False
        before.hide()
    for _ in range(3):
        before.guard.resolve()


@then("the end counts {count:d} times")
def then_counts(context, count):
    assert context.before.table.ends(REQUEST) == count


FAULTS = {
    "an answer that is lost": ("lose_answer", 1),
    "a refusal": ("refuse", 1),
    "a failure of the worker": ("fail", 1),
    "a time-out": ("delay_s", 1.0),
    "an answer cut in its middle": ("cut_answers", 1),
}


@when("a request at a gateway meets {fault}")
def when_fault(context, fault):
    worker = WorkerStandIn("i-1")
    context.cleanup.callback(worker.close)
    name, value = FAULTS[fault]
    setattr(worker.faults, name, value)
    context.gateway = GatewayUnderTest([worker])
    context.cleanup.callback(context.gateway.close)
    _guard(context)
    context.gateway.send("/short/x" if fault == "a time-out" else "/single/x")
    context.guard.resolve()


def _guard(context):
    gateway = context.gateway
    context.crashes = CrashTable()
    context.guard = SharedCrashGuard(context.crashes, gateway.workers, lambda: True)
    gateway.forwarder.crashes = gateway.streams._crashes = context.guard
    gateway.forwarder.next_attempt = NextAttempt(gateway.loads, context.guard)


@then("no end counts")
def then_no_end(context):
    assert context.crashes.is_empty, context.crashes.records()


# The exchange


class Network:
    """Nodes that exchange records; a message arrives when `deliver` is called."""

    def __init__(self, count, zones):
        self.now_s = 1_000.0
        self.members = {}
        self.nodes = {}
        self.cut = set()
        self.waiting = []
        self.sent_bytes = dict.fromkeys(map(str, range(count)), 0)
        self.sent = dict.fromkeys(map(str, range(count)), 0)
        for number in range(count):
            self.add(str(number), f"zone-{number % zones}", gateway=number % 10 != 0)

    def add(self, name, zone, *, gateway=True):
        address = "h:1" if gateway else ""
        self.members[name] = Member(name, name, address, zone, "r", False, MemberState.ALIVE, 1)
        self.nodes[name] = Node(name, self)

    def post(self, sender, address, message):
        size = len(msgspec.msgpack.encode(message))
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + size
        self.sent[sender] = self.sent.get(sender, 0) + 1
        if sender not in self.cut and address not in self.cut:
            self.waiting.append((sender, address, message))

    def deliver(self):
        """Deliver messages, and what they lead to, until nothing is under way."""
        while self.waiting:
            waiting, self.waiting = self.waiting, []
            for sender, address, message in waiting:
                node = self.nodes.get(address)
                if node is not None:
                    node.handlers[type(message)](Sender(sender, sender), message)
            for node in self.nodes.values():
                node.exchange.send_news()

    def run(self, seconds):
        """Let time pass, with a round of each node a second."""
        for _ in range(round(seconds / ROUND_S)):
            self.now_s += ROUND_S
            for node in list(self.nodes.values()):
                node.exchange._note_stall()
                if self.now_s < node.exchange._ask_until_s:
                    node.exchange.ask()
                node.exchange._last_round_s = self.now_s
                node.exchange.repeat()
            self.deliver()


class Node:
    def __init__(self, name, network):
        self.name, self.network = name, network
        self.handlers = {}
        self.table = CrashTable(now_s=lambda: network.now_s)
        self.exchange = CrashExchange(self, self, self.table, lambda: network.now_s)

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, address, message):
        self.network.post(self.name, address, message)
        return True

    def knows(self, address, message_type):
        return True

    def request(self, address, message, timeout_s):
        network = self.network
        if address in network.cut or self.name in network.cut or address not in network.nodes:
            return Failure(WireError(WireErrorKind.NO_ANSWER, "cut off"))
        handler = network.nodes[address].handlers[type(message)]
        return Success(handler(Sender(self.name, self.name), message))

    def self_member(self):
        return self.network.members[self.name]

    def members(self):
        return tuple(self.network.members.values())

    def crash(self, count, request=REQUEST):
        for number in range(count):
            self.table.add_end(request, "app", Incarnation(f"i-{number}"))
            self.exchange.announce(request)
            self.exchange.send_news()
            self.network.deliver()


@then("each of {count:d} nodes in {zones:d} zones knows of a quarantine once messages have passed")
def then_all_know(context, count, zones):
    network = context.network = Network(count, zones)
    network.run(11)
    network.cut = {"7"}
    for name in network.sent:
        network.sent[name] = 0
    network.nodes["3"].crash(MAX_ENDS)
    unknowing = [n for n, node in network.nodes.items() if not node.table.is_quarantined(REQUEST)]
    assert unknowing == ["7"], unknowing


@then("a node sends {most:d} messages at most for each end")
def then_messages(context, most):
    largest = max(context.network.sent.values())
    assert largest <= most * MAX_ENDS, largest


@then("a node that was cut off, one that starts and one that was halted know within {seconds:d} s")
def then_late_ones(context, seconds):
    network = context.network
    network.cut = set()
    network.add("late", "zone-2")
    halted = network.nodes["9"]
    halted.table._suspects.clear()
    halted.exchange._last_round_s = network.now_s - 30.0
    network.run(seconds)
    for name in ("7", "late", "9"):
        assert network.nodes[name].table.is_quarantined(REQUEST), name


# Guards against a node that starts and is asked before it has learnt anything itself.
@then("nodes that start one right after another know before they serve")
def then_starters(context):
    network = context.network
    names = [f"start-{number}" for number in range(4)]
    for name in names:
        network.add(name, "zone-2")
    for name in reversed(names):
        network.nodes[name].exchange.learn()
        assert network.nodes[name].table.is_quarantined(REQUEST), name
    for name in names:
        del network.nodes[name], network.members[name]


@then("a node that starts without anyone to ask does not wait")
def then_alone(context):
    network = Network(1, 1)
    (node,) = network.nodes.values()
    node.exchange.learn()


@then("a node sends {most:d} KB a second at most while {count:d} requests are suspected")
def then_bytes(context, most, count):
    network = context.network
    for number in range(count):
        network.nodes["3"].table.add_end(digest(f"s-{number}"), "app", Incarnation("i-9"))
    network.run(20)
    for name in network.sent_bytes:
        network.sent_bytes[name] = 0
    network.run(10)
    largest = max(network.sent_bytes.values()) / 10
    assert largest <= most * KB, largest


@then("nothing is sent while no request is suspected")
def then_silent(context):
    network = Network(20, 2)
    network.run(30)
    assert not any(network.sent.values()), network.sent


# The end of a quarantine


@then("it ends ten minutes after the last end, and one more end renews it at once")
def then_expires(context):
    clock = SimpleNamespace(now_s=0.0)
    table = CrashTable(now_s=lambda: clock.now_s)
    for number in range(MAX_ENDS):
        clock.now_s += 1.0
        table.add_end(REQUEST, "app", Incarnation(f"i-{number}"))
    assert HOLD_S == 600.0
    clock.now_s += HOLD_S - 1.0
    assert table.is_quarantined(REQUEST)
    clock.now_s += 2.0
    assert not table.is_quarantined(REQUEST)
    table.add_end(REQUEST, "app", Incarnation("i-9"))
    assert table.is_quarantined(REQUEST)


@then("a run that a worker survives ends it at all nodes")
def then_acquitted(context):
    clock = SimpleNamespace(now_s=0.0)
    one, two = (CrashTable(now_s=lambda: clock.now_s) for _ in range(2))
    for number in range(MAX_ENDS):
        one.add_end(REQUEST, "app", Incarnation(f"i-{number}"))
    two.receive(*one.records())
    assert two.is_quarantined(REQUEST)
    clock.now_s += 5.0
    assert one.acquit(REQUEST)
    assert two.receive(*one.records())
    assert not one.is_quarantined(REQUEST)
    assert not two.is_quarantined(REQUEST)


@then("an operator can lift it, and only that one")
def then_lifted(context):
    table, other = CrashTable(), digest("other")
    for number in range(HELD_ENDS):
        table.add_end(REQUEST, "app", Incarnation(f"i-{number}"))
        table.add_end(other, "app", Incarnation(f"j-{number}"))
    table.lift([REQUEST])
    assert not table.is_quarantined(REQUEST)
    assert table.is_quarantined(other)
    guard = SharedCrashGuard(table, WorkersView(), lambda: True)
    workers = [SimpleNamespace(incarnation=Incarnation(f"w-{number}")) for number in range(3)]
    assert guard.permitted(Sent(REQUEST), workers) == workers
    assert guard.may_send_again(Sent(REQUEST))
    assert not guard.permitted(Sent(other), workers)


# Fingerprints


@then("requests that differ in method, host, path, query, tenant or body are other requests")
def then_other(context):
    given_parts = ("POST", "h", "/a?b=1", "t", b"body")
    others = ("GET", "g", "/a?b=2", "u", b"bode")
    for position, other in enumerate(others):
        changed = [*given_parts]
        changed[position] = other
        assert fingerprint(*given_parts) != fingerprint(*changed), position


@then("parts that join to the same bytes are other requests")
def then_not_joined(context):
    text = st.text(max_size=3)

    @settings(max_examples=200)
    @drawn(one=st.tuples(text, text, text), two=st.tuples(text, text, text))
    def distinct(one, two):
        prints = [fingerprint("POST", h.lower(), p, t, b"") for h, p, t in (one, two)]
        same = (one[0].lower(), *one[1:]) == (two[0].lower(), *two[1:])
        assert (prints[0] == prints[1]) is same

    distinct()


# Streams and items


@when("a stream is quarantined at a gateway")
def when_stream(context):
    context.worker = WorkerStandIn("i-1", model="m")
    context.cleanup.callback(context.worker.close)
    context.gateway = GatewayUnderTest([context.worker])
    context.cleanup.callback(context.gateway.close)
    _guard(context)
    assert context.gateway.send("/resumable/x").status == 200
    context.runs = sum(context.worker.record.ran.values())
    request = fingerprint("POST", HOST, "/resumable/x", "", b"body")
    for number in range(HELD_ENDS):
        context.crashes.add_end(request, "app", Incarnation(f"gone-{number}"))


@then("it gets 503 with the time left, and reaches no worker")
def then_stream_refused(context):
    answer = context.gateway.send("/resumable/x")
    assert answer.status == 503, answer.status
    assert HOLD_S - 30 < float(answer.headers["Retry-After"]) <= HOLD_S
    assert sum(context.worker.record.ran.values()) == context.runs
    assert context.gateway.send("/resumable/y").status == 200


@when("one of {count:d} items of a step is quarantined")
def when_item(context, count):
    context.crashes = CrashTable()
    guard = SharedCrashGuard(context.crashes, WorkersView(), lambda: True)
    context.batches = make_leader(context, crashes=guard)
    context.job = make_job("job-1", count, 2)
    item = context.bad = context.job.items[2]
    body = item.id.encode() + b"\n" + item.body
    request = fingerprint("POST", context.job.host, item.path, context.job.tenant, body)
    for number in range(HELD_ENDS):
        context.crashes.add_end(request, "llm", Incarnation(f"gone-{number}"))
    context.batches.ledger.submit(JOBS_KEY, AcceptJob(context.job), 1.0)


@then("the other items are listed and it reaches no worker")
def then_others_listed(context):
    state = context.batches.ledger.machine.jobs["job-1"]
    others = {item.id for item in context.job.items} - {context.bad.id}
    wait_until(lambda: set(state.recorded_ids) == others, "the other items")
    ran = sum(worker.record.ran[context.bad.id] for worker in context.batches.models)
    assert ran == 0, ran


# Trials of a service


@given("{count:d} gateways that know of a request with {ends:d} ends")
def given_gateways(context, count, ends):
    network = context.network = Network(count + 1, 2)
    network.run(11)
    network.nodes["1"].crash(ends)
    network.run(5)


def _gateways(network):
    return [name for name, member in network.members.items() if member.gateway_address]


def _granting(network):
    exchanges = {name: network.nodes[name].exchange for name in _gateways(network)}
    (found,) = [name for name, one in exchanges.items() if not one._granting_peers("app")]
    return found


def _ask_for_trials(network, names):
    """Have gateways ask; return the seconds to wait, by name."""
    waits = {}
    for name in names:
        worker = Incarnation(f"trial-{name}", round(network.now_s))
        waits[name] = network.nodes[name].exchange.begin_trial(REQUEST, "app", worker)
    return waits


@when("all gateways ask for a trial at once")
def when_ask(context):
    context.waits = _ask_for_trials(context.network, _gateways(context.network))


@when("{seconds:d} s have passed and all gateways ask for a trial at once")
def when_ask_late(context, seconds):
    context.network.run(seconds)
    when_ask(context)


@then("one trial is granted")
def then_one_granted(context):
    granted = [name for name, wait_s in context.waits.items() if wait_s == 0]
    assert len(granted) == 1, context.waits
    assert all(0 < wait_s <= 3 for wait_s in context.waits.values() if wait_s), context.waits


@then("{count:d} are granted in all, though the granting gateway leaves after each")
def then_granted_in_all(context, count):
    network, granted = context.network, 0
    for _ in range(2 * count):
        network.deliver()
        (tried,) = [name for name, wait_s in context.waits.items() if wait_s == 0] or [None]
        leaving = _granting(network)
        if tried is not None:
            granted += 1
            _end_trial(network, tried)
            network.members.pop(leaving)
            network.nodes.pop(leaving)
        network.run(4)
        context.waits = _ask_for_trials(network, _gateways(network))
    assert granted == count, granted


def _end_trial(network, name):
    """The worker of a gateway's trial ends, and all nodes are told."""
    node = network.nodes[name]
    trials = node.table._suspects[REQUEST].trials_s
    node.table.add_end(REQUEST, "app", max(trials, key=trials.__getitem__))
    node.exchange.announce(REQUEST)
    node.exchange.send_news()
    network.deliver()


@then("every gateway is told to wait for more than {seconds:d} s")
def then_all_wait(context, seconds):
    assert all(wait_s > seconds for wait_s in context.waits.values()), context.waits


@when("the granting gateway is cut off and all others ask for a trial at once")
def when_granting_cut(context):
    network = context.network
    network.cut = {_granting(network)}
    others = [name for name in _gateways(network) if name not in network.cut]
    context.waits = _ask_for_trials(network, others)


@then("one trial is granted, by the next gateway by rank")
def then_granted_by_next(context):
    then_one_granted(context)
    network = context.network
    (cut,) = network.cut
    network.members.pop(cut)
    tried = [name for name in _gateways(network) if network.nodes[name].table.tried_at(REQUEST)]
    (asking,) = [name for name, wait_s in context.waits.items() if wait_s == 0]
    assert set(tried) == {asking, _granting(network)}, tried


# Requests at a gateway

SLOW_S = 0.3
DOWN_S = 0.3


@given("a gateway with a guard and {count:d} slow workers")
def given_guarded(context, count):
    context.workers = [WorkerStandIn(f"i-{number}") for number in range(count)]
    for worker in context.workers:
        worker.faults.delay_s = SLOW_S
        context.cleanup.callback(worker.close)
    context.gateway = GatewayUnderTest(context.workers)
    context.cleanup.callback(context.gateway.close)
    _guard(context)


def _show(context):
    entries = {worker.instance: worker.entry("app") for worker in context.workers}
    context.gateway.show_workers(entries)


def _set_path(context, path):
    context.path = path
    if path.startswith(("/stream/", "/resumable/")):
        for worker in context.workers:
            worker.model = "m"


@when("all workers crash {count:d} times under a request to {path}")
def when_crash_under(context, count, path):
    _set_path(context, path)
    for _ in range(count):
        sending = threading.Thread(target=context.gateway.send, args=(path,))
        sending.start()
        time.sleep(SLOW_S / 2)
        for worker in context.workers:
            worker.crash()
        time.sleep(DOWN_S / 2)
        context.guard.look_beside()
        time.sleep(DOWN_S / 2)
        for worker in context.workers:
            worker.start_again()
        _show(context)
        sending.join(10.0)
    digest_of = fingerprint("POST", HOST, path, "", b"body")
    assert context.crashes.ends(digest_of) >= count, context.crashes.ends(digest_of)


@then(
    "it is served within {seconds:d} s, and refused with a Retry-After of {most:d} s at most before"
)
def then_served_soon(context, seconds, most):
    until_s = time.monotonic() + seconds
    refusals = []
    while (answer := context.gateway.send(context.path)).status != 200:
        refusals.append((answer.status, answer.headers["Retry-After"]))
        assert time.monotonic() < until_s, refusals[-3:]
        time.sleep(0.1)
    assert all(float(after_s) <= most for _, after_s in refusals if after_s), refusals


@when("a request to {path} that crashes workers is sent until it is refused for minutes")
def when_crashing(context, path):
    _set_path(context, path)
    for worker in context.workers:
        worker.faults.crash_bodies = frozenset({b"bad"})
        worker.faults.back_after_s = DOWN_S
    until_s = time.monotonic() + 30.0
    while True:
        answer = context.gateway.send(path, b"bad")
        if answer.status == 503 and float(answer.headers["Retry-After"] or 0) > HOLD_S - 60:
            return
        assert time.monotonic() < until_s, (answer.status, answer.headers["Retry-After"])
        time.sleep(0.1)
        _show(context)


@then(
    "it has run {most:d} times at most, {late:d} of them later than {seconds:d} s after the third "
    "end"
)
def then_runs(context, most, late, seconds):
    runs = [run.at_s for worker in context.workers for run in worker.record.crashing_runs]
    ends = sorted(run.at_s for worker in context.workers for run in worker.record.crashes)
    assert MAX_ENDS <= len(runs) <= most, len(runs)
    assert sum(at_s > ends[MAX_ENDS - 1] + seconds for at_s in runs) <= late, (runs, ends)


@then("other requests are served")
def then_others_served(context):
    def is_served():
        _show(context)
        return context.gateway.send(context.path, b"good").status == 200

    wait_until(is_served, "another request", 5.0)
    workers = context.workers
    wait_until(lambda: all(one.down_since_s is None for one in workers), "all workers", 5.0)


@given("a guard that another gateway has told to let a request wait for {seconds:d} s")
def given_told(context, seconds):
    clock = context.clock = SimpleNamespace(now_s=100.0)
    table = context.crashes = CrashTable(now_s=lambda: clock.now_s)
    context.guard = SharedCrashGuard(
        table,
        WorkersView(),
        lambda: True,
        begin_trial=lambda _request, _service, _worker: float(seconds),
        now_s=lambda: clock.now_s,
    )
    for number in range(MAX_ENDS):
        clock.now_s += 1.0
        table.add_end(REQUEST, "app", Incarnation(f"i-{number}"))
    clock.now_s += 5.0
    context.worker = SimpleNamespace(
        instance="i-9", incarnation=Incarnation("i-9"), entry=SimpleNamespace(service="app")
    )
    assert not context.guard.begin_run(Sent(REQUEST), context.worker)
    assert 0 < context.guard.quarantine_left_s(Sent(REQUEST)) <= min(seconds, MAX_DELAY_S)


@when("an operator releases it")
def when_released(context):
    context.crashes.lift([REQUEST])


@when("another gateway tells that it was acquitted")
def when_told_acquitted(context):
    other = CrashTable(now_s=lambda: context.clock.now_s)
    other.receive(*context.crashes.records())
    assert other.acquit(REQUEST)
    assert context.crashes.receive(*other.records())


@then("the request may run at once")
def then_may_run(context):
    assert context.guard.quarantine_left_s(Sent(REQUEST)) == 0
    assert context.guard.begin_run(Sent(REQUEST), context.worker)
