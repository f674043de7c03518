"""One HTTP connection: waitress's channel with limits on time and error answers of our shapes."""

import socket
import struct
import time
from typing import Any

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.task import ErrorTask, WSGITask
from waitress.utilities import BadRequest, Error

from bellweir.gateway.http import new_request_id
from bellweir.gateway.problems import Problem, openai_error_response, problem_response
from bellweir.routing.interface import RunState

ABORT_CONNECTION = "bellweir.abort_connection"
"""Key in the WSGI environment: call it to end the connection by a reset."""

INTERNAL_ERROR_STATUS = 500
_NAMES_OF_STATUS = {
    400: "malformed_request",
    408: "request_too_slow",
    413: "body_too_long",
    431: "headers_too_long",
    500: "internal_error",
    501: "not_implemented",
}


class RequestTooSlow(Error):  # type: ignore[misc]  # noqa: N818
    """Answer to a request that did not arrive in time."""

    code = 408
    reason = "Request Timeout"


class GatewayRequestParser(HTTPRequestParser):  # type: ignore[misc]
    """Has the attributes that waitress reads of a request, also before its first line came."""

    command = "GET"
    path = ""


class GatewayErrorTask(ErrorTask):  # type: ignore[misc]
    """Answers a request that waitress could not parse, or whose application raised."""

    def execute(self) -> None:
        """Write the answer and close the connection after it."""
        error = self.request.error
        raised = error.code == INTERNAL_ERROR_STATUS
        problem = Problem(
            error.code,
            _NAMES_OF_STATUS.get(error.code, "refused"),
            str(error.body),
            RunState.UNKNOWN if raised else RunState.NOT_RUN,
        )
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

    def build_response_header(self) -> bytes:
        """The headers; while the node stops, each answer is the last one of its connection."""
        if self.channel.server.closing_connections:
            self.set_close_on_finish()
        return bytes(super().build_response_header())

    def get_environment(self) -> dict[str, Any]:
        """The WSGI environment, with the means to abort the connection."""
        environ: dict[str, Any] = super().get_environment()
        environ[ABORT_CONNECTION] = self.channel.abort_on_close
        return environ


class GatewayChannel(HTTPChannel):  # type: ignore[misc]
    """One connection.

    waitress alone would let a caller hold a connection, a half-received request or a request
    thread for ever by sending or taking a byte now and then; `enforce_limits` ends these.
    """

    parser_class = GatewayRequestParser
    task_class = GatewayTask
    error_task_class = GatewayErrorTask

    request: Any = None
    _receiving: Any = None
    _receiving_since_s = 0.0
    _input_ended = False
    _lingers = False
    _linger_until_s: float | None = None

    def received(self, data: bytes) -> bool:
        """Take in bytes; notes when the request now being received began."""
        taken: bool = super().received(data)
        if self.request is not self._receiving:
            self._receiving = self.request
            self._receiving_since_s = time.time()
        return taken

    def is_busy(self) -> bool:
        """Whether a request is being received, run or answered."""
        receiving = self.request is not None
        return bool(receiving or self.requests or self.total_outbufs_len)

    def enforce_limits(self, now_s: float, *, crowded: bool) -> None:
        """End what takes too long; called on the loop's thread about once a second."""
        limits = self.server.limits
        if self._linger_until_s is not None:
            if now_s >= self._linger_until_s:
                self.handle_close()
            return
        if self.total_outbufs_len and now_s - self.last_activity > limits.write_stall_s:
            self._shut_down()
        elif self.request is not None and self._is_too_slow(now_s):
            self._refuse_unfinished(RequestTooSlow("the request did not arrive in time"))
        elif crowded and not self.is_busy() and now_s - self.last_activity > limits.crowded_idle_s:
            self.will_close = True

    def linger_after_flush(self) -> None:
        """Read and drop input for a while after the answer, instead of closing at once.

        Closing a socket with unread input resets the connection, and the reset may overtake the
        answer: a caller still sending a long body would never see its 413.
        """
        self._lingers = True

    def abort_on_close(self) -> None:
        """Have the coming close reset the connection.

        An HTTP/1.0 answer without a length ends with its connection, so a cut one must not end
        like a whole one.
        """
        abort_at_once = struct.pack("ii", 1, 0)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, abort_at_once)

    def readable(self) -> bool:
        """Whether the loop should read from this connection."""
        if self._linger_until_s is not None:
            return True
        return not self._input_ended and bool(super().readable())

    def writable(self) -> bool:
        """Whether the loop should call `handle_write`."""
        return self._linger_until_s is None and bool(super().writable())

    def handle_read(self) -> None:
        """Read; input after the last answer is dropped.

        The end of the input means that the caller left, also when it closed only its sending
        side: the two can't be told apart. Just a request cut short still gets its answer.
        """
        try:
            data = self.socket.recv(self.adj.recv_bytes)
        except BlockingIOError:
            return
        except OSError:
            self.handle_close()
            return
        if data and self._linger_until_s is None:
            self.last_activity = time.time()
            self.received(data)
        elif not data and self.request is not None and not self.requests:
            self._input_ended = True
            self._refuse_unfinished(BadRequest("the request ended before its end"))
        elif not data:
            self.handle_close()

    def handle_write(self) -> None:
        """Write; instead of closing after an early refusal, begin to linger."""
        ends = self.close_when_flushed and not self.total_outbufs_len
        if ends and self._lingers and not self.will_close:
            self._begin_lingering()
            return
        super().handle_write()

    def _begin_lingering(self) -> None:
        self._linger_until_s = time.time() + self.server.limits.linger_s
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.handle_close()

    def _is_too_slow(self, now_s: float) -> bool:
        limits = self.server.limits
        elapsed_s = now_s - self._receiving_since_s
        if not self.request.headers_finished:
            return bool(elapsed_s > limits.header_timeout_s)
        earned_s = self.request.body_bytes_received / limits.body_bytes_per_s
        return bool(elapsed_s > limits.body_grace_s + earned_s)

    def _refuse_unfinished(self, error: Error) -> None:
        with self.requests_lock:
            request = self.request
            self.request = None
            request.error = error
            request.completed = True
            self.requests.append(request)
            if len(self.requests) == 1:
                self.server.add_task(self)

    def _shut_down(self) -> None:
        # The socket takes no more output, so the loop would never call `handle_write`; shutting
        # it down makes the loop see a hang-up and close it, which wakes a waiting writer.
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            self.handle_close()
