"""The replicated record of failed requests of items."""

import threading

import cbor2
import msgspec
from behave import given, then, when
from features.support.hosted_jobs import HOST, MemoryLedger, make_job
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from bellweir.hosted.batches.committer import Committer
from bellweir.hosted.batches.failed_requests import MAX_REQUEST_IDS, ItemFailure
from bellweir.hosted.batches.progress import ItemProgress, Stage
from bellweir.hosted.batches.retry_limit import RetryLimit
from bellweir.hosted.batches.state import (
    AcceptJob,
    BatchJobs,
    EndJob,
    ItemResult,
    KeepParts,
    RecordResults,
)
from bellweir.hosted.batches.worker_quarantine import WorkerQuarantine
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.records import Route, RouteKind
from bellweir.ledger.interface import LedgerErrorKind

FIRST_ITEM = "job-0"
TENANT = "dealers"
COURSES = 300
ROUTE = Route(host=HOST, path_prefix="/draft/", kind=RouteKind.ROLLOUT, max_attempts=3)


def _job(job_id, items=2):
    return msgspec.structs.replace(make_job("job", items, 1), id=job_id, tenant=TENANT)


def _failure(mark, item_id=FIRST_ITEM, stage="text"):
    return ItemFailure(item_id, stage, "i-1", 0, mark)


def _record(machine, job_id, marks, stage="text"):
    failures = tuple(_failure(mark, stage=stage) for mark in marks)
    machine.apply(KeepParts(job_id, failures=failures))


def _counted(machine, job, stage="text"):
    item = job.items[0]
    request = job.generation_request(item) if stage == "text" else job.scoring_request(item)
    return len(machine.failed_requests.failures_of(request))


@given("a job whose first item was answered 500 {answers:d} times")
def given_failed(context, answers):
    context.machine, context.job = BatchJobs(), _job("job-a")
    context.machine.apply(AcceptJob(context.job))
    _record(context.machine, "job-a", range(answers))


def _with_first_item(job, **fields):
    first = msgspec.structs.replace(job.items[0], **fields)
    return msgspec.structs.replace(job, items=(first, *job.items[1:]))


CHANGES = {
    "nothing else": lambda job: job,
    "another step and version": lambda job: msgspec.structs.replace(
        job, step=9, minimum_version=job.minimum_version + 1
    ),
    "other headers": lambda job: _with_first_item(job, headers=(("X-Other", "1"),)),
    "another tenant": lambda job: msgspec.structs.replace(job, tenant="others"),
    "another body": lambda job: _with_first_item(job, body=b"another"),
    "another path": lambda job: _with_first_item(job, path="/draft/another"),
    "another host": lambda job: msgspec.structs.replace(job, host="another.example"),
    "another id": lambda job: _with_first_item(job, id="another"),
}


@when("a later job has the same items, but {change}")
def when_later(context, change):
    context.job = CHANGES[change](_job("job-b"))
    context.machine.apply(AcceptJob(context.job))


@then("{counted:d} failures of its first item count there")
def then_counted(context, counted):
    found = _counted(context.machine, context.job)
    assert found == counted, found


@when("the job ends, and {count:d} more failures of its first item are recorded")
def when_ended(context, count):
    context.machine.apply(EndJob("job-a", 1.0, TENANT))
    _record(context.machine, "job-a", range(100, 100 + count))


@when("its first item is listed as completed")
def when_completed(context):
    result = ItemResult.from_text(FIRST_ITEM, True, "text", (2,))
    context.machine.apply(RecordResults("job-a", (result,)))


@when("{count:d} failures of its reward call are recorded")
def when_scoring_failed(context, count):
    _record(context.machine, "job-a", range(100, 100 + count), "score")


@then("{texts:d} failures of its text and {scores:d} of its reward call count")
def then_apart(context, texts, scores):
    assert _counted(context.machine, context.job) == texts
    assert _counted(context.machine, context.job, "score") == scores


@given("an open job whose first item failed once, and an ended one whose first item failed once")
def given_two(context):
    context.machine = BatchJobs()
    context.open_job = _job("job-open")
    context.ended_job = _with_first_item(_job("job-ended"), id="ended-0")
    for job in (context.open_job, context.ended_job):
        context.machine.apply(AcceptJob(job))
        failure = _failure(1, job.items[0].id)
        context.machine.apply(KeepParts(job.id, failures=(failure,)))
    context.machine.apply(EndJob("job-ended", 1.0, TENANT))


@when("as many requests of other ended jobs fail as are kept")
def when_many(context):
    items = make_job("other", MAX_REQUEST_IDS, 1).items
    job = msgspec.structs.replace(_job("job-other"), items=items)
    context.machine.apply(AcceptJob(job))
    context.machine.apply(EndJob(job.id, 1.0, TENANT))
    for number, item in enumerate(items):
        context.machine.apply(KeepParts(job.id, failures=(_failure(number, item.id),)))


@then("the failure in the open job is kept, and that in the ended one is not")
def then_kept(context):
    assert _counted(context.machine, context.open_job) == 1
    assert _counted(context.machine, context.ended_job) == 0


@then("no more requests are kept than the bound and those of open jobs")
def then_bounded(context):
    assert len(context.machine.failed_requests) <= MAX_REQUEST_IDS + 1


@given(
    "a snapshot of an earlier release, "
    "in which the first item of an open job failed {count:d} times"
)
def given_earlier(context, count):
    machine, context.job = BatchJobs(), _job("job-a")
    machine.apply(AcceptJob(context.job))
    plain = cbor2.loads(machine.save())
    del plain["failed_requests"]
    failures = [msgspec.to_builtins(_failure(mark)) for mark in range(count)]
    for failure in failures:
        del failure["job_id"], failure["is_final"]
    plain["jobs"][0]["failures"] = {FIRST_ITEM: failures}
    context.snapshot = cbor2.dumps(plain)


@when("a replica of this release loads it")
def when_loaded(context):
    context.machine = BatchJobs()
    context.machine.load(context.snapshot)


def _reloaded(machine):
    loaded = BatchJobs()
    loaded.load(machine.save())
    return loaded


JOBS = st.sampled_from(["job-a", "job-b", "job-c"])
STEPS = st.one_of(
    st.tuples(st.just("accept"), JOBS),
    st.tuples(st.just("fail"), JOBS),
    st.tuples(st.just("complete"), JOBS),
    st.tuples(st.just("end"), JOBS),
    st.tuples(st.just("reload"), st.just("")),
)


class _Oracle:
    """Counts the failures of the first item, which all jobs share."""

    def __init__(self):
        self.failures, self.open, self.listed, self.accepted = 0, set(), set(), set()

    def apply(self, action, job_id):
        if action == "accept" and job_id not in self.accepted:
            self.accepted.add(job_id)
            self.open.add(job_id)
        elif action == "fail" and job_id in self.accepted:
            self.failures += 1
        elif action == "complete" and job_id in self.open - self.listed:
            self.listed.add(job_id)
            self.failures = 0
        elif action == "end":
            self.open.discard(job_id)


@then("each request has the failures that were recorded since it last succeeded")
def then_any_order(context):
    @settings(max_examples=COURSES, deadline=None, derandomize=True, database=None)
    @given_values(st.lists(STEPS, max_size=25))
    def course(steps):
        machine, oracle = BatchJobs(), _Oracle()
        for mark, (action, job_id) in enumerate(steps):
            if action == "accept":
                machine.apply(AcceptJob(_job(job_id)))
            elif action == "fail":
                _record(machine, job_id, [mark])
                _record(machine, job_id, [mark])
            elif action == "complete":
                result = ItemResult.from_text(FIRST_ITEM, True, "text", (2,))
                machine.apply(RecordResults(job_id, (result,)))
            elif action == "end":
                machine.apply(EndJob(job_id, 1.0, TENANT))
            else:
                machine = _reloaded(machine)
            oracle.apply(action, job_id)
            assert _counted(machine, _job("any")) == oracle.failures, (steps, mark)

    course()


@given("a leader that has lost its place with {count:d} failures that it has not recorded")
def given_lost_leader(context, count):
    context.ledger, context.job = MemoryLedger(), _job("job-a")
    context.ledger.leading = False
    context.machine = context.ledger.machine
    context.machine.apply(AcceptJob(context.job))
    context.progress = ItemProgress(context.job, ROUTE, context.job.items[0])
    for number in range(count):
        context.progress.add_failure(Incarnation(f"i-{number}"))


ANSWERS = {
    "nobody leads": (LedgerErrorKind.UNAVAILABLE, False),
    "the outcome is not known": (LedgerErrorKind.UNKNOWN, False),
    "it is not known but holds": (LedgerErrorKind.UNKNOWN, True),
}


@when("the ledger answers that {answer} {times:d} times, and then records")
def when_unavailable(context, answer, times):
    context.ledger.failures = [ANSWERS[answer]] * times
    committer = Committer(context.ledger, lambda: context.ledger.leading)
    context.progress.is_committing = True
    committer._commit_batch([context.progress], threading.Event())
    assert not context.progress.unrecorded_failures


@given(
    "an item whose text failed {texts:d} times and its reward call {scores:d} times, "
    "{attempts:d} attempts each"
)
def given_failures(context, texts, scores, attempts):
    job = _job("job-a")
    context.route = msgspec.structs.replace(ROUTE, max_attempts=attempts)
    context.progress = ItemProgress(job, context.route, job.items[0])
    for stage, count in ((Stage.GENERATION, texts), (Stage.SCORING, scores)):
        context.progress.stage = stage
        for _ in range(count):
            context.progress.add_failure(Incarnation("i-1"))


@when("it is in its stage {stage}")
def when_in_stage(context, stage):
    context.progress.stage = Stage(stage)


@then("its retry limit says that it {ends}")
def then_ends(context, ends):
    limit = RetryLimit(WorkerQuarantine(), lambda _route: ())
    assert limit.is_reached(context.progress, context.route) == (ends == "is ended")
