"""Steps of the ledger: whole nodes in one process, over a transport in memory."""

import dataclasses
import shutil
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from features.support.ledger_nodes import (
    AppendItem,
    HangingStore,
    ItemList,
    MemoryNetwork,
    MemoryNode,
    ReadItems,
)
from features.support.waiting import wait_until
from returns.pipeline import is_successful

from bellweir.ledger.interface import LedgerErrorKind
from bellweir.ledger.messages import AppendRequest
from bellweir.membership.interface import MemberState
from bellweir.settings.models import LedgerSettings
from bellweir.wire.interface import Sender

KEY = "items"
TIMEOUT_S = 20.0
FAST = LedgerSettings(
    shards=2,
    heartbeat_s=0.05,
    election_timeout_s=0.3,
    snapshot_entries=16,
    creation_wait_s=20.0,
    replace_after_s=0.5,
)


class Cluster:
    def __init__(self, data_nodes, other_nodes, fates=(), replicas=3):
        self.folder = Path(tempfile.mkdtemp(prefix="ledger-"))
        self.network = MemoryNetwork()
        self.store = HangingStore()
        self.store.fates = list(fates)
        self.settings = FAST.model_copy(update={"replicas": min(replicas, data_nodes)})
        self.names = [chr(ord("a") + number) for number in range(data_nodes)]
        self.names += [chr(ord("z") - number) for number in range(other_nodes)]
        self.data_names = self.names[:data_nodes]
        self.nodes = {}
        for name in self.names:
            self.start(name)

    def start(self, name):
        folder = self.folder / name if name in self.data_names else None
        self.nodes[name] = MemoryNode(name, folder, self.network, self.store, self.settings)

    def stop(self, name):
        self.nodes.pop(name).stop()

    def leader(self):
        def found():
            return [name for name, node in self.nodes.items() if node.ledger.leads(KEY)]

        wait_until(lambda: len(found()) == 1, "the shard has one leader")
        return found()[0]

    def voters(self):
        return self.nodes[self.leader()].ledger.replica_nodes(KEY, TIMEOUT_S)

    def close(self):
        for name in list(self.nodes):
            self.stop(name)
        shutil.rmtree(self.folder)


def append(cluster, name, item, timeout_s=TIMEOUT_S):
    return cluster.nodes[name].ledger.submit(KEY, AppendItem(item), timeout_s)


def read(cluster, name):
    reply = cluster.nodes[name].ledger.ask(KEY, ReadItems(), TIMEOUT_S)
    assert is_successful(reply), reply
    return list(reply.unwrap().items)


@given("a ledger of {data:d} data nodes and {other:d} other nodes")
def given_cluster(context, data, other):
    context.cluster = Cluster(data, other)
    context.add_cleanup(context.cluster.close)


@given("a ledger of {data:d} data nodes with {replicas:d} replicas")
def given_replicas(context, data, replicas):
    context.cluster = Cluster(data, 0, replicas=replicas)
    context.add_cleanup(context.cluster.close)


@given("a ledger of 3 data nodes whose first write to the store is {fate}")
def given_fate(context, fate):
    context.cluster = Cluster(3, 0, [fate])
    context.add_cleanup(context.cluster.close)


@when("ledger items {first:d} to {last:d} are appended through node {name}")
def when_appended(context, first, last, name):
    for item in range(first, last + 1):
        reply = append(context.cluster, name, item)
        assert is_successful(reply), reply


@then("the ledger gives items {first:d} to {last:d} through node {name}")
def then_items(context, first, last, name):
    assert read(context.cluster, name) == list(range(first, last + 1))


@then("the ledger gives items {first:d} to {last:d} with or without {maybe:d} through node {name}")
def then_items_maybe(context, first, last, maybe, name):
    items = read(context.cluster, name)
    assert [item for item in items if item != maybe] == [
        item for item in range(first, last + 1) if item != maybe
    ]


@when("the ledger's platform store goes down")
def when_store_down(context):
    context.cluster.store.down = True


@when("the ledger's platform store hangs")
def when_store_hangs(context):
    context.cluster.store.answers.clear()
    context.add_cleanup(context.cluster.store.answers.set)


@then("ledger item {item:d} is appended through node {name}")
def then_appended(context, item, name):
    reply = append(context.cluster, name, item)
    assert is_successful(reply), reply


@when("the ledger's leader announces that it leaves")
def when_leaving(context):
    context.leaving = context.cluster.leader()
    set_state(context.cluster, context.leaving, MemberState.LEAVING)


@when("every ledger node announces that it leaves")
def when_all_leave(context):
    for name in context.cluster.names:
        set_state(context.cluster, name, MemberState.LEAVING)


@then("no ledger node has a shard to hand over")
def then_nothing_to_hand_over(context):
    nodes = context.cluster.nodes
    for name in context.cluster.data_names:
        assert not nodes[name].ledger._tasks._hand_over_once()


@when("the disk of the ledger's leader fails")
def when_disk_fails(context):
    context.leaving = context.cluster.leader()
    journal = context.cluster.nodes[context.leaving].ledger._journal

    def fail(operations):
        raise OSError("input/output error")

    journal._write = fail


def set_state(cluster, name, state):
    member = cluster.network.members[name]
    cluster.network.members[name] = dataclasses.replace(member, state=state)


@then("another node leads the ledger")
def then_other_leads(context):
    wait_until(lambda: context.cluster.leader() != context.leaving, "another node leads the shard")


@then("the leaving node leads it never again, while others do")
def then_never(context):
    node = context.cluster.nodes[context.leaving].ledger._node
    assert not any(replica.stands for replica in node.replicas())
    others = set(context.cluster.data_names) - {context.leaving}
    assert context.cluster.leader() in others


@then("a ledger node whose journal is closed answers appends without acknowledging them")
def then_closed(context):
    cluster = context.cluster
    follower = next(name for name in cluster.data_names if name != cluster.leader())
    node = cluster.nodes[follower].ledger._node
    leader = cluster.nodes[cluster.leader()].ledger._node
    shard = cluster.nodes[follower].ledger.shard_of(KEY)
    cluster.nodes[follower].ledger._tasks.stop()
    node._journal.close()
    leader.propose(shard, leader.codec.encode(AppendItem(99)))
    part = leader.replica(shard).make_append(node.own)
    assert part.entries
    answer = node.handle_append_request(
        Sender("x", "x"), AppendRequest(leader.own, node.own, (part,))
    )
    assert answer.parts == ()


@when("every ledger node stops and starts again")
def when_all_restart(context):
    for name in context.cluster.names:
        context.cluster.stop(name)
    for name in context.cluster.names:
        context.cluster.start(name)


@when("the ledger's leader drains and stops")
def when_leader_drains(context):
    leader = context.cluster.leader()
    context.cluster.nodes[leader].ledger.drain(TIMEOUT_S)
    assert not context.cluster.nodes[leader].ledger.leads(KEY)
    # A call to a real store ends by its own time-out; this one would hold the stop for good.
    context.cluster.store.answers.set()
    context.cluster.stop(leader)


@when("all ledger data nodes but the leader are cut off")
def when_followers_cut(context):
    leader = context.cluster.leader()
    context.cluster.network.cut |= set(context.cluster.data_names) - {leader}


@when("the cut-off ledger nodes are reached again")
def when_reached(context):
    context.cluster.network.cut.clear()


@then("a ledger item {item:d} through node {name} has no success")
def then_no_success(context, item, name):
    reply = append(context.cluster, name, item, timeout_s=1.0)
    assert not is_successful(reply), reply


@then("a ledger item {item:d} through node {name} has no success, or is there")
def then_unknown_or_there(context, item, name):
    # In hand when the disk fails: it may still reach the next leader through a follower.
    reply = append(context.cluster, name, item)
    if is_successful(reply):
        assert item in reply.unwrap().items
    else:
        assert reply.failure().kind is LedgerErrorKind.UNKNOWN


@when("ledger node {name} loses its disk and starts again")
def when_disk_lost(context, name):
    context.cluster.stop(name)
    shutil.rmtree(context.cluster.folder / name)
    context.cluster.start(name)


@then("node {name} becomes a ledger voter under its new identity")
def then_voter(context, name):
    cluster = context.cluster

    def is_voter():
        node = cluster.nodes[name].ledger
        replica = node._node.replica(node.shard_of(KEY)) if node._node else None
        settled = replica is not None and replica.own in replica.log.replicas.voters
        return settled and len(replica.log.replicas.voters) == 3

    wait_until(is_voter, f"{name} is one of three voters")


@then("the ledger's replica on node {name} holds items {first:d} to {last:d}")
def then_replica_holds(context, name, first, last):
    wanted = list(range(first, last + 1))
    ledger = context.cluster.nodes[name].ledger

    def holds():
        machine = ledger.local_machine(KEY, ItemList)
        return machine is not None and machine.items == wanted

    wait_until(holds, "it caught up")


@when("one follower of the ledger stops for good")
def when_follower_gone(context):
    cluster = context.cluster
    gone = next(name for name in cluster.voters() if name != cluster.leader())
    cluster.stop(gone)
    set_state(cluster, gone, MemberState.DEAD)
    context.gone = gone


@then("no ledger call or segment is sent to the dead node")
def then_not_to_dead(context):
    for node in context.cluster.nodes.values():
        shard = node.ledger.shard_of(KEY)
        assert context.gone not in node.ledger.replica_nodes(KEY, TIMEOUT_S)
        assert context.gone not in node.ledger._locator.candidates(shard)


@then("the ledger's voters are {count:d} nodes that run")
def then_voters(context, count):
    cluster = context.cluster

    def healthy():
        voters = cluster.voters()
        return len(voters) == count and set(voters) <= set(cluster.nodes)

    wait_until(healthy, "the lost replica was replaced")


@when("a ledger segment is put through node {name}")
def when_segment(context, name):
    context.blob = b"tokens" * 1000
    reply = context.cluster.nodes[name].segments.put(KEY, context.blob, TIMEOUT_S)
    context.reference = reply.unwrap()


@then("the ledger segment is on {count:d} data nodes")
def then_segment_on(context, count):
    digest = bytes.fromhex(context.reference)
    nodes = [context.cluster.nodes[name] for name in context.cluster.data_names]
    assert sum(node.segments._files.holds(digest) for node in nodes) == count


@when("all ledger data nodes but one stop for good")
def when_all_but_one(context):
    cluster = context.cluster
    for gone in cluster.voters()[1:]:
        cluster.stop(gone)
        set_state(cluster, gone, MemberState.DEAD)


@then("a ledger segment that is put through node {name} is not acknowledged")
def then_segment_refused(context, name):
    reply = context.cluster.nodes[name].segments.put(KEY, b"tokens", TIMEOUT_S)
    assert not is_successful(reply), "a blob on one disk alone was acknowledged"


@then("the ledger segment is read through every node")
def then_segment_read(context):
    for node in context.cluster.nodes.values():
        assert node.segments.get(KEY, context.reference, TIMEOUT_S).unwrap() == context.blob


@when("the ledger's {which} is to be emptied")
def when_emptied(context, which):
    cluster = context.cluster
    wait_until(lambda: cluster.leader() in cluster.voters(), "a leader")
    leader = cluster.leader()
    follower = next(name for name in cluster.voters() if name != leader)
    context.emptied = leader if which == "leader" else follower
    for name in cluster.data_names:
        cluster.nodes[name].ledger.retire(frozenset({context.emptied}))


def told_empty(context):
    nodes = [context.cluster.nodes[name] for name in context.cluster.data_names]
    return any(node.ledger.is_emptied(context.emptied) for node in nodes)


@then("it is told to be empty only once {count:d} others hold the ledger")
def then_told_empty(context, count):
    wait_until(lambda: told_empty(context), "the node is told to be empty")
    voters = context.cluster.voters()
    assert context.emptied not in voters
    assert len(voters) == count


@then("it keeps its replica and is not told to be empty")
def then_not_emptied(context):
    for _ in range(20):
        time.sleep(0.1)
        assert not told_empty(context)
        assert context.emptied in context.cluster.voters()


def nearby(cluster, name):
    reply = cluster.nodes[name].ledger.ask_nearby(KEY, ReadItems(), TIMEOUT_S)
    return None if reply is None else list(reply.items)


@then(
    "a follower in its zone gives node {name} a beginning of items {first:d} to {last:d}, "
    "and in time all of them"
)
def then_nearby(context, name, first, last):
    cluster, items = context.cluster, list(range(first, last + 1))
    follower = next(node for node in cluster.voters() if node != cluster.leader())
    cluster.nodes[name].ledger._nearby._zone = f"zone-{follower}"
    found = nearby(cluster, name)
    assert found is not None, "the zone has a follower"
    assert found == items[: len(found)]
    wait_until(lambda: nearby(cluster, name) == items, "the follower has all items")


@then("without a follower in its zone node {name} gets no answer nearby")
def then_not_nearby(context, name):
    context.cluster.nodes[name].ledger._nearby._zone = "elsewhere"
    assert nearby(context.cluster, name) is None
