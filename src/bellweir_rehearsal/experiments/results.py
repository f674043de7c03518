"""Results of an experiment: the runs of each variant."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from bellweir_rehearsal.result import RunResult

RESULTS_FILE = "results.json"


@dataclass(frozen=True)
class VariantResults:
    """The runs of one variant, a repetition each."""

    name: str
    runs: tuple[RunResult, ...]


@dataclass(frozen=True)
class ExperimentResults:
    """All runs of an experiment."""

    experiment: str
    deployment: str
    duration_s: float
    seed: int
    variants: tuple[VariantResults, ...]

    @property
    def broken(self) -> bool:
        """Whether a promise was broken in any run."""
        return any(run.broken for variant in self.variants for run in variant.runs)


def write_results(results: ExperimentResults, folder: Path) -> None:
    """Write the results into an experiment's folder."""
    encoded = msgspec.json.format(msgspec.json.encode(results), indent=1)
    (folder / RESULTS_FILE).write_bytes(encoded)


def read_results(folder: Path) -> ExperimentResults:
    """Read the results of an experiment's folder.

    Raises `OSError` or `msgspec.MsgspecError` when there are none.
    """
    return msgspec.json.decode((folder / RESULTS_FILE).read_bytes(), type=ExperimentResults)
