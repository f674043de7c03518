"""Log events of the configuration (BW0500 to BW0599)."""

from bellweir.events.event import Event, Level

READER_STARTED = Event(
    500, "reader_started", Level.INFO, ("node", "zone"), "This node reads the store for its zone."
)
READER_STOPPED = Event(
    501, "reader_stopped", Level.INFO, ("node", "zone"), "Another node reads the store now."
)
STORE_UNAVAILABLE = Event(
    502, "store_unavailable", Level.WARNING, ("node", "error"), "The store can't be read."
)
STORE_BEHIND = Event(
    503,
    "store_behind",
    Level.WARNING,
    ("node", "revision", "in_force"),
    "The store answered with an older revision than the one in force; it was not applied.",
)
STORE_COMPACTED = Event(
    504, "store_compacted", Level.INFO, ("node", "revision"), "The watch starts over from a list."
)
CONFIGURATION_LOADED = Event(
    505,
    "configuration_loaded",
    Level.INFO,
    ("node", "revision", "source"),
    "The first configuration of this node is in force.",
)
TABLE_DIVERGED = Event(
    506,
    "table_diverged",
    Level.WARNING,
    ("node", "table", "revision", "peer"),
    "A peer's table differs at the same revision, or an update did not fit; read as a whole.",
)
DOCUMENT_UNREADABLE = Event(
    507,
    "document_unreadable",
    Level.ERROR,
    ("node", "kind", "name", "version", "error"),
    "A stored document can't be read; its last readable version stays in force.",
)
LISTENER_FAILED = Event(
    508,
    "listener_failed",
    Level.ERROR,
    ("node", "error"),
    "A listener of the configuration failed.",
)
MACHINE_LIST_UNAVAILABLE = Event(
    509,
    "machine_list_unavailable",
    Level.WARNING,
    ("node", "error"),
    "The platform's machine list can't be read; the last one stays in force.",
)
