"""What one run of a rehearsal is to do."""

from dataclasses import dataclass, field

from bellweir_rehearsal.faults.schedule import PlannedFault
from bellweir_rehearsal.load.mix import Load
from bellweir_rehearsal.topology.deployment import Deployment
from bellweir_rehearsal.topology.settings_file import Concerns


@dataclass(frozen=True)
class RunPlan:
    """One run: a deployment under load and faults for a time."""

    deployment: Deployment
    load: Load
    duration_s: float
    seed: int
    faults: tuple[PlannedFault, ...] = ()
    settings: Concerns = field(default_factory=dict)
    """Settings for all nodes, over those of the deployment."""
    settle_s: float = 5.0
    """Time after the load in which faults are over and the configuration is still observed."""
