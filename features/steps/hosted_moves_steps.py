"""Start order of items, event times of workers and moves of runs."""

import ctypes
import threading

import hypothesis.strategies as st
import msgspec
from behave import given as given_step
from behave import then, when
from features.support.hosted_jobs import configuration, make_job
from hypothesis import given, settings

from bellweir.hosted.batches.attempts import ItemRunner
from bellweir.hosted.batches.event_times import WorkerEventTimes
from bellweir.hosted.batches.move_planning import (
    MIN_GAIN_S,
    MOVE_COST_S,
    MoveTarget,
    RunForecast,
    plan_moves,
)
from bellweir.hosted.batches.progress import ItemProgress
from bellweir.hosted.batches.run_mover import Run, RunMover
from bellweir.hosted.batches.state import AcceptJob
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import WorkerEntry
from bellweir.hosted.serving.attempt import Cancellation, WorkerConnections
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.views.workers import Worker
from bellweir_platform.headers import HEADERS
from bellweir_rehearsal.hosted.worker import text_of

WORKERS = tuple(Incarnation(f"i-{number}") for number in range(4))


@then("a move has a free slot at another worker and either saves time or leaves a silent worker")
def then_moves(context):
    run = st.tuples(st.sampled_from(WORKERS), st.floats(0.0, 3.0), st.floats(1.0, 200.0))
    event_time = st.floats(0.01, 0.5)

    @settings(max_examples=300)
    @given(
        runs=st.lists(run, max_size=12),
        event_times=st.fixed_dictionaries(dict.fromkeys(WORKERS, event_time)),
        free_by_worker=st.dictionaries(st.sampled_from(WORKERS), st.integers(0, 3)),
    )
    def moves(runs, event_times, free_by_worker):
        forecasts = [
            RunForecast(number, worker, event_times[worker], silent_s, left)
            for number, (worker, silent_s, left) in enumerate(runs)
        ]
        targets = [
            MoveTarget(name, event_times[name], free_slots)
            for name, free_slots in free_by_worker.items()
        ]
        planned = plan_moves(forecasts, targets)
        assert len({move.forecast.key for move in planned}) == len(planned), "a run moved twice"
        for name, free_slots in free_by_worker.items():
            assert sum(move.target == name for move in planned) <= free_slots
        for move in planned:
            assert move.target != move.forecast.worker
            assert move.target in free_by_worker
            gain_s = (
                move.forecast.remaining_events
                * (move.forecast.time_per_event_s - event_times[move.target])
                - MOVE_COST_S
            )
            assert move.forecast.is_silent or gain_s >= MIN_GAIN_S
        left = {
            name: free_slots - sum(m.target == name for m in planned)
            for name, free_slots in free_by_worker.items()
        }
        stayed = {forecast.key for forecast in forecasts} - {move.forecast.key for move in planned}
        for forecast in forecasts:
            if forecast.key in stayed and forecast.is_silent:
                others = [
                    free_slots for name, free_slots in left.items() if name != forecast.worker
                ]
                assert not any(others), "a silent run stays while another worker has free slots"

    moves()


@then("a slow worker is told from a fast one within 40 events, whatever pauses both have")
def then_event_times(context):
    @settings(max_examples=100)
    @given(
        fast_s=st.floats(0.02, 0.08),
        factor=st.floats(1.3, 5.0),
        pauses=st.sets(st.integers(0, 59), max_size=2),
    )
    def event_times(fast_s, factor, pauses):
        known = WorkerEventTimes()
        fast, slow, new = Incarnation("fast"), Incarnation("slow"), Incarnation("new")
        for number in range(60):
            pause_s = 1.0 if number in pauses and number < 40 else 0.0
            known.record_interval(fast, fast_s + pause_s)
            known.record_interval(slow, fast_s * factor + pause_s)
        if not pauses:
            assert abs(known.of(fast) - fast_s) < 0.001
        assert known.of(fast) < known.of(slow)
        assert known.of(new) == known.of(fast)

    event_times()


@when("a job of {count:d} items with ever longer estimated texts is accepted")
def when_estimated(context, count):
    job = make_job("job", count, 4, minimum_version=2)
    items = tuple(
        msgspec.structs.replace(
            item, headers=(*item.headers, (HEADERS.length_hint, str(100 * (number + 1))))
        )
        for number, item in enumerate(job.items)
    )
    context.job = msgspec.structs.replace(job, items=items)
    context.leader.ledger.submit("", AcceptJob(context.job), 1.0)


@then("the {count:d} longest start before the others")
def then_longest(context, count):
    def started():
        return set().union(*(each.record.ran for each in context.leader.models))

    context.wait_until(lambda: len(started()) >= count, "the first items started")
    longest = {item.id for item in context.job.items[-count:]}
    assert started() == longest, started() ^ longest


@given_step("the first worker falls silent after {events:d} events")
def given_silent(context, events):
    for worker in context.leader.models:
        worker.event_pause_s = 0.05
    context.leader.models[0].silent_after = events


@then("texts of the silent worker resumed after event {event:d} at the other one")
def then_resumed(context, event):
    silent, other = context.leader.models
    started = set(silent.record.ran)
    assert started, "the silent worker got no runs"
    resumed = {name for name, after in other.record.resumed_after.items() if after == event}
    assert started <= resumed, started - resumed
    for name in resumed:
        assert other.record.ran[name] == 1


@given_step("the first worker emits an event every {slow:d} ms and the other one every {fast:d} ms")
def given_event_times(context, slow, fast):
    context.leader.models[0].event_pause_s = slow / 1000
    context.leader.models[1].event_pause_s = fast / 1000


@when("its results are recorded and another job of {count:d} items with long texts is accepted")
def when_long(context, count):
    jobs = context.leader.ledger.machine.jobs
    context.wait_until(lambda: len(jobs["job"].results) == 4, "the results of the first job")
    for worker in context.leader.models:
        worker.events = 60
    later = make_job("later", count, 4, minimum_version=2)
    context.leader.ledger.submit("", AcceptJob(later), 1.0)
    context.wait_until(
        lambda: len(jobs["later"].results) == count, "the results of the later job", 20.0
    )


@then("every item of the later job is complete and the slow worker finished none of them")
def then_moved_away(context):
    results = context.leader.ledger.machine.jobs["later"].results
    for result in results:
        assert result.is_complete
        assert result.full_text == text_of(result.item_id, 60)
    ended = context.leader.models[0].record.ended
    assert not [name for name in ended if name.startswith("later-")], ended


CHECK_INTERVAL_S = 0.025
FAST_EVENT_TIME_S, SLOW_EVENT_TIME_S = 0.03, 0.3
FREE_SLOTS = 4


class SimulatedRuns:
    """Runs on one worker and a `RunMover` with a simulated clock."""

    def __init__(self, count):
        self.now_s = 100.0
        attempts = ItemRunner(WorkerConnections(HEADERS), WorkerLoads("a"))
        for _ in range(40):
            attempts.event_times.record_interval(Incarnation("fast"), FAST_EVENT_TIME_S)
            attempts.event_times.record_interval(Incarnation("slow"), SLOW_EVENT_TIME_S)
        self.mover = RunMover(attempts, lambda: self.now_s)
        job = make_job("job", count, 1)
        fast, self.slow = (Worker(name, WorkerEntry("llm", "h:1")) for name in ("fast", "slow"))
        self.runs = [
            Run(
                ItemProgress(job, configuration()["routes"][0], item),
                fast,
                Cancellation(),
                self.now_s,
            )
            for item in job.items
        ]

    def read_event(self):
        """Read one event of each run."""
        for run in self.runs:
            run.progress.events += 1
            run.progress.last_event_s = self.now_s

    def check(self, after_s):
        """Advance the clock and check the runs."""
        self.now_s += after_s
        free_slots = FREE_SLOTS - len(self.moved())
        targets = [(self.slow, free_slots)] if free_slots > 0 else []
        self.mover.move_runs(self.runs, lambda _progress, _service: targets)

    def moved(self):
        """Runs that were moved."""
        return [run for run in self.runs if run.cancellation.cancelled.is_set()]


@given_step("runs on a worker with an event every 30 ms and a slower worker with free slots")
def given_runs(context):
    context.simulated = SimulatedRuns(2 * FREE_SLOTS)
    for _ in range(40):
        context.simulated.read_event()
        context.simulated.check(CHECK_INTERVAL_S)
    assert not context.simulated.moved()


# Guards against taking a submitted run whose thread has not started yet for a silent one.
@given_step("runs that were just submitted to a worker and a slower worker with free slots")
def given_submitted(context):
    context.simulated = SimulatedRuns(2 * FREE_SLOTS)


@when("this process checks the runs for 0.3 s")
def when_checked(context):
    for _ in range(12):
        context.simulated.check(CHECK_INTERVAL_S)


@when("this process stalls for 0.5 s and checks the runs before it reads their events")
def when_stalled(context):
    context.simulated.check(0.5)


@then("no run is moved")
def then_not_moved(context):
    assert not context.simulated.moved(), len(context.simulated.moved())


@when("the worker sends nothing while this process checks the runs for another 0.5 s")
def when_silent(context):
    for _ in range(20):
        context.simulated.check(CHECK_INTERVAL_S)


@when("the worker sends nothing and this process checks the runs only every 0.4 s")
def when_slow_checks(context):
    for _ in range(6):
        context.simulated.check(0.4)


@then("as many runs are moved as the slower worker has free slots")
def then_moved(context):
    moved = context.simulated.moved()
    assert len(moved) == FREE_SLOTS, len(moved)
    assert {run.progress.moved_to for run in moved} == {Incarnation("slow")}


@given_step(
    "this process stalls for {ms:d} ms when the other worker has emitted event {event:d} of a text"
)
def given_process_stall(context, ms, event):
    coordinator = context.leader.coordinator
    ended = threading.Event()
    context.cleanup.callback(ended.set)
    instance = context.leader.models[1].instance

    def is_reached():
        with coordinator._lock:
            runs = list(coordinator._running.values())
        return any(run.worker.instance == instance and run.progress.events >= event for run in runs)

    def stall():
        while not ended.is_set():
            if is_reached():
                # A call through PyDLL keeps the interpreter lock: no other thread runs meanwhile.
                ctypes.PyDLL(None).usleep(1000 * ms)
                return
            ended.wait(0.005)

    thread = threading.Thread(target=stall, name="stall")
    thread.start()
    context.cleanup.callback(thread.join)
