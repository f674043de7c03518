import socket
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from bellweir.wire.handshake import LocalNode, accept_handshake, connect_handshake
from bellweir.wire.keys import ClusterKeys
from bellweir_rehearsal.scale.hollow_transport import HANDSHAKE_BYTES
from bellweir_rehearsal.scale.options import ScaleOptions
from bellweir_rehearsal.scale.run import run_scale

NODES = 8


@when("a scale run of {nodes:d} hollow nodes and {workers:d} workers is made")
def step_run(context, nodes, workers):
    options = ScaleOptions(
        nodes=nodes,
        workers=workers,
        processes=1,
        probe_period_s=0.2,
        steady_s=2.0,
        change_period_s=1.0,
        loss_s=1.0,
        short_pause_s=0.5,
        long_pause_s=0.5,
        split_s=0.0,
    )
    context.scale = run_scale(options, progress=lambda _: None)


@then("every step of the scale run succeeded")
def step_succeeded(context):
    assert context.scale.failures == (), context.scale.failures


@then("the scale run's steady window had no false alarm")
def step_no_alarm(context):
    assert context.scale.steady.members_declared_dead == 0, context.scale.steady


@then("the scale run saw every death, leave and change on every other node")
def step_seen(context):
    scale = context.scale
    assert scale.death_noticed.count == NODES - 1, scale.death_noticed
    assert scale.leave_noticed.count == NODES - 2, scale.leave_noticed
    assert scale.change_in_force.count % NODES == 0, scale.change_in_force
    assert scale.zone_lost is None or scale.zone_lost.count > 0, scale.zone_lost
    assert scale.cost.datagrams_per_s > 0


@then("the scale run's handshake figure is within a tenth of a real handshake")
def step_handshake(context):
    key = context.folder / "cluster.key"
    key.write_text("the cluster key of a scale run")
    keys = ClusterKeys([key])
    sent = []

    class Counting:
        def __init__(self, inner):
            self._inner = inner

        def sendall(self, data):
            sent.append(len(data))
            self._inner.sendall(data)

        def __getattr__(self, name):
            return getattr(self._inner, name)

    near, far = socket.socketpair()
    with near, far, ThreadPoolExecutor(1) as pool:
        local = LocalNode("node-123", "127.0.0.1:40123")
        accepting = pool.submit(accept_handshake, Counting(far), local, keys)
        connect_handshake(Counting(near), local, keys)
        accepting.result()
    assert 0.9 * sum(sent) <= HANDSHAKE_BYTES <= 1.1 * sum(sent), sum(sent)
