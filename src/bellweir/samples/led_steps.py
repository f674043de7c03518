"""The steps of the shards that this node leads, read from its own replicas."""

from dataclasses import dataclass

from bellweir.ledger.interface import Ledger
from bellweir.samples.machine import StepMachine
from bellweir.samples.records import StepRecord

SHARD_KEY_CANDIDATES = 100_000


@dataclass
class _CachedStep:
    changes: int
    step: StepRecord


class LedSteps:
    """Copies of the led running steps; a step is copied again only when it has changed."""

    def __init__(self, ledger: Ledger, shards: int) -> None:
        self._ledger = ledger
        self._shard_keys = one_key_for_each_shard(ledger, shards)
        self._cached: dict[str, _CachedStep] = {}

    def machines(self) -> list[StepMachine]:
        """State machines of the led shards."""
        found: list[StepMachine] = []
        for key in self._shard_keys:
            if not self._ledger.leads(key):
                continue
            machine = self._ledger.local_machine(key, StepMachine)
            if isinstance(machine, StepMachine):
                found.append(machine)
        return found

    def read(self) -> list[StepRecord]:
        """All led running steps, the longest declared first."""
        cached: dict[str, _CachedStep] = {}
        for machine in self.machines():
            for step_id, changes in machine.running_steps().items():
                entry = self._read_step(machine, step_id, changes)
                if entry is not None:
                    cached[step_id] = entry
        self._cached = cached
        steps = [entry.step for entry in cached.values()]
        return sorted(steps, key=lambda step: (step.declared_at_s, step.terms.step_id))

    def _read_step(self, machine: StepMachine, step_id: str, changes: int) -> _CachedStep | None:
        known = self._cached.get(step_id)
        if known is not None and known.changes == changes:
            return known
        step = machine.copy_step(step_id)
        return _CachedStep(changes, step) if step is not None else None


def one_key_for_each_shard(ledger: Ledger, shards: int) -> tuple[str, ...]:
    """One key that hashes to each shard, so that local replicas can be asked for by shard."""
    found: dict[int, str] = {}
    for number in range(SHARD_KEY_CANDIDATES):
        if len(found) == shards:
            break
        key = f"shard-key-{number}"
        found.setdefault(ledger.shard_of(key), key)
    return tuple(found.values())
