"""Steps of `answer_fuzz.feature`."""

from random import Random

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings, strategies

from bellweir.clients.answer_reader import MAXIMUM_HEAD_BYTES, MAXIMUM_INTERIM_ANSWERS
from bellweir.hosted.serving.attempt import AttemptState
from steps.answers_steps import OTHER_ID, REQUEST_ID, call, start_worker
from support.answer_fuzz import KINDS, check, draw_answer, endless, long_ones, read, split
from support.answer_oracle import WholeAnswer

DRAWS_THAT_SHRINK = 15
DRAWS = 150
"""Of sources that can't be shrunk, which are faster."""
DRAWS_OF_SPLITS = 30
DRAWS_AT_WORKER = 150
LONGEST_SPLIT_BYTES = 600
MOST_ARRIVED_BYTES = (MAXIMUM_INTERIM_ANSWERS + 2) * MAXIMUM_HEAD_BYTES
TAKEN_STATES = (AttemptState.ANSWERED, AttemptState.REFUSED)

random_sources = strategies.randoms(use_true_random=False)
fast_random_sources = strategies.randoms(use_true_random=True)


@when("drawn bytes arrive that are {kind}")
def when_drawn(context, kind):
    context.kind = kind


@then("only whole answers are taken, each as its sender sent it")
def then_as_sent(context):
    def holds(rng: Random):
        for stream in KINDS[context.kind](rng):
            check(stream, rng)

    settings(max_examples=DRAWS_THAT_SHRINK)(property_given(random_sources)(holds))()
    settings(max_examples=DRAWS)(property_given(fast_random_sources)(holds))()


@when("drawn bytes arrive one at a time, or in two segments that meet at any point")
def when_split(context):
    context.kinds = [KINDS[name] for name in sorted(KINDS) if KINDS[name] is not long_ones]


@then("they are read as if they had arrived at once")
def then_same(context):
    @settings(max_examples=DRAWS_OF_SPLITS)
    @property_given(random_sources)
    def holds(rng: Random):
        stream = next(rng.choice(context.kinds)(rng))
        data = stream.data[:LONGEST_SPLIT_BYTES]
        at_once = read(iter((data,)))
        assert read(bytes((each,)) for each in data) == at_once, data
        for place in range(1, len(data)):
            found = read(iter((data[:place], data[place:])))
            assert found == at_once, (data[:place], data[place:], found, at_once)

    holds()


@when("drawn bytes arrive without end")
def when_endless(context):
    context.draws = DRAWS_OF_SPLITS


@then("each call fails within the longest head and few bytes held")
def then_fails(context):
    @settings(max_examples=context.draws)
    @property_given(random_sources)
    def holds(rng: Random):
        found = read(limited(endless(rng)))
        assert not isinstance(found, WholeAnswer), found

    holds()


def limited(segments):
    """Segments; raises `AssertionError` once more arrive than any head may be long."""
    arrived = 0
    for segment in segments:
        arrived += len(segment)
        assert arrived <= MOST_ARRIVED_BYTES, "read without end"
        yield segment


@given("a worker that sends drawn bytes")
def given_worker(context):
    start_worker(context, lambda _id: b"")


@when("it cuts the heads of answers to others before the answers that are due")
def when_cut(context):
    context.draws = DRAWS_AT_WORKER


@then("only what it sent whole is taken for an answer, by calls to it")
def then_taken_by_calls(context):
    @settings(max_examples=context.draws)
    @property_given(random_sources)
    def holds(rng: Random):
        surplus, due = draw_answer(rng, OTHER_ID), draw_answer(rng, REQUEST_ID)
        cut = rng.choice((0, rng.randrange(1, len(surplus.head))))
        if surplus.interim:
            cut = 0
        segments = split(surplus.head[:cut] + due.sent, rng)
        context.raw.answer = lambda _id: iter(segments)
        # The worker's close behind its former answer would race with a call on that connection.
        context.connections.renew(context.raw.address)
        outcome = call(context)
        is_taken = outcome.state in TAKEN_STATES
        assert is_taken == (cut == 0), (outcome, segments)
        if is_taken:
            assert outcome.response.status == due.status, (outcome, segments)
            assert outcome.response.body == due.body, (outcome, segments)

    holds()
