"""waitress's tasks: how the answer to one request is written."""

from functools import lru_cache
from typing import Any

from waitress.task import WSGITask
from waitress.utilities import Error, build_http_date

ABORT_CONNECTION = "bellweir.abort_connection"
"""Key in the WSGI environment: call it to end the connection by a reset."""


class RequestTooSlow(Error):  # type: ignore[misc]  # noqa: N818
    """Answer to a request that did not arrive in time."""

    code = 408
    reason = "Request Timeout"


class AnswerTask(WSGITask):  # type: ignore[misc]
    """Runs the application for one request."""

    wrote_header: bool = False
    response_headers: list[tuple[str, str]]
    content_length: int | None = None

    def write(self, data: bytes) -> None:
        """Write a piece of the body; the first goes out together with the headers."""
        if self.wrote_header or not (data and self.has_body and self.complete):
            super().write(data)
            return
        headers = self.build_response_header()
        self.wrote_header = True
        if self.content_length == len(data):
            # The whole body at once, as nearly always.
            self.content_bytes_written = len(data)
            self.channel.write_soon(headers + data)
            return
        self.channel.hold_back(headers)
        super().write(data)
        self.channel.send_held_back()

    def build_response_header(self) -> bytes:
        """Status line and headers, as waitress has them but in the order and spelling given.

        While the node stops, each answer is the last one of its connection.
        """
        given = [name.lower() for name, _ in self.response_headers]
        declared = "content-length" in given
        if not declared and self.content_length is not None and self.has_body:
            self.response_headers.append(("Content-Length", str(self.content_length)))
            declared = True
        self._settle_connection(declared=declared)
        lines = [f"HTTP/{self.version} {self.status}"]
        lines += [f"{name}: {value}" for name, value in self.response_headers]
        if "server" not in given:
            lines.append(f"Server: {self.channel.adj.ident}")
        if "date" not in given:
            lines.append(f"Date: {_http_date(int(self.start_time))}")
        lines.append("\r\n")
        return "\r\n".join(lines).encode("latin-1")

    def _settle_connection(self, *, declared: bool) -> None:
        """Choose the framing, and whether the connection ends with this answer."""
        if not self.has_body:
            # RFC 9112 section 6: no length with 1xx and 204; waitress leaves it out with 304 too.
            self.response_headers = [
                each for each in self.response_headers if each[0].lower() != "content-length"
            ]
        asked = self.request.headers.get("CONNECTION", "").lower()
        if self.channel.server.closing_connections or self.channel.out_of_step:
            self.set_close_on_finish()
        elif self.version == "1.0":
            if asked == "keep-alive" and declared:
                self.response_headers.append(("Connection", "Keep-Alive"))
            else:
                self.set_close_on_finish()
        elif asked == "close" or not (declared or not self.has_body):
            self.set_close_on_finish()
        if self.version == "1.1" and self.has_body and not declared:
            self.response_headers.append(("Transfer-Encoding", "chunked"))
            self.chunked_response = True

    def get_environment(self) -> dict[str, Any]:
        """The WSGI environment, with the means to abort the connection."""
        environ: dict[str, Any] = super().get_environment()
        environ[ABORT_CONNECTION] = self.channel.abort_on_close
        return environ


@lru_cache(2)
def _http_date(second: int) -> str:
    return str(build_http_date(second))
