"""Service `scaling`: runs the autoscaling controller, which acts while it holds the lease."""

import threading

from bellweir.hosted.interface import HostingPlatform
from bellweir.hosted.scaling.controller import ScalingController
from bellweir.hosted.scaling.interface import ScalingPolicy
from bellweir.hosted.scaling.policies import HoldPolicy, ReplacePolicy
from bellweir.hosted.settings import HostedSettings
from bellweir.hosted.views.service import ViewsService
from bellweir.hosted.weights.service import RolloutService
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service

STEP_INTERVAL_S = 0.5
POLICIES: dict[str, type[ScalingPolicy]] = {"hold": HoldPolicy, "replace": ReplacePolicy}


class ScalingService(Service):
    """Runs the controller if the platform takes scaling orders."""

    name = names.SCALING
    dependencies = (names.VIEWS, names.ROLLOUTS)

    def __init__(self, kernel: Kernel, settings: HostedSettings, platform: HostingPlatform) -> None:
        self._kernel = kernel
        self._settings = settings
        self._platform = platform

    def start(self) -> None:
        """Start the task."""
        scaling = self._settings.scaling
        if scaling.address is None:
            return
        registry = self._kernel.registry
        views = registry.find(names.VIEWS, ViewsService)
        self._controller = ScalingController(
            registry.find(names.ROLLOUTS, RolloutService).lease,
            self._platform.duties_at(scaling.address),
            views.configuration,
            views.workers,
            POLICIES[scaling.policy](),
            self._settings.node.name,
            views.workers_follower.age_s,
        )
        self._kernel.executors.run_loop("scale", self._run)

    def stop(self) -> None:
        """The task ends with the executors."""

    def _run(self, stopping: threading.Event) -> None:
        while not stopping.wait(STEP_INTERVAL_S):
            self._controller.step()
