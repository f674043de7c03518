"""Starts the ledger's journal in a process that can open just a few more files.

    python limited_start.py FOLDER LEFT

A process of its own holds no descriptors but its three streams, so that exactly LEFT more can be
opened. Ends with 0 when the journal was read, with `REFUSED` when a descriptor was wanting.
"""

import os
import resource
import sqlite3
import sys
from pathlib import Path

from bellweir.ledger.sqlite_journal import SqliteJournal

REFUSED = 3


def main():
    journal = SqliteJournal(Path(sys.argv[1]))
    first_free = os.open(os.devnull, os.O_RDONLY)
    os.close(first_free)
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (first_free + int(sys.argv[2]), hard_limit))
    try:
        journal.load()
    except (sqlite3.OperationalError, OSError):
        return REFUSED
    finally:
        journal.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
