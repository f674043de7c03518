"""Functions on resource documents: merge patches, differences, public form."""

import json
from collections.abc import Iterator, Mapping
from typing import Any

from bellweir.clients.interface import StoredObject
from bellweir.resources.interface import ResourceFinding
from bellweir.resources.models import AnyResource

MUTATIONS_ANNOTATION = "bellweir.dev/mutations"
"""Ids of the last writes, newest first; kept from callers."""
DELETING_ANNOTATION = "bellweir.dev/deleting-until"
"""Mark of a deletion under way; its value is when it expires, in seconds since 1970 UTC."""
OPERATOR_VERSION_ANNOTATION = "bellweir.dev/operator-version"
"""Version of the last write by an operator, where only the system has written since."""
INTERNAL_ANNOTATION_PREFIX = "bellweir.dev/"
"""Annotations of the system's own, which callers neither see nor write."""
MAXIMUM_DIFFERENCES = 20
SHOWN_CHARACTERS = 120


def merge_patch(target: Any, patch: Any) -> Any:
    """Apply a JSON merge patch (RFC 7396) and return the result; the target stays as it was."""
    if not isinstance(patch, Mapping):
        return patch
    merged = dict(target) if isinstance(target, Mapping) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged


def operator_version(document: Mapping[str, Any], version: int) -> int:
    """The version of the last write by an operator: later ones changed no spec and no labels.

    `version` is the document's own.
    """
    annotations = document.get("metadata", {}).get("annotations", {})
    carried = str(annotations.get(OPERATOR_VERSION_ANNOTATION, ""))
    return int(carried) if carried.isdecimal() else version


def operator_version_of(resource: AnyResource) -> int:
    """The same for a resource in force: it grows with what operators write, not with status."""
    carried = resource.metadata.annotations.get(OPERATOR_VERSION_ANNOTATION, "")
    return int(carried) if carried.isdecimal() else resource.metadata.resource_version or 0


def as_system_write(document: Mapping[str, Any], base: StoredObject) -> dict[str, Any]:
    """A document that the system writes over `base`: it carries the operator's version on."""
    metadata = dict(document["metadata"])
    annotations = dict(metadata.get("annotations", {}))
    annotations[OPERATOR_VERSION_ANNOTATION] = str(operator_version(base.document, base.version))
    return {**document, "metadata": {**metadata, "annotations": annotations}}


def public_document(document: Mapping[str, Any], version: int) -> dict[str, Any]:
    """A stored document as callers see it: with its version, without internal annotations."""
    metadata = dict(document.get("metadata", {}))
    annotations = {
        key: value
        for key, value in metadata.pop("annotations", {}).items()
        if not key.startswith(INTERNAL_ANNOTATION_PREFIX)
    }
    if annotations:
        metadata["annotations"] = annotations
    metadata["resourceVersion"] = version
    return {**document, "metadata": metadata}


def differences(before: Any, after: Any, path: str = "") -> Iterator[tuple[str, Any, Any]]:
    """Paths at which two documents differ, with both values; None stands for absent."""
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        for key in sorted({*before, *after}):
            inner = f"{path}.{key}" if path else str(key)
            yield from differences(before.get(key), after.get(key), inner)
    elif _are_lists(before, after) and len(before) == len(after):
        for index, (left, right) in enumerate(zip(before, after, strict=True)):
            yield from differences(left, right, f"{path}[{index}]")
    elif before != after:
        yield path, before, after


def _are_lists(before: Any, after: Any) -> bool:
    return isinstance(before, list | tuple) and isinstance(after, list | tuple)


def shown(value: Any) -> str:
    """A value in short JSON for a finding."""
    text = "nothing" if value is None else json.dumps(value, default=str)
    return text if len(text) <= SHOWN_CHARACTERS else text[:SHOWN_CHARACTERS] + "..."


def conflict_findings(
    theirs: Mapping[str, Any], mine: Mapping[str, Any]
) -> tuple[ResourceFinding, ...]:
    """What the stored document has otherwise than a refused write."""
    found = []
    for part in ("spec", "metadata"):
        pairs = differences(_compared(theirs, part), _compared(mine, part), part)
        for path, stored, submitted in pairs:
            found.append(ResourceFinding(path, shown(stored), f"your write has {shown(submitted)}"))
    return tuple(found[:MAXIMUM_DIFFERENCES])


def _compared(document: Mapping[str, Any], part: str) -> dict[str, Any]:
    if part == "spec":
        return dict(document.get("spec", {}))
    metadata = document.get("metadata", {})
    annotations = {
        key: value
        for key, value in metadata.get("annotations", {}).items()
        if not key.startswith(INTERNAL_ANNOTATION_PREFIX)
    }
    return {"labels": dict(metadata.get("labels", {})), "annotations": annotations}
