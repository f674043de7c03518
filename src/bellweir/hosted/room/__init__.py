"""Admission control: whether a service can take a request now, later or not at all."""
