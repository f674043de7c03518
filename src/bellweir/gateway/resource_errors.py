"""Failed calls of the resource API as problems."""

from bellweir.gateway.problems import Problem
from bellweir.resources.interface import ResourceError, ResourceErrorKind
from bellweir.routing.interface import RunState

_STATUS_OF_KIND = {
    ResourceErrorKind.INVALID: 422,
    ResourceErrorKind.CONFLICT: 409,
    ResourceErrorKind.NOT_FOUND: 404,
    ResourceErrorKind.IN_USE: 409,
    ResourceErrorKind.UNAVAILABLE: 503,
    ResourceErrorKind.UNKNOWN: 504,
    ResourceErrorKind.COMPACTED: 410,
}

UNAVAILABLE_RETRY_AFTER_S = 2.0


def problem_of_error(error: ResourceError) -> Problem:
    """The problem that tells an operator of a failed call."""
    unknown = error.kind is ResourceErrorKind.UNKNOWN
    unavailable = error.kind is ResourceErrorKind.UNAVAILABLE
    return Problem(
        _STATUS_OF_KIND[error.kind],
        error.kind.value,
        error.detail,
        RunState.UNKNOWN if unknown else RunState.NOT_RUN,
        UNAVAILABLE_RETRY_AFTER_S if unavailable else None,
        error.findings,
    )
