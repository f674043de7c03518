"""Errors of resource calls that several modules give."""

from bellweir.resources.interface import ResourceError, ResourceErrorKind
from bellweir.resources.models import KINDS


def not_found(kind: str, name: str) -> ResourceError:
    """No resource of that kind and name."""
    return ResourceError(ResourceErrorKind.NOT_FOUND, f"there is no {kind} {name}")


def no_kind(kind: str) -> ResourceError:
    """No such kind."""
    return ResourceError(
        ResourceErrorKind.NOT_FOUND, f"there is no kind {kind}; kinds: {', '.join(KINDS)}"
    )


def not_ready() -> ResourceError:
    """The node has no configuration."""
    return ResourceError(
        ResourceErrorKind.UNAVAILABLE, "no configuration has reached this node yet"
    )


def no_store() -> ResourceError:
    """The node has no store to write to."""
    return ResourceError(
        ResourceErrorKind.UNAVAILABLE, "the settings name no object API (platform.object_api)"
    )
