"""Scaling: how many workers each zone of a service is to hold."""
