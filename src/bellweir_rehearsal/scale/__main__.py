"""Runs scale runs: `python -m bellweir_rehearsal.scale --nodes 32 --workers 400`."""

import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from bellweir_rehearsal.scale.options import ScaleOptions
from bellweir_rehearsal.scale.report import print_table
from bellweir_rehearsal.scale.run import run_scale


@cappa.command(name="scale", help="Run hollow nodes on real sockets and measure their cost.")
@dataclass
class ScaleCommand:
    """Options of the command line."""

    nodes: Annotated[
        list[int], cappa.Arg(long=True, help="Nodes; give it again for further runs.")
    ] = field(default_factory=lambda: [32])
    real: Annotated[int, cappa.Arg(long=True, help="Whole nodes beside them.")] = 0
    workers: Annotated[int, cappa.Arg(long=True, help="Workers on the machine list.")] = 3800
    processes: Annotated[int, cappa.Arg(long=True, help="Processes for the nodes.")] = 3
    steady_s: Annotated[float, cappa.Arg(long=True, help="Steady window, seconds.")] = 30.0
    output: Annotated[Path | None, cappa.Arg(long=True, help="File for the JSON result.")] = None
    keep_logs: Annotated[Path | None, cappa.Arg(long=True, help="Folder for logs.")] = None

    def __call__(self) -> int:
        """Run and print; the exit code says whether all steps came to their end."""
        results = []
        for nodes in self.nodes:
            print(f"{nodes} nodes, {self.workers} workers")
            options = ScaleOptions(
                nodes=nodes,
                real=self.real,
                workers=self.workers,
                processes=self.processes,
                steady_s=self.steady_s,
                keep_logs=self.keep_logs,
            )
            results.append(run_scale(options))
        print_table(results)
        if self.output is not None:
            self.output.write_bytes(msgspec.json.format(msgspec.json.encode(results)))
        return 1 if any(result.failures for result in results) else 0


def main(arguments: list[str]) -> int:
    """Run the command line with the given arguments."""
    code: int = cappa.invoke(ScaleCommand, argv=arguments)
    return code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
