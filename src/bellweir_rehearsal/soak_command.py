"""The command `bellweir rehearse soak`."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
from rich.console import Console
from rich.table import Table

from bellweir.cli.exit_codes import FAILED, PROMISE_BROKEN
from bellweir_rehearsal.breach_report import write_breaches
from bellweir_rehearsal.console import print_result, progress_on
from bellweir_rehearsal.faults.kinds import FaultKind
from bellweir_rehearsal.load.standard import MODEST_RATE_FOR_EACH_S
from bellweir_rehearsal.plan import RunPlan
from bellweir_rehearsal.rehearsal import Rehearsal
from bellweir_rehearsal.result import RunResult, write_result
from bellweir_rehearsal.soak import DEPLOYMENTS, SoakTotals, soak_plans, totals
from bellweir_rehearsal.topology.layout import RunFolder


@cappa.command(
    name="soak",
    help="Random faults over the deployments; the seed replays the schedule.",
    description="Example: bellweir rehearse soak --seed 7 --minutes 2",
)
@dataclass
class SoakCommand:
    """Run a soak."""

    seed: Annotated[int, cappa.Arg(long=True, help="Seed of schedule and load.")] = 1
    minutes: Annotated[float, cappa.Arg(long=True, help="Minutes of load, a bout each.")] = 2.0
    bout: Annotated[
        int | None, cappa.Arg(long=True, help="Only this bout of the soak, counted from 1.")
    ] = None
    folder: Annotated[Path, cappa.Arg(long=True, help="Where to keep logs and results.")] = Path(
        "results/soak"
    )
    deployment: Annotated[
        list[str], cappa.Arg(long=True, help="Deployment by name or file; both when not given.")
    ] = field(default_factory=list)
    kind: Annotated[list[FaultKind], cappa.Arg(long=True, help="Only these kinds of faults.")] = (
        field(default_factory=list)
    )
    rate: Annotated[
        float, cappa.Arg(long=True, help="Arrivals a second of each class of requests.")
    ] = MODEST_RATE_FOR_EACH_S
    intensity: Annotated[float, cappa.Arg(long=True, help="Divides the time between faults.")] = 1.0
    json: Annotated[bool, cappa.Arg(long=True, help="Print the totals as JSON.")] = False

    def __call__(self) -> None:
        """Run all bouts; the exit code is 5 when a promise broke."""
        console = Console(stderr=self.json)
        plans = soak_plans(
            self.seed,
            self.minutes,
            self.deployment or DEPLOYMENTS,
            self.kind or tuple(FaultKind),
            self.rate,
            self.intensity,
        )
        results = [
            self._bout(console, plan, number)
            for number, plan in enumerate(plans, start=1)
            if self.bout in (None, number)
        ]
        found = totals(results)
        if self.json:
            print(msgspec.json.encode(found).decode())
        else:
            console.print(_totals_table(found))
        if found.breaches:
            raise cappa.Exit(code=PROMISE_BROKEN)
        if found.unchecked:
            names = ", ".join(found.unchecked)
            raise cappa.Exit(f"nothing to check in any bout: {names}", code=FAILED)

    def _bout(self, console: Console, plan: RunPlan, number: int) -> RunResult:
        root = self.folder / f"seed-{plan.seed}-{plan.deployment.name}"
        folder = RunFolder(root)
        title = f"bout {number}, {plan.deployment.name}"
        with progress_on(console, title) as progress, Rehearsal(plan, folder, progress) as run:
            run.start()
            run.run()
            result = run.finish()
        write_result(result, root / "result.json")
        write_breaches(result, folder)
        console.print(f"[bold]{title}[/bold], seed {plan.seed}: {root}")
        print_result(console, result)
        return result


def _totals_table(found: SoakTotals) -> Table:
    table = Table(title="Soak", show_header=False)
    table.add_column("measure")
    table.add_column("value", justify="right")
    table.add_row("bouts", str(found.bouts))
    table.add_row("requests", str(found.requests))
    table.add_row("samples", str(found.samples))
    table.add_row("faults", str(found.faults))
    for promise, count in found.breaches.items():
        table.add_row(f"breaches of {promise}", str(count))
    return table
