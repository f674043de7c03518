"""The HTTP server: waitress with the limits, threads and answers that this node needs.

It builds on the class attributes that waitress keeps for the purpose: the server's channel class
and the channel's task classes. One loop thread reads and accepts; others run the requests.
"""

import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any

from waitress.adjustments import Adjustments
from waitress.server import TcpWSGIServer

from bellweir.http_server.channel import ServerChannel
from bellweir.http_server.loop import ConnectionLoop, WatchedSockets
from bellweir.http_server.request_threads import RequestThreads
from bellweir.http_server.server_limits import ServerLimits
from bellweir.kernel.clock import elapsed_s

WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

THREADS_STOP_TIMEOUT_S = 5.0


class HttpServer(TcpWSGIServer):  # type: ignore[misc]
    """Serves a WSGI application on a socket that is already bound."""

    channel_class: Any = ServerChannel
    accepting: bool = False

    def __init__(
        self, application: WsgiApplication, listener: socket.socket, limits: ServerLimits
    ) -> None:
        sockets = WatchedSockets()
        self.limits = limits
        self.loop = ConnectionLoop(sockets, self.pull_trigger, limits.maintenance_period_s)
        self.closing_connections = False
        """Whether each answer is the last one of its connection."""
        self._ended = threading.Event()
        self._threads = RequestThreads(limits.threads)
        super().__init__(
            application,
            sockets,
            _sock=listener,
            dispatcher=self._threads,
            adj=_adjustments(listener, limits),
            sockinfo=(listener.family, listener.type, listener.proto, listener.getsockname()),
            bind_socket=False,
        )

    def run_until_closed(self, stopping: threading.Event) -> None:
        """Run the loop until `close_all`."""
        self.loop.run(self._ended, elapsed_s)

    def maintenance(self, now: float) -> None:
        """Close idle connections, refuse requests that arrive too slowly, drop stalled readers."""
        super().maintenance(now)
        for channel in list(self.active_channels.values()):
            channel.enforce_limits(now, crowded=self.in_connection_overflow)

    def busy_connections(self) -> int:
        """Connections with a request being received, run or answered."""
        return sum(channel.is_busy() for channel in list(self.active_channels.values()))

    def stop_accepting(self, timeout_s: float) -> None:
        """Accept what the system has queued, then close the listening socket."""
        closed = threading.Event()

        def close_listener() -> None:
            if self.accepting:
                self._accept_queued()
                self.accepting = False
                self.del_channel()
                self.socket.close()
            closed.set()

        self.trigger.pull_trigger(close_listener)
        closed.wait(timeout_s)

    def close_all(self, timeout_s: float = THREADS_STOP_TIMEOUT_S) -> None:
        """Disconnect every caller, end the threads and the loop; closing twice is no error.

        Waits for the threads for at most `timeout_s`.
        """
        if self._ended.is_set():
            return
        self.trigger.pull_trigger(self._disconnect_all)
        self._threads.shutdown(timeout_s)
        self._ended.set()
        self.pull_trigger()

    def release(self) -> None:
        """Close what is left, after the loop has ended."""
        self._disconnect_all()
        self.trigger.close()
        self.socket.close()

    def _disconnect_all(self) -> None:
        for channel in list(self.active_channels.values()):
            channel.handle_close()

    def _accept_queued(self) -> None:
        """Connections made before the close must get an answer, not a reset."""
        before = -1
        while before != len(self._map):
            before = len(self._map)
            self.handle_accept()


def _adjustments(listener: socket.socket, limits: ServerLimits) -> Adjustments:
    return Adjustments(
        sockets=[listener],
        threads=limits.threads,
        ident="bellweir",
        connection_limit=limits.connections,
        channel_timeout=limits.idle_timeout_s,
        cleanup_interval=limits.maintenance_period_s,
        max_request_header_size=limits.maximum_header_bytes,
        # waitress refuses from this length on, so one more than the longest allowed.
        max_request_body_size=limits.maximum_body_bytes + 1,
        recv_bytes=limits.receive_bytes,
        inbuf_overflow=limits.body_memory_bytes,
        outbuf_high_watermark=limits.output_memory_bytes,
        outbuf_overflow=2 * limits.output_memory_bytes,
        # Reading ahead is how waitress notices that a caller left while its request runs.
        channel_request_lookahead=1,
        clear_untrusted_proxy_headers=False,
        log_socket_errors=False,
    )
