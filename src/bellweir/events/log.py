"""Writes log events through structlog, as JSON lines or in console format."""

import logging
import sys
from typing import Any, TextIO, cast

import structlog

from bellweir.events.bounded import BoundedLog
from bellweir.events.event import Event


def configure_logs(
    level: str, output_format: str, stream: TextIO | BoundedLog = sys.stderr
) -> None:
    """Configure the minimum level, the format, `json` or `console`, and the output stream."""
    _bounded_streams[:] = [stream] if isinstance(stream, BoundedLog) else []
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
    """Add the node's name to every line that this process logs."""
    _process_fields["node"] = node


def _add_node(
    _logger: Any, _method: str, fields: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    for name, value in _process_fields.items():
        fields.setdefault(name, value)
    return fields


_bounded_streams: list[BoundedLog] = []


def emit(event: Event, **fields: Any) -> None:
    """Log `event` with the given fields, unless a bounded stream drops it."""
    if _bounded_streams and not _bounded_streams[0].admits(event):
        return
    logger = structlog.get_logger()
    write = getattr(logger, event.level.value)
    write(event.name, code=event.code, **fields)
