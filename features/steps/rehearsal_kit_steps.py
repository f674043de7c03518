"""Steps of rehearsal_kit.feature."""

import json
import random
import socket
import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from bellweir_rehearsal.callers.answers import AnswerError, read_stream
from bellweir_rehearsal.callers.caller import Caller
from bellweir_rehearsal.callers.directory import NodeAddress, NodeDirectory
from bellweir_rehearsal.callers.http import CutError, HttpClient, NotConnectedError
from bellweir_rehearsal.callers.in_flight import InFlight
from bellweir_rehearsal.callers.wishes import ApplicationWish
from bellweir_rehearsal.experiments.comparison import compare_runs
from bellweir_rehearsal.experiments.file import Experiment, Variant
from bellweir_rehearsal.experiments.report import write_report
from bellweir_rehearsal.experiments.results import ExperimentResults, VariantResults
from bellweir_rehearsal.load.statistics import ClassStatistics
from bellweir_rehearsal.plan import RunPlan
from bellweir_rehearsal.promises.checker import check_promises
from bellweir_rehearsal.promises.verdict import Promise
from bellweir_rehearsal.records.journal import Journal, read_journal
from bellweir_rehearsal.records.model import (
    CallEnded,
    CallOutcome,
    CallSent,
    SampleReceived,
    SamplesAcknowledged,
    StepEnded,
)
from bellweir_rehearsal.result import TrainerSummary, summarize
from bellweir_rehearsal.topology.deployment import load_deployment
from bellweir_rehearsal.topology.layout import FolderInUseError, RunFolder
from bellweir_rehearsal.trainer.client import (
    ReceivedBatch,
    ReceivedSample,
    ReceivedSegment,
    StepCallError,
)
from bellweir_rehearsal.trainer.loop import Trainer, TrainerPlan
from support.rehearsal_evidence import healthy_evidence

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"


class ScriptedServer:
    """Answers each request of each connection with the next entry of a script of bytes.

    An entry that is cut short is followed by the end of its connection.
    """

    def __init__(self, context, script):
        self.requests = []
        self.connections = 0
        self._script = list(script)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        pool = context.cleanup.enter_context(ThreadPoolExecutor(1))
        context.cleanup.callback(self.close)
        pool.submit(self._serve)

    def close(self):
        # Closing a listener does not wake its accept; a connection does.
        self._script = []
        with socket.socket() as waker:
            waker.connect_ex(self._listener.getsockname())
        self._listener.close()

    def _serve(self):
        while True:
            connection, _ = self._listener.accept()
            with connection:
                if not self._script:
                    return
                self.connections += 1
                self._answer(connection)

    def _answer(self, connection):
        while self._script:
            request = self._read(connection)
            if request is None:
                return
            self.requests.append(request)
            entry, whole = self._script.pop(0)
            connection.sendall(entry)
            if not whole:
                return

    def _read(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            part = connection.recv(65_536)
            if not part:
                return None
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {
            name.lower(): value for name, value in (line.split(": ", 1) for line in lines[1:])
        }
        while len(body) < int(headers.get("content-length", 0)):
            body += connection.recv(65_536)
        return lines[0], headers, body


@given("a rehearsal server that ends its answers in every way")
def step_server(context):
    context.client = HttpClient()
    context.cleanup.callback(context.client.close)


@then("a whole rehearsal answer is read to its end and its connection is used again")
def step_whole(context):
    for answer in (WHOLE, CHUNKED):
        server = ScriptedServer(context, [(answer, True), (answer, True), (answer, True)])
        got = [context.client.send(server.address, "GET", "/") for _ in range(3)]
        assert [entry.body for entry in got] == [b"hello"] * 3
        assert [entry.reused for entry in got] == [False, True, True]
        assert server.connections == 1


@then("a rehearsal answer cut at any byte is reported as cut")
def step_cut(context):
    # Once the size of the last chunk, 0, has arrived, the body is whole: only line ends follow.
    for answer, decisive in ((WHOLE, len(WHOLE)), (CHUNKED, len(CHUNKED) - len(b"0\r\n\r\n"))):
        server = ScriptedServer(context, [(answer[:end], False) for end in range(decisive)])
        for _ in range(decisive):
            try:
                got = context.client.send(server.address, "GET", "/")
            except CutError:
                continue
            raise AssertionError(f"a cut answer was taken for whole: {got}")


@then("a rehearsal call to a port where nobody listens is reported as not connected")
def step_nobody(context):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    try:
        context.client.send(address, "GET", "/")
    except NotConnectedError:
        return
    raise AssertionError("connected to nobody")


def frame(document):
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def stream_of(texts):
    frames = [frame({"choices": [{"text": text, "finish_reason": None}]}) for text in texts]
    frames.append(frame({"choices": [{"text": "", "finish_reason": "length"}]}))
    segments = [{"weight_version": 3, "first_token": 0, "token_count": len(texts)}]
    usage = {"choices": [], "usage": {"completion_tokens": len(texts)}}
    frames.append(frame(usage | {"bellweir": {"choices": [{"index": 0, "segments": segments}]}}))
    return b"".join(frames), b"data: [DONE]\n\n"


@given("a rehearsal stream of any frames")
def step_stream(context):
    context.texts = strategies.lists(strategies.text(max_size=8), min_size=1, max_size=6)


@then("the rehearsal stream is read whole, and any prefix without the end marker is refused")
def step_read_stream(context):
    @settings(max_examples=30)
    @hypothesis_given(context.texts, strategies.floats(0, 1))
    def check(texts, share):
        frames, end = stream_of(texts)
        completion = read_stream(frames + end)
        assert completion.text == "".join(texts)
        assert (completion.finish_reason, completion.token_count) == ("length", len(texts))
        assert completion.versions[0].weight_version == 3
        try:
            read_stream(frames[: int(len(frames) * share)])
        except AnswerError:
            return
        raise AssertionError("a stream without its end marker was taken for whole")

    check()


def refusal(run_state):
    body = json.dumps(
        {"type": "https://bellweir.dev/problems/overloaded", "run_state": run_state}
    ).encode()
    head = "HTTP/1.1 503 -\r\nContent-Type: application/problem+json\r\nContent-Length: {}\r\n\r\n"
    return head.format(len(body)).encode() + body


@given("a rehearsal node that refuses at first, then drops the answer, then answers")
def step_node(context):
    body = json.dumps({"method": "POST", "path": "/once", "query": "", "attempt_id": "a"}).encode()
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    script = [(refusal("not_run"), True), (answer[:40], False), (answer, True)]
    context.server = ScriptedServer(context, script)
    directory = NodeDirectory()
    directory.put(NodeAddress("node-1", "zone-1", context.server.address))
    journal = context.cleanup.enter_context(Journal(context.folder / "journal.jsonl"))
    client = HttpClient()
    context.cleanup.callback(client.close)
    context.journal = journal
    context.caller = Caller("caller", "node-1", "zone-1", directory, journal, client, InFlight())


@when("a rehearsal caller makes a request with a key")
def step_request(context):
    wish = ApplicationWish(
        pool="pool",
        path="/once?wish=1",
        method="POST",
        body=b"body",
        idempotency_key="key-1",
        request_class="once",
        deadline_ms=5_000,
        scheduled_s=0.0,
    )
    context.ended = context.caller.request(wish)


@then("all its calls bear that key and the same body, each under a request id of its own")
def step_calls(context):
    assert context.ended.outcome is CallOutcome.ANSWERED
    heads = [headers for _, headers, _ in context.server.requests]
    assert [entry["idempotency-key"] for entry in heads] == ["key-1"] * 3
    assert {body for _, _, body in context.server.requests} == {b"body"}
    records = list(read_journal(context.journal.path))
    ids = [record.call_id for record in records if isinstance(record, CallSent)]
    assert ids == [entry["x-request-id"] for entry in heads]
    assert len(set(ids)) == 3
    outcomes = [record.outcome for record in records if isinstance(record, CallEnded)]
    assert outcomes == [CallOutcome.REFUSED, CallOutcome.CUT, CallOutcome.ANSWERED]


class StepService:
    """A step service in memory whose calls fail now and then, before or after their effect."""

    def __init__(self, seed):
        self._random = random.Random(seed)
        self._wishes = {}
        self.acknowledged = Counter()

    def nodes(self):
        return (NodeAddress("node-1", "zone-1", ""), NodeAddress("node-2", "zone-2", ""))

    def declare(self, node, wish):
        self._maybe_fail()
        self._wishes[wish.step_id] = wish
        self._maybe_fail()
        return {}

    def pull(self, node, step_id, cursor, limit, wait_s):
        self._maybe_fail()
        wish = self._wishes[step_id]
        end = min(wish.slots, cursor + self._random.randrange(0, min(limit, 4)))
        samples = tuple(self._sample(wish, position) for position in range(cursor, end))
        return ReceivedBatch(samples, end, end == wish.slots)

    def acknowledge(self, node, step_id, cursor):
        self._maybe_fail()
        self.acknowledged[step_id] = max(self.acknowledged[step_id], cursor)
        self._maybe_fail()
        return {}

    def _sample(self, wish, position):
        prompt_index = position // wish.samples_per_prompt
        return ReceivedSample(
            f"{wish.step_id}/{position}/1",
            wish.step_id,
            position,
            prompt_index,
            wish.prompts[prompt_index],
            " a",
            (1,),
            (ReceivedSegment(1, 0, 1),),
        )

    def _maybe_fail(self):
        if self._random.random() < 0.1:
            raise StepCallError("now and then")


@given("a rehearsal step service with any slots, whose calls fail now and then")
def step_service(context):
    context.service = StepService(seed=4)
    context.published = []


@when("a rehearsal trainer runs three steps")
def step_trainer(context):
    context.journal = context.cleanup.enter_context(Journal(context.folder / "journal.jsonl"))
    plan = TrainerPlan(
        policy="policy-1",
        prompts_for_each_step=3,
        samples_per_prompt=2,
        max_tokens=8,
        staleness_bound_versions=1,
        train_s=0.0,
        step_timeout_s=30.0,
        steps=3,
    )
    trainer = Trainer(
        "trainer",
        plan,
        context.service,
        context.journal,
        {"policy-1": 1}.__getitem__,
        context.published.append,
        lambda step_id, count: tuple(f"{step_id} {index}" for index in range(count)),
        seed=2,
    )
    assert trainer.run(threading.Event()) == 3


@then("its journal has each slot of each step once, in order, repeats apart")
def step_journal(context):
    records = list(read_journal(context.journal.path))
    ended = [record for record in records if isinstance(record, StepEnded)]
    assert [(entry.state, entry.received, entry.expected) for entry in ended] == [
        ("complete", 6, 6)
    ] * 3
    for entry in ended:
        first = {}
        for record in records:
            if isinstance(record, SampleReceived) and record.step_id == entry.step_id:
                first.setdefault(record.position, record)
        assert list(first) == list(range(6))
        assert [record.slot for record in first.values()] == list(range(6))
        assert context.service.acknowledged[entry.step_id] == 6
    cursors = [record for record in records if isinstance(record, SamplesAcknowledged)]
    assert all(record.accepted for record in cursors)


@then("a rehearsal version was published after each step")
def step_published(context):
    assert context.published == ["policy-1"] * 3


def run_result(evidence, statistics=()):
    plan = RunPlan(load_deployment("configurator"), load=None, duration_s=10, seed=1)
    summaries = tuple(entry.summary() for entry in statistics)
    return summarize(plan, evidence, check_promises(evidence), summaries)


def with_idle_share(result, share):
    trainers = TrainerSummary(1, 0, 1, {}, (1.0,), share, (0,))
    return replace(result, trainers=trainers)


@given("two sets of rehearsal runs with the figures of a worked example")
def step_example(context):
    result = run_result(healthy_evidence(random.Random(1)))
    context.runs_a = [with_idle_share(result, share) for share in (0.10, 0.20, 0.30)]
    context.runs_b = [with_idle_share(result, share) for share in (0.40, 0.60, 0.80)]


def idle_difference(runs_a, runs_b):
    return next(
        entry for entry in compare_runs(runs_a, runs_b) if entry.measure == "trainer idle time"
    )


@then("the rehearsal comparison gives Welch's 95% interval")
def step_interval(context):
    # Variances 0.01 and 0.04 over 3 runs each: standard error sqrt(0.05 / 3) = 0.12910,
    # degrees of freedom (0.05/3)^2 / ((0.01/3)^2/2 + (0.04/3)^2/2) = 2.94, rounded down to 2,
    # for which t = 4.303: half of the interval is 0.5555 around the difference of 0.4.
    found = idle_difference(context.runs_a, context.runs_b)
    assert abs(found.difference - 0.4) < 1e-9
    assert abs(found.low - (0.4 - 0.5555)) < 1e-3, found
    assert abs(found.high - (0.4 + 0.5555)) < 1e-3, found
    assert not found.distinct


@then("one run on a side gives no interval")
def step_no_interval(context):
    found = idle_difference(context.runs_a[:1], context.runs_b)
    assert found.low is None
    assert not found.distinct


@given("rehearsal results of two variants with faults, samples and latencies")
def step_results(context):
    source = random.Random(6)
    statistics = ClassStatistics("interactive")
    for _ in range(200):
        statistics.record(
            0.0, CallEnded(source.lognormvariate(-3, 1), "call", CallOutcome.ANSWERED)
        )
    runs = tuple(run_result(healthy_evidence(source), [statistics]) for _ in range(2))
    variants = (VariantResults("first", runs), VariantResults("second", runs))
    context.results = ExperimentResults("example", "configurator", 10.0, 1, variants)


@when("the rehearsal report is written")
def step_report(context):
    context.report = write_report(context.results, context.folder)


@then("it has a plot of latency, training and versions, and every promise's verdict")
def step_report_content(context):
    text = context.report.read_text()
    plots = {path.name for path in (context.folder / "plots").glob("*.png")}
    assert plots == {"latency.png", "training.png", "versions-first.png", "versions-second.png"}
    assert text.count("data:image/png;base64,") == len(plots)
    assert text.count("class='held'") == 2 * len(Promise)
    assert "second against first" in text


@given("a rehearsal experiment of two variants with random faults")
def step_experiment(context):
    context.experiment = Experiment(
        name="example",
        deployment="hammerfield",
        random_faults=True,
        duration_s=60,
        variants=(
            Variant(name="first", strategy="round_robin"),
            Variant(name="second", settings={"samples": {"concurrency": 4}}),
        ),
    )


@then("the rehearsal plans of a repetition differ in strategy and settings only")
def step_plans(context):
    first, second = (context.experiment.plan(variant, 1) for variant in context.experiment.variants)
    assert first.faults == second.faults
    assert first.faults
    assert (first.load, first.seed) == (second.load, second.seed)
    assert first.deployment.engine_pools[0].strategy == "round_robin"
    assert second.deployment == load_deployment("hammerfield")
    assert second.settings == {"samples": {"concurrency": 4}}


@then("another repetition has another seed")
def step_repetition(context):
    variant = context.experiment.variants[0]
    assert context.experiment.plan(variant, 1).seed != context.experiment.plan(variant, 2).seed


@given("a rehearsal folder of an earlier run, and a folder with somebody's file")
def step_folders(context):
    context.earlier = RunFolder(context.folder / "earlier")
    context.earlier.create()
    context.earlier.journal.write_text("{}\n")
    context.foreign = context.folder / "foreign"
    context.foreign.mkdir()
    (context.foreign / "notes.txt").write_text("mine")


@then("a new rehearsal run takes the place of the earlier one")
def step_in_place(context):
    context.earlier.create()
    assert context.earlier.logs.is_dir()
    assert not context.earlier.journal.exists()


@then("the folder with somebody's file is refused and left as it was")
def step_foreign(context):
    try:
        RunFolder(context.foreign).create()
    except FolderInUseError:
        assert [path.name for path in context.foreign.iterdir()] == ["notes.txt"]
        return
    raise AssertionError("a folder with somebody's file was taken")
