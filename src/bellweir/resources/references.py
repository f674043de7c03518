"""Checks of a document against the configuration in force: what it names, and who names it."""

import difflib
import re
from collections.abc import Iterable, Iterator
from dataclasses import replace

from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.resources.documents import DELETING_ANNOTATION, shown
from bellweir.resources.interface import ResourceError, ResourceErrorKind, ResourceFinding
from bellweir.resources.models import AnyResource, Comparison, Policy, Pool, WeightVersion

REFERENCE_PATHS = re.compile(
    r"spec\.(policy|version|policies\[\d+\]|arms\[\d+\]\.(policy|version))"
)
"""Key paths whose values name other resources."""


def refers(resource: AnyResource) -> bool:
    """Whether a resource names others."""
    if isinstance(resource, Pool):
        return bool(resource.spec.policies)
    return not isinstance(resource, Policy) or resource.spec.version is not None


def reference_findings(
    resource: AnyResource, snapshot: ConfigurationSnapshot, now_s: float
) -> tuple[ResourceFinding, ...]:
    """Names in a resource that nothing in force has, or only what is being deleted.

    `now_s` is the wall clock, in seconds since 1970 UTC.
    """
    snapshot = _staying(snapshot, now_s)
    match resource:
        case Policy():
            return tuple(_policy_findings(resource, snapshot))
        case WeightVersion():
            return tuple(_policy_named("spec.policy", resource.spec.policy, snapshot))
        case Pool():
            return tuple(
                finding
                for index, policy in enumerate(resource.spec.policies)
                for finding in _policy_named(f"spec.policies[{index}]", policy, snapshot)
            )
        case Comparison():
            return tuple(_comparison_findings(resource, snapshot))


def _staying(snapshot: ConfigurationSnapshot, now_s: float) -> ConfigurationSnapshot:
    """The snapshot without what is being deleted."""
    policies = {
        name: policy for name, policy in snapshot.policies.items() if not _deleting(policy, now_s)
    }
    versions = {
        name: version
        for name, version in snapshot.weight_versions.items()
        if not _deleting(version, now_s)
    }
    return replace(snapshot, policies=policies, weight_versions=versions)


def _deleting(resource: AnyResource, now_s: float) -> bool:
    until_s = resource.metadata.annotations.get(DELETING_ANNOTATION, "0")
    return until_s.isdecimal() and float(until_s) > now_s


def _policy_findings(policy: Policy, snapshot: ConfigurationSnapshot) -> Iterator[ResourceFinding]:
    """A new policy may name its version ahead, as a weight version must name its policy."""
    wanted = policy.spec.version
    before = snapshot.policies.get(policy.metadata.name)
    if wanted is None or before is None or before.spec.version == wanted:
        return
    yield from _version_named("spec.version", policy.metadata.name, wanted, snapshot)


def _comparison_findings(
    comparison: Comparison, snapshot: ConfigurationSnapshot
) -> Iterator[ResourceFinding]:
    yield from _policy_named("spec.policy", comparison.spec.policy, snapshot)
    for index, arm in enumerate(comparison.spec.arms):
        path = f"spec.arms[{index}]"
        missing = tuple(_policy_named(f"{path}.policy", arm.policy, snapshot))
        yield from missing
        if not missing and arm.version is not None:
            yield from _version_named(f"{path}.version", arm.policy, arm.version, snapshot)


def _policy_named(
    path: str, policy: str, snapshot: ConfigurationSnapshot
) -> Iterator[ResourceFinding]:
    if policy in snapshot.policies:
        return
    nearest = difflib.get_close_matches(policy, snapshot.policies, n=1)
    hint = f"; did you mean {nearest[0]}?" if nearest else ""
    yield ResourceFinding(path, shown(policy), f"the name of a policy in force{hint}")


def _version_named(
    path: str, policy: str, version: int, snapshot: ConfigurationSnapshot
) -> Iterator[ResourceFinding]:
    known = sorted(_versions_of(policy, snapshot.weight_versions.values()))
    if version not in known:
        allowed = f"a version of {policy} that has a WeightVersion: {known[-5:]}"
        yield ResourceFinding(path, shown(version), allowed)


def _versions_of(policy: str, versions: Iterable[WeightVersion]) -> set[int]:
    return {version.spec.version for version in versions if version.spec.policy == policy}


def in_use(kind: str, name: str, users: tuple[ResourceFinding, ...]) -> ResourceError:
    """The refusal to delete what others name."""
    detail = f"{kind} {name} is in use by {len(users)} resource(s)"
    return ResourceError(ResourceErrorKind.IN_USE, detail, users)


def users_of(kind: str, name: str, snapshot: ConfigurationSnapshot) -> tuple[ResourceFinding, ...]:
    """Resources in force that name the given one, as findings."""
    if kind == "Policy":
        return tuple(_users_of_policy(name, snapshot))
    if kind == "WeightVersion":
        return tuple(_users_of_version(name, snapshot))
    return ()


def _users_of_policy(name: str, snapshot: ConfigurationSnapshot) -> Iterator[ResourceFinding]:
    for version in snapshot.weight_versions.values():
        if version.spec.policy == name:
            yield _use("WeightVersion", version.metadata.name, "spec.policy")
    for pool in snapshot.pools.values():
        if name in pool.spec.policies:
            yield _use("Pool", pool.metadata.name, "spec.policies")
    for comparison in snapshot.comparisons.values():
        if name == comparison.spec.policy or name in {arm.policy for arm in comparison.spec.arms}:
            yield _use("Comparison", comparison.metadata.name, "spec")


def _users_of_version(name: str, snapshot: ConfigurationSnapshot) -> Iterator[ResourceFinding]:
    version = snapshot.weight_versions.get(name)
    if version is None:
        return
    wanted = (version.spec.policy, version.spec.version)
    policy = snapshot.policies.get(version.spec.policy)
    if policy is not None and (policy.metadata.name, policy.spec.version) == wanted:
        yield _use("Policy", policy.metadata.name, "spec.version")
    for comparison in snapshot.comparisons.values():
        if wanted in {(arm.policy, arm.version) for arm in comparison.spec.arms}:
            yield _use("Comparison", comparison.metadata.name, "spec.arms")


def _use(kind: str, name: str, path: str) -> ResourceFinding:
    return ResourceFinding(f"{kind}/{name}:{path}", "names this resource", "no use of it")
