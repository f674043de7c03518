"""A store machine's disk that fails for a while, and steps of the ledger's tasks that fail once.

Symptom: a machine that runs and is well holds no replica, or acknowledges nothing, until somebody
restarts it. Sequence: its files can't be opened at its start (mounted late, full, no descriptors),
or one write fails later; the disk is well again at once. Cause: the task that starts the replicas,
or the one that writes, ended with the failure, and nothing began it anew. So a voter is silent for
good, and the next loss, which is owed, leaves no majority: of three voters one lives and one is
silent. Seen: `task_failed` of `ledger-start`, or `journal_failed`, as the last word of the ledger
of a process that goes on for the 30 s of the test.
"""

import threading
import time

from behave import then, when
from features.steps.ledger_steps import KEY, append, then_replica_holds
from features.support.ledger_nodes import ItemList
from features.support.waiting import wait_until
from returns.pipeline import is_successful

from bellweir.ledger.service import LEDGER_FOLDER
from bellweir.ledger.sqlite_journal import SqliteJournal
from bellweir_rehearsal.hosted.checks import CheckedTraffic
from bellweir_rehearsal.hosted.clients import call
from bellweir_rehearsal.hosted.deployment import HostedDeployment

LONGEST_READ_S = 1.0
STAYS_S = 0.5
"""Time for which a node is watched that must not have begun."""


def folder_of(cluster, name):
    return cluster.folder / name / LEDGER_FOLDER


def identity_of(cluster, name):
    return cluster.nodes[name].ledger._node.own


class FullDisk:
    """While it is full every write of the journals in a folder fails."""

    def __init__(self, folder):
        self.is_full = True
        self._folder = folder
        self._plain = SqliteJournal._write
        disk = self

        def write(journal, operations):
            if disk.is_full and journal._folder == folder:
                raise OSError("no space left on device")
            return disk._plain(journal, operations)

        SqliteJournal._write = write

    def remove(self):
        SqliteJournal._write = self._plain


@when("ledger node {name} starts again while its folder can't be opened")
def when_not_opened(context, name):
    cluster = context.cluster
    context.node, context.former = name, identity_of(cluster, name)
    cluster.stop(name)
    folder = folder_of(cluster, name)
    context.aside = folder.with_name("aside")
    folder.rename(context.aside)
    # As where the disk is not mounted yet and something else lies in its place.
    folder.write_text("not a folder", encoding="utf-8")
    cluster.start(name)


@when("its folder can be opened again")
def when_opened(context):
    folder = folder_of(context.cluster, context.node)
    folder.unlink()
    context.aside.rename(folder)


@when("ledger node {name} starts again while its disk is full")
def when_full(context, name):
    cluster = context.cluster
    context.node, context.former = name, identity_of(cluster, name)
    cluster.stop(name)
    context.disk = FullDisk(folder_of(cluster, name))
    context.add_cleanup(context.disk.remove)
    cluster.start(name)


@when("its disk has room again")
def when_room(context):
    context.disk.is_full = False


@then("ledger node {name} holds no replica")
def then_nothing(context, name):
    ledger = context.cluster.nodes[name].ledger
    until_s = time.monotonic() + STAYS_S
    while time.monotonic() < until_s:
        assert ledger.local_machine(KEY, ItemList) is None, "it holds what it can't keep"
        time.sleep(0.05)


@then("ledger node {name} has kept its identity")
def then_identity(context, name):
    assert identity_of(context.cluster, name) == context.former


@when("a write to the disk of a follower fails")
def when_write_fails(context):
    cluster = context.cluster
    context.node = next(name for name in cluster.data_names if name != cluster.leader())
    context.former = identity_of(cluster, context.node)
    disk = FullDisk(folder_of(cluster, context.node))
    context.add_cleanup(disk.remove)
    reply = append(cluster, cluster.leader(), 6)
    assert is_successful(reply), "the other two are a majority"
    ledger = cluster.nodes[context.node].ledger
    wait_until(lambda: ledger._journal._failed, "the write has failed")
    disk.is_full = False


@then("its node asks for the end of its process")
def then_asks(context):
    ending = context.cluster.nodes[context.node].kernel.ending
    wait_until(lambda: ending.cause is not None, "it asks")


@when("that node stops and starts again")
def when_restarted(context):
    context.cluster.stop(context.node)
    context.cluster.start(context.node)


@when("ledger items {first:d} to {last:d} are appended through that node")
def when_appended_there(context, first, last):
    for item in range(first, last + 1):
        reply = append(context.cluster, context.node, item)
        assert is_successful(reply), reply


class SlowRead:
    """Reading of the journals in a folder waits until the files are closed, or for a while.

    A start that went on with closed files took them for damaged: it put them aside, or cut
    whatever file had got the number of its descriptor. Seen: `journal_damaged` of a stop soon
    after a start, with "connection has been closed" or "closed database" for its finding.
    """

    def __init__(self, folder):
        self.is_reading, self.is_closed = threading.Event(), threading.Event()
        self.found_damaged = False
        self._read, self._release = SqliteJournal._read_shards, SqliteJournal._release
        self._start_over = SqliteJournal._start_over
        slow = self

        def read(journal):
            if journal._folder == folder:
                slow.is_reading.set()
                slow.is_closed.wait(LONGEST_READ_S)
            return slow._read(journal)

        def release(journal):
            slow._release(journal)
            if journal._folder == folder:
                slow.is_closed.set()

        def start_over(journal, kept):
            slow.found_damaged = slow.found_damaged or journal._folder == folder
            slow._start_over(journal, kept)

        SqliteJournal._read_shards, SqliteJournal._release = read, release
        SqliteJournal._start_over = start_over

    def remove(self):
        SqliteJournal._read_shards, SqliteJournal._release = self._read, self._release
        SqliteJournal._start_over = self._start_over


@when("ledger node {name} starts again and is stopped while it reads its files")
def when_stopped_reading(context, name):
    cluster = context.cluster
    context.node, context.former = name, identity_of(cluster, name)
    cluster.stop(name)
    context.slow = SlowRead(folder_of(cluster, name))
    context.add_cleanup(context.slow.remove)
    cluster.start(name)
    assert context.slow.is_reading.wait(30), "it reads"
    cluster.stop(name)
    assert context.slow.is_closed.is_set(), "its files are closed"


@then("its files are not taken for damaged")
def then_not_damaged(context):
    context.slow.remove()
    assert not context.slow.found_damaged, "it began anew, beside files that were well"


@when("that node starts again")
def when_starts_again(context):
    context.cluster.start(context.node)


@then("its replica holds items {first:d} to {last:d} under its former identity")
def then_holds(context, first, last):
    then_replica_holds(context, context.node, first, last)
    assert identity_of(context.cluster, context.node) == context.former


# --- a process ------------------------------------------------------------------------------------


def log_of(machine):
    with machine.log_file.open("rb") as log:
        log.seek(machine.log_begins)
        return log.read().decode()


@then("a store process whose disk refuses writes ends with exit code 1 and says why")
def then_ends(context):
    deployment = HostedDeployment(context.folder, gateways=1, stores=1, zones=1, tolerated=0)
    deployment.is_rigged = True
    context.cleanup.callback(deployment.close)
    context.deployment, context.machine = deployment, deployment.machines["store-0"]
    context.traffic = CheckedTraffic(deployment)
    context.traffic.start()
    context.step = context.traffic.trainer.begin_step()
    deployment.refuse_writes("store-0")
    address = deployment.address("gateway-0", "front")
    call(address, "POST", "/drafts/job-x", b"{}", {"X-Bellweir-Attempt-Id": "job-x"})
    process = context.machine.process
    assert process.wait(30) == 1, f"exit code {process.returncode}"
    told = log_of(context.machine)
    assert "journal_failed" in told, told[-2000:]
    assert "process_gives_up" in told, told[-2000:]


@then("started again while its disk is full it waits, and serves once there is room")
def then_waits(context):
    context.deployment.start_machine("store-0")
    wait_until(lambda: "journal_unavailable" in log_of(context.machine), "it waits", 30)
    assert "leader_elected" not in log_of(context.machine)
    context.deployment.take_writes("store-0")
    wait_until(lambda: "leader_elected" in log_of(context.machine), "it leads again", 30)
    assert "journal_damaged" not in log_of(context.machine)
    context.traffic.finish(context.step)
    assert context.step.is_read


# --- tasks ----------------------------------------------------------------------------------------


def fail_once(node, name):
    """Have a method of a node raise at its first call with each first argument.

    A task that ended with such a failure left its machine without elections, or a peer without
    messages, for the rest of its life; seen as one `task_failed`, and 504 for a command then.
    """
    plain, failed = getattr(node, name), set()

    def call(*arguments, **named):
        if arguments[:1] not in failed:
            failed.add(arguments[:1])
            raise RuntimeError("can't start new thread")
        return plain(*arguments, **named)

    setattr(node, name, call)
    return failed


@when("each node's elections, and its messages to each peer, fail once")
def when_steps_fail(context):
    cluster = context.cluster
    ledgers = [cluster.nodes[name].ledger._node for name in cluster.data_names]
    ticked = [fail_once(ledger, "tick") for ledger in ledgers]
    replicated = [fail_once(ledger, "replicate") for ledger in ledgers]
    wait_until(lambda: all(ticked) and any(replicated), "the steps have failed")
    context.leaving = cluster.leader()


@then("ledger item {item:d} is appended through the one that leads")
def then_appended_there(context, item):
    reply = append(context.cluster, context.cluster.leader(), item)
    assert is_successful(reply), reply
