"""Faults: what can be injected, schedules from a file or a seed, and their injection."""
