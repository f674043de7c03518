"""Waits until every node of a fresh deployment serves every policy and pool."""

import json
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from bellweir_rehearsal.callers.directory import NodeAddress
from bellweir_rehearsal.callers.http import CutError, HttpClient, NotConnectedError
from bellweir_rehearsal.topology.cluster import Cluster

TIMEOUT_S = 30.0
PAUSE_S = 0.1
CALL_TIMEOUT_S = 5.0
PROBE_PATH = "/warm-up"


class WarmUpError(RuntimeError):
    """The deployment did not come into service in time."""


def warm_up(cluster: Cluster, client: HttpClient) -> None:
    """Send each node one small request for each policy and pool until all are answered.

    Raises `WarmUpError` with the last answer when the time is over.
    """
    deadline = time.monotonic() + TIMEOUT_S
    for address in cluster.directory.all_nodes():
        for call in _probes(cluster, address.node):
            last = _probe(client, address, call)
            while last is not None:
                if time.monotonic() > deadline:
                    raise WarmUpError(f"{address.node}: {call.path}: {last}")
                time.sleep(PAUSE_S)
                last = _probe(client, address, call)


@dataclass(frozen=True)
class _ProbeCall:
    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = field(default_factory=dict)


def _probes(cluster: Cluster, node: str) -> Iterator[_ProbeCall]:
    for policy in cluster.deployment.policies:
        call = {"model": policy.name, "prompt": "warm-up", "max_tokens": 1}
        headers = {"Content-Type": "application/json"}
        yield _ProbeCall("POST", "/v1/completions", json.dumps(call).encode(), headers)
    for pool in cluster.deployment.application_pools:
        yield _ProbeCall("GET", f"/apps/{pool.name}{PROBE_PATH}")
        for path in pool.once_paths:
            # Answered only once the ledger's shard of the key has a leader.
            headers = {"Idempotency-Key": f"warm-up-{node}-{path}", "X-Bellweir-Class": "once"}
            yield _ProbeCall("POST", f"/apps/{pool.name}{path}?wish=warm-up-{node}", b"", headers)


def _probe(client: HttpClient, address: NodeAddress, call: _ProbeCall) -> str | None:
    """Send one request; None when it was answered, else what came instead."""
    try:
        answer = client.send(
            address.gateway_address,
            call.method,
            call.path,
            headers=call.headers,
            body=call.body,
            timeout_s=CALL_TIMEOUT_S,
        )
    except (NotConnectedError, CutError) as failure:
        return str(failure)
    return None if answer.status == 200 else f"{answer.status} {answer.body[:200]!r}"
