"""Fills a settings template as the hosting platform does."""

import json
import re
from collections.abc import Mapping, Sequence
from typing import Any

GAP = re.compile(r"\{\{([^#^/}][^}]*)\}\}")
SECTION = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)


def fill(template: str, fields: Mapping[str, Any]) -> str:
    """The template with every gap and section filled from `fields`."""
    return _fill(template, (fields,))


def _fill(text: str, scopes: Sequence[Any]) -> str:
    def section(found: re.Match[str]) -> str:
        kind, path, inner = found.groups()
        value = _look_up(path.strip(), scopes)
        if kind == "^":
            return "" if value else _fill(inner, scopes)
        if isinstance(value, list):
            return "".join(_fill(inner, (*scopes, each)) for each in value)
        return _fill(inner, scopes) if value else ""

    def gap(found: re.Match[str]) -> str:
        path, _, form = found.group(1).partition("|")
        value = _look_up(path.strip(), scopes)
        if form.strip() == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return GAP.sub(gap, SECTION.sub(section, text))


def _look_up(path: str, scopes: Sequence[Any]) -> Any:
    if path == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = _step_down(scope, path.split("."))
        if value is not None:
            return value
    return None


def _step_down(value: Any, steps: Sequence[str]) -> Any:
    for step in steps:
        if isinstance(value, Mapping):
            value = value.get(step)
        elif isinstance(value, list) and step.isdigit() and int(step) < len(value):
            value = value[int(step)]
        else:
            return None
    return value
