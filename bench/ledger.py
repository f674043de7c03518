"""Measures the ledger: three data nodes and one client node, each a process, on loopback.

Run from the root of the repository, with the package and its extra `rehearsal` installed:

    python bench/ledger.py                      # commits, latency, CPU and bytes by concurrency
    python bench/ledger.py --only failover      # time from a leader's kill to the next commit
    python bench/ledger.py --only recovery      # time to read 100,000 entries back
    python bench/ledger.py --only storage       # sqlite3 against a log file with checksums
    python bench/ledger.py --only segments      # bulk data

Every process runs the services that a node runs for the ledger: transport, membership, ledger,
claims and segments. Submitters are threads of the client node, which has no data folder, so each
commit also pays for its way to the leader.
"""

import argparse
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import zlib
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path

import psutil
from returns.pipeline import is_successful

from bellweir.clients.service import PlatformService
from bellweir.events.log import configure_logs
from bellweir.kernel.clock import SystemClock
from bellweir.kernel.listeners import bind_listeners
from bellweir.kernel.node import Kernel
from bellweir.ledger.claims import ClaimKey, ClaimsMachine
from bellweir.ledger.claims_service import ClaimsService
from bellweir.ledger.entries import Entry, ReplicaId, ReplicaSet
from bellweir.ledger.journal import AppendEntries
from bellweir.ledger.machines import Codec
from bellweir.ledger.node import LedgerNode, NodeTiming
from bellweir.ledger.segments_service import SegmentsService
from bellweir.ledger.service import LedgerService
from bellweir.ledger.sqlite_journal import SqliteJournal
from bellweir.membership.service import MembershipService
from bellweir.settings.models import LedgerSettings, MembershipSettings, NodeIdentity, Settings
from bellweir.wire.service import TransportService

WINDOW_S = 3600.0
TIMEOUT_S = 10.0
WARM_UP_S = 1.0


class BenchNode:
    """The services of one node that the ledger needs."""

    def __init__(self, name, folder, seeds):
        configure_logs("error", "json")
        identity = NodeIdentity(name=name, zone=f"zone-{name}", data_folder=folder)
        settings = Settings(
            node=identity,
            membership=MembershipSettings(seeds=seeds),
            ledger=LedgerSettings(creation_wait_s=30.0),
        )
        self.kernel = Kernel(bind_listeners("127.0.0.1", 0, 0))
        self.transport = TransportService(self.kernel, settings)
        self.ledger = LedgerService(self.kernel, settings)
        self.claims = ClaimsService(self.kernel, settings)
        self.segments = SegmentsService(self.kernel, settings)
        self.membership = MembershipService(self.kernel, settings)
        platform = PlatformService(self.kernel, settings)
        services = (self.transport, self.membership, platform)
        for service in (*services, self.ledger, self.claims, self.segments):
            self.kernel.registry.register(service)
        self.kernel.registry.start()

    def stop(self):
        self.kernel.registry.stop()
        self.kernel.executors.stop()
        self.kernel.listeners.close()


def serve(arguments):
    """One data node: prints its address, then its traffic for each line on standard input."""
    node = BenchNode(arguments.serve, arguments.folder, tuple(arguments.seed))
    print(node.kernel.listeners.peer_address, flush=True)
    for line in sys.stdin:
        if line.strip() == "leave":
            node.membership.announce_leaving()
            node.ledger.drain(10.0)
            break
        traffic = node.transport.traffic()
        led = [shard for shard in range(8) if _leads(node, shard)]
        print(json.dumps({"sent": traffic.bytes_sent, "led": led}), flush=True)
    node.stop()


def _leads(node, shard):
    replica = node.ledger._node.replica(shard) if node.ledger._node else None
    return replica is not None and replica.leader == node.ledger._node.own


class DataNode:
    """A data node's process."""

    def __init__(self, name, folder, seeds):
        command = [sys.executable, __file__, "--serve", name, "--folder", str(folder)]
        for seed in seeds:
            command += ["--seed", seed]
        self.name = name
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.address = self.process.stdout.readline().strip()
        self.usage = psutil.Process(self.process.pid)

    def ask(self):
        self.process.stdin.write("\n")
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())

    def cpu_s(self):
        times = self.usage.cpu_times()
        return times.user + times.system

    def leave(self):
        self.process.stdin.write("leave\n")
        self.process.stdin.flush()

    def stop(self):
        if self.process.poll() is None:
            self.process.stdin.close()
            self.process.wait(20)


@contextmanager
def cluster():
    """Three data nodes and a client node in this process."""
    with tempfile.TemporaryDirectory(prefix="bench-ledger-") as folder:
        data, client = [], None
        try:
            for name in "abc":
                seeds = [node.address for node in data]
                data.append(DataNode(name, Path(folder) / name, seeds))
            client = BenchNode("z", None, tuple(node.address for node in data))
            claim(client, "warm-up")
            yield data, client
        finally:
            if client is not None:
                client.stop()
            for node in data:
                node.stop()


def claim(client, key):
    return client.claims.claim(key, "fingerprint", f"attempt-{key}", WINDOW_S, TIMEOUT_S)


def measure(data, client, submitters, duration_s):
    """Claims by `submitters` threads for `duration_s`; one line of figures."""
    latencies_s, failures = [], []
    end_s = time.monotonic() + duration_s + WARM_UP_S
    count_from_s = time.monotonic() + WARM_UP_S

    def submit(number):
        turn = 0
        while (started_s := time.monotonic()) < end_s:
            result = claim(client, f"{submitters}/{number}/{turn}")
            turn += 1
            if not is_successful(result):
                failures.append(result.failure())
            elif started_s >= count_from_s:
                latencies_s.append(time.monotonic() - started_s)

    pool = ThreadPoolExecutor(submitters)
    futures = [pool.submit(submit, number) for number in range(submitters)]
    time.sleep(WARM_UP_S)
    own = psutil.Process()
    cpu_before = [node.cpu_s() for node in data]
    client_before = sum(own.cpu_times()[:2])
    bytes_before = [node.ask()["sent"] for node in data]
    started_s = time.monotonic()
    for future in futures:
        future.result()
    elapsed_s = time.monotonic() - started_s
    commits = len(latencies_s)
    latencies_s.sort()
    cpu_s = sum(node.cpu_s() for node in data) - sum(cpu_before)
    sent = sum(node.ask()["sent"] for node in data) - sum(bytes_before)
    return {
        "submitters": submitters,
        "commits_per_s": round(commits / elapsed_s),
        "p50_ms": round(latencies_s[commits // 2] * 1e3, 2),
        "p99_ms": round(latencies_s[int(commits * 0.99)] * 1e3, 2),
        "data_nodes_cpu_us_per_commit": round(cpu_s / commits * 1e6),
        "client_cpu_us_per_commit": round(
            (sum(own.cpu_times()[:2]) - client_before) / commits * 1e6
        ),
        "data_nodes_bytes_per_commit": round(sent / commits),
        "failures": len(failures),
    }


def measure_idle(data, duration_s):
    """Processor time and bytes of the data nodes without any commits."""
    cpu_before = sum(node.cpu_s() for node in data)
    bytes_before = sum(node.ask()["sent"] for node in data)
    time.sleep(duration_s)
    cpu_s = sum(node.cpu_s() for node in data) - cpu_before
    sent = sum(node.ask()["sent"] for node in data) - bytes_before
    per_node_s = duration_s * len(data)
    return {
        "idle_core_share_per_node": round(cpu_s / per_node_s, 4),
        "idle_bytes_per_s_per_node": round(sent / per_node_s),
    }


def commits(arguments):
    with cluster() as (data, client):
        print(json.dumps(measure_idle(data, arguments.duration)))
        for submitters in (1, 32, 256):
            print(json.dumps(measure(data, client, submitters, arguments.duration)), flush=True)


def failover(arguments):
    """Kill a leader, or let it leave, while one thread commits to one of its shards."""
    for how in ("kill", "leave"):
        gaps_s = [longest_gap_s(how) for _ in range(arguments.repeats)]
        print(
            json.dumps(
                {
                    "how": how,
                    "times": len(gaps_s),
                    "without_commit_median_s": round(statistics.median(gaps_s), 3),
                    "without_commit_worst_s": round(max(gaps_s), 3),
                }
            ),
            flush=True,
        )


def longest_gap_s(how):
    """Longest time between two commits while the leader goes."""
    with cluster() as (data, client):
        led = {node.name: node.ask()["led"] for node in data}
        victim = next(node for node in data if led[node.name])
        shard = led[victim.name][0]
        wanted = (
            key
            for key in (f"key-{number}" for number in range(10**9))
            if client.ledger.shard_of(key) == shard
        )
        for _ in range(50):
            claim(client, next(wanted))
        longest_s, before_s = 0.0, time.monotonic()
        if how == "kill":
            os.kill(victim.process.pid, signal.SIGKILL)
        else:
            victim.leave()
        end_s = before_s + 5.0
        while before_s < end_s:
            result = client.claims.claim(next(wanted), "fingerprint", "attempt", WINDOW_S, 1.0)
            if is_successful(result):
                now_s = time.monotonic()
                longest_s, before_s = max(longest_s, now_s - before_s), now_s
        return longest_s


def recovery(_arguments):
    """Write 100,000 claims to a journal, without a snapshot, and read them back."""
    codec = Codec([ClaimsMachine])
    count = 100_000
    with tempfile.TemporaryDirectory(prefix="bench-ledger-") as folder:
        journal = SqliteJournal(Path(folder))
        timing = NodeTiming(1.0, 1.0, 10 * count)
        node = LedgerNode(
            "a", journal, [ClaimsMachine], _NoTransport(), lambda _: None, SystemClock(), timing
        )
        node.load()
        node.create(0, ReplicaSet((ReplicaId("a", journal.disk),)))
        entries = [Entry(1 + at, 1, 1, codec.encode(_claim_command(at))) for at in range(count)]
        started_s = time.perf_counter()
        journal.sync(journal.buffer(AppendEntries(0, entries)))
        written_s = time.perf_counter() - started_s
        journal.close()
        journal = SqliteJournal(Path(folder))
        node = LedgerNode(
            "a", journal, [ClaimsMachine], _NoTransport(), lambda _: None, SystemClock(), timing
        )
        started_s = time.perf_counter()
        node.load()
        read_s = time.perf_counter() - started_s
        replica = node.replica(0)
        memory_bytes = psutil.Process().memory_info().rss
        started_s = time.perf_counter()
        while replica.commit_index < count:
            node.tick()
            node.flush()
        applied_s = time.perf_counter() - started_s
        memory_bytes = psutil.Process().memory_info().rss - memory_bytes
        started_s = time.perf_counter()
        state = replica.snapshot().state
        saved_s = time.perf_counter() - started_s
        journal.close()
    print(
        json.dumps(
            {
                "entries": count,
                "entry_bytes": len(entries[0].payload),
                "write_s": round(written_s, 2),
                "read_s": round(read_s, 2),
                "elect_and_apply_s": round(applied_s, 2),
                "memory_bytes_per_claim": round(memory_bytes / count),
                "snapshot_s": round(saved_s, 2),
                "snapshot_bytes": len(state),
            }
        )
    )


class _NoTransport:
    def register(self, message_type, handler): ...


def _claim_command(number):
    return ClaimKey(f"key-{number}", "fingerprint", f"attempt-{number}", "a", 1e9, WINDOW_S)


def storage(_arguments):
    """Durable groups of 200-byte records: sqlite3 as the ledger uses it, and a plain file."""
    record = os.urandom(200)
    for group in (1, 32, 256):
        with tempfile.TemporaryDirectory(prefix="bench-ledger-") as folder:
            groups = 4000 // group + 100
            sqlite_s = _sqlite_groups(Path(folder), record, group, groups)
            file_s = _file_groups(Path(folder), record, group, groups)
        print(
            json.dumps(
                {
                    "group": group,
                    "sqlite_records_per_s": round(group * groups / sqlite_s),
                    "file_records_per_s": round(group * groups / file_s),
                    "sqlite_syncs_per_s": round(groups / sqlite_s),
                    "file_syncs_per_s": round(groups / file_s),
                }
            )
        )


def _sqlite_groups(folder, record, group, groups):
    journal = SqliteJournal(folder)
    journal.load()
    started_s = time.perf_counter()
    index = 1
    for _ in range(groups):
        entries = [Entry(index + at, 1, 1, record) for at in range(group)]
        journal.sync(journal.buffer(AppendEntries(0, entries)))
        index += group
    elapsed_s = time.perf_counter() - started_s
    journal.close()
    return elapsed_s


def _file_groups(folder, record, group, groups):
    descriptor = os.open(folder / "log", os.O_RDWR | os.O_CREAT)
    started_s = time.perf_counter()
    for _ in range(groups):
        parts = [zlib.crc32(record).to_bytes(4, "big") + record for _ in range(group)]
        os.write(descriptor, b"".join(parts))
        os.fdatasync(descriptor)
    elapsed_s = time.perf_counter() - started_s
    os.close(descriptor)
    return elapsed_s


def segments(arguments):
    """Blobs of 16 KiB, about a sample of 2,048 tokens with its scores, put and read back."""
    with cluster() as (data, client):
        for writers in (1, 16):
            references, lock = [], threading.Lock()
            end_s = time.monotonic() + arguments.duration

            def put(number, end_s=end_s, references=references, lock=lock):
                while time.monotonic() < end_s:
                    blob = os.urandom(16 * 1024)
                    stored = client.segments.put(f"step-{number}", blob, TIMEOUT_S)
                    with lock:
                        references.append((f"step-{number}", stored.unwrap()))

            cpu_before = sum(node.cpu_s() for node in data)
            with ThreadPoolExecutor(writers) as pool:
                list(pool.map(put, range(writers)))
            cpu_s = sum(node.cpu_s() for node in data) - cpu_before
            started_s = time.monotonic()
            for key, reference in references[:500]:
                client.segments.get(key, reference, TIMEOUT_S).unwrap()
            read_s = time.monotonic() - started_s
            print(
                json.dumps(
                    {
                        "writers": writers,
                        "puts_per_s": round(len(references) / arguments.duration),
                        "data_nodes_cpu_us_per_put": round(cpu_s / len(references) * 1e6),
                        "gets_per_s": round(min(500, len(references)) / read_s),
                    }
                ),
                flush=True,
            )


MEASUREMENTS = {
    "storage": storage,
    "recovery": recovery,
    "commits": commits,
    "segments": segments,
    "failover": failover,
}


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--only", choices=MEASUREMENTS)
    parser.add_argument("--duration", type=float, default=8.0, help="seconds for each load")
    parser.add_argument("--repeats", type=int, default=5, help="kills of a leader")
    parser.add_argument("--serve")
    parser.add_argument("--folder", type=Path)
    parser.add_argument("--seed", action="append", default=[])
    arguments = parser.parse_args()
    if arguments.serve:
        serve(arguments)
        return
    for name, measurement in MEASUREMENTS.items():
        if arguments.only in (None, name):
            print(name)
            measurement(arguments)


if __name__ == "__main__":
    main()
