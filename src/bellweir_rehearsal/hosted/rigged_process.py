"""A hosted process whose losses of power and clock can be set: `rigged_process ROLE`.

Runs what `python -m bellweir.hosted ROLE` runs. `BELLWEIR_RIG` names a folder in which all that
is not synced of the data folder is noted, for `power.lose_power` after a kill; it must be outside
of the data folder and on the same file system. `BELLWEIR_CLOCK` names a file that holds the
seconds to add to the true time of day, `BELLWEIR_SUSPENSION` one with the seconds for which the
machine was suspended. Where one of them is not set, that part is left out.
"""

import json
import os
from pathlib import Path

from bellweir_rehearsal.hosted.clock_rig import ClockRig
from bellweir_rehearsal.hosted.suspension_rig import SuspensionRig

RECORDS_VARIABLE = "BELLWEIR_RIG"
CLOCK_VARIABLE = "BELLWEIR_CLOCK"
SUSPENSION_VARIABLE = "BELLWEIR_SUSPENSION"
SETTINGS_VARIABLE = "BELLWEIR_CONFIG"
FULL_MARK = "disk-full"
"""File in the rig's folder; while it is there the disk takes no change."""


def data_folder_of(settings: Path) -> Path | None:
    """The data folder that a process's settings name."""
    folder = json.loads(settings.read_text(encoding="utf-8"))["node"].get("dataFolder")
    return Path(folder) if folder else None


def install_rig(data_folder: Path, records: Path) -> None:
    """Note from now on what is not synced of the data folder."""
    # A machine without a disk does not load the database's libraries.
    from bellweir_rehearsal.hosted.file_rig import FileRig
    from bellweir_rehearsal.hosted.sqlite_rig import SqliteRig
    from bellweir_rehearsal.hosted.unsynced import UnsyncedLog

    log = UnsyncedLog(records)
    files = FileRig(data_folder, log, records / FULL_MARK)
    files.install()
    SqliteRig(files, log).install()


def main() -> None:
    """Install what the environment asks for and run the process."""
    clock, records = os.environ.get(CLOCK_VARIABLE), os.environ.get(RECORDS_VARIABLE)
    suspension = os.environ.get(SUSPENSION_VARIABLE)
    if suspension:
        SuspensionRig(Path(suspension)).install()
    if clock:
        ClockRig(Path(clock)).install()
    folder = data_folder_of(Path(os.environ[SETTINGS_VARIABLE])) if records else None
    if records and folder is not None:
        install_rig(folder, Path(records))
    # Behind the rig: what the process imports finds the calls replaced.
    from bellweir.hosted.process import main as run_hosted

    run_hosted()


if __name__ == "__main__":
    main()
