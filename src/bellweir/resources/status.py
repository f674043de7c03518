"""Merging of status reports: conditions by type, everything else as a merge patch."""

from collections.abc import Mapping, Sequence
from typing import Any

from bellweir.resources.documents import merge_patch


def merged_status(current: Mapping[str, Any], report: Mapping[str, Any]) -> dict[str, Any]:
    """The status after a report.

    Reporters write conditions of different types, so a report's conditions replace those of
    their own type only. A condition keeps its `lastTransition` while its `status` stays.
    """
    rest = {key: value for key, value in report.items() if key != "conditions"}
    merged: dict[str, Any] = merge_patch(current, rest)
    conditions = _merged_conditions(current.get("conditions", ()), report.get("conditions", ()))
    if conditions:
        merged["conditions"] = conditions
    return merged


def _merged_conditions(
    current: Sequence[Mapping[str, Any]], reported: Sequence[Mapping[str, Any]]
) -> list[dict[str, Any]]:
    by_type = {str(condition["type"]): dict(condition) for condition in current}
    for condition in reported:
        before = by_type.get(str(condition["type"]))
        by_type[str(condition["type"])] = _transitioned(before, condition)
    return [by_type[kind] for kind in sorted(by_type)]


def _transitioned(before: Mapping[str, Any] | None, reported: Mapping[str, Any]) -> dict[str, Any]:
    after = dict(reported)
    if before is not None and before.get("status") == reported.get("status"):
        after["lastTransition"] = before.get("lastTransition", 0.0)
    return after
