"""One process of a scale run: many hollow nodes on one loop and a few shared threads."""

import gc
import logging
import selectors
import socket
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
import psutil
import structlog

from bellweir.configuration.messages import TableName
from bellweir.kernel.executors import Executors
from bellweir.settings.models import MembershipSettings
from bellweir.wire.interface import Sender
from bellweir.wire.keys import ClusterKeys
from bellweir.wire.sockets import shut
from bellweir_rehearsal.scale import commands, sample_configuration
from bellweir_rehearsal.scale.hollow_node import HollowNode
from bellweir_rehearsal.scale.hollow_transport import HANDSHAKE_BYTES, SharedThreads

SWEEP_PERIOD_S = 0.02
"""Time between two looks at what is due on each node."""
SHARED_THREADS = 12
SWITCH_INTERVAL_S = 0.001


@dataclass(frozen=True)
class _Served:
    """What a watched socket belongs to."""

    node: HollowNode
    sender: Sender | None
    """The peer at the other end of a connection; None for a node's own two sockets."""


class HollowProcess:
    """Runs the nodes and answers the commands that come on standard input."""

    def __init__(self) -> None:
        self._process = psutil.Process()
        self._bare_bytes = self._process.memory_info().rss
        self._selector = selectors.DefaultSelector()
        self._threads = SharedThreads(SHARED_THREADS)
        self._nodes: dict[str, HollowNode] = {}
        self._lock = threading.Lock()
        self._executors = Executors()

    def run(self) -> None:
        """Read commands until `Quit` or the end of the input, then end."""
        self._executors.run_task("hollow-loop", self._loop)
        try:
            for line in sys.stdin.buffer:
                command = msgspec.json.decode(line, type=commands.AnyCommand)
                if isinstance(command, commands.Quit):
                    break
                reply = self._obey(command)
                sys.stdout.buffer.write(msgspec.json.encode(reply) + b"\n")
                sys.stdout.buffer.flush()
        finally:
            self._threads.stop()
            self._executors.stop()

    def _loop(self, stopping: threading.Event) -> None:
        next_sweep_s = 0.0
        while not stopping.is_set():
            wait_s = max(0.0, next_sweep_s - time.monotonic())
            for key, _ in self._selector.select(wait_s):
                self._handle_ready(key.fileobj, key.data)
            now_s = time.monotonic()
            if now_s >= next_sweep_s:
                next_sweep_s = now_s + SWEEP_PERIOD_S
                with self._lock:
                    running = [node for node in self._nodes.values() if node.running]
                for node in running:
                    node.begin_due_work(time.monotonic())

    def _handle_ready(self, ready: object, served: "_Served") -> None:
        node = served.node
        if served.sender is not None and isinstance(ready, socket.socket):
            # Watched again once its frame has been handled.
            self._selector.unregister(ready)
            self._threads.serving.submit(self._serve, node, ready, served.sender)
        elif not node.running:
            return
        elif ready is node.datagrams:
            node.receive()
        else:
            connection = node.accept()
            if connection is not None:
                self._threads.serving.submit(self._begin_serving, node, connection)

    def _begin_serving(self, node: HollowNode, connection: socket.socket) -> None:
        sender = node.transport.accept(connection)
        if sender is not None:
            self._selector.register(connection, selectors.EVENT_READ, _Served(node, sender))

    def _serve(self, node: HollowNode, connection: socket.socket, sender: Sender) -> None:
        if node.transport.serve(connection, sender):
            self._selector.register(connection, selectors.EVENT_READ, _Served(node, sender))
        else:
            shut(connection)

    def _obey(self, command: commands.Command) -> commands.Reply:
        match command:
            case commands.Start():
                return self._start(command)
            case commands.Load():
                return self._load(command)
            case commands.Settle():
                # A collection walks the objects of all nodes of the process at once; a real
                # node's walks only its own.
                gc.collect()
                gc.freeze()
                return commands.Done(time.monotonic())
            case commands.Change():
                return self._change(command)
            case commands.Kill(node=name):
                return self._close(name)
            case commands.Leave(node=name):
                self._nodes[name].membership.announce_leaving()
                return commands.Done(time.monotonic())
            case commands.End(node=name):
                self._nodes[name].protocol.end(time.monotonic())
                return self._close(name)
            case commands.ReadViews():
                return commands.Views({node.spec.name: node.view() for node in self._running()})
            case commands.ReadUsage():
                return self._usage()
            case _:
                return self._take_observations()

    def _running(self) -> list[HollowNode]:
        with self._lock:
            return [node for node in self._nodes.values() if node.running]

    def _start(self, command: commands.Start) -> commands.Started:
        _configure_logs(command.log_file)
        keys = ClusterKeys([Path(command.key_file)])
        settings = MembershipSettings(
            seeds=command.seeds,
            probe_period_s=command.probe_period_s,
            probe_timeout_s=command.probe_period_s / 2,
        )
        for spec in command.nodes:
            node = HollowNode(spec, settings, Path(command.fault_file), keys, self._threads)
            self._selector.register(node.datagrams, selectors.EVENT_READ, _Served(node, None))
            self._selector.register(node.stream, selectors.EVENT_READ, _Served(node, None))
            with self._lock:
                self._nodes[spec.name] = node
        return commands.Started({name: node.address for name, node in self._nodes.items()})

    def _load(self, command: commands.Load) -> commands.Done:
        state = self._nodes[command.node].configuration.state
        revision = sample_configuration.FIRST_REVISION
        machines = sample_configuration.machines(command.workers, command.zones, command.regions)
        state.adopt(TableName.MACHINES, revision, machines, "scale run")
        state.adopt(
            TableName.RESOURCES,
            revision,
            sample_configuration.resources(command.with_pools),
            "scale run",
        )
        return commands.Done(time.monotonic())

    def _change(self, command: commands.Change) -> commands.Done:
        revision = command.revision
        change = sample_configuration.policy_change("policy-0", revision, revision)
        at_s = time.monotonic()
        state = self._nodes[command.node].configuration.state
        state.append(TableName.RESOURCES, revision, [change])
        return commands.Done(at_s)

    def _close(self, name: str) -> commands.Done:
        node = self._nodes[name]
        node.running = False
        self._selector.unregister(node.datagrams)
        self._selector.unregister(node.stream)
        node.close()
        return commands.Done(time.monotonic())

    def _usage(self) -> commands.Usage:
        nodes = list(self._nodes.values())
        datagrams = [node.protocol.traffic.totals() for node in nodes]
        frames = [node.transport.traffic.totals() for node in nodes]
        connections = sum(node.transport.connections for node in nodes)
        times = self._process.cpu_times()
        return commands.Usage(
            at_s=time.monotonic(),
            nodes=len(self._running()),
            cpu_s=times.user + times.system,
            resident_bytes=self._process.memory_info().rss,
            bare_resident_bytes=self._bare_bytes,
            datagrams=sum(t.messages_sent + t.messages_received for t in datagrams),
            datagram_bytes=sum(t.bytes_sent + t.bytes_received for t in datagrams),
            frames=sum(t.messages_sent + t.messages_received for t in frames),
            frame_bytes=sum(t.bytes_sent + t.bytes_received for t in frames)
            # Each handshake is seen by two nodes: the one that opened and the one that accepted.
            + 2 * HANDSHAKE_BYTES * connections,
            connections=connections,
        )

    def _take_observations(self) -> commands.Observations:
        states: list[commands.StateSeen] = []
        revisions: list[commands.RevisionSeen] = []
        for node in self._nodes.values():
            seen, node.states = node.states, []
            states.extend(seen)
            in_force, node.revisions = node.revisions, []
            revisions.extend(in_force)
        return commands.Observations(states, revisions)


def _configure_logs(file: str | None) -> None:
    if file is None:
        silent = structlog.make_filtering_bound_logger(logging.CRITICAL)
        structlog.configure(wrapper_class=silent, cache_logger_on_first_use=True)
        return
    structlog.configure(
        processors=[structlog.processors.JSONRenderer()],
        logger_factory=structlog.WriteLoggerFactory(
            Path(file).open("a", encoding="utf-8")  # noqa: SIM115 - open until the process ends
        ),
        cache_logger_on_first_use=True,
    )


if __name__ == "__main__":
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    HollowProcess().run()
