"""Trainer idle time and staleness of the whole system: real nodes and the kit's stand-ins.

Three nodes, four engines, two trainers; a new version every 2 minutes of model time; engines are
killed and started again. All promises are checked at the end. Run with
`python -m bench.samples_tail_live --help`.
"""

import argparse
import json
import random
import statistics
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from bellweir_rehearsal.load.mix import Load, TrainerLoad
from bellweir_rehearsal.plan import RunPlan
from bellweir_rehearsal.rehearsal import Rehearsal
from bellweir_rehearsal.topology.deployment import Deployment, EnginePool, Policy, Zone
from bellweir_rehearsal.topology.layout import RunFolder
from bellweir_rehearsal.topology.processes import ManagedProcess
from bellweir_rehearsal.topology.standins import ControlError, StandinProcess
from bench.samples_tail import percentile
from bench.tail_model.workload import Workload

POOL = "drafting"
POLICY = "drafts"
SAMPLE_PERIOD_S = 0.25


class TailEngineProcess(StandinProcess):
    """An engine of `tail_live_engine`."""

    median_tokens = 500

    def start(self) -> None:
        """Start the process."""
        if self.running:
            return
        port = self.address.rpartition(":")[2] or "0"
        ready_file = self._folder.ready / f"{self.name}.json"
        arguments = [sys.executable, "-m", "bench.tail_live_engine", "--name", self.name]
        arguments += ["--port", port, "--ready-file", str(ready_file)]
        arguments += ["--log-file", str(self.log_file), *self.command.arguments]
        arguments += ["--median-tokens", str(self.median_tokens)]
        output = self._folder.outputs / f"{self.name}.txt"
        self._process = ManagedProcess(self.name, arguments, ready_file, output)
        self._process.start()


def deployment(workload: Workload, scale: float, bound_versions: int) -> Deployment:
    """Three zones, one node in each."""
    zones = tuple(Zone(name=f"zone-{letter}") for letter in "abc")
    places = tuple(zones[number % 3].name for number in range(workload.engines))
    return Deployment(
        name="samples-tail",
        staleness_bound_versions=bound_versions,
        time_scale=scale,
        zones=zones,
        policies=(Policy(name=POLICY, model=POLICY),),
        engine_pools=(
            EnginePool(
                name=POOL,
                policies=(POLICY,),
                workers=places,
                maximum_batch=workload.maximum_batch,
            ),
        ),
    )


def load(workload: Workload, scale: float) -> Load:
    """Trainers only."""
    trainers = TrainerLoad(
        policy=POLICY,
        trainers=workload.trainers,
        prompts_for_each_step=workload.prompts,
        samples_per_prompt=workload.samples_per_prompt,
        max_tokens=workload.longest_tokens,
        train_s=workload.train_s / scale,
        step_timeout_s=900 / scale,
        publishes=False,
    )
    return Load(traffic=(), trainers=(trainers,))


def publish_regularly(
    rehearsal: Rehearsal, every_s: float, stop: threading.Event, published: list[float]
) -> None:
    """Publish a version in regular intervals."""
    next_s = time.monotonic() + every_s
    while not stop.wait(max(0.0, next_s - time.monotonic())):
        rehearsal._participants._publish(POLICY)
        published.append(time.time())
        next_s += every_s


def watch_engines(rehearsal: Rehearsal, stop: threading.Event) -> list[tuple[int, int]]:
    """Running and waiting attempts of all engines together, sampled all the time."""
    samples: list[tuple[int, int]] = []
    while not stop.wait(SAMPLE_PERIOD_S):
        running = waiting = 0
        for engine in rehearsal.cluster.engines[POOL]:
            try:
                state = json.loads(engine.control("GET", "/state"))
            except ControlError:
                continue
            running += state["running"]
            waiting += state["waiting"]
        samples.append((running, waiting))
    return samples


def crash_engines(
    rehearsal: Rehearsal, workload: Workload, scale: float, stop: threading.Event, seed: int
) -> int:
    """Kill engines now and then, and start them again."""
    chance = random.Random(seed)
    engines = rehearsal.cluster.engines[POOL]
    crashes = 0
    while not stop.wait(chance.expovariate(scale / workload.crash_every_s)):
        engine = chance.choice(engines)
        engine.kill()
        crashes += 1
        stop.wait(workload.down_s / scale)
        engine.start()
        engine.wait_ready()
    return crashes


def main() -> None:
    """Run once and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scale", type=float, default=5.0, help="model seconds in a second")
    parser.add_argument("--duration-s", type=float, default=600.0, help="in model time")
    parser.add_argument("--bound", type=int, default=1, help="staleness bound in versions")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", type=Path)
    chosen = parser.parse_args()
    workload = Workload(seed=chosen.seed, duration_s=chosen.duration_s)
    plan = RunPlan(
        deployment=deployment(workload, chosen.scale, chosen.bound),
        load=load(workload, chosen.scale),
        duration_s=chosen.duration_s / chosen.scale,
        seed=chosen.seed,
    )
    folder = chosen.folder or Path(tempfile.mkdtemp(prefix="samples-tail-"))
    with Rehearsal(plan, RunFolder(folder)) as rehearsal:
        run_plan(rehearsal, workload, chosen.scale, chosen.seed, folder)


def run_plan(
    rehearsal: Rehearsal, workload: Workload, scale: float, seed: int, folder: Path
) -> None:
    """Run with publications and crashes, check the promises and write the figures."""
    cluster = rehearsal.cluster
    cluster.engines[POOL] = [
        TailEngineProcess(engine.command, engine._folder, engine._client)
        for engine in cluster.engines[POOL]
    ]
    rehearsal.start()
    stop = threading.Event()
    published: list[float] = []
    with ThreadPoolExecutor(3) as pool:
        every_s = workload.publish_every_s / scale
        publishing = pool.submit(publish_regularly, rehearsal, every_s, stop, published)
        crashing = pool.submit(crash_engines, rehearsal, workload, scale, stop, seed)
        watching = pool.submit(watch_engines, rehearsal, stop)
        try:
            rehearsal.run()
        finally:
            stop.set()
        publishing.result()
        crashes = crashing.result()
        loads = watching.result()
    result = rehearsal.finish()
    training = result.trainers
    figures = {
        "folder": str(folder),
        "scale": scale,
        "model_s": workload.duration_s,
        "steps_complete": training.steps_complete,
        "steps_abandoned": training.steps_abandoned,
        "samples": training.samples,
        "idle_share": round(training.idle_share, 4),
        "publications": len(published),
        "crashes": crashes,
        "mean_running": round(statistics.fmean(running for running, _ in loads), 1),
        "mean_waiting": round(statistics.fmean(waiting for _, waiting in loads), 1),
        "places": workload.engines * workload.maximum_batch,
        "versions_p50": percentile(training.staleness_versions, 0.5),
        "versions_p99": percentile(training.staleness_versions, 0.99),
        "versions_worst": max(training.staleness_versions, default=0),
        "promises": {found.promise: found.ruling.value for found in result.promises},
    }
    (folder / "loads.json").write_text(json.dumps(loads), encoding="utf-8")
    print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
