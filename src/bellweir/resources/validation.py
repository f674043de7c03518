"""Checks of one document by itself: all findings at once, each with its key path."""

import difflib
from collections.abc import Iterator, Mapping
from typing import Any, get_args

import cbor2
import pydantic
from pydantic_core import ErrorDetails
from returns.result import Failure, Result, Success

from bellweir.resources.documents import shown
from bellweir.resources.interface import ResourceError, ResourceErrorKind, ResourceFinding
from bellweir.resources.models import (
    API_VERSION,
    KINDS,
    AnyResource,
    BackendKind,
    Comparison,
    Pool,
)

MAXIMUM_DOCUMENT_BYTES = 512 << 10
"""Longest document in its stored form, in bytes: one must fit a frame between nodes."""
MAXIMUM_DEPTH = 32
"""Deepest nesting of a document."""
STRATEGIES = ("round_robin", "least_outstanding", "prefix_aware")


def invalid(findings: tuple[ResourceFinding, ...]) -> ResourceError:
    """The error for a document with findings."""
    return ResourceError(
        ResourceErrorKind.INVALID, f"{len(findings)} finding(s) in the document", findings
    )


def parse(document: Mapping[str, Any]) -> Result[AnyResource, ResourceError]:
    """Check a document and return its model, or every finding."""
    if _depth_exceeds(document, MAXIMUM_DEPTH):
        return _one("", "a deeper document", f"at most {MAXIMUM_DEPTH} levels of nesting")
    kind = document.get("kind")
    if not isinstance(kind, str) or kind not in KINDS:
        return _one("kind", shown(kind), _one_of(tuple(KINDS), kind))
    model = KINDS[kind]
    findings = list(_findings_before(document))
    try:
        resource = model.model_validate(dict(document))
    except pydantic.ValidationError as failure:
        errors = failure.errors()
        findings += [_finding_of(model, each) for each in errors if not _follows(each, errors)]
        return Failure(invalid(tuple(findings)))
    findings += _findings_after(resource)
    return Failure(invalid(tuple(findings))) if findings else Success(resource)


def _one(path: str, found: str, allowed: str) -> Result[AnyResource, ResourceError]:
    return Failure(invalid((ResourceFinding(path, found, allowed),)))


def _depth_exceeds(value: Any, levels: int) -> bool:
    if isinstance(value, Mapping):
        return levels == 0 or any(_depth_exceeds(inner, levels - 1) for inner in value.values())
    if isinstance(value, list | tuple):
        return levels == 0 or any(_depth_exceeds(inner, levels - 1) for inner in value)
    return False


def _one_of(names: tuple[str, ...], found: Any) -> str:
    listed = "one of " + ", ".join(names)
    nearest = difflib.get_close_matches(str(found), names, n=1)
    return f"{listed}; did you mean {nearest[0]}?" if nearest else listed


def _findings_before(document: Mapping[str, Any]) -> Iterator[ResourceFinding]:
    version = document.get("apiVersion", API_VERSION)
    if version != API_VERSION:
        yield ResourceFinding("apiVersion", shown(version), API_VERSION)
    try:
        size = len(cbor2.dumps(document))
    except (cbor2.CBOREncodeError, TypeError, ValueError) as failure:
        yield ResourceFinding("", str(failure), "plain values, as in JSON")
        return
    if size > MAXIMUM_DOCUMENT_BYTES:
        yield ResourceFinding("", f"{size} bytes", f"at most {MAXIMUM_DOCUMENT_BYTES} bytes")


def _finding_of(model: type[AnyResource], error: ErrorDetails) -> ResourceFinding:
    path = path_of(error["loc"])
    if error["type"] == "extra_forbidden":
        keys = _keys_beside(model, error["loc"])
        return ResourceFinding(
            path, f"unknown key {error['loc'][-1]!r}", _one_of(keys, _last(error))
        )
    if error["type"] == "missing":
        return ResourceFinding(path, "nothing", "a value: the key is required")
    return ResourceFinding(path, shown(error["input"]), error["msg"])


def _follows(error: ErrorDetails, errors: list[ErrorDetails]) -> bool:
    """Whether a list is only found too short because entries of it have findings of their own."""
    place = error["loc"]
    below = (each["loc"] for each in errors if len(each["loc"]) > len(place))
    return error["type"] == "too_short" and any(loc[: len(place)] == place for loc in below)


def _last(error: ErrorDetails) -> str:
    return str(error["loc"][-1])


def path_of(location: tuple[int | str, ...]) -> str:
    """A key path such as `spec.arms[1].share`."""
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
        elif part != "[key]":
            path += f".{part}" if path else part
    return path


def _keys_beside(
    model: type[pydantic.BaseModel], location: tuple[int | str, ...]
) -> tuple[str, ...]:
    """The keys allowed where an unknown one was found."""
    current: type[pydantic.BaseModel] | None = model
    for part in location[:-1]:
        if isinstance(part, int) or current is None:
            continue
        current = _model_under(current, part)
    if current is None:
        return ()
    return tuple(field.alias or name for name, field in current.model_fields.items())


def _model_under(model: type[pydantic.BaseModel], key: str) -> type[pydantic.BaseModel] | None:
    for name, field in model.model_fields.items():
        if key in (name, field.alias):
            return model_in(field.annotation)
    return model


def model_in(annotation: Any) -> type[pydantic.BaseModel] | None:
    """The model class inside an annotation such as `tuple[Worker, ...]`, if there is one."""
    if isinstance(annotation, type) and issubclass(annotation, pydantic.BaseModel):
        return annotation
    for inner in get_args(annotation):
        found = model_in(inner)
        if found is not None:
            return found
    return None


def _findings_after(resource: AnyResource) -> list[ResourceFinding]:
    match resource:
        case Pool():
            return list(_pool_findings(resource))
        case Comparison():
            names = [arm.name for arm in resource.spec.arms]
            return list(_repeated(names, "spec.arms", "name"))
    return []


def _pool_findings(pool: Pool) -> Iterator[ResourceFinding]:
    spec = pool.spec
    if spec.strategy not in STRATEGIES:
        yield ResourceFinding(
            "spec.strategy", shown(spec.strategy), _one_of(STRATEGIES, spec.strategy)
        )
    yield from _repeated([worker.name for worker in spec.workers], "spec.workers", "name")
    yield from _repeated([worker.address for worker in spec.workers], "spec.workers", "address")
    for index, worker in enumerate(spec.workers):
        if not _is_address(worker.address):
            yield ResourceFinding(
                f"spec.workers[{index}].address", shown(worker.address), "host:port"
            )
    if spec.kind is BackendKind.APPLICATION and spec.policies:
        yield ResourceFinding(
            "spec.policies", shown(list(spec.policies)), "nothing: the pool's kind is application"
        )


def _is_address(address: str) -> bool:
    host, separator, port = address.rpartition(":")
    return bool(host and separator) and port.isascii() and port.isdigit() and 0 < int(port) < 65536


def _repeated(values: list[str], path: str, key: str) -> Iterator[ResourceFinding]:
    seen: set[str] = set()
    for index, value in enumerate(values):
        if value in seen:
            yield ResourceFinding(
                f"{path}[{index}].{key}", shown(value), "a value that no other entry has"
            )
        seen.add(value)
