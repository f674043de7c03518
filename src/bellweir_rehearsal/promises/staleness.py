"""Promise: no sample is older than the agreed staleness bound."""

from collections import defaultdict

from bellweir_rehearsal.promises.evidence import Evidence
from bellweir_rehearsal.promises.verdict import Promise, Verdict
from bellweir_rehearsal.records.model import StepDeclared, WriteAccepted

PUBLICATION_GRACE_S = 2.0
"""A version counts as published this long after its write was accepted: by then the
configuration is in force everywhere."""


def check_staleness(evidence: Evidence) -> Verdict:
    """Hold the oldest version of each sample against the newest published when it was pulled.

    The pull's sending time counts, not the answer's arrival: a hand-over between the two is not
    seen from outside. What was stale by its arrival only is counted but is no breach.
    """
    verdict = Verdict(Promise.STALENESS_BOUND, required=("samples", "published versions"))
    published = _publications(evidence)
    verdict.count("published versions", sum(len(entries) for entries in published.values()))
    for sample in evidence.samples:
        step = evidence.steps_declared.get(sample.step_id)
        if step is None or not sample.versions:
            continue
        verdict.count("samples")
        oldest = min(entry.weight_version for entry in sample.versions)
        if step.minimum_version is not None and oldest < step.minimum_version:
            verdict.breach(
                sample.sample_id,
                f"version {oldest} is older than the step's minimum {step.minimum_version}",
            )
        publications = published.get(step.policy, [])
        fault = _fault(step, oldest, publications, sample.pulled_s)
        if fault is not None:
            verdict.breach(sample.sample_id, fault)
        elif _fault(step, oldest, publications, sample.time_s) is not None:
            verdict.count("samples that aged out on their way")
        elif _fault(step, oldest, publications, sample.pulled_s, grace_s=0.0) is not None:
            verdict.count("samples pulled while a newer version was spreading")
    return verdict


def _publications(evidence: Evidence) -> dict[str, list[WriteAccepted]]:
    found: dict[str, list[WriteAccepted]] = defaultdict(list)
    for write in evidence.writes:
        if write.published_policy is not None:
            found[write.published_policy].append(write)
    return found


def _fault(
    step: StepDeclared,
    oldest: int,
    publications: list[WriteAccepted],
    at_s: float,
    grace_s: float = PUBLICATION_GRACE_S,
) -> str | None:
    known = [entry for entry in publications if entry.time_s + grace_s <= at_s]
    newer = [entry for entry in known if (entry.published_version or 0) > oldest]
    bound = step.staleness_bound_versions
    newest = max((entry.published_version or 0 for entry in newer), default=oldest)
    if bound is not None and newest - oldest > bound:
        return f"version {oldest} at {newest} published: {newest - oldest} behind, bound {bound}"
    if step.staleness_bound_s is not None and newer:
        age_s = at_s - min(entry.time_s for entry in newer) - grace_s
        if age_s > step.staleness_bound_s:
            return f"version {oldest} stale for {age_s:.1f} s, bound {step.staleness_bound_s:g} s"
    return None
