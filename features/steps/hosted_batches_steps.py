"""Batch jobs: the state machine against an oracle, the coordinator with stand-in workers."""

import base64
import http.client
import json
import random
import threading
from collections import Counter
from unittest import mock

import hypothesis.strategies as st
import msgspec
from behave import given as given_step
from behave import then, when
from features.support.hosted_jobs import EVENTS, HOST, MODEL, make_job, make_leader
from features.support.lost_leaders import History
from hypothesis import given, settings
from returns.result import Failure, Success

from bellweir.hosted.batches.api import split_items
from bellweir.hosted.batches.checkpoint_marks import events_of
from bellweir.hosted.batches.committer import Committer
from bellweir.hosted.batches.failed_requests import ItemFailure
from bellweir.hosted.batches.formats import decode_job
from bellweir.hosted.batches.progress import EventsMissingError, ItemProgress
from bellweir.hosted.batches.refusals import MAX_WEIGHT_LOAD_S, REFUSAL_BACKOFF_S, RefusalBackoff
from bellweir.hosted.batches.state import (
    AcceptJob,
    BatchJobs,
    EndJob,
    ItemResult,
    KeepParts,
    ReadItem,
    ReadResults,
    RecordResults,
    StageItems,
    TextCheckpoint,
)
from bellweir.hosted.batches.text_compression import compress_text
from bellweir.hosted.batches.worker_quarantine import (
    MAX_BACKOFF_S,
    WorkerQuarantine,
    max_server_errors,
)
from bellweir.hosted.event_stream import EventSplitter, StreamEvent
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import Route, RouteKind
from bellweir.http_server.http import BadRequestError
from bellweir.ledger.interface import LedgerError, LedgerErrorKind
from bellweir.ledger.machines import Codec
from bellweir_platform.headers import HEADERS
from bellweir_rehearsal.hosted.worker import event_of, stamp_of, text_of

ROUTE = Route(host=HOST, path_prefix="/draft/", kind=RouteKind.ROLLOUT, max_attempts=3)

HISTORIES = 2_000
"""Random courses of an item whose leader is lost."""


@then("a batch job's positions never change, and each item has one position")
def then_positions(context):
    results = st.lists(st.tuples(st.integers(0, 6), st.integers(0, 99)), min_size=1, max_size=4)
    command = st.one_of(
        st.tuples(st.just("accept"), st.integers(0, 2), st.none()),
        st.tuples(st.just("record"), st.integers(0, 2), results),
        st.tuples(st.just("end"), st.integers(0, 2), st.none()),
        st.tuples(st.just("snapshot"), st.none(), st.none()),
    )

    @settings(max_examples=150)
    @given(commands=st.lists(command, max_size=40))
    def positions(commands):
        machine, shown = BatchJobs(), {}
        for what, number, found in commands:
            job_id = f"job-{number}"
            if what == "accept":
                machine.apply(AcceptJob(make_job(job_id, 5, 2)))
            elif what == "record":
                made = tuple(ItemResult(f"{job_id}-{at}", True, f"text {t}") for at, t in found)
                machine.apply(RecordResults(job_id, made))
            elif what == "end":
                machine.apply(EndJob(job_id, 1.0))
            else:
                saved, machine = machine.save(), BatchJobs()
                machine.load(saved)
            check_shown(machine, shown)

    positions()


def check_shown(machine, shown):
    for job_id in machine.jobs:
        page = machine.answer(ReadResults(job_id, 0, 1 << 20))
        before = shown.get(job_id, ())
        assert page.results[: len(before)] == before, "a position changed"
        shown[job_id] = page.results
        ids = [result.item_id for result in page.results]
        assert len(set(ids)) == len(ids), "an item stands at two positions"
        assert set(ids) <= set(machine.jobs[job_id].items)
        assert page.total == 5
        for after in range(len(ids)):
            part = machine.answer(ReadResults(job_id, after, 1))
            assert part.results == page.results[after : after + 1]
        for item_id in machine.jobs[job_id].items:
            body = machine.answer(ReadItem(job_id, item_id)).body
            wanted = item_id not in ids and machine.jobs[job_id].is_open
            assert (body == b"prompt") == wanted
    assert shown.keys() <= machine.jobs.keys(), "a job is gone"


@then("an event stream split at any bytes yields the same events")
def then_events(context):
    @settings(max_examples=150)
    @given(
        count=st.integers(0, 6),
        end=st.sampled_from((b"\n", b"\r\n")),
        cuts=st.lists(st.floats(0, 1), max_size=8),
        dropped=st.integers(0, 12),
    )
    def events(count, end, cuts, dropped):
        raw = b"".join(event_of("r", number) for number in range(1, count + 1))
        if count:
            raw = b"x-bellweir-weight-versions: 7\n" + raw
        raw = raw.replace(b"\n", end)
        whole = EventSplitter(HEADERS.weight_versions).feed(raw)
        assert b"".join(event.raw for event in whole) == raw
        assert [event.event_id for event in whole] == list(range(1, count + 1))
        assert [event.weight_version for event in whole[:1]] == [7][:count]
        kept = raw[: len(raw) - dropped] if dropped else raw
        splitter, found, start = EventSplitter(HEADERS.weight_versions), [], 0
        for cut in [*sorted(int(each * len(kept)) for each in cuts), len(kept)]:
            found += splitter.feed(kept[start:cut])
            start = cut
        assert found == whole[: len(found)]
        assert splitter.is_between_events == (b"".join(e.raw for e in found) == kept)

    events()


@then("an item's text has no gaps, and lists the weight versions that generated it")
def then_text(context):
    run = st.tuples(st.integers(1, 3), st.integers(0, 6), st.integers(-2, 2))

    @settings(max_examples=150)
    @given(runs=st.lists(run, min_size=1, max_size=6))
    def text(runs):
        job = make_job("j", 1, 1)
        progress, made_by = ItemProgress(job, ROUTE, job.items[0]), {}
        for version, length, offset in runs:
            first = max(1, (progress.last_event_id or 0) + 1 + offset)
            try:
                for number in range(first, first + length):
                    event = StreamEvent(b"", number, b"piece %d" % number, None)
                    before = len(progress.pieces)
                    progress.add_event(event, version)
                    if len(progress.pieces) > before:
                        made_by[number] = version
            except EventsMissingError:
                progress.restart()
                made_by.clear()
            numbers = [int(piece.split()[1]) for piece in progress.pieces]
            start = numbers[0] if numbers else 1
            assert numbers == list(range(start, start + len(numbers)))
            assert set(progress.versions) == set(made_by.values())

    text()


@given_step("a leader with model workers and scorers")
def given_leader(context):
    context.leader = make_leader(context)


@given_step("a leader with {count:d} model workers and scorers")
def given_larger_leader(context, count):
    context.leader = make_leader(context, workers_each=count)


@given_step("{count:d} of the model workers fail every request")
def given_some_failing(context, count):
    for worker in context.leader.models[:count]:
        worker.faults.fail = 1_000_000


@given_step("a scorer fails every request")
def given_failing_scorer(context):
    context.leader.scorers[0].faults.fail = 1_000_000


ALWAYS_FAILS = "job-40"


@given_step("one item fails at every worker")
def given_poison(context):
    for worker in context.leader.models:
        worker.faults.fail_ids = frozenset({ALWAYS_FAILS})


@then(
    "only the item that always fails has a dead result, after {fewest:d} to {most:d} answers of "
    "status 500"
)
def then_only_poison(context, fewest, most):
    wanted = len(context.job.items)
    context.wait_until(lambda: len(results_of(context)) == wanted, "a result of every item")
    dead = {result.item_id for result in results_of(context) if not result.is_complete}
    assert dead == {ALWAYS_FAILS}, dead
    answers = sum(each.record.ran[ALWAYS_FAILS] for each in context.leader.models)
    assert fewest <= answers <= most, answers


@given_step(
    'a leader whose route gives {first:d} parts to "llm" and {second:d} part to "{service}"'
)
def given_split(context, first, second, service):
    shares = (("llm", first), (service, second))
    backends = [{"service": name, "weight": weight} for name, weight in shares]
    context.leader = make_leader(context, backends)


@then('{first:d} of the runs went to "llm" and {second:d} to "llm-next"')
def then_split(context, first, second):
    items = items_by_service(context)
    # The first choice is random. A moved attempt stays with its service.
    assert abs(len(items["llm"]) - first) <= 1, items
    assert len(items["llm"]) + len(items["llm-next"]) == first + second, items


def items_by_service(context):
    items = {"llm": set(), "llm-next": set()}
    for worker in context.leader.models:
        items[worker.instance.rpartition("-")[0]] |= set(worker.record.ran)
    return items


@then("no text of the silent worker went to the other service")
def then_stayed(context):
    silent = set(context.leader.models[0].record.ran)
    assert silent, "the silent worker got nothing"
    items = items_by_service(context)
    assert not items["llm"] & items["llm-next"], items


@given_step("one look at the workers and one commit of results raise")
def given_raising(context):
    coordinator, ledger = context.leader.coordinator, context.leader.ledger
    selector, submit = coordinator._worker_selector, ledger.submit
    begin_round = selector.begin_round

    def raise_once(*arguments):
        selector.begin_round = begin_round
        raise RuntimeError("made by the test")

    def submit_once(key, command, timeout_s):
        if isinstance(command, RecordResults):
            ledger.submit = submit
            raise RuntimeError("made by the test")
        return submit(key, command, timeout_s)

    selector.begin_round = raise_once
    ledger.submit = submit_once


@given_step("a worker that refuses all requests for a second")
def given_loading(context):
    context.leader.models[0].refuse_for(1.0)


@given_step("the first item finds no worker since all of them failed it")
def given_unplaced(context):
    choice = context.leader.coordinator._worker_selector
    acquire_worker, context.unplaced = choice.acquire_worker, set()

    def take(progress, table):
        if not context.unplaced:
            context.unplaced.add(progress.item.id)
        if progress.item.id not in context.unplaced:
            return acquire_worker(progress, table)
        progress.count_recorded(
            [
                ItemFailure(progress.item.id, progress.stage.value, each.instance, 0, mark)
                for mark, each in enumerate(context.leader.models)
            ]
        )
        return None

    choice.acquire_worker = take


@then("every other item has a completed result")
def then_others_completed(context):
    others = len(context.job.items) - 1
    context.wait_until(lambda: len(results_of(context)) == others, "results of the other items")
    assert len(context.unplaced) == 1
    assert all(result.is_complete for result in results_of(context))


@then("a text of an unavailable version, on a single-version route, is restarted")
def then_begins_anew(context):
    job = make_job("job", 1, 1, minimum_version=1)
    route = msgspec.convert(
        {"host": HOST, "pathPrefix": "/draft/", "service": "llm", "singleVersion": True}, Route
    )
    progress = ItemProgress(job, route, job.items[0])
    progress.versions, progress.pieces, progress.events = [1], ["a"], 1
    choice = context.leader.coordinator._worker_selector
    table = context.leader.coordinator._configuration.table()
    assert choice.acquire_worker(progress, table) is None
    choice.restart_if_version_gone(progress)
    assert (progress.versions, progress.events) == ([], 0)
    assert choice.acquire_worker(progress, table) is not None


@given_step("a worker that refuses all requests for a second, and announces a weight load")
def given_announced_load(context):
    worker = context.leader.models[0]
    announce = context.leader.coordinator._attempts.refusal_backoff.on_weight_load_update
    # Announced for longer than it lasts, so that only the announced end admits requests.
    announce(worker.incarnation, MODEL, 4.0)
    worker.refuse_for(1.0)
    ended = threading.Timer(1.1, announce, (worker.incarnation, MODEL, 0.0))
    context.cleanup.callback(ended.cancel)
    ended.start()


@then("the worker refused no request, and served some later")
def then_refused_none(context):
    record = context.leader.models[0].record
    assert record.refusals == 0, record.refusals
    assert sum(record.ran.values()) > 0


@then("no request is sent in an announced weight load, then one at a time until one is accepted")
def then_no_requests_in_load(context):
    step = st.one_of(
        st.tuples(st.just("load"), st.floats(0.01, 9.0)),
        st.tuples(st.just("load_ended"), st.just(0.0)),
        st.tuples(st.just("refused"), st.just(0.0)),
        st.tuples(st.just("pass"), st.floats(0.0, 3.0)),
    )

    @settings(max_examples=300)
    @given(steps=st.lists(step, max_size=30))
    def no_requests_in_load(steps):
        now_s, closed_until_s, is_open = 0.0, 0.0, True
        guard = RefusalBackoff(lambda: now_s)
        worker = Incarnation("i", 7)
        for what, seconds in steps:
            if what == "pass":
                now_s += seconds
            elif what == "load":
                guard.on_weight_load_update(worker, "m", seconds)
                closed_until_s = max(closed_until_s, now_s + min(seconds, MAX_WEIGHT_LOAD_S))
                is_open = False
            elif what == "load_ended":
                guard.on_weight_load_update(worker, "m", 0.0)
                closed_until_s, is_open = 0.0, True
            else:
                guard.record_refusal(worker, "m")
                closed_until_s, is_open = max(closed_until_s, now_s + REFUSAL_BACKOFF_S), False
            assert guard.may_start(worker, "m") == (is_open or now_s >= closed_until_s)
            assert guard.may_start(Incarnation("i", 8), "m"), "a later start of it"
        if not is_open and guard.may_start(worker, "m"):
            guard.record_start(worker, "m")
            assert not guard.may_start(worker, "m")
            guard.record_accepted(worker, "m")
            assert guard.may_start(worker, "m")

    no_requests_in_load()


@then("the worker refused at most {most:d} requests, and served some later")
def then_few_refusals(context, most):
    # One for each of its 8 slots at first, then single probes.
    record = context.leader.models[0].record
    assert 0 < record.refusals <= most, record.refusals
    assert sum(record.ran.values()) > 0


@then("after a refusal one request at a time is sent until the worker accepts one")
def then_one_at_a_time(context):
    ending = st.sampled_from(("record_accepted", "record_refusal", "record_end"))

    @settings(max_examples=200)
    @given(steps=st.lists(st.tuples(st.booleans(), ending, st.floats(0, 0.2)), max_size=40))
    def one_at_a_time(steps):
        now_s = [0.0]
        guard = RefusalBackoff(lambda: now_s[0])
        worker = Incarnation("i")
        refused_s, begun, ended, in_flight = None, 0, 0, 0
        for begins, how, passed_s in steps:
            now_s[0] += passed_s
            if begins and guard.may_start(worker, "m"):
                guard.record_start(worker, "m")
                in_flight += 1
                if refused_s is not None:
                    assert now_s[0] >= refused_s + REFUSAL_BACKOFF_S
                    assert begun <= ended, "a second request while one is unanswered"
                    begun += 1
            elif in_flight and not begins:
                in_flight -= 1
                getattr(guard, how)(worker, "m")
                ended += how == "record_end"
                if how != "record_end":
                    refused_s = now_s[0] if how == "record_refusal" else None
                    begun = ended = 0
        assert guard.may_start(worker, "other")

    one_at_a_time()


SERVICE_WORKERS = tuple(Incarnation(f"i-{number}") for number in range(4))


@then("a worker is quarantined only while it fails all requests and others don't, and probed again")
def then_quarantined(context):
    answer = st.tuples(
        st.sampled_from(SERVICE_WORKERS), st.booleans(), st.integers(0, 5), st.floats(0.0, 1.0)
    )

    @settings(max_examples=300)
    @given(answers=st.lists(answer, max_size=40))
    def quarantined(answers):
        now_s = 0.0
        quarantine = WorkerQuarantine(lambda: now_s)
        failed = {worker: [] for worker in SERVICE_WORKERS}
        for worker, serves, number, passed_s in answers:
            now_s += passed_s + 0.001
            if serves:
                quarantine.record_success(worker, now_s)
                failed[worker] = []
            else:
                quarantine.record_start(worker, f"item-{number}")
                quarantine.record_failure(worker, f"item-{number}")
                quarantine.record_end(worker, f"item-{number}")
                failed[worker].append(number)
            closed = [
                one for one in SERVICE_WORKERS if not quarantine.may_start(one, SERVICE_WORKERS)
            ]
            assert len(closed) <= len(SERVICE_WORKERS) / 2
            for one in closed:
                assert len(set(failed[one])) >= 2, "quarantined for fewer than two items"
        now_s += MAX_BACKOFF_S
        for one in SERVICE_WORKERS:
            assert quarantine.may_start(one, SERVICE_WORKERS), "not probed again"
            quarantine.record_start(one, "trial")
            if one in quarantine.failing_workers(SERVICE_WORKERS) and not quarantine.may_start(
                one, SERVICE_WORKERS
            ):
                quarantine.record_end(one, "trial")
                assert quarantine.may_start(one, SERVICE_WORKERS)
            quarantine.record_success(one, now_s)
            assert quarantine.may_start(one, SERVICE_WORKERS)

    quarantined()


@then("an item fails by answers of workers that serve other items, within its maximum of attempts")
def then_failed_item(context):
    @settings(max_examples=200)
    @given(
        allowed=st.integers(1, 4),
        broken=st.integers(0, 2),
        workers=st.lists(st.integers(0, 5), max_size=16),
    )
    def failed_item(allowed, broken, workers):
        now_s = 0.0
        quarantine = WorkerQuarantine(lambda: now_s)
        service_workers = [Incarnation(f"i-{number}") for number in range(6)]
        for worker in service_workers[:broken]:
            quarantine.record_failure(worker, "another")
            quarantine.record_failure(worker, "a third")
        failures = []
        for number in workers:
            is_exhausted = quarantine.has_exhausted_retries(failures, allowed, service_workers)
            counted = sum(worker in service_workers[broken:] for worker in failures)
            assert is_exhausted == (
                counted >= allowed or len(failures) >= max_server_errors(allowed)
            )
            now_s += 0.1
            failures.append(service_workers[number])
        # A leader may lose the lead just before the item fails.
        assert max_server_errors(allowed) - 1 + max_server_errors(allowed) <= 3 * allowed

    failed_item()


@given_step("no trouble")
def given_nothing(context):
    pass


@given_step("a worker refuses 3 requests")
def given_refusals(context):
    context.leader.models[0].faults.refuse = 3


@given_step("a worker loses 2 answers")
def given_lost(context):
    context.leader.models[0].faults.lose_answer = 2


@given_step("a worker breaks a stream off")
def given_broken(context):
    context.leader.models[0].faults.cut_after_event = 2


@given_step("a scorer loses 2 answers")
def given_lost_scores(context):
    context.leader.scorers[0].faults.lose_answer = 2


@given_step("a scorer fails once")
def given_failed_score(context):
    context.leader.scorers[0].faults.fail = 1


@given_step("a worker whose weights are too old")
def given_old(context):
    # Its entry still shows its former version.
    context.leader.models[0].version = 1


@given_step("both model workers fail every request")
def given_failing(context):
    for worker in context.leader.models:
        worker.faults.fail = 1_000


@given_step("the workers stream slowly")
def given_slow(context):
    for worker in context.leader.models:
        worker.event_pause_s = 0.3


@when("a job of {items:d} items in {groups:d} groups is accepted")
def when_accepted(context, items, groups):
    context.job = make_job("job", items, groups, minimum_version=2)
    context.leader.ledger.submit("", AcceptJob(context.job), 1.0)


def results_of(context):
    return context.leader.ledger.machine.jobs["job"].results


@then("every item has a completed result with its full text, versions and score")
def then_completed(context):
    wanted = len(context.job.items)
    context.wait_until(lambda: len(results_of(context)) == wanted, "a result of every item")
    for result in results_of(context):
        assert result.is_complete
        assert result.full_text == text_of(result.item_id, EVENTS)
        assert result.versions == (2,)
        assert result.score == stamp_of(f"score-{result.item_id}")


@then("every item has a dead result after 3 answers of status 500")
def then_dead(context):
    wanted = len(context.job.items)
    context.wait_until(lambda: len(results_of(context)) == wanted, "a result of every item")
    assert not any(result.is_complete for result in results_of(context))
    for item in context.job.items:
        assert sum(each.record.ran[item.id] for each in context.leader.models) == 3


def begun(context):
    return sum(sum(each.record.ran.values()) for each in context.leader.models)


@when("it is ended while it runs")
def when_ended(context):
    context.wait_until(lambda: begun(context) > 0, "an item begun")
    context.leader.ledger.submit("", EndJob("job", 2.0), 1.0)


@when("another node leads")
def when_deposed(context):
    context.wait_until(lambda: begun(context) > 0, "an item begun")
    context.leader.ledger.leading = False


@then("none of its items is running, and no new one starts")
def then_nothing_runs(context):
    coordinator = context.leader.coordinator
    context.wait_until(lambda: not coordinator._running, "all attempts ended", 2.0)
    before = begun(context)
    context.leader.show()
    coordinator._wake.set()
    context.wait_until(lambda: not coordinator._running, "no attempt begun")
    assert begun(context) == before


@then("no worker is penalized for the cancelled attempts")
def then_not_avoided(context):
    loads = context.leader.coordinator._loads
    for worker in context.leader.models:
        assert loads.in_flight(worker.incarnation) == 0
        assert loads._load(worker.incarnation).failures == 0, worker.instance


def resubmit(context, minimum_version=2):
    again = msgspec.structs.replace(context.job, id="again", minimum_version=minimum_version)
    context.leader.ledger.submit("", AcceptJob(again), 1.0)


@when("it is ended once each item has some events, and a later job submits its items again")
def when_ended_again(context):
    progress = context.leader.coordinator._progress

    def all_started():
        found = list(progress.values())
        return len(found) == 4 and all(len(each.pieces) >= 2 for each in found)

    context.wait_until(all_started, "two events of each item")
    context.leader.ledger.submit("", EndJob("job", 2.0), 1.0)
    context.wait_until(lambda: not context.leader.coordinator._running, "all attempts ended")
    resubmit(context)


@when("every item has a result, and a later job submits its items again")
def when_listed_again(context):
    then_completed(context)
    resubmit(context)


@when(
    "every item has a result, and a later job with minimum version {version:d} submits its items "
    "again"
)
def when_listed_again_newer(context, version):
    then_completed(context)
    for worker in context.leader.models:
        worker.version = version
    context.leader.show()
    resubmit(context, version)


def results_again(context):
    jobs = context.leader.ledger.machine.jobs
    wanted = len(context.job.items)
    context.wait_until(lambda: len(jobs["again"].results) == wanted, "the later job's items")
    for result in jobs["again"].results:
        assert result.is_complete
        assert result.full_text == text_of(result.item_id, EVENTS)
        assert result.score == stamp_of(f"score-{result.item_id}")
    return jobs["again"].results


@then("every item of the later job is complete, resumed from its cached text")
def then_resumed_cached(context):
    for result in results_again(context):
        assert result.versions == (2,)
    after = {}
    for worker in context.leader.models:
        for item_id, event in worker.record.resumed_after.items():
            after[item_id] = max(after.get(item_id, 0), event)
    assert min(after.values()) >= 2, after


@then("every item of the later job is complete, without another generation")
def then_only_scored(context):
    for result in results_again(context):
        assert sum(each.record.ran[result.item_id] for each in context.leader.models) == 1


@then("every item of the later job is complete and of version {version:d}")
def then_newer(context, version):
    for result in results_again(context):
        assert result.versions == (version,)


@then("the checkpoints of a text cover its events from the first one on, without gaps")
def then_checkpoints_join(context):
    part = st.tuples(st.integers(0, 1), st.integers(0, 8), st.integers(1, 4))
    step = st.one_of(
        st.tuples(st.just("keep"), part),
        st.tuples(st.just("list"), st.integers(0, 1)),
        st.tuples(st.just("snapshot"), st.none()),
        st.tuples(st.just("end"), st.none()),
    )

    @settings(max_examples=200)
    @given(steps=st.lists(step, max_size=30))
    def join(steps):
        machine, chains, is_open = BatchJobs(), {0: [], 1: []}, True
        machine.apply(AcceptJob(make_job("job", 2, 1)))
        for what, value in steps:
            if what == "keep":
                item, after, events = value
                text = "\n".join(str(number) for number in range(after, after + events))
                made = TextCheckpoint(
                    f"job-{item}", after, events, after + events, compress_text(text), (1,)
                )
                machine.apply(KeepParts("job", (made,)))
                chain = chains[item]
                if chain is not None and is_open:
                    # The oracle holds single events and the ends of checkpoints.
                    ends = [0, *(end for end, _ in chain)]
                    if after in ends:
                        kept = [one for one in chain if one[0] <= after]
                        chains[item] = [*kept, (after + events, text)]
            elif what == "list":
                machine.apply(RecordResults("job", (ItemResult(f"job-{value}", True, "t"),)))
                if is_open:
                    chains[value] = None
            elif what == "end":
                machine.apply(EndJob("job", 1.0))
                is_open = False
            else:
                saved, machine = machine.save(), BatchJobs()
                machine.load(saved)
            for item, chain in chains.items():
                found = machine.jobs["job"].checkpoints.get(f"job-{item}", ())
                wanted = chain if chain and is_open else []
                assert [(part.after + part.mark) for part in found] == [end for end, _ in wanted]
                progress = ItemProgress(
                    make_job("job", 2, 1), ROUTE, make_job("job", 2, 1).items[0]
                )
                if progress.resume_from(found):
                    numbers = "\n".join(progress.pieces).split("\n")
                    assert numbers == [str(number) for number in range(progress.events)]
                    assert progress.last_event_id == progress.events

    join()


@then("a recorded text consists of runs that each went on where they were asked to")
def then_runs_join(context):
    for seed in range(HISTORIES):
        history = History(seed)
        fault = history.fault_of(history.play())
        assert fault is None, f"seed {seed}: {fault}"


@given_step("texts are checkpointed every {seconds:g} seconds")
def given_checkpoints(context, seconds):
    context.leader.coordinator._attempts.checkpoint_interval_s = seconds


@when("another node takes over once each text has a checkpoint")
def when_checkpointed(context):
    state = context.leader.ledger.machine.jobs["job"]
    wanted = len(context.job.items)

    def are_checkpointed():
        # A text with a checkpoint must not end while another one waits for its own; a pause below
        # six typical ones is not taken for a silent worker.
        if state.checkpoints:
            _set_pauses(context, 1.2)
        return len(state.checkpoints) == wanted

    context.wait_until(are_checkpointed, "a checkpoint of each text")
    context.leader.ledger.leading = False
    coordinator = context.leader.coordinator
    # The coordinator drops its state when it steps down, so it resumes as another one would. Its
    # attempts may end before it notices that it no longer leads.
    context.wait_until(
        lambda: not coordinator._running and not coordinator._progress,
        "the former leader's attempts ended and dropped",
    )
    context.checkpointed = {
        item_id: events_of(sum(each.mark for each in checkpoints))
        for item_id, checkpoints in state.checkpoints.items()
    }
    for worker in context.leader.models:
        worker.record.resumed_after.clear()
    _set_pauses(context, 0.3)
    context.leader.ledger.leading = True


def _set_pauses(context, seconds):
    for worker in context.leader.models:
        worker.event_pause_s = seconds


def _document(**fields):
    return {"id": "i", "path": "/draft/1", "headers": {}, "body": "", "tokens": 1} | fields


def _decode(*items):
    content = json.dumps({"items": items, "model": MODEL}).encode()
    return decode_job(content, "job", HOST, "/draft/").items


@then("with any texts in an item, its job is refused or the item can be sent")
def then_sendable(context):
    plain = st.text("ab-1", min_size=1, max_size=6)
    odd = st.text(max_size=6) | st.sampled_from(("a\r\nb", "a\r\n b", "\x00", "\u00e9", "\u65e5"))
    text = st.one_of(plain, plain, plain, plain, odd)
    outcomes = Counter()

    @settings(max_examples=300)
    @given(request_id=text, path=text, name=text, value=text, scorer=st.none() | text)
    def sendable(request_id, path, name, value, scorer):
        item = _document(id=request_id, path=f"/{path}", headers={name: value})
        if scorer is not None:
            item["scorer"] = {"id": scorer, "host": scorer, "path": f"/{scorer}"}
        try:
            (found,) = _decode(item)
        except BadRequestError:
            outcomes["refused"] += 1
            return
        outcomes["accepted"] += 1
        calls = [("POST", found.path, {"Id": found.id, **dict(found.headers)})]
        if found.scorer is not None:
            calls.append(("POST", found.scorer.path, {"Id": found.scorer.id, "Host": scorer}))
        for method, path_sent, headers in calls:
            connection = http.client.HTTPConnection("worker")
            connection.sock = mock.Mock()
            connection.request(method, path_sent, b"", headers)

    sendable()
    assert min(outcomes["refused"], outcomes["accepted"]) > 20, outcomes


@then("an item that no command of the ledger holds is refused, and larger parts are split")
def then_kept(context):
    large = base64.b64encode(bytes(300_000)).decode()
    scorer = {"id": "s", "host": HOST, "path": "/score", "body": large}
    headers = {f"h-{number}": "v" * 1000 for number in range(300)}
    item = _document(body=large, scorer=scorer, headers=headers)
    try:
        _decode(item | {"body": base64.b64encode(bytes(400_000)).decode()})
    except BadRequestError as refusal:
        assert "at most 900000" in str(refusal), refusal
    else:
        raise AssertionError("accepted an item of 1 MB")
    items = _decode(*(item | {"id": f"i-{number}", "body": ""} for number in range(4)))
    codec = Codec([BatchJobs])
    parts = split_items(items)
    assert [one.id for part in parts for one in part] == [one.id for one in items]
    for number, part in enumerate(parts):
        assert len(codec.encode(StageItems("job", number, part))) < 1 << 20


class BoundedLedger:
    """A ledger that refuses larger commands at once, and applies the others."""

    def __init__(self, most_bytes):
        self.machine = BatchJobs()
        self._codec = Codec([BatchJobs])
        self._most_bytes = most_bytes

    def submit(self, _key, command, _timeout_s):
        encoded = self._codec.encode(command)
        if len(encoded) > self._most_bytes:
            return Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, "too large"))
        return Success(self.machine.apply(self._codec.decode(encoded, type(command))))


@given_step("a ledger whose commands have at most {most:d} bytes, and which holds no checkpoints")
def given_bounded_ledger(context, most):
    context.ledger = BoundedLedger(most)
    context.job = make_job("job", 8, 1)
    context.ledger.machine.apply(AcceptJob(context.job))
    context.committer = Committer(context.ledger, lambda: True)
    context.texts = {}
    context.items = iter(context.job.items)


def _commit(context, sizes, checkpointed):
    """Commit results of texts that don't compress; ends the committer after some seconds."""
    for size in sizes:
        progress = ItemProgress(context.job, ROUTE, next(context.items))
        text = random.Random(size).randbytes(size * 3 // 4)
        progress.pieces, progress.events = [base64.b64encode(text).decode()], 1
        progress.versions = [1]
        if checkpointed and size > 1000:
            progress.take_checkpoint()
        progress.finish("")
        context.texts[progress.item.id] = progress.pieces[0]
        context.committer.put(progress)
    stopping = threading.Event()
    committing = threading.Thread(target=context.committer.run, args=(stopping,))
    committing.start()
    results = context.ledger.machine.jobs["job"].results
    try:
        context.wait_until(lambda: len(results) == len(context.texts), "all results")
    finally:
        stopping.set()
        committing.join()


@when(
    "results of {size:d} bytes each, which refer to checkpoints, are committed before a small one"
)
def when_large_results(context, size):
    _commit(context, [size, size + 1, size + 2, size + 3, 10], checkpointed=True)


@then("each has its full text in the ledger")
def then_all_full(context):
    found = {one.item_id: one.full_text for one in context.ledger.machine.jobs["job"].results}
    assert found == context.texts


@when("a result of {size:d} bytes is committed before a small one")
def when_huge_result(context, size):
    _commit(context, [size, 20], checkpointed=False)


@then("the large one has failed, and the small one has its text")
def then_huge_failed(context):
    *_, huge, small = context.ledger.machine.jobs["job"].results
    assert (huge.is_complete, huge.full_text) == (False, "")
    assert small.full_text == context.texts[small.item_id]


@then("every text resumed from its checkpoints")
def then_resumed(context):
    after = {}
    for worker in context.leader.models:
        after |= worker.record.resumed_after
    assert after == context.checkpointed, (after, context.checkpointed)
    assert min(context.checkpointed.values()) > 0


@given_step("{parts} of the checkpoints reach the log")
def given_reach(context, parts):
    ledger = context.leader.ledger
    ledger.drops = (KeepParts,) if parts == "none" else ()
    context.sent = []
    submit = ledger.submit

    def noted(key, command, timeout_s):
        if isinstance(command, RecordResults):
            context.sent += command.results
        return submit(key, command, timeout_s)

    ledger.submit = noted


@then("the results sent only the text after the checkpoints")
def then_tails(context):
    assert len(context.sent) == len(context.job.items)
    for result in context.sent:
        assert 0 < events_of(result.checkpoint_mark) <= EVENTS
        found = next(each for each in results_of(context) if each.item_id == result.item_id)
        assert len(found.compressed_checkpoints) >= 1
        assert found.checkpoint_mark == 0


@then("the results sent full texts after a first try")
def then_full_texts(context):
    for item in context.job.items:
        tries = [result.checkpoint_mark for result in context.sent if result.item_id == item.id]
        assert tries[0] > 0, "the first try did not rely on checkpoints"
        assert tries[-1] == 0
        assert tries.count(0) >= 1
