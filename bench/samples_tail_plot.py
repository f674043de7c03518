"""Plots trainer idle time against staleness from the results of `samples_tail`."""

import argparse
import json
import statistics
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

COLUMNS = (
    ("seconds_p99", "staleness at hand-over, p99, seconds"),
    ("mean_versions", "staleness at hand-over, mean, versions"),
)


def mean_of(results: list[dict[str, Any]], scheduler: str, key: str) -> float:
    """Mean of a figure over the seeds."""
    return statistics.fmean(
        float(found[key])
        for result in results
        for found in result["rows"]
        if found["scheduler"] == scheduler
    )


def main() -> None:
    """Read results and write the plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("results", type=Path)
    parser.add_argument("plot", type=Path)
    chosen = parser.parse_args()
    results = json.loads(chosen.results.read_text(encoding="utf-8"))
    names = [found["scheduler"] for found in results[0]["rows"]]
    figure, axes = plt.subplots(1, 2, figsize=(10, 4), sharey=True)
    for axis, (key, label) in zip(axes, COLUMNS, strict=True):
        for name in names:
            x, y = mean_of(results, name, key), mean_of(results, name, "idle_share")
            colour = "tab:blue" if name.startswith("bellweir") else "tab:red"
            axis.scatter([x], [y], color="tab:green" if "clairvoyant" in name else colour)
            axis.annotate(name.removeprefix("bellweir, "), (x, y), fontsize=8)
        axis.set_xlabel(label)
        axis.grid(alpha=0.3)
    axes[0].set_ylabel("trainer idle time, share")
    figure.suptitle(f"Idle time against staleness; means over {len(results)} seeds")
    figure.tight_layout()
    figure.savefig(chosen.plot, metadata={"Date": None})


if __name__ == "__main__":
    main()
