"""How long accepted configurations took until they were in force everywhere."""

from bellweir_rehearsal.promises.availability import Absence, absences, was_absent
from bellweir_rehearsal.promises.evidence import Evidence
from bellweir_rehearsal.records.model import ConfigurationSeen, WriteAccepted

LONGEST_WATCH_S = 30.0


def spread_times(evidence: Evidence) -> tuple[float, ...]:
    """Seconds from each acceptance to when the last node was seen with it, in order of writes."""
    absent = absences(evidence)
    found = (_spread_s(write, evidence, absent) for write in evidence.writes)
    return tuple(spread_s for spread_s in found if spread_s is not None)


def _spread_s(
    write: WriteAccepted, evidence: Evidence, absent: dict[str, list[Absence]]
) -> float | None:
    last_s = write.time_s
    for node, observations in evidence.configurations.items():
        known = observations[0].time_s < write.time_s < observations[-1].time_s
        if not known:
            # A machine that came later or had gone by then; it says nothing of this write.
            continue
        if was_absent(absent, node, write.time_s, write.time_s + 1.0, grace_s=2.0):
            return None
        seen_s = _first_seen_s(write, observations)
        if seen_s is None:
            return None
        last_s = max(last_s, seen_s)
    return last_s - write.time_s


def _first_seen_s(write: WriteAccepted, observations: list[ConfigurationSeen]) -> float | None:
    for seen in observations:
        if seen.time_s >= write.time_s and seen.revision >= write.revision:
            return seen.time_s if seen.time_s < write.time_s + LONGEST_WATCH_S else None
    return None
