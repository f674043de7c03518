"""Kernel service `rollouts`: keeps the rollout lease and runs the controller under it."""

import random
import threading

from bellweir.hosted.batches.state import JOBS_KEY, BatchJobs
from bellweir.hosted.interface import HostingPlatform, RecordKind
from bellweir.hosted.metrics_service import MetricsService
from bellweir.hosted.node_settings import FIRST_START_JITTER_S
from bellweir.hosted.settings import HostedSettings
from bellweir.hosted.views.follower import KindFollower
from bellweir.hosted.views.service import ViewsService
from bellweir.hosted.weights.controller import RolloutController
from bellweir.hosted.weights.job_messages import JobAnnouncer, JobReceiver, NewestJob
from bellweir.hosted.weights.lags import VersionLags
from bellweir.hosted.weights.lease import Lease
from bellweir.hosted.weights.lease_messages import LeaseAnnouncer
from bellweir.hosted.weights.versions import VersionsView
from bellweir.hosted.weights.weight_load_messages import WeightLoadAnnouncer, WeightLoadListener
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.interface import Ledger
from bellweir.membership.interface import Membership
from bellweir.wire.interface import Transport

LEASE_NAME = "weight-rollouts"
LEASE_S = 5.0
"""Time without a renewal after which the lease may be taken."""
CONTROL_STEP_S = 0.1
SERVED_MARGIN_S = 0.2
"""Time after a failed renewal from which on an answer of the store to peers counts; earlier answers
may already have been in transit."""


class RolloutService(Service):
    """Runs one task that keeps the lease and one that sends the orders."""

    name = names.ROLLOUTS
    dependencies = (
        names.VIEWS,
        names.LEDGER,
        names.BATCHES,
        names.TELEMETRY,
        names.TRANSPORT,
        names.MEMBERSHIP,
    )

    def __init__(self, kernel: Kernel, settings: HostedSettings, platform: HostingPlatform) -> None:
        self._kernel = kernel
        self._settings = settings
        self._platform = platform
        self._lease = Lease(
            platform.store,
            LEASE_NAME,
            settings.node.name,
            LEASE_S,
            settings.bounds.lease_ms / 1000,
        )
        self._versions = VersionsView()
        self._draining = threading.Event()
        self._job_announcer: JobAnnouncer | None = None

    @property
    def lease(self) -> Lease:
        """Lease shared by all tasks that run on only one node at a time."""
        return self._lease

    def start(self) -> None:
        """Start the tasks."""
        views = self._views = self._kernel.registry.find(names.VIEWS, ViewsService)
        self._ledger = self._kernel.registry.find(names.LEDGER, Ledger)  # type: ignore[type-abstract]
        transport = self._kernel.registry.find(names.TRANSPORT, Transport)  # type: ignore[type-abstract]
        self._job_receiver = JobReceiver(transport)
        if self._settings.rollouts.tell_renewals:
            members = self._kernel.registry.find(names.MEMBERSHIP, Membership)  # type: ignore[type-abstract]
            announcer = LeaseAnnouncer(self._lease, LEASE_NAME, transport, members)
            if self._settings.rollouts.tell_jobs:
                self._job_announcer = JobAnnouncer(transport, lambda: announcer.holder_address)
        follower = KindFollower(
            self._platform.store,
            RecordKind.VERSIONS,
            self._versions.apply_listing,
            self._versions.apply_change,
            is_wanted=lambda: self._lease.is_held,
            is_relayable=False,
        )
        self._controller = RolloutController(
            self._lease,
            self._versions,
            views.workers,
            views.configuration,
            self._platform.control,
            VersionLags(lambda: (*self._local_jobs(), *self._job_receiver.newest)),
            self._settings.node.name,
            sparse_loads=self._settings.rollouts.sparse_loads,
            announce_weight_load=self._weight_load_announcer(transport).announce,
        )
        views.workers.subscribe_address_changes(self._platform.control.reset_connections)
        metrics = self._kernel.registry.find(names.TELEMETRY, MetricsService).metrics
        metrics.add_gauge(
            "bellweir_rollout_lease_seconds",
            "Time for which this node may surely act under the lease of roll-outs; 0 without it.",
            lambda: max(0.0, self._lease.remaining_s()),
        )
        run_loop = self._kernel.executors.run_loop
        views.add_checked_follower(follower)
        run_loop("follow-versions", follower.run)
        run_loop("rollout-lease", self._keep_lease)
        run_loop("rollout-control", self._control)

    def _weight_load_announcer(self, transport: Transport) -> WeightLoadAnnouncer:
        if not self._settings.rollouts.tell_loads:
            return WeightLoadAnnouncer(transport, lambda: None)
        coordinator = self._kernel.registry.find(names.BATCHES, WeightLoadListener)  # type: ignore[type-abstract]
        return WeightLoadAnnouncer(transport, self._coordinator_address, coordinator)

    def _coordinator_address(self) -> str | None:
        """Peer address of the leader of the jobs; None if it is this node or unknown."""
        if self._ledger.leads(JOBS_KEY):
            return None
        return self._job_receiver.leader_address or self._ledger.leader_address(JOBS_KEY)

    def _local_jobs(self) -> list[NewestJob]:
        """Jobs of the local replica, which may lag behind on a follower."""
        machine = self._ledger.local_machine(JOBS_KEY, BatchJobs)
        if not isinstance(machine, BatchJobs):
            return []
        jobs = [state.job for state in list(machine.jobs.values())]
        return [
            NewestJob(job.id, job.model, job.minimum_version, job.accepted_at_s) for job in jobs
        ]

    def drain(self, deadline_s: float) -> None:
        """Release the lease."""
        self._draining.set()
        self._lease.release()

    def stop(self) -> None:
        """The tasks end with the executors."""

    def _keep_lease(self, stopping: threading.Event) -> None:
        if self._settings.node.bootstrap:
            # Spread the first starts, so that one node creates the lease and announces it.
            self._lease.wake_event.wait(random.uniform(0.0, FIRST_START_JITTER_S))
        while not stopping.is_set() and not self._draining.is_set():
            self._lease.step()
            self._lease.wake_event.wait(self._lease.pause_s())
            self._lease.wake_event.clear()

    def _is_cut_off(self) -> bool:
        """Whether the store has served peers since renewals began to fail here."""
        started_s = self._lease.failing_since_s()
        return started_s is not None and self._views.relayed_as_of_s() > started_s + SERVED_MARGIN_S

    def _control(self, stopping: threading.Event) -> None:
        while not stopping.wait(CONTROL_STEP_S):
            if self._draining.is_set():
                continue
            if self._is_cut_off():
                self._lease.hand_over()
            if self._job_announcer is not None and self._ledger.leads(JOBS_KEY):
                self._job_announcer.announce(self._local_jobs())
            self._controller.step()
