"""The bare relay that the gateway is measured against: waitress and pooled connections, no more.

`python -m bench.relay UPSTREAM THREADS READY_FILE`. It copies method, path, body and two headers,
and streams the answer. It chooses nothing, limits nothing, retries nothing and logs nothing.
"""

import http.client
import json
import queue
import socket
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import waitress.server

BLOCK_BYTES = 64 * 1024


class Relay:
    """Relays each request to one upstream."""

    def __init__(self, upstream: str) -> None:
        self._upstream = upstream
        self._idle: queue.SimpleQueue[http.client.HTTPConnection] = queue.SimpleQueue()

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Any:
        """Relay one request."""
        connection = self._take()
        body = environ["wsgi.input"].read()
        headers = {"Content-Type": environ.get("CONTENT_TYPE", "text/plain")}
        connection.request(environ["REQUEST_METHOD"], environ["PATH_INFO"], body, headers)
        answer = connection.getresponse()
        kept = [("Content-Type", answer.headers.get("Content-Type", "text/plain"))]
        if answer.length is not None:
            kept.append(("Content-Length", str(answer.length)))
        start_response(f"{answer.status} {answer.reason}", kept)
        return self._blocks(connection, answer)

    def _take(self) -> http.client.HTTPConnection:
        try:
            return self._idle.get_nowait()
        except queue.Empty:
            connection = http.client.HTTPConnection(self._upstream)
            connection.connect()
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return connection

    def _blocks(
        self, connection: http.client.HTTPConnection, answer: http.client.HTTPResponse
    ) -> Iterator[bytes]:
        while block := answer.read1(BLOCK_BYTES):
            yield block
        answer.read()
        if answer.will_close:
            connection.close()
        else:
            self._idle.put(connection)


def main(upstream: str, threads: str, ready_file: str) -> None:
    """Serve until a signal ends the process."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    server = waitress.server.create_server(
        Relay(upstream),
        sockets=[listener],
        threads=int(threads),
        connection_limit=1024,
        channel_request_lookahead=1,
        asyncore_use_poll=True,
    )
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    partial = Path(ready_file).with_suffix(".partial")
    partial.write_text(json.dumps({"address": address}))
    partial.replace(ready_file)
    server.run()


if __name__ == "__main__":
    main(*sys.argv[1:])
