"""When this node first saw each published weight version."""

import threading

from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.kernel.clock import Clock
from bellweir.samples.messages import Observation, Publication
from bellweir.samples.staleness import UNKNOWN_TIME_S, merge_publications

KEPT_VERSIONS = 64
"""Newest versions remembered for each policy; older ones are of unknown age."""


class PublicationClock:
    """Listens to the configuration; versions of its first snapshot are of unknown age."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._by_policy: dict[str, tuple[Publication, ...]] = {}
        self._has_seen_snapshot = False

    def observe_configuration(self, snapshot: ConfigurationSnapshot) -> None:
        """Take up a snapshot; a version keeps the time at which it was first seen."""
        now_s = self._clock.wall_s()
        with self._lock:
            seen_at_s = now_s if self._has_seen_snapshot else UNKNOWN_TIME_S
            self._has_seen_snapshot = True
            for resource in snapshot.weight_versions.values():
                self._note(resource.spec.policy, resource.spec.version, seen_at_s)

    def _note(self, policy: str, version: int, seen_at_s: float) -> None:
        known = self._by_policy.get(policy, ())
        if any(publication.version == version for publication in known):
            return
        merged = merge_publications(known, (Publication(version, seen_at_s),))
        self._by_policy[policy] = merged[-KEPT_VERSIONS:]

    def of_policy(self, policy: str) -> tuple[Publication, ...]:
        """Published versions of a policy in order."""
        with self._lock:
            return self._by_policy.get(policy, ())

    def observation(self, policy: str) -> Observation:
        """What this node knows now, for a command to the ledger."""
        return Observation(self._clock.wall_s(), self.of_policy(policy))
