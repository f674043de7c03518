"""The resource documents of a deployment."""

import threading
from collections.abc import Sequence
from typing import Any

from bellweir.resources.models import API_VERSION
from bellweir_rehearsal.callers.operator import Operator
from bellweir_rehearsal.topology.cluster import Cluster
from bellweir_rehearsal.topology.deployment import Policy
from bellweir_rehearsal.topology.standins import StandinProcess

Document = dict[str, Any]


def policy_document(policy: Policy, version: int) -> Document:
    """A policy that wants a version."""
    return _document("Policy", policy.name, {"model": policy.model, "version": version})


def weight_version_document(policy: str, version: int) -> Document:
    """A published weight version."""
    name = f"{policy}-v{version}"
    return _document("WeightVersion", name, {"policy": policy, "version": version})


def deployment_documents(cluster: Cluster) -> list[Document]:
    """Everything that a fresh deployment needs, in the order in which to apply it."""
    deployment = cluster.deployment
    documents: list[Document] = []
    for policy in deployment.policies:
        documents.append(policy_document(policy, policy.first_version))
        documents.append(weight_version_document(policy.name, policy.first_version))
    documents += pool_documents(cluster)
    return documents


def pool_documents(cluster: Cluster, leaving: Sequence[str] = ()) -> list[Document]:
    """All pools with the workers' present addresses; workers named in `leaving` are marked."""
    deployment = cluster.deployment
    documents = [
        _document(
            "Pool",
            pool.name,
            {
                "kind": "engine",
                "policies": list(pool.policies),
                "workers": _workers(cluster, cluster.engines[pool.name], leaving),
                "strategy": pool.strategy,
            },
        )
        for pool in deployment.engine_pools
    ]
    documents += [
        _document(
            "Pool",
            pool.name,
            {
                "kind": "application",
                "workers": _workers(cluster, cluster.applications[pool.name], leaving),
                "oncePaths": list(pool.once_paths),
            },
        )
        for pool in deployment.application_pools
    ]
    return documents


class PoolWriter:
    """Writes pools whose workers leave and come back; safe from several threads."""

    def __init__(self, cluster: Cluster, operator: Operator) -> None:
        self._cluster = cluster
        self._operator = operator
        self._lock = threading.Lock()
        self._leaving: set[str] = set()

    def set_leaving(self, worker: str, *, leaving: bool) -> None:
        """Mark a worker as leaving, or take it back. Raises `OperatorError`."""
        with self._lock:
            (self._leaving.add if leaving else self._leaving.discard)(worker)
            document = self._pool_of(worker)
        self._operator.apply(document)

    def _pool_of(self, worker: str) -> Document:
        documents = pool_documents(self._cluster, sorted(self._leaving))
        return next(
            document
            for document in documents
            if any(entry["name"] == worker for entry in document["spec"]["workers"])
        )


def _workers(
    cluster: Cluster, processes: Sequence[StandinProcess], leaving: Sequence[str]
) -> list[Document]:
    return [
        {
            "name": process.name,
            "address": process.address,
            "zone": process.command.zone,
            "region": cluster.deployment.region_of(process.command.zone),
            "leaving": process.name in leaving,
        }
        for process in processes
    ]


def _document(kind: str, name: str, spec: Document) -> Document:
    return {"apiVersion": API_VERSION, "kind": kind, "metadata": {"name": name}, "spec": spec}
