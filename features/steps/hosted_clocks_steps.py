"""Clocks that differ or jump: what is kept, and for how long."""

import time
from unittest.mock import patch

import msgspec
from behave import given as given_step
from behave import then, when
from features.support.hosted_jobs import make_job, make_leader

from bellweir.hosted.batches.state import (
    AcceptJob,
    EndJob,
    ForgetJobs,
    ReadResults,
)

LOOK_TIMEOUT_S = 15.0


@given_step("a job that a gateway accepted and ended")
def given_ended(context):
    context.leader = make_leader(context)
    gateway_s = time.time()
    job = msgspec.structs.replace(make_job("job", 2, 1), accepted_at_s=gateway_s)
    context.leader.ledger.submit("", AcceptJob(job), 1.0)
    context.leader.ledger.submit("", EndJob("job", gateway_s), 1.0)


@when("the leader, whose time of day is {ahead:d} s ahead, has looked for jobs that are old")
def when_ahead(context, ahead):
    ledger, true_time, forgotten = context.leader.ledger, time.time, []
    submit = ledger.submit

    def noting(key, command, timeout_s):
        reply = submit(key, command, timeout_s)
        if isinstance(command, ForgetJobs):
            forgotten.append(command)
        return reply

    ledger.submit = noting
    context.cleanup.enter_context(patch("time.time", lambda: true_time() + ahead))
    context.wait_until(lambda: forgotten, "a look for old jobs", LOOK_TIMEOUT_S)


@then("the job is read again")
def then_read(context):
    page = context.leader.ledger.machine.answer(ReadResults("job", 0, 1 << 20))
    assert page.total == 2, "a job that is owed is gone"
