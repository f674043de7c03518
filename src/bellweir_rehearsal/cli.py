"""`bellweir rehearse`: the commands of the rehearsal kit."""

import contextlib
import sys
import tempfile
import threading
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from rich.console import Console

from bellweir.cli.exit_codes import FAILED, PROMISE_BROKEN, USAGE
from bellweir_rehearsal.breach_report import write_breaches
from bellweir_rehearsal.callers.operator import OperatorError
from bellweir_rehearsal.console import print_result, progress_on
from bellweir_rehearsal.demo import demo_plan
from bellweir_rehearsal.experiment_commands import CompareCommand, RunCommand
from bellweir_rehearsal.hosted.command import HostedCommand
from bellweir_rehearsal.promises.mutations import MUTATIONS, Mutation, NothingToMutateError
from bellweir_rehearsal.rehearsal import Rehearsal
from bellweir_rehearsal.result import RunResult, write_result
from bellweir_rehearsal.soak_command import SoakCommand
from bellweir_rehearsal.standin_commands import (
    ApplicationCommand,
    EngineCommand,
    MachineListCommand,
    ObjectApiCommand,
    ScorerCommand,
    WeightStoreCommand,
)
from bellweir_rehearsal.topology.layout import FolderInUseError, RunFolder
from bellweir_rehearsal.topology.processes import ProcessFailedError
from bellweir_rehearsal.trainer_command import TrainerCommand
from bellweir_rehearsal.warm_up import WarmUpError

FORESEEN_FAILURES = (
    FolderInUseError,
    NothingToMutateError,
    OperatorError,
    ProcessFailedError,
    WarmUpError,
)
"""Failures that a person can mend; they are told in one line."""


@cappa.command(name="demo", help="Run the whole path once on loopback, in less than a minute.")
@dataclass
class DemoCommand:
    """Run the demonstration."""

    keep_running: Annotated[
        bool, cappa.Arg(long=True, help="Leave everything running until Ctrl-C, to try by hand.")
    ] = False
    folder: Annotated[
        Path | None, cappa.Arg(long=True, help="Where to keep logs; a temporary folder by default.")
    ] = None

    mutate: Annotated[
        str | None,
        cappa.Arg(long=True, help="Break the evidence in a named way, to see the checker notice."),
    ] = None

    def __call__(self) -> None:
        """Run it; the exit code is 5 when a promise broke."""
        console = Console()
        if self.folder is not None:
            self._run(console, RunFolder(self.folder))
            return
        with tempfile.TemporaryDirectory(prefix="bellweir-demo-") as folder:
            self._run(console, RunFolder(Path(folder)))

    def _run(self, console: Console, folder: RunFolder) -> None:
        mutation = _mutation_or_exit(self.mutate)
        with (
            progress_on(console, "demo") as progress,
            Rehearsal(demo_plan(), folder, progress) as rehearsal,
        ):
            rehearsal.start()
            rehearsal.run()
            if self.keep_running:
                progress.stop()
                print_result(console, rehearsal.check())
                wait_for_interrupt(console, rehearsal)
            result = rehearsal.finish(mutation)
        write_result(result, folder.root / "result.json")
        write_breaches(result, folder)
        if not self.keep_running:
            print_result(console, result)
        exit_for(result)


def _mutation_or_exit(name: str | None) -> Mutation | None:
    if name is None:
        return None
    if name not in MUTATIONS:
        raise cappa.Exit(f"--mutate: found {name!r}, allowed {', '.join(MUTATIONS)}", code=USAGE)
    return MUTATIONS[name]


def wait_for_interrupt(console: Console, rehearsal: Rehearsal) -> None:
    """Say where to call, and wait for Ctrl-C."""
    address = rehearsal.cluster.directory.all_nodes()[0].gateway_address
    policy = rehearsal.plan.deployment.policies[0].name
    console.print(
        f"Everything runs. Try: curl -s http://{address}/v1/completions "
        f"-H 'Content-Type: application/json' "
        f"""-d '{{"model": "{policy}", "prompt": "hello", "max_tokens": 8}}'""",
        markup=False,
        soft_wrap=True,
    )
    for node in rehearsal.cluster.directory.all_nodes():
        console.print(f"{node.node} in {node.zone}: http://{node.gateway_address}", markup=False)
    console.print("Ctrl-C ends it.")
    with contextlib.suppress(KeyboardInterrupt):
        threading.Event().wait()


def exit_for(result: RunResult) -> None:
    """Leave with the exit code that the promises ask for; return when all have held."""
    if result.broken:
        raise cappa.Exit(code=PROMISE_BROKEN)
    if not result.held:
        raise cappa.Exit("a promise had nothing to check", code=FAILED)


@cappa.command(
    name="rehearse",
    help="Try a policy, a setting or a failure before it meets live traffic.",
    description="Examples: bellweir rehearse demo; bellweir rehearse soak --seed 1 --minutes 2",
)
@dataclass
class Rehearse:
    """The rehearsal kit."""

    command: cappa.Subcommands[
        DemoCommand
        | HostedCommand
        | RunCommand
        | CompareCommand
        | SoakCommand
        | EngineCommand
        | ApplicationCommand
        | ObjectApiCommand
        | WeightStoreCommand
        | ScorerCommand
        | MachineListCommand
        | TrainerCommand
    ]


def main(arguments: list[str]) -> None:
    """Run one command of the kit and leave with its exit code."""
    try:
        exit_code = cappa.invoke(Rehearse, argv=arguments)
    except FORESEEN_FAILURES as failure:
        print(f"bellweir rehearse: {failure}", file=sys.stderr)
        sys.exit(FAILED)
    sys.exit(exit_code or 0)
