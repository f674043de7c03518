"""Restarted workers with unchanged ids: reads, reports, orders and connections."""

import re
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import hypothesis.strategies as st
from behave import given as given_step
from behave import then, when
from features.support.hosted_gateway import GatewayUnderTest
from features.support.hosted_jobs import make_job
from features.support.starts_world import MODEL, StartsWorld, entry_of
from features.support.worker_processes import WorkerProcess
from hypothesis import given, settings

from bellweir.hosted.batches.attempts import ItemRunner
from bellweir.hosted.batches.progress import ItemProgress
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import Listing, RecordChange, StoredRecord
from bellweir.hosted.records import Route, RouteKind
from bellweir.hosted.serving.attempt import Cancellation
from bellweir.hosted.serving.candidates import Candidates
from bellweir.hosted.serving.client_request import ClientRequest
from bellweir.hosted.serving.forwarding import Forwarder, Progress
from bellweir.hosted.serving.metrics import RequestMetrics
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.kind_state import KindState
from bellweir.hosted.views.workers import WorkersView
from bellweir.hosted.weights.controller import REPORT_TTL_S, RolloutController
from bellweir.hosted.weights.lags import VersionLags
from bellweir.hosted.weights.versions import VersionsView
from bellweir_platform.workers import PlatformWorkers
from bellweir_rehearsal.hosted.worker import WorkerStandIn, event_of, text_of

NAMES = ("i-1", "i-2")
NAME = st.sampled_from(NAMES)
CLOCKS_MS = st.sampled_from((0, 0, -500, -5_000, 7_000))
STEP_S = 0.1
ROUNDS = 200
"""Number of steps after which no more orders may be sent: 20 s of simulated time."""


class Process:
    """A process's view, updated through its `KindState`, and all incarnations that it has shown."""

    def __init__(self):
        self.workers = WorkersView()
        self.state = KindState("servers", self.workers.apply_listing, self.workers.apply_change)
        self.shown = {name: [] for name in NAMES}

    def look(self):
        """Record the shown incarnations; fail if a former one is shown again."""
        for name, shown in self.shown.items():
            worker = self.workers.worker(name)
            if worker is not None and worker.incarnation not in shown[-1:]:
                assert worker.incarnation not in shown, (name, shown, worker.incarnation)
                shown.append(worker.incarnation)


BEHIND = st.sampled_from((0, 0, 0, 1, 2, 4, 8))
"""Number of newest changes that a read does not include."""
READINGS = st.one_of(
    st.tuples(st.sampled_from(("start", "start and write")), NAME, CLOCKS_MS),
    st.tuples(st.just("write"), NAME, st.just(0)),
    st.tuples(st.just("late"), NAME, st.integers(0, 5)),
    st.tuples(st.just("lapse"), NAME, st.just(0)),
    st.tuples(st.sampled_from(("list", "watch", "peer", "copy")), NAME, BEHIND),
)


class Readings:
    """Executes writes, and reads of any age by a process and by a peer that relays to it."""

    def __init__(self, only_seen):
        """With `only_seen` an ended incarnation writes late only if the process has shown it."""
        self.world, self.process, self.peer = StartsWorld(NAMES), Process(), Process()
        self.only_seen = only_seen
        self.wrote_late = set()

    def play(self, what, name, number):
        world, process = self.world, self.process
        if what.startswith("start"):
            world.start(name, number)
        if what.endswith("write"):
            world.write(name)
        elif what == "late":
            self._write_late(name, number)
        elif what == "lapse":
            world.lapse(name)
        elif what == "list":
            process.state.apply_listing(world.listing(number), 0.0)
        elif what == "watch":
            process.state.apply_changes(world.changes(process.state.revision, number), 0.0)
        elif what == "peer":
            self.peer.state.apply_listing(world.listing(number), 0.0)
            news = self.peer.state.update_since(process.state.revision, 0.0)
            process.state.apply_update(news, 0.0)
        elif what == "copy":
            copied = {record.name: record.spec for record in world.listing(number).records}
            process.workers.apply_peer_copy(copied)

    def _write_late(self, name, number):
        """Execute the one write that an ended incarnation may have had in flight."""
        former = self.world.starts[name][:-1]
        seen = self.process.shown[name]
        choice = [one for one in former if not self.only_seen or one in seen]
        choice = [one for one in choice if one not in self.wrote_late]
        if choice:
            chosen = choice[number % len(choice)]
            self.wrote_late.add(chosen)
            self.world.put(name, entry_of(name, chosen.born_ms))


@then("in reads of any age and source no former incarnation of a worker is shown again")
def then_never_again(context):
    @settings(max_examples=400)
    @given(steps=st.lists(READINGS, min_size=8, max_size=40))
    def never_again(steps):
        readings = Readings(only_seen=True)
        for step in steps:
            readings.play(*step)
            readings.process.look()

    never_again()


@then("after any late writes a worker that keeps writing is shown with its newest incarnation")
def then_shown(context):
    @settings(max_examples=400)
    @given(steps=st.lists(READINGS, min_size=8, max_size=40))
    def shown(steps):
        readings = Readings(only_seen=False)
        for step in steps:
            readings.play(*step)
        world, process = readings.world, readings.process
        # One reading for a greater time, two for a smaller one.
        for _ in range(2):
            for name in NAMES:
                world.write(name)
            process.state.apply_changes(world.changes(process.state.revision, 0), 0.0)
            process.state.apply_listing(world.listing(0), 0.0)
        for name in NAMES:
            shown = process.workers.worker(name).incarnation
            assert shown == world.workers[name].incarnation, (steps, shown)

    shown()


def read(context, born_ms):
    context.revision += 1
    record = StoredRecord("servers", "i-1", context.revision, entry_of("i-1", born_ms))
    context.view.apply_change(RecordChange(record, deleted=False))


@given_step('a view that knows worker "i-1" as started at {born_ms:d}')
def given_view(context, born_ms):
    context.view, context.revision = WorkersView(), 0
    context.view.apply_listing(Listing(0, ()))
    read(context, born_ms)


@given_step('a view copied from a peer that knows worker "i-1" as started at {born_ms:d}')
def given_peer_copy(context, born_ms):
    context.view, context.revision = WorkersView(), 0
    when_copied(context, born_ms)


@when("an outdated copy of a peer shows it as started at {born_ms:d}")
def when_copied(context, born_ms):
    context.view.apply_peer_copy({"i-1": entry_of("i-1", born_ms)})


@when("it is read at a higher revision as started at {born_ms:d}")
def when_read(context, born_ms):
    read(context, born_ms)


@when("its entry expires")
def when_expires(context):
    context.revision += 1
    record = StoredRecord("servers", "i-1", context.revision, None)
    context.view.apply_change(RecordChange(record, deleted=True))
    assert context.view.worker("i-1") is None


@then("the view shows the start at {born_ms:d}")
def then_start(context, born_ms):
    assert context.view.worker("i-1").incarnation == Incarnation("i-1", born_ms)


@then("its restart count is {count:d}")
def then_counted(context, count):
    assert context.view.restart_count == count


class CallbackLock:
    """A lock that calls `act` once, right after its first release."""

    def __init__(self, lock, act):
        self.lock, self.act = lock, act

    def __enter__(self):
        return self.lock.__enter__()

    def __exit__(self, *failure):
        self.lock.__exit__(*failure)
        act, self.act = self.act, None
        if act is not None:
            act()


@then("a change that is applied while expired workers are dropped is kept")
def then_kept(context):
    now = [0.0]
    view = WorkersView(now_s=lambda: now[0])
    gone = StoredRecord("servers", "i-1", 1, entry_of("i-1", 5_000))
    view.apply_listing(Listing(1, (gone,)))
    view.keep_lapsed_until(2.0)
    view.apply_change(RecordChange(gone, deleted=True))
    now[0] = 3.0
    came = StoredRecord("servers", "i-2", 3, entry_of("i-2", 5_000))
    view._lock = CallbackLock(
        view._lock, lambda: view.apply_change(RecordChange(came, deleted=False))
    )
    view.drop_expired()
    assert [worker.instance for worker in view.all()] == ["i-2"]
    assert set(view.specs()) == {"i-2"}


class FixedLease:
    def remaining_s(self):
        return 10.0

    def begin_operation(self, seconds):
        return 17


class Rollouts:
    """A controller of simulated workers, with a simulated clock."""

    def __init__(self, names=NAMES):
        self.now_s = 0.0
        self.world, self.process = StartsWorld(names), Process()
        self.versions = VersionsView()
        configuration = ConfigurationView()
        engine = {"slots": 8, "models": [{"name": MODEL}]}
        services = [{"name": "llm", "engine": engine}]
        configuration.apply({"version": 1, "routes": [], "services": services}, "test")
        self.controller = RolloutController(
            FixedLease(),
            self.versions,
            self.process.workers,
            configuration,
            self.world,
            VersionLags(list),
            "node-1",
            now_s=lambda: self.now_s,
        )
        self.read(0)

    def read(self, behind):
        self.process.state.apply_listing(self.world.listing(behind), 0.0)

    def name(self, version):
        record = StoredRecord("versions", MODEL, version, {"model": MODEL, "version": version})
        self.versions.apply_listing(Listing(version, (record,)))

    def step(self):
        self.now_s += STEP_S
        self.controller.step()

    def beat(self):
        for name in self.world.workers:
            self.world.write(name)
        self.read(0)

    def held(self, name):
        return self.controller.held_version(self.process.workers.worker(name), MODEL)


ORDERS = st.one_of(
    st.tuples(st.just("start"), NAME, CLOCKS_MS),
    st.tuples(st.just("write"), NAME, st.just(0)),
    st.tuples(st.just("list"), NAME, st.integers(0, 3)),
    st.tuples(st.just("name"), NAME, st.just(0)),
    st.tuples(st.just("deliver"), NAME, st.integers(0, 3)),
    st.tuples(st.just("old reports"), NAME, st.integers(1, 3)),
    st.tuples(st.sampled_from(("late", "unanswered")), NAME, st.just(0)),
    st.tuples(st.just("step"), NAME, st.integers(1, 8)),
)


def play(rollouts, what, name, number, version):
    world = rollouts.world
    if what == "start":
        world.start(name, number)
    elif what == "write":
        world.write(name)
    elif what == "list":
        rollouts.read(number)
    elif what == "name":
        rollouts.name(version)
    elif what == "deliver":
        world.deliver(number)
    elif what == "old reports":
        world.old_reports = number
    elif what == "step":
        for _ in range(number):
            rollouts.step()
    else:
        world.loses.append(what)


@then("no version counts for an incarnation of a worker that did not hold it")
def then_own_versions(context):
    @settings(max_examples=400)
    @given(steps=st.lists(ORDERS, min_size=8, max_size=50))
    def own_versions(steps):
        rollouts, version = Rollouts(), 1
        for what, name, number in steps:
            version += what == "name"
            play(rollouts, what, name, number, version)
            for worker in rollouts.process.workers.all():
                held = rollouts.held(worker.instance)
                assert held in rollouts.world.had[worker.incarnation], (steps, worker, held)

    own_versions()


@then("finally every worker holds the newest version, whichever orders were executed late")
def then_newest(context):
    @settings(max_examples=400)
    @given(steps=st.lists(ORDERS, min_size=8, max_size=50))
    def newest(steps):
        rollouts, version = Rollouts(), 1
        for what, name, number in steps:
            version += what == "name"
            play(rollouts, what, name, number, version)
        world = rollouts.world
        world.old_reports, world.loses = 0, []
        while world.late:
            world.deliver(0)
        for _ in range(ROUNDS):
            rollouts.beat()
            rollouts.step()
        versions = {one.version for one in world.workers.values()}
        assert versions == {version}, (steps, versions, version)
        count = len(world.orders)
        for _ in range(ROUNDS):
            rollouts.beat()
            rollouts.step()
        assert len(world.orders) == count, "it orders without an end"

    newest()


@given_step("a worker whose report comes from a newer incarnation than its entry")
def given_unknown_start(context):
    context.rollouts = Rollouts(("i-1",))
    context.rollouts.world.start("i-1", 0)
    context.rollouts.world.workers["i-1"].version = 2


@when("a version that this incarnation holds is published")
def when_held(context):
    context.rollouts.name(2)
    for _ in range(30):
        context.rollouts.step()


@then("the version does not count for the incarnation of the entry, and no order is sent")
def then_not_counted(context):
    assert context.rollouts.held("i-1") == 1
    assert context.rollouts.world.orders == []
    context.rollouts.beat()
    assert context.rollouts.held("i-1") == 2


@given_step("a restarted worker that has reported version 3 and not yet rewritten its entry")
def given_reported_restart(context):
    rollouts = context.rollouts = Rollouts(("i-1",))
    world = rollouts.world
    world.loses = ["late"]
    rollouts.name(2)
    rollouts.step()
    assert len(world.late) == 1
    # The restarted worker writes an entry with version 2, then loads version 3 and reports it.
    world.start("i-1", 0)
    world.workers["i-1"].version = 2
    rollouts.beat()
    world.workers["i-1"].version = 3
    world._record_version(world.workers["i-1"])
    rollouts.name(3)
    rollouts.step()
    assert rollouts.held("i-1") == 3


@when("the order for version 2 to its former incarnation is executed")
def when_late(context):
    world = context.rollouts.world
    world.deliver(0)
    assert world.workers["i-1"].version == 2
    context.rollouts.beat()
    assert context.rollouts.held("i-1") == 3, "the report still takes precedence over the entry"


@then("it is ordered to load version 3 again once its report has expired")
def then_ordered_again(context):
    rollouts = context.rollouts
    until_s = rollouts.now_s + REPORT_TTL_S + 1.0
    while rollouts.now_s < until_s:
        rollouts.step()
    assert rollouts.world.workers["i-1"].version == 3


@given_step("a worker behind a gateway, with idle connections between them")
def given_idle_connections(context):
    context.worker = WorkerStandIn("i-1")
    context.cleanup.callback(context.worker.close)
    context.gateway = GatewayUnderTest([context.worker])
    context.cleanup.callback(context.gateway.close)
    assert context.gateway.send("/single/x").status == 200
    connections = context.gateway._connections
    context.wait_until(lambda: connections.has_idle(context.worker.address), "an idle connection")


@when("the worker restarts while its former connections stay silent, and its new entry is read")
def when_silent_restart(context):
    context.worker.go_dark()
    context.worker.start_again()
    context.gateway.show_workers({"i-1": context.worker.entry("app")})


@then("the next non-idempotent request runs once, at the new incarnation, and is answered")
def then_new_connection(context):
    answer = context.gateway.send("/single/x")
    assert answer.status == 200, (answer.status, answer.body)
    assert context.worker.record.ran[answer.request_id] == 1


EVENTS = 12


@given_step("a worker process, another worker, a gateway and a rollout controller")
def given_process(context):
    process = context.process = WorkerProcess("i-1", MODEL, context.folder / "ran")
    context.cleanup.callback(process.close)
    context.other = WorkerStandIn("i-2", model=MODEL, version=2, events=EVENTS)
    context.cleanup.callback(context.other.close)
    gateway = context.gateway = GatewayUnderTest([process, context.other])
    context.cleanup.callback(gateway.close)
    context.attempts = ItemRunner(gateway._connections, gateway.loads)
    versions, configuration = VersionsView(), ConfigurationView()
    engine = {"slots": 8, "models": [{"name": MODEL}]}
    services = [{"name": "app", "engine": engine}]
    configuration.apply({"version": 1, "routes": [], "services": services}, "test")
    record = StoredRecord("versions", MODEL, 2, {"model": MODEL, "version": 2})
    versions.apply_listing(Listing(2, (record,)))
    context.controller = RolloutController(
        FixedLease(),
        versions,
        gateway.workers,
        configuration,
        PlatformWorkers(),
        VersionLags(list),
        "node-1",
    )


def send_to_process(context, path):
    """Send a request that goes to the process first; return the future of its answer."""
    gateway = context.gateway
    other = gateway.workers.worker("i-2")
    gateway.loads.choose([other], ())
    gateway.loads.record_refusal(other.incarnation)
    count = len(context.process.ran())
    sent = context.pool.submit(gateway.send, path)
    context.wait_until(lambda: len(context.process.ran()) > count, f"{path} runs")
    return sent


@when("it is killed and restarted during a stream, a request, a text generation and an order")
def when_killed(context):
    context.pool = context.cleanup.enter_context(ThreadPoolExecutor(3))
    gateway, process = context.gateway, context.process
    worker = gateway.workers.worker("i-1")
    context.former = worker.incarnation
    context.progress = ItemProgress(
        make_job("job", 1, 1), Route(host="h", path_prefix="/"), make_job("job", 1, 1).items[0]
    )
    context.stream = send_to_process(context, "/resumable/x")
    context.single = send_to_process(context, "/single/x")
    gateway.loads.acquire(worker)
    text = context.pool.submit(
        context.attempts.run_generation, context.progress, worker, Cancellation()
    )
    context.wait_until(lambda: context.progress.events > 0, "the start of the text")

    def is_ordered():
        context.controller.step()
        load = context.controller._loads.get(context.former)
        return load is not None and load.accepted_s is not None

    context.wait_until(is_ordered, "the order to be accepted")
    process.kill_and_start()
    text.result()
    gateway.show_workers({"i-1": process.entry("app"), "i-2": context.other.entry("app")})


@then("the resumable stream is complete, and the text continues at the new incarnation")
def then_complete(context):
    stream = context.stream.result()
    told = re.sub(rb"(?m)^x-bellweir-weight-versions: \d+\n", b"", stream.body)
    wanted = b"".join(event_of(stream.request_id, each) for each in range(1, EVENTS + 1))
    assert stream.whole, (stream.status, stream.body)
    assert told == wanted, stream.body
    worker, text = context.gateway.workers.worker("i-1"), context.progress
    assert 0 < text.events < EVENTS
    context.gateway.loads.acquire(worker)
    context.attempts.run_generation(text, worker, Cancellation())
    assert "\n".join(text.pieces) == text_of(text.item.id, EVENTS)


@then("the non-idempotent request ran once and is not answered as refused")
def then_once(context):
    answer = context.single.result()
    ran = context.process.ran().count(answer.request_id)
    assert ran + context.other.record.ran[answer.request_id] == 1
    assert answer.status == 502, answer.status


@then("no state of the former incarnation applies to the new one, which gets its own order")
def then_no_former_state(context):
    loads, worker = context.gateway.loads, context.gateway.workers.worker("i-1")
    assert worker.incarnation != context.former
    assert loads._load(context.former).failures >= 3
    assert loads._load(worker.incarnation).failures == 0
    assert loads.in_flight(worker.incarnation) == 0
    assert context.controller.held_version(worker, MODEL) == 1

    def is_loaded():
        context.controller.step()
        return context.controller.held_version(worker, MODEL) == 2

    context.wait_until(is_loaded, "the new incarnation to hold the version")
    assert context.former not in context.controller._loads
    report = PlatformWorkers().report(worker.address, 5.0)
    assert (report.born_ms, report.sequence) == (worker.incarnation.born_ms, 1)


def next_worker_after_restart(kind, max_attempts):
    """Return the worker for a request that may have run at a former incarnation of it."""
    workers, loads = WorkersView(), WorkerLoads("a")
    record = StoredRecord("servers", "i-1", 2, entry_of("i-1", 9_000))
    workers.apply_listing(Listing(2, (record,)))
    watch = SimpleNamespace(begin=lambda *_: None, end=lambda _: None)
    forwarder = Forwarder(workers, loads, None, watch, RequestMetrics())
    route = Route(host="h", path_prefix="/", kind=kind, service="llm", max_attempts=max_attempts)
    now_s = time.monotonic()
    client = ClientRequest(None, route, "r", now_s, now_s + 60.0, b"", [])
    former = Incarnation("i-1", 5_000)
    progress = Progress(ran_at={former}, tried={former}, sends=1)
    return forwarder._next_worker(client, Candidates(["llm"], workers.ready), progress)


@then("it is sent to the new incarnation only if it is idempotent")
def then_not_asked(context):
    assert next_worker_after_restart(RouteKind.NON_IDEMPOTENT, 3) is None
    found = next_worker_after_restart(RouteKind.IDEMPOTENT, 3)
    assert found.incarnation == Incarnation("i-1", 9_000)


@then("both incarnations count towards its maximum number of attempts")
def then_both_count(context):
    assert next_worker_after_restart(RouteKind.IDEMPOTENT, 1) is None
    assert next_worker_after_restart(RouteKind.IDEMPOTENT, 2) is not None
