"""Puts the parts of the service `samples` together."""

from dataclasses import dataclass

from bellweir.clients.interface import PlatformClients
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.ledger.interface import Ledger, SegmentStore
from bellweir.membership.interface import Membership
from bellweir.routing.interface import Dispatcher
from bellweir.samples.assigning import AttemptAssigner, LocalHolder
from bellweir.samples.attempt_table import AttemptTable
from bellweir.samples.bulk import BulkStore
from bellweir.samples.committer import SampleCommitter
from bellweir.samples.coordinator import StepCoordinator
from bellweir.samples.delivery import SampleDelivery
from bellweir.samples.holder import AttemptHolder
from bellweir.samples.led_steps import LedSteps
from bellweir.samples.ledger_calls import StepCalls
from bellweir.samples.publications import PublicationClock
from bellweir.samples.rescoring import Rescorer
from bellweir.samples.runner import AttemptRunner
from bellweir.samples.scoring import ScoringQueue
from bellweir.settings.models import Settings
from bellweir.wire.interface import Transport


@dataclass(frozen=True)
class SamplesParts:
    """What the service calls."""

    ledger: Ledger
    transport: Transport
    bulk: BulkStore
    calls: StepCalls
    delivery: SampleDelivery
    runner: AttemptRunner
    holder: AttemptHolder
    coordinator: StepCoordinator


def build_parts(kernel: Kernel, settings: Settings, publications: PublicationClock) -> SamplesParts:
    """Build the parts from the services in the registry."""
    registry = kernel.registry
    clock = kernel.clock
    ledger = registry.find(names.LEDGER, Ledger)  # type: ignore[type-abstract]
    transport = registry.find(names.TRANSPORT, Transport)  # type: ignore[type-abstract]
    platform = registry.find(names.PLATFORM, PlatformClients)  # type: ignore[type-abstract]
    membership = registry.find(names.MEMBERSHIP, Membership)  # type: ignore[type-abstract]
    bulk = BulkStore(registry.find(names.SEGMENTS, SegmentStore))  # type: ignore[type-abstract]
    table = AttemptTable(settings.samples.lease_s)
    assigner = AttemptAssigner(
        clock=clock,
        ledger=ledger,
        membership=membership,
        transport=transport,
        table=table,
        lease_s=settings.samples.lease_s,
    )
    scoring = ScoringQueue(kernel.executors, clock, platform, ledger)
    coordinator = StepCoordinator(
        clock=clock,
        ledger=ledger,
        publications=publications,
        bulk=bulk,
        led_steps=LedSteps(ledger, settings.ledger.shards),
        table=table,
        assigner=assigner,
        rescorer=Rescorer(clock, bulk, scoring, orphan_after_s=settings.samples.lease_s),
        duplicate_budget=settings.samples.duplicate_budget,
    )
    holder = AttemptHolder(
        node=settings.node.name,
        clock=clock,
        ledger=ledger,
        transport=transport,
        to_local_coordinator=coordinator.take_report,
    )
    runner = AttemptRunner(
        executors=kernel.executors,
        clock=clock,
        dispatcher=registry.find(names.DISPATCHER, Dispatcher),  # type: ignore[type-abstract]
        bulk=bulk,
        committer=SampleCommitter(kernel.executors, clock, ledger, bulk, publications),
        scoring=scoring,
        concurrency=settings.samples.concurrency,
        drain_patience_s=settings.samples.drain_patience_s,
        on_end=holder.note_end,
    )
    holder.use(runner)
    assigner.use(LocalHolder(holder.take_assignments, holder.take_instructions, runner.free_places))
    calls = StepCalls(kernel, ledger)
    delivery = SampleDelivery(kernel, calls, bulk, publications)
    return SamplesParts(ledger, transport, bulk, calls, delivery, runner, holder, coordinator)
