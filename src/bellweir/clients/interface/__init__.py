"""Typed interfaces to the outside systems. Clients live in one module of the package for each.

Every call returns `returns.result.Result`; a failure is a `PlatformError`. Times are seconds.
"""

from bellweir.clients.interface.application import (
    Application,
    ApplicationAnswer,
    ApplicationCall,
    ApplicationState,
    IncompleteBodyError,
)
from bellweir.clients.interface.clients import PlatformClients
from bellweir.clients.interface.engine import (
    PREFIX_BLOCK_CHARACTERS,
    CacheEvent,
    CacheEventBatch,
    Engine,
    EngineOrder,
    EngineRole,
    EngineState,
    EngineStream,
    FinishReason,
    GenerationCall,
    TokenChunk,
)
from bellweir.clients.interface.errors import ErrorKind, PlatformError
from bellweir.clients.interface.machine_list import (
    Machine,
    MachineList,
    MachineSnapshot,
    MachineState,
)
from bellweir.clients.interface.object_store import (
    MUTATION_ANNOTATION,
    ObjectChange,
    ObjectList,
    ObjectStore,
    StoredObject,
)
from bellweir.clients.interface.weights_and_scores import (
    ScoreCall,
    Scorer,
    WeightManifest,
    WeightStore,
)

__all__ = [
    "MUTATION_ANNOTATION",
    "PREFIX_BLOCK_CHARACTERS",
    "Application",
    "ApplicationAnswer",
    "ApplicationCall",
    "ApplicationState",
    "CacheEvent",
    "CacheEventBatch",
    "Engine",
    "EngineOrder",
    "EngineRole",
    "EngineState",
    "EngineStream",
    "ErrorKind",
    "FinishReason",
    "GenerationCall",
    "IncompleteBodyError",
    "Machine",
    "MachineList",
    "MachineSnapshot",
    "MachineState",
    "ObjectChange",
    "ObjectList",
    "ObjectStore",
    "PlatformClients",
    "PlatformError",
    "ScoreCall",
    "Scorer",
    "StoredObject",
    "TokenChunk",
    "WeightManifest",
    "WeightStore",
]
