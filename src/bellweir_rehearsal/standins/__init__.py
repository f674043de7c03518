"""Stand-ins for the outside systems: each speaks HTTP, runs alone or in a test, and keeps a log."""
