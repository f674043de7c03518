"""Prometheus metrics of one node and the interface through which services add to them."""
