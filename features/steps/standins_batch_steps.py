"""Steps of `standins_batch.feature`."""

import statistics

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from bellweir.clients.interface import PREFIX_BLOCK_CHARACTERS
from bellweir_rehearsal.standins.engine_batch import Batch, BatchLimits, Sequence
from bellweir_rehearsal.standins.engine_options import TokenTimes
from bellweir_rehearsal.standins.prefix_cache import (
    TOKENS_PER_BLOCK,
    CacheEventLog,
    PrefixCache,
    block_hashes,
)
from bellweir_rehearsal.standins.token_model import LONGEST_TO_MEDIAN, natural_length

CHUNK_TOKENS = 120
DRAFT = 10


def new_batch(size, times):
    return Batch(times, BatchLimits(size, CHUNK_TOKENS, steps_at_once=8))


@given(
    "a stand-in batch for {size:d} sequences with steps of {step:g} ms, "
    "tokens of {token:g} ms and context of {context_ms:g} ms"
)
@given(
    "a stand-in batch for {size:d} sequence with steps of {step:g} ms, "
    "tokens of {token:g} ms and context of {context_ms:g} ms"
)
def step_batch(context, size, step, token, context_ms):
    context.batch = new_batch(size, TokenTimes(step / 1e3, token / 1e3, context_ms / 1e3))
    context.steps_taken = []


def add(context, name, prompt, final, produced=0, priority=0):
    context.batch.add(Sequence(name, priority, prompt, produced, final))


@given(
    'a stand-in sequence "{name}" with a prompt of {prompt:d} tokens that ends at {final:d} tokens'
)
def step_sequence(context, name, prompt, final):
    add(context, name, prompt, final)


@when(
    'a stand-in sequence "{name}" with a prompt of {prompt:d} tokens that ends at '
    "{final:d} token arrives"
)
def step_sequence_arrives(context, name, prompt, final):
    add(context, name, prompt, final)


@given(
    'a stand-in sequence "{name}" with a prompt of {prompt:d} tokens and {had:d} tokens had '
    "that ends at {final:d} tokens"
)
def step_resumed(context, name, prompt, had, final):
    add(context, name, prompt, final, produced=had)


@given('a stand-in draft "{name}" with a prompt of {prompt:d} tokens that ends at {final:d} tokens')
def step_draft(context, name, prompt, final):
    add(context, name, prompt, final, priority=DRAFT)


def run_one_step(context):
    """Admit, plan, and commit the first step alone; false when nothing runs."""
    for sequence in context.batch.fill():
        sequence.prefill_left = sequence.context
    plan = context.batch.plan()
    if plan is None:
        return False
    prefilled = " ".join(f"{found.attempt_id}:{count}" for found, count in plan.prefilled)
    decoded = " ".join(found.attempt_id for found in plan.decoding)
    context.steps_taken.append((prefilled, decoded, plan.durations_s[0] * 1e3))
    context.batch.commit(plan, 1)
    return True


@when("the stand-in batch runs {count:d} steps")
def step_run_some(context, count):
    for _ in range(count):
        assert run_one_step(context)


@when("the stand-in batch runs to its end")
def step_run_all(context):
    while run_one_step(context):
        pass


@then("the stand-in batch has taken these steps")
def step_taken(context):
    taken = context.steps_taken
    assert len(taken) == len(context.table.rows), taken
    for row, (prefilled, decoded, milliseconds) in zip(context.table, taken, strict=True):
        assert (row["prefilled"], row["decoded"]) == (prefilled, decoded), taken
        assert abs(float(row["milliseconds"]) - milliseconds) < 1e-6, (row["why"], milliseconds)


@then("for any stand-in batch the planned steps take as long together as one by one")
def step_plan_property(context):
    sequence = st.tuples(st.integers(1, 300), st.integers(1, 30))

    @settings(max_examples=50)
    @for_all(sequences=st.lists(sequence, min_size=1, max_size=4))
    def check(sequences):
        together, one_by_one = (planned_durations(sequences, steps) for steps in (8, 1))
        assert len(together) == len(one_by_one)
        assert all(abs(a - b) < 1e-12 for a, b in zip(together, one_by_one, strict=True))

    check()


def planned_durations(sequences, steps_at_once):
    batch = Batch(TokenTimes(), BatchLimits(4, CHUNK_TOKENS, steps_at_once))
    for number, (prompt, final) in enumerate(sequences):
        batch.add(Sequence(str(number), 0, prompt, 0, final))
    for found in batch.fill():
        found.prefill_left = found.context
    durations_s = []
    while (plan := batch.plan()) is not None:
        durations_s += plan.durations_s
        batch.commit(plan, plan.steps)
    return durations_s


@then("any sequence of arrivals, cancellations and steps keeps the stand-in batch's rules")
def step_batch_property(context):
    arrival = st.tuples(
        st.just("add"), st.sampled_from([0, 5, DRAFT]), st.integers(1, 300), st.integers(1, 30)
    )
    action = st.one_of(
        arrival, st.tuples(st.just("steps"), st.integers(1, 8)), st.tuples(st.just("cancel"))
    )

    @settings(max_examples=60)
    @for_all(size=st.integers(1, 4), actions=st.lists(action, max_size=40))
    def check(size, actions):
        batch = new_batch(size, TokenTimes())
        produced = {}
        unfinished = []
        for number, chosen in enumerate([*actions, *[("steps", 8)] * 2000]):
            if chosen[0] == "add":
                _, priority, prompt, final = chosen
                sequence = Sequence(str(number), priority, prompt, 0, final)
                batch.add(sequence)
                unfinished.append(sequence)
                produced[sequence] = 0
            elif chosen[0] == "cancel" and unfinished:
                batch.remove(unfinished.pop(0))
            elif chosen[0] == "steps":
                ran = run_steps(batch, chosen[1], produced, unfinished)
                if not ran and number >= len(actions):
                    break
        assert not unfinished, "every sequence ends"
        assert batch.plan() is None
        assert batch.waiting_count == 0

    check()


def run_steps(batch, count, produced, unfinished):
    for sequence in batch.fill():
        sequence.prefill_left = sequence.context
    assert len(batch.running) <= batch.limits.maximum_batch
    waiting = [found for found in unfinished if found not in batch.running]
    for running in batch.running:
        assert all(running.priority <= found.priority for found in waiting)
    plan = batch.plan()
    if plan is None:
        return False
    for sequence, tokens in batch.commit(plan, min(count, plan.steps)):
        produced[sequence] += tokens
        if sequence.produced == sequence.final:
            unfinished.remove(sequence)
            assert produced[sequence] == sequence.final
    return True


@then("any sequence of prompts keeps a stand-in prefix cache equal to a simple list")
def step_cache_property(context):
    prompt = st.lists(st.sampled_from("abc"), min_size=1, max_size=6).map(
        lambda blocks: "".join(letter * PREFIX_BLOCK_CHARACTERS for letter in blocks)
    )

    @settings(max_examples=60)
    @for_all(capacity=st.integers(1, 6), prompts=st.lists(prompt, max_size=20))
    def check(capacity, prompts):
        events = CacheEventLog(0.0, 0.0, 1000, "seed")
        cache = PrefixCache(capacity * TOKENS_PER_BLOCK, events)
        oracle = []  # least recently used first
        for text in prompts:
            hashes = block_hashes(text)
            expected = 0
            while expected < len(hashes) and hashes[expected] in oracle:
                expected += 1
            assert cache.match(hashes) == expected * TOKENS_PER_BLOCK
            touch(oracle, hashes[:expected])
            cache.store(hashes)
            kept = hashes[:capacity]
            oracle.extend(found for found in kept if found not in oracle)
            touch(oracle, kept)
            del oracle[: max(0, len(oracle) - capacity)]
            assert cache.use().used_tokens == len(oracle) * TOKENS_PER_BLOCK
        assert replay(cache.events_after(0)) == set(oracle)

    check()


def touch(oracle, hashes):
    for block in reversed(hashes):
        oracle.remove(block)
        oracle.append(block)


def replay(batch):
    assert batch.complete
    held = set()
    for event in batch.events:
        if event.stored:
            held.add(event.block_hash)
        else:
            held.remove(event.block_hash)
    return held


@then(
    "of {count:d} stand-in lengths with median {median:d} the median, the longest and the share "
    "agree"
)
def step_lengths(context, count, median):
    lengths = [natural_length("prompt", seed, median) for seed in range(count)]
    assert abs(statistics.median(lengths) - median) <= 0.05 * median
    assert max(lengths) == LONGEST_TO_MEDIAN * median
    # A lognormal reaches the longest length with probability 0.001: 20 of 20000, give or take.
    assert 8 <= sum(found == max(lengths) for found in lengths) <= 36
