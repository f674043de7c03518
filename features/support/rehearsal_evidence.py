"""Evidence of a run of an ideal service, drawn at random: every promise holds by construction."""

import hashlib
from dataclasses import replace

from bellweir_rehearsal.promises.evidence import (
    ApplicationRun,
    EngineAttempt,
    Evidence,
    StoreWrite,
    TokenRun,
    WorkOffered,
)
from bellweir_rehearsal.records.model import (
    CallEnded,
    CallKind,
    CallOutcome,
    CallSent,
    ConfigurationSeen,
    FaultBegan,
    FaultEnded,
    NodeExited,
    NodeStopping,
    SampleReceived,
    SamplesAcknowledged,
    StepDeclared,
    StepEnded,
    TrainerIdle,
    VersionRange,
    WorkerLeaving,
    WriteAccepted,
)
from bellweir_rehearsal.standins.token_model import text_of, tokens_between

START_S = 1_000_000.0
NODES = ("node-1", "node-2", "node-3")
STEP_S = 30.0
LEAVING_AT_S = START_S + 60.0
STOP_AT_S = START_S + 61.0
PUBLISHED_EVERY_S = 20.0


def healthy_evidence(source, steps=2, prompts=2, calls=6):
    """Draw a run; `source` is a `random.Random`."""
    evidence = Evidence()
    for number in range(steps):
        _add_step(evidence, source, number, prompts)
    for number in range(calls):
        _add_completion(evidence, source, number)
        _add_application_call(evidence, source, number, once=False)
        _add_application_call(evidence, source, number, once=True)
    _add_refusals(evidence)
    _add_configuration(evidence)
    _add_leaving(evidence)
    _add_planned_stop(evidence, source)
    ordered = sorted(evidence.records, key=lambda record: record.time_s)
    return replace(evidence, records=ordered)


def _split(source, count):
    """Token ranges of one or two weight versions that follow each other."""
    cut = source.randrange(1, count) if count > 1 and source.random() < 0.5 else count
    ranges = [VersionRange(1, 0, cut)]
    if cut < count:
        ranges.append(VersionRange(2, cut, count - cut))
    return tuple(ranges)


def _add_attempts(evidence, request_id, prompt, seed, ranges, at_s):
    """One attempt for each range, as if the first one's engine had failed."""
    for number, entry in enumerate(ranges):
        evidence.engine_attempts.append(
            EngineAttempt(
                engine=f"engine-{number + 1}",
                attempt_id=f"{request_id}/{number}",
                request_id=request_id,
                prompt=prompt,
                seed=seed,
                began_s=at_s,
                first_token=entry.first_token,
                outcome="length" if number == len(ranges) - 1 else None,
                runs=(TokenRun(entry.first_token, entry.token_count, entry.weight_version),),
            )
        )


def _add_step(evidence, source, number, prompts):
    step_id = f"step-{number}"
    at_s = START_S + number * STEP_S
    texts = tuple(f"prompt {step_id} {index}" for index in range(prompts))
    evidence.records.append(
        StepDeclared(at_s, step_id, "trainer-1", "node-1", "policy-1", texts, 2, 0, 2, None, at_s)
    )
    slots = [(index, text, seed) for index, text in enumerate(texts) for seed in (1, 2)]
    for slot, (_, prompt, seed) in enumerate(slots):
        count = source.randrange(1, 20)
        ranges = _split(source, count)
        tokens = tokens_between(prompt, seed, 0, count)
        sample_id = f"{step_id}/{slot}/1"
        _add_attempts(evidence, sample_id, prompt, seed, ranges, at_s + 1)
        pulls = 2 if source.random() < 0.3 else 1
        for pull in range(pulls):
            evidence.records.append(
                SampleReceived(
                    at_s + 2 + 0.1 * pull,
                    step_id,
                    sample_id,
                    slot,
                    slot,
                    prompt,
                    tokens,
                    text_of(tokens),
                    ranges,
                    source.choice(NODES),
                    at_s + 1.9 + 0.1 * pull,
                )
            )
    evidence.records.append(SamplesAcknowledged(at_s + 3, step_id, len(slots), True))
    evidence.records.append(TrainerIdle(at_s + 3, "trainer-1", step_id, 3.0))
    evidence.records.append(StepEnded(at_s + 3, step_id, "complete", len(slots), len(slots)))


def _add_completion(evidence, source, number, node=None, sent_s=None, ended_s=None):
    call_id = f"completion-{number}"
    prompt = f"question {number}"
    count = source.randrange(2, 30)
    sent_s = sent_s or START_S + number
    evidence.records.append(
        CallSent(
            sent_s,
            call_id,
            "caller-1",
            node or source.choice(NODES),
            CallKind.COMPLETION,
            "interactive",
            "policy-1",
            prompt=prompt,
            max_tokens=count,
        )
    )
    ranges = _split(source, count)
    _add_attempts(evidence, call_id, prompt, None, ranges, sent_s + 0.01)
    evidence.records.append(
        CallEnded(
            ended_s or sent_s + 0.5,
            call_id,
            CallOutcome.ANSWERED,
            status=200,
            text=text_of(tokens_between(prompt, None, 0, count)),
            finish_reason="length",
            token_count=count,
            versions=ranges,
        )
    )


def _add_application_call(evidence, source, number, once):
    """A request; one with a key is sent twice and gets the same recorded outcome."""
    kind = "once" if once else "interactive"
    key = f"key-{number}" if once else None
    body = hashlib.sha256(f"{kind} {number}".encode()).hexdigest()
    query = f"wish={kind}-{number}"
    sent_s = START_S + 0.3 + number
    run_id = f"{kind}-{number}/attempt"
    for repeat in range(2 if once else 1):
        call_id = f"{kind}-{number}-{repeat}"
        at_s = sent_s + repeat
        evidence.records.append(
            CallSent(
                at_s,
                call_id,
                "caller-1",
                NODES[(number + repeat) % len(NODES)],
                CallKind.APPLICATION,
                kind,
                f"pool-1/{kind}?{query}",
                idempotency_key=key,
                body_sha256=body,
            )
        )
        if repeat == 0:
            evidence.application_runs.append(
                ApplicationRun(
                    f"worker-{source.randrange(1, 3)}",
                    at_s + 0.02,
                    run_id,
                    call_id,
                    key,
                    "POST",
                    f"/{kind}?{query}",
                    body,
                )
            )
        evidence.records.append(
            CallEnded(
                at_s + 0.1,
                call_id,
                CallOutcome.ANSWERED,
                status=200,
                answer_method="POST",
                answer_target=f"/{kind}?{query}",
                answer_body_sha256=body,
                answer_run_id=run_id,
            )
        )


def _add_refusals(evidence):
    """One refusal that was not run, and one whose outcome is unknown and did run."""
    for run_state in ("not_run", "unknown"):
        call_id = f"refused-{run_state}"
        evidence.records.append(
            CallSent(
                START_S + 5,
                call_id,
                "caller-1",
                "node-1",
                CallKind.APPLICATION,
                "interactive",
                f"pool-1/check?wish={run_state}",
                body_sha256="",
            )
        )
        evidence.records.append(
            CallEnded(
                START_S + 5.1,
                call_id,
                CallOutcome.REFUSED,
                status=503,
                run_state=run_state,
                reason="overloaded",
            )
        )
    evidence.application_runs.append(
        ApplicationRun(
            "worker-1",
            START_S + 5.05,
            "refused-attempt",
            "refused-unknown",
            None,
            "POST",
            "/check?wish=unknown",
            "",
        )
    )


def _add_configuration(evidence):
    """A version is published now and then; every node has it in force a second later."""
    revisions = []
    for number in range(1, 4):
        at_s = START_S - 10 + number * PUBLISHED_EVERY_S
        name = f"policy-1-v{number}"
        revisions.append((at_s, number, f"WeightVersion/{name}"))
        evidence.store_writes.append(
            StoreWrite(at_s, "WeightVersion", name, number, False, f"mutation-{number}")
        )
        evidence.records.append(
            WriteAccepted(
                at_s + 0.1,
                "operator-1",
                "node-1",
                "WeightVersion",
                name,
                number,
                at_s - 0.1,
                published_policy="policy-1",
                published_version=number,
            )
        )
    for node in NODES:
        for tick in range(160):
            asked_s = START_S + tick * 0.5
            known = [entry for entry in revisions if entry[0] + 1 <= asked_s]
            objects = {name: revision for _, revision, name in known}
            evidence.records.append(
                ConfigurationSeen(asked_s + 0.05, node, 1, len(known), asked_s, objects)
            )


def _add_leaving(evidence):
    evidence.records.append(WorkerLeaving(LEAVING_AT_S, "worker-1", "operator"))
    evidence.work_offered.append(
        WorkOffered("worker-1", LEAVING_AT_S + 1.0, "leaving", "within-the-grace")
    )


def _add_planned_stop(evidence, source):
    _add_completion(
        evidence, source, 900, "node-2", sent_s=STOP_AT_S - 0.5, ended_s=STOP_AT_S + 0.5
    )
    evidence.records.append(FaultBegan(STOP_AT_S - 0.1, "f1", "node_stop", ("node-2",), True))
    evidence.records.append(NodeStopping(STOP_AT_S, "node-2"))
    evidence.records.append(NodeExited(STOP_AT_S + 2, "node-2", 0, True))
    evidence.records.append(FaultEnded(STOP_AT_S + 3, "f1", "node_stop", ("node-2",)))
