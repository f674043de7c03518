"""Calls of the trainers' interface that the steps of `samples.feature` share."""

import threading

from returns.result import Success

from bellweir.ledger.interface import LedgerErrorKind
from bellweir.samples.interface import Sample, SampleBatch, StepDeclaration
from support.samples_cluster import SamplesCluster

STEP = "step-1"
SCORER = "127.0.0.1:1"


def start_cluster(context, nodes: int, concurrency: int = 8, budget: float = 0.0) -> None:
    context.cluster = SamplesCluster(nodes, concurrency, budget)
    context.add_cleanup(context.cluster.stop)


def declaration(prompts: int, per_prompt: int, **changes: object) -> StepDeclaration:
    fields = {
        "step_id": STEP,
        "policy": "writer",
        "prompts": tuple(f"prompt {number}" for number in range(prompts)),
        "samples_per_prompt": per_prompt,
        "max_tokens": 100,
    }
    return StepDeclaration(**(fields | changes))


def declare(context, **changes: object) -> None:
    context.declaration = declaration(**changes)
    assert isinstance(context.cluster.any.declare(context.declaration), Success)


def pull(context, cursor: int, limit: int = 100, wait_s: float = 10.0) -> SampleBatch:
    return context.cluster.any.pull(STEP, cursor, limit, wait_s).unwrap()


def pull_all(context, count: int) -> list[Sample]:
    samples: list[Sample] = []
    while len(samples) < count:
        batch = pull(context, len(samples))
        assert batch.samples, f"no further sample after {len(samples)}"
        assert batch.cursor == len(samples) + len(batch.samples)
        samples.extend(batch.samples)
    assert pull(context, count).complete
    return samples


def hold_generations(context) -> None:
    context.cluster.engines.hold = threading.Event()


def cut_off_first_node(context) -> None:
    """Node-1 reaches nobody any more, and node-2 leads."""
    cluster = context.cluster
    cluster.network.is_cut = lambda sender, receiver: "node-1" in (sender, receiver)
    cluster.log.fault = lambda node, _: LedgerErrorKind.UNAVAILABLE if node == "node-1" else None
    cluster.alive.remove("node-1")
    cluster.log.lead_all("node-2")
