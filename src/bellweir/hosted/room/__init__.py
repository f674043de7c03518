"""Room: whether a service can take a request now, in time, later or not at all."""
