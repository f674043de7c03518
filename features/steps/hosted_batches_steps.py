"""Batch jobs: the state machine against an oracle, and the coordinator before stand-ins."""

import threading

import hypothesis.strategies as st
import msgspec
from behave import given as given_step
from behave import then, when
from features.support.hosted_jobs import EVENTS, HOST, MODEL, make_job, make_leader
from hypothesis import given, settings

from bellweir.hosted.batches.failing import LONGEST_PAUSE_S, FailingWorkers, most_answers
from bellweir.hosted.batches.progress import EventsMissingError, ItemProgress
from bellweir.hosted.batches.refusals import LONGEST_LOAD_S, PAUSE_S, RefusalGuard
from bellweir.hosted.batches.state import (
    AcceptJob,
    BatchJobs,
    EndJob,
    ItemResult,
    KeepParts,
    ReadItem,
    ReadResults,
    RecordResults,
    TextPart,
)
from bellweir.hosted.batches.texts import pack_text
from bellweir.hosted.event_stream import EventSplitter, StreamEvent
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import Route, RouteKind
from bellweir_platform.headers import HEADERS
from bellweir_rehearsal.hosted.worker import event_of, stamp_of, text_of

ROUTE = Route(host=HOST, path_prefix="/draft/", kind=RouteKind.ROLLOUT, max_attempts=3)


@then("a batch job's positions never change, and each item stands at one position only")
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


@then("an event stream cut into any pieces gives the same whole events")
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


@then("an item's text is whole, in order and of the versions that made it")
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
    "the item that always fails is listed dead after {fewest:d} to {most:d} answers of 500, "
    "and no other one"
)
def then_only_poison(context, fewest, most):
    wanted = len(context.job.items)
    context.wait_until(lambda: len(listed(context)) == wanted, "every item listed")
    dead = {result.item_id for result in listed(context) if not result.is_complete}
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
    # The first turn falls to either by chance. A run that was moved stays with its service.
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


@given_step("a worker that refuses all runs for a second")
def given_loading(context):
    context.leader.models[0].refuse_for(1.0)


@given_step("the first item finds no worker since all of them failed it")
def given_unplaced(context):
    choice = context.leader.coordinator._choice
    take_worker, context.unplaced = choice.take_worker, set()

    def take(progress, table):
        if not context.unplaced:
            context.unplaced.add(progress.item.id)
        if progress.item.id not in context.unplaced:
            return take_worker(progress, table)
        progress.failed_at = [Incarnation(each.instance) for each in context.leader.models]
        return None

    choice.take_worker = take


@then("every other item is listed completed")
def then_others_completed(context):
    others = len(context.job.items) - 1
    context.wait_until(lambda: len(listed(context)) == others, "the other items listed")
    assert len(context.unplaced) == 1
    assert all(result.is_complete for result in listed(context))


@then("a text of an older version, on a route that wants one version, begins anew")
def then_begins_anew(context):
    job = make_job("job", 1, 1, minimum_version=1)
    route = msgspec.convert(
        {"host": HOST, "pathPrefix": "/draft/", "service": "llm", "singleVersion": True}, Route
    )
    progress = ItemProgress(job, route, job.items[0])
    progress.versions, progress.pieces, progress.events = [1], ["a"], 1
    choice = context.leader.coordinator._choice
    table = context.leader.coordinator._configuration.table()
    assert choice.take_worker(progress, table) is None
    choice.let_versions_go(progress)
    assert (progress.versions, progress.events) == ([], 0)
    assert choice.take_worker(progress, table) is not None


@given_step("a worker that refuses all runs for a second, which is told of")
def given_told_load(context):
    worker = context.leader.models[0]
    told = context.leader.coordinator._attempts.refusals.on_weight_load_update
    # Told of for longer than it lasts, so that only the word of its end brings the runs.
    told(worker.incarnation, MODEL, 4.0)
    worker.refuse_for(1.0)
    ended = threading.Timer(1.1, told, (worker.incarnation, MODEL, 0.0))
    context.cleanup.callback(ended.cancel)
    ended.start()


@then("the worker refused no run, and took some after that")
def then_refused_none(context):
    record = context.leader.models[0].record
    assert record.refusals == 0, record.refusals
    assert sum(record.ran.values()) > 0


@then("nothing is sent while a load is told of, and one run at a time after it until one is taken")
def then_left_alone(context):
    step = st.one_of(
        st.tuples(st.just("load"), st.floats(0.01, 9.0)),
        st.tuples(st.just("load_ended"), st.just(0.0)),
        st.tuples(st.just("refused"), st.just(0.0)),
        st.tuples(st.just("pass"), st.floats(0.0, 3.0)),
    )

    @settings(max_examples=300)
    @given(steps=st.lists(step, max_size=30))
    def left_alone(steps):
        now_s, closed_until_s, is_open = 0.0, 0.0, True
        guard = RefusalGuard(lambda: now_s)
        worker = Incarnation("i", 7)
        for what, seconds in steps:
            if what == "pass":
                now_s += seconds
            elif what == "load":
                guard.on_weight_load_update(worker, "m", seconds)
                closed_until_s = max(closed_until_s, now_s + min(seconds, LONGEST_LOAD_S))
                is_open = False
            elif what == "load_ended":
                guard.on_weight_load_update(worker, "m", 0.0)
                closed_until_s, is_open = 0.0, True
            else:
                guard.refused(worker, "m")
                closed_until_s, is_open = max(closed_until_s, now_s + PAUSE_S), False
            assert guard.may_begin(worker, "m") == (is_open or now_s >= closed_until_s)
            assert guard.may_begin(Incarnation("i", 8), "m"), "a later start of it"
        if not is_open and guard.may_begin(worker, "m"):
            guard.begun(worker, "m")
            assert not guard.may_begin(worker, "m")
            guard.accepted(worker, "m")
            assert guard.may_begin(worker, "m")

    left_alone()


@then("the worker refused at most {most:d} runs, and took some after that")
def then_few_refusals(context, most):
    # One for each of its 8 slots at first, then one at a time.
    record = context.leader.models[0].record
    assert 0 < record.refusals <= most, record.refusals
    assert sum(record.ran.values()) > 0


@then("after a refusal one run at a time is sent until the worker takes one")
def then_one_at_a_time(context):
    ending = st.sampled_from(("accepted", "refused", "ended"))

    @settings(max_examples=200)
    @given(steps=st.lists(st.tuples(st.booleans(), ending, st.floats(0, 0.2)), max_size=40))
    def one_at_a_time(steps):
        now_s = [0.0]
        guard = RefusalGuard(lambda: now_s[0])
        worker = Incarnation("i")
        refused_s, begun, ended, in_hand = None, 0, 0, 0
        for begins, how, passed_s in steps:
            now_s[0] += passed_s
            if begins and guard.may_begin(worker, "m"):
                guard.begun(worker, "m")
                in_hand += 1
                if refused_s is not None:
                    assert now_s[0] >= refused_s + PAUSE_S
                    assert begun <= ended, "a second run beside one that is not answered"
                    begun += 1
            elif in_hand and not begins:
                in_hand -= 1
                getattr(guard, how)(worker, "m")
                ended += how == "ended"
                if how != "ended":
                    refused_s = now_s[0] if how == "refused" else None
                    begun = ended = 0
        assert guard.may_begin(worker, "other")

    one_at_a_time()


FELLOWS = tuple(Incarnation(f"i-{number}") for number in range(4))


@then("a worker is set aside only while it fails all and fellows don't, and is tried again")
def then_set_aside(context):
    answer = st.tuples(
        st.sampled_from(FELLOWS), st.booleans(), st.integers(0, 5), st.floats(0.0, 1.0)
    )

    @settings(max_examples=300)
    @given(answers=st.lists(answer, max_size=40))
    def set_aside(answers):
        now_s = 0.0
        failing = FailingWorkers(lambda: now_s)
        failed = {worker: [] for worker in FELLOWS}
        for worker, serves, number, passed_s in answers:
            now_s += passed_s + 0.001
            if serves:
                failing.served(worker, now_s)
                failed[worker] = []
            else:
                failing.begun(worker, f"item-{number}")
                failing.failed(worker, f"item-{number}")
                failing.ended(worker, f"item-{number}")
                failed[worker].append(number)
            closed = [one for one in FELLOWS if not failing.may_begin(one, FELLOWS)]
            assert len(closed) <= len(FELLOWS) / 2
            for one in closed:
                assert len(set(failed[one])) >= 2, "closed for one item or none"
        now_s += LONGEST_PAUSE_S
        for one in FELLOWS:
            assert failing.may_begin(one, FELLOWS), "not tried again"
            failing.begun(one, "trial")
            if one in failing.failing_all(FELLOWS) and not failing.may_begin(one, FELLOWS):
                failing.ended(one, "trial")
                assert failing.may_begin(one, FELLOWS)
            failing.served(one, now_s)
            assert failing.may_begin(one, FELLOWS)

    set_aside()


@then("an item is given up for answers of workers that serve others, and never tried too often")
def then_given_up(context):
    @settings(max_examples=200)
    @given(
        allowed=st.integers(1, 4),
        broken=st.integers(0, 2),
        workers=st.lists(st.integers(0, 5), max_size=16),
    )
    def given_up(allowed, broken, workers):
        now_s = 0.0
        failing = FailingWorkers(lambda: now_s)
        fellows = [Incarnation(f"i-{number}") for number in range(6)]
        for worker in fellows[:broken]:
            failing.failed(worker, "another")
            failing.failed(worker, "a third")
        failed_at = []
        for number in workers:
            is_given_up = failing.is_given_up(failed_at, allowed, fellows)
            sound = sum(worker in fellows[broken:] for worker in failed_at)
            assert is_given_up == (sound >= allowed or len(failed_at) >= most_answers(allowed))
            now_s += 0.1
            failed_at.append(fellows[number])
        # The first leader may end just before it gives the item up.
        assert most_answers(allowed) - 1 + most_answers(allowed) <= 3 * allowed

    given_up()


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
    # Its entry still shows the version that it had before.
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


def listed(context):
    return context.leader.ledger.machine.jobs["job"].results


@then("every item is listed completed, with its whole text, its versions and its score")
def then_completed(context):
    wanted = len(context.job.items)
    context.wait_until(lambda: len(listed(context)) == wanted, "every item listed")
    for result in listed(context):
        assert result.is_complete
        assert result.whole_text == text_of(result.item_id, EVENTS)
        assert result.versions == (2,)
        assert result.score == stamp_of(f"score-{result.item_id}")


@then("every item is listed dead after 3 answers of 500")
def then_dead(context):
    wanted = len(context.job.items)
    context.wait_until(lambda: len(listed(context)) == wanted, "every item listed")
    assert not any(result.is_complete for result in listed(context))
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


@then("nothing of it is running at the workers and no new item begins")
def then_nothing_runs(context):
    coordinator = context.leader.coordinator
    context.wait_until(lambda: not coordinator._running, "all attempts ended", 2.0)
    before = begun(context)
    context.leader.show()
    coordinator._wake.set()
    context.wait_until(lambda: not coordinator._running, "no attempt begun")
    assert begun(context) == before


@then("no worker is passed over for the runs that were ended")
def then_not_avoided(context):
    loads = context.leader.coordinator._loads
    for worker in context.leader.models:
        assert loads.in_hand(worker.incarnation) == 0
        assert loads._load(worker.incarnation).failures == 0, worker.instance


def come_again(context, minimum_version=2):
    again = msgspec.structs.replace(context.job, id="again", minimum_version=minimum_version)
    context.leader.ledger.submit("", AcceptJob(again), 1.0)


@when("it is ended once each item has some events, and its items come again in a later job")
def when_again(context):
    progress = context.leader.coordinator._progress

    def begun_all():
        found = list(progress.values())
        return len(found) == 4 and all(len(each.pieces) >= 2 for each in found)

    context.wait_until(begun_all, "two events of each item")
    context.leader.ledger.submit("", EndJob("job", 2.0), 1.0)
    context.wait_until(lambda: not context.leader.coordinator._running, "all attempts ended")
    come_again(context)


@when("every item is listed and its items come again in a later job")
def when_listed_again(context):
    then_completed(context)
    come_again(context)


@when("every item is listed and its items come again in a later job that wants version {version:d}")
def when_listed_again_newer(context, version):
    then_completed(context)
    for worker in context.leader.models:
        worker.version = version
    context.leader.show()
    come_again(context, version)


def results_again(context):
    jobs = context.leader.ledger.machine.jobs
    wanted = len(context.job.items)
    context.wait_until(lambda: len(jobs["again"].results) == wanted, "the later job's items")
    for result in jobs["again"].results:
        assert result.is_complete
        assert result.whole_text == text_of(result.item_id, EVENTS)
        assert result.score == stamp_of(f"score-{result.item_id}")
    return jobs["again"].results


@then("every item of the later job is whole, gone on with behind what was kept")
def then_gone_on(context):
    for result in results_again(context):
        assert result.versions == (2,)
    after = {}
    for worker in context.leader.models:
        for item_id, event in worker.record.resumed_after.items():
            after[item_id] = max(after.get(item_id, 0), event)
    assert min(after.values()) >= 2, after


@then("every item of the later job is whole, without another run of its text")
def then_only_scored(context):
    for result in results_again(context):
        assert sum(each.record.ran[result.item_id] for each in context.leader.models) == 1


@then("every item of the later job is whole and of version {version:d}")
def then_newer(context, version):
    for result in results_again(context):
        assert result.versions == (version,)


@then("the parts that are kept of a text always join, from its first event on")
def then_parts_join(context):
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
                made = TextPart(f"job-{item}", after, events, after + events, pack_text(text), (1,))
                machine.apply(KeepParts("job", (made,)))
                chain = chains[item]
                if chain is not None and is_open:
                    # The oracle keeps events one by one, with the ends of the parts.
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
                found = machine.jobs["job"].parts.get(f"job-{item}", ())
                wanted = chain if chain and is_open else []
                assert [(part.after + part.events) for part in found] == [end for end, _ in wanted]
                progress = ItemProgress(
                    make_job("job", 2, 1), ROUTE, make_job("job", 2, 1).items[0]
                )
                if progress.go_on_from(found):
                    numbers = "\n".join(progress.pieces).split("\n")
                    assert numbers == [str(number) for number in range(progress.events)]
                    assert progress.last_event_id == progress.events

    join()


@given_step("parts of texts are kept every {seconds:g} seconds")
def given_parts(context, seconds):
    context.leader.coordinator._attempts.keep_period_s = seconds


@when("another node leads once a part of each text is kept")
def when_parts(context):
    state = context.leader.ledger.machine.jobs["job"]
    wanted = len(context.job.items)

    def are_kept():
        # A text that has its part must not end while another one still waits for its own; a
        # worker with shorter pauses than six usual ones is not silent.
        if state.parts:
            _set_pauses(context, 1.2)
        return len(state.parts) == wanted

    context.wait_until(are_kept, "a part of each text")
    context.leader.ledger.leading = False
    coordinator = context.leader.coordinator
    # The coordinator forgets everything when it leaves, so it comes back as another one would. Its
    # runs may end by themselves before it has seen that it leads no more.
    context.wait_until(
        lambda: not coordinator._running and not coordinator._progress,
        "the former leader's runs ended and forgotten",
    )
    context.kept = {
        item_id: sum(part.events for part in parts) for item_id, parts in state.parts.items()
    }
    for worker in context.leader.models:
        worker.record.resumed_after.clear()
    _set_pauses(context, 0.3)
    context.leader.ledger.leading = True


def _set_pauses(context, seconds):
    for worker in context.leader.models:
        worker.event_pause_s = seconds


@then("every text went on behind what was kept")
def then_went_on(context):
    after = {}
    for worker in context.leader.models:
        after |= worker.record.resumed_after
    assert after == context.kept, (after, context.kept)
    assert min(context.kept.values()) > 0


@given_step("{parts} of them reach the log")
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


@then("the results sent only what no kept part had")
def then_tails(context):
    assert len(context.sent) == len(context.job.items)
    for result in context.sent:
        assert 0 < result.behind <= EVENTS
        found = next(each for each in listed(context) if each.item_id == result.item_id)
        assert len(found.earlier) >= 1
        assert found.behind == 0


@then("the results sent whole texts after a first try")
def then_whole_texts(context):
    for item in context.job.items:
        tries = [result.behind for result in context.sent if result.item_id == item.id]
        assert tries[0] > 0, "the first try counted on its parts"
        assert tries[-1] == 0
        assert tries.count(0) >= 1
