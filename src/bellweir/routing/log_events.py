"""Log events of routing (BW0700 to BW0799)."""

from bellweir.events.event import Event, Level

CIRCUIT_OPENED = Event(
    700,
    "circuit_opened",
    Level.WARNING,
    ("worker", "detail"),
    "A back end failed several times in a row and gets no requests until a trial request succeeds.",
)
CIRCUIT_CLOSED = Event(
    701,
    "circuit_closed",
    Level.INFO,
    ("worker",),
    "A trial request succeeded; the back end is used again.",
)
BACKEND_LEAVING = Event(
    702,
    "backend_leaving",
    Level.INFO,
    ("worker", "source"),
    "A back end is leaving: it gets no new requests and finishes those in flight.",
)
GENERATION_RESUMED = Event(
    703,
    "generation_resumed",
    Level.INFO,
    ("request_id", "attempt_id", "worker", "tokens"),
    "An interrupted generation was resumed on another engine after the tokens already received.",
)
OUTCOME_NOT_RECORDED = Event(
    704,
    "outcome_not_recorded",
    Level.WARNING,
    ("key", "attempt_id", "detail"),
    "The outcome of a non-repeatable request could not be recorded; retries with its key get the "
    "outcome unknown.",
)
ARM_RESULTS_NOT_WRITTEN = Event(
    705,
    "arm_results_not_written",
    Level.WARNING,
    ("node", "name", "error"),
    "Results by arm could not be written to a comparison's status; the write will be retried.",
)
