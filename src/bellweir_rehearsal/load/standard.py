"""A load for any deployment: every request class, streams, keys, and a trainer for each policy."""

from bellweir_rehearsal.load.mix import ArrivalShape, Load, TrafficClass, TrainerLoad
from bellweir_rehearsal.topology.deployment import Deployment

MODEST_RATE_FOR_EACH_S = 5.0


def standard_load(deployment: Deployment, rate_for_each_s: float = MODEST_RATE_FOR_EACH_S) -> Load:
    """Each class of requests at `rate_for_each_s` arrivals a second."""
    traffic: list[TrafficClass] = []
    for pool in deployment.application_pools:
        traffic += _application_traffic(pool.name, pool.once_paths, rate_for_each_s)
    for policy in deployment.policies:
        traffic += _completion_traffic(policy.name, rate_for_each_s)
    trainers: list[TrainerLoad] = []
    for policy in deployment.policies:
        trainers.append(TrainerLoad(policy=policy.name))
        trainers.append(TrainerLoad(policy=policy.name, publishes=False, train_s=1.0))
    return Load(traffic=tuple(traffic), trainers=tuple(trainers))


def _application_traffic(
    pool: str, once_paths: tuple[str, ...], rate_for_each_s: float
) -> list[TrafficClass]:
    traffic = [
        TrafficClass(
            name=f"{pool} interactive",
            kind="application",
            request_class="interactive",
            rate_for_each_s=rate_for_each_s,
            target=pool,
            path="/check",
            arrivals=ArrivalShape(shape="bursts", period_s=8, burst_s=1, factor=4),
        ),
        TrafficClass(
            name=f"{pool} lookup",
            kind="application",
            request_class="lookup",
            rate_for_each_s=rate_for_each_s,
            target=pool,
            method="GET",
            path="/records",
        ),
    ]
    if once_paths:
        traffic.append(
            TrafficClass(
                name=f"{pool} once",
                kind="application",
                request_class="once",
                rate_for_each_s=rate_for_each_s,
                target=pool,
                path=once_paths[0],
            )
        )
    return traffic


def _completion_traffic(policy: str, rate_for_each_s: float) -> list[TrafficClass]:
    return [
        TrafficClass(
            name=f"{policy} short",
            kind="completion",
            request_class="interactive",
            rate_for_each_s=rate_for_each_s,
            target=policy,
        ),
        TrafficClass(
            name=f"{policy} long",
            kind="completion",
            request_class="interactive",
            rate_for_each_s=rate_for_each_s / 4,
            target=policy,
            median_tokens=600,
            streamed_share=1.0,
            deadline_ms=20_000,
        ),
    ]
