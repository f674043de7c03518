"""Publishes new weight versions, as a trainer's pipeline does."""

import threading
from collections.abc import Mapping

from bellweir_rehearsal.callers.operator import Operator, Publication
from bellweir_rehearsal.topology.deployment import Deployment, Policy
from bellweir_rehearsal.topology.resources import policy_document, weight_version_document
from bellweir_rehearsal.topology.standins import StandinProcess


class Publisher:
    """Puts weights into the store, then declares the version; safe from several threads."""

    def __init__(
        self, deployment: Deployment, weight_store: StandinProcess, operator: Operator
    ) -> None:
        self._policies: Mapping[str, Policy] = {
            policy.name: policy for policy in deployment.policies
        }
        self._newest = {policy.name: policy.first_version for policy in deployment.policies}
        self._weight_store = weight_store
        self._operator = operator
        # One publication at a time for each policy: versions are published in their order.
        self._locks = {policy.name: threading.Lock() for policy in deployment.policies}

    def newest(self, policy: str) -> int:
        """The newest version whose publication was accepted."""
        return self._newest[policy]

    def publish(self, policy: str) -> int:
        """Publish the next version and let the policy want it; return the version.

        Raises `ControlError` when the weight store takes nothing and `OperatorError` when no
        node accepts the resources.
        """
        with self._locks[policy]:
            version = self._newest[policy] + 1
            model = self._policies[policy].model
            self._weight_store.control(
                "PUT", f"/weights/{model}/{version}", {"model": model, "version": version}
            )
            self._operator.apply(
                weight_version_document(policy, version),
                publication=Publication(policy, version),
            )
            self._newest[policy] = version
            self._operator.apply(policy_document(self._policies[policy], version))
            return version
