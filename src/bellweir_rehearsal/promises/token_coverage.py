"""Compares tokens and the versions said to have produced them with what engines logged."""

from collections.abc import Iterable, Sequence

from bellweir_rehearsal.promises.evidence import EngineAttempt
from bellweir_rehearsal.records.model import VersionRange


def fault_in_ranges(versions: Sequence[VersionRange], token_count: int) -> str | None:
    """Say what is wrong with ranges that should cover all tokens in order; None when nothing is."""
    position = 0
    for entry in versions:
        if entry.first_token != position or entry.token_count <= 0:
            return f"range {entry} does not follow on token {position}"
        position += entry.token_count
    if position != token_count:
        return f"ranges cover {position} of {token_count} tokens"
    return None


def fault_in_origin(
    versions: Sequence[VersionRange], attempts: Iterable[EngineAttempt]
) -> str | None:
    """Say which token no engine produced with the version named for it; None when all are.

    The attempts are those whose tokens are the answer's.
    """
    produced: dict[int, set[int]] = {}
    for attempt in attempts:
        for run in attempt.runs:
            for position in range(run.first_token, run.end_token):
                produced.setdefault(position, set()).add(run.weight_version)
    for entry in versions:
        for position in range(entry.first_token, entry.first_token + entry.token_count):
            by = produced.get(position, set())
            if entry.weight_version not in by:
                return (
                    f"token {position} is said to come from version {entry.weight_version}, "
                    f"engines produced it with {sorted(by) or 'none'}"
                )
    return None
