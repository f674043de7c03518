"""One HTTP connection: waitress's channel with limits on time, and bodies that stream."""

import socket
import struct
import time
from typing import Any

from waitress.channel import HTTPChannel
from waitress.utilities import BadRequest, Error

from bellweir.http_server.parser import StreamingRequestParser
from bellweir.http_server.task import AnswerTask, RequestTooSlow


def _always() -> bool:
    return True


def _never() -> bool:
    return False


class ChannelServer:
    """The server as one channel sees it.

    waitress wakes the loop after each request and does not say for which channel; here the loop
    hears which one, and only when that one needs it.
    """

    def __init__(self, server: Any, channel: "ServerChannel") -> None:
        self._server = server
        self._channel = channel
        self.add_task = server.add_task

    def __getattr__(self, name: str) -> Any:
        return getattr(self._server, name)

    def pull_trigger(self) -> None:
        """Have the loop look at the channel if there is anything for it to do."""
        channel = self._channel
        channel.flushed_by_loop = bool(channel.total_outbufs_len)
        ends = channel.close_when_flushed or channel.will_close
        # With a request waiting behind this one the loop may have stopped reading.
        if channel.flushed_by_loop or ends or channel.requests:
            self._server.loop.ask_again(channel.number)


class ServerChannel(HTTPChannel):  # type: ignore[misc]
    """One connection.

    waitress alone would let a caller hold a connection, a half-received request or a request
    thread for ever by sending or taking a byte now and then; `enforce_limits` ends these.
    """

    parser_class: Any = StreamingRequestParser
    task_class: Any = AnswerTask

    request: Any = None
    close_when_flushed: bool = False
    _held_back = b""
    flushed_by_loop = False
    """Whether a request thread has left output for the loop to send."""
    out_of_step = False
    """Whether what comes next on the connection can't be told to be a request."""
    _receiving_since_s = 0.0
    _lingering_since_s: float | None = None
    _aborts = False

    def __init__(
        self,
        server: Any,
        sock: socket.socket,
        addr: Any,
        adj: Any,
        map: dict[int, Any],
    ) -> None:
        self.number = sock.fileno()
        super().__init__(ChannelServer(server, self), sock, addr, adj, map)

    def hold_back(self, data: bytes) -> None:
        """Keep bytes until the next piece of output, which goes out with them in one call."""
        self._held_back = data

    def send_held_back(self) -> None:
        """Send what no piece of output has taken along."""
        if self._held_back:
            self.write_soon(b"")

    def write_soon(self, data: Any) -> int:
        """Send or queue a piece of output."""
        if self._held_back:
            data = self._held_back + data
            self._held_back = b""
        return int(super().write_soon(data))

    def received(self, data: bytes) -> bool:
        """Take in bytes; starts requests that are whole, or whose body streams."""
        with self.requests_lock:
            # A request thread may have set these since the loop saw that there is input.
            if self.will_close or self.close_when_flushed:
                return False
            while data and not self.out_of_step:
                if self.request is None:
                    self.request = self.parser_class(self.adj)
                    self._receiving_since_s = time.time()
                taken = self.request.received(data)
                self._continue_if_expected()
                if self.request.completed:
                    self._request_received()
                elif self.request.pipe is not None and not self.request.begun:
                    self._begin_streaming()
                data = data[taken:]
        return True

    def _continue_if_expected(self) -> None:
        request = self.request
        expected = request.expect_continue and request.headers_finished
        # Answers keep the order of the requests, so this waits for those in hand.
        if expected and not self.requests and not self.sent_continue:
            self.send_continue()
            self.flushed_by_loop = True

    def _request_received(self) -> None:
        request, self.request = self.request, None
        self.sent_continue = False
        if request.begun:
            self._end_streaming(request)
        elif not request.empty:
            if request.pipe is not None:
                request.pipe.end()
            self._run(request)

    def _run(self, request: Any) -> None:
        self.requests.append(request)
        if len(self.requests) == 1:
            self.server.add_task(self)

    def _begin_streaming(self) -> None:
        request = self.request
        request.begun = True
        request.pipe.on_drained = lambda: self.server.loop.ask_again(self.number)
        self.readable = self._is_readable_while_streaming  # type: ignore[method-assign]
        self._run(request)

    def _end_streaming(self, request: Any) -> None:
        del self.readable  # the class's own again
        if request.error is None:
            request.pipe.end()
        else:
            self._stop_receiving(request, request.error)

    def _stop_receiving(self, request: Any, error: Error) -> None:
        """Cut a streamed body: its thread gets an error, and the connection is of no more use."""
        request.pipe.cut(error.code, str(error.body))
        self.out_of_step = True
        self.readable = _never  # type: ignore[method-assign]
        if request not in self.requests:
            # It was answered before its body ended, so no request thread ends the connection.
            self.close_when_flushed = True

    def _is_readable_while_streaming(self) -> bool:
        # Output may wait for the caller, who may first want to send the rest of the body.
        if self.will_close or self.close_when_flushed:
            return False
        request = self.request
        return request is None or not request.pipe.is_full

    def service(self) -> None:
        """Run one request; the connection ends with it if it was not received whole."""
        if self.requests[0].error is not None:
            self.out_of_step = True
        super().service()
        if self.out_of_step and not self.close_when_flushed:
            self.close_when_flushed = True
            self.server.pull_trigger()

    def is_busy(self) -> bool:
        """Whether a request is being received, run or answered.

        Also while the caller may still send a body that was refused, as it reads the refusal after
        that.
        """
        receiving = self.request is not None
        lingering = self.out_of_step and self._lingering_since_s is not None
        return bool(receiving or lingering or self.requests or self.total_outbufs_len)

    def enforce_limits(self, now_s: float, *, crowded: bool) -> None:
        """End what takes too long; called on the loop's thread about once a second."""
        limits = self.server.limits
        if self._lingering_since_s is not None:
            self._enforce_linger_limits(now_s - self._lingering_since_s, crowded=crowded)
            return
        if self.total_outbufs_len and now_s - self.last_activity > limits.write_stall_s:
            self._shut_down()
        elif self.request is not None and self._is_too_slow(now_s):
            self._end_unfinished(RequestTooSlow("the request did not arrive in time"))
        elif crowded and not self.is_busy() and now_s - self.last_activity > limits.crowded_idle_s:
            self.will_close = True

    def abort_on_close(self) -> None:
        """Have the coming close reset the connection.

        An HTTP/1.0 answer without a length ends with its connection, so a cut one must not end
        like a whole one.
        """
        self._aborts = True
        abort_at_once = struct.pack("ii", 1, 0)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, abort_at_once)

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
        if data:
            self.last_activity = time.time()
            if self._lingering_since_s is None:
                self.received(data)
        elif self._lingering_since_s is not None:
            self.handle_close()
        elif self.request is not None and not self.requests:
            self.readable = _never  # type: ignore[method-assign]
            self._end_unfinished(BadRequest("the request ended before its end"))
        else:
            self.handle_close()

    def handle_close(self) -> None:
        """Close the connection; a body still being received is cut."""
        request = self.request
        if request is not None and request.pipe is not None:
            request.pipe.cut(BadRequest.code, "the caller closed the connection")
        super().handle_close()

    def readable(self) -> bool:
        """Whether the loop should read.

        Output that a request thread is just sending itself is no reason against it: nothing
        would tell the loop to look again once it is sent.
        """
        if self.will_close or self.close_when_flushed:
            return False
        if len(self.requests) > self.adj.channel_request_lookahead:
            return False
        return not (self.flushed_by_loop and self.total_outbufs_len)

    def writable(self) -> bool:
        """Whether the loop should call `handle_write`.

        Not for output that a request thread is just sending itself: the socket would take it at
        once, the thread holds the lock, and the loop would spin.
        """
        if self.will_close or self.close_when_flushed:
            return True
        return self.flushed_by_loop and bool(self.total_outbufs_len)

    def handle_write(self) -> None:
        """Write; behind the last answer, linger instead of closing at once.

        Closing a socket with unread input resets the connection, and the reset may overtake the
        answer: a caller that still sends its body would never see why it was refused (RFC 9112
        section 9.6).
        """
        if not self.close_when_flushed or self.will_close or self._aborts:
            super().handle_write()
            return
        # waitress would close the connection as soon as all output is sent.
        self.close_when_flushed = False
        super().handle_write()
        self.close_when_flushed = True
        if self.connected and not self.total_outbufs_len:
            self._begin_lingering()

    def _begin_lingering(self) -> None:
        self._lingering_since_s = self.last_activity = time.time()
        self.readable = _always  # type: ignore[method-assign]
        self.writable = _never  # type: ignore[method-assign]
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.handle_close()

    def _enforce_linger_limits(self, lingered_s: float, *, crowded: bool) -> None:
        limits = self.server.limits
        idle_s = time.time() - self.last_activity
        longest_idle_s = limits.crowded_idle_s if crowded else limits.linger_idle_s
        if lingered_s >= limits.linger_s or idle_s >= longest_idle_s:
            self.handle_close()

    def _is_too_slow(self, now_s: float) -> bool:
        limits = self.server.limits
        elapsed_s = now_s - self._receiving_since_s
        if not self.request.headers_finished:
            return bool(elapsed_s > limits.header_timeout_s)
        pipe = self.request.pipe
        if pipe is not None and pipe.is_full:
            # Not the caller is slow but who takes the body: this second does not count.
            self._receiving_since_s += limits.maintenance_period_s
        earned_s = self.request.body_bytes_received / limits.body_bytes_per_s
        return bool(elapsed_s > limits.body_grace_s + earned_s)

    def _end_unfinished(self, error: Error) -> None:
        with self.requests_lock:
            request, self.request = self.request, None
            if request.begun:
                self._stop_receiving(request, error)
                return
            request.error = error
            request.completed = True
            self._run(request)

    def _shut_down(self) -> None:
        # The socket takes no more output, so the loop would never call `handle_write`; shutting
        # it down makes the loop see a hang-up and close it, which wakes a waiting writer.
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            self.handle_close()
