"""Requests that crash the workers that run them, before hosted processes."""

import random
import threading
import time

from behave import given as given_step
from behave import then, when

from bellweir_rehearsal.hosted.checks import CheckedTraffic
from bellweir_rehearsal.hosted.clients import call
from bellweir_rehearsal.hosted.deployment import BEAT_S, HostedDeployment

CRASHING = b"crashes its worker"
CONTACT_S = 3.0
"""Time after the third crash from which the request may reach workers three times more."""
ORDINARY_PATH = "/price/ordinary"
ORDINARY_PAUSE_S = 0.1


@given_step("hosted processes, {gateways:d} gateways and {stores:d} store machines")
def given_processes(context, gateways, stores):
    deployment = HostedDeployment(context.folder, gateways, stores)
    context.cleanup.callback(deployment.close)
    context.traffic = CheckedTraffic(deployment)
    context.traffic.start()
    context.stopping = threading.Event()
    context.cleanup.callback(context.stopping.set)
    threading.Thread(target=_beat, args=(deployment, context.stopping), daemon=True).start()


def _beat(deployment, stopping):
    while not stopping.wait(BEAT_S):
        deployment.beat()


@when(
    'a request to "{path}" that crashes its worker comes each {pause_s:g} s at any gateway '
    "for {seconds:g} s"
)
def when_comes(context, path, pause_s, seconds):
    deployment = context.traffic.deployment
    for worker in deployment.scorers:
        worker.faults.crash_bodies = frozenset({CRASHING})
    context.ordinary = []
    until_s = time.monotonic() + seconds
    threads = [
        threading.Thread(target=_send, args=(context, path, CRASHING, pause_s, until_s, 1)),
        threading.Thread(target=_send_ordinary, args=(context, until_s)),
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _send(context, path, body, pause_s, until_s, seed):
    chance = random.Random(seed)
    while time.monotonic() < until_s:
        threading.Thread(target=_send_one, args=(context, path, body, chance.random())).start()
        time.sleep(pause_s)


def _send_one(context, path, body, drawn):
    deployment = context.traffic.deployment
    gateways = deployment.running("gateway")
    gateway = gateways[int(drawn * len(gateways))]
    address = deployment.address(gateway, "front")
    headers = {
        # The id tells the gateway when the run is judged.
        "X-Bellweir-Attempt-Id": f"{gateway}/{context.traffic.next_id('sent')}",
        "X-Bellweir-Deadline-Ms": "1500",
    }
    return call(address, "POST", path, body, headers)


def _send_ordinary(context, until_s):
    chance = random.Random(2)
    number = 0
    while time.monotonic() < until_s:
        sent_s, number = time.monotonic(), number + 1
        answer = _send_one(context, ORDINARY_PATH, b"ordinary %d" % number, chance.random())
        context.ordinary.append((sent_s, answer is not None and answer.status == 200))
        time.sleep(ORDINARY_PAUSE_S)


def _times(context, name):
    workers = context.traffic.deployment.scorers
    return sorted(run.at_s for worker in workers for run in getattr(worker.record, name))


@then("it has crashed {count:d} workers at least")
def then_crashed(context, count):
    context.crashes_s = _times(context, "crashes")
    assert len(context.crashes_s) >= count, context.crashes_s


@then(
    "later than {seconds:g} s after the third crash it has reached workers {most:d} times at most"
)
def then_bounded(context, seconds, most):
    context.bound_s = context.crashes_s[2] + seconds
    late = [at_s for at_s in _times(context, "crashing_runs") if at_s > context.bound_s]
    told = f"{len(late)} times, {len(context.crashes_s)} crashes"
    assert len(late) <= most, told


@then("{served:d} of {sent:d} ordinary requests later than that were served")
def then_served(context, served, sent):
    late = [is_served for sent_s, is_served in context.ordinary if sent_s > context.bound_s]
    assert len(late) >= 10, "too few to tell"
    assert sum(late) * sent >= len(late) * served, f"{sum(late)} of {len(late)}"
