"""Callers and operators: HTTP clients of nodes that record what they sent and got."""
