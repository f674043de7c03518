"""Log events of the resources (BW0400 to BW0499)."""

from bellweir.events.event import Event, Level

RESOURCE_WRITTEN = Event(
    400,
    "resource_written",
    Level.INFO,
    ("kind", "name", "version", "generation", "mutation"),
    "A resource's spec, labels or annotations were written to the store.",
)
RESOURCE_DELETED = Event(
    401, "resource_deleted", Level.INFO, ("kind", "name", "revision"), "A resource was deleted."
)
WRITE_READ_BACK = Event(
    402,
    "write_read_back",
    Level.WARNING,
    ("kind", "name", "mutation", "verdict"),
    "The answer to a write was lost; reading back told what became of it.",
)
STATUS_NOT_WRITTEN = Event(
    403,
    "status_not_written",
    Level.WARNING,
    ("node", "kind", "name", "error"),
    "A condition could not be written to the store; it is written later.",
)
WEIGHT_VERSION_RETIRED = Event(
    404,
    "weight_version_retired",
    Level.INFO,
    ("name", "policy"),
    "A weight version beyond its policy's `keepVersions`, which nothing names, was deleted.",
)
