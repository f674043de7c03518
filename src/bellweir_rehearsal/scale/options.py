"""Options of a scale run."""

from dataclasses import dataclass
from pathlib import Path

ZONES_OF_TARGET = 8
REGIONS_OF_TARGET = 3


@dataclass(frozen=True)
class ScaleOptions:
    """One scale run."""

    nodes: int = 32
    """Hollow nodes in all."""
    real: int = 0
    """Whole nodes beside the hollow ones. The configuration then names no pools, since nobody
    stands in for the workers."""
    workers: int = 400
    """Workers on the machine list, spread over the zones."""
    processes: int = 3
    """Processes that hold the hollow nodes; one more holds the nodes that are paused."""
    zones: int = ZONES_OF_TARGET
    regions: int = REGIONS_OF_TARGET
    probe_period_s: float = 1.0
    """The nodes' probe period; other than the default only to shorten tests."""
    steady_s: float = 30.0
    """Length of the undisturbed window in which CPU and traffic are measured, in seconds."""
    change_period_s: float = 5.0
    """Time between configuration changes in that window, in seconds."""
    deaths: int = 5
    leaves: int = 5
    loss: float = 0.01
    """Share of packets lost in the window of loss."""
    loss_s: float = 30.0
    short_pause_s: float = 3.0
    """A pause that must end without a death."""
    long_pause_s: float = 15.0
    """A pause that outlasts the suspicion; the members must come back."""
    split_s: float = 20.0
    """How long one region is cut off, in seconds."""
    output: Path | None = None
    """File for the result as JSON."""
    keep_logs: Path | None = None
    """Folder for the logs of the processes; none discards them."""
