"""Findings of the settings: every fault with its place, reported together."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Finding:
    """One fault of the settings."""

    source: str
    """File with line where known, environment variable, or flag."""
    key_path: str
    """Dotted path of the setting; empty when the whole file is meant."""
    found: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.source}: {self.key_path}" if self.key_path else self.source
        return f"{place}: found {self.found}; allowed: {self.allowed}"


class SettingsError(ValueError):
    """The settings have faults; all of them are in `findings`."""

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
