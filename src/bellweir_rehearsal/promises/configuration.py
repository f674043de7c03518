"""Promise: an accepted configuration is in force everywhere within seconds and never reverts."""

from bellweir_rehearsal.promises.availability import Absence, absences, was_absent
from bellweir_rehearsal.promises.evidence import Evidence
from bellweir_rehearsal.promises.verdict import Promise, Verdict
from bellweir_rehearsal.records.model import ConfigurationSeen

SPREAD_S = 5.0
"""An accepted configuration must be in force this long after its acceptance, or after the node
came back if it was down or paused."""


def check_configuration(evidence: Evidence) -> Verdict:
    """Hold what nodes had in force against the accepted writes and against what they had before."""
    verdict = Verdict(Promise.CONFIGURATION, required=("accepted writes", "observations", "nodes"))
    verdict.count("accepted writes", len(evidence.writes))
    verdict.count("nodes", len(evidence.configurations))
    _check_writes_kept(evidence, verdict)
    absent = absences(evidence)
    for observations in evidence.configurations.values():
        verdict.count("observations", len(observations))
        _check_never_back(observations, verdict)
        _check_in_force(observations, evidence, absent, verdict)
    return verdict


def _check_writes_kept(evidence: Evidence, verdict: Verdict) -> None:
    """Each accepted write must stand in the store's log, under its own revision."""
    if not evidence.store_writes:
        return
    stored = {write.revision: write for write in evidence.store_writes}
    for write in evidence.writes:
        found = stored.get(write.revision)
        if found is None or (found.kind, found.name) != (write.kind, write.name):
            verdict.breach(
                f"{write.kind}/{write.name}",
                f"accepted by {write.node} as revision {write.revision}, which the store gave to "
                f"{f'{found.kind}/{found.name}' if found else 'nothing'}",
            )


def _check_never_back(observations: list[ConfigurationSeen], verdict: Verdict) -> None:
    newest = 0
    newest_objects: dict[str, int] = {}
    for seen in observations:
        if seen.revision < newest:
            verdict.breach(seen.node, f"went back from revision {newest} to {seen.revision}")
        newest = max(newest, seen.revision)
        for name, version in seen.objects.items():
            known = newest_objects.get(name, 0)
            if version < known:
                verdict.breach(seen.node, f"{name} went back from version {known} to {version}")
            newest_objects[name] = max(known, version)


def _check_in_force(
    observations: list[ConfigurationSeen],
    evidence: Evidence,
    absent: dict[str, list[Absence]],
    verdict: Verdict,
) -> None:
    writes = sorted(evidence.writes, key=lambda write: write.time_s)
    required = 0
    reported = 0
    index = 0
    for seen in observations:
        while index < len(writes) and writes[index].time_s + SPREAD_S <= seen.asked_s:
            required = max(required, writes[index].revision)
            index += 1
        if seen.revision >= required or required == reported:
            continue
        if was_absent(absent, seen.node, seen.asked_s, seen.time_s, grace_s=SPREAD_S):
            verdict.count("observations of nodes just back")
            continue
        reported = required
        verdict.breach(
            seen.node,
            f"revision {seen.revision} in force, {required} was accepted more than "
            f"{SPREAD_S:g} s before",
        )
