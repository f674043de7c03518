"""The soak of the hosted roles, and the budget of its losses."""

import json
import random
import signal
import time
from collections import Counter
from types import SimpleNamespace
from unittest import mock

import hypothesis.strategies as st
from behave import then, when
from features.support.waiting import wait_until
from hypothesis import given, settings

from bellweir.hosted.serving.client_request import MAX_REPLAY_BYTES
from bellweir_rehearsal.hosted.answer_clients import AnswerClient, wrong_event
from bellweir_rehearsal.hosted.broken_answers import BREAKS, AnswerBreaker
from bellweir_rehearsal.hosted.checks import Check
from bellweir_rehearsal.hosted.clients import Answer, key_of_version
from bellweir_rehearsal.hosted.deployment import EVACUATE_S, HostedDeployment
from bellweir_rehearsal.hosted.full_disk import FullDisk
from bellweir_rehearsal.hosted.kept_clients import LOST_S, KeptClient
from bellweir_rehearsal.hosted.losses import CATCH_UP_S, LossBudget
from bellweir_rehearsal.hosted.machine_faults import ReplaceStore
from bellweir_rehearsal.hosted.platform_faults import NewVersion, WorkersStartAgain
from bellweir_rehearsal.hosted.process_faults import KillGateway, KillStore
from bellweir_rehearsal.hosted.soak import HostedSoak
from bellweir_rehearsal.hosted.soak_faults import (
    ANSWER_FAULTS,
    BUDGET_FAULTS,
    CRASH_FAULTS,
    LASTING_FAULTS,
    PLACES_FAULTS,
    STREAM_FAULTS,
    SUSPENSION_FAULTS,
    TEXT_FAULTS,
    WORKER_CRASH_FAULTS,
)
from bellweir_rehearsal.hosted.worker import MeantAnswer, event_of, stamp_of


@when(
    "a soak of {seconds:d} seconds is played with seed {seed:d} "
    "over {gateways:d} gateways and {stores:d} store machines"
)
def when_soaked(context, seconds, seed, gateways, stores):
    context.soak = HostedSoak(context.folder, seed, seconds, gateways, stores)
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@when(
    "a soak of {seconds:d} seconds is played with seed {seed:d} "
    "over machines that keep ended jobs for {kept:d} seconds"
)
def when_outlasts(context, seconds, seed, kept):
    context.soak = HostedSoak(context.folder, seed, seconds, 3, 3)
    context.soak.deployment.status_s = kept
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@when(
    "a soak of {seconds:d} seconds is played with seed {seed:d} "
    "of losses of power, clocks and changed machines"
)
def when_power_lost(context, seconds, seed):
    context.soak = HostedSoak(context.folder, seed, seconds, 7, 3, only=LASTING_FAULTS)
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@when(
    "a soak of {seconds:d} seconds is played with seed {seed:d} "
    "of workers that start again, new versions and kills"
)
def when_starts(context, seconds, seed):
    kinds = (WorkersStartAgain, WorkersStartAgain, NewVersion, KillGateway, KillStore)
    context.soak = HostedSoak(context.folder, seed, seconds, 3, 3, only=kinds)
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@when(
    "a soak of {seconds:d} seconds is played with seed {seed:d} "
    "of evacuated zones, cold workers and kills"
)
def when_places(context, seconds, seed):
    context.soak = HostedSoak(
        context.folder, seed, seconds, 6, 3, only=PLACES_FAULTS, has_places=True
    )
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@when("a soak of {seconds:d} seconds is played with seed {seed:d} of long texts and lost leaders")
def when_texts(context, seconds, seed):
    context.soak = HostedSoak(
        context.folder, seed, seconds, 3, 3, only=TEXT_FAULTS, has_long_texts=True
    )
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@when(
    "a soak of {seconds:d} seconds is played with seed {seed:d} "
    "of planned stops and refusals under long streams"
)
def when_streams(context, seconds, seed):
    context.soak = HostedSoak(
        context.folder,
        seed,
        seconds,
        3,
        3,
        only=STREAM_FAULTS,
        has_long_texts=True,
        has_streams=True,
    )
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@then("gateways were stopped with streams in hand, and workers refused amid long bodies")
def then_streams_stopped(context):
    soak = context.soak
    stopped = [stop.name for stop in soak.deployment.stops if stop.name.startswith("gateway")]
    logs = [soak.deployment.machines[name].log_file.read_text() for name in set(stopped)]
    draining = [line for log in logs for line in log.splitlines() if '"process_draining"' in line]
    assert any(json.loads(line)["in_flight"] for line in draining), draining
    sizes = {name: size for each in soak._stream_clients for name, size in each.sizes.items()}
    unrun = [one for worker in soak.deployment.models for one in worker.record.unrun_bodies]
    assert any(sizes.get(one.request_id, 0) > MAX_REPLAY_BYTES for one in unrun), unrun


@when(
    "a soak of {seconds:d} seconds is played with seed {seed:d} "
    "of broken answers, planned stops and reloads"
)
def when_broken_answers(context, seconds, seed):
    context.soak = HostedSoak(
        context.folder, seed, seconds, 3, 3, only=ANSWER_FAULTS, has_broken_answers=True
    )
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@then("answers of both services were broken in every way, and whole ones were compared")
def then_broken(context):
    soak = context.soak
    kinds = {kind.__name__ for kind in BREAKS}
    for workers in (soak.deployment.models, soak.deployment.scorers):
        broken = sum((worker.breaker.broken for worker in workers), Counter())
        assert set(broken) == kinds, broken
    for check in (soak.mixed, soak.memory, soak.streams, soak.kept):
        assert check.held, (check.name, check.checked, check.faults[:3])


@then("an answer with another request's status, stamp, id or body is at fault, a meant one is not")
def then_oracle_judges(context):
    meant = MeantAnswer(409, stamp_of("answer-1"), b"whole")
    record = SimpleNamespace(meant={"answer-1": [meant]})
    worker = SimpleNamespace(record=record, breaker=AnswerBreaker())
    deployment = SimpleNamespace(workers=[worker], scorers=[worker])
    check = Check("whole")
    client = AnswerClient("answer", deployment, Check("kept"), check, random.Random(1))
    own = {"X-Bellweir-Attempt-Id": "answer-1", "X-Bellweir-Server-Stamp": meant.stamp}
    unstamped = {"X-Bellweir-Attempt-Id": "answer-1"}
    for status, headers, body in (
        (200, own, b"whole"),
        (409, {**own, "X-Bellweir-Attempt-Id": "answer-2"}, b"whole"),
        (409, {**own, "X-Bellweir-Server-Stamp": stamp_of("answer-2")}, b"whole"),
        (409, own, b"whol"),
        (200, unstamped, b"whole"),
        (409, unstamped, b"whole"),
    ):
        before = len(check.faults)
        client._judge("answer-1", _answer_like(status, headers), body)
        assert len(check.faults) == before + 1, (status, headers, body)
    faults = len(check.faults)
    client._judge("answer-1", _answer_like(409, own), b"whole")
    client._judge("answer-1", _answer_like(502, {}), b"")
    assert len(check.faults) == faults, check.faults


def _answer_like(status, headers):
    return SimpleNamespace(
        status=status, getheader=lambda name, default=None: headers.get(name, default)
    )


@then("a stream with an event lost, repeated, mixed or changed is at fault, a cut one is not")
def then_streams_judged(context):
    events = [event_of("serial-1", number, "llm-0/1") for number in range(1, 5)]
    other = event_of("serial-2", 2, "llm-0/1")
    assert wrong_event("serial-1", b"".join(events)) is None
    for length in range(len(b"".join(events))):
        assert wrong_event("serial-1", b"".join(events)[:length]) is None, length
    for wrong in (
        [events[0], events[2]],
        [events[0], events[0]],
        [events[0], other],
        [events[0], events[1].replace(b"piece", b"peace")],
        [events[0], b"x" + events[1]],
    ):
        assert wrong_event("serial-1", b"".join(wrong)) is not None, wrong


@when("a soak of {seconds:d} seconds is played with seed {seed:d} of suspended machines")
def when_suspended(context, seconds, seed):
    context.soak = HostedSoak(context.folder, seed, seconds, 3, 3, only=SUSPENSION_FAULTS)
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@when(
    "a soak of {seconds:d} seconds is played with seed {seed:d} "
    "of items that fail while their leaders are lost"
)
def when_failing(context, seconds, seed):
    context.soak = HostedSoak(context.folder, seed, seconds, 3, 3, only=BUDGET_FAULTS)
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@then("items have failed at each run and are listed as dead after few runs")
def then_failed(context):
    assert context.soak.failing.held, (context.soak.strikes, context.soak.failing.faults)


@when("a soak of {seconds:d} seconds is played with seed {seed:d} of requests that crash workers")
def when_crashing(context, seconds, seed):
    context.soak = HostedSoak(context.folder, seed, seconds, 6, 3, only=CRASH_FAULTS)
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@when(
    "a soak of {seconds:d} seconds is played with seed {seed:d} "
    "of workers that crash in series beside requests that crash them"
)
def when_crashing_in_series(context, seconds, seed):
    context.soak = HostedSoak(
        context.folder, seed, seconds, 3, 3, only=WORKER_CRASH_FAULTS, has_long_texts=True
    )
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@then("workers crashed in series, and items and innocent requests were served after it")
def then_served_after(context):
    soak = context.soak
    assert all(soak.strikes[name] for name in ("WorkerCrashes", "CrashingWork")), soak.strikes
    for check in (soak.crashing, soak.placed, soak.served):
        assert check.held, (check.name, check.checked, check.faults[:3])


@then("requests have crashed three workers, and reached few after that")
def then_few(context):
    assert context.soak.crashing.held, (context.soak.strikes, context.soak.crashing.faults)


@then("machines of both kinds were suspended, and a version was named")
def then_suspended(context):
    strikes = context.soak.strikes
    assert all(strikes[name] for name in ("SuspendStore", "SuspendGateway", "NewVersion")), strikes


@then("texts were taken up in their middle, and all are joined as they were asked for")
def then_joined(context):
    records = [worker.record for worker in context.soak.deployment.models]
    taken_up = [run for record in records for run, after in record.asked_after.items() if after]
    assert taken_up, "no run was asked to go on in the middle"
    assert context.soak.joins.held, context.soak.joins.faults


@then("zones were evacuated for longer than an evacuation may take, and workers were cold")
def then_places_seen(context):
    evacuations = context.soak.deployment.evacuations
    lasted_s = [one.until_s - one.since_s for one in evacuations]
    assert max(lasted_s, default=0.0) > EVACUATE_S, lasted_s
    assert context.soak.evacuated.checked > 0, lasted_s
    assert context.soak.cold.checked > 0, lasted_s


@then("workers of both kinds have started again")
def then_started_again(context):
    deployment = context.soak.deployment
    assert any(worker.starts > 1 for worker in deployment.models)
    assert any(worker.starts > 1 for worker in deployment.scorers)


@when("a soak of {seconds:d} seconds is played with seed {seed:d} of full disks alone")
def when_full(context, seconds, seed):
    context.soak = HostedSoak(context.folder, seed, seconds, 3, 3, only=(FullDisk,))
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@then("a process ended by itself with exit code 1 and came back with what it had")
def then_came_back(context):
    deployment = context.soak.deployment
    assert deployment.own_ends, context.soak.strikes
    assert all(end.is_owed for end in deployment.own_ends), deployment.own_ends
    assert deployment.refilled, context.soak.strikes
    assert not deployment.not_whole, deployment.not_whole


@then("a machine that another fault took away is struck no more, and nothing is lost by it")
def then_struck_no_more(context):
    deployment = HostedDeployment(context.folder, gateways=1, stores=3)
    context.cleanup.callback(deployment.close)
    budget = LossBudget(deployment.names("store"), 1)
    fault = KillStore(deployment, budget, random.Random(1))
    deployment.remove_machine("store-2")
    budget.remove("store-2")
    assert not fault.begin(["store-2"])
    assert budget.take(["store-0"]), "the loss is still free"


@then("a machine that is replaced is struck until it is gone")
def then_struck_until_gone(context):
    deployment = HostedDeployment(context.folder, gateways=1, stores=3)
    context.cleanup.callback(deployment.close)
    deployment.start_machine = lambda _name: None
    budget = LossBudget(deployment.names("store"), 1)
    fault = ReplaceStore(deployment, budget, random.Random(1))
    fault.one_of = lambda _role: ["store-2"]
    assert fault.begin()
    remove, free = deployment.remove_machine, []

    def noted(name):
        free.append(budget.free([name]))
        remove(name)

    deployment.remove_machine = noted
    fault.end()
    assert free == [[]], free
    assert "store-2" not in deployment.machines
    assert "store-3" in deployment.machines


@then("a request that times out unread on a connection of that time is no fault, one that ran is")
def then_unread_at_start(context):
    for has_started, ran, is_fault in ((False, 0, False), (True, 0, True), (False, 1, True)):
        record = SimpleNamespace(ran=Counter({"r": ran}))
        worker = SimpleNamespace(record=record, breaker=AnswerBreaker())
        deployment = SimpleNamespace(
            workers=[worker],
            scorers=[worker],
            touched=SimpleNamespace(left_alone=lambda *_arguments, **_planned: True),
        )
        check = Check("kept")
        client = KeptClient("kept", deployment, check, random.Random(1))
        client._has_started = has_started
        client._judge_cut("gateway-0", "r", time.monotonic() - 2 * LOST_S, TimeoutError())
        assert bool(check.faults) == is_fault, (has_started, ran, check.faults)


@then("a machine that is back counts as lost until its process has had its time to catch up")
def then_lost_until_begun(context):
    soak = HostedSoak(context.folder, 1, 1.0, 1, 3, catch_up_s=0.2)
    context.cleanup.callback(soak.close)
    budget, machine = soak._budget, soak.deployment.machines["store-0"]
    assert budget.take(["store-0"], disks=["store-0"])
    soak.deployment.start_machine("store-0")
    soak.deployment.signal("store-0", signal.SIGSTOP)
    budget.give_back(["store-0"])
    until_s = time.monotonic() + 3 * 0.2
    while time.monotonic() < until_s:
        soak._look_once()
        assert not budget.take(["store-1"], disks=["store-1"]), "two disks are lost then"
    soak.deployment.signal("store-0", signal.SIGCONT)
    wait_until(lambda: machine.has_started, "it serves", 30)
    soak._look_once()
    wait_until(lambda: budget.take(["store-1"], disks=["store-1"]), "it has caught up", 30)


@then(
    "a gateway that says 503 for a key is asked again, and one that serves a gone key is at fault"
)
def then_asked_again(context):
    for of_gone_key, holds in (([503, 401], True), ([200], False), ([503, 200], False)):
        soak = HostedSoak(context.folder, 1, 1.0, 1, 3)
        context.cleanup.callback(soak.close)
        answers = {key_of_version(2): [503, 200], key_of_version(1): of_gone_key}

        def answer(*arguments, answers=answers):
            return Answer(answers[arguments[-1]].pop(0), {}, b"")

        with mock.patch("bellweir_rehearsal.hosted.soak.call", answer):
            soak._check_keys("gateway-0", 2, time.monotonic() + 30)
        assert soak.configured.held == holds, soak.configured.faults


@then("the run ended with disks lost while all others lost power")
def then_last(context):
    assert context.soak.strikes["LastFault"] == 1, context.soak.strikes
    assert context.soak.served_again_s is not None


@then("faults have struck and everything that must hold of the soak has held")
def then_held(context):
    assert context.soak.strikes, "no fault struck"
    # No stop and no retirement may have been drawn in so short a time.
    broken = [check for check in context.soak.checks if not context.soak.holds(check)]
    told = [(check.name, check.checked, check.faults[:3]) for check in broken]
    assert not broken, (told, context.soak.strikes)


@then("at any order of faults no more disks are lost at once than tolerated")
def then_within(context):
    stores = [f"store-{number}" for number in range(5)]
    everyone = [*stores, "gateway-0"]
    part = st.lists(st.sampled_from(everyone), max_size=2, unique=True)
    taken = st.one_of(
        st.tuples(part, st.just(())),
        part.map(lambda names: (names, tuple(names))),
        st.just((everyone, ())),
        st.tuples(
            st.just(everyone),
            st.lists(st.sampled_from(stores), max_size=3, unique=True),
        ),
    )
    step = st.tuples(taken, st.sampled_from(["take", "give back", "replace"]), st.floats(0, 6))

    @settings(max_examples=300)
    @given(steps=st.lists(step, max_size=30))
    def within(steps):
        budget, oracle, now_s = LossBudget(stores, 2), LossOracle(stores), 0.0
        for (names, disks), what, passed_s in steps:
            now_s += passed_s
            if what == "take":
                if budget.take(names, now_s=now_s, disks=disks):
                    oracle.check_taken(names, disks, now_s)
            elif oracle.struck:
                returned, _ = oracle.struck.pop(0)
                single = len(returned) == 1 and returned[0] in oracle.stores
                if what == "replace" and single:
                    successor = f"store-{len(oracle.ever)}"
                    budget.replace(returned[0], successor, at_s=now_s)
                    oracle.replaced(returned[0], successor, now_s)
                else:
                    budget.give_back(returned, at_s=now_s)
                    oracle.returned(returned, now_s)

    within()


class LossOracle:
    """What is lost, told from every step that a budget allowed."""

    def __init__(self, stores):
        self.stores = set(stores)
        self.ever = list(stores)
        self.struck = []
        self.back_s = {}
        self.disks = set()
        self.removed = []
        """Each removed machine with the successor that has to catch up."""
        self.twice = set()
        """Successors that were struck before they had caught up."""

    def lost(self, now_s):
        held = {name for names, _ in self.struck for name in names}
        late = {name for name, until_s in self.back_s.items() if until_s > now_s}
        return (held | late) & self.stores

    def check_taken(self, names, disks, now_s):
        assert not any(set(names) & set(held) for held, _ in self.struck)
        lost, wanted = self.lost(now_s), set(names) & self.stores
        self.disks &= lost
        self.removed = [(gone, successor) for gone, successor in self.removed if successor in lost]
        self.twice = {name for name in self.twice | wanted if name in dict(self.successors())}
        ghosts = {gone for gone, successor in self.removed if successor in self.twice}
        if not wanted or len(lost | wanted | ghosts) <= 2:
            pass
        else:
            # Beyond what is tolerated, all go at once and nothing is struck besides.
            assert wanted == self.stores
            assert not (self.disks if not disks else lost)
        self.disks |= set(disks)
        assert len(self.disks & self.stores) <= 2
        self.struck.append((names, disks))

    def successors(self):
        return [(successor, gone) for gone, successor in self.removed]

    def returned(self, names, now_s):
        self.back_s |= {name: now_s + CATCH_UP_S for name in names if name in self.stores}

    def replaced(self, gone, successor, now_s):
        self.stores = (self.stores - {gone}) | {successor}
        self.ever.append(successor)
        # What the removed one stood in for is now its successor's to make good.
        self.removed = [(each, successor if held == gone else held) for each, held in self.removed]
        self.removed.append((gone, successor))
        if gone in self.twice:
            self.twice = (self.twice - {gone}) | {successor}
        self.back_s[successor] = now_s + CATCH_UP_S
        self.disks.add(successor)


@then(
    "a machine counts as whole once it has had its time to catch up, a removed one's successor too"
)
def then_counts(context):
    stores = [f"store-{number}" for number in range(3)]
    budget = LossBudget(stores, 1)
    assert budget.take(["store-0"], now_s=0.0, disks=["store-0"])
    budget.give_back(["store-0"], at_s=1.0)
    assert not budget.take(["store-1"], now_s=1.0 + CATCH_UP_S - 0.01)
    assert budget.take(["store-1"], now_s=1.0 + CATCH_UP_S + 0.01, disks=["store-1"])
    budget.replace("store-1", "store-3", at_s=10.0)
    assert not budget.take(["store-3"], now_s=10.0 + CATCH_UP_S - 0.01), "two disks are lost then"
    assert not budget.take(["store-2"], now_s=10.0 + CATCH_UP_S - 0.01)
    assert budget.take(["store-2"], now_s=10.0 + CATCH_UP_S + 0.01)


@then("a disk may be lost while all others lose power, unless a machine is lost besides")
def then_pair(context):
    stores = [f"store-{number}" for number in range(3)]
    budget = LossBudget(stores, 1)
    assert not budget.take(stores, now_s=0.0, disks=stores[:2]), "more disks than tolerated"
    assert budget.take(stores, now_s=0.0, disks=stores[:1])
    budget.give_back(stores, at_s=1.0)
    assert not budget.take(stores, now_s=1.0 + CATCH_UP_S - 0.01, disks=stores[1:2])
    assert not budget.take(stores, now_s=1.0 + CATCH_UP_S - 0.01), "a disk is not caught up"
    assert budget.take(stores, now_s=1.0 + CATCH_UP_S + 0.01, disks=stores[1:2])
