"""Parsing of requests: waitress's parser, with bodies of applications streamed."""

from typing import Any

from waitress.parser import HTTPRequestParser
from waitress.receiver import ChunkedReceiver, FixedStreamReceiver
from waitress.utilities import RequestEntityTooLarge, RequestHeaderFieldsTooLarge

from bellweir.gateway.applications_api import PREFIX
from bellweir.gateway.body_pipe import BodyPipe
from bellweir.gateway.http import MAXIMUM_JSON_BYTES
from bellweir.gateway.request_headers import IDEMPOTENCY_KEY

KEY_IN_HEADERS = IDEMPOTENCY_KEY.upper().replace("-", "_")
STREAMED_FROM_BYTES = 64 * 1024
"""Shorter bodies are received whole first: they can be sent again, and a slow caller costs no
thread."""


class GatewayRequestParser(HTTPRequestParser):  # type: ignore[misc]
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

    def may_have_key(self) -> bool:
        """Whether the request bears an idempotency key, as far as its headers could be read."""
        # For headers that are too long waitress parses a made-up first line instead.
        unread = not self.headers_read or isinstance(self.error, RequestHeaderFieldsTooLarge)
        return unread or KEY_IN_HEADERS in self.headers

    def parse_header(self, header_plus: bytes) -> None:
        """Parse first line and headers and choose how the body is received."""
        super().parse_header(header_plus)
        self.headers_read = True
        if self.body_rcv is None or self.error is not None:
            return
        if not self.path.startswith(PREFIX):
            if self.content_length > MAXIMUM_JSON_BYTES:
                self.error = RequestEntityTooLarge(f"exceeds {MAXIMUM_JSON_BYTES} bytes")
                self.completed = True
            return
        too_long = self.content_length >= self.adj.max_request_body_size
        if self.chunked:
            self.pipe = BodyPipe()
            self.body_rcv = ChunkedReceiver(self.pipe)
        elif self.content_length > STREAMED_FROM_BYTES and not too_long:
            self.pipe = BodyPipe()
            self.body_rcv = FixedStreamReceiver(self.content_length, self.pipe)
