"""Items on workers that crash by themselves, in series."""

import random
from types import SimpleNamespace

from behave import given, then, when
from features.support.crash_courses import (
    CONTACT_S,
    MOST_LYING_S,
    Course,
    drawn_bursts,
    drawn_rounds,
)

from bellweir.hosted.crashes.fingerprint import fingerprint
from bellweir.hosted.crashes.table import CrashTable
from bellweir.hosted.incarnation import Incarnation

COURSE_S = 40.0


@then(
    "over {count:d} drawn courses of {least:d} to {most:d} rounds no item lacks an engine for "
    "{seconds:g} s after the last round"
)
def then_not_left_lying(context, count, least, most, seconds):
    assert seconds == MOST_LYING_S
    faults = []
    for seed in range(count):
        rng = random.Random(f"rounds/{seed}")
        course = Course(seed, drawn_rounds(rng, rng.randint(least, most)))
        course.play(COURSE_S)
        lying = course.left_lying()
        if lying:
            longest_s = max(item.most_lying_s for item in lying)
            faults.append((seed, len(lying), round(longest_s, 1)))
    assert not faults, f"{len(faults)} of {count}: {faults[:5]}"


@then(
    "over {count:d} drawn courses with {least:d} to {most:d} crashing items none of these runs "
    "more than {runs:d} times later than {seconds:g} s after its third end"
)
def then_bounded(context, count, least, most, runs, seconds):
    assert seconds == CONTACT_S
    context.courses = []
    for seed in range(count):
        rng = random.Random(f"both/{seed}")
        rounds = drawn_rounds(rng, rng.randint(5, 9))
        course = Course(seed, rounds, crashing=rng.randint(least, most))
        course.play(COURSE_S)
        context.courses.append(course)
    _expect_few_late_runs(context.courses, runs)


@then("no other item lacks an engine for {seconds:g} s after the last end")
def then_others_run(context, seconds):
    assert seconds == MOST_LYING_S
    faults = [
        (seed, [(item.number, round(item.most_lying_s, 1)) for item in course.left_lying()])
        for seed, course in enumerate(context.courses)
        if course.left_lying()
    ]
    assert not faults, f"{len(faults)} of {len(context.courses)}: {faults[:5]}"


@then(
    "over {count:d} drawn courses without rounds none of {least:d} to {most:d} crashing items runs "
    "more than {runs:d} times later than {seconds:g} s after its third end"
)
def then_bounded_without_rounds(context, count, least, most, runs, seconds):
    assert seconds == CONTACT_S
    context.courses = []
    for seed in range(count):
        course = Course(seed, [], crashing=least + seed % (most - least + 1))
        course.play(COURSE_S)
        context.courses.append(course)
    _expect_few_late_runs(context.courses, runs)


def _expect_few_late_runs(courses, runs):
    faults = []
    for seed, course in enumerate(courses):
        late = [len(course.late_runs(item)) for item in course.items if item.crashes]
        if max(late) > runs:
            faults.append((seed, late))
    assert not faults, f"{len(faults)} of {len(courses)}: {faults[:8]}"


@then("every other item is done within {seconds:g} s")
def then_others_done(context, seconds):
    faults = [
        (seed, round(max(item.done_s for item in course.innocent) - course.began_s, 1))
        for seed, course in enumerate(context.courses)
        if max(item.done_s for item in course.innocent) > course.began_s + seconds
    ]
    assert not faults, f"{len(faults)} of {len(context.courses)}: {faults[:8]}"


@then(
    "none of {count:d} requests is suspended after {rounds:d} rounds in which all of {workers:d} "
    "workers end"
)
def then_many_together(context, count, rounds, workers):
    assert workers == count
    clock = SimpleNamespace(now_s=100.0)
    table = CrashTable(now_s=lambda: clock.now_s)
    requests = [fingerprint("POST", "h", f"/one-{number}", "", b"") for number in range(count)]
    for born in range(rounds):
        clock.now_s += 1.0
        for number, request in enumerate(requests):
            table.add_end(request, "llm", Incarnation(f"i-{number}", born))
    suspended = [request for request in requests if table.trials_left(request) is not None]
    assert not suspended, len(suspended)


@given(
    "a request that ran alone at one of {workers:d} workers each time that all ended, {count:d} "
    "times"
)
def given_idle_beside(context, workers, count):
    clock = context.clock = SimpleNamespace(now_s=100.0)
    context.table_before = CrashTable(now_s=lambda: clock.now_s)
    context.request = fingerprint("POST", "h", "/alone", "", b"")
    for born in range(count):
        clock.now_s += 1.0
        context.table_before.add_end(context.request, "llm", Incarnation("i-0", born))
        for number in range(1, workers):
            worker = Incarnation(f"i-{number}", born)
            context.table_before.add_worker_end("llm", worker, clock.now_s)


@when("a node starts {seconds:d} s later and is told what the others know")
def when_late(context, seconds):
    clock = context.clock
    for _ in range(seconds):
        clock.now_s += 1.0
        context.table_before.drop_old()
    context.late_table = CrashTable(now_s=lambda: clock.now_s)
    for record in context.table_before.records():
        context.late_table.receive(record)


@then("neither suspects the request enough to suspend it")
def then_neither(context):
    for table in (context.table_before, context.late_table):
        blame = table.blame(context.request)
        assert table.trials_left(context.request) is None, blame


@then(
    "over {count:d} drawn courses of {bursts:d} bursts of {crashes:d} crashes of {workers:d} "
    "workers no item handed in for later lacks an engine for {seconds:g} s after the last crash"
)
def then_owed_run(context, count, bursts, crashes, workers, seconds):
    assert seconds == MOST_LYING_S
    faults = []
    for seed in range(count):
        rng = random.Random(f"bursts/{seed}")
        rounds = drawn_bursts(rng, bursts, crashes)
        course = Course(seed, rounds, workers=workers, items=12 * workers, owed=True)
        # Texts that meet each crash.
        for item in course.items:
            item.left_s *= 4.0
        course.play(COURSE_S)
        lying = course.left_lying()
        if lying:
            longest_s = max(item.most_lying_s for item in lying)
            faults.append((seed, len(lying), round(longest_s, 1)))
    assert not faults, f"{len(faults)} of {count}: {faults[:5]}"
