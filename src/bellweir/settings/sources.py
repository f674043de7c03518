"""Raw settings from a TOML file, the environment and flags, each value with its origin."""

import re
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bellweir.settings.findings import Finding, SettingsError

ENVIRONMENT_PREFIX = "BELLWEIR_"
ENVIRONMENT_SEPARATOR = "__"
TABLE_PATTERN = re.compile(r"^\s*\[\s*([A-Za-z0-9_.\-]+)\s*\]")
KEY_PATTERN = re.compile(r"^\s*([A-Za-z0-9_\-]+)\s*=")

KeyPath = tuple[str, ...]


@dataclass(frozen=True)
class RawSetting:
    """One value as a source gave it."""

    key_path: KeyPath
    value: Any
    source: str


def read_file(path: Path) -> tuple[RawSetting, ...]:
    """Read a TOML file. Raises `SettingsError` when it can't be read or parsed."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as failure:
        raise SettingsError((Finding(str(path), "", str(failure), "a readable file"),)) from failure
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as failure:
        raise SettingsError((Finding(str(path), "", str(failure), "valid TOML"),)) from failure
    lines = _lines_of_keys(text)
    return tuple(
        RawSetting(key_path, value, _place(path, lines.get(key_path)))
        for key_path, value in _leaves(document)
    )


def read_environment(environment: Mapping[str, str]) -> tuple[RawSetting, ...]:
    """Read variables such as `BELLWEIR_NODE__ZONE`; others are not settings."""
    settings = []
    for variable in sorted(environment):
        name = variable.removeprefix(ENVIRONMENT_PREFIX)
        if name == variable or ENVIRONMENT_SEPARATOR not in name:
            continue
        key_path = tuple(name.lower().split(ENVIRONMENT_SEPARATOR))
        settings.append(
            RawSetting(key_path, _parsed(environment[variable]), f"environment {variable}")
        )
    return tuple(settings)


def read_flags(assignments: tuple[str, ...]) -> tuple[RawSetting, ...]:
    """Read `--set` flags such as `node.zone=zone-2`. Raises `SettingsError` on a malformed one."""
    settings = []
    findings = []
    for assignment in assignments:
        key, separator, value = assignment.partition("=")
        if not separator or not key:
            findings.append(Finding("flag --set", "", repr(assignment), "KEY.PATH=VALUE"))
            continue
        settings.append(
            RawSetting(tuple(key.strip().split(".")), _parsed(value), f"flag --set {key}")
        )
    if findings:
        raise SettingsError(tuple(findings))
    return tuple(settings)


def _parsed(text: str) -> Any:
    """Take a value as TOML writes it, or else as the bare string."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def _leaves(table: Mapping[str, Any], parents: KeyPath = ()) -> Iterator[tuple[KeyPath, Any]]:
    for key, value in table.items():
        key_path = (*parents, key)
        if isinstance(value, dict) and not parents:
            yield from _leaves(value, key_path)
        else:
            yield key_path, value


def _lines_of_keys(text: str) -> dict[KeyPath, int]:
    """Find the line of each plainly written key; TOML's other spellings stay without a line."""
    lines: dict[KeyPath, int] = {}
    table: KeyPath = ()
    for number, line in enumerate(text.splitlines(), start=1):
        header = TABLE_PATTERN.match(line)
        key = KEY_PATTERN.match(line)
        if header is not None:
            table = tuple(header.group(1).split("."))
        elif key is not None:
            lines.setdefault((*table, key.group(1)), number)
    return lines


def _place(path: Path, line: int | None) -> str:
    return str(path) if line is None else f"{path}:{line}"
