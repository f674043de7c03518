"""A trainer's loop: declare a step, take its samples, train, publish a version, start over."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from bellweir_rehearsal.callers.directory import NodeAddress
from bellweir_rehearsal.records.journal import Journal
from bellweir_rehearsal.records.model import (
    SampleReceived,
    SamplesAcknowledged,
    StepDeclared,
    StepEnded,
    TrainerIdle,
    VersionRange,
)
from bellweir_rehearsal.trainer.client import (
    ReceivedBatch,
    StepCallError,
    StepClient,
    StepWish,
)

PULL_WAIT_S = 1.0
PULL_LIMIT = 64
RETRY_PAUSE_S = 0.2
REPEATED_PULL_SHARE = 0.2
"""Share of the pulls that a trainer repeats at another node, as after a lost answer."""


@dataclass(frozen=True)
class TrainerPlan:
    """What a trainer does."""

    policy: str
    prompts_for_each_step: int
    samples_per_prompt: int
    max_tokens: int
    staleness_bound_versions: int
    train_s: float
    """Time it trains on a step's samples."""
    step_timeout_s: float
    scorer: str | None = None
    steps: int | None = None
    """Steps to run; None goes on until told to stop."""
    publish: bool = True
    """Whether a new version is published after each step."""


PromptSource = Callable[[str, int], tuple[str, ...]]
"""Makes the prompts of a step, from its id and their number."""


class Trainer:
    """One trainer; its idle time is the time it waits for samples with none to train on."""

    def __init__(
        self,
        name: str,
        plan: TrainerPlan,
        steps: StepClient,
        journal: Journal,
        newest_version: Callable[[str], int],
        publish: Callable[[str], None],
        prompts: PromptSource,
        seed: int,
    ) -> None:
        self.name = name
        self._plan = plan
        self._steps = steps
        self._journal = journal
        self._newest_version = newest_version
        self._publish = publish
        self._prompts = prompts
        self._random = random.Random(seed)

    def run(self, stop: threading.Event) -> int:
        """Run steps until the plan is done or `stop` is set; return how many were completed.

        The next step is declared before the trainer trains on the samples of the one before, so
        that its generation goes on meanwhile. A step that has begun is brought to its end, or
        abandoned when its time is over.
        """
        completed = 0
        begun = 0
        declared: tuple[StepWish, float] | None = None
        while True:
            if declared is None:
                if stop.is_set() or begun == self._plan.steps:
                    return completed
                begun += 1
                declared = self._declare_next(begun)
                continue
            is_complete = self._collect(*declared)
            completed += is_complete
            declared = None
            if not stop.is_set() and begun != self._plan.steps:
                begun += 1
                declared = self._declare_next(begun)
            if is_complete:
                stop.wait(self._plan.train_s)
                if self._plan.publish:
                    self._publish(self._plan.policy)

    def _declare_next(self, number: int) -> tuple[StepWish, float] | None:
        wish = self._wish(f"{self.name}-step-{number}")
        deadline = time.monotonic() + self._plan.step_timeout_s
        if self._declare(wish, deadline):
            return wish, deadline
        self._journal.write(StepEnded(time.time(), wish.step_id, "abandoned", 0, wish.slots))
        return None

    def _collect(self, wish: StepWish, deadline: float) -> bool:
        """Take all samples of a declared step; the time this takes is the trainer's idle time."""
        began = time.monotonic()
        received = self._take_samples(wish, deadline)
        idle_s = time.monotonic() - began
        self._journal.write(TrainerIdle(time.time(), self.name, wish.step_id, idle_s))
        complete = received == wish.slots
        state = "complete" if complete else "abandoned"
        self._journal.write(StepEnded(time.time(), wish.step_id, state, received, wish.slots))
        return complete

    def _wish(self, step_id: str) -> StepWish:
        plan = self._plan
        newest = self._newest_version(plan.policy)
        return StepWish(
            step_id=step_id,
            policy=plan.policy,
            prompts=self._prompts(step_id, plan.prompts_for_each_step),
            samples_per_prompt=plan.samples_per_prompt,
            max_tokens=plan.max_tokens,
            minimum_version=max(0, newest - plan.staleness_bound_versions),
            staleness_bound_versions=plan.staleness_bound_versions,
            staleness_bound_s=None,
            deadline_s=plan.step_timeout_s,
            scorer=plan.scorer,
        )

    def _declare(self, wish: StepWish, deadline: float) -> bool:
        sent_s = time.time()
        while time.monotonic() < deadline:
            node = self._some_node()
            if node is not None:
                try:
                    self._steps.declare(node, wish)
                except StepCallError:
                    pass
                else:
                    self._journal.write(_declared(self.name, wish, node.node, sent_s))
                    return True
            time.sleep(RETRY_PAUSE_S)
        return False

    def _take_samples(self, wish: StepWish, deadline: float) -> int:
        cursor = 0
        complete = False
        while not complete and time.monotonic() < deadline:
            batch = self._pull(wish.step_id, cursor)
            if batch is None:
                time.sleep(RETRY_PAUSE_S)
                continue
            if batch.samples and self._random.random() < REPEATED_PULL_SHARE:
                self._pull(wish.step_id, cursor)
            if batch.cursor > cursor and self._acknowledge(wish.step_id, batch.cursor, deadline):
                cursor = batch.cursor
            complete = batch.complete and cursor >= wish.slots
        return cursor

    def _pull(self, step_id: str, cursor: int) -> ReceivedBatch | None:
        node = self._some_node()
        if node is None:
            return None
        pulled_s = time.time()
        try:
            batch = self._steps.pull(node, step_id, cursor, PULL_LIMIT, PULL_WAIT_S)
        except StepCallError:
            return None
        self._record(batch, cursor, node.node, pulled_s)
        return batch

    def _record(self, batch: ReceivedBatch, cursor: int, node: str, pulled_s: float) -> None:
        now = time.time()
        for index, sample in enumerate(batch.samples):
            versions = tuple(
                VersionRange(segment.weight_version, segment.first_token, segment.token_count)
                for segment in sample.segments
            )
            self._journal.write(
                SampleReceived(
                    now,
                    sample.step_id,
                    sample.sample_id,
                    sample.slot,
                    cursor + index,
                    sample.prompt,
                    sample.tokens,
                    sample.text,
                    versions,
                    node,
                    pulled_s,
                )
            )

    def _acknowledge(self, step_id: str, cursor: int, deadline: float) -> bool:
        while time.monotonic() < deadline:
            node = self._some_node()
            if node is not None:
                try:
                    self._steps.acknowledge(node, step_id, cursor)
                except StepCallError:
                    pass
                else:
                    self._journal.write(SamplesAcknowledged(time.time(), step_id, cursor, True))
                    return True
            time.sleep(RETRY_PAUSE_S)
        self._journal.write(SamplesAcknowledged(time.time(), step_id, cursor, False))
        return False

    def _some_node(self) -> NodeAddress | None:
        nodes = self._steps.nodes()
        return self._random.choice(nodes) if nodes else None


def _declared(trainer: str, wish: StepWish, node: str, sent_s: float) -> StepDeclared:
    return StepDeclared(
        time.time(),
        wish.step_id,
        trainer,
        node,
        wish.policy,
        wish.prompts,
        wish.samples_per_prompt,
        wish.minimum_version,
        wish.staleness_bound_versions,
        wish.staleness_bound_s,
        sent_s,
    )
