"""Writes the whole story of each breach beside a run's logs."""

from pathlib import Path

from bellweir_rehearsal.promises.story import StoryTeller
from bellweir_rehearsal.result import RunResult
from bellweir_rehearsal.topology.layout import RunFolder

STORIES_FOR_EACH_PROMISE = 5


def write_breaches(result: RunResult, folder: RunFolder) -> Path | None:
    """Write `breaches.txt`; None when every promise held."""
    if not result.broken:
        return None
    path = folder.root / "breaches.txt"
    teller = StoryTeller(folder)
    lines: list[str] = []
    for promise in result.broken:
        lines.append(f"## {promise.text}: {len(promise.breaches)} breaches")
        told: set[str] = set()
        for breach in promise.breaches[:STORIES_FOR_EACH_PROMISE]:
            lines.append(f"### {breach.subject}: {breach.detail}")
            if breach.subject not in told:
                told.add(breach.subject)
                lines += [
                    f"{line.time_s:.3f} {line.source}: {line.text}"
                    for line in teller.tell(breach.subject)
                ]
        lines.append("")
    path.write_text("\n".join(lines) + "\n")
    return path
