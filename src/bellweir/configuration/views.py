"""Typed snapshots built from the tables, one change at a time."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import cbor2
import pydantic

from bellweir.clients.interface import Machine, MachineState
from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.configuration.messages import Change
from bellweir.resources.models import Comparison, Policy, Pool, WeightVersion

MACHINE_KIND = "Machine"

Kind = TypeVar("Kind", bound=pydantic.BaseModel)

UnreadableReporter = Callable[[Change, str], None]


def encode_document(document: Any) -> bytes:
    """A document in canonical CBOR, so that equal documents have equal bytes."""
    return cbor2.dumps(document, canonical=True)


def decode_document(encoded: bytes) -> dict[str, Any]:
    """The document of a change. Raises `ValueError` when it is no map."""
    document = cbor2.loads(encoded)
    if not isinstance(document, dict):
        raise ValueError("document is no map")
    return document


def machine_change(machine: Machine, revision: int) -> Change:
    """A machine as an entry of the machine table."""
    fields = [machine.address, machine.zone, machine.region, machine.role, machine.pool]
    encoded = encode_document({"fields": [*fields, machine.state.value]})
    return Change(MACHINE_KIND, machine.name, revision, encoded)


def machine_of(change: Change) -> Machine:
    """The machine of an entry. Raises `ValueError` or `KeyError` when it is none."""
    fields = decode_document(change.document or b"")["fields"]
    address, zone, region, role, pool, state = fields
    return Machine(change.name, address, zone, region, role, pool, MachineState(state))


def _updated(
    before: dict[str, Kind],
    kind: type[Kind],
    changes: Iterable[Change],
    report_unreadable: UnreadableReporter,
) -> dict[str, Kind]:
    wanted = [change for change in changes if change.kind == kind.__name__]
    if not wanted:
        return before
    after = dict(before)
    for change in wanted:
        if change.document is None:
            after.pop(change.name, None)
            continue
        try:
            after[change.name] = _model_of(kind, change)
        except (ValueError, pydantic.ValidationError) as failure:
            report_unreadable(change, str(failure))
    return after


def _model_of(kind: type[Kind], change: Change) -> Kind:
    document = decode_document(change.document or b"")
    document["metadata"] = {**document.get("metadata", {}), "resourceVersion": change.version}
    return kind.model_validate(document)


class SnapshotBuilder:
    """Holds the newest snapshot; unchanged kinds are shared between snapshots.

    A stored document that can't be read is reported, and its last readable version stays.
    """

    def __init__(self, report_unreadable: UnreadableReporter) -> None:
        self._report = report_unreadable
        self._policies: dict[str, Policy] = {}
        self._weight_versions: dict[str, WeightVersion] = {}
        self._pools: dict[str, Pool] = {}
        self._comparisons: dict[str, Comparison] = {}
        self._machines: dict[str, Machine] = {}

    def apply_resources(self, changes: tuple[Change, ...]) -> None:
        """Take over changes of the resource table."""
        self._policies = _updated(self._policies, Policy, changes, self._report)
        self._weight_versions = _updated(
            self._weight_versions, WeightVersion, changes, self._report
        )
        self._pools = _updated(self._pools, Pool, changes, self._report)
        self._comparisons = _updated(self._comparisons, Comparison, changes, self._report)

    def apply_machines(self, changes: tuple[Change, ...]) -> None:
        """Take over changes of the machine table."""
        machines = dict(self._machines)
        for change in changes:
            if change.document is None:
                machines.pop(change.name, None)
                continue
            try:
                machines[change.name] = machine_of(change)
            except (ValueError, KeyError, TypeError) as failure:
                self._report(change, str(failure))
        self._machines = machines

    def snapshot(self, revision: int, machines_revision: int) -> ConfigurationSnapshot:
        """The snapshot of everything taken over so far."""
        return ConfigurationSnapshot(
            revision=max(0, revision),
            policies=self._policies,
            weight_versions=self._weight_versions,
            pools=self._pools,
            comparisons=self._comparisons,
            machines=self._machines,
            machines_revision=max(0, machines_revision),
        )
