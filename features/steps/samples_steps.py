"""Steps of `samples.feature`."""

import itertools

import msgspec
from behave import given, step, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from returns.result import Failure, Success

from bellweir.ledger.interface import LedgerErrorKind
from bellweir.samples.interface import (
    StepErrorKind,
    StepState,
)
from bellweir.samples.messages import CommitSample
from support.samples_calls import (
    SCORER,
    STEP,
    cut_off_first_node,
    declaration,
    declare,
    hold_generations,
    pull,
    pull_all,
    start_cluster,
)
from support.steps_oracle import StepsAgainstOracle
from support.waiting import wait_until


@given("a samples cluster of {nodes:d} nodes")
def step_cluster(context, nodes):
    start_cluster(context, nodes)


@given("a samples cluster of {nodes:d} nodes that run {concurrency:d} generations at once")
def step_small_cluster(context, nodes, concurrency):
    start_cluster(context, nodes, concurrency)


@given("samples engines that hold every generation")
def step_hold(context):
    hold_generations(context)


@given("samples engines that first refuse and then break off")
def step_bad_engines(context):
    context.cluster.engines.refuse = True
    context.cluster.engines.cut_after_tokens = 2


@given("a samples scorer that does not answer")
def step_hold_scorer(context):
    context.cluster.platform.scorer(SCORER).hold.clear()
    context.add_cleanup(context.cluster.platform.scorer(SCORER).hold.set)


@when("a samples step of {prompts:d} prompts with {each:d} samples each and a scorer is declared")
def step_declare_scored(context, prompts, each):
    declare(context, prompts=prompts, per_prompt=each, scorer=SCORER)


@when("a samples step of {prompts:d} prompts with {each:d} samples each and no scorer is declared")
def step_declare(context, prompts, each):
    declare(context, prompts=prompts, per_prompt=each)


@when("the samples step is cancelled")
def step_cancel(context):
    engines = context.cluster.engines
    wait_until(lambda: len(engines.requests) == 4, "all generations run")
    assert context.cluster.any.cancel(STEP).unwrap().state is StepState.CANCELLED


@when("node-2 leads the samples shards while {count:d} generations run")
def step_move_leadership(context, count):
    engines = context.cluster.engines
    wait_until(lambda: len(engines.requests) == count, "all generations run")
    context.cluster.log.lead_all("node-2")
    second = context.cluster.nodes[1].samples
    wait_until(lambda: second.status(STEP).unwrap().running == count, "node-2 knows of them")


@when(
    "node-1 is cut off from the samples cluster while {count:d} generations run, and node-2 leads"
)
def step_cut_off(context, count):
    cluster = context.cluster
    wait_until(lambda: len(cluster.engines.requests) == count, "all generations run")
    engines = cluster.engines
    context.first_requests = [
        r for r in engines.requests if engines.nodes[r.request_id] == "node-1"
    ]
    assert context.first_requests
    cut_off_first_node(context)


@given("a samples ledger that loses every second answer and refuses every third command")
def step_lossy_ledger(context):
    counter = itertools.count(1)

    def fault(_node, _command):
        number = next(counter)
        if number % 3 == 0:
            return LedgerErrorKind.UNAVAILABLE
        return LedgerErrorKind.UNKNOWN if number % 2 == 0 else None

    context.cluster.log.fault = fault


@then("node-2 runs all samples slots that node-1 had")
def step_taken_over(context):
    engines = context.cluster.engines
    seeds = {request.seed for request in context.first_requests}

    def seeds_on_node_2():
        ids = engines.nodes
        return {r.seed for r in engines.requests if ids[r.request_id] == "node-2"}

    wait_until(lambda: seeds <= seeds_on_node_2(), "every slot of node-1 runs on node-2")


@then("the samples engines ran {count:d} generations in all")
def step_generations(context, count):
    assert len(context.cluster.engines.requests) == count


@then("what the cut-off node commits when it comes back changes no samples slot")
def step_late_commits(context):
    cluster = context.cluster
    before = len(cluster.log.commands)
    cluster.log.fault = None

    def late_commits():
        late = {request.request_id for request in context.first_requests}
        commands = [c for c in cluster.log.commands[before:] if isinstance(c, CommitSample)]
        return {c.attempt_id for c in commands} & late == late

    wait_until(late_commits, "the cut-off node commits what it has")
    assert pull_all(context, len(context.samples)) == context.samples


@then("samples steps agree with a simple oracle whatever happens")
def step_oracle(context):
    limits = settings(max_examples=300, stateful_step_count=40)
    run_state_machine_as_test(StepsAgainstOracle, settings=limits)


@step("the samples engines go on")
def step_go_on(context):
    context.cluster.engines.hold.set()


@then("the samples step delivers {count:d} scored samples, one for each slot")
def step_scored(context, count):
    context.samples = pull_all(context, count)
    assert sorted(sample.slot for sample in context.samples) == list(range(count))
    assert all(sample.score == float(len(sample.text)) for sample in context.samples)


@then("the samples step delivers {count:d} unscored samples, one for each slot")
def step_unscored(context, count):
    engines = context.cluster.engines
    if engines.refuse:
        wait_until(lambda: len(engines.requests) >= 2, "refused generations")
        engines.refuse = False
        seen = len(engines.requests)
        wait_until(lambda: len(engines.requests) >= seen + 2, "generations that break off")
        engines.cut_after_tokens = None
    context.samples = pull_all(context, count)
    assert sorted(sample.slot for sample in context.samples) == list(range(count))


@then("each samples segment list covers all tokens and names version {version:d}")
def step_segments(context, version):
    for sample in context.samples:
        assert [segment.weight_version for segment in sample.segments] == [version]
        assert sample.segments[0].token_count == len(sample.tokens) == 3


@then("the samples step is complete once all is acknowledged")
def step_acknowledge(context):
    samples = context.cluster.any
    assert samples.acknowledge(STEP, 5).unwrap().state is StepState.RUNNING
    assert samples.acknowledge(STEP, 6).unwrap().state is StepState.COMPLETE
    assert samples.acknowledge(STEP, 2).unwrap().acknowledged == 6
    assert samples.acknowledge(STEP, 7).failure().kind is StepErrorKind.INVALID


@then("pulling samples from every cursor again gives the same samples")
def step_repeat(context):
    count = len(context.declaration.prompts) * context.declaration.samples_per_prompt
    samples = pull_all(context, count)
    for cursor in range(count):
        again = pull(context, cursor, limit=1)
        assert again.samples == (samples[cursor],)
        assert again.cursor == cursor + 1


@then("declaring the same samples step again is no error")
def step_declare_again(context):
    assert isinstance(context.cluster.any.declare(context.declaration), Success)


@then("declaring it with other samples contents is a conflict")
def step_conflict(context):
    other = declaration(prompts=1, per_prompt=2)
    assert context.cluster.any.declare(other).failure().kind is StepErrorKind.CONFLICT


@then("a samples step with several faults reports all of them")
def step_faults(context):
    faulty = declaration(prompts=0, per_prompt=0, max_tokens=0, staleness_bound_s=-1.0)
    answer = context.cluster.any.declare(faulty)
    assert isinstance(answer, Failure)
    assert answer.failure().kind is StepErrorKind.INVALID
    for place in ("prompts", "samples_per_prompt", "max_tokens", "staleness_bound_s"):
        assert place in answer.failure().detail


@then("every samples generation is cancelled on its engine")
def step_cancelled(context):
    engines = context.cluster.engines
    wait_until(
        lambda: {request.request_id for request in engines.requests} == set(engines.cancelled),
        "all generations cancelled",
    )


@then("pulling samples from the start says that none will follow")
def step_none_follow(context):
    batch = pull(context, 0)
    assert batch.complete
    assert not batch.samples


@then("all {count:d} samples are filled before one of them is scored")
def step_filled(context, count):
    samples = context.cluster.any
    wait_until(lambda: samples.status(STEP).unwrap().filled == count, "all filled")
    assert not pull(context, 0, wait_s=0).samples


@then("after the samples scorer answers, {count:d} samples are delivered")
def step_scorer_answers(context, count):
    context.cluster.platform.scorer(SCORER).hold.set()
    assert len(pull_all(context, count)) == count


@given("a samples segment store that fails each call once")
def step_failing_segments(context):
    context.cluster.segments.fails_first = True


@given("samples engines that give {tokens:d} tokens")
def step_long_answers(context, tokens):
    context.cluster.engines.tokens = tokens


@then("no command in the samples ledger is longer than {limit:d} bytes")
def step_short_commands(context, limit):
    lengths = [len(msgspec.msgpack.encode(command)) for command in context.cluster.log.commands]
    assert max(lengths) <= limit, max(lengths)
