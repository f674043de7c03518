"""Writes settings files for nodes."""

import json
from collections.abc import Mapping
from pathlib import Path

Concerns = Mapping[str, Mapping[str, object]]
"""Settings by concern and name; None values are left out."""


def write_settings(path: Path, concerns: Concerns) -> None:
    """Write a TOML file with one table for each concern.

    Values are texts, numbers, truth values, paths and lists of these. A list of mappings becomes
    an array of inline tables.
    """
    lines: list[str] = []
    for concern, values in concerns.items():
        lines.append(f"[{concern}]")
        lines += [
            f"{name} = {_value(value)}" for name, value in values.items() if value is not None
        ]
        lines.append("")
    path.write_text("\n".join(lines))


def merged(*layers: Concerns) -> dict[str, dict[str, object]]:
    """Merge settings; a later layer's values go over an earlier one's."""
    result: dict[str, dict[str, object]] = {}
    for layer in layers:
        for concern, values in layer.items():
            result.setdefault(concern, {}).update(values)
    return result


def _value(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str | Path):
        # JSON's escapes are valid in TOML's basic strings.
        return json.dumps(str(value))
    if isinstance(value, Mapping):
        return "{" + ", ".join(f"{name} = {_value(item)}" for name, item in value.items()) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(_value(item) for item in value) + "]"
    raise TypeError(f"no TOML for {value!r}")
