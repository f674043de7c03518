"""Loads a node's settings: flags over environment over file, all findings at once."""

import difflib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from bellweir.settings.findings import Finding, SettingsError
from bellweir.settings.models import Settings
from bellweir.settings.sources import (
    KeyPath,
    RawSetting,
    read_environment,
    read_file,
    read_flags,
)

DEFAULT_SOURCE = "default"


@dataclass(frozen=True)
class LoadedSettings:
    """Checked settings and where each value came from."""

    settings: Settings
    origins: Mapping[str, str]
    """Dotted key path to source; paths that are absent have their default."""

    def origin_of(self, key_path: str) -> str:
        """Return the source of one setting."""
        return self.origins.get(key_path, DEFAULT_SOURCE)


def load_settings(
    file: Path | None, environment: Mapping[str, str], assignments: tuple[str, ...] = ()
) -> LoadedSettings:
    """Load and check settings.

    Args:
        file: TOML file, or None.
        environment: process environment.
        assignments: `--set` flags, `key.path=value`.

    Raises:
        SettingsError: with all findings of all sources.
    """
    raw = _read_sources(file, environment, assignments)
    effective = {setting.key_path: setting for setting in raw}
    document = _nested(effective)
    try:
        settings = Settings.model_validate(document)
    except ValidationError as failure:
        findings = tuple(_finding(error, effective, file) for error in failure.errors())
        raise SettingsError(findings) from None
    origins = {".".join(path): setting.source for path, setting in effective.items()}
    return LoadedSettings(settings, origins)


def _read_sources(
    file: Path | None, environment: Mapping[str, str], assignments: tuple[str, ...]
) -> list[RawSetting]:
    findings: list[Finding] = []
    raw: list[RawSetting] = []
    readers: tuple[Callable[[], tuple[RawSetting, ...]], ...] = (
        lambda: read_file(file) if file is not None else (),
        lambda: read_environment(environment),
        lambda: read_flags(assignments),
    )
    for read in readers:
        try:
            raw.extend(read())
        except SettingsError as failure:
            findings.extend(failure.findings)
    if findings:
        raise SettingsError(tuple(findings))
    return raw


def _nested(effective: Mapping[KeyPath, RawSetting]) -> dict[str, Any]:
    document: dict[str, Any] = {}
    for key_path, setting in effective.items():
        table = document
        for key in key_path[:-1]:
            deeper = table.setdefault(key, {})
            table = deeper if isinstance(deeper, dict) else {}
        table[key_path[-1]] = setting.value
    return document


def _finding(
    error: ErrorDetails, effective: Mapping[KeyPath, RawSetting], file: Path | None
) -> Finding:
    key_path = tuple(str(part) for part in error["loc"])
    source = _source_of(key_path, effective, file)
    if error["type"] == "extra_forbidden":
        return Finding(source, ".".join(key_path), "an unknown key", _nearest(key_path))
    if error["type"] == "missing":
        return Finding(source, ".".join(key_path), "nothing", "a value, which has no default")
    return Finding(source, ".".join(key_path), repr(error["input"]), error["msg"])


def _source_of(
    key_path: KeyPath, effective: Mapping[KeyPath, RawSetting], file: Path | None
) -> str:
    for path, setting in effective.items():
        shorter = min(len(path), len(key_path))
        if path[:shorter] == key_path[:shorter]:
            return setting.source
    return str(file) if file is not None else "settings"


def _nearest(key_path: KeyPath) -> str:
    model: type[BaseModel] = Settings
    for key in key_path[:-1]:
        field = model.model_fields.get(key)
        if field is None or not isinstance(field.annotation, type):
            return "a known key"
        if not issubclass(field.annotation, BaseModel):
            return "a known key"
        model = field.annotation
    known = list(model.model_fields)
    close = difflib.get_close_matches(key_path[-1], known, n=1, cutoff=0.0)
    return f"a known key, the nearest is {close[0]!r}" if close else "a known key"
