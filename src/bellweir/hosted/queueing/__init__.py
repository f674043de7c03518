"""Queueing: the order of requests that wait for room, and when refused ones come back."""
