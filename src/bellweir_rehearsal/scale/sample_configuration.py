"""The configuration that a scale run loads: pools over a machine list, policies, versions."""

from collections.abc import Sequence

from bellweir.clients.interface import Machine, MachineState
from bellweir.configuration.messages import Change
from bellweir.configuration.views import encode_document, machine_change
from bellweir.resources.models import API_VERSION
from bellweir_rehearsal.scale.commands import NodeSpec

POLICIES = 6
VERSIONS_OF_EACH_POLICY = 5
POOLS = 12
FIRST_REVISION = 100
UNUSED_ADDRESS = "127.0.0.1:9"
"""Of every worker: a port on this machine on which nobody listens."""


def zone_name(number: int) -> str:
    """Return the name of a zone."""
    return f"zone-{number}"


def region_name(zone: int, zones: int, regions: int) -> str:
    """Return the region of a zone: zones are split evenly over the regions."""
    return f"region-{zone * regions // zones}"


def node_specs(nodes: int, zones: int, regions: int, prefix: str = "node") -> list[NodeSpec]:
    """Return the nodes, spread evenly over the zones."""
    return [
        NodeSpec(
            f"{prefix}-{number:03d}",
            zone_name(number % zones),
            region_name(number % zones, zones, regions),
        )
        for number in range(nodes)
    ]


def machines(workers: int, zones: int, regions: int) -> list[Change]:
    """Return the machine list's entries for the workers."""
    return [
        machine_change(
            Machine(
                name=f"worker-{number:04d}",
                address=UNUSED_ADDRESS,
                zone=zone_name(number % zones),
                region=region_name(number % zones, zones, regions),
                role="engine",
                pool=f"pool-{number % POOLS}",
                state=MachineState.LIVE,
            ),
            FIRST_REVISION,
        )
        for number in range(workers)
    ]


def resources(with_pools: bool) -> list[Change]:
    """Return the first resources."""
    policies = [policy_change(f"policy-{n}", 0, FIRST_REVISION) for n in range(POLICIES)]
    versions = [
        _change(
            "WeightVersion",
            f"policy-{policy}-v{version}",
            {"policy": f"policy-{policy}", "version": version},
            FIRST_REVISION,
        )
        for policy in range(POLICIES)
        for version in range(VERSIONS_OF_EACH_POLICY)
    ]
    pools = [
        _change("Pool", f"pool-{pool}", _pool_spec(pool), FIRST_REVISION) for pool in range(POOLS)
    ]
    if not with_pools:
        return [*policies, *versions]
    return [*policies, *versions, *pools]


def policy_change(name: str, version: int, revision: int) -> Change:
    """Return a policy that wants a weight version, as a roll-out every two minutes writes it."""
    return _change("Policy", name, {"model": name, "version": version}, revision)


def _pool_spec(pool: int) -> dict[str, object]:
    policies: Sequence[str] = [f"policy-{pool % POLICIES}"]
    return {"kind": "engine", "policies": policies, "fromMachineList": True}


def _change(kind: str, name: str, spec: dict[str, object], revision: int) -> Change:
    document = {
        "apiVersion": API_VERSION,
        "kind": kind,
        "metadata": {"name": name, "generation": 1},
        "spec": spec,
    }
    return Change(kind, name, revision, encode_document(document))
