"""Plays every day of this folder and of `deploy/days` on the users' bench; one line for each.

    python experiments/days/play.py FLEETBENCH SITE.toml [--jobs 4] [--only TEXT] [--out FOLDER]

FLEETBENCH is the bench's program, which is not part of this repository. A line gives the day, the
broken rules or faults, the worth and the share served; the whole report is kept in the folder.
The bench's own journal entries are written as by any other run.
"""

import argparse
import re
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parent.parent.parent
FOLDERS = (REPOSITORY / "deploy" / "days", REPOSITORY / "experiments" / "days")
"""Days that the bench's hunt also plays, and the rest."""
FIGURES = re.compile(r"^\S+\s+\S+/\S+\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s+(.*)$")


def play(bench: str, site: str, day: Path, out: Path) -> str:
    """Play one day; its line."""
    report = out / f"{day.stem}.txt"
    command = [bench, "run", site, str(day), "--why", f"own day {day.stem}"]
    with report.open("w", encoding="utf-8") as file:
        subprocess.run(command, cwd=REPOSITORY, stdout=file, stderr=file, check=False)
    text = report.read_text(encoding="utf-8", errors="replace")
    for line in text.splitlines():
        found = FIGURES.match(line)
        if found and line.startswith(day.stem[:8]):
            broken = "BROKEN" in line or "FAULT" in line
            return f"{'BROKEN' if broken else 'kept  '} {line.strip()}"
    return f"NOT PLAYED {day.stem}: {text.strip().splitlines()[-1:]}"


def main() -> None:
    """Play the days."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="")
    parser.add_argument("--out", type=Path, default=Path("/tmp/bellweir-days"))
    given = parser.parse_args()
    given.out.mkdir(parents=True, exist_ok=True)
    found = (day for folder in FOLDERS for day in folder.glob("*.toml"))
    days = sorted((day for day in found if given.only in day.name), key=lambda day: day.name)
    with ThreadPoolExecutor(given.jobs) as pool:
        lines = pool.map(lambda day: play(given.bench, given.site, day, given.out), days)
        for line in lines:
            print(line, flush=True)


if __name__ == "__main__":
    main()
