"""Steps of routing_results.feature: aggregation of per-arm results over several nodes."""

import itertools
import json
import time
from collections import Counter

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from bellweir.resources.interface import ResourceErrorKind
from bellweir.routing.arm_counts import ArmCounts, ArmReport
from bellweir.routing.arm_status import WRITE_INTERVAL_S
from steps.whole_system_steps import POLICY, call, completion, gateways
from support.arm_results_network import COMPARISON, ResultsNetwork

ARMS = ("north", "south")
COMPARISON_PATH = "/apis/bellweir.dev/v1/comparisons/trial"
NODES = 6
ZONES = 3
COUNT = st.tuples(st.just("count"), st.integers(0, 50), st.sampled_from(ARMS))
STEP = st.tuples(st.just("step"), st.sampled_from((0.5, 2.0, 10.0)), st.none())
MESSAGE_FAULT = st.tuples(
    st.just("message"),
    st.integers(0, 50),
    st.sampled_from(("not sent", "request lost", "answer lost")),
)
STORE_FAULT = st.tuples(
    st.just("store"), st.none(), st.sampled_from(("down", "request lost", "answer lost"))
)
LAG = st.tuples(st.just("lag"), st.integers(0, 50), st.booleans())
STOP = st.tuples(st.just("stop"), st.integers(0, 50), st.booleans())
START = st.tuples(st.just("start"), st.integers(0, 50), st.none())
KILL = st.tuples(st.just("kill"), st.integers(0, 50), st.booleans())


def apply_action(network, action, number, detail):
    """Apply an action and return the counts it loses."""
    if action == "step":
        network.step(number)
        return Counter()
    if action == "store":
        network.stored.write_fault = detail
        return Counter()
    node = network.nodes[number % len(network.nodes)]
    if action == "count":
        network.count(node, detail)
    elif action == "message":
        node.fault = detail
    elif action == "lag":
        node.resources.lags = detail
    elif action == "start":
        network.add_node(number)
    elif len(network.nodes) > 1:
        # Half of the stops and crashes hit the reporter, which holds the most pending counts.
        node = network.reporter() if detail else node
        if action == "kill":
            return network.kill(node)
        network.stop(node)
    return Counter()


def run_actions(actions):
    """Apply actions to a new network; return it and the counts lost with crashed nodes."""
    network = ResultsNetwork(NODES, ZONES)
    lost = Counter()
    for action in actions:
        lost += apply_action(network, *action)
    network.clear_faults_and_run()
    return network, lost


@given("arm results over {nodes:d} nodes in {zones:d} zones")
def step_network(context, nodes, zones):
    context.network = ResultsNetwork(nodes, zones)


@when("generations of the comparison are served on every node")
def step_count(context):
    for number, node in enumerate(context.network.nodes):
        context.network.count(node, ARMS[number % len(ARMS)])
        context.network.count(node, ARMS[0])


@then("the arm results in the status equal the served generations")
def step_equal(context):
    network = context.network
    network.clear_faults_and_run()
    assert network.written() == network.counted, (network.written(), network.counted)
    for arm, result in network.arms().items():
        count = network.counted[arm]
        assert result == {
            "started": count,
            "completed": count,
            "failed": 0,
            "tokens": 7 * count,
            "firstTokens": count,
            "firstTokenS": 0.25 * count,
            "wholeS": 1.5 * count,
            "meanFirstTokenS": 0.25,
            "meanWholeS": 1.5,
        }, result


@then("the arm results are exact under any message and store faults")
def step_faults(context):
    @settings(max_examples=100)
    @drawn(st.lists(st.one_of(COUNT, STEP, MESSAGE_FAULT, STORE_FAULT, LAG), max_size=40))
    def check(actions):
        network, _ = run_actions(actions)
        assert network.written() == network.counted, (network.written(), network.counted)

    check()


@then("the arm results are exact under any planned stops")
def step_stops(context):
    @settings(max_examples=100)
    @drawn(st.lists(st.one_of(COUNT, STEP, STOP, START), max_size=40))
    def check(actions):
        network, _ = run_actions(actions)
        assert network.written() == network.counted, (network.written(), network.counted)

    check()


@then("the arm results after node crashes lack only the pending counts of the crashed nodes")
def step_losses(context):
    @settings(max_examples=100)
    @drawn(st.lists(st.one_of(COUNT, STEP, KILL, START, LAG), max_size=40))
    def check(actions):
        network, lost = run_actions(actions)
        assert network.written() == network.counted - lost, (network.written(), lost)

    check()

    @settings(max_examples=100)
    @drawn(
        st.lists(
            st.one_of(COUNT, STEP, KILL, STOP, START, MESSAGE_FAULT, STORE_FAULT, LAG), max_size=40
        )
    )
    def check_never_more(actions):
        network, _ = run_actions(actions)
        assert network.written() <= network.counted, (network.written(), network.counted)

    check_never_more()


@when("generations of the comparison are served on every node for {seconds:d} seconds")
def step_count_long(context, seconds):
    network = context.network
    for _ in range(2 * seconds):
        for node in network.nodes:
            network.count(node, ARMS[0])
        network.step(0.5)


@then("the arm results were written at most {most:d} times")
def step_writes(context, most):
    written_s = context.network.stored.writes_s
    assert 2 <= len(written_s) <= most, written_s
    gaps_s = [after - before for before, after in itertools.pairwise(written_s)]
    assert min(gaps_s) >= WRITE_INTERVAL_S, gaps_s


@then("the arm results are not written while no generations are served")
def step_no_writes(context):
    network = context.network
    network.clear_faults_and_run()
    writes, requests = len(network.stored.writes_s), network.requests
    network.clear_faults_and_run()
    assert (len(network.stored.writes_s), network.requests) == (writes, requests)


@when("the comparison is deleted before its arm results are written")
def step_deleted(context):
    context.network.stored.exists = False
    context.network.clear_faults_and_run()


@then("the arm results of a new comparison of the same name start at zero")
def step_new_comparison(context):
    network = context.network
    network.stored.exists, network.stored.status = True, {}
    network.stored.version += 5
    network.count(network.nodes[0], ARMS[1])
    network.clear_faults_and_run()
    assert network.written() == Counter({ARMS[1]: 1}), network.written()


@when("a node's arm results are accepted and written while all answers to it are lost")
def step_answers_lost(context):
    network = context.network
    node = next(node for node in network.nodes if node is not network.reporter())
    network.count(node, ARMS[0])
    while not network.written():
        node.fault = "answer lost"
        network.step()
    assert node.reports._in_flight.may_be_accepted


@when("the reporter of the arm results crashes")
def step_reporter_lost(context):
    context.network.kill(context.network.reporter())


@when("the reporter crashes after a write that is not yet visible to the next reporter")
def step_late_reporter(context):
    network = context.network
    first = network.reporter()
    for node in network.nodes:
        node.resources.lags = node is not first
    network.count(first, ARMS[0])
    while not network.written():
        network.step()
    network.kill(first)
    network.count(network.reporter(), ARMS[0])
    for _ in range(40):
        network.step()
    assert network.written() == Counter({ARMS[0]: 1}), network.written()


@when("the reporter stops after a successful write whose answer was lost")
def step_unknown_write(context):
    network = context.network
    reporter = network.reporter()
    reporter.resources.lags = True
    network.count(reporter, ARMS[0])
    network.stored.write_fault = "answer lost"
    while not network.written():
        network.step()
    assert reporter.held() == network.counted
    network.stop(reporter)


@when("the nodes with arm results stop one after the other")
def step_all_stop(context):
    network = context.network
    while network.nodes:
        network.stop(network.nodes[0])


@then("conditional status reports are refused unless they name the newest version")
def step_version(context):
    resources, report = context.resources, {"details": {"results": {"mark": "first"}}}
    old = resources.get("Policy", "north").unwrap().version
    new = resources.report_status("Policy", "north", report, version=old).unwrap()
    assert new.version > old
    later = {"details": {"results": {"mark": "second"}}}
    for version in (old, new.version + 1):
        refused = resources.report_status("Policy", "north", later, version=version)
        assert refused.failure().kind is ResourceErrorKind.CONFLICT, refused
    stored = resources.get("Policy", "north").unwrap()
    assert stored.document["status"]["details"] == report["details"], stored


@when("the whole system's comparison serves {count:d} completions on each node")
def step_whole_count(context, count):
    addresses = gateways(context)
    spec = {
        "policy": POLICY,
        "arms": [{"name": name, "policy": POLICY, "share": 1} for name in ARMS],
    }
    document = {"kind": "Comparison", "metadata": {"name": "trial"}, "spec": spec}
    status, _, body = call(addresses[0], "POST", COMPARISON_PATH.rpartition("/")[0], document)
    assert status in (201, 409), (status, body)
    for address in addresses:
        context.wait_until(
            lambda address=address: call(address, "GET", COMPARISON_PATH)[0] == 200, "in force", 60
        )
        for number in range(count):
            headers = {"X-Bellweir-Unit": f"unit-{number}"}
            answer = call(address, "POST", "/v1/completions", completion(4), headers)
            assert answer[0] == 200, answer


def whole_results(address):
    document = json.loads(call(address, "GET", COMPARISON_PATH)[2])
    return document["status"].get("details", {}).get("results", {})


@when("the whole system's reporter is stopped by SIGTERM immediately")
def step_whole_stop(context):
    mark = whole_results(gateways(context)[0])["mark"]
    name = mark.partition("/")[0]
    assert context.system.stop_node(name) == 0
    context.system_address = next(
        node.gateway_address for node in context.system.nodes.values() if node.name != name
    )


@then("the whole system's arm results reach {completed:d} completed")
def step_whole_status(context, completed):
    def is_complete():
        address = getattr(context, "system_address", None) or gateways(context)[-1]
        arms = whole_results(address).get("arms", {})
        sums = [arm["completed"] for arm in arms.values()]
        return len(sums) == len(ARMS) and sum(sums) == completed

    context.wait_until(is_complete, f"the status says {completed} completed", 60)


@when("the routing engines delay each answer by {delay_s:g} s")
def step_slow_engines(context, delay_s):
    def slowed(generate):
        def begin(call_made):
            time.sleep(delay_s)
            return generate(call_made)

        return begin

    for engine in context.cluster.engines:
        engine.generate = slowed(engine.generate)


@then("the arm times are at least {least_s:g} s per generation")
def step_times(context, least_s):
    arms = context.node.statistics().by_arm
    assert sum(arm.first_tokens for arm in arms) == 10
    for arm in arms:
        assert arm.first_token_s >= least_s * arm.first_tokens, arm
        assert arm.whole_s >= arm.first_token_s, arm


@then("reports that arrive again in any order, of any start of their sender, count once")
def step_counted_once(context):
    sent = [(start, sequence) for start in (1, 2, 3) for sequence in (1, 2)]

    @settings(max_examples=100)
    @drawn(again=st.lists(st.sampled_from(sent), max_size=12), data=st.data())
    def check(again, data):
        receiver = ResultsNetwork(1, 1).nodes[0]
        arrivals = list(sent)
        for report in again:
            # A duplicate comes at any time behind its first arrival.
            first = arrivals.index(report)
            arrivals.insert(data.draw(st.integers(first + 1, len(arrivals))), report)
        for start, sequence in arrivals:
            counts = ArmCounts(COMPARISON, ARMS[0], completed=1)
            report = ArmReport("sender", start, sequence, (counts,))
            assert receiver.handlers[ArmReport](None, report).taken
        (total,) = receiver.reports.counts_for(COMPARISON)
        assert total.completed == len(sent), (arrivals, total)

    check()
