"""Log events of the gateway (BW0800 to BW0899)."""

from bellweir.events.event import Event, Level

GATEWAY_LISTENING = Event(
    800, "gateway_listening", Level.INFO, ("address",), "The HTTP interface accepts requests."
)
REQUEST_ENDED = Event(
    801,
    "request_ended",
    Level.DEBUG,
    ("request_id", "interface", "method", "path", "status", "seconds"),
    "An answer has been handed to the connection whole.",
)
REQUEST_FAILED = Event(
    802,
    "request_failed",
    Level.ERROR,
    ("request_id", "interface", "path", "error"),
    "Serving a request raised; the caller got status 500 or a cut answer.",
)
CALLER_GONE = Event(
    803,
    "caller_gone",
    Level.INFO,
    ("request_id",),
    "The caller's connection closed before its answer ended; the generation is cancelled.",
)
GATEWAY_DRAINING = Event(
    804,
    "gateway_draining",
    Level.INFO,
    ("in_flight",),
    "The node reports not ready; requests in hand end, then new ones are refused.",
)
GATEWAY_DRAINED = Event(
    805,
    "gateway_drained",
    Level.INFO,
    ("left_running",),
    "The drain ended; `left_running` requests had not ended by its deadline.",
)
TOKENS_LOADED = Event(
    806, "tokens_loaded", Level.INFO, ("count",), "The file of bearer tokens was read."
)
TOKENS_INVALID = Event(
    807,
    "tokens_invalid",
    Level.ERROR,
    ("error",),
    "The file of bearer tokens could not be used; the tokens read before stay in force.",
)
REQUEST_THREAD_FAILED = Event(
    808,
    "request_thread_failed",
    Level.ERROR,
    ("error",),
    "The HTTP library failed on a connection, which is closed.",
)
THREADS_LEFT_RUNNING = Event(
    809,
    "threads_left_running",
    Level.ERROR,
    ("count",),
    "Requests had not ended when the node stopped; their callers were disconnected.",
)
