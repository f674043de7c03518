"""Items on workers that crash by themselves, in series."""

import random

from behave import then
from features.support.crash_courses import MOST_LYING_S, Course, drawn_rounds

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
