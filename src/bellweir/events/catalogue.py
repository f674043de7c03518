"""Collects the log events that all packages declare, and renders docs/EVENTS.md."""

import importlib
import importlib.util
import pkgutil

import bellweir
from bellweir.events.event import Event

LOG_EVENTS_MODULE = "log_events"


class DuplicateEventError(ValueError):
    """Two log events share a number or a name."""


def collect_events(package_name: str = bellweir.__name__) -> tuple[Event, ...]:
    """Return the events declared in the `log_events` modules of a package, sorted by number.

    Raises `DuplicateEventError` if two events share a number or a name.
    """
    package = importlib.import_module(package_name)
    events: list[Event] = []
    for module_info in pkgutil.iter_modules(package.__path__, f"{package_name}."):
        events.extend(
            _events_of(f"{module_info.name}.{LOG_EVENTS_MODULE}") if module_info.ispkg else ()
        )
    _check_unique(events)
    return tuple(sorted(events, key=lambda event: event.number))


def _events_of(module_name: str) -> list[Event]:
    if importlib.util.find_spec(module_name) is None:
        return []
    module = importlib.import_module(module_name)
    return [value for value in vars(module).values() if isinstance(value, Event)]


def _check_unique(events: list[Event]) -> None:
    numbers: dict[int, Event] = {}
    names: dict[str, Event] = {}
    for event in events:
        for other in (numbers.get(event.number), names.get(event.name)):
            if other is not None and other is not event:
                raise DuplicateEventError(
                    f"{event.code} {event.name} and {other.code} {other.name}"
                )
        numbers[event.number] = event
        names[event.name] = event


def render_catalogue(events: tuple[Event, ...]) -> str:
    """Render the events as a Markdown table."""
    lines = [
        "# Log events",
        "",
        "Generated from the code by `bellweir events --markdown`; a test fails when they differ.",
        "Every line also carries `timestamp`, `level`, `node` and the event's `code` and name.",
        "",
        "| code | name | level | fields | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    for event in events:
        fields = ", ".join(f"`{field}`" for field in event.fields)
        meaning = event.meaning.replace("|", "\\|")
        lines.append(
            f"| {event.code} | `{event.name}` | {event.level.value} | {fields} | {meaning} |"
        )
    return "\n".join(lines) + "\n"
