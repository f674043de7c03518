"""Steps of `standins_engine.feature`."""

import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from behave import given, then, when
from returns.result import Success

from bellweir.clients.interface import EngineRole, ErrorKind, FinishReason
from bellweir.clients.pool import ConnectionPool, HttpCall
from bellweir_rehearsal.standins.engine_weights import SwapEnded
from bellweir_rehearsal.standins.faults import FaultKind, FaultOrder
from bellweir_rehearsal.standins.records import (
    GenerationEnded,
    GenerationStarted,
    TokensProduced,
    WorkRefused,
)
from bellweir_rehearsal.standins.token_model import tokens_between
from bellweir_rehearsal.standins.weight_store import (
    PublishedVersion,
    WeightsFetched,
    WeightStoreOptions,
    WeightStoreStandin,
)
from support.standin_engines import TIME_SCALE, StandinEngines, order, read_stream, tokens_of

DRAFT = 10
SLOW_FACTOR = 500.0
"""Makes a step take about a quarter of a second."""


@given('a running stand-in engine "{name}" that holds version {version:d}')
def step_engine(context, name, version):
    if not hasattr(context, "engines"):
        context.engines = StandinEngines(context.cleanup)
    context.engines.start(name, version)


@given('a running stand-in engine "{name}" that loses half of its cache events')
def step_gappy(context, name):
    context.engines.start(name, event_gap_probability=0.5)


@given("a running stand-in weight store that holds version {version:d}")
def step_store(context, version):
    options = WeightStoreOptions(
        time_scale=TIME_SCALE, versions=(PublishedVersion("model", version),)
    )
    context.store = WeightStoreStandin(options)
    context.store.start()
    context.cleanup.callback(context.store.stop)


# --- streams ---


def slow_down(context, name):
    """Make steps so long that nothing ends before the test goes on; ended by `clear_faults`."""
    standin = context.engines.standins[name]
    standin.inject(FaultOrder(FaultKind.SLOW_TOKENS, duration_s=60.0, factor=SLOW_FACTOR))
    return standin


def begin(context, name, call):
    """Start a stream and read its first chunk."""
    context.call = call
    context.stream = context.engines.client(name).generate(call).unwrap()
    context.chunks = iter(context.stream)
    context.first = next(context.chunks).unwrap()


def read_rest(context):
    rest, context.failure = read_stream(context.chunks)
    context.had = [context.first, *rest]


@when('a stand-in stream of {count:d} tokens on "{name}" is cut by a fault after its first tokens')
def step_cut(context, count, name):
    standin = slow_down(context, name)
    begin(context, name, context.engines.call(count))
    standin.inject(FaultOrder(FaultKind.CUT_STREAMS))
    read_rest(context)


@then("the stand-in stream ended with an unknown outcome and without a finish reason")
def step_ended_unknown(context):
    assert context.failure.kind is ErrorKind.UNKNOWN
    assert all(chunk.finish_reason is None for chunk in context.had)
    assert len(tokens_of(context.had)) < context.call.max_tokens


@when('the stand-in stream is resumed on "{name}" from the tokens had')
def step_resume(context, name):
    call = replace(context.call, attempt_id="resumed", prefix_tokens=tokens_of(context.had))
    context.resumed, failure = read_stream(context.engines.client(name).generate(call).unwrap())
    assert failure is None
    assert context.resumed[-1].finish_reason is FinishReason.LENGTH


@then("both parts together are the {count:d} tokens that the stand-in token model gives")
def step_whole(context, count):
    tokens = tokens_of(context.had) + tokens_of(context.resumed)
    assert tokens == tokens_between(context.call.prompt, context.call.seed, 0, count)


@then("the stand-in logs name every token once, with version {version:d}")
def step_logged_tokens(context, version):
    received = {}
    for standin in context.engines.standins.values():
        for record in standin.log.records(TokensProduced):
            assert record.weight_version == version
            assert record.request_id == context.call.request_id
            received.setdefault(record.attempt_id, []).append(record)
    positions = [
        position
        for records in received.values()
        for record in records
        for position in range(record.first_token, record.first_token + record.token_count)
    ]
    assert sorted(positions) == list(range(context.call.max_tokens)), positions


@when(
    'a stand-in stream of {count:d} tokens on "{name}" is closed by its client after its '
    "first tokens"
)
def step_close(context, count, name):
    begin(context, name, context.engines.call(count))
    context.stream.close()


@then('the stand-in engine "{name}" logs that attempt as "{outcome}"')
def step_logged_outcome(context, name, outcome):
    def outcomes():
        records = context.engines.standins[name].log.records(GenerationEnded)
        return [found.outcome for found in records if found.attempt_id == context.call.attempt_id]

    context.wait_until(lambda: outcomes() == [outcome], f"logged as {outcome}")


@then('the stand-in engine "{name}" runs nothing')
def step_runs_nothing(context, name):
    assert context.engines.standins[name].scheduler.is_idle()


@when('a stand-in stream of {count:d} tokens on "{name}" is cancelled by id after its first tokens')
def step_cancel(context, count, name):
    begin(context, name, context.engines.call(count))
    assert isinstance(context.engines.client(name).cancel(context.call.attempt_id), Success)
    read_rest(context)


@then('the stand-in stream ends with finish reason "{reason}"')
def step_finish_reason(context, reason):
    assert context.failure is None
    assert context.had[-1].finish_reason is FinishReason(reason)


# --- load ---


def read_whole(context, name, call):
    return read_stream(context.engines.client(name).generate(call).unwrap())


@given('the stand-in engine "{name}" is slow while {count:d} drafts of {tokens:d} tokens fill it')
def step_drafts(context, name, count, tokens):
    standin = slow_down(context, name)
    context.tokens = tokens
    pool = ThreadPoolExecutor(count + 1)
    context.cleanup.callback(pool.shutdown)
    context.cleanup.callback(standin.clear_faults)
    context.pool = pool
    calls = [context.engines.call(tokens, priority=DRAFT) for _ in range(count)]
    context.drafts = [pool.submit(read_whole, context, name, call) for call in calls]
    places = standin.options.maximum_batch
    context.wait_until(
        lambda: standin.scheduler.load() == (places, count - places), "the batch is full"
    )


@when('a stand-in interactive call of {tokens:d} tokens is made on "{name}" and the slow-down ends')
def step_interactive(context, tokens, name):
    context.interactive = context.engines.call(tokens)
    future = context.pool.submit(read_whole, context, name, context.interactive)
    standin = context.engines.standins[name]
    context.wait_until(
        lambda: sum(standin.scheduler.load()) == len(context.drafts) + 1, "the call is accepted"
    )
    standin.clear_faults()
    _, context.failure = future.result()
    context.ended = standin.log


@then("the stand-in interactive call took a draft's place and ended before any draft")
def step_interactive_first(context):
    assert context.failure is None
    context.wait_until(
        lambda: len(context.ended.records(GenerationEnded)) == len(context.drafts) + 1,
        "every draft ended",
    )
    ended = context.ended.records(GenerationEnded)
    assert ended[0].attempt_id == context.interactive.attempt_id
    assert sum(record.preemptions for record in ended) == 1


@then("every stand-in draft ends whole")
def step_drafts_whole(context):
    assert_all_whole(context.drafts, context.tokens)


def assert_all_whole(futures, tokens):
    for future in futures:
        chunks, failure = future.result()
        assert failure is None, failure
        assert len(tokens_of(chunks)) == tokens


@when('{count:d} stand-in streams of {tokens:d} tokens are read at once from "{name}"')
def step_many(context, count, tokens, name):
    context.tokens = tokens
    with ThreadPoolExecutor(count) as pool:
        calls = [context.engines.call(tokens) for _ in range(count)]
        context.streams = [pool.submit(read_whole, context, name, call) for call in calls]


@then("every one of those stand-in streams is whole")
def step_many_whole(context):
    assert_all_whole(context.streams, context.tokens)


# --- prefix cache ---


def prompt_of(characters, number=0):
    return f"{number:04d}".ljust(characters, "x") + "!"


@when('the same stand-in prompt of {characters:d} characters is generated twice on "{name}"')
def step_twice(context, characters, name):
    context.cache_engine = name
    for _ in range(2):
        call = context.engines.call(3, prompt=prompt_of(characters))
        context.had, _ = read_whole(context, name, call)


@then("the second stand-in answer reports {cached:d} cached prompt tokens of {count:d}")
def step_cached(context, cached, count):
    assert context.had[0].cached_prompt_tokens == cached
    ended = context.engines.standins[context.cache_engine].log.records(GenerationEnded)
    assert [record.cached_prompt_tokens for record in ended] == [0, cached]
    assert {record.prompt_tokens for record in ended} == {count}


@then("the stand-in cache events name the {count:d} blocks of the prompt")
def step_events(context, count):
    batch = context.engines.client("one").read_cache_events(0).unwrap()
    assert batch.complete
    assert [event.sequence for event in batch.events] == list(range(1, count + 1))
    assert all(event.stored for event in batch.events)
    assert batch.next_sequence == count + 1


@when('{count:d} stand-in prompts of {characters:d} characters are generated on "{name}"')
def step_many_prompts(context, count, characters, name):
    for number in range(count):
        read_whole(context, name, context.engines.call(1, prompt=prompt_of(characters, number)))


@then('the stand-in cache events of "{name}" are marked as incomplete')
def step_incomplete(context, name):
    batch = context.engines.client(name).read_cache_events(0).unwrap()
    assert not batch.complete
    assert 0 < len(batch.events) < batch.next_sequence - 1


@then(
    'asking "{name}" after a sequence number of an earlier life gives all events, '
    "marked as incomplete"
)
def step_earlier_life(context, name):
    client = context.engines.client(name)
    everything = client.read_cache_events(0).unwrap()
    assert client.read_cache_events(1_000_000).unwrap() == everything


@when(
    'the KV cache of a stand-in prompt of {characters:d} characters goes from "{source}" to "{to}"'
)
def step_move_kv(context, characters, source, to):
    prompt = prompt_of(characters)
    read_whole(context, source, context.engines.call(1, prompt=prompt))
    context.export = post(context, source, "/kv/export", b'{"prompt": "%s"}' % prompt.encode())
    assert post(context, to, "/kv/import", context.export.body).status == 200


def post(context, name, path, body):
    pool = ConnectionPool(context.engines.standins[name].address)
    context.cleanup.callback(pool.close)
    return pool.call(HttpCall("POST", path, 5.0, {}, body)).unwrap()


@then('the same stand-in prompt on "{name}" reports {cached:d} cached prompt tokens of {count:d}')
def step_moved(context, name, cached, count):
    chunks, _ = read_whole(context, name, context.engines.call(1, prompt=prompt_of(640)))
    assert chunks[0].cached_prompt_tokens == cached
    assert context.engines.standins[name].log.records(GenerationEnded)[0].prompt_tokens == count


@then('an export of other weights is refused by "{name}"')
def step_other_weights(context, name):
    other = context.export.body.replace(b'"weight_version":1', b'"weight_version":9')
    assert other != context.export.body
    assert b"not_run" in post(context, name, "/kv/import", other).body


# --- orders ---


@when('"{name}" is ordered to version {version:d} with fence {fence:d} from the stand-in store')
def step_order(context, name, version, fence):
    context.last_order = order(version, fence, [context.store.address])
    assert isinstance(context.engines.client(name).order(context.last_order), Success)


@when('"{name}" is ordered to version {version:d} with fence {fence:d} from "{source}"')
def step_order_from(context, name, version, fence, source):
    address = context.engines.standins[source].address
    sent = order(version, fence, [address, context.store.address])
    assert isinstance(context.engines.client(name).order(sent), Success)


@when(
    '"{name}" is ordered to version {version:d} with fence {fence:d} from an address where '
    "nobody listens"
)
def step_order_nowhere(context, name, version, fence):
    sent = order(version, fence, ["127.0.0.1:1"])
    assert isinstance(context.engines.client(name).order(sent), Success)


@then('the stand-in engine "{name}" comes to hold version {version:d}')
@when('the stand-in engine "{name}" has come to hold version {version:d}')
def step_holds(context, name, version):
    context.wait_until(
        lambda: context.engines.held_version(name) == version, f"{name} holds {version}"
    )


@then('a stand-in order to version {version:d} with fence {fence:d} to "{name}" is "{kind}"')
def step_order_refused(context, version, fence, name, kind):
    refused = context.engines.client(name).order(order(version, fence, []))
    assert refused.failure().kind is ErrorKind(kind)
    assert context.engines.held_version(name) != version


@then('the stand-in order to "{name}" once more changes nothing')
def step_order_again(context, name):
    state = context.engines.client(name).order(context.last_order).unwrap()
    assert state.weight_version == context.last_order.weight_version
    assert state.order_fence == context.last_order.fence


@then('another stand-in order with the fence of the last one to "{name}" is "{kind}"')
def step_order_differs(context, name, kind):
    other = replace(context.last_order, adapters=("another",))
    assert context.engines.client(name).order(other).failure().kind is ErrorKind(kind)


@given("the stand-in store hangs")
def step_store_hangs(context):
    context.store.inject(FaultOrder(FaultKind.HANG, duration_s=60.0))


@when("the stand-in store hangs no more")
def step_store_goes_on(context):
    context.store.clear_faults()


@then('the stand-in engine "{name}" has logged one swap without an error')
def step_one_swap(context, name):
    ended = context.engines.standins[name].log.records(SwapEnded)
    assert [record.error for record in ended] == [None]
    assert context.engines.client(name).read_state(5.0).unwrap().order_fence == (6, 2)


@then("the stand-in store has been read once")
def step_store_reads(context):
    assert len(context.store.log.records(WeightsFetched)) == 1


@when('a stand-in stream of {count:d} tokens on "{name}" runs while it is ordered to version 2')
def step_swap_within(context, count, name):
    standin = slow_down(context, name)
    begin(context, name, context.engines.call(count))
    step_order(context, name, 2, 5)
    step_holds(context, name, 2)
    standin.clear_faults()
    read_rest(context)


@then("the stand-in stream is whole, begins with version 1 and ends with version 2")
def step_two_versions(context):
    assert context.failure is None
    tokens = tokens_of(context.had)
    assert tokens == tokens_between(context.call.prompt, None, 0, context.call.max_tokens)
    versions = [chunk.weight_version for chunk in context.had]
    assert versions == sorted(versions)
    assert (versions[0], versions[-1]) == (1, 2)


@given('the next stand-in swap on "{name}" fails partway')
def step_swap_fails(context, name):
    fault = FaultOrder(FaultKind.SWAP_FAILS, duration_s=60.0, count=1)
    context.engines.standins[name].inject(fault)


@then('the stand-in engine "{name}" reports a swap error and no version')
def step_no_version(context, name):
    wait_for_swap_error(context, name)
    state = context.engines.client(name).read_state(5.0).unwrap()
    assert state.weight_version is None
    assert not state.ready


@then('the stand-in engine "{name}" reports a swap error and version {version:d}')
def step_old_version(context, name, version):
    wait_for_swap_error(context, name)
    assert context.engines.held_version(name) == version
    assert read_whole(context, name, context.engines.call(2))[1] is None


def wait_for_swap_error(context, name):
    client = context.engines.client(name)
    context.wait_until(
        lambda: client.read_state(5.0).unwrap().swap_error is not None, "a swap error"
    )


# --- refusals ---


def refused_call(context, wanted, name):
    standin = context.engines.standins[name]
    match wanted:
        case "while the engine is leaving":
            standin.set_leaving(leaving=True)
        case "with minimum version 2":
            return context.engines.call(5, minimum_version=2)
        case "whose deadline has passed":
            return context.engines.call(5, deadline_s=-0.1)
        case "for another model":
            return context.engines.call(5, model="another")
        case "as a draft on an interactive role":
            role = replace(order(1, 3, []), role=EngineRole.INTERACTIVE)
            assert isinstance(context.engines.client(name).order(role), Success)
            return context.engines.call(5, priority=DRAFT)
    return context.engines.call(5)


@when('a stand-in call {wanted} is made on "{name}"')
def step_refused_call(context, wanted, name):
    context.call = refused_call(context, wanted, name)
    context.refused = context.engines.client(name).generate(context.call)
    context.refusing = context.engines.standins[name]


@then('the stand-in call is refused as "{kind}" and logged as refused only')
def step_refused(context, kind):
    assert context.refused.failure().kind is ErrorKind(kind)
    refused = context.refusing.log.records(WorkRefused)
    assert [found.attempt_id for found in refused] == [context.call.attempt_id]
    assert not context.refusing.log.records(GenerationStarted)


@then('a stand-in call on "{name}" is refused as "{kind}"')
def step_call_refused(context, name, kind):
    refused = context.engines.client(name).generate(context.engines.call(5))
    assert refused.failure().kind is ErrorKind(kind)


@when('a stand-in draft that nobody can serve within its deadline is made on "{name}"')
def step_waits_too_long(context, name):
    call = context.engines.call(5, priority=DRAFT + 1, deadline_s=0.05)
    context.had, context.failure = read_whole(context, name, call)


@then("the stand-in stream ended as not run")
def step_not_run(context):
    assert context.failure.kind is ErrorKind.NOT_RUN
    assert not context.had


# --- hanging ---


@when(
    "a stand-in stream of {count:d} tokens that permits {silence:g} seconds of silence hangs for "
    "{seconds:d} seconds"
)
def step_silent(context, count, silence, seconds):
    begin(context, "one", context.engines.call(count, silence_s=silence))
    context.engines.standins["one"].inject(FaultOrder(FaultKind.HANG, duration_s=seconds))
    context.cleanup.callback(context.engines.standins["one"].clear_faults)
    read_rest(context)
    assert context.engines.standins["one"].faults.in_force(), "given up while it was silent"


@given('the stand-in engine "{name}" generates nothing for {seconds:d} seconds')
def step_stall(context, name, seconds):
    context.engines.standins[name].inject(FaultOrder(FaultKind.STALL, duration_s=seconds))


@when("a stand-in stream of {count:d} tokens that permits {silence:g} seconds of silence is read")
def step_patient(context, count, silence):
    call = context.engines.call(count, silence_s=silence)
    context.had, context.failure = read_whole(context, "one", call)


@given('the stand-in engine "{name}" hangs')
def step_hang(context, name):
    assert isinstance(context.engines.client(name).read_state(10.0), Success)
    context.engines.standins[name].inject(FaultOrder(FaultKind.HANG, duration_s=60.0))


@then(
    'a stand-in state report of "{name}" with a time limit of {seconds:g} second fails as "{kind}"'
)
def step_state_fails(context, name, seconds, kind):
    assert context.engines.client(name).read_state(seconds).failure().kind is ErrorKind(kind)


@when('a stand-in stream of {count:d} tokens on "{name}" meets a hang after its first tokens')
def step_stream_meets_hang(context, count, name):
    begin(context, name, context.engines.call(count))
    standin = context.engines.standins[name]
    standin.inject(FaultOrder(FaultKind.HANG, duration_s=60.0))
    context.cleanup.callback(context.stream.close)
    context.cleanup.callback(standin.clear_faults)


@then('the stand-in engine "{name}" comes to produce nothing more')
def step_no_progress(context, name):
    standin = context.engines.standins[name]
    sequence = standin.scheduler.sequence_of(context.call.attempt_id)

    def stands_still():
        produced = sequence.produced
        time.sleep(0.5)  # a thousand steps of an engine that goes on
        return sequence.produced == produced

    context.wait_until(stands_still, "no more tokens, once the step under way has ended", 10.0)


@then('a stand-in state report of "{name}" succeeds once the fault has ended')
def step_state_succeeds(context, name):
    context.engines.standins[name].clear_faults()
    assert isinstance(context.engines.client(name).read_state(10.0), Success)
