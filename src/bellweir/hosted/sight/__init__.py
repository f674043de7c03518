"""Statistics of workers, shared among the gateways of a deployment."""
