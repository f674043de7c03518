"""Direct probes of back ends, mapped to reports."""

from returns.result import Failure, Result, Success

from bellweir.clients.interface import (
    ApplicationState,
    EngineState,
    PlatformClients,
    PlatformError,
)
from bellweir.kernel.clock import Clock
from bellweir.resources.models import BackendKind
from bellweir.routing.backend import BackendReport
from bellweir.routing.pool_workers import PoolWorker

PROBE_TIMEOUT_S = 1.0


def probe(
    worker: PoolWorker, clients: PlatformClients, clock: Clock
) -> Result[BackendReport, PlatformError]:
    """Read a back end's state; the report carries the time at which the probe began."""
    began_s = clock.monotonic_s()
    if worker.kind is BackendKind.ENGINE:
        engine_state = clients.engine(worker.address).read_state(PROBE_TIMEOUT_S)
        match engine_state:
            case Success(state):
                return Success(engine_report(state, began_s))
            case Failure(error):
                return Failure(error)
    application_state = clients.application(worker.address).read_ready(PROBE_TIMEOUT_S)
    return application_state.map(lambda state: application_report(state, began_s))


def engine_report(state: EngineState, made_s: float) -> BackendReport:
    """Map an engine's state; an engine without a weight version is not ready."""
    return BackendReport(
        ready=state.ready and state.weight_version is not None,
        leaving=state.leaving,
        load=state.running + state.waiting,
        made_s=made_s,
        weight_version=state.weight_version,
        model=state.model,
        maximum_batch=state.maximum_batch,
    )


def application_report(state: ApplicationState, made_s: float) -> BackendReport:
    """Map an application worker's state."""
    return BackendReport(
        ready=state.ready, leaving=state.leaving, load=state.running, made_s=made_s
    )
