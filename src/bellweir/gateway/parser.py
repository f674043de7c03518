"""Parsing of the gateway's requests: bodies of applications are streamed, all others limited."""

from waitress.utilities import RequestEntityTooLarge, RequestHeaderFieldsTooLarge

from bellweir.gateway.applications_api import PREFIX
from bellweir.gateway.request_headers import IDEMPOTENCY_KEY
from bellweir.http_server.http import MAXIMUM_JSON_BYTES
from bellweir.http_server.parser import StreamingRequestParser

KEY_IN_HEADERS = IDEMPOTENCY_KEY.upper().replace("-", "_")


class GatewayRequestParser(StreamingRequestParser):
    """One request being received."""

    def may_have_key(self) -> bool:
        """Whether the request bears an idempotency key, as far as its headers could be read."""
        # For headers that are too long waitress parses a made-up first line instead.
        unread = not self.headers_read or isinstance(self.error, RequestHeaderFieldsTooLarge)
        return unread or KEY_IN_HEADERS in self.headers

    def choose_receiver(self) -> None:
        """Stream the bodies for applications; refuse others that are too long to be read."""
        if self.path.startswith(PREFIX):
            super().choose_receiver()
        elif self.content_length > MAXIMUM_JSON_BYTES:
            self.error = RequestEntityTooLarge(f"exceeds {MAXIMUM_JSON_BYTES} bytes")
            self.completed = True
