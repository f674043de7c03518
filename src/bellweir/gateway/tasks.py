"""waitress's tasks: how the answer to one request is written."""

from typing import Any

from waitress.task import ErrorTask, WSGITask
from waitress.utilities import Error

from bellweir.gateway.http import new_request_id
from bellweir.gateway.problems import (
    NAMES_OF_STATUS,
    Problem,
    before_the_ledger,
    openai_error_response,
    problem_response,
)
from bellweir.routing.interface import RunState

ABORT_CONNECTION = "bellweir.abort_connection"
"""Key in the WSGI environment: call it to end the connection by a reset."""

INTERNAL_ERROR_STATUS = 500


class RequestTooSlow(Error):  # type: ignore[misc]  # noqa: N818
    """Answer to a request that did not arrive in time."""

    code = 408
    reason = "Request Timeout"


class GatewayErrorTask(ErrorTask):  # type: ignore[misc]
    """Answers a request that waitress could not parse, or whose application raised."""

    def execute(self) -> None:
        """Write the answer and close the connection after it."""
        error = self.request.error
        raised = error.code == INTERNAL_ERROR_STATUS
        problem = Problem(
            error.code,
            NAMES_OF_STATUS.get(error.code, "refused"),
            str(error.body),
            RunState.UNKNOWN if raised else RunState.NOT_RUN,
        )
        problem = before_the_ledger(problem, has_key=self.request.may_have_key())
        in_openai_shape = self.request.path.startswith("/v1/")
        shape = openai_error_response if in_openai_shape else problem_response
        response = shape(problem, new_request_id())
        self.status = response.status_line
        self.response_headers.extend(response.headers)
        self.set_close_on_finish()
        self.content_length = len(response.body)
        self.channel.linger_after_flush()
        self.write(response.body)


class GatewayTask(WSGITask):  # type: ignore[misc]
    """Runs the application for one request."""

    wrote_header: bool = False

    def write(self, data: bytes) -> None:
        """Write a piece of the body; the first goes out together with the headers."""
        if self.wrote_header or not (data and self.has_body and self.complete):
            super().write(data)
            return
        headers = self.build_response_header()
        self.wrote_header = True
        self.channel.hold_back(headers)
        super().write(data)
        self.channel.send_held_back()

    def build_response_header(self) -> bytes:
        """The headers; while the node stops, each answer is the last one of its connection."""
        if self.channel.server.closing_connections or self.channel.out_of_step:
            self.set_close_on_finish()
        return bytes(super().build_response_header())

    def get_environment(self) -> dict[str, Any]:
        """The WSGI environment, with the means to abort the connection."""
        environ: dict[str, Any] = super().get_environment()
        environ[ABORT_CONNECTION] = self.channel.abort_on_close
        return environ
