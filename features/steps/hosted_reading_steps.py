"""Reads of results at gateways, in any state of the ledger's leader and replicas."""

import io
import itertools
import json
import threading
from types import SimpleNamespace

import hypothesis.strategies as st
import msgspec
from behave import given as given_step
from behave import then, when
from features.steps.hosted_batch_calls_steps import ROUTE, call
from features.steps.ledger_relay_steps import DATA, OTHERS, append
from features.steps.ledger_relay_steps import KEY as ITEMS_KEY
from features.support.hosted_jobs import make_job
from features.support.hosted_readings import (
    NO_LEADER,
    NO_OUTCOME,
    LaggingReplica,
    ReplicatedLedger,
)
from features.support.ledger_nodes import ItemList, ReadItems
from features.support.waiting import wait_until
from hypothesis import given, settings
from returns.result import Failure, Success

from bellweir.events.log import configure_logs
from bellweir.hosted.batches.api import BatchApi
from bellweir.hosted.batches.committer import Committer
from bellweir.hosted.batches.progress import ItemProgress
from bellweir.hosted.batches.result_cache import ResultCache
from bellweir.hosted.batches.state import (
    AcceptJob,
    BatchJobs,
    EndJob,
    ItemResult,
    KeepParts,
    ReadResults,
    RecordResults,
    ResultsRecorded,
    StageItems,
    TextCheckpoint,
)
from bellweir.hosted.batches.text_compression import compress_text
from bellweir.ledger.machines import Codec
from bellweir.ledger.messages import PeekAnswer
from bellweir.ledger.nearby import NearbyReads
from bellweir.wire.interface import WireError, WireErrorKind
from bellweir_platform.headers import HEADERS, PATHS

CLIENT_TIMEOUT_S = 1.5
"""Client timeout beyond the requested hold time."""
PAGE_LIMIT_BYTES = 1_000_000
ITEMS = 12
GATEWAYS = 3
TEXTS = {
    "none": "",
    "short": "t",
    "line feeds": "\n" * 150_000,
    "letters": "a" * 250_000,
    "ideographs": "深" * 150_000,
}
OWNERS = {"job": "", "owned": "dealers", "late": ""}


def read(api, job_id, after, tenant=""):
    return api.serve_job_request(call("GET", f"/api/lots/{job_id}", query=f"after={after}"), tenant)


def accept_commands(job_id):
    """Return the commands that accept a job; the owned one is staged in two parts."""
    job = msgspec.structs.replace(make_job(job_id, ITEMS, 1), tenant=OWNERS[job_id])
    if job_id != "owned":
        return [AcceptJob(job)]
    staged = [
        StageItems(job_id, 0, job.items[:5]),
        StageItems(job_id, 1, job.items[5:]),
    ]
    return [*staged, AcceptJob(msgspec.structs.replace(job, items=()), 2)]


class ReadModel:
    """Gateways of one ledger, with a model of each job's results."""

    def __init__(self, cache_bytes):
        self.cache_bytes = cache_bytes
        first = ReplicatedLedger()
        self.ledgers = [first] + [ReplicatedLedger(first, zone) for zone in range(1, GATEWAYS)]
        self.apis = [BatchApi(ledger, HEADERS, PATHS) for ledger in self.ledgers]
        for api in self.apis:
            api._cache = ResultCache(cache_bytes)
        self.recorded = {}
        self.ended = set()
        self.shown = {}
        """Number of results that a gateway has shown to a tenant, from position 0 without a gap."""
        self.pages = self.deferred = 0
        self.accept("job")
        self.record("job", ("short", "none", "short", "short"))

    def accept(self, job_id):
        if job_id not in self.recorded:
            for command in accept_commands(job_id):
                self.ledgers[0].submit("", command, 1.0)
            self.recorded[job_id] = []

    def record(self, job_id, texts):
        if job_id not in self.recorded:
            return
        known = self.recorded[job_id]
        results = [
            ItemResult.from_text(f"{job_id}-{at}", True, TEXTS[text], (at,))
            for at, text in enumerate(texts, len(known))
            if at < ITEMS
        ]
        # A duplicate changes nothing.
        again = [ItemResult.from_text(f"{job_id}-0", True, "other", (9,))] if known else []
        self.ledgers[0].submit("", RecordResults(job_id, (*again, *results)), 1.0)
        if job_id not in self.ended:
            known.extend(results)

    def end(self, job_id):
        tenant = OWNERS[job_id]
        self.ledgers[0].submit("", EndJob(job_id, 5.0, tenant), 1.0)
        if job_id in self.recorded:
            self.ended.add(job_id)

    def disturb(self, what, number):
        replica = self.ledgers[0].replicas[number % GATEWAYS]
        if what == "copy":
            replica.copy(self.ledgers[0].log, number)
        elif what == "remove":
            replica.is_member = False
        elif what == "silence":
            replica.answers = not replica.answers
        elif what == "wipe":
            replica.wipe()
        elif what == "restart":
            replica.restart()
        else:
            self.ledgers[0].leader["kind"] = (None, NO_LEADER, NO_OUTCOME)[number % 3]

    def read(self, gateway, job_id, after, tenant):
        answer = read(self.apis[gateway], job_id, after, tenant)
        is_shown = job_id in self.recorded and OWNERS[job_id] in ("", tenant)
        leads = self.ledgers[0].leader["kind"] is None
        if answer.status == 404:
            assert leads, "404 while the leader does not answer"
            assert not is_shown, "404 for an accepted job"
        elif answer.status == 503:
            assert not leads, "deferred although the leader answers"
            assert not (is_shown and self._is_known(gateway, job_id, after, tenant)), (
                "deferred although a node has the position"
            )
            self.deferred += 1
        else:
            assert answer.status == 200
            assert is_shown
            self._check_page(answer.body, gateway, job_id, after, tenant)

    def _check_page(self, body, gateway, job_id, after, tenant):
        page, recorded = json.loads(body), self.recorded[job_id]
        expected = recorded[after : after + len(page["results"])]
        assert page["total"] == ITEMS
        assert page["next"] == after + len(page["results"])
        assert [(one["id"], one["text"]) for one in page["results"]] == [
            (one.item_id, one.full_text) for one in expected
        ]
        assert page["results"] or after >= len(recorded), "no result at a recorded position"
        assert len(body) <= PAGE_LIMIT_BYTES or len(page["results"]) == 1
        key = (gateway, job_id, tenant)
        if after <= self.shown.get(key, 0):
            self.shown[key] = max(self.shown.get(key, 0), page["next"])
        self.pages += 1

    def _is_known(self, gateway, job_id, after, tenant):
        """Whether this gateway's cache, or a replica that answers, has a position."""
        is_cached = self.cache_bytes > 1 << 20 and after < self.shown.get(
            (gateway, job_id, tenant), 0
        )
        states = [
            replica.machine.jobs.get(job_id)
            for replica in self.ledgers[0].replicas
            if replica.answers
        ]
        known = [state for state in states if state is not None]
        return is_cached or any(after < len(state.results) or after >= ITEMS for state in known)


jobs = st.sampled_from(sorted(OWNERS))
FAULTS = ("copy", "copy", "remove", "silence", "wipe", "restart", "leader", "leader")
step = st.one_of(
    st.tuples(st.just("accept"), jobs),
    st.tuples(st.just("record"), jobs, st.lists(st.sampled_from(sorted(TEXTS)), max_size=5)),
    st.tuples(st.just("end"), jobs),
    st.tuples(st.just("disturb"), st.sampled_from(FAULTS), st.integers(0, 8)),
    *[
        st.tuples(
            st.just("read"),
            st.integers(0, GATEWAYS - 1),
            jobs,
            st.integers(0, ITEMS + 1),
            st.sampled_from(("", "dealers")),
        )
    ]
    * 3,
)


@then("pages are slices of the leader's list, and reads deferred only if no node has the position")
def then_readings(context):
    seen = SimpleNamespace(pages=0, deferred=0)

    @settings(max_examples=200)
    @given(
        steps=st.lists(step, min_size=15, max_size=40),
        cache_bytes=st.sampled_from((0, 700, 3_000, 1 << 24)),
    )
    def readings(steps, cache_bytes):
        model = ReadModel(cache_bytes)
        for what, *values in steps:
            getattr(model, what)(*values)
        model.disturb("leader", 0)
        for gateway in range(GATEWAYS):
            _read_whole(model, gateway)
        seen.pages += model.pages
        seen.deferred += model.deferred

    readings()
    assert seen.pages > 1_000, seen
    assert seen.deferred > 20, seen


def _read_whole(readings, gateway):
    """Read all results that the leader has, from the first one on."""
    at = 0
    while at < len(readings.recorded["job"]):
        answer = read(readings.apis[gateway], "job", at)
        readings._check_page(answer.body, gateway, "job", at, "")
        at = json.loads(answer.body)["next"]


@given_step("a job with {count:d} results, of which the replica of the reader's zone has {near:d}")
def given_results(context, count, near):
    context.ledger = ReplicatedLedger()
    context.api = BatchApi(context.ledger, HEADERS, PATHS)
    context.ledger.submit("", AcceptJob(make_job("job", ITEMS, 1)), 1.0)
    for at in range(count):
        result = ItemResult.from_text(f"job-{at}", True, f"text {at}", (1,))
        context.ledger.submit("", RecordResults("job", (result,)), 1.0)
    for replica in context.ledger.replicas:
        replica.copy(context.ledger.log, 1 + near if near else 0)


@given_step("a replica of another zone that has all of them")
def given_other_zone(context):
    context.ledger.replicas[2].copy(context.ledger.log, 100)


@when("no leader is found, and each call uses its whole timeout")
def when_no_leader(context):
    context.ledger.leader["kind"] = NO_LEADER


def _read_in_time(context, after):
    """Read; check that all calls fit into the client's timeout, if each uses its own up."""
    context.ledger.waits_s.clear()
    answer = read(context.api, "job", after)
    # The replica of the zone may answer just before its timeout.
    assert sum(context.ledger.waits_s) + 0.15 < CLIENT_TIMEOUT_S, context.ledger.waits_s
    return answer


@then("a read from {after:d} returns {count:d} results before the client's timeout")
def then_in_time(context, after, count):
    answer = _read_in_time(context, after)
    assert answer.status == 200, answer.status
    page = json.loads(answer.body)
    assert [one["id"] for one in page["results"]] == [
        f"job-{at}" for at in range(after, after + count)
    ]
    assert (page["total"], page["next"]) == (ITEMS, after + count)


@then("a read from {after:d} is deferred before the client's timeout")
def then_deferred(context, after):
    assert _read_in_time(context, after).status == 503


class ScriptedPeers:
    """Transport, membership and locator: a replica answers, is silent or is empty."""

    def __init__(self, replicas, zones):
        self.codec = Codec([BatchJobs])
        self.replicas = {f"store-{at}": replica for at, replica in enumerate(replicas)}
        self.zones = zones
        self.asked = []

    def request(self, address, message, timeout_s):
        self.asked.append((address, timeout_s))
        replica = self.replicas[address]
        if not replica.answers:
            return Failure(WireError(WireErrorKind.NO_ANSWER, "test"))
        if replica.machine is None:
            return Success(PeekAnswer(None))
        reply = replica.machine.answer(self.codec.decode(message.payload, ReadResults))
        return Success(PeekAnswer(self.codec.encode(reply)))

    def member(self, node):
        return SimpleNamespace(node=node, peer_address=node, zone=self.zones[int(node[-1])])

    def candidates(self, shard):
        return list(self.replicas)


@then("each replica that answers is heard, and none uses more than its share of the timeout")
def then_replicas_asked(context):
    kinds = st.sampled_from(("behind", "whole", "removed", "wiped", "silent"))

    @settings(max_examples=80)
    @given(found=st.lists(kinds, min_size=1, max_size=5))
    def asked(found):
        log = [*accept_commands("job")]
        log += [RecordResults("job", (ItemResult(f"job-{at}", True, "t"),)) for at in range(6)]
        replicas = []
        for kind in found:
            replica = LaggingReplica()
            replica.copy(log, {"behind": 3, "whole": 100, "removed": 2}.get(kind, 0))
            replica.answers = kind != "silent"
            replica.machine = None if kind == "wiped" else replica.machine
            replicas.append(replica)
        peers = ScriptedPeers(replicas, "abcde")
        reads = NearbyReads("a", None, peers.codec, peers, peers, peers, lambda _shard: "store-0")
        answers = reads.ask_all(0, ReadResults("job", 0, 1 << 20), 0.3)
        counts = {"behind": 2, "whole": 6, "removed": 1}
        assert [len(answer.results) for answer in answers] == [
            counts[kind] for kind in found if kind in counts
        ]
        assert all(timeout_s <= 0.3 / len(found) + 1e-9 for _, timeout_s in peers.asked)

    asked()


CHARACTERS = {"letters": "a", "line feeds": "\n", "ideographs": "深"}


@given_step("a job with {count:d} results of {length:d} {characters}")
def given_long(context, count, length, characters):
    context.ledger = ReplicatedLedger()
    context.api = BatchApi(context.ledger, HEADERS, PATHS)
    context.long_text = CHARACTERS[characters] * length
    context.ledger.submit("", AcceptJob(make_job("job", count, 1)), 1.0)
    results = [
        ItemResult.from_text(f"job-{at}", True, context.long_text, (1,)) for at in range(count)
    ]
    context.ledger.submit("", RecordResults("job", tuple(results)), 1.0)
    context.count = count


@then("each page has at most {limit:d} bytes, and together they hold all results")
def then_bounded(context, limit):
    at = 0
    while at < context.count:
        answer = read(context.api, "job", at)
        page = json.loads(answer.body)
        assert len(answer.body) <= limit, len(answer.body)
        assert [one["id"] for one in page["results"]] == [
            f"job-{number}" for number in range(at, page["next"])
        ]
        assert all(one["text"] == context.long_text for one in page["results"])
        assert page["next"] > at
        at = page["next"]


@given_step("a job with a text that holds an invalid UTF-8 byte")
def given_lone_byte(context):
    context.ledger = ReplicatedLedger()
    context.api = BatchApi(context.ledger, HEADERS, PATHS)
    context.ledger.submit("", AcceptJob(make_job("job", 2, 1)), 1.0)
    text = b"a\x80\nb".decode("utf-8", "surrogateescape")
    result = ItemResult.from_text("job-0", True, text, (1,))
    context.ledger.submit("", RecordResults("job", (result,)), 1.0)


@then("its page can be read, with a replacement character for the byte")
def then_marked(context):
    page = json.loads(read(context.api, "job", 0).body)
    assert [one["text"] for one in page["results"]] == ["a\ufffd\nb"]


@then("results that one tenant has read are not shown to another one")
def then_apart(context):
    ledger = ReplicatedLedger()
    api = BatchApi(ledger, HEADERS, PATHS)
    job = msgspec.structs.replace(make_job("b/job", 1, 1), tenant="a")
    ledger.submit("", AcceptJob(job), 1.0)
    ledger.submit("", RecordResults("b/job", (ItemResult("b/job-0", True, "t"),)), 1.0)
    assert read(api, "b/job", 0, "a").status == 200
    assert read(api, "job", 0, "a/b").status == 404


@then("results read before the end are read after it, from snapshots and from replays")
def then_ended(context):
    whats = st.sampled_from(("keep", "keep", "keep", "again", "record", "record", "whole", "end"))
    steps_of = st.lists(st.tuples(whats, st.integers(0, 3)), min_size=5, max_size=25)
    seen = SimpleNamespace(joined=0, ended=0)

    @settings(max_examples=200)
    @given(steps=steps_of, cut=st.integers(0, 25))
    def ended(steps, cut):
        commands = _commands(steps)
        replica, other = BatchJobs(), BatchJobs()
        pages = []
        for at, command in enumerate(commands):
            replica.apply(command)
            other.apply(command)
            if at == cut:
                saved, other = other.save(), BatchJobs()
                other.load(saved)
            pages.append(_texts(replica))
            assert _texts(other) == pages[-1]
        for before, after in itertools.pairwise(pages):
            assert after[: len(before)] == before
        for item_id, text, _ in pages[-1]:
            *parts, last = text.split("\n")
            assert parts == [f"kept {item_id[-1]} {at}" for at in range(len(parts))]
            assert last == ("tail" if parts else "whole")
        seen.joined += sum("\n" in text for _, text, _ in pages[-1])
        seen.ended += bool(pages[-1]) and not replica.jobs["job"].is_open

    ended()
    assert seen.joined > 50, "too few results with checkpoints"
    assert seen.ended > 20, "too few jobs that ended with results"


def _commands(steps):
    """Return commands that checkpoint texts of four items, and record their results."""
    commands = [AcceptJob(make_job("job", 4, 1))]
    kept = dict.fromkeys(range(4), 0)
    for what, item in steps:
        item_id = f"job-{item}"
        if what in ("keep", "again"):
            # A new leader may repeat the newest checkpoint.
            after = kept[item] if what == "keep" else max(0, kept[item] - 1)
            packed = compress_text(f"kept {item} {after}")
            commands.append(
                KeepParts("job", (TextCheckpoint(item_id, after, 1, after, packed, (1,)),))
            )
            kept[item] = after + 1
        elif what == "end":
            commands.append(EndJob("job", 5.0))
        else:
            behind = kept[item] if what == "record" else 0
            text = "tail" if behind else "whole"
            result = ItemResult(
                item_id,
                True,
                versions=(1,),
                compressed=compress_text(text),
                length=9,
                checkpoint_mark=behind,
            )
            commands.append(RecordResults("job", (result,)))
    return commands


def _texts(machine):
    page = machine.answer(ReadResults("job", 0, 1 << 20))
    return [(one.item_id, one.full_text, one.versions) for one in page.results]


def _captured_log(context):
    log = io.StringIO()
    configure_logs("debug", "json", log)
    context.cleanup.callback(configure_logs, "info", "json", io.StringIO())
    return log


def _lines(log, event):
    lines = [json.loads(line) for line in log.getvalue().splitlines()]
    return [line for line in lines if line["event"] == event]


@then("the log has the outcome of results that are duplicate, late, unknown or lack checkpoints")
def then_logged(context):
    log = _captured_log(context)
    ledger = ReplicatedLedger()
    committer = Committer(ledger, lambda: True)
    job = make_job("job", 4, 1)
    ledger.submit("", AcceptJob(job), 1.0)

    def commit(*numbers, behind=0, job_id="job"):
        found = []
        for number in numbers:
            progress = ItemProgress(job, ROUTE, make_job("job", 9, 1).items[number])
            progress.pieces = ["a text"]
            result = ItemResult.from_text(progress.item.id, True, "a text", (1,))
            progress.result = msgspec.structs.replace(result, checkpoint_mark=behind)
            found.append(progress)
        committer._commit(job_id, found, threading.Event())

    commit(0, 1)
    commit(1, 8)
    commit(2, behind=3)
    # The command is applied, but its outcome is unknown, so it is retried.
    ledger.failures = [(NO_OUTCOME, True)]
    commit(3)
    ledger.submit("", EndJob("job", 5.0), 1.0)
    commit(0)
    commit(0, job_id="gone")
    recorded = [(line["request_id"], line["cause"]) for line in _lines(log, "item_listed")]
    unsure = "listed before, perhaps by a try without an outcome"
    assert recorded == [("job-0", None), ("job-1", None), ("job-2", None), ("job-3", unsure)], (
        recorded
    )
    dropped = [
        (line["job"], line["request_id"], line["cause"]) for line in _lines(log, "item_not_listed")
    ]
    assert dropped == [
        ("job", "job-1", "listed before"),
        ("job", "job-8", "no such item"),
        ("job", "job-0", "job ended"),
        ("gone", "job-0", "no such job"),
    ], dropped
    old = msgspec.convert({"type": "ResultsRecorded", "count": 2}, ResultsRecorded)
    assert (old.count, old.dropped) == (2, {})


@when("{known:d} reads from {after:d} and {unknown:d} reads of an unknown job are deferred")
def when_deferred(context, known, after, unknown):
    context.log = _captured_log(context)
    counted = context.counted = []
    context.api = BatchApi(context.ledger, HEADERS, PATHS, count_deferred=counted.append)
    for job_id, count in (("job", known), ("none", unknown)):
        for _ in range(count):
            assert read(context.api, job_id, after).status == 503


@then("the log tells job, position and cause of the first one, and {count:d} are counted")
def then_counted(context, count):
    first, *others = _lines(context.log, "reading_put_off")
    assert (first["request_id"], first["after"], first["left_out"]) == ("job", 2, 0)
    assert (first["leader"], first["nearby"]) == ("no leader found in time", "behind")
    # Further lines only if the reads took longer than a second.
    assert len(others) < count / 2, others
    assert context.counted == ["behind"] * 20 + ["no_job"] * 5, context.counted


@when("commands are applied everywhere, and two of the nodes with data folders are cut off")
def when_alone(context):
    nodes = context.nodes
    context.appended = [append(context, OTHERS[0]) for _ in range(5)]
    assert None not in context.appended

    def is_everywhere():
        replicas = [nodes[name].ledger.local_machine(ITEMS_KEY, ItemList) for name in DATA]
        return all(context.appended[-1] in replica.items for replica in replicas)

    wait_until(is_everywhere, "all replicas have applied the commands")
    for lost in DATA[:2]:
        context.network.cut_pairs |= {frozenset((lost, name)) for name in nodes if name != lost}


@then("no leader answers, and each node still reads all of it from the replica that is left")
def then_left(context):
    wait_until(
        lambda: (
            not isinstance(context.nodes[DATA[2]].ledger.ask(ITEMS_KEY, ReadItems(), 0.3), Success)
        ),
        "nobody leads the ledger",
    )
    for name in (*OTHERS, DATA[2]):
        ledger = context.nodes[name].ledger
        assert not isinstance(ledger.ask(ITEMS_KEY, ReadItems(), 0.3), Success)
        (reply,) = ledger.ask_replicas(ITEMS_KEY, ReadItems(), 1.0)
        assert reply.items[-5:] == tuple(context.appended), reply


@then("the body of an item without a result is read, and that of an unknown item is deferred")
def then_body(context):
    for item_id, status, content in (("job-5", 200, b"prompt"), ("other-5", 503, None)):
        context.ledger.waits_s.clear()
        answer = context.api.serve_job_request(call("GET", "/api/items/job", query=f"id={item_id}"))
        assert answer.status == status, answer.status
        assert content is None or answer.body == content
        assert sum(context.ledger.waits_s) < CLIENT_TIMEOUT_S, context.ledger.waits_s
