"""Log events of the hosted roles (BW1400 to BW1499)."""

from bellweir.events.event import Event, Level

PROCESS_STARTED = Event(
    1400,
    "process_started",
    Level.INFO,
    ("role", "zone", "start_ms"),
    "The process is serving; `start_ms` is the time since it was executed.",
)
PROCESS_DRAINING = Event(
    1401,
    "process_draining",
    Level.INFO,
    ("in_flight",),
    "SIGTERM was received; the process drains and takes no new clients.",
)
PROCESS_STOPPED = Event(
    1402,
    "process_stopped",
    Level.INFO,
    ("seconds", "left_running"),
    "The process exits, `seconds` after it was to stop; `left_running` is 1 if its stop was cut "
    "short at the end of the grace period.",
    is_final=True,
)
SETTINGS_RELOADED = Event(
    1403,
    "settings_reloaded",
    Level.INFO,
    ("changed",),
    "SIGHUP was received; `changed` lists the keys whose values changed.",
)
SETTINGS_REFUSED = Event(
    1404,
    "settings_refused",
    Level.ERROR,
    ("findings",),
    "The settings file is invalid; the previous settings stay in force.",
    is_final=True,
)
SETTINGS_UNKNOWN = Event(
    1405,
    "settings_unknown",
    Level.WARNING,
    ("keys",),
    "The settings file has keys that this version does not know; they are ignored.",
)
PROCESS_DRAINED = Event(
    1408,
    "process_drained",
    Level.INFO,
    ("in_flight", "seconds"),
    "The drain ended; the clients of the `in_flight` requests in hand are disconnected.",
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
    1412,
    "store_listed",
    Level.INFO,
    ("kind", "revision", "count"),
    "All objects of a kind were listed.",
)
STORE_CALLS = Event(
    1418,
    "store_calls",
    Level.INFO,
    ("calls",),
    "Calls to the object store since the previous such line, by kind, operation and outcome.",
)
VIEW_RELAYED = Event(
    1416,
    "view_relayed",
    Level.INFO,
    ("kind", "age_s"),
    "Changes of this kind are received from peers; the object store is not queried.",
)
VIEW_DIRECT = Event(
    1417,
    "view_direct",
    Level.INFO,
    ("kind", "age_s"),
    "Changes received from peers are too old; this process watches the object store itself.",
)
STORE_TURNS_AWAY = Event(
    1426,
    "store_turns_away",
    Level.WARNING,
    ("lost_s",),
    "The object store does not serve this process; it asks peers for changes instead.",
)
STORE_SERVES_AGAIN = Event(
    1427, "store_serves_again", Level.INFO, (), "A probe of the object store was answered again."
)
CONFIGURATION_IN_FORCE = Event(
    1413,
    "configuration_in_force",
    Level.INFO,
    ("version", "routes", "source"),
    "A newer configuration is now used to route requests.",
)
CONFIGURATION_REFUSED = Event(
    1414, "configuration_refused", Level.ERROR, ("error",), "A configuration could not be parsed."
)
ENTRY_UNREADABLE = Event(
    1480,
    "entry_unreadable",
    Level.WARNING,
    ("kind", "name", "revision", "cause"),
    "An entry of the object store is unusable and treated as absent; logged once per revision.",
)
CONFIGURATION_PART_UNREADABLE = Event(
    1481,
    "configuration_part_unreadable",
    Level.ERROR,
    ("version", "part", "name", "cause", "instead"),
    "A part of a configuration is unusable; `instead` names what is in force in its place.",
)
WORKER_CHANGED = Event(
    1415,
    "worker_changed",
    Level.INFO,
    ("instance", "service", "address", "born", "state", "versions"),
    "A worker's entry was added, changed or removed (state `gone`).",
)
WORKER_KEPT = Event(
    1419,
    "worker_kept",
    Level.INFO,
    ("instance", "address", "left_s"),
    "A worker's entry expired while the object store was unavailable; the worker counts as live "
    "for `left_s` more seconds.",
)
WORKER_STARTED_AGAIN = Event(
    1406,
    "worker_started_again",
    Level.INFO,
    ("instance", "address", "born", "known_born"),
    "A worker restarted under the same id; earlier observations of it are discarded. "
    "`known_born` is its previous start time: a later one means that its clock was set back.",
)
WORKER_FORMER_ENTRY = Event(
    1407,
    "worker_former_entry",
    Level.WARNING,
    ("instance", "address", "born", "known_born"),
    "An entry with another start time than the newest, `known_born`, was ignored as a stale read "
    "or a late write. It is accepted if it is written a second time.",
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
        "body_bytes",
        "framing",
    ),
    "A client's request was answered by a worker. `framing` tells what ended the worker's body: "
    "its `length`, its `chunks` or the end of its `connection`, after which a cut body can't be "
    "told from a whole one.",
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
        "configuration_age_ms",
        "ready",
    ),
    "A client's request was answered with an error by the gateway itself.",
    is_final=True,
)
ATTEMPT_FAILED = Event(
    1422,
    "attempt_failed",
    Level.INFO,
    ("request_id", "attempt", "instance", "address", "outcome", "detail", "ms"),
    "An attempt at a worker returned no answer that can be forwarded.",
)
CONNECTION_SILENT = Event(
    1464,
    "connection_silent",
    Level.INFO,
    ("address", "is_common"),
    "A worker's system does not acknowledge a request on an open connection, so the idle "
    "connections of before are closed: those to this worker, or to all workers if `is_common`, "
    "when several workers have shown it within a second.",
)
STREAM_RESUMED = Event(
    1423,
    "stream_resumed",
    Level.INFO,
    ("request_id", "instance", "after_event"),
    "An interrupted stream was resumed at another worker.",
)
CLIENT_LEFT = Event(
    1424,
    "client_left",
    Level.INFO,
    ("request_id",),
    "The client disconnected; its request is cancelled.",
)
LINES_LEFT_OUT = Event(
    1425,
    "lines_left_out",
    Level.WARNING,
    ("counts",),
    "Number of log lines dropped since the previous such line, by event.",
)
KEY_REFUSED = Event(
    1428,
    "key_refused",
    Level.INFO,
    ("request_id", "configuration", "verdict", "has_key", "age_ms"),
    "A request carries no key of the configuration in force; `undecided`: a newer configuration "
    "may have it.",
)
CONFIGURATION_UNPROVEN = Event(
    1447,
    "configuration_unproven",
    Level.WARNING,
    ("cause", "age_s"),
    "The store could not be asked whether the configuration is current; requests without a route "
    "or with an unknown key get 503.",
)
WORKER_ENDED_UNDER = Event(
    1520,
    "worker_ended_under",
    Level.WARNING,
    ("digest", "instance", "service", "ends", "blame", "quarantined", "evidence"),
    "A worker ended while it ran a request; `digest` names the request, `ends` counts the workers, "
    "`blame` weighs each by the share of those that ended with it and ran the request too.",
)
REQUEST_QUARANTINED = Event(
    1521,
    "request_quarantined",
    Level.WARNING,
    ("request_id", "digest", "ends", "trials_left", "left_s"),
    "A request was sent to no worker, since others ended while they ran the same request; with "
    "trials left it may run once more in `left_s`.",
)
REQUEST_TRIED = Event(
    1523,
    "request_tried",
    Level.INFO,
    ("request_id", "digest", "instance", "ends", "trials_left"),
    "A request under which workers had ended is run once more, apart from others of the kind.",
)
REQUEST_ACQUITTED = Event(
    1522,
    "request_acquitted",
    Level.INFO,
    ("request_id", "digest"),
    "A worker answered a request under which others had ended; their ends no longer count.",
)
CRASH_RECORDS_LEARNT = Event(
    1524,
    "crash_records_learnt",
    Level.INFO,
    ("peers", "informed", "records", "ms"),
    "A process that starts has asked its peers which requests crash workers; where it is not "
    "`informed` it goes on asking while it serves.",
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
    "A worker performs worse than the other workers of its service; it gets no requests for "
    "`for_s` seconds, then probes only. `fellow`: the others' failure rate, or their median in "
    "seconds.",
)
WORKER_RETURNED = Event(
    1501,
    "worker_returned",
    Level.INFO,
    ("instance", "service", "cause", "served", "failed", "usual_ms", "told_age_ms"),
    "A worker that was set aside gets requests like the others again.",
)
SIGHT_ALONE = Event(
    1502,
    "sight_alone",
    Level.WARNING,
    ("gateways",),
    "No other gateway was heard from while there were observations to share; those received "
    "earlier decay.",
)
SIGHT_SHARED = Event(
    1503,
    "sight_shared",
    Level.INFO,
    ("gateways",),
    "Another gateway was heard from again.",
)
RETRY_REFUSED = Event(
    1504,
    "retry_refused",
    Level.WARNING,
    ("service", "first", "further", "gateways"),
    "The retry budget of a service is exhausted; at most one line a second.",
)
JOB_ACCEPTED = Event(
    1430,
    "job_accepted",
    Level.INFO,
    ("request_id", "tenant", "items", "wanted", "step", "model", "minimum_version", "ms"),
    "A batch job was stored durably and will be run.",
)
JOB_NOT_ACCEPTED = Event(
    1431,
    "job_not_accepted",
    Level.WARNING,
    ("request_id", "status", "cause"),
    "A batch job was refused, or it is unknown whether it was accepted.",
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
    "An item of a batch job was sent to a worker.",
)
ITEM_BROKEN = Event(
    1434,
    "item_broken",
    Level.INFO,
    ("request_id", "job", "attempt", "instance", "cause", "events"),
    "A run of an item ended before it was complete; the item is retried.",
)
ITEM_HELD = Event(
    1448,
    "item_held",
    Level.WARNING,
    ("request_id", "job", "stage", "reason", "left_s"),
    "An item gets no engine for now; it may run again in `left_s`. At most one line an item and "
    "5 s; others of its job and group go on.",
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
    "A run of an item was cancelled and resumes at another worker after its last event.",
)
ITEM_TAKEN_OVER = Event(
    1439,
    "item_taken_over",
    Level.INFO,
    ("request_id", "job", "events", "failures", "earlier"),
    "A leader begins with an item of which it knows something: it resumes after the checkpoint "
    "that the previous leader stored, and counts the answers of 500 and 422 that were recorded, "
    "`earlier` of them in other jobs.",
)
ITEM_FAILED = Event(
    1465,
    "item_failed",
    Level.INFO,
    (
        "request_id",
        "job",
        "stage",
        "instance",
        "status",
        "failures",
        "earlier",
        "cancelled",
    ),
    "A worker answered an item or its reward call 500 or 422. `failures` counts such answers with "
    "this one, `earlier` those of them in other jobs; `cancelled`: the run had been cancelled when "
    "the answer was read.",
)
ITEM_FAILURES_LOST = Event(
    1466,
    "item_failures_lost",
    Level.WARNING,
    ("request_id", "job", "failures"),
    "Answers of 500 or 422 to an item could not be recorded after this node had ceased to lead; "
    "its successors don't count them.",
)
JOB_ROUTE_ENDED = Event(
    1467,
    "job_route_ended",
    Level.WARNING,
    ("job", "route", "configuration", "items"),
    "The route that accepted a batch job is gone or takes no jobs any more: `items` of its items "
    "that waited are given up. Those that run go on.",
)
ITEM_LISTED = Event(
    1435,
    "item_listed",
    Level.INFO,
    ("request_id", "job", "state", "events", "versions", "cause"),
    "An item's result was committed at its position.",
)
COORDINATION_TAKEN = Event(
    1436,
    "coordination_taken",
    Level.INFO,
    ("jobs",),
    "This node now coordinates the open batch jobs.",
)
COORDINATION_LEFT = Event(
    1437,
    "coordination_left",
    Level.INFO,
    ("running",),
    "This node no longer coordinates the batch jobs.",
)
LEASE_TAKEN = Event(
    1440, "lease_taken", Level.INFO, ("lease", "fence", "after"), "This node acquired a lease."
)
LEASE_LOST = Event(1441, "lease_lost", Level.WARNING, ("lease", "cause"), "This node lost a lease.")
LEASE_UNANSWERED = Event(
    1445,
    "lease_unanswered",
    Level.WARNING,
    ("lease", "attempt", "detail"),
    "A write that takes, renews or makes a lease has no answer: it may be done, also later.",
)
ORDER_SENT = Event(
    1442,
    "order_sent",
    Level.INFO,
    ("instance", "model", "version", "mode", "fence", "expected", "answer"),
    "A worker was ordered to load a version of a model.",
)
VERSION_NAMED = Event(
    1443, "version_named", Level.INFO, ("model", "version"), "A trainer announced a version."
)
VERSION_LOADED = Event(
    1444,
    "version_loaded",
    Level.INFO,
    ("instance", "model", "version"),
    "A worker has loaded a version.",
)
RETIREMENT_STARTED = Event(
    1450,
    "retirement_started",
    Level.INFO,
    ("machine",),
    "A store machine is being drained of its replicas.",
)
RETIREMENT_COMPLETED = Event(
    1451,
    "retirement_completed",
    Level.INFO,
    ("machine",),
    "A retired store machine holds no replicas any more.",
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
    "The platform was asked for a number of workers in a zone; `refused`: none are available "
    "there.",
)
USAGE_REPORTED = Event(
    1455,
    "usage_reported",
    Level.INFO,
    ("window", "requests", "tenants", "fence", "answer"),
    "The usage of a window, settled in the log, was reported to the platform; repeated until the "
    "answer is `done`.",
)
USAGE_MISSED = Event(
    1456,
    "usage_missed",
    Level.ERROR,
    ("window",),
    "The usage of a window was not reported in time; its `usage_reported` lines show the attempts.",
    is_final=True,
)
USAGE_TOO_LATE = Event(
    1457,
    "usage_too_late",
    Level.WARNING,
    ("windows",),
    "Counts of this gateway reached the log after their window was settled and are not reported.",
    is_final=True,
)
READING_PUT_OFF = Event(
    1458,
    "reading_put_off",
    Level.WARNING,
    ("request_id", "after", "leader", "nearby", "left_out"),
    "A read of results was answered 503 because no node knew the position; at most one line a "
    "second.",
)
ITEM_NOT_LISTED = Event(
    1459,
    "item_not_listed",
    Level.INFO,
    ("request_id", "job", "state", "events", "cause"),
    "An item's result was discarded when it reached the log; `cause` gives the reason.",
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
    "A request was queued for a free slot of a service; the fields give what was known at the "
    "end of the wait.",
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
    "A request was refused before it was sent to a worker; the fields give what was known of its "
    "service and how old that was.",
)
METRICS_UNAVAILABLE = Event(
    1460,
    "metrics_unavailable",
    Level.WARNING,
    ("address", "error"),
    "The metrics address is in use; binding is retried and the process goes on without it.",
)
WORKER_FAILS_ALL = Event(
    1470,
    "worker_fails_all",
    Level.WARNING,
    ("instance", "failures", "service_workers", "failing_workers", "cause"),
    "A worker fails every item while the other workers do not; it gets probe items only.",
)
WORKER_SERVES_AGAIN = Event(
    1471,
    "worker_serves_again",
    Level.INFO,
    ("instance",),
    "A worker that had failed several items in a row completed one; it gets items like the "
    "others again.",
)
ALLOWANCE_LEARNT = Event(
    1490,
    "allowance_learnt",
    Level.INFO,
    ("model", "lag", "job", "named", "minimum_version"),
    "The holder of the roll-out lease learnt from a job how many versions behind the newest the "
    "trainer accepts samples from: with a lag of 1 a worker loads only every second version.",
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
    "Steps of several trainers compete for the same engines: what one step still needs, the time "
    "it has left and how many of its groups cannot be in time; at most one line per step and "
    "second.",
)
EVACUATION_BEGAN = Event(
    1461,
    "evacuation_began",
    Level.WARNING,
    ("zone", "revision", "last_sent_ms"),
    "The operator evacuates a zone: its workers get no more work from this process, whose last "
    "request there was sent `last_sent_ms` before.",
)
EVACUATION_ENDED = Event(
    1462,
    "evacuation_ended",
    Level.INFO,
    ("zone", "revision", "after_s"),
    "The operator gave a zone back. Its workers count as cold until their entries can have told.",
)
WORKER_COLD = Event(
    1463,
    "worker_cold",
    Level.INFO,
    ("instance", "zone", "cold_ms", "revision"),
    "A worker's entry tells that it is cold: until it is warm, all processes together send it a "
    "limited number of requests a second.",
)
