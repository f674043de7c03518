"""Autoscaling: the desired number of workers of each service and zone."""
