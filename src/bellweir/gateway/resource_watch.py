"""A watch of resources as a stream of JSON lines."""

from collections.abc import Callable, Iterator
from itertools import chain

from returns.result import Failure, Result, Success

from bellweir.gateway.problems import problem_document, problem_response
from bellweir.gateway.resource_body import WatchEvent
from bellweir.gateway.resource_errors import problem_of_error
from bellweir.http_server.http import Request, Response, json_lines
from bellweir.kernel.clock import Clock
from bellweir.resources.interface import (
    ResourceChange,
    ResourceDocument,
    ResourceError,
    Resources,
)

DEFAULT_WATCH_S = 60.0
MAXIMUM_WATCH_S = 600.0
SLICE_S = 1.0
"""The store is watched in slices of this length, between which a caller that left is noticed."""


class ResourceWatch:
    """Streams the changes of one kind.

    A resource is `ADDED` when this watch names it for the first time and it was not there at the
    start revision; a client that holds a list handles both as the newest state.
    """

    def __init__(
        self,
        resources: Resources,
        request: Request,
        clock: Clock,
        kind: str,
        is_draining: Callable[[], bool],
    ) -> None:
        self._resources = resources
        self._request = request
        self._clock = clock
        self._kind = kind
        self._is_draining = is_draining
        self._known: set[str] = set()

    def response(self, from_revision: int | None, seconds: float) -> Response:
        """Watch from a revision; without one, all resources come first as `ADDED`."""
        match self._resources.list_resources(self._kind):
            case Failure(error):
                return problem_response(problem_of_error(error), self._request.request_id)
            case Success((revision, documents)):
                pass
        start = revision if from_revision is None else from_revision
        self._known = {each.name for each in documents if each.version <= start}
        initial = documents if from_revision is None else ()
        events = chain(self._initial(initial), self._changes(start, seconds))
        headers = [("Content-Type", "application/json-lines"), ("Cache-Control", "no-cache")]
        return Response(200, headers, chunks=json_lines(events), is_stream=True)

    def _initial(self, documents: tuple[ResourceDocument, ...]) -> Iterator[WatchEvent]:
        for each in documents:
            yield WatchEvent("ADDED", each.document)

    def _changes(self, start: int, seconds: float) -> Iterator[WatchEvent]:
        deadline = self._clock.monotonic_s() + seconds
        revision = start
        while not (self._is_draining() or self._request.caller_has_left()):
            remaining_s = deadline - self._clock.monotonic_s()
            if remaining_s <= 0:
                return
            for result in self._slice(revision, min(SLICE_S, remaining_s)):
                match result:
                    case Success(change):
                        revision = max(revision, change.revision)
                        yield self._event(change)
                    case Failure(error):
                        yield self._error(error)
                        return

    def _slice(
        self, revision: int, seconds: float
    ) -> Iterator[Result[ResourceChange, ResourceError]]:
        return self._resources.watch(self._kind, revision, seconds)

    def _event(self, change: ResourceChange) -> WatchEvent:
        name = change.resource.name
        if change.deleted:
            self._known.discard(name)
            return WatchEvent("DELETED", change.resource.document)
        if name in self._known:
            return WatchEvent("MODIFIED", change.resource.document)
        self._known.add(name)
        return WatchEvent("ADDED", change.resource.document)

    def _error(self, error: ResourceError) -> WatchEvent:
        return WatchEvent(
            "ERROR", problem_document(problem_of_error(error), self._request.request_id)
        )
