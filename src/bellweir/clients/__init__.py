"""Clients of the outside systems; the only place that knows their wire formats."""
