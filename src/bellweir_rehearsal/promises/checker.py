"""Checks all promises."""

from bellweir_rehearsal.promises.at_most_once import check_at_most_once
from bellweir_rehearsal.promises.configuration import check_configuration
from bellweir_rehearsal.promises.evidence import Evidence
from bellweir_rehearsal.promises.exactly_once import check_exactly_once
from bellweir_rehearsal.promises.leaving import check_leaving
from bellweir_rehearsal.promises.planned_stops import check_planned_stops
from bellweir_rehearsal.promises.staleness import check_staleness
from bellweir_rehearsal.promises.true_refusals import check_true_refusals
from bellweir_rehearsal.promises.verdict import Check, Promise, Verdict
from bellweir_rehearsal.promises.versions_named import check_versions_named
from bellweir_rehearsal.promises.whole_answers import check_whole_answers

CHECKS: dict[Promise, Check] = {
    Promise.VERSIONS_NAMED: check_versions_named,
    Promise.STALENESS_BOUND: check_staleness,
    Promise.EXACTLY_ONCE: check_exactly_once,
    Promise.WHOLE_ANSWERS: check_whole_answers,
    Promise.TRUE_REFUSALS: check_true_refusals,
    Promise.AT_MOST_ONCE: check_at_most_once,
    Promise.LEAVING_BACKENDS: check_leaving,
    Promise.PLANNED_STOPS: check_planned_stops,
    Promise.CONFIGURATION: check_configuration,
}


def check_promises(evidence: Evidence) -> tuple[Verdict, ...]:
    """Check all nine, in the order of the users' list."""
    return tuple(check(evidence) for check in CHECKS.values())
