"""HTTP server of a stand-in: waitress on its own socket map, so that many fit into one process."""

import socket
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import waitress.server

LISTEN_BACKLOG = 1024
CONNECTION_LIMIT = 4096
LOOP_TIMEOUT_S = 0.5
CHANNEL_TIMEOUT_S = 300
"""Idle connections are closed after this long."""
MAXIMUM_BODY_BYTES = 1 << 30

WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Any]


class WsgiServer:
    """Serves a WSGI application until stopped; stopping cuts what is in hand."""

    def __init__(self, application: WsgiApplication, host: str, port: int, threads: int) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        self._sockets: dict[int, Any] = {}
        self._server = waitress.server.create_server(
            application,
            map=self._sockets,
            sockets=[listener],
            threads=threads,
            backlog=LISTEN_BACKLOG,
            connection_limit=CONNECTION_LIMIT,
            channel_timeout=CHANNEL_TIMEOUT_S,
            max_request_body_size=MAXIMUM_BODY_BYTES,
            # Reading on while a request runs is how a dropped client is noticed.
            channel_request_lookahead=1,
            clear_untrusted_proxy_headers=True,
            ident=None,
        )
        host_bound, port_bound = listener.getsockname()[:2]
        self.address = f"{host_bound}:{port_bound}"
        self._stopping = threading.Event()
        self._pool = ThreadPoolExecutor(1, thread_name_prefix="standin-http")
        self._loop: Future[None] | None = None

    def start(self) -> None:
        """Serve on a thread of its own."""
        self._loop = self._pool.submit(self._serve)

    def _serve(self) -> None:
        while not self._stopping.is_set():
            self._server.asyncore.loop(
                timeout=LOOP_TIMEOUT_S, use_poll=True, map=self._sockets, count=1
            )

    def stop(self) -> None:
        """Close every socket and end every thread; safe to call twice."""
        if self._stopping.is_set():
            return
        self._stopping.set()
        self._server.pull_trigger()
        if self._loop is not None:
            self._loop.result()
        self._server.socket.close()
        for channel in list(self._server.active_channels.values()):
            channel.handle_close()
        self._server.task_dispatcher.shutdown()
        # Last, since it closes the trigger: a running task may still have pulled it, and its
        # descriptor must not belong to another file by then.
        self._server.close()
        self._pool.shutdown()
