"""Promise: each sample names the weight versions that actually produced it."""

from bellweir_rehearsal.promises.evidence import Evidence
from bellweir_rehearsal.promises.token_coverage import fault_in_origin, fault_in_ranges
from bellweir_rehearsal.promises.verdict import Promise, Verdict


def check_versions_named(evidence: Evidence) -> Verdict:
    """Hold each sample's version ranges against the engines' logs, token by token."""
    verdict = Verdict(Promise.VERSIONS_NAMED, required=("samples", "tokens"))
    seen: set[str] = set()
    for sample in evidence.samples:
        if sample.sample_id in seen:
            continue
        seen.add(sample.sample_id)
        verdict.count("samples")
        verdict.count("tokens", len(sample.tokens))
        if len(sample.versions) > 1:
            verdict.count("samples of several versions")
        attempts = evidence.attempts_for(sample.prompt, sample.tokens)
        fault = fault_in_ranges(sample.versions, len(sample.tokens))
        fault = fault or fault_in_origin(sample.versions, attempts)
        if fault is not None:
            verdict.breach(sample.sample_id, fault)
    return verdict
