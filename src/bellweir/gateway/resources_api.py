"""The operators' resource API: list, read, write and watch under `/apis/bellweir.dev/v1`."""

from collections.abc import Callable, Mapping
from typing import Any

from returns.result import Failure, Result, Success

from bellweir.gateway.admission import ThreadShare
from bellweir.gateway.context import Context
from bellweir.gateway.problems import Problem, problem_response
from bellweir.gateway.refusals import refuse
from bellweir.gateway.resource_body import Deleted, list_body, read_document
from bellweir.gateway.resource_errors import problem_of_error
from bellweir.gateway.resource_watch import DEFAULT_WATCH_S, MAXIMUM_WATCH_S, ResourceWatch
from bellweir.gateway.router import Router
from bellweir.http_server.http import (
    BadRequestError,
    Request,
    Response,
    json_response,
    parse_integer,
)
from bellweir.resources.interface import (
    ResourceDocument,
    ResourceError,
    Resources,
)

INTERFACE = "resources"
ROOT = "/apis/bellweir.dev/v1"

PLURALS = {
    "policies": "Policy",
    "weightversions": "WeightVersion",
    "pools": "Pool",
    "comparisons": "Comparison",
}

Written = Result[ResourceDocument, ResourceError]


class ResourcesApi:
    """Serves the resource store."""

    def __init__(
        self, context: Context, resources: Resources, is_draining: Callable[[], bool]
    ) -> None:
        self._context = context
        self._resources = resources
        self._is_draining = is_draining

    def add_routes(self, router: Router) -> None:
        """Add the paths of this interface."""
        plural = ROOT + "/{plural}"
        router.add(INTERFACE, "GET", plural, self.list_or_watch)
        router.add(INTERFACE, "POST", plural, self.create)
        router.add(INTERFACE, "GET", plural + "/{name}", self.get)
        router.add(INTERFACE, "PUT", plural + "/{name}", self.replace)
        router.add(INTERFACE, "PATCH", plural + "/{name}", self.patch)
        router.add(INTERFACE, "DELETE", plural + "/{name}", self.delete)

    def list_or_watch(self, request: Request, plural: str) -> Response:
        """`GET .../{kinds}`, with `watch=true` a stream of changes."""
        kind = PLURALS.get(plural)
        if kind is None:
            return _unknown_kind(request, plural)
        if _flag(request, "watch"):
            return self._watch(request, kind)
        match self._resources.list_resources(kind):
            case Success((revision, documents)):
                return json_response(200, list_body(revision, documents))
            case Failure(error):
                return _refused(request, error)
        raise AssertionError("a result is a success or a failure")

    def get(self, request: Request, plural: str, name: str) -> Response:
        """`GET .../{kinds}/{name}`."""
        kind = PLURALS.get(plural)
        if kind is None:
            return _unknown_kind(request, plural)
        return _written(request, self._resources.get(kind, name))

    def create(self, request: Request, plural: str) -> Response:
        """`POST .../{kinds}`."""
        kind = PLURALS.get(plural)
        if kind is None:
            return _unknown_kind(request, plural)
        document = read_document(request)
        _check_kind(document, kind)
        dry_run = _flag(request, "dryRun")
        created = self._resources.create(document, dry_run=dry_run)
        return _written(request, created, success_status=200 if dry_run else 201)

    def replace(self, request: Request, plural: str, name: str) -> Response:
        """`PUT .../{kinds}/{name}`."""
        kind = PLURALS.get(plural)
        if kind is None:
            return _unknown_kind(request, plural)
        document = read_document(request)
        _check_kind(document, kind)
        _check_name(document, name)
        dry_run = _flag(request, "dryRun")
        return _written(request, self._resources.replace(document, dry_run=dry_run))

    def patch(self, request: Request, plural: str, name: str) -> Response:
        """`PATCH .../{kinds}/{name}` with a JSON merge patch (RFC 7396)."""
        kind = PLURALS.get(plural)
        if kind is None:
            return _unknown_kind(request, plural)
        merge = read_document(request)
        dry_run = _flag(request, "dryRun")
        return _written(request, self._resources.patch(kind, name, merge, dry_run=dry_run))

    def delete(self, request: Request, plural: str, name: str) -> Response:
        """`DELETE .../{kinds}/{name}?resourceVersion=N`."""
        kind = PLURALS.get(plural)
        if kind is None:
            return _unknown_kind(request, plural)
        version = _version(request)
        dry_run = _flag(request, "dryRun")
        match self._resources.delete(kind, name, version, dry_run=dry_run):
            case Success(revision):
                return json_response(200, Deleted(kind, name, revision))
            case Failure(error):
                return _refused(request, error)
        raise AssertionError("a result is a success or a failure")

    def _watch(self, request: Request, kind: str) -> Response:
        wanted_s = request.query_number("timeoutSeconds", DEFAULT_WATCH_S)
        if not self._context.move_to(request, ThreadShare.LONG_POLL):
            return refuse(request, self._context.share_full(ThreadShare.LONG_POLL))
        watch = ResourceWatch(
            self._resources, request, self._context.clock, kind, self._is_draining
        )
        return watch.response(_version(request), min(wanted_s, MAXIMUM_WATCH_S))


def _written(request: Request, result: Written, success_status: int = 200) -> Response:
    match result:
        case Success(resource):
            return json_response(success_status, resource.document)
        case Failure(error):
            return _refused(request, error)
    raise AssertionError("a result is a success or a failure")


def _refused(request: Request, error: ResourceError) -> Response:
    return problem_response(problem_of_error(error), request.request_id)


def _unknown_kind(request: Request, plural: str) -> Response:
    known = ", ".join(PLURALS)
    problem = Problem(404, "not_found", f"kind {plural[:64]!r}, known are {known}")
    return problem_response(problem, request.request_id)


def _check_kind(document: Mapping[str, Any], kind: str) -> None:
    found = document.get("kind")
    if found != kind:
        raise BadRequestError(f"kind: found {found!r}, allowed {kind!r} on this path")


def _check_name(document: Mapping[str, Any], name: str) -> None:
    metadata = document.get("metadata")
    found = metadata.get("name") if isinstance(metadata, Mapping) else None
    if found != name:
        raise BadRequestError(f"metadata.name: found {found!r}, allowed {name!r} on this path")


def _flag(request: Request, name: str) -> bool:
    text = request.query(name)
    if text not in (None, "", "true", "false"):
        raise BadRequestError(f"query parameter {name}: allowed true or false")
    return text in ("", "true")


def _version(request: Request) -> int | None:
    text = request.query("resourceVersion")
    return None if text is None else parse_integer("query parameter resourceVersion", text)
