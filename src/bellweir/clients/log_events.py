"""Log events of the clients of outside systems."""

from bellweir.events.event import Event, Level

SURPLUS_BYTES = Event(
    1210,
    "surplus_bytes",
    Level.INFO,
    ("address",),
    "A peer sent more bytes behind a whole answer. They belong to no request, so the connection is "
    "closed.",
)
