"""Parsing of requests: waitress's parser, with long bodies streamed."""

from typing import Any

from waitress.parser import HTTPRequestParser
from waitress.receiver import ChunkedReceiver, FixedStreamReceiver

from bellweir.http_server.body_pipe import BodyPipe

STREAMED_FROM_BYTES = 64 * 1024
"""Shorter bodies are received whole first: they can be sent again, and a slow caller costs no
thread."""


class StreamingRequestParser(HTTPRequestParser):  # type: ignore[misc]
    """One request being received."""

    body_rcv: Any = None
    error: Any = None
    # waitress reads these also of requests whose first line never came.
    command = "GET"
    path = ""

    pipe: BodyPipe | None = None
    """Set once the headers are parsed, when the body is to be streamed."""
    headers_read = False
    """Whether all headers could be read."""
    begun = False
    """Whether a request thread has been given the request before its end."""

    def parse_header(self, header_plus: bytes) -> None:
        """Parse first line and headers and choose how the body is received."""
        super().parse_header(header_plus)
        self.headers_read = True
        if self.body_rcv is not None and self.error is None:
            self.choose_receiver()

    def choose_receiver(self) -> None:
        """Have chunked and long bodies streamed; waitress refuses those over its limit."""
        too_long = self.content_length >= self.adj.max_request_body_size
        if self.chunked:
            self.pipe = BodyPipe()
            self.body_rcv = ChunkedReceiver(self.pipe)
        elif self.content_length > STREAMED_FROM_BYTES and not too_long:
            self.pipe = BodyPipe()
            self.body_rcv = FixedStreamReceiver(self.content_length, self.pipe)
