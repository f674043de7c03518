"""The steps of a scale run."""

import time
from collections.abc import Callable
from typing import TypeVar

import msgspec

from bellweir_rehearsal.scale import commands
from bellweir_rehearsal.scale.cluster import Cluster, NotInTimeError
from bellweir_rehearsal.scale.measures import (
    FalseAlarms,
    NodeCost,
    PauseResult,
    RealCost,
    ScaleResult,
    SplitResult,
    Spread,
    node_cost,
    spread,
)
from bellweir_rehearsal.scale.options import ScaleOptions
from bellweir_rehearsal.scale.sample_configuration import FIRST_REVISION

JOIN_TIMEOUT_S = 120.0
LOAD_TIMEOUT_S = 90.0
CHANGE_TIMEOUT_S = 30.0
NOTICE_TIMEOUT_S = 30.0
MERGE_TIMEOUT_S = 120.0
SETTLE_S = 3.0
LEAVE_TO_END_S = 1.0
LARGEST_LOAD_FROM_PEERS = 96
"""Nodes of a run up to which the first configuration spreads from peer to peer."""
SMALLEST_SHARE = 8
"""At most one node in this many dies, and as many leave."""

Measured = TypeVar("Measured")
Progress = Callable[[str], None]


class ScaleRun:
    """One run; each step that fails is recorded, and later steps still run where they can."""

    def __init__(self, cluster: Cluster, progress: Progress) -> None:
        self._cluster = cluster
        self._options = cluster.options
        self._progress = progress
        self._revision = FIRST_REVISION
        self._failures: list[str] = []
        self._real_costs: tuple[RealCost, ...] = ()

    def run(self) -> ScaleResult:
        """Run all steps."""
        options = self._options
        result = ScaleResult(options.nodes, options.workers, options.processes)
        self._cluster.start()
        joined = self._step("join", lambda: self._cluster.wait_for_all(JOIN_TIMEOUT_S))
        loaded = self._step("load", self._load)
        time.sleep(SETTLE_S)
        steady = self._step("steady", self._measure_steady)
        result = msgspec.structs.replace(result, joined_after_s=joined, loaded_after_s=loaded)
        if steady is not None:
            cost, alarms, in_force = steady
            result = msgspec.structs.replace(
                result,
                cost=cost,
                real=self._real_costs,
                steady=alarms,
                change_in_force=in_force,
            )
        return msgspec.structs.replace(
            result,
            death_noticed=self._step("deaths", self._measure_deaths),
            leave_noticed=self._step("leaves", self._measure_leaves),
            under_loss=self._step("loss", self._measure_loss),
            short_pause=self._step("short pause", lambda: self._pause(options.short_pause_s)),
            long_pause=self._step("long pause", lambda: self._pause(options.long_pause_s)),
            split=self._step("split", self._measure_split),
            zone_lost=self._step("zone lost", self._measure_zone_loss),
            failures=tuple(self._failures),
        )

    def _step(self, name: str, measure: Callable[[], Measured]) -> Measured | None:
        began_s = time.monotonic()
        try:
            measured = measure()
        except NotInTimeError as failure:
            self._failures.append(f"{name}: {failure}")
            self._progress(f"{name}: FAILED: {failure}")
            return None
        self._progress(f"{name}: {time.monotonic() - began_s:.1f} s")
        return measured

    # --- configuration ------------------------------------------------------------------------

    def _load(self) -> float:
        options = self._options
        # One node of each zone reads the store; all others learn from peers. Many nodes that
        # learn at once on the few cores of one process would starve each other, as nodes on
        # machines of their own do not: so in a large run each is given the configuration.
        readers = {spec.zone: spec.name for spec in reversed(self._cluster.specs)}
        from_peers = options.nodes <= LARGEST_LOAD_FROM_PEERS
        loaded = set(readers.values()) if from_peers else self._cluster.live
        for name in sorted(loaded):
            load = commands.Load(
                name, options.workers, options.zones, options.regions, options.real == 0
            )
            self._cluster.home(name).ask(load, commands.Done)
        waited_s = self._cluster.wait_for_revision(FIRST_REVISION, LOAD_TIMEOUT_S)
        self._cluster.ask_all(commands.Settle(), commands.Done)
        return waited_s

    def _change(self) -> commands.Done:
        """Make a change known to one node, as its watch of the store would."""
        self._revision += 1
        node = self._cluster.chance.choice(sorted(self._cluster.live))
        change = commands.Change(node, self._revision)
        return self._cluster.home(node).ask(change, commands.Done)

    def _measure_steady(self) -> tuple[NodeCost, FalseAlarms, Spread | None]:
        cluster, options = self._cluster, self._options
        cluster.take_observations()
        before = cluster.usage()
        for node in cluster.real:
            node.begin_window()
        ends_s = time.monotonic() + options.steady_s
        written: dict[int, float] = {}
        while time.monotonic() < ends_s:
            done = self._change()
            written[self._revision] = done.at_s
            time.sleep(max(0.0, min(options.change_period_s, ends_s - time.monotonic())))
        after = cluster.usage()
        self._real_costs = tuple(node.end_window() for node in cluster.real)
        cluster.wait_for_revision(self._revision, CHANGE_TIMEOUT_S)
        seen = cluster.take_observations()
        # A revision is in force on a node from its first snapshot of that or a newer revision.
        times: dict[tuple[str, int], float] = {}
        for item in seen.revisions:
            for revision in range(item.revision, FIRST_REVISION, -1):
                if revision not in written or (item.observer, revision) in times:
                    break
                times[(item.observer, revision)] = item.at_s - written[revision]
        window_s = after[0].at_s - before[0].at_s
        return node_cost(before, after), self._alarms(seen, set(), window_s), spread(times.values())

    # --- failures of members ------------------------------------------------------------------

    def _measure_deaths(self) -> Spread | None:
        times: list[float] = []
        for _ in range(self._removals(self._options.deaths)):
            times += self._remove(lambda name: commands.Kill(name), "dead")
        return spread(times)

    def _measure_leaves(self) -> Spread | None:
        times: list[float] = []
        for _ in range(self._removals(self._options.leaves)):
            times += self._remove(lambda name: commands.Leave(name), "leaving")
        return spread(times)

    def _removals(self, wanted: int) -> int:
        return max(1, min(wanted, self._options.nodes // SMALLEST_SHARE))

    def _remove(self, command: Callable[[str], commands.Command], state: str) -> list[float]:
        cluster = self._cluster
        candidates = sorted(cluster.live - cluster.paused_nodes())
        chosen = cluster.chance.choice(candidates)
        cluster.take_observations()
        done = cluster.home(chosen).ask(command(chosen), commands.Done)
        if state == "leaving":
            time.sleep(LEAVE_TO_END_S)
            cluster.home(chosen).ask(commands.End(chosen), commands.Done)
        cluster.live.discard(chosen)
        cluster.wait_for_all(NOTICE_TIMEOUT_S)
        first: dict[str, float] = {}
        for seen in cluster.take_observations().states:
            noticed = seen.state in (state, "dead")
            if seen.member == chosen and seen.observer != chosen and noticed:
                first.setdefault(seen.observer, seen.at_s - done.at_s)
        return list(first.values())

    def _measure_loss(self) -> FalseAlarms:
        cluster, options = self._cluster, self._options
        cluster.take_observations()
        cluster.write_faults([{"loss": options.loss}])
        time.sleep(options.loss_s)
        seen = cluster.take_observations()
        cluster.write_faults([])
        cluster.wait_for_all(NOTICE_TIMEOUT_S)
        return self._alarms(seen, set(), options.loss_s)

    def _pause(self, pause_s: float) -> PauseResult:
        cluster = self._cluster
        paused = cluster.paused_nodes() & cluster.live
        cluster.take_observations()
        cluster.paused_process.pause()
        time.sleep(pause_s)
        cluster.paused_process.resume()
        whole_s = cluster.wait_for_all(MERGE_TIMEOUT_S)
        dead = {seen.member for seen in cluster.take_observations().states if seen.state == "dead"}
        return PauseResult(
            pause_s=pause_s,
            paused_declared_dead=len(dead & paused),
            others_declared_dead=len(dead - paused),
            whole_after_s=round(whole_s, 2),
        )

    def _measure_split(self) -> SplitResult:
        cluster = self._cluster
        region = cluster.regions
        lone = cluster.specs[0].region
        others = sorted(set(region.values()) - {lone})
        cluster.write_faults(
            [
                {"source": {"region": lone}, "target": {"region": other}, "cut": True}
                for other in others
            ]
        )
        inside = {name for name in cluster.members if region[name] == lone}
        outside = cluster.members - inside
        began_s = time.monotonic()
        parted_s = cluster.wait_for_members(
            lambda name: inside if name in inside else outside, MERGE_TIMEOUT_S
        )
        time.sleep(max(0.0, self._options.split_s - (time.monotonic() - began_s)))
        cut_s = time.monotonic() - began_s
        cluster.write_faults([])
        merged_s = cluster.wait_for_all(MERGE_TIMEOUT_S)
        return SplitResult(round(cut_s, 1), round(parted_s, 2), round(merged_s, 2))

    def _measure_zone_loss(self) -> Spread | None:
        """End all hollow nodes of a zone at once; times over observers and members lost."""
        cluster = self._cluster
        zone = cluster.specs[-1].zone
        names = {spec.name for spec in cluster.specs if spec.zone == zone}
        lost = sorted((names & cluster.live) - cluster.paused_nodes())
        cluster.take_observations()
        ended = {
            name: cluster.home(name).ask(commands.Kill(name), commands.Done).at_s for name in lost
        }
        cluster.live -= ended.keys()
        cluster.wait_for_all(MERGE_TIMEOUT_S)
        first: dict[tuple[str, str], float] = {}
        for seen in cluster.take_observations().states:
            if seen.member in ended and seen.observer in cluster.live and seen.state == "dead":
                first.setdefault((seen.observer, seen.member), seen.at_s - ended[seen.member])
        return spread(first.values())

    def _alarms(
        self, seen: commands.Observations, excluded: set[str], window_s: float
    ) -> FalseAlarms:
        wrong = [item for item in seen.states if item.member not in excluded]
        suspected = [item.member for item in wrong if item.state == "suspect"]
        dead = [item.member for item in wrong if item.state == "dead"]
        return FalseAlarms(
            window_s=round(window_s, 1),
            members_suspected=len(set(suspected)),
            members_declared_dead=len(set(dead)),
            suspicions=len(suspected),
            deaths=len(dead),
        )


def run_scale(options: ScaleOptions, progress: Progress = print) -> ScaleResult:
    """Run one scale run and return its figures."""
    with Cluster(options) as cluster:
        return ScaleRun(cluster, progress).run()
