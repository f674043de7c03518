"""Delays, losses and cuts between nodes, through the file that the nodes' transport reads."""

import json
import os
import threading
from dataclasses import asdict, dataclass, field
from pathlib import Path

from bellweir_rehearsal.topology.deployment import Deployment


@dataclass(frozen=True)
class NetworkRule:
    """One disturbance between two ends; an end is given by node, zone or region."""

    source: dict[str, str] = field(default_factory=dict)
    target: dict[str, str] = field(default_factory=dict)
    both_ways: bool = True
    cut: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0


class NetworkFile:
    """Writes the rules: those of faults first, then the deployment's own delays."""

    def __init__(self, path: Path, deployment: Deployment) -> None:
        self._path = path
        self._standing = _delays(deployment)
        self._faults: dict[str, tuple[NetworkRule, ...]] = {}
        self._lock = threading.Lock()
        self._write()

    def put(self, fault_id: str, rules: tuple[NetworkRule, ...]) -> None:
        """Put a fault's rules in force."""
        with self._lock:
            self._faults[fault_id] = rules
            self._write()

    def remove(self, fault_id: str) -> None:
        """End a fault."""
        with self._lock:
            self._faults.pop(fault_id, None)
            self._write()

    def _write(self) -> None:
        rules = [rule for entry in self._faults.values() for rule in entry]
        rules += self._standing
        partial = self._path.with_suffix(".partial")
        partial.write_text(json.dumps({"rules": [asdict(rule) for rule in rules]}))
        os.replace(partial, self._path)


def _delays(deployment: Deployment) -> tuple[NetworkRule, ...]:
    zones = [zone.name for zone in deployment.zones]
    return tuple(
        NetworkRule(
            source={"zone": zone},
            target={"zone": other},
            delay_ms=deployment.one_way_delay_ms(zone, other),
        )
        for index, zone in enumerate(zones)
        for other in zones[index + 1 :]
        if deployment.one_way_delay_ms(zone, other) > 0
    )
