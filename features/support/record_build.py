"""Records what one build leaves to another: frames, log entries, a snapshot and a journal file.

    PYTHONPATH=BUILD/src python features/support/record_build.py JOURNAL_FOLDER COMMIT OUT.json

BUILD holds the commit's code. JOURNAL_FOLDER is the `ledger` folder of a store machine that this
build ran and stopped, with the files' names as they are. Runs on the recorded build's own code, so
it uses only what that build has.
"""

import base64
import importlib
import json
import sys
import zlib
from pathlib import Path

import cbor2
import msgspec
from msgspec import inspect

from bellweir.hosted.batches.state import BatchJobs
from bellweir.hosted.usage.state import UsageWindows
from bellweir.ledger.entries import EntryKind
from bellweir.ledger.interface import Command
from bellweir.ledger.machines import Codec, ShardMachines
from bellweir.ledger.sqlite_journal import SqliteJournal
from bellweir.wire.codec import MessageCodec
from bellweir.wire.frames import OneWay, encode_struct
from bellweir.wire.handshake import ClientHello, ServerHello
from bellweir.wire.interface import Message

SERVICES = (
    "bellweir.hosted.batches.service",
    "bellweir.hosted.retirement",
    "bellweir.hosted.scaling.service",
    "bellweir.hosted.serving.service",
    "bellweir.hosted.usage.sender",
    "bellweir.hosted.usage.service",
    "bellweir.hosted.views.service",
    "bellweir.hosted.weights.service",
    "bellweir.ledger.service",
    "bellweir.membership.service",
)


def example(kind):
    """A value of a type, as `msgspec.inspect` describes it."""
    match kind:
        case inspect.StructType():
            return kind.cls(**{field.name: example(field.type) for field in kind.fields})
        case inspect.UnionType():
            return example(next(one for one in kind.types if not isinstance(one, inspect.NoneType)))
        case inspect.VarTupleType() | inspect.ListType() | inspect.SetType():
            return (example(kind.item_type),) * max(1, kind.min_length or 0)
        case inspect.TupleType():
            return tuple(example(one) for one in kind.item_types)
        case inspect.DictType():
            return {example(kind.key_type): example(kind.value_type)}
        case inspect.EnumType():
            return next(iter(kind.cls))
    simple = {
        inspect.IntType: 7,
        inspect.FloatType: 1.5,
        inspect.StrType: "word",
        inspect.BytesType: b"bytes",
        inspect.BoolType: True,
        inspect.NoneType: None,
        inspect.AnyType: {"a": [1, "b"]},
    }
    return simple[type(kind)]


def leaves(base):
    """All classes below one, by name."""
    found = {}
    for each in base.__subclasses__():
        found[each.__name__] = each
        found |= leaves(each)
    return found


def packed(data):
    return base64.b64encode(zlib.compress(data, 9)).decode()


def main():
    folder, commit, out = Path(sys.argv[1]), sys.argv[2], Path(sys.argv[3])
    for name in SERVICES:
        importlib.import_module(name)
    files = {each.name: packed(each.read_bytes()) for each in sorted(folder.iterdir())}
    codec = MessageCodec()
    frames = {}
    for name, message_type in sorted(leaves(Message).items()):
        message = example(inspect.type_info(message_type))
        frames[name] = packed(encode_struct(OneWay(0, codec.to_plain(message))))
    commands = {}
    for name, command_type in sorted(leaves(Command).items()):
        command = example(inspect.type_info(command_type))
        commands[name] = packed(cbor2.dumps(msgspec.to_builtins(command, builtin_types=(bytes,))))
    journal = SqliteJournal(folder)
    (shard,) = [found for found in journal.load() if found.shard == 0]
    ledger_codec = Codec((BatchJobs, UsageWindows))
    machines = ShardMachines((BatchJobs, UsageWindows))
    applied = 0
    for entry in shard.entries:
        if entry.kind == EntryKind.COMMAND:
            machines.apply(ledger_codec.decode(entry.payload, Command))
            applied += 1
    jobs = machines.machine(BatchJobs).jobs
    hello = ClientHello("bellweir/1", "node", "h:1", b"n" * 16)
    answer = ServerHello("node", b"n" * 16, b"proof")
    record = {
        "commit": commit,
        "frames": frames,
        "client_hello": packed(encode_struct(hello)),
        "server_hello": packed(encode_struct(answer)),
        "commands": commands,
        "journal": files,
        "entries_applied": applied,
        "listed": {job_id: sorted(state.recorded_ids) for job_id, state in sorted(jobs.items())},
        "snapshot": packed(machines.save()),
    }
    out.write_text(json.dumps(record, indent=1, sort_keys=True) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
