"""Exit codes of the command line; documented in docs/COMMANDS.md."""

OK = 0
FAILED = 1
"""The command ran and something failed."""
USAGE = 2
"""The command line itself is wrong."""
INVALID = 3
"""Settings or documents have findings."""
CONFLICT = 4
"""Another operator's change came first."""
PROMISE_BROKEN = 5
"""A rehearsal found a broken promise."""
UNREACHABLE = 6
"""The node, or what it needs, could not be reached."""
NOT_FOUND = 7
"""No such resource."""
