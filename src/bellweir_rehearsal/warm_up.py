"""Waits until every node of a fresh deployment serves every policy and pool."""

import json
import time
from collections.abc import Iterator

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
        for method, path, body in _probes(cluster):
            last = _probe(client, address, method, path, body)
            while last is not None:
                if time.monotonic() > deadline:
                    raise WarmUpError(f"{address.node}: {path}: {last}")
                time.sleep(PAUSE_S)
                last = _probe(client, address, method, path, body)


def _probes(cluster: Cluster) -> Iterator[tuple[str, str, bytes | None]]:
    for policy in cluster.deployment.policies:
        call = {"model": policy.name, "prompt": "warm-up", "max_tokens": 1}
        yield "POST", "/v1/completions", json.dumps(call).encode()
    for pool in cluster.deployment.application_pools:
        yield "GET", f"/apps/{pool.name}{PROBE_PATH}", None


def _probe(
    client: HttpClient, address: NodeAddress, method: str, path: str, body: bytes | None
) -> str | None:
    """Send one request; None when it was answered, else what came instead."""
    try:
        answer = client.send(
            address.gateway_address,
            method,
            path,
            headers={"Content-Type": "application/json"} if body else {},
            body=body,
            timeout_s=CALL_TIMEOUT_S,
        )
    except (NotConnectedError, CutError) as failure:
        return str(failure)
    return None if answer.status == 200 else f"{answer.status} {answer.body[:200]!r}"
