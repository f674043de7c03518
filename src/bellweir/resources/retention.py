"""Deletes weight versions that are long superseded, so that what each node holds stays bounded.

Six trainers that publish every two minutes make 4,320 weight versions a day. Of each policy the
newest `spec.keepVersions` are kept, and each one that a policy or a comparison names. Only the
node that reports for the cluster deletes, by the same steps as an operator would.
"""

from collections import defaultdict

from returns.result import Success

from bellweir.configuration.interface import Configuration, ConfigurationSnapshot, RevisionCensus
from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.resources.interface import Resources
from bellweir.resources.log_events import WEIGHT_VERSION_RETIRED
from bellweir.resources.models import WeightVersion
from bellweir.resources.references import users_of

KIND = "WeightVersion"
PERIOD_S = 10.0
"""Time between two looks, in seconds."""
DELETIONS_IN_A_LOOK = 10
"""At most one a second in the mean, so that a long backlog does not flood the store."""


class VersionRetention:
    """Looks for superseded weight versions while this node reports for the cluster."""

    def __init__(
        self,
        census: RevisionCensus,
        configuration: Configuration,
        resources: Resources,
        clock: Clock,
    ) -> None:
        self._census = census
        self._configuration = configuration
        self._resources = resources
        self._clock = clock
        self._next_look_s = clock.monotonic_s() + PERIOD_S

    def look(self) -> None:
        """Delete a few superseded versions, if a look is due."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_look_s or self._census.spread() is None:
            return
        self._next_look_s = now_s + PERIOD_S
        for version in superseded(self._configuration.current())[:DELETIONS_IN_A_LOOK]:
            self._delete(version)

    def _delete(self, version: WeightVersion) -> None:
        name = version.metadata.name
        match self._resources.delete(KIND, name, version.metadata.resource_version):
            case Success(_):
                emit(WEIGHT_VERSION_RETIRED, name=name, policy=version.spec.policy)


def superseded(snapshot: ConfigurationSnapshot) -> list[WeightVersion]:
    """Versions beyond what their policy keeps and that nothing names, oldest first."""
    by_policy: dict[str, list[WeightVersion]] = defaultdict(list)
    for version in snapshot.weight_versions.values():
        by_policy[version.spec.policy].append(version)
    found: list[WeightVersion] = []
    for name, versions in by_policy.items():
        policy = snapshot.policies.get(name)
        if policy is None or len(versions) <= policy.spec.keep_versions:
            continue
        versions.sort(key=lambda version: version.spec.version)
        found += versions[: -policy.spec.keep_versions]
    return [each for each in found if not users_of(KIND, each.metadata.name, snapshot)]
