"""Log events of routing (BW0700 to BW0799)."""

from bellweir.events.event import Event, Level

CIRCUIT_OPENED = Event(
    700,
    "circuit_opened",
    Level.WARNING,
    ("worker", "detail"),
    "A back end failed several times in a row and gets no requests until a trial succeeds.",
)
CIRCUIT_CLOSED = Event(
    701, "circuit_closed", Level.INFO, ("worker",), "A trial succeeded; the back end is used again."
)
BACKEND_LEAVING = Event(
    702,
    "backend_leaving",
    Level.INFO,
    ("worker", "source"),
    "A back end is leaving and gets no new work; what it has in hand ends.",
)
GENERATION_RESUMED = Event(
    703,
    "generation_resumed",
    Level.INFO,
    ("request_id", "attempt_id", "worker", "tokens"),
    "A cut stream goes on, after the tokens had, on another engine.",
)
OUTCOME_NOT_RECORDED = Event(
    704,
    "outcome_not_recorded",
    Level.WARNING,
    ("key", "attempt_id", "detail"),
    "The outcome of a request that must not be repeated could not be recorded; repeats of its "
    "key are answered as unknown.",
)
ARM_RESULTS_NOT_WRITTEN = Event(
    705,
    "arm_results_not_written",
    Level.WARNING,
    ("node", "name", "error"),
    "Results by arm could not be written into a comparison's status; they are kept and written "
    "later.",
)
