"""All stand-ins by kind, so that one can be made from its kind and its options as JSON."""

from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from bellweir_rehearsal.standins.application import ApplicationOptions, ApplicationStandin
from bellweir_rehearsal.standins.base import Standin, StandinOptions
from bellweir_rehearsal.standins.engine import EngineStandin
from bellweir_rehearsal.standins.engine_options import EngineOptions
from bellweir_rehearsal.standins.machine_list import MachineListOptions, MachineListStandin
from bellweir_rehearsal.standins.object_api import ObjectApiOptions, ObjectApiStandin
from bellweir_rehearsal.standins.scorer import ScorerOptions, ScorerStandin
from bellweir_rehearsal.standins.weight_store import WeightStoreOptions, WeightStoreStandin


class StandinKind(Enum):
    """Kinds of stand-ins, by their names on the command line."""

    ENGINE = "engine"
    OBJECT_API = "object-api"
    WEIGHT_STORE = "weight-store"
    SCORER = "scorer"
    MACHINE_LIST = "machine-list"
    APPLICATION = "app"


_TYPES: dict[StandinKind, tuple[type[StandinOptions], type[Any]]] = {
    StandinKind.ENGINE: (EngineOptions, EngineStandin),
    StandinKind.OBJECT_API: (ObjectApiOptions, ObjectApiStandin),
    StandinKind.WEIGHT_STORE: (WeightStoreOptions, WeightStoreStandin),
    StandinKind.SCORER: (ScorerOptions, ScorerStandin),
    StandinKind.MACHINE_LIST: (MachineListOptions, MachineListStandin),
    StandinKind.APPLICATION: (ApplicationOptions, ApplicationStandin),
}


def make_standin(kind: StandinKind, options_json: bytes) -> Standin:
    """Make a stand-in; unknown options are ignored, wrong ones raise `msgspec.ValidationError`."""
    options_type, standin_type = _TYPES[kind]
    options = msgspec.json.decode(options_json, type=options_type, dec_hook=_path)
    standin: Standin = standin_type(options)
    return standin


def encode_options(options: StandinOptions) -> bytes:
    """Return options as JSON that `make_standin` reads."""
    return msgspec.json.encode(options, enc_hook=str)


def _path(expected: type, value: Any) -> Any:
    if expected is Path:
        return Path(value)
    raise NotImplementedError(f"no decoding for {expected}")
