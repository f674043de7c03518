"""Steps of kernel.feature."""

import threading

import structlog
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import strategies

from bellweir.kernel.clock import Clock
from bellweir.kernel.executors import (
    ExecutorLimits,
    Executors,
    ExecutorSaturatedError,
    WorkKind,
)
from bellweir.kernel.registry import (
    DependencyCycleError,
    Registry,
    ServiceNotFoundError,
    ServiceTypeError,
)
from bellweir.kernel.service import Service


class StartFailedError(RuntimeError):
    """Raised by a recorded service that is told to fail."""


def recorded_service(service_name, service_dependencies, journal, fails=False):
    class RecordedService(Service):
        name = service_name
        dependencies = service_dependencies

        def start(self):
            if fails:
                raise StartFailedError(service_name)
            journal.append(("start", service_name))

        def stop(self):
            journal.append(("stop", service_name))

    return RecordedService()


@strategies.composite
def acyclic_dependencies(draw):
    count = draw(strategies.integers(1, 7))
    names = [f"service-{index}" for index in range(count)]
    edges = {
        name: tuple(draw(strategies.sets(strategies.sampled_from(names[:index]))) if index else ())
        for index, name in enumerate(names)
    }
    return draw(strategies.permutations(list(edges.items())))


def build_registry(edges, journal, failing=None):
    registry = Registry()
    for name, dependencies in edges:
        registry.register(recorded_service(name, dependencies, journal, name == failing))
    return registry


@given("a kernel with any acyclic set of dependent services")
def step_any_services(context):
    context.edges = acyclic_dependencies()


@then("the kernel starts each service after its dependencies and stops it before them")
def step_order(context):
    @hypothesis_given(context.edges)
    def holds(edges):
        journal = []
        registry = build_registry(edges, journal)
        registry.start()
        registry.stop()
        started = [name for action, name in journal if action == "start"]
        stopped = [name for action, name in journal if action == "stop"]
        assert stopped == started[::-1]
        assert sorted(started) == sorted(name for name, _ in edges)
        for name, dependencies in edges:
            assert all(started.index(other) < started.index(name) for other in dependencies)

    holds()


@given("a kernel whose services fail to start at any position")
def step_failing(context):
    context.edges = acyclic_dependencies()


@then("the kernel raises that failure and has stopped every service that had started")
def step_failure_stops(context):
    @hypothesis_given(context.edges, strategies.data())
    def holds(edges, data):
        journal = []
        failing = data.draw(strategies.sampled_from([name for name, _ in edges]))
        registry = build_registry(edges, journal, failing)
        try:
            registry.start()
        except StartFailedError as failure:
            assert str(failure) == failing
        else:
            raise AssertionError("the start did not fail")
        started = [name for action, name in journal if action == "start"]
        stopped = [name for action, name in journal if action == "stop"]
        assert failing not in started
        assert stopped == [failing, *started[::-1]]

    holds()


@given("a kernel with services that depend on each other in a circle")
def step_circle(context):
    context.registry = build_registry([("a", ("b",)), ("b", ("a",))], [])


@then("the kernel refuses to start and names the circle")
def step_circle_refused(context):
    try:
        context.registry.start()
    except DependencyCycleError as failure:
        assert "'a'" in str(failure)
    else:
        raise AssertionError("the circle was accepted")


@given("a kernel with one service")
def step_one_service(context):
    context.registry = build_registry([("only", ())], [])


@then("the kernel finds it by name and interface, and refuses any other name or interface")
def step_lookup(context):
    assert context.registry.find("only", Service).name == "only"
    for name, interface, refusal in (
        ("other", Service, ServiceNotFoundError),
        ("only", Clock, ServiceTypeError),
    ):
        try:
            context.registry.find(name, interface)
        except refusal:
            continue
        raise AssertionError(f"{name} was found as {interface}")


@given("kernel executors with {threads:d} threads and a queue of {queued:d}")
def step_executors(context, threads, queued):
    context.executors = Executors({WorkKind.BACKGROUND: ExecutorLimits(threads, queued)})
    context.cleanup.callback(context.executors.stop)
    context.gate = threading.Event()
    context.cleanup.callback(context.gate.set)
    context.ran = []


@when("{count:d} blocking calls are submitted to the executor")
def step_blocking_calls(context, count):
    def call(number):
        context.gate.wait()
        context.ran.append(number)

    context.futures = [
        context.executors.submit(WorkKind.BACKGROUND, call, number) for number in range(count)
    ]


@then("the executor refuses the sixth call, which never runs")
def step_sixth_refused(context):
    try:
        context.executors.submit(WorkKind.BACKGROUND, context.ran.append, "sixth")
    except ExecutorSaturatedError:
        return
    raise AssertionError("the sixth call was accepted")


@then("the executor accepts calls again after the first ones ended")
def step_accepts_again(context):
    context.gate.set()
    for future in context.futures:
        future.result(30)
    context.executors.submit(WorkKind.BACKGROUND, context.ran.append, "later").result(30)
    assert sorted(context.ran, key=str) == [0, 1, 2, 3, 4, "later"]


@when("a submitted call and a long-running task raise")
def step_raise(context):
    def fail(*_):
        raise StartFailedError("on purpose")

    with structlog.testing.capture_logs() as logs:
        call = context.executors.submit(WorkKind.BACKGROUND, fail)
        task = context.executors.run_task("failing-task", fail)
        context.wait_until(lambda: call.done() and task.done(), "both have ended")
        context.wait_until(lambda: len(logs) >= 2, "both are logged")
    context.logs = logs


@then("the log has one task_failed event for each")
def step_logged(context):
    failed = [line["task"] for line in context.logs if line["event"] == "task_failed"]
    assert sorted(failed) == ["failing-task", "submitted call"], context.logs


@when("a loop raises twice and then goes on until the executors stop")
def step_loop_raises(context):
    runs = []

    def loop(stopping):
        runs.append(stopping)
        if len(runs) <= 2:
            raise StartFailedError("on purpose")
        stopping.wait()

    with structlog.testing.capture_logs() as logs:
        context.loop = context.executors.run_loop("failing-loop", loop)
        context.wait_until(lambda: len(runs) == 3, "the loop runs again")
        context.executors.stop()
    context.logs = logs


@then("the log has one task_restarted event for each exception, and the loop has ended")
def step_restarted(context):
    restarted = [line["task"] for line in context.logs if line["event"] == "task_restarted"]
    assert restarted == ["failing-loop", "failing-loop"], context.logs
    assert context.loop.done()
    assert context.loop.exception() is None


@when("long-running tasks and calls are running and the executors stop")
def step_stop_executors(context):
    context.threads_before = set(threading.enumerate())
    for number in range(3):
        context.executors.run_task(f"task-{number}", lambda stop: stop.wait())
    context.executors.submit(WorkKind.BACKGROUND, context.executors.stopping.wait)
    context.executors.stop()


@then("no thread of the executors is left")
def step_no_thread(context):
    def left():
        return set(threading.enumerate()) - context.threads_before

    context.wait_until(lambda: not left(), "all threads have ended")
