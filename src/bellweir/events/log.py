"""Writes numbered events through structlog, as JSON lines or for a console."""

import logging
import sys
from typing import Any, TextIO, cast

import structlog

from bellweir.events.bounded import BoundedLog
from bellweir.events.event import Event


def configure_logs(
    level: str, output_format: str, stream: TextIO | BoundedLog = sys.stderr
) -> None:
    """Set the lowest level written, the format, `json` or `console`, and where logs go."""
    _bounded[:] = [stream] if isinstance(stream, BoundedLog) else []
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if output_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            _add_node,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.PrintLoggerFactory(cast("TextIO", stream)),
        cache_logger_on_first_use=True,
    )


_process_fields: dict[str, str] = {}


def bind_node(node: str) -> None:
    """Put the node's name on every line that this process writes."""
    _process_fields["node"] = node


def _add_node(
    _logger: Any, _method: str, fields: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    for name, value in _process_fields.items():
        fields.setdefault(name, value)
    return fields


_bounded: list[BoundedLog] = []


def emit(event: Event, **fields: Any) -> None:
    """Write one log line for `event` with the given fields, if the stream's bounds admit it."""
    if _bounded and not _bounded[0].admits(event):
        return
    logger = structlog.get_logger()
    write = getattr(logger, event.level.value)
    write(event.name, code=event.code, **fields)
