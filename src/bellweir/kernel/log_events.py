"""Log events of the kernel (BW0001 to BW0099)."""

from bellweir.events.event import Event, Level

NODE_STARTED = Event(1, "node_started", Level.INFO, ("node", "zone"), "All services have started.")
NODE_DRAINING = Event(
    2, "node_draining", Level.INFO, ("node",), "A planned stop began; work in hand ends first."
)
NODE_STOPPED = Event(3, "node_stopped", Level.INFO, ("node",), "All services have stopped.")
TASK_FAILED = Event(
    4, "task_failed", Level.ERROR, ("task", "error"), "A task or submitted call raised."
)
TASK_LEFT_RUNNING = Event(
    5, "task_left_running", Level.ERROR, ("task",), "A task did not end in time at a stop."
)
PROCESS_GIVES_UP = Event(
    7,
    "process_gives_up",
    Level.ERROR,
    ("cause",),
    "A service can't go on; the process ends with exit code 1, to be started again.",
)
SERVICE_DRAINED = Event(
    6, "service_drained", Level.INFO, ("service", "seconds"), "A service took its time to drain."
)
TASK_RESTARTED = Event(
    8,
    "task_restarted",
    Level.ERROR,
    ("task", "error", "pause_s"),
    "A task that must go on raised; it is run again after a pause.",
)
