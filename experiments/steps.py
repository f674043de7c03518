"""Prints, for each training step in logs, when it was done and what held it up.

    PYTHONPATH=src python experiments/steps.py LOG... [--slots 12]

LOG is what processes wrote (other text on a line or between lines is passed over). A row gives the
step's acceptance, the first starts and listings of half, nine tenths and all of its items, its last
needed group, its end, and beside it the bound: the same texts, begun longest first and all known
beforehand, on as many places at the pace of the fastest worker seen. The sum of ends over the sum
of bounds is the figure to shrink. `--slots` is the number of places of each worker.
"""

import argparse
import heapq
from pathlib import Path

from bellweir.explanation.lines import LogLine, read_lines
from bellweir.explanation.steps import StepTimes, collect_steps, time_at_share

SHARES = (0.5, 0.9, 1.0)
FEWEST_EVENTS = 30
"""Texts at least so long tell the pace of their worker."""


def fastest_pace_s(lines: list[LogLine]) -> float:
    """Seconds for an event, of the fastest undisturbed long run."""
    started: dict[tuple[str, str], LogLine] = {}
    paces: list[float] = []
    for line in lines:
        key = (line.text("job"), line.text("request_id"))
        if line.event == "item_started":
            started[key] = line
        elif line.event in ("item_listed", "item_moved") and key in started:
            first = started.pop(key)
            events = line.number("events") - first.number("after_event")
            if events >= FEWEST_EVENTS:
                paces.append((line.seconds() - first.seconds()) / events)
    return min(paces, default=0.0)


def bound_s(step: StepTimes, places: int, pace_s: float) -> float:
    """Time until the wanted groups are whole if everything is known and nothing fails.

    The groups with the longest texts are left out, as far as the trainer does not want them.
    """
    free = [0.0] * max(1, places)
    lengths = sorted(step.events.values(), reverse=True)
    ends = []
    for length in lengths:
        begun_s = heapq.heappop(free)
        ends.append(begun_s + length * pace_s)
        heapq.heappush(free, ends[-1])
    spare = max(0, len(step.groups) - (step.wanted or len(step.groups)))
    ends.sort()
    return ends[-1 - spare] if len(ends) > spare else 0.0


def row(step: StepTimes, bound: float) -> str:
    """One step as a line."""

    def told(times: list[float]) -> str:
        found = (time_at_share(times, share, step.items) for share in SHARES)
        return " ".join("   --" if each is None else f"{each:5.1f}" for each in found)

    last = step.last_needed()
    last_s = "   --" if last is None or last.listed_s is None else f"{last.listed_s:5.1f}"
    end = "   --" if step.ended_s is None else f"{step.ended_s:5.1f}"
    why = last.cause if last is not None else "nothing ran"
    times = f"{told(step.started_s)} | {told(step.listed_s)} | {last_s} {end} {bound:5.1f}"
    return f"{step.step:>4} {step.items:>4} | {times} | {why}"


def main() -> None:
    """Read the logs and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+", type=Path)
    parser.add_argument("--slots", type=int, default=12)
    arguments = parser.parse_args()
    files = [path.open(encoding="utf-8", errors="replace") for path in arguments.logs]
    lines = read_lines(files)
    starts = [line for line in lines if line.event == "item_started"]
    workers = {line.text("instance") for line in starts}
    pace_s = fastest_pace_s(lines)
    print(f"{len(workers)} workers seen, fastest {1000 * pace_s:.0f} ms an event")
    print("step items | first starts 50/90/100% | listed 50/90/100% | last end bound | last group")
    ends = bounds = 0.0
    for step in collect_steps(lines):
        bound = bound_s(step, arguments.slots * len(workers), pace_s)
        print(row(step, bound))
        if step.ended_s is not None:
            ends += step.ended_s
            bounds += bound
    if bounds:
        print(f"ends {ends:.1f} s, bounds {bounds:.1f} s, ratio {ends / bounds:.2f}")


if __name__ == "__main__":
    main()
