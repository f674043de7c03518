"""Bodies of the resource API: JSON or YAML documents in, JSON out."""

from collections.abc import Mapping
from typing import Any

import msgspec
import yaml

from bellweir.http_server.http import BadRequestError, Request
from bellweir.resources.interface import ResourceDocument

MAXIMUM_DOCUMENT_BYTES = 1 << 20
MAXIMUM_YAML_DEPTH = 32
YAML_LOADER: type[Any] = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
"""libyaml's loader where the wheel has it; about ten times as fast."""
YAML_TYPES = frozenset({"application/yaml", "application/x-yaml", "text/yaml", "text/x-yaml"})


class ListMetadata(msgspec.Struct, rename="camel"):
    """Metadata of a list."""

    resource_version: int


class ResourceList(msgspec.Struct, rename="camel"):
    """Body of a list."""

    metadata: ListMetadata
    items: list[Mapping[str, Any]]


class Deleted(msgspec.Struct, rename="camel"):
    """Body of a deletion's answer."""

    kind: str
    name: str
    resource_version: int


class WatchEvent(msgspec.Struct, omit_defaults=True):
    """One line of a watch."""

    type: str
    """`ADDED`, `MODIFIED`, `DELETED` or `ERROR`."""
    object: object


def read_document(request: Request) -> dict[str, Any]:
    """Parse the body as one document; raises `BadRequestError`."""
    body = request.read_body(MAXIMUM_DOCUMENT_BYTES)
    content_type = (request.header("Content-Type") or "").split(";")[0].strip().lower()
    try:
        content = _parse_yaml(body) if content_type in YAML_TYPES else msgspec.json.decode(body)
    except (msgspec.DecodeError, yaml.YAMLError, UnicodeDecodeError) as fault:
        raise BadRequestError(f"body: {fault}") from None
    except RecursionError:
        raise BadRequestError("body: nested too deeply") from None
    if not isinstance(content, dict) or not all(isinstance(key, str) for key in content):
        raise BadRequestError("body: allowed one document, an object with named fields")
    return content


def _parse_yaml(body: bytes) -> Any:
    # The library's own faults are found on the stream of events, before anything is built: an
    # alias lets a short text stand for an exponentially long document, and the time to parse
    # grows with the square of the depth.
    depth = 0
    for event in yaml.parse(body, YAML_LOADER):
        if isinstance(event, yaml.AliasEvent):
            raise BadRequestError("body: aliases are not allowed in YAML")
        depth += isinstance(event, yaml.CollectionStartEvent)
        depth -= isinstance(event, yaml.CollectionEndEvent)
        if depth > MAXIMUM_YAML_DEPTH:
            raise BadRequestError(f"body: nested deeper than {MAXIMUM_YAML_DEPTH}")
    return yaml.load(body, YAML_LOADER)


def list_body(revision: int, documents: tuple[ResourceDocument, ...]) -> ResourceList:
    """The body of a list."""
    return ResourceList(ListMetadata(revision), [each.document for each in documents])
