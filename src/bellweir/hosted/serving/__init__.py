"""The gateway role: service discovery, routing and forwarding of requests."""
