"""Sight: what the gateways of a deployment saw of its workers, shared among them."""
