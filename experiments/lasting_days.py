"""Draws days that strike what must last, one fault right after another, and plays them.

    python experiments/lasting_days.py FLEETBENCH SITE.toml --seeds 1-60 [--jobs 3] [--out FOLDER]
    python experiments/lasting_days.py --show 7 SITE.toml

A day is two to four losses, retirements and changes of the store machines or stops of all core
machines, each as soon after the one before as the site's catch-up time allows, and a closing fault
that loses a disk, or the power or the processes of all. Three manners: a chain that ends one
catch-up time before the closing, faults in the last seconds, and one zone's machine struck twice in
a row. The same seed and site give the same day. A line is printed for each day played; the day, its
report and the store machines' lines are kept in the folder. The worth is noted, only broken rules
count.
"""

import argparse
import random
import re
import subprocess
import tomllib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias

REPOSITORY = Path(__file__).parent.parent
MANNERS = ("chain", "chain", "late", "twice")
PLANNED = ("retire", "add_nodes", "roll_term", "hup")
ZONED = ("after_ack_wipe", "node_kill", "node_freeze", "core_cut", "node_slow")
"""Kinds that strike one machine of the zone they name."""
LIMIT_S = 400.0
"""A day not over by then is ended and counts as without a result."""

Value: TypeAlias = str | int | float
Entry: TypeAlias = dict[str, Value]
Draw: TypeAlias = Callable[[random.Random], Entry]


@dataclass(frozen=True, slots=True)
class Site:
    """What a day needs to know of its site; times in seconds."""

    length_s: float
    catch_up_s: float
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Day:
    """One drawn day; `entries` are in the order of their times."""

    seed: int
    manner: str
    entries: tuple[Entry, ...]
    closing: Entry

    def to_toml(self) -> str:
        """The day as the bench reads it."""
        name = f"lasting-{self.seed}"
        plan = [entry for entry in self.entries if entry["kind"] in PLANNED]
        faults = [entry for entry in self.entries if entry["kind"] not in PLANNED]
        lines = [
            "[[day]]",
            f'name = "{name}"',
            'slot = "trouble"',
            f"seed = {self.seed}",
            "groups_x = 0.9",
            f"closing = {_table(self.closing)}",
            "plan = [",
            *(f"  {_table(entry)}," for entry in plan),
            "]",
            "faults = [",
            *(f"  {_table(entry)}," for entry in faults),
            "]",
        ]
        return "\n".join(lines) + "\n"


def _table(entry: Entry) -> str:
    fields = ", ".join(
        f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}"
        for key, value in entry.items()
    )
    return f"{{ {fields} }}"


def _seconds(chance: random.Random, least: float, most: float) -> float:
    return round(chance.uniform(least, most), 2)


LOSSES: tuple[Draw, ...] = (
    lambda c: {"kind": "retire", "for_s": _seconds(c, 8.2, 9.2), "how": c.choice(["", "wipe"])},
    lambda c: {"kind": "retire", "for_s": _seconds(c, 8.2, 9.2), "how": "wipe"},
    lambda c: {
        "kind": "after_ack_wipe",
        "on": "store",
        "count": 1,
        "for_s": _seconds(c, 0.5, 3.0),
        "how": c.choice(["", "oldest", "timed", "taken"]),
    },
    lambda c: {
        "kind": "replace_core",
        "on": "store",
        "x": _seconds(c, 0.5, 3.0),
        "how": c.choice(["", "oldest", "planned"]),
    },
    lambda _: {"kind": "add_nodes", "on": "store", "count": 1},
    lambda c: {
        "kind": "node_kill",
        "on": c.choice(["core", "store"]),
        "count": 1,
        "for_s": _seconds(c, 2.0, 4.0),
        "how": c.choice(["power", "leader power", "renewed power"]),
    },
    lambda c: {
        "kind": "core_cut",
        "on": "store",
        "count": 1,
        "for_s": _seconds(c, 3.0, 6.0),
        "how": c.choice(["behind", "split", "one_way", "relieve", "leader one_way"]),
    },
    lambda c: {
        "kind": "herd_kill",
        "on": "core",
        "for_s": _seconds(c, 0.5, 2.5),
        "how": c.choice(["off", "taken all"]),
    },
)
"""What takes a disk, a voter or the power."""
OTHERS: tuple[Draw, ...] = (
    lambda _: {"kind": "node_freeze", "on": "store", "count": 1, "for_s": 3.2},
    lambda c: {
        "kind": "clock_step",
        "share": 0.3,
        "x": 2400.0,
        "for_s": _seconds(c, 3.0, 6.0),
        "how": "leader",
    },
    lambda c: {
        "kind": "node_slow",
        "on": "store",
        "count": 1,
        "x": 5.0,
        "for_s": _seconds(c, 3.0, 6.0),
    },
    lambda c: {
        "kind": "roll_term",
        "on": c.choice(["store", "core"]),
        "share": 1.0,
        "x": 1,
        "gap_s": _seconds(c, 0.8, 2.0),
    },
    lambda c: {
        "kind": "platform_down",
        "for_s": _seconds(c, 4.0, 6.0),
        "how": c.choice(["silent", "nodes", "nodes"]),
    },
    lambda c: {"kind": "platform_slow", "x": 60.0, "for_s": _seconds(c, 4.0, 6.0)},
    lambda _: {"kind": "hup", "share": 1.0, "gap_s": 0.5},
)
"""What delays the mending of a loss."""
CLOSINGS: tuple[tuple[str, str], ...] = (
    ("wipe_after_ack", "all timed"),
    ("wipe_after_ack", "all oldest"),
    ("wipe_after_ack", "all taken"),
    ("wipe_after_ack", "timed"),
    ("power_off_all", "all taken"),
    ("power_off_all", ""),
    ("kill_all", ""),
)


def read_site(path: Path) -> Site:
    """The site of a file of the bench."""
    found = tomllib.loads(path.read_text(encoding="utf-8"))
    stores = [group for group in found["machines"] if group["class"] == "store"]
    return Site(
        length_s=float(found["length_s"]),
        catch_up_s=float(found.get("timing", {}).get("catch_up_s", 4.5)),
        zones=tuple(sorted({group["zone"] for group in stores if "zone" in group})),
    )


def _lasts_s(entry: Entry) -> float:
    """How long an entry takes, as far as it says so."""
    if entry["kind"] == "replace_core":
        return float(entry["x"])
    return float(entry.get("for_s", 1.0))


def _drawn(chance: random.Random, manner: str, zones: tuple[str, ...]) -> list[Entry]:
    count = chance.randint(2, 4)
    if manner != "twice":
        losses = chance.sample(LOSSES, (count + 1) // 2)
        others = chance.sample(LOSSES + OTHERS, count - len(losses))
        draws = losses + others
        chance.shuffle(draws)
        return [draw(chance) for draw in draws]
    entries: list[Entry] = []
    while len([entry for entry in entries if "zone" in entry]) < 2:
        entry = chance.choice(LOSSES + OTHERS)(chance)
        if entry["kind"] in ZONED and "oldest" not in str(entry.get("how", "")):
            entry["zone"] = zones[0]
            entries.append(entry)
        elif len(entries) < count - 2:
            entries.append(entry)
    return entries


def draw_day(seed: int, site: Site) -> Day:
    """The day of a seed."""
    chance = random.Random(seed)
    manner = chance.choice(MANNERS)
    zones = tuple(chance.sample(site.zones, len(site.zones)))
    entries = _drawn(chance, manner, zones)
    kind, how = chance.choices(CLOSINGS, weights=(3, 3, 3, 2, 2, 1, 1))[0]
    closing: Entry = {"kind": kind, "down_s": _seconds(chance, 0.5, 2.0)}
    if how:
        closing["how"] = how
    rest_s = _seconds(chance, 0.3, 5.0) if manner == "late" else site.catch_up_s
    at_s = site.length_s - rest_s - _seconds(chance, 0.0, 0.4)
    for entry in reversed(entries):
        at_s -= _lasts_s(entry)
        entry["at"] = round(max(at_s, 0.5), 2)
        at_s -= site.catch_up_s + _seconds(chance, 0.0, 0.4)
    ordered = sorted(entries, key=lambda entry: float(entry["at"]))
    return Day(seed, manner, tuple(ordered), closing)


def play(bench: str, site_path: Path, day: Day, out: Path) -> str:
    """Play one day; its line."""
    file = out / f"{site_path.stem}-{day.seed}.toml"
    file.write_text(day.to_toml(), encoding="utf-8")
    log = file.with_suffix(".log")
    command = [bench, "run", str(site_path), str(file), "--seed", str(day.seed), "--log", "store"]
    command += ["--report", str(file.with_suffix(".report"))]
    command += ["--why", f"drawn day lasting-{day.seed}: faults of what must last in a row"]
    with log.open("w", encoding="utf-8") as stream:
        try:
            subprocess.run(
                command, cwd=REPOSITORY, stdout=stream, stderr=stream, check=False, timeout=LIMIT_S
            )
        except subprocess.TimeoutExpired:
            return f"NO RESULT {file.stem}: not over after {LIMIT_S:.0f} s"
    kinds = " ".join(str(entry["kind"]) for entry in day.entries)
    what = f"{file.stem} {day.manner}: {kinds}, {day.closing['kind']} {day.closing.get('how', '')}"
    text = log.read_text(encoding="utf-8", errors="replace")
    # The line of figures begins with the day's name; the processes' lines begin with a time.
    figures = [line for line in text.splitlines() if re.match(r"lasting-\S* +\S+/", line)]
    if not figures:
        return f"NO RESULT {what}: {text.strip().splitlines()[-1:]}"
    state = "BROKEN" if re.search(r"BROKEN|FAULT", figures[-1]) else "kept"
    return f"{state} {what} | {figures[-1].strip()}"


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> None:
    """Draw days, and show one or play all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", nargs="?")
    parser.add_argument("site", type=Path)
    parser.add_argument("--seeds", type=_seeds, default=_seeds("1-60"))
    parser.add_argument("--show", type=int)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--out", type=Path, default=Path("/tmp/bellweir-lasting-days"))
    given = parser.parse_args()
    site = read_site(given.site)
    if given.show is not None:
        print(draw_day(given.show, site).to_toml())
        return
    given.out.mkdir(parents=True, exist_ok=True)
    days = [draw_day(seed, site) for seed in given.seeds]
    with ThreadPoolExecutor(given.jobs) as pool:
        for line in pool.map(lambda day: play(given.bench, given.site, day, given.out), days):
            print(line, flush=True)


if __name__ == "__main__":
    main()
