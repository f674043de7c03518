"""`bellweir rehearse trainer`: one stand-in trainer against a running node."""

import random
import signal
import threading
from dataclasses import dataclass
from pathlib import Path
from types import FrameType
from typing import Annotated

import cappa
from rich.console import Console

from bellweir.cli.exit_codes import FAILED
from bellweir_rehearsal.callers.directory import NodeAddress, NodeDirectory
from bellweir_rehearsal.callers.http import HttpClient
from bellweir_rehearsal.load.prompts import step_prompts
from bellweir_rehearsal.records.journal import Journal
from bellweir_rehearsal.trainer.client import StepClient
from bellweir_rehearsal.trainer.loop import Trainer, TrainerPlan


@cappa.command(
    name="trainer",
    help="A trainer that declares steps at nodes and takes their samples.",
    description="Example: bellweir rehearse trainer --node 127.0.0.1:8080 --policy policy-1",
)
@dataclass
class TrainerCommand:
    """Run a trainer; it publishes no versions."""

    node: Annotated[list[str], cappa.Arg(long=True, help="HTTP address of a node, HOST:PORT.")]
    policy: Annotated[str, cappa.Arg(long=True, help="Policy to sample.")]
    name: Annotated[str | None, cappa.Arg(long=True, help="Name; steps are called after it.")] = (
        None
    )
    steps: Annotated[int, cappa.Arg(long=True, help="Steps to run.")] = 1
    prompts: Annotated[int, cappa.Arg(long=True, help="Prompts in a step.")] = 8
    samples_per_prompt: Annotated[int, cappa.Arg(long=True, help="Samples of each prompt.")] = 2
    max_tokens: Annotated[int, cappa.Arg(long=True, help="Longest sample, in tokens.")] = 200
    newest_version: Annotated[
        int, cappa.Arg(long=True, help="Newest published weight version.")
    ] = 1
    staleness_bound: Annotated[int, cappa.Arg(long=True, help="Bound, in versions.")] = 1
    scorer: Annotated[str | None, cappa.Arg(long=True, help="Scoring service, HOST:PORT.")] = None
    log_file: Annotated[
        Path, cappa.Arg(long=True, help="File of JSON lines with all that it got.")
    ] = Path("trainer.jsonl")

    def __call__(self) -> None:
        """Run the steps; the exit code is 1 when one was not completed."""
        stop = threading.Event()

        def on_signal(_number: int, _frame: FrameType | None) -> None:
            stop.set()

        signal.signal(signal.SIGTERM, on_signal)
        client = HttpClient()
        with Journal(self.log_file) as journal:
            completed = self._trainer(client, journal).run(stop)
        client.close()
        Console().print(f"{completed} of {self.steps} steps complete, log in {self.log_file}")
        if completed < self.steps:
            raise cappa.Exit(code=FAILED)

    def _trainer(self, client: HttpClient, journal: Journal) -> Trainer:
        directory = NodeDirectory()
        for address in self.node:
            directory.put(NodeAddress(address, "", address))
        plan = TrainerPlan(
            policy=self.policy,
            prompts_for_each_step=self.prompts,
            samples_per_prompt=self.samples_per_prompt,
            max_tokens=self.max_tokens,
            staleness_bound_versions=self.staleness_bound,
            train_s=0.0,
            step_timeout_s=120.0,
            scorer=self.scorer,
            steps=self.steps,
            publish=False,
        )
        seed = random.getrandbits(32)
        return Trainer(
            self.name or f"trainer-{seed:08x}",
            plan,
            StepClient(client, directory),
            journal,
            {self.policy: self.newest_version}.__getitem__,
            _publish_nothing,
            step_prompts,
            seed,
        )


def _publish_nothing(policy: str) -> None:
    """Publish no version: the plan does not ask for it."""
