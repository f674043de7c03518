"""Writes numbered events through structlog."""

from typing import Any

import structlog

from bellweir.events.event import Event


def emit(event: Event, **fields: Any) -> None:
    """Write one log line for `event` with the given fields."""
    logger = structlog.get_logger()
    write = getattr(logger, event.level.value)
    write(event.name, code=event.code, **fields)
