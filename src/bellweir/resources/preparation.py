"""Turns a checked document into the one that is stored over the current version."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from bellweir.clients.interface import StoredObject
from bellweir.resources.documents import INTERNAL_ANNOTATION_PREFIX, operator_version
from bellweir.resources.interface import ResourceError, ResourceErrorKind, ResourceFinding
from bellweir.resources.models import API_VERSION, AnyResource
from bellweir.resources.validation import invalid
from bellweir.resources.writer import conflict


@dataclass(frozen=True)
class Prepared:
    """A document ready to be stored."""

    kind: str
    name: str
    generation: int
    changed: bool
    """Whether it differs from the current version."""
    document: dict[str, Any]


def prepare(
    document: Mapping[str, Any], resource: AnyResource, base: StoredObject | None
) -> Result[Prepared, ResourceError]:
    """Fill in generation and status; a replacement must name the current version."""
    named = resource.metadata.resource_version
    if base is None and named not in (None, 0):
        return Failure(_exists_not(resource, named))
    if base is not None:
        if named is None:
            required = f"the version to replace; the current one is {base.version}"
            finding = ResourceFinding("metadata.resourceVersion", "nothing", required)
            return Failure(invalid((finding,)))
        if not is_current(named, base):
            return Failure(conflict(base, document, named))
    return Success(_prepared(resource, base))


def is_current(named: int, base: StoredObject) -> bool:
    """Whether the version an operator has seen holds all that operators have written.

    Status reports in between are no conflict: they change nothing that an operator writes.
    """
    return operator_version(base.document, base.version) <= named <= base.version


def _exists_not(resource: AnyResource, named: int | None) -> ResourceError:
    return ResourceError(
        ResourceErrorKind.CONFLICT,
        f"{resource.kind} {resource.metadata.name} does not exist, but version {named} was named",
    )


def _prepared(resource: AnyResource, base: StoredObject | None) -> Prepared:
    spec = resource.spec.model_dump(mode="json", by_alias=True, exclude_unset=True)
    same_spec = base is not None and _same_spec(base, resource)
    generation = 1 if base is None else _generation_of(base) + (0 if same_spec else 1)
    stored = {
        "apiVersion": API_VERSION,
        "kind": resource.kind,
        "metadata": _metadata(resource, generation),
        "spec": spec,
        "status": {} if base is None else dict(base.document.get("status", {})),
    }
    changed = base is None or not same_spec or _labels_differ(base, stored)
    return Prepared(resource.kind, resource.metadata.name, generation, changed, stored)


def _metadata(resource: AnyResource, generation: int) -> dict[str, Any]:
    metadata: dict[str, Any] = {"name": resource.metadata.name, "generation": generation}
    if resource.metadata.labels:
        metadata["labels"] = dict(resource.metadata.labels)
    annotations = _public(resource.metadata.annotations)
    if annotations:
        metadata["annotations"] = annotations
    return metadata


def _public(annotations: Mapping[str, str]) -> dict[str, str]:
    return {
        key: value
        for key, value in annotations.items()
        if not key.startswith(INTERNAL_ANNOTATION_PREFIX)
    }


def _generation_of(base: StoredObject) -> int:
    return int(base.document.get("metadata", {}).get("generation", 0))


def _same_spec(base: StoredObject, resource: AnyResource) -> bool:
    """Compare with defaults filled in: naming a default is no change."""
    try:
        before = type(resource.spec).model_validate(base.document.get("spec", {}))
    except ValueError:
        return False
    return bool(before == resource.spec)


def _labels_differ(base: StoredObject, stored: Mapping[str, Any]) -> bool:
    before: Mapping[str, Any] = base.document.get("metadata", {})
    after: Mapping[str, Any] = stored["metadata"]
    if before.get("labels", {}) != after.get("labels", {}):
        return True
    return bool(_public(before.get("annotations", {})) != after.get("annotations", {}))
