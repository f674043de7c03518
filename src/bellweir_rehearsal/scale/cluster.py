"""The processes of a scale run and the commands to them."""

import json
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from types import TracebackType
from typing import TypeVar

import msgspec
import xxhash

from bellweir_rehearsal.scale import commands
from bellweir_rehearsal.scale.options import ScaleOptions
from bellweir_rehearsal.scale.real_nodes import RealNode
from bellweir_rehearsal.scale.sample_configuration import node_specs

CLUSTER_KEY = "the cluster key of a scale run"
PAUSED_NODES = 2
"""Nodes in the process that is paused."""
QUIT_TIMEOUT_S = 15.0
POLL_S = 0.1
SEEDS = 3

Replied = TypeVar("Replied", bound=commands.Reply)


class NotInTimeError(Exception):
    """The cluster did not come to the state that a step waits for."""


class HollowProcessHandle:
    """One child process; one command at a time."""

    def __init__(self) -> None:
        self._child = subprocess.Popen(
            [sys.executable, "-m", "bellweir_rehearsal.scale.hollow_process"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def begin(self, command: commands.Command) -> None:
        """Send a command without waiting for its reply."""
        if self._child.stdin is None:
            raise commands.ProcessFailedError("no pipe")
        self._child.stdin.write(msgspec.json.encode(command) + b"\n")
        self._child.stdin.flush()

    def finish(self, into: type[Replied]) -> Replied:
        """Read the reply of the command begun last."""
        line = self._child.stdout.readline() if self._child.stdout is not None else b""
        if not line:
            raise commands.ProcessFailedError("a hollow process ended")
        reply = msgspec.json.decode(line, type=commands.AnyReply)
        if not isinstance(reply, into):
            raise commands.ProcessFailedError(f"unexpected {type(reply).__name__}")
        return reply

    def ask(self, command: commands.Command, into: type[Replied]) -> Replied:
        """Send a command and read its reply."""
        self.begin(command)
        return self.finish(into)

    def pause(self) -> None:
        """Stop the process where it stands."""
        self._child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        self._child.send_signal(signal.SIGCONT)

    def quit(self) -> None:
        """End the process."""
        try:
            self.resume()
            self.begin(commands.Quit())
            self._child.wait(QUIT_TIMEOUT_S)
        except (OSError, subprocess.TimeoutExpired):
            self._child.kill()
            self._child.wait()


class Cluster:
    """All hollow nodes of a run."""

    def __init__(self, options: ScaleOptions) -> None:
        self.options = options
        self.specs = node_specs(options.nodes, options.zones, options.regions)
        self.live = {spec.name for spec in self.specs}
        self._folder = tempfile.TemporaryDirectory(prefix="bellweir-scale-")
        self._faults = Path(self._folder.name) / "faults.json"
        self._home: dict[str, HollowProcessHandle] = {}
        self.processes: list[HollowProcessHandle] = []
        self.real: list[RealNode] = []
        self.chance = random.Random(options.nodes)

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for node in self.real:
            node.stop()
        for process in self.processes:
            process.quit()
        self._folder.cleanup()

    def start(self) -> None:
        """Start the processes and their nodes; the first nodes are the seeds of all others."""
        key_file = Path(self._folder.name) / "cluster.key"
        key_file.write_text(CLUSTER_KEY)
        groups = self._groups()
        self.processes = [HollowProcessHandle() for _ in groups]
        seeds = self._start_nodes(0, groups[0][:SEEDS], (), key_file)
        groups[0] = groups[0][SEEDS:]
        for number, group in enumerate(groups):
            self._start_nodes(number, group, seeds, key_file)
        self._start_real_nodes(seeds, key_file)

    def _start_real_nodes(self, seeds: tuple[str, ...], key_file: Path) -> None:
        options = self.options
        folder = Path(self._folder.name)
        for spec in node_specs(options.real, options.zones, options.regions, "real"):
            self.real.append(RealNode(spec, folder, seeds, key_file, self._faults))
        for node in self.real:
            node.wait_until_up()

    @property
    def members(self) -> set[str]:
        """Names of all nodes that live, whole ones too."""
        return self.live | {node.spec.name for node in self.real}

    @property
    def regions(self) -> dict[str, str]:
        """The region of each node."""
        specs = [*self.specs, *(node.spec for node in self.real)]
        return {spec.name: spec.region for spec in specs}

    def _start_nodes(
        self, number: int, nodes: list[commands.NodeSpec], seeds: tuple[str, ...], key_file: Path
    ) -> tuple[str, ...]:
        process = self.processes[number]
        start = commands.Start(
            nodes=tuple(nodes),
            seeds=seeds,
            fault_file=str(self._faults),
            key_file=str(key_file),
            log_file=self._log_file(number),
            probe_period_s=self.options.probe_period_s,
        )
        addresses = process.ask(start, commands.Started).addresses
        self._home.update(dict.fromkeys(addresses, process))
        return tuple(addresses.values())

    def home(self, node: str) -> HollowProcessHandle:
        """Return the process that holds a node."""
        return self._home[node]

    @property
    def paused_process(self) -> HollowProcessHandle:
        """The process for pauses."""
        return self.processes[-1]

    def paused_nodes(self) -> set[str]:
        """Names of the nodes in the process for pauses."""
        return {node for node, home in self._home.items() if home is self.paused_process}

    def ask_all(self, command: commands.Command, into: type[Replied]) -> list[Replied]:
        """Send a command to all processes at once and read the replies."""
        for process in self.processes:
            process.begin(command)
        return [process.finish(into) for process in self.processes]

    def views(self) -> dict[str, commands.View]:
        """Return what each running node sees."""
        merged: dict[str, commands.View] = {}
        for reply in self.ask_all(commands.ReadViews(), commands.Views):
            merged |= reply.views
        return merged

    def usage(self) -> list[commands.Usage]:
        """Return the totals of each process."""
        return self.ask_all(commands.ReadUsage(), commands.Usage)

    def take_observations(self) -> commands.Observations:
        """Return what all nodes observed since the last time."""
        replies = self.ask_all(commands.TakeObservations(), commands.Observations)
        states = [seen for reply in replies for seen in reply.states]
        revisions = [seen for reply in replies for seen in reply.revisions]
        return commands.Observations(states, revisions)

    def wait_for_members(self, expected: Callable[[str], set[str]], timeout_s: float) -> float:
        """Wait until each live node sees exactly the members expected of it; seconds waited."""
        began_s = time.monotonic()
        digests = {name: _digest(expected(name)) for name in self.live}
        while True:
            views = self.views()
            wrong = [name for name in self.live if views[name].digest != digests[name]]
            if not wrong:
                return time.monotonic() - began_s
            if time.monotonic() - began_s > timeout_s:
                counts = sorted({views[name].members for name in wrong})
                raise NotInTimeError(f"{len(wrong)} nodes see {counts} members")
            time.sleep(POLL_S)

    def wait_for_all(self, timeout_s: float) -> float:
        """Wait until each hollow node sees exactly the live nodes; seconds waited."""
        return self.wait_for_members(lambda _: self.members, timeout_s)

    def wait_for_revision(self, revision: int, timeout_s: float) -> float:
        """Wait until a revision is in force on all live nodes; seconds waited."""
        began_s = time.monotonic()
        while True:
            views = self.views()
            behind = [name for name in self.live if views[name].revision < revision]
            if not behind:
                return time.monotonic() - began_s
            if time.monotonic() - began_s > timeout_s:
                raise NotInTimeError(f"{len(behind)} nodes have no revision {revision}")
            time.sleep(POLL_S)

    def write_faults(self, rules: Sequence[dict[str, object]]) -> None:
        """Set the network faults; none heals."""
        partial = self._faults.with_suffix(".partial")
        partial.write_text(json.dumps({"rules": list(rules)}))
        partial.replace(self._faults)

    def _groups(self) -> list[list[commands.NodeSpec]]:
        processes = self.options.processes
        busy, paused = self.specs[:-PAUSED_NODES], self.specs[-PAUSED_NODES:]
        return [*(busy[number::processes] for number in range(processes)), paused]

    def _log_file(self, number: int) -> str | None:
        folder = self.options.keep_logs
        return str(folder / f"process-{number}.log") if folder is not None else None


def _digest(names: set[str]) -> int:
    return xxhash.xxh32_intdigest("\n".join(sorted(names)).encode())
