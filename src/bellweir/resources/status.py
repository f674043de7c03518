"""Merging of status reports: conditions by type, everything else as a merge patch."""

from collections.abc import Mapping, Sequence
from typing import Any

from bellweir.resources.documents import merge_patch


def merged_status(
    current: Mapping[str, Any], report: Mapping[str, Any], now_s: float
) -> dict[str, Any]:
    """The status after a report at `now_s`, seconds since 1970 UTC.

    Reporters write conditions of different types, so a report's conditions replace those of
    their own type only. A condition keeps its `lastTransition` while its `status` stays.
    """
    rest = {key: value for key, value in report.items() if key != "conditions"}
    merged: dict[str, Any] = merge_patch(current, rest)
    conditions = _merged_conditions(
        current.get("conditions", ()), report.get("conditions", ()), now_s
    )
    if conditions:
        merged["conditions"] = conditions
    return merged


def _merged_conditions(
    current: Sequence[Mapping[str, Any]], reported: Sequence[Mapping[str, Any]], now_s: float
) -> list[dict[str, Any]]:
    by_type = {str(condition["type"]): dict(condition) for condition in current}
    for condition in reported:
        before = by_type.get(str(condition["type"]))
        by_type[str(condition["type"])] = _transitioned(before, condition, now_s)
    return [by_type[kind] for kind in sorted(by_type)]


def _transitioned(
    before: Mapping[str, Any] | None, reported: Mapping[str, Any], now_s: float
) -> dict[str, Any]:
    same = before is not None and before.get("status") == reported.get("status")
    last_transition = before.get("lastTransition", now_s) if before and same else now_s
    return {**reported, "lastTransition": last_transition}
