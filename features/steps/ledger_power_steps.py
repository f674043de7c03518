"""Properties of the ledger's files under losses of power, over several lives of the process."""

import copy
import os
import random
import subprocess
import sys

import hypothesis.strategies as st
from behave import then
from features.support import limited_start
from features.support.ledger_simulation import Disk
from features.support.power_rig import Machine
from hypothesis import given, settings

from bellweir.ledger.durable_files import replace_file
from bellweir.ledger.entries import Entry, ReplicaId, ReplicaSet
from bellweir.ledger.journal import (
    AppendEntries,
    SaveSnapshot,
    SaveTerm,
    StoredSnapshot,
    TruncateLog,
)
from bellweir.ledger.placement import (
    PlacementCandidate,
    first_placement,
    load_placement,
    save_placement,
)
from bellweir.ledger.segment_files import SegmentFiles, digest_of
from bellweir.ledger.sqlite_journal import DATABASE_NAME, SqliteJournal

BOUNDED = settings(derandomize=True, database=None, deadline=None, max_examples=60)
SEEDS = st.integers(0, 2**32)
SHARDS = (0, 1)
REPLICAS = ReplicaSet((ReplicaId("a", "disk"),))
CHECKPOINT_PAGES = (2, 8, 1000)
"""Pages of the write-ahead log behind which it is moved to the database and begun anew."""


def next_group(chance, model):
    """A group of operations as replicas make them, on the state `model`."""
    shard = chance.choice(SHARDS)
    stored = model.shards.get(shard)
    if stored is None:
        return [SaveTerm(shard, 1, 1, ReplicaId("a", "disk"))]
    first = stored.snapshot.index + 1 if stored.snapshot else 1
    last = first + len(stored.entries) - 1
    kind = chance.random()
    if kind < 0.1:
        return [SaveTerm(shard, 1, stored.term + 1, None)]
    if kind < 0.2 and last >= first:
        state = b"state" * chance.randint(1, 2000)
        index = chance.randint(first, last)
        return [SaveSnapshot(shard, StoredSnapshot(index, stored.term, REPLICAS, state))]
    if kind < 0.3 and last >= first:
        return [TruncateLog(shard, chance.randint(first, last))]
    count = chance.randint(1, 4)
    entries = [
        Entry(last + 1 + at, stored.term, 1, b"p" * chance.randint(1, 3000)) for at in range(count)
    ]
    return [AppendEntries(shard, entries)]


class Lives:
    """A journal's lives, and what a start must find: what was held, or one group more."""

    def __init__(self, chance, *, has_folder=True):
        self.chance = chance
        self.machine = Machine(chance, has_folder=has_folder)
        self.held = None
        """Model of what was acknowledged or read; None before the first whole start."""
        self.begun = None
        """The same with the group whose sync has not returned."""
        self.journal = None

    def live(self, steps, groups, *, ends_clean=False):
        """One life: start, check what is found, write groups, perhaps close."""
        with self.machine.life(steps) as (rig, opened):
            self._start(rig, opened)
            for _ in range(groups):
                self._write()
            if ends_clean:
                self.journal.close()

    def _start(self, rig, opened):
        self.journal = SqliteJournal(self.machine.folder)
        opened.append(self.journal)
        shards = {stored.shard: stored for stored in self.journal.load()}
        if rig.is_dead:
            return
        if self.held is None:
            self.held = Disk(self.journal.disk)
        self.check(self.journal.disk, shards)
        if self.begun is not None and shards == self.begun.shards:
            self.held = self.begun
        self.begun = None
        pages = self.chance.choice(CHECKPOINT_PAGES)
        self.journal._connection.execute(f"PRAGMA wal_autocheckpoint={pages}")

    def check(self, disk, shards):
        why = self.machine.report
        assert disk == self.held.name, f"a loss of power alone cost the disk its identity: {why}"
        expected = [self.held.shards] + ([self.begun.shards] if self.begun else [])
        assert shards in expected, f"acknowledged data is gone: {why}"

    def _write(self):
        operations = next_group(self.chance, self.held)
        self.begun = copy.deepcopy(self.held)
        for operation in operations:
            self.begun.write(operation)
            self.journal.buffer(operation)
        self.journal.sync()
        self.held, self.begun = self.begun, None


@then("a journal in new folders keeps its identity when the power goes right after its start")
def then_new_folders(context):
    @BOUNDED
    @given(seed=SEEDS, groups=st.integers(0, 5))
    def started(seed, groups):
        lives = Lives(random.Random(seed), has_folder=False)
        try:
            lives.live(None, groups)
            lives.machine.lose_power()
            lives.live(None, 1)
        finally:
            lives.machine.close()

    started()


@then("a journal keeps identity and groups over lives that end at any change of its files")
def then_lives(context):
    losses = []

    @BOUNDED
    @given(seed=SEEDS)
    def lived(seed):
        chance = random.Random(seed)
        lives = Lives(chance, has_folder=chance.random() < 0.7)
        try:
            for _ in range(chance.randint(2, 6)):
                steps = chance.choice((chance.randint(1, 60), chance.randint(1, 600), None))
                lives.live(steps, chance.randint(0, 60), ends_clean=chance.random() < 0.3)
                if chance.random() < 0.7:
                    lives.machine.lose_power()
            lives.live(None, 1)
        finally:
            lives.machine.close()
        losses.append(lives.machine.losses)

    lived()
    assert sum(losses) > 60, f"too few losses of power: {losses}"


@then("a journal keeps its identity when its first start was killed and later the power goes")
def then_comes_back(context):
    @settings(parent=BOUNDED, max_examples=120)
    @given(seed=SEEDS, steps=st.integers(1, 40), groups=st.integers(0, 3))
    def returned(seed, steps, groups):
        lives = Lives(random.Random(seed))
        try:
            lives.live(steps, 0)
            lives.live(None, groups, ends_clean=bool(groups % 2))
            lives.machine.lose_power()
            lives.live(None, 1)
        finally:
            lives.machine.close()

    returned()


@then(
    "a journal gives what it gave before when the power goes after a kill in the middle of a write"
)
def then_read_again(context):
    read_more = []

    @settings(parent=BOUNDED, max_examples=120)
    @given(seed=SEEDS)
    def killed(seed):
        chance = random.Random(seed)
        lives = Lives(chance)
        try:
            lives.live(None, chance.randint(1, 8))
            lives.live(chance.randint(1, 25), 40)
            unfinished = lives.begun
            lives.live(None, 0)
            read_more.append(unfinished is not None and lives.held is unfinished)
            lives.machine.lose_power()
            lives.live(None, 0)
        finally:
            lives.machine.close()

    killed()
    assert sum(read_more) > 5, "no start read a group whose sync had not returned"


@then("a damaged journal whose power goes while it starts over is whole or has a new identity")
def then_starts_over(context):
    new_identities = []

    @settings(parent=BOUNDED, max_examples=120)
    @given(seed=SEEDS)
    def damaged(seed):
        chance = random.Random(seed)
        lives = Lives(chance)
        try:
            lives.live(None, chance.randint(20, 60))
            damage_entry(lives.machine.folder, chance)
            with lives.machine.life(chance.randint(1, 60)) as (_, opened):
                opened.append(SqliteJournal(lives.machine.folder))
                opened[0].load()
            if not list(lives.machine.folder.glob("damaged-*")):
                # Not found, or not yet: with the newest marks gone too, nothing tells of it.
                return
            lives.machine.lose_power()
            first = found_by(lives.machine)
            if first[0] == lives.held.name:
                lives.check(*first)
            else:
                new_identities.append(first[0])
            lives.machine.lose_power()
            assert found_by(lives.machine) == first, "a new identity, or its data, did not last"
        finally:
            lives.machine.close()

    damaged()
    assert len(new_identities) > 20, "the damage was hardly ever found"


@then("a journal found damaged is never again taken for whole, wherever the power goes")
def then_found_once(context):
    put_aside = []

    @settings(parent=BOUNDED, max_examples=150)
    @given(seed=SEEDS, steps=st.integers(1, 30))
    def found(seed, steps):
        lives = Lives(random.Random(seed))
        folder = lives.machine.folder
        try:
            # Whole groups in the database, newer ones in a write-ahead log that is damaged, and
            # marks that no sync has covered yet.
            with lives.machine.life() as (_, opened):
                opened.append(SqliteJournal(folder))
                opened[0].load()
                name = opened[0].disk
                opened[0].buffer(SaveTerm(0, 1, 1, None))
                for index in range(1, 45):
                    opened[0].buffer(AppendEntries(0, [Entry(index, 1, 1, b"payload")]))
                    opened[0].sync()
                    if index == 40:
                        opened[0]._connection.execute("PRAGMA wal_checkpoint(FULL)")
            path = folder / (DATABASE_NAME + "-wal")
            content = bytearray(path.read_bytes())
            content[60] ^= 0x41
            path.write_bytes(content)
            with lives.machine.life(steps) as (_, opened):
                opened.append(SqliteJournal(folder))
                opened[0].load()
            if not list(folder.glob("damaged-*")):
                return
            put_aside.append(steps)
            lives.machine.lose_power()
            disk, shards = found_by(lives.machine)
            whole = 0 in shards and len(shards[0].entries) == 44
            assert disk != name or whole, f"entries are gone: {lives.machine.report}"
        finally:
            lives.machine.close()

    found()
    assert len(put_aside) > 20, "the files were hardly ever put aside"


def damage_entry(folder, chance):
    """Flip a byte in what the files hold; the disk's fault, so it is noted nowhere."""
    names = [name for name in (DATABASE_NAME, DATABASE_NAME + "-wal") if (folder / name).exists()]
    path = folder / chance.choice(names)
    content = bytearray(path.read_bytes())
    content[chance.randrange(len(content))] ^= 0x41
    path.write_bytes(content)


def found_by(machine):
    """Identity and shards that a start finds; nothing else is done in this life."""
    with machine.life() as (_, opened):
        journal = SqliteJournal(machine.folder)
        opened.append(journal)
        shards = {stored.shard: stored for stored in journal.load()}
        return journal.disk, shards


@then("a journal whose files can't be opened keeps its identity for a later start")
def then_not_opened(context):
    chance = random.Random(1)
    lives = Lives(chance)
    context.add_cleanup(lives.machine.close)
    lives.live(None, 10)
    refused = []
    for left in range(8):
        refused.append(load_with_descriptors(lives.machine.folder, left))
        lives.live(None, 1)
    assert any(refused), "no start lacked a descriptor"


def load_with_descriptors(folder, left):
    """Start a journal in a process that can open just `left` more files; it ends again."""
    command = [sys.executable, limited_start.__file__, str(folder), str(left)]
    ended = subprocess.run(command, capture_output=True, text=True, check=False)
    assert ended.returncode in (0, limited_start.REFUSED), ended.stderr
    assert ended.returncode == 0 or left < 6, "it needs more descriptors than expected"
    return ended.returncode == limited_start.REFUSED


@then("a placement once saved is there, as saved or newer, after a loss of power at any change")
def then_placement(context):
    placements = [
        first_placement(shards, [PlacementCandidate(ReplicaId("a", "disk"), "zone")], 1)
        for shards in range(1, 20)
    ]

    @settings(parent=BOUNDED, max_examples=120)
    @given(seed=SEEDS)
    def saved(seed):
        chance = random.Random(seed)
        machine = Machine(chance)
        sure, begun = -1, -1
        try:
            for _ in range(chance.randint(1, 4)):
                with machine.life(chance.choice((None, chance.randint(1, 20)))):
                    for _ in range(chance.randint(0, 4)):
                        begun = min(begun + 1, len(placements) - 1)
                        save_placement(machine.folder, placements[begun])
                        sure = begun
                if chance.random() < 0.8:
                    machine.lose_power()
                with machine.life():
                    found = load_placement(machine.folder)
                at = placements.index(found) if found is not None else -1
                assert sure <= at <= begun, f"saved {sure}, found {at}: {machine.report}"
                sure = begun = at
        finally:
            machine.close()

    saved()


@then("a blob whose append has returned is there after a loss of power in any life")
def then_segments(context):
    @settings(parent=BOUNDED, max_examples=120)
    @given(seed=SEEDS)
    def kept(seed):
        chance = random.Random(seed)
        machine = Machine(chance, has_folder=chance.random() < 0.7)
        blobs = [bytes([number]) * (300 * number + 1) for number in range(6)]
        sure = set()
        try:
            for _ in range(chance.randint(2, 5)):
                with machine.life(chance.choice((None, chance.randint(1, 12)))):
                    files = SegmentFiles(machine.folder / "segments", 1000.0)
                    for _ in range(chance.randint(0, 6)):
                        blob = chance.choice(blobs)
                        files.append(blob)
                        sure.add(blob)
                if chance.random() < 0.6:
                    machine.lose_power()
            with machine.life():
                files = SegmentFiles(machine.folder / "segments", 1000.0)
                for blob in sure:
                    found = files.read(digest_of(blob))
                    assert found == blob, f"an acknowledged blob is gone: {machine.report}"
                files.close()
        finally:
            machine.close()

    kept()


@then("a loss of power keeps what was synced and may take each kind of change that was not")
def then_rig(context):
    found = [after_unsynced_changes(seed) for seed in range(60)]
    for part, outcomes in {
        "written": {b"old", b"new", "torn"},
        "made": {True, False},
        "renamed": {True, False},
        "removed": {True, False},
        "folder": {True, False},
    }.items():
        seen = {each[part] for each in found}
        assert seen == outcomes, f"{part}: {seen}"
    assert len({tuple(each.items()) for each in found}) > 16, "changes go together"


def after_unsynced_changes(seed):
    """What is left of one change of each kind, made behind a sync of everything."""
    machine = Machine(random.Random(seed))
    folder = machine.folder
    try:
        with machine.life():
            for name in ("written", "from", "removed"):
                replace_file(folder / name, b"old")
            descriptor = os.open(folder / "written", os.O_RDWR)
            os.pwrite(descriptor, b"new", 0)
            os.close(descriptor)
            descriptor = os.open(folder / "made", os.O_RDWR | os.O_CREAT)
            os.write(descriptor, b"made")
            os.fsync(descriptor)
            os.close(descriptor)
            (folder / "from").replace(folder / "to")
            (folder / "removed").unlink()
            (folder / "new").mkdir()
        machine.lose_power()
        assert (folder / "from").exists() != (folder / "to").exists()
        for name in ("from", "to", "removed"):
            assert not (folder / name).exists() or (folder / name).read_bytes() == b"old"
        content = (folder / "written").read_bytes()
        return {
            "written": content if content in (b"old", b"new") else "torn",
            "made": (folder / "made").exists(),
            "renamed": (folder / "to").exists(),
            "removed": not (folder / "removed").exists(),
            "folder": (folder / "new").exists(),
        }
    finally:
        machine.close()
