"""Compatibility of two builds that run side by side as processes."""

import base64
import importlib
import json
import os
import shutil
import tempfile
import zlib
from pathlib import Path

from behave import given, then, when
from features.support.record_build import SERVICES, leaves

from bellweir.hosted.batches.state import BatchJobs
from bellweir.hosted.usage.state import UsageWindows
from bellweir.ledger.entries import EntryKind
from bellweir.ledger.interface import Command
from bellweir.ledger.machines import Codec, ShardMachines
from bellweir.ledger.sqlite_journal import SqliteJournal
from bellweir.wire.codec import MessageCodec
from bellweir.wire.frames import OneWay, decode_struct, encode_struct
from bellweir.wire.handshake import ClientHello, ServerHello
from bellweir.wire.interface import FIRST_LEVEL, Message
from bellweir_rehearsal.hosted.builds import REPOSITORY, build_of, is_in_history
from bellweir_rehearsal.hosted.mixed_day import MixedDay
from bellweir_rehearsal.hosted.soak import HostedSoak
from bellweir_rehearsal.hosted.soak_faults import BUILD_FAULTS

OLDER_COMMIT = "e33d2c1"
"""The last build before messages had levels."""
RECORDED = REPOSITORY / "features" / "recorded" / f"build-{OLDER_COMMIT}.json"
"""Data written by that build, recorded with `record_build`."""


@given("the previous build")
def given_older(context):
    if not is_in_history(OLDER_COMMIT):
        context.scenario.skip(f"{OLDER_COMMIT} is not in this clone's history")
        return
    home = REPOSITORY / "build"
    home.mkdir(exist_ok=True)
    folder = Path(tempfile.mkdtemp(prefix="older-", dir=home))
    context.cleanup.callback(shutil.rmtree, folder, ignore_errors=True)
    context.older = build_of(OLDER_COMMIT, folder)
    environment = {**os.environ, "PYTHONPATH": str(context.older.code)}
    assert context.older.code_in_use(environment) == context.older.code


@when("the day is played on which this build replaces it")
def when_played(context):
    context.told = []
    context.day = MixedDay(context.folder, context.older, context.told.append)
    context.cleanup.callback(context.day.close)
    context.day.play()


@then("on that day everything that must hold has held")
def then_held(context):
    for check in context.day.checks:
        assert check.held, (check.name, check.checked, check.faults[:3])


def unpacked(text):
    return zlib.decompress(base64.b64decode(text))


@given("the recorded data of the older build")
def given_recorded(context):
    context.recorded = json.loads(RECORDED.read_text(encoding="utf-8"))
    assert context.recorded["commit"] == OLDER_COMMIT
    for name in SERVICES:
        importlib.import_module(name)


@then("its frames and handshakes are read, and its nodes read those of this build")
def then_frames(context):
    codec = MessageCodec()
    assert context.recorded["frames"]
    for name, packed in context.recorded["frames"].items():
        plain = decode_struct(unpacked(packed), OneWay).body
        message = codec.from_plain(plain)
        assert type(message).__name__ == name
        # The re-encoded frame holds every field that the older build requires, unchanged.
        again = decode_struct(encode_struct(OneWay(0, codec.to_plain(message))), OneWay).body
        assert holds(again, plain), (name, plain, again)
    hello = decode_struct(unpacked(context.recorded["client_hello"]), ClientHello)
    answer = decode_struct(unpacked(context.recorded["server_hello"]), ServerHello)
    assert (hello.node, hello.address, hello.level) == ("node", "h:1", FIRST_LEVEL)
    assert (answer.node, answer.level) == ("node", FIRST_LEVEL)


@then("message and command types unknown to it have a later level")
def then_levels(context):
    for base, recorded in ((Message, "frames"), (Command, "commands")):
        for name, added in leaves(base).items():
            is_known = name in context.recorded[recorded]
            if added.__module__.startswith("bellweir.hosted.") and not is_known:
                assert added.since_level > FIRST_LEVEL, f"{name} has no since_level"


def holds(new, old):
    """Whether a value contains everything of an older one, at the same positions."""
    if isinstance(old, dict):
        return isinstance(new, dict) and all(
            key in new and holds(new[key], value) for key, value in old.items()
        )
    if isinstance(old, list):
        return isinstance(new, list) and all(
            holds(one, other) for one, other in zip(new, old, strict=False)
        )
    return new == old


@then("its log entries, journal file and snapshot restore its state")
def then_state(context):
    recorded = context.recorded
    folder = Path(context.folder) / "ledger"
    folder.mkdir()
    for name, packed in recorded["journal"].items():
        (folder / name).write_bytes(unpacked(packed))
    journal = SqliteJournal(folder)
    (shard,) = [found for found in journal.load() if found.shard == 0]
    journal.close()
    types = (BatchJobs, UsageWindows)
    codec, machines = Codec(types), ShardMachines(types)
    for packed in recorded["commands"].values():
        assert codec.level_of(unpacked(packed)) == FIRST_LEVEL
    applied = [entry for entry in shard.entries if entry.kind == EntryKind.COMMAND]
    for entry in applied:
        machines.apply(codec.decode(entry.payload, Command))
    assert len(applied) == recorded["entries_applied"] > 0
    loaded = ShardMachines(types)
    loaded.load(unpacked(recorded["snapshot"]))
    for held in (machines, loaded):
        jobs = held.machine(BatchJobs).jobs
        listed = {job_id: sorted(state.recorded_ids) for job_id, state in sorted(jobs.items())}
        assert listed == recorded["listed"], listed
    assert loaded.save() == machines.save()


@when(
    "a soak of {seconds:d} seconds is played with seed {seed:d} "
    "in which machines change between the builds"
)
def when_soaked(context, seconds, seed):
    context.soak = HostedSoak(
        context.folder, seed, seconds, 3, 3, only=BUILD_FAULTS, older=context.older
    )
    context.cleanup.callback(context.soak.close)
    context.soak.play()


@then("machines have changed their builds")
def then_changed(context):
    assert context.soak.strikes["ChangeBuild"] > 0, context.soak.strikes
