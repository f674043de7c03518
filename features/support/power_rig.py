"""Lives of code under the rig that notes what is not synced, in the test's own process."""

import contextlib
import shutil
import tempfile
from pathlib import Path

from bellweir_rehearsal.hosted.file_rig import FileRig
from bellweir_rehearsal.hosted.power import lose_power
from bellweir_rehearsal.hosted.sqlite_rig import SqliteRig
from bellweir_rehearsal.hosted.unsynced import UnsyncedLog


class Machine:
    """A data folder, its notes, and the lives of a process on them."""

    def __init__(self, chance, *, has_folder=True):
        """The ledger's folder is there, as an earlier start left it, or is still to be made."""
        self.root = Path(tempfile.mkdtemp(prefix="ledger-power-"))
        self.folder = self.root / "disk" / "ledger"
        self.records = self.root / "records"
        self.chance = chance
        self.report = []
        self.losses = 0
        (self.folder if has_folder else self.folder.parent).mkdir(parents=True)

    @contextlib.contextmanager
    def life(self, steps=None):
        """Run the block as one life; it dies at its change number `steps` + 1, if it gets there.

        Whatever it raises once it is dead is of no interest. What is added to the list that the
        block gets beside the rig is closed behind its end, when nothing reaches the disk any more.
        """
        opened = []
        log = UnsyncedLog(self.records)
        files = FileRig(self.root / "disk", log)
        files.steps_left = steps
        database = SqliteRig(files, log)
        files.install()
        database.install()
        try:
            yield files, opened
        except Exception:
            if not files.is_dead:
                raise
        finally:
            files.is_dead = True
            for each in opened:
                with contextlib.suppress(Exception):
                    each.close()
            database.remove()
            files.remove()
            log.close()

    def lose_power(self):
        """Apply a loss of power."""
        self.losses += 1
        self.report = lose_power(self.root / "disk", self.records, self.chance)

    def close(self):
        shutil.rmtree(self.root)
