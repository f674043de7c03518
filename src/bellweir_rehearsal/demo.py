"""`bellweir rehearse demo`: the whole path once, in less than a minute."""

from bellweir_rehearsal.faults.kinds import FaultKind
from bellweir_rehearsal.faults.schedule import PlannedFault
from bellweir_rehearsal.load.mix import Load, TrafficClass, TrainerLoad
from bellweir_rehearsal.plan import RunPlan
from bellweir_rehearsal.topology.deployment import (
    ApplicationPool,
    Deployment,
    EnginePool,
    Policy,
    Zone,
)

DEMO_LOAD_S = 12.0
DEMO_SEED = 1


def demo_plan() -> RunPlan:
    """Three nodes in three zones, two engines, one application worker, one trainer."""
    return RunPlan(
        deployment=_deployment(),
        load=_load(),
        duration_s=DEMO_LOAD_S,
        seed=DEMO_SEED,
        faults=(
            PlannedFault(
                at_s=4.0, kind=FaultKind.WORKER_LEAVES, duration_s=6.0, target="engines-2"
            ),
            PlannedFault(
                at_s=6.0, kind=FaultKind.NODE_STOP, duration_s=1.0, target="node-zone-c-1"
            ),
        ),
        settle_s=3.0,
    )


def _deployment() -> Deployment:
    return Deployment(
        name="demo",
        zone_delay_ms=0.5,
        client_delay_ms=1.0,
        staleness_bound_versions=1,
        zones=(Zone(name="zone-a"), Zone(name="zone-b"), Zone(name="zone-c")),
        policies=(Policy(name="policy-1", model="model-1"),),
        engine_pools=(
            EnginePool(name="engines", policies=("policy-1",), workers=("zone-a", "zone-b")),
        ),
        application_pools=(
            ApplicationPool(name="application", workers=("zone-c",), once_paths=("/commands",)),
        ),
    )


def _load() -> Load:
    return Load(
        traffic=(
            TrafficClass(
                name="interactive",
                kind="application",
                request_class="interactive",
                rate_for_each_s=8,
                target="application",
                path="/check",
            ),
            TrafficClass(
                name="lookup",
                kind="application",
                request_class="lookup",
                rate_for_each_s=8,
                target="application",
                method="GET",
                path="/records",
            ),
            TrafficClass(
                name="once",
                kind="application",
                request_class="once",
                rate_for_each_s=4,
                target="application",
                path="/commands",
            ),
            TrafficClass(
                name="completion",
                kind="completion",
                request_class="interactive",
                rate_for_each_s=6,
                target="policy-1",
                streamed_share=0.7,
            ),
            TrafficClass(
                name="long stream",
                kind="completion",
                request_class="interactive",
                rate_for_each_s=4,
                target="policy-1",
                median_tokens=800,
                streamed_share=1.0,
                deadline_ms=20_000,
            ),
        ),
        trainers=(
            TrainerLoad(
                policy="policy-1", prompts_for_each_step=4, max_tokens=80, train_s=1.5, steps=3
            ),
        ),
    )
