"""The gateway role: directory, routing and forwarding of requests."""
