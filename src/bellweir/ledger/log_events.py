"""Log events of the ledger (BW0900 to BW0999)."""

from bellweir.events.event import Event, Level

JOURNAL_DAMAGED = Event(
    900,
    "journal_damaged",
    Level.ERROR,
    ("folder", "findings"),
    "The ledger's files are not what was acknowledged; the node rejoins as a learner.",
)
LEADER_ELECTED = Event(
    901,
    "leader_elected",
    Level.INFO,
    ("shard", "term", "last_index", "voters", "granted_by"),
    "This node now leads a shard, from the log that it holds up to `last_index`.",
)
LEADER_RESIGNED = Event(
    902,
    "leader_resigned",
    Level.INFO,
    ("shard", "term", "cause"),
    "This node no longer leads a shard.",
)
APPLY_FAILED = Event(
    903,
    "apply_failed",
    Level.ERROR,
    ("shard", "index", "error"),
    "A state machine raised on a command; the caller is told that its outcome is unknown.",
)
COMMAND_UNKNOWN = Event(
    918,
    "command_unknown",
    Level.ERROR,
    ("shard", "index"),
    "A command of a later build stands in the log; this replica applies nothing from there on and"
    " leads no more, until it runs a build that knows it.",
)
LEDGER_CREATED = Event(
    904,
    "ledger_created",
    Level.INFO,
    ("shards",),
    "This node wrote the first placement of the ledger.",
)
REPLICAS_CHANGED = Event(
    905,
    "replicas_changed",
    Level.INFO,
    ("shard", "voters", "learners", "lost"),
    "This node, leading a shard, began a change of the shard's replicas; `lost` are to go.",
)
SHARD_RECOVERED = Event(
    906,
    "shard_recovered",
    Level.WARNING,
    ("shard", "generation"),
    "An operator's recovery made this node the only voter of a shard.",
)
SHARD_FORGOTTEN = Event(
    907,
    "shard_forgotten",
    Level.WARNING,
    ("shard", "generation"),
    "This node dropped its replica of a shard that was recovered without it.",
)
PLACEMENT_WRITE_FAILED = Event(
    908,
    "placement_write_failed",
    Level.WARNING,
    ("detail",),
    "The placement could not be written to the object store; tried again later.",
)
SNAPSHOT_INSTALLED = Event(
    909,
    "snapshot_installed",
    Level.INFO,
    ("shard", "index"),
    "A replica took a snapshot from its leader.",
)
STEP_FAILED = Event(
    910,
    "step_failed",
    Level.ERROR,
    ("step", "error"),
    "A periodic step of the ledger raised; it is tried again.",
)
JOURNAL_FAILED = Event(
    912,
    "journal_failed",
    Level.ERROR,
    ("error",),
    "A write to the journal failed; the node acknowledges nothing any more and its process ends.",
)
JOURNAL_UNAVAILABLE = Event(
    917,
    "journal_unavailable",
    Level.ERROR,
    ("error",),
    "The ledger's files can't be opened or written; the node holds no replica until they can be.",
)
SEGMENT_DAMAGED = Event(
    911,
    "segment_damaged",
    Level.WARNING,
    ("file", "offset"),
    "A segment file is torn or damaged there; its blobs are read from other replicas.",
)
LEDGER_CUT_OFF = Event(
    913,
    "ledger_cut_off",
    Level.WARNING,
    ("detail",),
    "No node that holds the ledger answers this one; its calls go through other gateways.",
)
LEDGER_REACHED = Event(
    914,
    "ledger_reached",
    Level.INFO,
    (),
    "A node that holds the ledger answers again; calls go on their own way.",
)
REPLICA_LOADED = Event(
    915,
    "replica_loaded",
    Level.INFO,
    ("shard", "disk", "term", "snapshot_index", "last_index", "voters", "learners"),
    "A node that starts found a replica on its disk, whole up to `last_index`.",
)
SHARD_LEADERLESS = Event(
    916,
    "shard_leaderless",
    Level.WARNING,
    ("shard", "term", "seconds", "voters", "learners", "granted_by"),
    "No leader of a shard was heard for long; `granted_by` would vote for this replica.",
)
