"""Log events of the hosted roles (BW1400 to BW1499)."""

from bellweir.events.event import Event, Level

PROCESS_STARTED = Event(
    1400,
    "process_started",
    Level.INFO,
    ("role", "zone", "start_ms"),
    "The process serves; time from its first instruction.",
)
PROCESS_DRAINING = Event(
    1401, "process_draining", Level.INFO, ("in_flight",), "SIGTERM came; no new clients are sent."
)
PROCESS_STOPPED = Event(
    1402,
    "process_stopped",
    Level.INFO,
    ("seconds", "left_running"),
    "The process ends.",
    is_final=True,
)
SETTINGS_RELOADED = Event(
    1403, "settings_reloaded", Level.INFO, ("changed",), "SIGHUP came; keys whose values changed."
)
SETTINGS_REFUSED = Event(
    1404,
    "settings_refused",
    Level.ERROR,
    ("findings",),
    "The settings file has faults; what was in force stays.",
    is_final=True,
)
SETTINGS_UNKNOWN = Event(
    1405, "settings_unknown", Level.WARNING, ("keys",), "Keys that this version doesn't know."
)
STORE_LOST = Event(
    1410,
    "store_lost",
    Level.WARNING,
    ("kind", "error", "detail", "age_s"),
    "The object store does not answer; views of this kind keep their last state.",
)
STORE_REGAINED = Event(
    1411, "store_regained", Level.INFO, ("kind", "after_s"), "The object store answers again."
)
STORE_LISTED = Event(
    1412, "store_listed", Level.INFO, ("kind", "revision", "count"), "All objects were read."
)
STORE_CALLS = Event(
    1418,
    "store_calls",
    Level.INFO,
    ("calls",),
    "Calls to the object store since the last such line, by kind, sort and outcome.",
)
VIEW_RELAYED = Event(
    1416,
    "view_relayed",
    Level.INFO,
    ("kind", "age_s"),
    "Peers tell what is new of this kind; the object store is not asked for it.",
)
VIEW_DIRECT = Event(
    1417,
    "view_direct",
    Level.INFO,
    ("kind", "age_s"),
    "What peers tell is too old; this process follows the object store itself.",
)
STORE_TURNS_AWAY = Event(
    1426,
    "store_turns_away",
    Level.WARNING,
    ("lost_s",),
    "The object store does not serve this process; it asks other nodes what is new there.",
)
STORE_SERVES_AGAIN = Event(
    1427, "store_serves_again", Level.INFO, (), "A look at the object store was answered again."
)
CONFIGURATION_IN_FORCE = Event(
    1413,
    "configuration_in_force",
    Level.INFO,
    ("version", "routes", "source"),
    "A newer configuration routes requests from now on.",
)
CONFIGURATION_REFUSED = Event(
    1414, "configuration_refused", Level.ERROR, ("error",), "A configuration can't be understood."
)
ENTRY_UNREADABLE = Event(
    1480,
    "entry_unreadable",
    Level.WARNING,
    ("kind", "name", "revision", "cause"),
    "An entry of the object store can't be used and counts as absent; once for each revision.",
)
CONFIGURATION_PART_UNREADABLE = Event(
    1481,
    "configuration_part_unreadable",
    Level.ERROR,
    ("version", "part", "name", "cause", "instead"),
    "A part of a configuration can't be used; `instead` says what is in force in its place.",
)
WORKER_CHANGED = Event(
    1415,
    "worker_changed",
    Level.INFO,
    ("instance", "service", "address", "born", "state", "versions"),
    "A worker's entry appeared, changed or went (state `gone`).",
)
WORKER_KEPT = Event(
    1419,
    "worker_kept",
    Level.INFO,
    ("instance", "address", "left_s"),
    "A worker's entry lapsed while the store was away; the worker counts as live so much longer.",
)
WORKER_STARTED_AGAIN = Event(
    1406,
    "worker_started_again",
    Level.INFO,
    ("instance", "address", "born", "known_born"),
    "A worker started again under its id; what was known of it counts no more. `known_born` is its"
    " former start: a greater one means that its clock was put back.",
)
WORKER_FORMER_ENTRY = Event(
    1407,
    "worker_former_entry",
    Level.WARNING,
    ("instance", "address", "born", "known_born"),
    "An entry under another start than the newest, `known_born`, was passed over: an old reading or"
    " a late write. It counts if it is written a second time.",
)
REQUEST_ANSWERED = Event(
    1420,
    "request_answered",
    Level.INFO,
    (
        "request_id",
        "route",
        "configuration",
        "status",
        "instance",
        "attempts",
        "ms",
        "workers_age_ms",
    ),
    "A client's request got a worker's answer.",
)
REQUEST_GIVEN_UP = Event(
    1421,
    "request_given_up",
    Level.WARNING,
    (
        "request_id",
        "route",
        "configuration",
        "status",
        "cause",
        "attempts",
        "ms",
        "workers_age_ms",
        "ready",
    ),
    "A client's request got an answer of this service's own.",
    is_final=True,
)
ATTEMPT_FAILED = Event(
    1422,
    "attempt_failed",
    Level.INFO,
    ("request_id", "attempt", "instance", "address", "outcome", "detail", "ms"),
    "An attempt at a worker brought no answer to pass on.",
)
STREAM_RESUMED = Event(
    1423,
    "stream_resumed",
    Level.INFO,
    ("request_id", "instance", "after_event"),
    "A broken stream continues at another worker.",
)
CLIENT_LEFT = Event(
    1424, "client_left", Level.INFO, ("request_id",), "The client closed; its work is cancelled."
)
LINES_LEFT_OUT = Event(
    1425, "lines_left_out", Level.WARNING, ("counts",), "Log lines dropped lately, by event."
)
KEY_REFUSED = Event(
    1428,
    "key_refused",
    Level.INFO,
    ("request_id", "configuration", "verdict", "has_key", "age_ms"),
    "A request carries no key that the configuration in force has; `undecided`: a newer one may.",
)
WORKER_SET_ASIDE = Event(
    1500,
    "worker_set_aside",
    Level.WARNING,
    (
        "instance",
        "service",
        "cause",
        "served",
        "failed",
        "usual_ms",
        "fellow",
        "for_s",
        "told_age_ms",
    ),
    "A worker does worse than its fellows; it gets nothing for so long, then trials. `fellow`: the"
    " fellow's share of failures or median in seconds.",
)
WORKER_RETURNED = Event(
    1501,
    "worker_returned",
    Level.INFO,
    ("instance", "service", "cause", "served", "failed", "usual_ms", "told_age_ms"),
    "A worker that was set aside gets requests as its fellows do.",
)
SIGHT_ALONE = Event(
    1502,
    "sight_alone",
    Level.WARNING,
    ("gateways",),
    "No other gateway was heard while there was something to tell; what they told fades out.",
)
SIGHT_SHARED = Event(
    1503,
    "sight_shared",
    Level.INFO,
    ("gateways",),
    "Another gateway was heard again.",
)
RETRY_REFUSED = Event(
    1504,
    "retry_refused",
    Level.WARNING,
    ("service", "first", "further", "gateways"),
    "The further tries of a service have used up their share; one line a second at most.",
)
JOB_ACCEPTED = Event(
    1430,
    "job_accepted",
    Level.INFO,
    ("request_id", "tenant", "items", "wanted", "step", "model", "minimum_version", "ms"),
    "A batch job is durable; it will be run.",
)
JOB_NOT_ACCEPTED = Event(
    1431,
    "job_not_accepted",
    Level.WARNING,
    ("request_id", "status", "cause"),
    "A batch job was refused, or its acceptance is not known.",
    is_final=True,
)
JOB_ENDED = Event(
    1432, "job_ended", Level.INFO, ("request_id", "listed", "items"), "A batch job was ended."
)
ITEM_STARTED = Event(
    1433,
    "item_started",
    Level.INFO,
    ("request_id", "job", "group", "attempt", "instance", "version", "after_event"),
    "An item of a batch job is sent to a worker.",
)
ITEM_BROKEN = Event(
    1434,
    "item_broken",
    Level.INFO,
    ("request_id", "job", "attempt", "instance", "cause", "events"),
    "An item's run ended short; it is tried again.",
)
ITEM_MOVED = Event(
    1438,
    "item_moved",
    Level.INFO,
    (
        "request_id",
        "job",
        "instance",
        "target",
        "cause",
        "events",
        "left_events",
        "silent_ms",
        "pace_ms",
        "target_pace_ms",
    ),
    "An item's run is cut and goes on at a better worker, behind its last event.",
)
ITEM_TAKEN_OVER = Event(
    1439,
    "item_taken_over",
    Level.INFO,
    ("request_id", "job", "events"),
    "A new leader goes on with a text that the one before had kept a part of.",
)
ITEM_LISTED = Event(
    1435,
    "item_listed",
    Level.INFO,
    ("request_id", "job", "state", "events", "versions", "cause"),
    "An item's result is committed at its position.",
)
COORDINATION_TAKEN = Event(
    1436, "coordination_taken", Level.INFO, ("jobs",), "This node runs the open batch jobs now."
)
COORDINATION_LEFT = Event(
    1437, "coordination_left", Level.INFO, ("running",), "Another node runs the batch jobs."
)
LEASE_TAKEN = Event(
    1440, "lease_taken", Level.INFO, ("lease", "fence", "after"), "This node holds a lease."
)
LEASE_LOST = Event(1441, "lease_lost", Level.WARNING, ("lease", "cause"), "The lease is gone.")
ORDER_SENT = Event(
    1442,
    "order_sent",
    Level.INFO,
    ("instance", "model", "version", "mode", "fence", "expected", "answer"),
    "A worker was ordered to load a version.",
)
VERSION_NAMED = Event(
    1443, "version_named", Level.INFO, ("model", "version"), "A trainer named a version."
)
VERSION_LOADED = Event(
    1444, "version_loaded", Level.INFO, ("instance", "model", "version"), "A worker holds it."
)
RETIREMENT_STARTED = Event(
    1450, "retirement_started", Level.INFO, ("machine",), "A store machine is being emptied."
)
RETIREMENT_COMPLETED = Event(
    1451, "retirement_completed", Level.INFO, ("machine",), "It holds nothing any more."
)
WORKERS_ORDERED = Event(
    1453,
    "workers_ordered",
    Level.INFO,
    (
        "service",
        "zone",
        "ready",
        "standing",
        "wanted",
        "reason",
        "fence",
        "answer",
    ),
    "A zone was ordered to hold so many workers; `refused`: none can be had there now.",
)
USAGE_REPORTED = Event(
    1455,
    "usage_reported",
    Level.INFO,
    ("window", "requests", "tenants", "fence", "answer"),
    "A window's usage, settled in the log, was reported to the platform; unless `done`, again.",
)
USAGE_MISSED = Event(
    1456,
    "usage_missed",
    Level.ERROR,
    ("window",),
    "A window's usage could not be reported in time; `usage_reported` lines tell what was tried.",
    is_final=True,
)
USAGE_TOO_LATE = Event(
    1457,
    "usage_too_late",
    Level.WARNING,
    ("windows",),
    "Counts of this gateway reached the log after their window was settled: they are not reported.",
    is_final=True,
)
READING_PUT_OFF = Event(
    1458,
    "reading_put_off",
    Level.WARNING,
    ("request_id", "after", "leader", "nearby", "left_out"),
    "A reading of results was answered 503: nobody knew the position; one line a second at most.",
)
ITEM_NOT_LISTED = Event(
    1459,
    "item_not_listed",
    Level.INFO,
    ("request_id", "job", "state", "events", "cause"),
    "An item's result was dropped when it reached the log; the cause tells why.",
)
REQUEST_QUEUED = Event(
    1510,
    "request_queued",
    Level.INFO,
    (
        "request_id",
        "service",
        "tenant",
        "priority",
        "release",
        "waited_ms",
        "expected_ms",
        "in_hand",
        "slots",
        "age_ms",
    ),
    "A request waited for room at a service; what was known of it at the end of the wait.",
)
REQUEST_REFUSED = Event(
    1511,
    "request_refused",
    Level.INFO,
    (
        "request_id",
        "service",
        "tenant",
        "priority",
        "why",
        "left_ms",
        "target_ms",
        "waited_ms",
        "expected_ms",
        "in_hand",
        "slots",
        "age_ms",
    ),
    "A request was refused before any worker saw it; what was known of its service, and its age.",
)
METRICS_UNAVAILABLE = Event(
    1460,
    "metrics_unavailable",
    Level.WARNING,
    ("address", "error"),
    "The address of the process's figures is taken; it is tried again, and all else goes on.",
)
WORKER_FAILS_ALL = Event(
    1470,
    "worker_fails_all",
    Level.WARNING,
    ("instance", "failures", "service_workers", "failing_workers", "cause"),
    "A worker fails whatever it gets while its fellows don't: it gets items to try it by only.",
)
WORKER_SERVES_AGAIN = Event(
    1471,
    "worker_serves_again",
    Level.INFO,
    ("instance",),
    "A worker that had failed several items in a row serves one: it gets items as its fellows do.",
)
ALLOWANCE_LEARNT = Event(
    1490,
    "allowance_learnt",
    Level.INFO,
    ("model", "lag", "job", "named", "minimum_version"),
    "The holder of the roll-outs' lease learnt from a job how many versions behind the newest its "
    "trainer lets samples be: with a lag of 1 a worker loads every second version only.",
)
STEP_ORDERED = Event(
    1472,
    "step_ordered",
    Level.INFO,
    (
        "request_id",
        "due_ms",
        "wanted_groups",
        "late_groups",
        "surplus_groups",
        "waiting",
        "running",
        "left_events",
        "slack_ms",
        "priority",
        "places",
        "pace_ms",
        "steps",
    ),
    "Steps of several trainers want the same engines: what one needs, what is left of its time and "
    "how many of its groups can't be in time; one line a second a step at most.",
)
