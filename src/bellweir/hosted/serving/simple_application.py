"""WSGI application for endpoints with short responses."""

from collections.abc import Callable, Iterable

from bellweir.http_server.http import Caller, Environ, Request, Response

StartResponse = Callable[[str, list[tuple[str, str]]], object]
Handler = Callable[[Request], Response]


class SimpleApplication:
    """Serves an endpoint with one handler; responses are not streamed."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        response = self._handler(Request(environ, "", Caller(environ["REMOTE_ADDR"])))
        response.headers.append(("Content-Length", str(len(response.body))))
        start_response(response.status_line, response.headers)
        return [response.body]
